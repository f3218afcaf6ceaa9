/* tally.h: one instance's count of what the whole fleet has at some targets;
   pure. In a large fleet nobody can tell everybody of each request, so each
   target has one instance that keeps its count: who sends work there tells it,
   and who wants to send asks it first, a few milliseconds before. An answer is
   right to within those; a target's own report is some hundred old.

   The load that this answers: 295 instances with two requests a second each
   share 160 engines. None knows what the others send, equal prompts go to one
   engine for their common parts, and while all prompts are new many come
   late on engines that are hardly in use. */
#ifndef ROUTE_TALLY_H
#define ROUTE_TALLY_H

#include <stdbool.h>
#include <stdint.h>

#include "route/regions.h"

/* Shared parts of a prompt that are told, the first ones; the users' have one
   or two. */
#define TALLY_NAMES 8

/* Names of the shared parts of a prompt, each with all before it. */
typedef struct TallyParts {
  int n;
  uint64_t names[TALLY_NAMES];
} TallyParts;

/* All that a sender says of one of its requests at a target: a lost word is
   made good by the next, or runs out. */
typedef struct TallyRun {
  uint64_t target;   /* text_hash of it */
  uint64_t counter;  /* names who counts it; kept by the sender */
  uint64_t run;      /* the sender's number of the request there */
  bool open;         /* false: it has ended */
  int64_t tokens;    /* of its prompt that are still to be read */
  TallyParts parts;  /* empty: as told before */
  RegionSet regions; /* that the request is bound to; kept by the sender */
} TallyRun;

typedef struct TallyAsk {
  uint64_t number; /* of the question */
  uint64_t target;
  uint64_t counter; /* as in TallyRun */
  TallyParts parts;
  RegionSet regions; /* as in TallyRun */
} TallyAsk;

typedef struct TallyWord {
  uint64_t number;
  uint64_t target;
  int open;       /* requests there */
  int starts;     /* that were sent there in the last second, at most */
  int64_t tokens; /* of prompts, still to be read */
  int known;      /* of the parts asked for, from the first on: sent there */
  int ripe;       /* the same, of those that must have been read by now */
} TallyWord;

typedef struct Tally Tally;

/* What may be told of these parts to who counts, who stands in region `at`. */
TallyParts tally_parts_to(const TallyParts *parts, RegionSet allowed,
                          RegionSet at);

Tally *tally_new(void);
void tally_free(Tally *t);
/* `from`: text_hash of the sender's id. */
void tally_take(Tally *t, double now, uint64_t from, const TallyRun *r);
TallyWord tally_word(Tally *t, double now, const TallyAsk *a);
/* Forgets what has run out; about once a second. */
void tally_sweep(Tally *t, double now);

#endif
