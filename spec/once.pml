/* once.pml: a non-repeatable request that arrives at two instances.

   Each router claims the request's key with a conditional update before it
   dispatches. The response to the update may be lost; the router then reads again
   and finds its own nonce or another's. Routers crash between any two steps.

   Invariants: the request runs at most once; a router that answers "not run" did
   not run it. Switches that must break them: CLAIM_AFTER, NO_VERSION, and ASSUME,
   which treats an update without a response as one that took effect. */

byte version, claim; /* claim: 0 none, else the nonce of the run */
byte runs;
bool answered_not_run[3], ran[3];

proctype Router(byte me) {
  byte read_version, read_claim_value;
read_claim:
#ifdef CLAIM_AFTER
  atomic { read_claim_value = claim }
  if
  :: read_claim_value == 0 -> atomic { runs++; ran[me] = true }
  :: else -> goto refused
  fi;
#endif
  atomic { read_version = version; read_claim_value = claim }
  if
  :: read_claim_value == me -> goto dispatch
  :: read_claim_value != 0 && read_claim_value != me -> goto refused
  :: read_claim_value == 0 ->
     if
     :: goto crash
     :: skip
     fi;
     atomic {
       if
#ifdef NO_VERSION
       :: true ->
#else
       :: read_version == version ->
#endif
          claim = me; version++;
          if
          :: skip       /* the response arrived */
          :: goto retry /* the response was lost; the update took effect */
          fi
       :: else -> goto retry /* lost the race, with or without a response */
       fi
     };
     goto dispatch
  fi;
retry:
  if
#ifdef ASSUME
  :: goto dispatch
#endif
  :: goto read_claim
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
  answered_not_run[me] = true;
crash:
done:
  skip
}

active proctype CheckSingleRun() {
  atomic { runs > 1 -> assert(false) }
}

active proctype CheckNotRunAnswers() {
  atomic {
    (answered_not_run[1] && ran[1]) || (answered_not_run[2] && ran[2]) -> assert(false)
  }
}

init {
  atomic { run Router(1); run Router(2) }
}
