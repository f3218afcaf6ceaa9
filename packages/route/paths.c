/* paths.c: failed and successful attempts to connect to targets. */
#include "route/paths.h"

#include <glib.h>

/* Different targets that fail in a row when the paths are interrupted. A fleet
   with fewer targets has all of them fail. */
#define INTERRUPTED_TARGETS 3
#define FAILURE_MAX_AGE_S 3.0 /* a longer time between two starts a new row */
/* Successful probes in a row that end an interruption. The partition may come
   and go each second; while it does, the paths stay interrupted. */
#define RESTORED_PROBES 4
#define RESTORED_PROBE_INTERVAL_S 0.5
/* While a row of failures does not suffice. Probes that hang fail in less. */
#define FAILURE_PROBE_INTERVAL_S 0.5
/* A target may be silent for a second, and a long prompt takes as long. */
#define SILENCE_S 0.5
#define SILENCE_PROBE_INTERVAL_S 1.0

struct Paths {
  uint64_t failed[INTERRUPTED_TARGETS]; /* different addresses, in a row */
  int n_failed;
  double last_failure_at;
  bool interrupted;
  double interrupted_since;
  int n_restored;       /* successful probes in a row while interrupted */
  double next_probe_at; /* in an interruption or a silence */
  double next_failure_probe_at; /* in a row of failures */
};

Paths *paths_new(void) {
  return g_new0(Paths, 1);
}

void paths_free(Paths *p) {
  g_free(p);
}

static void clear_failures(Paths *p) {
  p->n_failed = 0;
  p->next_failure_probe_at = 0;
}

void paths_note_connected(Paths *p, double now) {
  clear_failures(p);
  if (!p->interrupted || ++p->n_restored < RESTORED_PROBES) return;
  p->interrupted = false;
  p->next_probe_at = now;
}

bool paths_has_failed(const Paths *p, uint64_t addr) {
  for (int i = 0; i < p->n_failed; i++)
    if (p->failed[i] == addr) return true;
  return false;
}

void paths_note_failed(Paths *p, double now, uint64_t addr, int n_targets) {
  p->n_restored = 0;
  if (now - p->last_failure_at > FAILURE_MAX_AGE_S) clear_failures(p);
  p->last_failure_at = now;
  if (p->interrupted || paths_has_failed(p, addr)) return;
  p->failed[p->n_failed++] = addr;
  if (p->n_failed < CLAMP(n_targets, 1, INTERRUPTED_TARGETS)) return;
  p->interrupted = true;
  p->interrupted_since = now;
  p->next_probe_at = now + RESTORED_PROBE_INTERVAL_S;
  clear_failures(p);
}

bool paths_are_interrupted(const Paths *p) {
  return p->interrupted;
}

double paths_interrupted_since(const Paths *p) {
  return p->interrupted_since;
}

static bool is_due(double *at, double now, double interval_s) {
  if (now < *at) return false;
  *at = now + interval_s;
  return true;
}

int paths_due_probes(Paths *p, double now, double silent_s) {
  if (p->interrupted)
    return is_due(&p->next_probe_at, now, RESTORED_PROBE_INTERVAL_S);
  if (p->n_failed > 0 && now - p->last_failure_at < FAILURE_MAX_AGE_S &&
      is_due(&p->next_failure_probe_at, now, FAILURE_PROBE_INTERVAL_S))
    return INTERRUPTED_TARGETS - p->n_failed;
  return silent_s >= SILENCE_S &&
         is_due(&p->next_probe_at, now, SILENCE_PROBE_INTERVAL_S);
}
