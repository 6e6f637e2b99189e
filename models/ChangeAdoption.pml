/* Change adoption: operators race for the next change number, replicas adopt what peers and stale
 * reads of the table offer, and a replica that restarts without peers confirms the head.
 *
 * Variants: BROKEN_NO_HEAD_CONDITION BROKEN_ADOPT_OLDER BROKEN_NO_CONFIRMATION
 */

#define MAX_CHANGES 3

/* config/head and config/change/N; the writer of each change, 0 if there is none. */
byte Head = 0;
byte Writer[MAX_CHANGES + 1];

/* What a replica has in force. Another replica would differ only in what it offers, and the model
 * offers every number that was ever accepted. */
byte InForce = 0;
bool Ready = false;

proctype Operator(byte Id) {
  byte Seen;
  byte Attempts = 0;
  do
  :: Attempts < 2 && Head < MAX_CHANGES ->
     /* A read may be stale. */
     select (Seen : 0 .. 2);
     if
     :: Seen <= Head -> skip
     :: else -> Seen = 0
     fi;
     Attempts++;
     atomic {
       if
#ifndef BROKEN_NO_HEAD_CONDITION
       :: Head != Seen -> skip
       :: Head == Seen ->
#else
       :: true ->
#endif
          /* An accepted change is never replaced. */
          assert(Writer[Seen + 1] == 0);
          Writer[Seen + 1] = Id;
          Head = Seen + 1
       fi
     }
  :: Attempts >= 2 || Head >= MAX_CHANGES -> break
  od
}

proctype Replica() {
  byte Offered;
  byte HeadAtStart;
  byte Steps = 0;
  byte Restarts = 0;
  do
  :: Steps < 3 && Ready ->
     Steps++;
     /* An offer of any age, from a peer or from the table. */
     select (Offered : 0 .. MAX_CHANGES);
     atomic {
       if
       :: Offered > Head -> skip
       :: Offered <= Head ->
          if
#ifndef BROKEN_ADOPT_OLDER
          :: Offered <= InForce -> skip
          :: Offered > InForce ->
#else
          :: true ->
#endif
             assert(Offered >= InForce);
             InForce = Offered
          fi
       fi
     }
  :: Restarts < 2 && !Ready ->
     /* No peer has a configuration: read the head, perhaps stale, and confirm it. */
     HeadAtStart = Head;
     select (Offered : 0 .. MAX_CHANGES);
     atomic {
       if
       :: Offered > Head -> skip
#ifndef BROKEN_NO_CONFIRMATION
       :: Offered <= Head && Offered != Head -> skip
       :: Offered == Head ->
#else
       :: Offered <= Head ->
#endif
          /* What was accepted before the start is in force when the replica is ready. */
          assert(Offered >= HeadAtStart);
          InForce = Offered;
          Ready = true
       fi
     }
  :: Restarts < 2 && Ready ->
     Restarts++;
     atomic { Ready = false; InForce = 0 }
  :: Steps >= 3 || Restarts >= 2 -> break
  od
}

init {
  atomic {
    run Operator(1);
    run Operator(2);
    run Replica()
  }
}
