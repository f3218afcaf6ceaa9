/* explain.c: finds the event "request", then the events related to it. */
#include "report/explain.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "report/account.h"
#include "report/lines.h"

/* Covers an outage of the store and the events before it. */
#define CONTEXT_BEFORE_S 12.0

/* From the last event "request" with the id. */
typedef struct RequestSummary {
  char instance[64], target[64], customer[64];
  double started_at, ended_at;
  bool found;
} RequestSummary;

/* Events that change what an instance knows about the store, the
   configuration and the other instances. */
static const char *const state_events[] = {"store-lost",
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

static bool is_state_event(const json_t *line) {
  for (int i = 0; state_events[i]; i++)
    if (report_event_is(line, state_events[i])) return true;
  return false;
}

static bool is_about_request(const json_t *line, const char *request) {
  return strcmp(report_event_string(line, "request"), request) == 0;
}

static RequestSummary find_request(FILE *in, const char *request) {
  RequestSummary s = {0};
  long skipped = 0;
  json_t *line;
  while ((line = report_read_event(in, &skipped))) {
    if (report_event_is(line, "request") && is_about_request(line, request)) {
      g_strlcpy(s.instance, report_event_string(line, "instance"),
                sizeof s.instance);
      g_strlcpy(s.target, report_event_string(line, "target"), sizeof s.target);
      g_strlcpy(s.customer, report_event_string(line, "customer"),
                sizeof s.customer);
      s.ended_at = report_event_number(line, "t");
      s.started_at = s.ended_at - report_event_number(line, "seconds");
      s.found = true;
    }
    json_decref(line);
  }
  return s;
}

/* Returns how an event is related to the request, or NULL if it is not. */
static const char *classify_event(const json_t *line, const char *request,
                                  const RequestSummary *s) {
  double t = report_event_number(line, "t");
  bool same_instance =
      strcmp(report_event_string(line, "instance"), s->instance) == 0;
  bool target = s->target[0] &&
                strcmp(report_event_string(line, "target"), s->target) == 0;
  if (is_about_request(line, request)) return "itself";
  if (t < s->started_at - CONTEXT_BEFORE_S || t > s->ended_at) return NULL;
  if (same_instance && is_state_event(line)) return "its instance";
  if (target && !report_event_is(line, "request")) return "its target";
  return NULL;
}

static void print_event(const json_t *line, const char *relation,
                        const RequestSummary *s, FILE *out) {
  char *text = json_dumps(line, JSON_COMPACT | JSON_REAL_PRECISION(13));
  fprintf(out, "%+9.3f  %-12s  %s\n",
          report_event_number(line, "t") - s->started_at, relation, text);
  free(text);
}

bool report_explain(FILE *in, const char *request, FILE *out) {
  RequestSummary s = find_request(in, request);
  long skipped = 0;
  json_t *line;
  if (!s.found) return false;
  rewind(in);
  fprintf(out, "%s at %s, customer %s; seconds from its first byte\n", request,
          s.instance, s.customer[0] ? s.customer : "(none)");
  while ((line = report_read_event(in, &skipped))) {
    const char *relation = classify_event(line, request, &s);
    if (relation) print_event(line, relation, &s, out);
    if (relation && report_event_is(line, "request") &&
        is_about_request(line, request))
      fprintf(out, "cause: %s\n", report_request_cause(line));
    json_decref(line);
  }
  return true;
}
