/* ask.h: a caller's request and a target's answer, as decoded by platform/
   from their header fields. */
#ifndef FLOW_ASK_H
#define FLOW_ASK_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/limits.h"

#define REQUEST_MAX_PARTS 12 /* parts of a prompt that are decoded */
#define REQUEST_NO_EVENT (-1)

/* A part of a prompt, used to find targets that have it cached. Parts with
   equal ids have equal text and follow equal parts. */
typedef struct RequestPart {
  uint64_t id;
  int64_t tokens;
} RequestPart;

typedef struct RequestInfo {
  char id[LIMIT_ID_BYTES * 2]; /* of this attempt; the answer echoes it */
  char host[256];
  const char *key;   /* of the customer, from the caller's header; "": none */
  double deadline_s; /* how long the caller waits; 0: not given */
  int64_t prompt_tokens; /* 0: no prompt */
  int64_t max_output_tokens;
  RequestPart parts[REQUEST_MAX_PARTS];
  int n_parts;
  int64_t last_event; /* last event of the stream that the caller has */
} RequestInfo;

/* Whether an answer states the rate of requests that its target accepts. */
typedef enum {
  ANSWER_LIMIT_NONE,
  ANSWER_LIMIT_GIVEN,
  ANSWER_LIMIT_INVALID, /* the value is not a number */
} AnswerLimitStatus;

typedef struct AnswerInfo {
  bool id_matches;      /* it echoes the id of the attempt */
  bool is_signed;       /* it carries a target's signature */
  bool not_run;         /* the target states that it did not run the request */
  bool is_wrong_target; /* another target now has the address */
  bool is_encoded;      /* the body is encoded, which targets don't do */
  bool is_closing;      /* the target closes the connection */
  double cold_s; /* remaining time that the target is cold; 0: not given */
  bool has_load; /* the next three fields are set */
  int running, waiting, slots;
  AnswerLimitStatus limit_status;
  double limit_per_s; /* requests that it accepts from all instances */
  double slowdown;    /* current processing time / usual time; 0: not given */
} AnswerInfo;

/* What is added to a caller's request when it is sent to a target. */
typedef struct RequestForward {
  const char *target; /* name of the intended target */
  const char *donor;  /* address of a target to fetch cached parts of the prompt
                         from; NULL: none */
  const char *customer; /* NULL: none */
  double remaining_s;   /* until the deadline */
  int priority;         /* 0 is served first; -1: not sent */
  int64_t last_event;   /* REQUEST_NO_EVENT: as the caller sent it */
} RequestForward;

#endif
