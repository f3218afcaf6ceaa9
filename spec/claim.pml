/* claim.pml: claims of one key, kept by homes in a head and sealed parts.

   Two runners ask for the same key. Either of two homes may serve them: being
   the home is no privilege, a paused one wakes up with what it read long ago.
   The head changes by conditional update only; a home may seal what the head
   holds into a part that never changes, and lists it in the head. Answers of
   the store are lost, homes lose all they know, words of homes come late.

   claim values: 0 none, n claimed by runner n, n + GONE given up by runner n.

   Invariants: the key runs at most once; who was told "not run" did not run.
   Switches that must break them: NO_VERSION, NO_PARTS (what was sealed is not
   looked at), CLEAR_FIRST (the head is emptied before the part is written),
   SPEAK_FIRST (a home answers before the store did), LATE_RUN (a runner that
   gave up takes a late word). */

#define GONE 4
#define HOMES 2

byte head, part; /* the store: part is 0 until one is listed */
bool current[HOMES]; /* no write since this home read: its version still holds */
byte runs;
bool asked[6];    /* asked[2 * home + runner - 1]: a claim is on its way */
bool released[6]; /* the same, to take it back */
bool told_run[3], told_no[3];
bool said_not_run[3], ran[3];

inline conditional(new_head, new_part) {
  if
#ifdef NO_VERSION
  :: true ->
#else
  :: current[me] ->
#endif
     head = new_head; part = new_part; current[0] = false; current[1] = false;
     if
     :: skip            /* the answer came */
     :: goto fresh      /* it was lost, and took effect */
     fi
  :: else -> goto fresh /* lost the race */
  fi
}

/* What a home knows is as old as its last read; each step acts on it at once. */
proctype Home(byte me) {
  byte h, p, known, n;
fresh:
  atomic { current[me] = true; h = head; p = part; known = 0; n = 0 }
serve:
  atomic {
    known = 0; n = 0;
    if
    :: !current[me] -> goto fresh /* lost all it knew, or read again */
    :: asked[2 * me] -> n = 1; goto take
    :: asked[2 * me + 1] -> n = 2; goto take
    :: released[2 * me] -> n = 1; goto give
    :: released[2 * me + 1] -> n = 2; goto give
    :: h != 0 -> goto seal
    :: goto end_home
    fi;
take:
#ifdef NO_PARTS
    known = h;
#else
    known = (h != 0 -> h : p);
#endif
    if
    :: known == n -> asked[2 * me + n - 1] = false; told_run[n] = true; goto serve
    :: known == n + GONE || (known != 0 && known < GONE && known != n) ->
       asked[2 * me + n - 1] = false; told_no[n] = true; goto serve
    :: else -> skip
    fi;
#ifdef SPEAK_FIRST
    told_run[n] = true;
#endif
    conditional(n, p);
    asked[2 * me + n - 1] = false;
    told_run[n] = true;
    goto fresh;
give:
    known = (h != 0 -> h : p);
    if
    :: known == n || known == 0 -> skip
    :: else -> released[2 * me + n - 1] = false; goto serve
    fi;
    conditional(n + GONE, p);
    released[2 * me + n - 1] = false;
    goto fresh;
seal:
#ifdef CLEAR_FIRST
    conditional(0, p);
  }
  if
  :: atomic { part = h; goto fresh }
  :: goto fresh /* it is lost before it wrote */
  fi;
#else
    /* The part was written under a name of its own before this. */
    conditional(0, h);
    goto fresh
  }
#endif
end_home:
  skip
}

proctype Runner(byte me) {
  bool gone_up = false;
  asked[me - 1] = true;
wait:
  if
  :: told_run[me] -> goto go
  :: told_no[me] -> said_not_run[me] = true; goto end_run
  :: asked[2 + me - 1] = true; goto wait1 /* the other home */
  :: goto give_up
  :: goto end_run /* crash */
  fi;
wait1:
  if
  :: told_run[me] -> goto go
  :: told_no[me] -> said_not_run[me] = true; goto end_run
  :: goto give_up
  :: goto end_run
  fi;
give_up:
  said_not_run[me] = true;
  if
  :: released[me - 1] = true
  :: released[2 + me - 1] = true
  fi;
#ifdef LATE_RUN
  told_run[me] -> goto go;
#endif
  goto end_run;
go:
  if
  :: goto end_run
  :: atomic { runs++; ran[me] = true }
  fi;
end_run:
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
  atomic { run Home(0); run Home(1); run Runner(1); run Runner(2) }
}
