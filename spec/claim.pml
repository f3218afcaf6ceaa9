/* claim.pml: claims of one key, stored by homes in a head and sealed parts.

   Two runners request a claim of the same key. Either of two homes may serve
   them: the home has no exclusive right, and one that resumes after a pause acts
   on an old read. The head, the mutable object of recent claims, changes by
   conditional update only. A home may seal the head's claims into a part, which
   is immutable, and lists the part in the head. Responses of the store are lost,
   homes lose their state, and replies of homes arrive late.

   Claim values: 0 none, n claimed by runner n, n + RELEASED released by runner n.

   Invariants: the key runs at most once; a runner that answered "not run" did not
   run it. Switches that must break them: NO_VERSION, NO_PARTS (sealed claims are
   not checked), CLEAR_FIRST (the head is emptied before the part is written),
   SPEAK_FIRST (a home replies before the store responded), LATE_RUN (a runner
   that gave up accepts a late reply). */

#define RELEASED 4
#define HOMES 2

byte head, part; /* the store; part is 0 until one is listed */
bool current[HOMES]; /* no write since this home's read: its version matches */
byte runs;
bool claim_requested[6];   /* [2 * home + runner - 1]: a claim request is under way */
bool release_requested[6]; /* the same index: a release is under way */
bool reply_run[3], reply_refused[3];
bool answered_not_run[3], ran[3];

inline conditional_write(new_head, new_part) {
  if
#ifdef NO_VERSION
  :: true ->
#else
  :: current[me] ->
#endif
     head = new_head; part = new_part; current[0] = false; current[1] = false;
     if
     :: skip             /* the response arrived */
     :: goto reread      /* the response was lost; the write took effect */
     fi
  :: else -> goto reread /* lost the race */
  fi
}

/* A home's state is that of its last read; each step acts on it atomically. */
proctype Home(byte me) {
  byte h, p, known, n;
reread:
  atomic { current[me] = true; h = head; p = part; known = 0; n = 0 }
serve:
  atomic {
    known = 0; n = 0;
    if
    :: !current[me] -> goto reread /* lost its state, or reads again */
    :: claim_requested[2 * me] -> n = 1; goto handle_claim
    :: claim_requested[2 * me + 1] -> n = 2; goto handle_claim
    :: release_requested[2 * me] -> n = 1; goto handle_release
    :: release_requested[2 * me + 1] -> n = 2; goto handle_release
    :: h != 0 -> goto seal
    :: goto end_home
    fi;
handle_claim:
#ifdef NO_PARTS
    known = h;
#else
    known = (h != 0 -> h : p);
#endif
    if
    :: known == n ->
       claim_requested[2 * me + n - 1] = false; reply_run[n] = true; goto serve
    :: known == n + RELEASED || (known != 0 && known < RELEASED && known != n) ->
       claim_requested[2 * me + n - 1] = false; reply_refused[n] = true; goto serve
    :: else -> skip
    fi;
#ifdef SPEAK_FIRST
    reply_run[n] = true;
#endif
    conditional_write(n, p);
    claim_requested[2 * me + n - 1] = false;
    reply_run[n] = true;
    goto reread;
handle_release:
    known = (h != 0 -> h : p);
    if
    :: known == n || known == 0 -> skip
    :: else -> release_requested[2 * me + n - 1] = false; goto serve
    fi;
    conditional_write(n + RELEASED, p);
    release_requested[2 * me + n - 1] = false;
    goto reread;
seal:
#ifdef CLEAR_FIRST
    conditional_write(0, p);
  }
  if
  :: atomic { part = h; goto reread }
  :: goto reread /* the home loses its state before it writes */
  fi;
#else
    /* The part was written under a unique name before this. */
    conditional_write(0, h);
    goto reread
  }
#endif
end_home:
  skip
}

proctype Runner(byte me) {
  bool gave_up = false;
  claim_requested[me - 1] = true;
await_reply:
  if
  :: reply_run[me] -> goto run_request
  :: reply_refused[me] -> answered_not_run[me] = true; goto end_run
  :: claim_requested[2 + me - 1] = true; goto await_second_reply /* the other home */
  :: goto give_up
  :: goto end_run /* crash */
  fi;
await_second_reply:
  if
  :: reply_run[me] -> goto run_request
  :: reply_refused[me] -> answered_not_run[me] = true; goto end_run
  :: goto give_up
  :: goto end_run
  fi;
give_up:
  answered_not_run[me] = true;
  if
  :: release_requested[me - 1] = true
  :: release_requested[2 + me - 1] = true
  fi;
#ifdef LATE_RUN
  reply_run[me] -> goto run_request;
#endif
  goto end_run;
run_request:
  if
  :: goto end_run
  :: atomic { runs++; ran[me] = true }
  fi;
end_run:
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
  atomic { run Home(0); run Home(1); run Runner(1); run Runner(2) }
}
