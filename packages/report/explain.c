/* explain.c: finds the request's line, then what happened around it. */
#include "report/explain.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "report/account.h"
#include "report/lines.h"

#define BEFORE_S 12.0 /* an outage of the store and what led to it */

/* What the request's last line says of it. */
typedef struct Subject {
  char instance[64], target[64], customer[64];
  double began, ended;
  bool found;
} Subject;

/* Events that tell what an instance believes of the world around it. */
static const char *const beliefs[] = {"store-lost",
                                      "store-regained",
                                      "history-lost",
                                      "configuration",
                                      "view",
                                      "settled",
                                      "configuration-asked",
                                      "draining",
                                      "started",
                                      "reads",
                                      NULL};

static bool is_belief(const json_t *line) {
  for (int i = 0; beliefs[i]; i++)
    if (line_is(line, beliefs[i])) return true;
  return false;
}

static bool names(const json_t *line, const char *request) {
  return strcmp(line_text(line, "request"), request) == 0;
}

static Subject find(FILE *in, const char *request) {
  Subject s = {0};
  long passed = 0;
  json_t *line;
  while ((line = lines_next(in, &passed))) {
    if (line_is(line, "request") && names(line, request)) {
      g_strlcpy(s.instance, line_text(line, "instance"), sizeof s.instance);
      g_strlcpy(s.target, line_text(line, "target"), sizeof s.target);
      g_strlcpy(s.customer, line_text(line, "customer"), sizeof s.customer);
      s.ended = line_number(line, "t");
      s.began = s.ended - line_number(line, "seconds");
      s.found = true;
    }
    json_decref(line);
  }
  return s;
}

/* Why a line belongs to the story of the request; NULL: it does not. */
static const char *relation(const json_t *line, const char *request,
                            const Subject *s) {
  double t = line_number(line, "t");
  bool here = strcmp(line_text(line, "instance"), s->instance) == 0;
  bool target =
      s->target[0] && strcmp(line_text(line, "target"), s->target) == 0;
  if (names(line, request)) return "itself";
  if (t < s->began - BEFORE_S || t > s->ended) return NULL;
  if (here && is_belief(line)) return "its instance";
  if (target && !line_is(line, "request")) return "its target";
  return NULL;
}

static void print(const json_t *line, const char *why, const Subject *s,
                  FILE *out) {
  char *text = json_dumps(line, JSON_COMPACT | JSON_REAL_PRECISION(13));
  fprintf(out, "%+9.3f  %-12s  %s\n", line_number(line, "t") - s->began, why,
          text);
  free(text);
}

bool report_explain(FILE *in, const char *request, FILE *out) {
  Subject s = find(in, request);
  long passed = 0;
  json_t *line;
  if (!s.found) return false;
  rewind(in);
  fprintf(out, "%s at %s, customer %s; seconds from its first byte\n", request,
          s.instance, s.customer[0] ? s.customer : "(none)");
  while ((line = lines_next(in, &passed))) {
    const char *why = relation(line, request, &s);
    if (why) print(line, why, &s, out);
    if (why && line_is(line, "request") && names(line, request))
      fprintf(out, "cause: %s\n", report_cause(line));
    json_decref(line);
  }
  return true;
}
