/* strict.h: what HTTP/1.1 requires of messages and the parser library lets pass
   (RFC 9110, RFC 9112): the form of status lines and field lines, codings, and
   what follows a chunk. A message that fails a check is no message. */
#ifndef HTTP_STRICT_H
#define HTTP_STRICT_H

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>

#include "flow/headers.h"

/* The checks of the messages of one connection. */
typedef struct Strict {
  const char *input, *input_end; /* what is being parsed */
  /* The last bytes that are no blanks, of the input before and of this one. */
  char byte_before, last_byte;
  int line_ends; /* bytes of the end of a chunk that are still to come */
  bool is_broken;
} Strict;

/* To be called before each http_parser_execute. */
void strict_begin_input(Strict *s, const char *p, size_t n);
/* To be called by the callbacks of the parser. */
void strict_reason(Strict *s, const char *p, size_t n);
void strict_name(Strict *s, Headers *h, const char *p, size_t n);
void strict_value(Strict *s, Headers *h, const char *p, size_t n);
void strict_body(Strict *s, const http_parser *parser, const char *p, size_t n);
/* Whether the head of an answer, also of an interim one, is valid. */
bool strict_check_answer(const Strict *s, const http_parser *p,
                         const Headers *h);
/* The same of a request. */
bool strict_check_request(const Strict *s, const http_parser *p,
                          const Headers *h);

#endif
