/* headers.h: the header fields of an HTTP message, in order of arrival. */
#ifndef FLOW_HEADERS_H
#define FLOW_HEADERS_H

#include <glib.h>
#include <stdbool.h>

#define HEADERS_MAX_FIELDS 64 /* a message with more is refused */

typedef struct Headers {
  GString *text; /* name NUL value NUL, for each field */
  int n;
  bool too_many;
  bool in_value;    /* the last piece was part of a value */
  bool value_ended; /* and nothing may follow it */
  struct {
    guint name, value; /* offsets in text */
  } offsets[HEADERS_MAX_FIELDS];
} Headers;

void headers_init(Headers *h);
void headers_clear(Headers *h);
void headers_free(Headers *h);

/* Append pieces of names and values in the order of the parser's callbacks. */
void headers_append_name(Headers *h, const char *p, size_t n);
void headers_append_value(Headers *h, const char *p, size_t n);

/* No piece may follow in the current value. */
void headers_end_value(Headers *h);
bool headers_value_has_ended(const Headers *h);

const char *headers_name(const Headers *h, int i);
const char *headers_value(const Headers *h, int i);
/* Returns the value of the first field of that name, regardless of case, or
   NULL. */
const char *headers_get(const Headers *h, const char *name);
int headers_count(const Headers *h, const char *name);
/* True for a hop-by-hop field: one that concerns a single connection by
   definition, or that the Connection field lists. */
bool headers_is_hop_by_hop(const Headers *h, int i);
/* Appends "Name: value" and a line end. */
void headers_write(GString *out, const char *name, const char *value);

#endif
