/* allowance.pml: the seal of a grant whose home and witness are both lost.

   H, the home, has drawn all tokens. In the document it states an allowance: `base`
   tokens, and one more for each unit of time since `since`; it never has more tokens
   out at holders. A statement counts from the moment at which it is sent, since it
   may take effect at any time after that; two may be open at once. Later H may state
   a higher base. H may stop at any step. S learns of the end of H, some time after
   it, and when. It seals the grant with what the document allows until then, and
   draws and spends whatever that frees. The store may come back once from an older
   copy, in a new era, in which it gives out the same versions again.

   Invariant: no more tokens are spent than the budget has. Each of these switches
   must break it: NO_PROOF (S seals while H may live), NEWEST_ONLY (H obeys the last
   statement that it sent), FORGET_OPEN (a read of the same version resolves an open
   statement), LATE_STAMP (H states the time after that at which it counted), OLD_ERA
   (S trusts a statement of an earlier era), SLOW_CLOCK (S's clock is behind that of
   H). REACH_BACK asserts that nothing is ever recovered, which must fail too. */

#define TOTAL 3
#define TIME_MAX 2
#define VERSIONS 3 /* bounds the writes */
#define LATE_HERE(i) (sent[i].late && sent[i].on == doc.version)
#define NONE 255

typedef Statement {
  byte base, since, on, era; /* on, era: the version that it replaces */
  bool open, late; /* not resolved for H; may still take effect */
};

typedef Doc {
  byte version, base, since, era, limit;
  bool has, sealed;
};

Doc doc, copy;
bool copied;
byte now, era;
Statement sent[2];
byte net;                /* tokens that H gave out, all of which are spent */
byte known, known_era;   /* version that H read last */
byte c_base, c_since;    /* what that version states */
bool c_has, stopped;
byte s_spent, seen = NONE;

#ifdef LATE_STAMP
#define LATE 1
#else
#define LATE 0
#endif

/* H may have one token more out at holders. */
#define WITHIN(b, s) (net < (b) + now - ((s) - LATE))
#ifdef NEWEST_ONLY
#define MAY_GIVE ((sent[1].open && WITHIN(sent[1].base, sent[1].since)) || \
                  (!sent[1].open && sent[0].open && WITHIN(sent[0].base, sent[0].since)) || \
                  (!sent[1].open && !sent[0].open && (!c_has || WITHIN(c_base, c_since))))
#else
#define MAY_GIVE ((!c_has || WITHIN(c_base, c_since)) && \
                  (!sent[0].open || WITHIN(sent[0].base, sent[0].since)) && \
                  (!sent[1].open || WITHIN(sent[1].base, sent[1].since)))
#endif

inline resolve(i) {
  if
  :: sent[i].open && (sent[i].on != known || sent[i].era != known_era
#ifdef FORGET_OPEN
       || true
#endif
     ) -> sent[i].open = false
  :: else
  fi
}

inline read_doc() {
  known = doc.version; known_era = era;
  c_base = doc.base; c_since = doc.since; c_has = doc.has;
  if
  :: doc.sealed -> stopped = true
  :: else
  fi;
  resolve(0); resolve(1)
}

proctype Home() {
  do
  :: break
  :: atomic { !stopped && net < TOTAL && MAY_GIVE -> net++ }
  /* states an allowance for one token more than is out */
  :: atomic { !stopped && !sent[0].open && !LATE_HERE(0) && now < TIME_MAX && known < VERSIONS ->
       sent[0].base = net + 1; sent[0].since = now + LATE;
       sent[0].on = known; sent[0].era = known_era;
       sent[0].open = true; sent[0].late = true }
  :: atomic { !stopped && sent[0].open && !sent[1].open && !LATE_HERE(1) && now < TIME_MAX && known < VERSIONS ->
       sent[1].base = net + 1; sent[1].since = now + LATE;
       sent[1].on = known; sent[1].era = known_era;
       sent[1].open = true; sent[1].late = true }
  /* reads the document, or gets the answer to a write */
  :: atomic { !stopped -> read_doc() }
  od;
  stopped = true
}

/* A write arrives at any time, also after the end of H. */
inline apply(i) {
  doc.base = sent[i].base; doc.since = sent[i].since; doc.era = sent[i].era;
  doc.has = true; doc.version++; sent[i].late = false
}

proctype Store() {
  do
  :: atomic { sent[0].late && sent[0].on == doc.version && doc.version < VERSIONS && !doc.sealed -> apply(0) }
  :: atomic { sent[1].late && sent[1].on == doc.version && doc.version < VERSIONS && !doc.sealed -> apply(1) }
  :: atomic { now < TIME_MAX -> now++ }
  :: atomic { !copied -> copied = true;
       copy.version = doc.version; copy.base = doc.base; copy.since = doc.since;
       copy.era = doc.era; copy.has = doc.has }
  :: atomic { copied && era == 0 && !doc.sealed -> era = 1;
       doc.version = copy.version; doc.base = copy.base; doc.since = copy.since;
       doc.era = copy.era; doc.has = copy.has }
  :: break
  od
}

#ifdef NO_PROOF
#define IS_PROVED true
#else
#define IS_PROVED stopped
#endif

#ifdef OLD_ERA
#define IS_VALID true
#else
#define IS_VALID (doc.era == era)
#endif

proctype Successor() {
  atomic { IS_PROVED ->
    seen = now;
#ifdef SLOW_CLOCK
    if
    :: seen > 0 -> seen--
    :: else
    fi
#endif
  }
  atomic { doc.has && IS_VALID && !doc.sealed && seen >= doc.since ->
    doc.limit = doc.base + seen - doc.since; doc.sealed = true; doc.version++;
    if
    :: doc.limit < TOTAL -> s_spent = TOTAL - doc.limit
    :: else
    fi
  }
}

active proctype CheckOverspend() {
  atomic { net + s_spent > TOTAL -> assert(false) /* overspent */ }
}

#ifdef REACH_BACK
active proctype CheckRecovery() {
  atomic { s_spent > 0 -> assert(false) }
}
#endif

init {
  atomic { run Home(); run Store(); run Successor() }
}
