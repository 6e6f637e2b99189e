/* Change adoption: operators compete for the next change number, replicas adopt changes received
 * from peers or from stale reads of the table, and a replica that restarts without peers confirms
 * the head.
 *
 * Variants: BROKEN_NO_HEAD_CONDITION BROKEN_ADOPT_OLDER BROKEN_NO_CONFIRMATION
 */

#define MAX_CHANGES 3

/* The rows config/head and config/change/N: the writer of each change, 0 if it does not exist. */
byte Head = 0;
byte Writer[MAX_CHANGES + 1];

/* The change that the replica has in force. One replica suffices: others would only affect which
 * changes it receives, and the model delivers every accepted change number. */
byte InForce = 0;
bool Ready = false;

proctype Operator(byte Id) {
  byte HeadRead;
  byte Attempts = 0;
  do
  :: Attempts < 2 && Head < MAX_CHANGES ->
     /* A read may be stale. */
     select (HeadRead : 0 .. 2);
     if
     :: HeadRead <= Head -> skip
     :: else -> HeadRead = 0
     fi;
     Attempts++;
     atomic {
       if
#ifndef BROKEN_NO_HEAD_CONDITION
       :: Head != HeadRead -> skip
       :: Head == HeadRead ->
#else
       :: true ->
#endif
          /* An accepted change is never replaced. */
          assert(Writer[HeadRead + 1] == 0);
          Writer[HeadRead + 1] = Id;
          Head = HeadRead + 1
       fi
     }
  :: Attempts >= 2 || Head >= MAX_CHANGES -> break
  od
}

proctype Replica() {
  byte Received;
  byte HeadAtStart;
  byte Steps = 0;
  byte Restarts = 0;
  do
  :: Steps < 3 && Ready ->
     Steps++;
     /* A change of any age, received from a peer or from the table. */
     select (Received : 0 .. MAX_CHANGES);
     atomic {
       if
       :: Received > Head -> skip
       :: Received <= Head ->
          if
#ifndef BROKEN_ADOPT_OLDER
          :: Received <= InForce -> skip
          :: Received > InForce ->
#else
          :: true ->
#endif
             assert(Received >= InForce);
             InForce = Received
          fi
       fi
     }
  :: Restarts < 2 && !Ready ->
     /* No peer has a configuration: read the head, which may be stale, and confirm it. */
     HeadAtStart = Head;
     select (Received : 0 .. MAX_CHANGES);
     atomic {
       if
       :: Received > Head -> skip
#ifndef BROKEN_NO_CONFIRMATION
       :: Received <= Head && Received != Head -> skip
       :: Received == Head ->
#else
       :: Received <= Head ->
#endif
          /* Changes accepted before the start are in force when the replica is ready. */
          assert(Received >= HeadAtStart);
          InForce = Received;
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
