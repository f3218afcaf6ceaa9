/* events.h: splits an event stream into complete events. Only these are passed
   on, so that a stream that breaks inside an event can be resumed at another
   target without a gap or a repetition. */
#ifndef FLOW_EVENTS_H
#define FLOW_EVENTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct Events {
  GString *partial; /* start of an incomplete event */
  size_t searched;  /* bytes of it in which no event ends */
  int64_t last_id;  /* id of the last complete event, or EVENTS_NONE */
  int64_t count;    /* of complete events; comments are none */
} Events;

#define EVENTS_NONE (-1)

void events_init(Events *e, int64_t last);
void events_free(Events *e);
/* Adds bytes of the stream and appends the events that they complete to `out`.
   An event whose id is not above last_id is skipped. Returns false if an event
   is longer than LIMIT_EVENT_BYTES: the stream is damaged, and is not to be fed
   again before events_drop_partial. */
bool events_feed(Events *e, const char *data, size_t n, GString *out);
/* Whether an event has begun and is not complete. */
bool events_are_inside(const Events *e);
/* Drops the incomplete event after the stream broke. */
void events_drop_partial(Events *e);

#endif
