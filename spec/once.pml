/* once.pml: a request that may not be repeated, asked for at two instances.

   Each router claims the key with a conditional update before it dispatches;
   the answer to the update may be lost, after which it reads again and finds
   its own nonce or another's. Routers crash between any two steps.

   Invariants: it runs at most once; whoever says "not run" speaks the truth.
   Switches that must break them: CLAIM_AFTER, NO_VERSION, and ASSUME, which
   takes an update without an answer for one that took effect. */

byte version, claim; /* claim: 0 none, else the nonce of the run */
byte runs;
bool said_not_run[3], ran[3];

proctype Router(byte me) {
  byte seen, found;
again:
#ifdef CLAIM_AFTER
  atomic { found = claim }
  if
  :: found == 0 -> atomic { runs++; ran[me] = true }
  :: else -> goto refused
  fi;
#endif
  atomic { seen = version; found = claim }
  if
  :: found == me -> goto dispatch
  :: found != 0 && found != me -> goto refused
  :: found == 0 ->
     if
     :: goto crash
     :: skip
     fi;
     atomic {
       if
#ifdef NO_VERSION
       :: true ->
#else
       :: seen == version ->
#endif
          claim = me; version++;
          if
          :: skip             /* the answer came */
          :: goto again_read  /* it was lost, and took effect */
          fi
       :: else -> goto again_read /* lost the race, heard of or not */
       fi
     };
     goto dispatch
  fi;
again_read:
  if
#ifdef ASSUME
  :: goto dispatch
#endif
  :: goto again
  :: goto crash
  fi;
dispatch:
  if
  :: goto crash
  :: skip
  fi;
#ifndef CLAIM_AFTER
  atomic { runs++; ran[me] = true };
#endif
  goto done;
refused:
  said_not_run[me] = true;
crash:
done:
  skip
}

active proctype Watch() {
  atomic { runs > 1 -> assert(false) }
}

active proctype Truth() {
  atomic {
    (said_not_run[1] && ran[1]) || (said_not_run[2] && ran[2]) -> assert(false)
  }
}

init {
  atomic { run Router(1); run Router(2) }
}
