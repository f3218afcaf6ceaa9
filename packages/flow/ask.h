/* ask.h: a caller's request and a target's answer, as platform/wire.c decodes
   them from their header fields. */
#ifndef FLOW_ASK_H
#define FLOW_ASK_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/limits.h"

#define REQUEST_MAX_PARTS 12  /* parts of a prompt that are decoded */
#define REQUEST_NO_EVENT (-1) /* last_event: none is stated */

/* A part of a prompt, used to find targets that have it cached. Parts with
   equal ids have equal text, and the parts before them are equal too. */
typedef struct RequestPart {
  uint64_t id;
  int64_t tokens;
} RequestPart;

/* What the header of a caller's request states. */
typedef struct RequestInfo {
  char id[LIMIT_ID_BYTES * 2]; /* of this attempt; the answer echoes it */
  char host[256];
  const char *key;   /* of the customer, from the caller's header; "": none */
  double deadline_s; /* seconds that the caller waits; 0: not given */
  int64_t prompt_tokens; /* 0: no prompt */
  int64_t max_output_tokens;
  RequestPart parts[REQUEST_MAX_PARTS];
  int n_parts;
  bool has_more_parts; /* the list was longer; its last parts are missing */
  int64_t last_event;  /* number of the last event of the answer that the caller
                          has received; REQUEST_NO_EVENT */
  /* The caller's attempt that brought the first event of the stream that this
     one resumes; "": not given, or damaged. */
  char resumes[LIMIT_ID_BYTES * 2];
} RequestInfo;

/* Whether an answer states the rate of requests that its target accepts. */
typedef enum {
  ANSWER_LIMIT_NONE,
  ANSWER_LIMIT_GIVEN,
  ANSWER_LIMIT_INVALID, /* the value is not a number */
} AnswerLimitStatus;

/* What the header of a target's answer states. */
typedef struct AnswerInfo {
  bool id_matches;      /* it echoes the id of the attempt */
  bool is_signed;       /* it carries a target's signature */
  bool not_run;         /* the target states that it did not run the request */
  bool is_wrong_target; /* another target now has the address */
  bool is_encoded;      /* it has a content encoding, which targets don't use */
  bool is_closing;      /* the target closes the connection */
  bool is_leaving;      /* the target is leaving and accepts no new requests */
  double cold_s; /* the target remains cold for this much longer: it has just
                    started and is slow; 0: not given */
  bool has_load; /* the next three fields are set */
  /* Numbers of requests at the target; `slots`: that it runs at the same
     time. */
  int running, waiting, slots;
  double retry_after_s; /* the target wants no requests from this instance for
                           this long; 0: not given */
  bool retry_after_invalid; /* it is given, but is not a number of seconds */
  AnswerLimitStatus limit_status;
  double limit_per_s; /* requests per second that it accepts from all
                         instances together */
  double slowdown;    /* current processing time / usual time; 0: not given */
} AnswerInfo;

/* What is added to a caller's request when it is sent to a target. */
typedef struct RequestForward {
  const char *target; /* id of the target that the request is meant for */
  const char *donor;  /* address of a target to fetch cached parts of the prompt
                         from; NULL: none */
  const char *customer; /* NULL: none */
  double remaining_s;   /* until the deadline */
  int priority;         /* 0 is served first; -1: the header is not sent */
  int64_t last_event;   /* event after which the answer is to continue;
                           REQUEST_NO_EVENT: the caller's own value is sent */
} RequestForward;

#endif
