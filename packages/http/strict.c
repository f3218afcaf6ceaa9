/* strict.c: checks of the bytes that the parser passes on. */
#include "http/strict.h"

#include <string.h>
#include <strings.h>

#define MIN_STATUS 100
#define MAX_STATUS 599

/* Of the name of a field: a token. */
static bool is_token_byte(unsigned char c) {
  if (c >= '0' && c <= '9') return true;
  if ((c | 0x20) >= 'a' && (c | 0x20) <= 'z') return true;
  return c != '\0' && strchr("!#$%&'*+-.^_`|~", c);
}

/* Of the value of a field, or a reason: no control byte but a tab. */
static bool is_text_byte(unsigned char c) {
  return c == '\t' || (c >= ' ' && c != 0x7f);
}

static void check_bytes(Strict *s, const char *p, size_t n,
                        bool (*is_valid)(unsigned char)) {
  for (size_t i = 0; i < n; i++) s->is_broken |= !is_valid((unsigned char)p[i]);
}

/* == the end of a chunk == */

static const char line_end[] = "\r\n";

/* Checks as many of the bytes at `p` as are still to come. */
static void check_line_end(Strict *s, const char *p) {
  for (; s->line_ends > 0 && p < s->input_end; p++, s->line_ends--)
    s->is_broken |= *p != line_end[sizeof line_end - 1 - (size_t)s->line_ends];
}

static bool is_blank(char c) {
  return c == ' ' || c == '\t';
}

void strict_begin_input(Strict *s, const char *p, size_t n) {
  const char *last = p + n;
  s->input = p;
  s->input_end = p + n;
  s->byte_before = s->last_byte;
  while (last > p && is_blank(last[-1])) last--;
  if (last > p) s->last_byte = last[-1];
  check_line_end(s, p);
}

void strict_body(Strict *s, const http_parser *parser, const char *p,
                 size_t n) {
  if (!(parser->flags & F_CHUNKED) || parser->content_length > 0) return;
  s->line_ends = sizeof line_end - 1;
  check_line_end(s, p + n);
}

/* == heads == */

void strict_reason(Strict *s, const char *p, size_t n) {
  check_bytes(s, p, n, is_text_byte);
}

void strict_name(Strict *s, Headers *h, const char *p, size_t n) {
  check_bytes(s, p, n, is_token_byte);
  headers_append_name(h, p, n);
}

/* Whether only blanks are between `p` and the begin of its line. */
static bool is_at_line_start(const Strict *s, const char *p) {
  while (p > s->input && is_blank(p[-1])) p--;
  return (p > s->input ? p[-1] : s->byte_before) == '\n';
}

/* A value that goes on after its line has ended, or begins in the next line, is
   a folded one. */
void strict_value(Strict *s, Headers *h, const char *p, size_t n) {
  check_bytes(s, p, n, is_text_byte);
  s->is_broken |= headers_value_has_ended(h);
  s->is_broken |= n > 0 && !h->in_value && is_at_line_start(s, p);
  headers_append_value(h, p, n);
  if (p + n < s->input_end) headers_end_value(h);
}

/* Whether the coding of the body is one that is understood, by the parser as
   well. HTTP/1.0 has none. Blanks may follow a value. */
static bool has_known_coding(const http_parser *p, const Headers *h) {
  static const char chunked[] = "chunked";
  const size_t length = sizeof chunked - 1;
  int n = headers_count(h, "Transfer-Encoding");
  if (n == 0) return true;
  const char *coding = headers_get(h, "Transfer-Encoding");
  return n == 1 && p->http_minor > 0 && (p->flags & F_CHUNKED) &&
         strncasecmp(coding, chunked, length) == 0 &&
         coding[length + strspn(coding + length, " \t")] == '\0';
}

static bool check_head(const Strict *s, const http_parser *p,
                       const Headers *h) {
  return !s->is_broken && p->http_major == 1 && has_known_coding(p, h);
}

bool strict_check_answer(const Strict *s, const http_parser *p,
                         const Headers *h) {
  return check_head(s, p, h) && p->status_code >= MIN_STATUS &&
         p->status_code <= MAX_STATUS;
}

bool strict_check_request(const Strict *s, const http_parser *p,
                          const Headers *h) {
  return check_head(s, p, h);
}
