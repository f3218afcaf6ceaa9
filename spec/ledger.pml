/* ledger.pml: grants, accounts, witnesses and seals of one budget.

   H is the home of a region: it draws a grant (tokens of the budget) from the
   store, issues tokens to the account of the holder A, receives returned tokens
   and moves its witness, the instance that agrees to every increase of H's issue
   limit. H may stop at any step, permanently (a crash) or for any time (any
   interleaving models a pause). S is a successor in the region with a stale
   member list: it may consider H lost at any time. S draws and spends whatever
   the store has left, so that every token that is wrongly free is spent. Each
   update is a read followed by a conditional write whose response may be lost.
   Messages between instances may be lost (a step that is not taken); counts are
   cumulative.

   Invariant: no more tokens are spent than the budget has. Each of these
   switches must break it: NO_VERSION, NO_SEAL, OLD_WITNESS, ON_TIME,
   ADD_REPORTS, EARLY_RETURN, EARLY_SEAL, EARLY_BACK. REACH_BACK asserts that
   tokens of a lost home are never recovered, which must fail too. */

#define TOTAL 2
#define ISSUED_MAX 3 /* bounds the reissue of returned tokens */

typedef Doc {
  byte granted, returned; /* of H's grant, cumulative */
  byte witness;
  bool sealed;
  byte limit;             /* once sealed: max tokens issued */
  byte reclaimed;         /* reported as returned by the holder; counts once sealed */
  byte drawn_by_s;
};

Doc doc;
/* A version check fails exactly when another process wrote since this one's read.
   Two bits record that; a counter would distinguish equivalent histories and
   enlarge the state space. */
bool h_stale, s_stale;
byte w_limit[2], w_reclaimed[2]; /* limit agreed to; returns known */
bool w_sealed[2];
byte a_received, a_returned, a_spent; /* the holder's account */
byte s_spent;               /* spent by S from what it drew */
bool crashed;

inline outstanding(n) {
  n = doc.granted - doc.returned;
  if
  :: doc.sealed && doc.limit - doc.reclaimed < n -> n = doc.limit - doc.reclaimed
#ifdef EARLY_BACK
  :: !doc.sealed -> n = n - doc.reclaimed
#endif
  :: else
  fi
}

inline raise_reclaimed(n) {
  if
  :: n > doc.reclaimed -> doc.reclaimed = n
  :: else
  fi
}

#define FREE(o) (TOTAL - (o) - doc.drawn_by_s)
#define H_IS_CURRENT (!h_stale)
#define S_IS_CURRENT (!s_stale)

#ifdef NO_VERSION
#define DRAW_IS_ACCEPTED true
#else
#define DRAW_IS_ACCEPTED H_IS_CURRENT
#endif

#ifdef NO_SEAL
#define WITNESS_AGREES(w) true
#else
#define WITNESS_AGREES(w) (!w_sealed[w])
#endif

#ifdef OLD_WITNESS
#define WITNESS_IS_NAMED(w) true
#else
#define WITNESS_IS_NAMED(w) (doc.witness == w)
#endif

/* == the home == */

byte h_granted, h_returned, h_issued, h_reclaimed, h_limit, h_witness;
bool h_stopped;

#define H_FREE (h_granted - h_returned - (h_issued - h_reclaimed))

