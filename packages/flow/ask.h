/* ask.h: a caller's request and a target's answer, decoded. Filled by
   platform/, used by everything else. */
#ifndef FLOW_ASK_H
#define FLOW_ASK_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/limits.h"

#define ASK_PARTS 12 /* parts of a prompt that are looked at */
#define ASK_NO_EVENT (-1)

/* One part of a prompt; equal ids mean equal text after equal parts. */
typedef struct AskPart {
  uint64_t id;
  int64_t tokens;
} AskPart;

typedef struct Ask {
  char id[LIMIT_ID_BYTES * 2]; /* of this attempt; the answer has to echo it */
  char host[256];
  const char *key;    /* the customer's, in the caller's head; "" if none */
  double deadline_s;  /* the caller waits this long; 0: not said */
  int64_t tokens_in;  /* of the prompt; 0: no prompt */
  int64_t tokens_out; /* at most */
  AskPart parts[ASK_PARTS];
  int n_parts;
  int64_t last_event; /* the caller has the stream up to here */
} Ask;

/* What an answer says of the requests that its target takes. */
typedef enum {
  ANSWER_NO_LIMIT,
  ANSWER_LIMIT,
  ANSWER_LIMIT_DAMAGED, /* a figure that is none */
} AnswerLimit;

typedef struct Answer {
  bool ours;      /* it echoes the attempt's id */
  bool signed_;   /* it bears a target's signature */
  bool not_run;   /* the target says that it did not run the request */
  bool other;     /* another target than the expected one has the address */
  bool encoded;   /* the body is not what the target made */
  bool leaving;   /* the target closes its connection */
  double cold_s;  /* the target stays cold for so long; 0: not said */
  bool load_told; /* the three that follow are known */
  int running, waiting, slots;
  AnswerLimit limits;
  double limit; /* requests a second that the target takes of all instances */
  double pace;  /* how long work takes there now, 1: as usual; 0: not told */
} Answer;

/* What a dispatch adds to a caller's request. */
typedef struct AskSend {
  const char *target;   /* name of the one that is meant */
  const char *donor;    /* address of the one that has parts of the prompt in
                           its memory, to be taken from there; NULL: none */
  const char *customer; /* NULL: none */
  double left_s;        /* until the caller or the operator gives up */
  int priority;         /* 0 first; -1: not said */
  int64_t last_event;   /* ASK_NO_EVENT: as the caller said */
} AskSend;

#endif
