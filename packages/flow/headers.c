/* headers.c: names and values in one buffer, with an array of offsets. */
#include "flow/headers.h"

#include <string.h>
#include <strings.h>

static const char *const hop_by_hop_names[] = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",          NULL};

void headers_init(Headers *h) {
  memset(h, 0, sizeof *h);
  h->text = g_string_sized_new(512);
}

void headers_clear(Headers *h) {
  g_string_truncate(h->text, 0);
  h->n = 0;
  h->too_many = false;
  h->in_value = h->value_ended = false;
}

void headers_free(Headers *h) {
  if (h->text) g_string_free(h->text, TRUE);
  h->text = NULL;
}

/* == filling == */

void headers_append_name(Headers *h, const char *p, size_t n) {
  if (h->in_value || h->n == 0) {
    if (h->in_value) g_string_append_c(h->text, '\0');
    h->in_value = h->value_ended = false;
    h->too_many |= h->n == HEADERS_MAX_FIELDS;
    if (h->too_many) return;
    h->offsets[h->n].name = (guint)h->text->len;
    h->offsets[h->n].value = 0;
    h->n++;
  }
  if (!h->too_many) g_string_append_len(h->text, p, (gssize)n);
}

void headers_append_value(Headers *h, const char *p, size_t n) {
  if (h->too_many || h->n == 0) return;
  if (!h->in_value) {
    g_string_append_c(h->text, '\0');
    h->offsets[h->n - 1].value = (guint)h->text->len;
    h->in_value = true;
  }
  g_string_append_len(h->text, p, (gssize)n);
}

void headers_end_value(Headers *h) {
  h->value_ended = true;
}

bool headers_value_has_ended(const Headers *h) {
  return h->value_ended;
}

/* == reading == */

const char *headers_name(const Headers *h, int i) {
  return h->text->str + h->offsets[i].name;
}

const char *headers_value(const Headers *h, int i) {
  return h->offsets[i].value ? h->text->str + h->offsets[i].value : "";
}

const char *headers_get(const Headers *h, const char *name) {
  for (int i = 0; i < h->n; i++)
    if (strcasecmp(headers_name(h, i), name) == 0) return headers_value(h, i);
  return NULL;
}

int headers_count(const Headers *h, const char *name) {
  int n = 0;
  for (int i = 0; i < h->n; i++) n += strcasecmp(headers_name(h, i), name) == 0;
  return n;
}

/* `list` is separated by commas. */
static bool list_contains(const char *list, const char *name) {
  size_t n = strlen(name);
  while (list && *list) {
    while (*list == ' ' || *list == ',' || *list == '\t') list++;
    size_t len = strcspn(list, ", \t");
    if (len == n && strncasecmp(list, name, n) == 0) return true;
    list += len;
  }
  return false;
}

bool headers_is_hop_by_hop(const Headers *h, int i) {
  const char *name = headers_name(h, i);
  for (int k = 0; hop_by_hop_names[k]; k++)
    if (strcasecmp(name, hop_by_hop_names[k]) == 0) return true;
  for (int k = 0; k < h->n; k++)
    if (strcasecmp(headers_name(h, k), "Connection") == 0 &&
        list_contains(headers_value(h, k), name))
      return true;
  return false;
}

void headers_write(GString *out, const char *name, const char *value) {
  g_string_append(out, name);
  g_string_append_len(out, ": ", 2);
  g_string_append(out, value);
  g_string_append_len(out, "\r\n", 2);
}
