/* headers.h: the header fields of one HTTP message, in the order they came. */
#ifndef FLOW_HEADERS_H
#define FLOW_HEADERS_H

#include <glib.h>
#include <stdbool.h>

#define HEADERS_MAX 64 /* fields of a message; a longer one is refused */

typedef struct Headers {
  GString *text; /* name NUL value NUL, for each field */
  int n;
  bool too_many;
  bool in_value; /* the parser is inside a value */
  struct {
    guint name, value; /* offsets in text */
  } at[HEADERS_MAX];
} Headers;

void headers_init(Headers *h);
void headers_clear(Headers *h);
void headers_free(Headers *h);

/* Pieces as the parser finds them. */
void headers_name_piece(Headers *h, const char *p, size_t n);
void headers_value_piece(Headers *h, const char *p, size_t n);

const char *headers_name(const Headers *h, int i);
const char *headers_value(const Headers *h, int i);
/* The first field of that name, whatever its case; NULL when there is none. */
const char *headers_get(const Headers *h, const char *name);
int headers_count(const Headers *h, const char *name);
/* True for a field that concerns one connection only, by itself or because the
   Connection field names it. */
bool headers_hop(const Headers *h, int i);
/* Appends "Name: value" and a line end. */
void headers_put(GString *out, const char *name, const char *value);

#endif
