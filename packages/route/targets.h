/* targets.h: the targets that there are, what this instance learned of each,
   and which one takes a request; pure. docs/PLATFORM.md, "Choice". */
#ifndef ROUTE_TARGETS_H
#define ROUTE_TARGETS_H

#include <glib.h>
#include <stdbool.h>

#include "flow/ask.h"
#include "kernel/limits.h"
#include "kernel/text.h"
#include "route/division.h"
#include "route/regions.h"
#include "route/tally.h"

/* A target as it stands in the store. */
typedef struct TargetInfo {
  char id[LIMIT_NAME]; /* used nowhere else; a new start may have the old one */
  int64_t born;        /* Unix milliseconds of its start; 0: not told */
  char service[LIMIT_NAME];
  char addr[LIMIT_NAME]; /* ip:port */
  char dc[LIMIT_NAME];
  int slots;
  bool leaving;
  double cold_s; /* it stays slow this much longer */
  uint64_t revision;
} TargetInfo;

typedef struct Targets Targets;
typedef struct Target Target;

Targets *targets_new(const char *dc, uint32_t seed);
void targets_free(Targets *s);
/* Where data centres lie, before the first target; it has to last. */
void targets_regions(Targets *s, const Regions *r);

/* == membership == */

/* Older news than what is known is passed over. True: it has started again
   under its id, and holds and knows nothing of before. */
bool targets_set(Targets *s, double now, const TargetInfo *t);
/* Whether this is newer than what is known of it: several instances read the
   store, and what one of them told is not to be told again. */
bool targets_is_news(const Targets *s, const TargetInfo *t);
/* Its entry went away. `lapsed`: perhaps only because the store was away; it
   is then used for TARGET_LAPSE_S more. */
void targets_gone(Targets *s, double now, const char *id, bool lapsed);
/* Everything that `keep` (a set of ids) does not hold is gone. */
void targets_only(Targets *s, double now, GHashTable *keep, bool lapsed);
/* The targets of a data centre get nothing from now on, or may again; false:
   nothing has changed. */
bool targets_evacuate(Targets *s, const char *dc, bool on);
/* Just the data centres of `dcs` (a set of names) are evacuated; whether
   anything has changed. */
bool targets_evacuate_only(Targets *s, GHashTable *dcs);
/* Operators' bound of requests to a cold target in a second: `overrun` times
   its rate, and `extra` (quota.h). */
void targets_cold_bound(Targets *s, double overrun, double extra);
/* Our place among the instances, for our part of what bounds a target. */
void targets_place(Targets *s, double now, int rank, int of);
/* Looks at single targets that choices and the order of pools took so far: the
   measure of their work. */
uint64_t targets_looks(const Targets *s);
/* How many targets of a data centre are known. */
int targets_in(const Targets *s, const char *dc);
/* target_hash of the one that is known by that id; 0: none is. */
uint64_t targets_life(const Targets *s, const char *id);
/* Calls `fn` for each that is known at an address, also those that left. */
void targets_at(Targets *s, const char *addr, void (*fn)(void *ctx, Target *t),
                void *ctx);
/* Another one has its address. */
void targets_replaced(Targets *s, double now, Target *t);
/* Forgets those that left and have nothing open. */
void targets_sweep(Targets *s, double now);
int targets_count(const Targets *s, const char *service);

/* == one dispatch == */

/* What is to be placed. */
typedef struct TargetAsk {
  const char *service;
  const RequestInfo *ask;
  bool engine;
  double cold_rate; /* requests a second that a cold target bears; 0: as a
                       warm one */
  double move_s;    /* to move the memory of one token; 0: it is not moved */
  double pause_s;   /* shortest pause that streams of the service allow; 0: none
                       are known */
  RegionSet regions; /* that it is bound to */
  bool no_permit; /* it may ask for no more of them: bounded targets are full */
  bool alone;     /* it may end its target: where the fewest others run */
  const Target *const *tried;
  int n_tried;
  const TallyWord *words; /* of targets_to_ask: only these are chosen from */
  int n_words;
} TargetAsk;

/* Work at a target: ours, and what the others told of theirs. */
typedef struct TargetLoad {
  int open;       /* requests */
  int64_t tokens; /* of prompts, to be read before their first byte */
} TargetLoad;

/* Why no target was chosen. */
typedef enum {
  TARGET_NONE_LEFT,      /* there is none, or all were tried */
  TARGET_NONE_ALLOWED,   /* those that are left lie outside its regions */
  TARGET_NONE_EVACUATED, /* those that are left are evacuated */
  TARGET_NONE_FULL, /* those that are left are bounded, and had their fill */
  TARGET_NONES
} TargetNone;

typedef struct TargetChoice {
  Target *target;      /* NULL: there is none */
  TargetNone none;     /* why */
  double back_s;       /* TARGET_NONE_FULL: when the caller may come back */
  QuotaBounds bounds;  /* of the target, for this request */
  bool bounded;        /* by them: it needs a permit (tally.h) */
  double wait_s;       /* predicted, until the first byte */
  int64_t fresh;       /* tokens of the prompt thought to be read anew */
  int64_t moved;       /* tokens that come from the memory of `donor` */
  const Target *donor; /* NULL: none */
  TargetLoad load;     /* what was there */
  int candidates;
  RegionSet regions; /* that the request is bound to */
  bool long_prompt;  /* reading it holds up the streams beside it */
  bool beside_long;  /* long prompts are read at that target */
} TargetChoice;