proctype Home() {
  byte out;
  do
  :: break /* crash, between any two steps */

  /* draw one token */
  :: atomic { !h_stopped -> h_stale = false; outstanding(out);
       h_granted = doc.granted; h_stopped = doc.sealed;
       if
       :: doc.reclaimed > h_reclaimed ->
          h_reclaimed = doc.reclaimed /* recorded by S meanwhile */
       :: else
       fi }
     if
     :: !h_stopped && FREE(out) > 0 ->
        atomic {
          if
          :: DRAW_IS_ACCEPTED ->
             doc.granted = h_granted + 1; doc.returned = h_returned;
             s_stale = true;
             if
             :: h_granted = doc.granted /* the response arrived */
             :: skip                    /* the response was lost */
             fi
          :: else
          fi
        }
     :: else
     fi

  /* raise the limit: the witness agrees; its response may be lost */
  :: atomic { !h_stopped && w_limit[h_witness] < ISSUED_MAX && WITNESS_AGREES(h_witness) ->
       w_limit[h_witness]++; w_reclaimed[h_witness] = h_reclaimed;
       if
       :: h_limit = w_limit[h_witness]
       :: skip
       fi }

  /* issue one token to the holder */
  :: atomic { !h_stopped && H_FREE > 0 && h_issued < h_limit ->
       h_issued++; a_received++ }

  /* receive the holder's report of returned tokens */
  :: atomic { !h_stopped && h_reclaimed < a_returned ->
#ifdef ADD_REPORTS
       h_reclaimed = h_reclaimed + a_returned
#else
       h_reclaimed = a_returned
#endif
     }

  /* return one token to the store: deduct it locally, then write */
  :: atomic { !h_stopped && H_FREE > 0 && h_returned < TOTAL ->
#ifndef EARLY_RETURN
       h_returned++;
#endif
       h_stale = false }
     atomic {
       if
       :: H_IS_CURRENT && !doc.sealed ->
#ifdef EARLY_RETURN
          doc.returned++;
#else
          doc.returned = h_returned;
#endif
          s_stale = true
       :: else
       fi
     }

  /* hand over: stop issuing, then seal with exactly what was issued */
  :: atomic { !h_stopped ->
#ifndef EARLY_SEAL
       h_stopped = true;
#endif
       h_stale = false; out = h_issued }
     atomic {
       if
       :: H_IS_CURRENT && !doc.sealed ->
          doc.sealed = true; doc.limit = out; raise_reclaimed(h_reclaimed); s_stale = true
       :: else
       fi
     }

  /* move to the other witness: it agrees first, then the document names it */
  :: atomic { !h_stopped && h_witness == 0 && !w_sealed[1] ->
       w_limit[1] = h_limit; w_reclaimed[1] = h_reclaimed; h_stale = false }
     atomic {
       if
       :: H_IS_CURRENT && !doc.sealed ->
          doc.witness = 1; s_stale = true; h_witness = 1
       :: else
       fi
     }
  od;
  crashed = true
}

/* == the holder == */

proctype Holder() {
  do
  :: atomic { a_received - a_returned - a_spent > 0 -> a_spent++ }
  :: atomic { a_received - a_returned - a_spent > 0 -> a_returned++ }
  :: break
  od
}

/* == the successor == */

proctype Successor() {
  byte out, queried, limit, reclaimed;
  bool has_limit;
  do
  /* query the witness that the document names */
  :: atomic { !doc.sealed && !has_limit ->
       queried = doc.witness; reclaimed = 0;
#ifdef ON_TIME
       limit = a_spent; has_limit = true
#else
       w_sealed[queried] = true; limit = w_limit[queried]; reclaimed = w_reclaimed[queried];
       has_limit = true
#endif
     }
  /* write the seal, if the document still names that witness */
  :: has_limit && !doc.sealed ->
     atomic { s_stale = false }
     atomic {
       if
       :: S_IS_CURRENT && !doc.sealed && WITNESS_IS_NAMED(queried) ->
          doc.sealed = true; doc.limit = limit; raise_reclaimed(reclaimed); h_stale = true
       :: else -> has_limit = false
       fi
     }
  /* record the holder's returns in the grant, which may never be sealed */
  :: atomic { doc.reclaimed < a_returned && (!doc.sealed || doc.reclaimed < doc.limit) ->
       doc.reclaimed = a_returned; h_stale = true }
  /* draw a remaining token and spend it */
  :: atomic { s_stale = false; outstanding(out) }
     if
     :: FREE(out) > 0 ->
        atomic {
          if
          :: S_IS_CURRENT ->
             doc.drawn_by_s++; h_stale = true; s_spent++
          :: else
          fi
        }
     :: else
     fi
  :: break
  od
}

/* == invariants == */

active proctype CheckOverspend() {
  byte out;
  atomic {
    a_spent + s_spent > TOTAL -> assert(false) /* overspent */
  }
}

#ifdef REACH_BACK
active proctype CheckRecovery() {
  byte out;
  /* a home drew all tokens, issued one and crashed; the other is free again */
  atomic {
    outstanding(out);
    crashed && doc.granted - doc.returned == TOTAL && doc.sealed &&
    doc.limit == 1 -> assert(false)
  }
}
#endif

init {
  atomic { run Home(); run Holder(); run Successor() }
}
