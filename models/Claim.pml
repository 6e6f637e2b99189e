/* Claims: two entry instances get the same idempotency key. Claim transactions may take effect late
 * and their answers may be lost; an entry that gives up writes notRun.
 *
 * Variants: BROKEN_NO_ROW_CONDITION BROKEN_TAKEOVER BROKEN_GIVE_UP_WITHOUT_ROW
 */

#define ENTRIES 2

mtype = { Absent, Claimed, NotRun, Done };
mtype = { Waiting, Committed, Conflict };

/* The row claim/ACCOUNT/KEY and who wrote it. */
mtype State = Absent;
byte Claimant = 0;

/* Fate of each entry's transaction, as the table knows it. */
mtype Outcome[ENTRIES + 1];
byte Runs = 0;
/* The caller of that entry was told that the request was not run. */
bool ToldNotRun[ENTRIES + 1];
/* The run that each entry started. */
byte Started[ENTRIES + 1];

/* The transaction on its way to the table; takes effect at any time or never. */
proctype ClaimWrite(byte Id) {
  if
  :: atomic {
       if
#ifndef BROKEN_NO_ROW_CONDITION
       :: State == Absent -> State = Claimed; Claimant = Id; Outcome[Id] = Committed
       :: State != Absent -> Outcome[Id] = Conflict
#else
       :: true -> State = Claimed; Claimant = Id; Outcome[Id] = Committed
#endif
       fi
     }
  :: skip
  fi
}

proctype Entry(byte Id) {
  bool GaveUp = false;
  Outcome[Id] = Waiting;
  run ClaimWrite(Id);
  do
  :: Outcome[Id] == Committed && !GaveUp ->
     /* The answer, or the row read back, says that the claim is this entry's. */
     atomic {
       Runs++;
       Started[Id]++;
       assert(Runs <= 1);
       State = Done
     };
     break
  :: Outcome[Id] == Conflict ->
#ifdef BROKEN_TAKEOVER
     if
     :: State == Claimed && Claimant != Id ->
        /* The other entry looks dead. */
        atomic { Runs++; assert(Runs <= 1) }
     :: else -> skip
     fi;
#endif
     break
  :: Outcome[Id] == Waiting && !GaveUp ->
     /* No answer in time. */
#ifndef BROKEN_GIVE_UP_WITHOUT_ROW
     atomic {
       if
       :: State == Absent -> State = NotRun; ToldNotRun[Id] = true; GaveUp = true
       :: State != Absent && Claimant == Id -> skip
       :: State != Absent && Claimant != Id -> GaveUp = true
       fi
     }
#else
     ToldNotRun[Id] = true;
     if
     :: Outcome[Id] == Committed ->
        atomic {
          Runs++;
          assert(!ToldNotRun[Id])
        }
     :: else -> skip
     fi;
     GaveUp = true
#endif
  :: GaveUp -> break
  od;
  assert(!(ToldNotRun[Id] && Started[Id] > 0))
}

init {
  atomic {
    run Entry(1);
    run Entry(2)
  }
}