/* Targets that are worth asking for what all have there, in a fleet that does
   not tell each other of everything: the homes of the prompt's shared parts,
   and one at random, which is free when those are not. */
#define TARGETS_ASKED 3
/* Fills `out` with text_hash of them; how many. */
int targets_to_ask(Targets *s, double now, const TargetAsk *ask,
                   uint64_t out[TARGETS_ASKED]);

TargetChoice targets_pick(Targets *s, double now, const TargetAsk *ask);
/* True while it may take new work. */
bool target_usable(const Target *t, double now);
const char *target_id(const Target *t);
const char *target_addr(const Target *t);
uint64_t target_hash(const Target *t); /* of its id and this life of it */
/* Names who counts its work; 0: it is not known. */
uint64_t targets_counter(const Targets *s, uint64_t target);
int target_open(const Target *t); /* our own requests there */

/* The chosen target gets the request. */
void target_sent(Target *t, double now, const RequestInfo *ask,
                 const TargetChoice *c);
/* Its first byte came after `took_s`; `ahead` tokens of other prompts were to
   be read there when it was sent. */
void target_first(Target *t, int64_t fresh, int64_t ahead, double took_s);

typedef enum {
  TARGET_OK,
  TARGET_FULL,   /* it said that it did not run the request */
  TARGET_FAILED, /* an error of its own, a damaged answer */
  TARGET_SILENT, /* it could not be reached, or said nothing */
  TARGET_LEFT    /* we gave up; says nothing of it */
} TargetEnd;

/* The request has ended there; `first`: its first byte had come. `took_s`:
   all of it. */
void target_done(Target *t, double now, TargetEnd how, bool first,
                 int64_t fresh, double took_s);
/* It has ended: its entry goes within seconds. */
void target_ended(Target *t, double now);
/* What it says of its load; `pace`: how long work takes there now, 1: as
   usual, 0: not told. */
void target_load(Target *t, double now, int running, int waiting, double pace);
/* It says that it stays cold for so long. */
void target_cold(Target *t, double now, double left_s);

/* == bounded targets == */

/* What a word of a target's limit is to us. */
typedef enum {
  TARGET_KNOWN,
  TARGET_AGAIN,  /* known, but who counts there is to be told again */
  TARGET_CHANGED /* as well */
} TargetNews;

/* Requests a second that it takes of all instances, as its answer says;
   QUOTA_UNLIMITED: it names none. */
TargetNews target_limit(Target *t, double now, double per_s);
/* The same as another instance tells it; the target if it has changed. */
const Target *targets_limit_told(Targets *s, uint64_t target, double per_s);
/* The figure in its answer is damaged, and says nothing; whether the one before
   was sound. */
bool target_limit_damaged(Target *t);
/* The question for a permit where the choice led; `number` and `run` are the
   caller's to fill. */
TallyPermitAsk target_permit_ask(const TargetChoice *c, double now);
/* No permit is given for such a choice for so long. */
void target_full(const TargetChoice *c, double now, double wait_s);
/* Who counts there does not answer, or does not know: whether our own part has
   room for one more. */
bool target_deals(const TargetChoice *c, double now);

TargetLoad target_load_now(const Target *t, double now);

/* == what the other instances have there == */

/* Work of one instance at a target, in all: a lost message is made good by
   the next. */
typedef struct TargetWork {
  uint64_t target; /* text_hash of it */
  int open;        /* requests */
  int64_t tokens;  /* of prompts, to be read before their first byte */
} TargetWork;

/* Shared parts of prompts that one instance had read at a target. */
typedef struct TargetParts {
  uint64_t target; /* text_hash of it */
  int n;
  uint64_t names[REQUEST_MAX_PARTS];
} TargetParts;

/* Whether all instances tell each other of parts, and of their work. Where they
   don't, equal prompts meet at a home that all of them work out alike, nothing
   is moved and no pool is divided. */
void targets_parts_are_told(Targets *s, bool told);
/* What the others have not been told yet; false: nothing. */
bool targets_parts_news(Targets *s, TargetParts *m);
void targets_parts_told(Targets *s, double now, const TargetParts *m);

/* A stream that was sent there beside long prompts has ended; `held`: one of
   its pauses was longer than its route allows. */
void target_streamed(Target *t, double now, bool held);

/* What one instance saw of a pool. */
typedef struct TargetsPoolWord {
  uint64_t pool; /* text_hash of the service */
  DivisionWord word;
} TargetsPoolWord;

/* What we saw of the `i`-th pool; false: there are no more. */
bool targets_pool_word(Targets *s, double now, int i, TargetsPoolWord *w);
void targets_pool_told(Targets *s, double now, uint64_t from,
                       const TargetsPoolWord *w);

/* Our own work at a target where it changed since the last call; false when
   there is no other. */
bool targets_changed(Targets *s, TargetWork *w);
/* Instance `from` (hash of its id) tells of its work. */
void targets_others(Targets *s, double now, uint64_t from, const TargetWork *w);

#endif
