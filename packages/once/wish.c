/* wish.c: the runner's side of claims: who is asked, how often, who is next
   when nobody answers. */
#include "once/state.h"

#include <string.h>

#define SILENCE 0.6    /* then the next one is asked */
#define HELD_WAIT 1.5  /* the same, when the home said that it has the claim */
#define HELD_LONG 10.0 /* or an outcome, which nobody waits for */
#define QUIET_S 5.0    /* who did not answer is passed over this long */
#define EVERY_MOST 5.0 /* seconds between two tellings of the same */
#define HOME_SALT 0x636c61696dULL

void wish_free(gpointer p) {
  Wish *w = p;
  once_answer_clear(&w->answer);
  g_free(w);
}

static Wish *find(const Once *o, uint64_t nonce) {
  return g_hash_table_lookup(o->wishes, &nonce);
}

static void drop(Once *o, uint64_t nonce) {
  g_hash_table_remove(o->wishes, &nonce);
}

/* == who is asked == */

static bool quiet(const Once *o, int shard, const char *id) {
  const Quiet *q = &o->quiet[shard];
  return o->now < q->until && strcmp(q->id, id) == 0;
}

/* The shard's home in the fleet; our region's, should that one be silent or
   gone; else ourselves. Each can do it, being the home is no privilege: it
   saves writes. `asked`: who said nothing, "" nobody. */
static const char *pick(const Once *o, OnceKey key, const char *asked) {
  int shard = claim_shard(key);
  const char *regions[] = {NULL, o->region};
  bool passed = asked[0] == '\0';
  for (int i = 0; i < 2; i++) {
    const Member *m =
        view_home(o->view, regions[i], HOME_SALT + (uint64_t)shard, 0);
    if (!m) continue;
    bool same = strcmp(m->id, asked) == 0;
    if (passed && !same && !quiet(o, shard, m->id)) return m->id;
    passed |= same;
  }
  return o->self;
}

static void tell(Once *o, Wish *w) {
  OnceMsg m = {.kind = w->kind,
               .key = w->key,
               .nonce = w->nonce,
               .digest = w->digest,
               .answer = once_answer_copy(&w->answer, LIMIT_CLAIM_ANSWER_BYTES)};
  w->sent = o->now;
  once_send(o, w->to, &m);
}

static void ask(Once *o, Wish *w, const char *id) {
  w->many |= w->to[0] && strcmp(w->to, id) != 0;
  g_strlcpy(w->to, id, sizeof w->to);
  w->asked = o->now;
  w->held = false;
  w->every = ONCE_RESEND_S;
  tell(o, w);
}

static void ask_next(Once *o, Wish *w) {
  if (strcmp(w->to, o->self) == 0) { /* all were asked: once more */
    ask(o, w, pick(o, w->key, ""));
    return;
  }
  Quiet *q = &o->quiet[claim_shard(w->key)];
  if (!w->held) {
    g_strlcpy(q->id, w->to, sizeof q->id);
    q->until = o->now + QUIET_S;
  }
  ask(o, w, pick(o, w->key, w->to));
}

/* == wishes == */

static Wish *add(Once *o, const Run *r, OnceKind kind) {
  Wish *w = g_new0(Wish, 1);
  *w = (Wish){.kind = kind,
              .key = r->key,
              .nonce = r->nonce,
              .digest = r->digest,
              .handle = r->handle};
  g_hash_table_replace(o->wishes, &w->nonce, w);
  return w;
}

void wish_claim(Once *o, const Run *r) {
  ask(o, add(o, r, ONCE_CLAIM), pick(o, r->key, ""));
}

void wish_outcome(Once *o, const Run *r) {
  Wish *w = add(o, r, ONCE_OUTCOME);
  const OnceAnswer *a = &r->answer;
  w->answer =
      r->unknown ? (OnceAnswer){0} : once_answer_copy(a, LIMIT_CLAIM_ANSWER_BYTES);
  bool text = w->answer.body &&
              g_utf8_validate(w->answer.body, (gssize)w->answer.len, NULL);
  if (!text) {
    g_clear_pointer(&w->answer.body, g_free);
    w->answer.len = 0;
  }
  ask(o, w, pick(o, r->key, ""));
}

void wish_give_up(Once *o, const Run *r) {
  Wish *w = find(o, r->nonce);
  if (!w) {
    ask(o, add(o, r, ONCE_GIVE_UP), pick(o, r->key, ""));
    return;
  }
  w->kind = ONCE_GIVE_UP; /* who has the claim is told first */
  ask(o, w, w->to);
}

/* == answers == */

static void heard(Once *o, const Wish *w, const char *from) {
  Quiet *q = &o->quiet[claim_shard(w->key)];
  if (strcmp(q->id, from) == 0) q->until = 0;
}

void wish_claimed(Once *o, const char *from, const OnceMsg *m) {
  Wish *w = find(o, m->nonce);
  if (!w || w->kind != ONCE_CLAIM) return; /* given up: a late word */
  heard(o, w, from);
  uint64_t handle = w->handle, nonce = w->nonce;
  /* One refused, and another may still keep it: it is taken back. */
  if (m->verdict == ONCE_NO_CLAIM && w->many) {
    w->kind = ONCE_GIVE_UP;
    ask(o, w, w->to);
  } else
    drop(o, nonce);
  run_claimed(o, handle, nonce, m->verdict, &m->answer);
}

void wish_held(Once *o, const char *from, const OnceMsg *m) {
  Wish *w = find(o, m->nonce);
  if (!w || strcmp(w->to, from) != 0) return;
  heard(o, w, from);
  w->held = true;
}

void wish_kept(Once *o, const char *from, const OnceMsg *m) {
  const Wish *w = find(o, m->nonce);
  if (!w || w->kind == ONCE_CLAIM) return;
  heard(o, w, from);
  drop(o, m->nonce);
}

/* == time == */

static double patience(const Wish *w) {
  if (!w->held) return SILENCE;
  return w->kind == ONCE_CLAIM ? HELD_WAIT : HELD_LONG;
}

static void tick(Once *o, Wish *w) {
  bool us = strcmp(w->to, o->self) == 0;
  if (!us && !view_find(o->view, w->to)) {
    ask(o, w, pick(o, w->key, ""));
    return;
  }
  if (o->now - w->asked >= patience(w)) {
    ask_next(o, w);
    return;
  }
  if (o->now - w->sent < w->every) return;
  w->every = MIN(w->every * 2, EVERY_MOST);
  tell(o, w);
}

void wish_tick(Once *o) {
  GList *all = g_hash_table_get_values(o->wishes);
  for (GList *i = all; i; i = i->next) tick(o, i->data);
  g_list_free(all);
}
