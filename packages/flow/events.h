/* events.h: cuts a stream into whole events, so that a stream which breaks off
   inside an event can go on elsewhere without a seam. */
#ifndef FLOW_EVENTS_H
#define FLOW_EVENTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct Events {
  GString *part; /* of an event that is not whole yet */
  int64_t last;  /* id of the last whole event, EVENTS_NONE */
  int64_t count; /* of whole events */
} Events;

#define EVENTS_NONE (-1)

void events_init(Events *e, int64_t last);
void events_free(Events *e);
/* Takes bytes of the stream and appends the events that are whole to `out`;
   one whose id is not above the last is left out. */
void events_take(Events *e, const char *data, size_t n, GString *out);
/* The source broke off; its unfinished event is dropped. */
void events_broken(Events *e);

#endif
