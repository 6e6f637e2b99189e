/* Claims: two entry instances receive the same idempotency key. Claim transactions may take effect
 * late and their responses may be lost; an entry instance that gives up writes notRun.
 *
 * Variants: BROKEN_NO_ROW_CONDITION BROKEN_TAKEOVER BROKEN_GIVE_UP_WITHOUT_ROW
 */

#define ENTRIES 2

mtype = { Absent, Claimed, NotRun, Done };
mtype = { Waiting, Committed, Conflict };

/* State of the row claim/ACCOUNT/KEY and the entry instance that wrote the claim. */
mtype State = Absent;
byte Claimant = 0;

/* Outcome of each entry's transaction at the table. */
mtype Outcome[ENTRIES + 1];
byte Runs = 0;
/* The entry has reported to its caller that the request was not run. */
bool ReportedNotRun[ENTRIES + 1];
/* Number of runs that each entry started. */
byte RunsStarted[ENTRIES + 1];

/* A transaction in flight to the table, which takes effect at any time or never. */
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
     /* The response, or the row read back, shows that this entry holds the claim. */
     atomic {
       Runs++;
       RunsStarted[Id]++;
       assert(Runs <= 1);
       State = Done
     };
     break
  :: Outcome[Id] == Conflict ->
#ifdef BROKEN_TAKEOVER
     if
     :: State == Claimed && Claimant != Id ->
        /* The other entry appears to be dead. */
        atomic { Runs++; assert(Runs <= 1) }
     :: else -> skip
     fi;
#endif
     break
  :: Outcome[Id] == Waiting && !GaveUp ->
     /* No response in time. */
#ifndef BROKEN_GIVE_UP_WITHOUT_ROW
     atomic {
       if
       :: State == Absent -> State = NotRun; ReportedNotRun[Id] = true; GaveUp = true
       :: State != Absent && Claimant == Id -> skip
       :: State != Absent && Claimant != Id -> GaveUp = true
       fi
     }
#else
     ReportedNotRun[Id] = true;
     if
     :: Outcome[Id] == Committed ->
        atomic {
          Runs++;
          assert(!ReportedNotRun[Id])
        }
     :: else -> skip
     fi;
     GaveUp = true
#endif
  :: GaveUp -> break
  od;
  assert(!(ReportedNotRun[Id] && RunsStarted[Id] > 0))
}

init {
  atomic {
    run Entry(1);
    run Entry(2)
  }
}
