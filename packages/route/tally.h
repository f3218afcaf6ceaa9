/* tally.h: one instance's count of what the whole fleet has at some targets;
   pure. In a large fleet nobody can tell everybody of each request, so each
   target has one instance that keeps its count: who sends work there tells it,
   and who wants to send asks it first, a few milliseconds before. An answer is
   right to within those; a target's own report is some hundred old.

   The load that this answers: 295 instances with two requests a second each
   share 160 engines. None knows what the others send, equal prompts go to one
   engine for their common parts, and while all prompts are new many come
   late on engines that are hardly in use.

   The same count says what a bounded target (quota.h) may still get: in a fleet
   of any size who sends there asks for a permit first. */
#ifndef ROUTE_TALLY_H
#define ROUTE_TALLY_H

#include <stdbool.h>
#include <stdint.h>

#include "route/quota.h"
#include "route/regions.h"

/* Shared parts of a prompt that are told, the first ones; the users' have one
   or two. */
#define TALLY_MAX_PARTS 8

/* Names of the shared parts of a prompt, each with all before it. */
typedef struct TallyParts {
  int n;
  uint64_t names[TALLY_MAX_PARTS];
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

typedef struct TallyQuery {
  uint64_t number; /* of the question */
  uint64_t target;
  uint64_t counter; /* as in TallyRun */
  TallyParts parts;
  RegionSet regions; /* as in TallyRun */
} TallyQuery;

typedef struct TallyReport {
  uint64_t number;
  uint64_t target;
  int open;        /* requests there */
  int starts;      /* that were sent there in the last second, at most; read by
                      older builds only */
  int64_t tokens;  /* of prompts, still to be read */
  int known_parts; /* of the parts asked for, from the first on: sent there */
  int finished_parts; /* the same, of those that must have been read by now */
} TallyReport;

/* Asks for one request to a bounded target. */
typedef struct TallyPermitRequest {
  uint64_t number; /* of the question */
  uint64_t target;
  uint64_t counter;   /* as in TallyRun, but told */
  uint64_t run;       /* the number that the request will have there */
  QuotaBounds bounds; /* as the sender knows them */
  double reach;       /* quota_reach of the sender */
} TallyPermitRequest;

typedef enum {
  TALLY_FULL,    /* the target had its fill */
  TALLY_GIVEN,   /* the request may go there */
  TALLY_UNKNOWN, /* what it got is not known: the asker's own part holds */
  TALLY_VERDICTS
} TallyVerdict;

typedef struct TallyPermit {
  uint64_t number;
  uint64_t target;
  TallyVerdict verdict;
  double wait_s; /* until one may be given; 0 where it is */
  double limit;  /* of the target, as who counts knows it */
} TallyPermit;

/* What a target takes, as its answer said. */
typedef struct TallyLimit {
  uint64_t target;
  uint64_t counter; /* as in TallyRun, but told */
  double limit;     /* requests a second; QUOTA_UNLIMITED */
} TallyLimit;

typedef struct Tally Tally;

/* What may be told of these parts to who counts, who stands in region `at`. */
TallyParts tally_allowed_parts(const TallyParts *parts, RegionSet allowed,
                               RegionSet at);

Tally *tally_new(void);
void tally_free(Tally *t);
/* `from`: text_hash of the sender's id. */
void tally_apply_run(Tally *t, double now, uint64_t from, const TallyRun *r);
/* From now on there are `n` members: who counted a target before may have given
   permits that are not known here. `ours`: whether we count for that name; what
   others count is forgotten. Before the first call no permit is given. */
void tally_set_members(Tally *t, double now, int n,
                       bool (*ours)(void *ctx, uint64_t name), void *ctx);
TallyPermit tally_decide_permit(Tally *t, double now, uint64_t from,
                                const TallyPermitRequest *a);
/* A target's limit, as somebody was told it. */
void tally_set_limit(Tally *t, double now, const TallyLimit *m);
/* The next limit that the others are to hear of: one that changed, or one in
   force that they were told of so long (s) ago; false: none. */
bool tally_next_limit(Tally *t, double now, double again_s, TallyLimit *m);
TallyReport tally_report(Tally *t, double now, const TallyQuery *a);
/* Forgets what has run out; about once a second. */
void tally_sweep(Tally *t, double now);

#endif
