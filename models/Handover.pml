/* Handover: entry instances with outdated copies of the owner row claim and run requests of one
 * account while it is handed over from generation 0 to generation 1. A scan of the open claims may
 * be stale.
 *
 * Variants: BROKEN_NO_OWNER_CONDITION BROKEN_NO_PAUSE BROKEN_NO_DRAIN BROKEN_NO_MARKER
 */

/* The row owner/SERVICE/ACCOUNT. */
byte Owner = 0;
bool Paused = false;
byte OwnerVersion = 1;

/* Open claims and running requests of each generation. */
byte Open[2];
byte Running[2];
/* An earlier number of open claims of generation 0, which a stale scan may return. */
byte OpenBefore = 0;

proctype Entry() {
  byte Generation;
  byte Version;
  bool WasPaused;
  byte Requests = 0;
  do
  :: Requests < 2 ->
     Requests++;
     atomic { Generation = Owner; Version = OwnerVersion; WasPaused = Paused };
     /* The copy may become outdated here, for example while the process is paused. */
     if
     :: WasPaused -> skip
     :: !WasPaused ->
        atomic {
          if
#ifndef BROKEN_NO_OWNER_CONDITION
          :: OwnerVersion != Version -> Version = 0
          :: OwnerVersion == Version -> Open[Generation]++
#else
          :: true -> Open[Generation]++
#endif
          fi
        };
        if
        :: Version == 0 -> skip
        :: Version != 0 ->
           atomic {
             assert(Owner == Generation);
             assert(Running[1 - Generation] == 0);
             Running[Generation]++
           };
           atomic { Running[Generation]--; Open[Generation]-- }
        fi
     fi
  :: Requests >= 2 -> break
  od
}

proctype Scanner() {
  OpenBefore = Open[0]
}

proctype Controller() {
#ifndef BROKEN_NO_PAUSE
  atomic { Paused = true; OwnerVersion++ };
#endif
#ifndef BROKEN_NO_DRAIN
#ifndef BROKEN_NO_MARKER
  /* The scanned page contains a marker that was written after the pause, so it is not older. */
  Open[0] == 0;
#else
  OpenBefore == 0;
#endif
#endif
  atomic { Owner = 1; Paused = false; OwnerVersion++ }
}

init {
  atomic {
    run Entry();
    run Entry();
    run Scanner();
    run Controller()
  }
}
