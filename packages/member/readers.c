/* readers.c: the readers are the first few choices by rendezvous hashing whose
   reports arrive. */
#include "member/readers.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "kernel/text.h"

/* Any number; the same on all instances. */
#define RENDEZVOUS_KEY 0x72656164
#define REPORT_TTL_S 60.0 /* until an id without reports is dropped */

/* The last reports of an instance. */
typedef struct ReaderReport {
  double ok_at;          /* it read the store then, or was first expected to */
  double read_at;        /* it read the store then; 0: never reported */
  double unavailable_at; /* it got no answer then; 0: never reported */
} ReaderReport;

struct Readers {
  char self[LIMIT_ID_BYTES];
  char region[LIMIT_NAME_BYTES];
  GHashTable *reports; /* id -> ReaderReport */
  double round_phase;  /* 0 to 1: our place in a round of all instances */
  double answered_at;  /* when the store last answered us */
  double refused_at;   /* it last accepted any connection without answering */
  double probe_at, request_at; /* earliest next attempts */
  int n_members;               /* in the fleet */
  bool small_fleet;
  int n_choices;
  char choice[VIEW_MAX_HOMES][LIMIT_ID_BYTES]; /* the first n_choices */
};

Readers *readers_new(const char *self, const char *region) {
  Readers *r = g_new0(Readers, 1);
  g_strlcpy(r->self, self, sizeof r->self);
  g_strlcpy(r->region, region, sizeof r->region);
  r->round_phase = (double)text_hash(self) / (double)UINT64_MAX;
  r->answered_at = r->refused_at = -INFINITY;
  r->small_fleet = true;
  r->reports = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return r;
}

void readers_free(Readers *r) {
  g_hash_table_destroy(r->reports);
  g_free(r);
}

static ReaderReport *get_report(Readers *r, double now, const char *id) {
  ReaderReport *report = g_hash_table_lookup(r->reports, id);
  if (report) return report;
  report = g_new0(ReaderReport, 1);
  report->ok_at = now;
  g_hash_table_insert(r->reports, g_strdup(id), report);
  return report;
}

/* Seconds of a round in which each instance calls the store once. */
static double round_s(const Readers *r) {
  return MAX(READERS_PROBE_INTERVAL_S,
             r->n_members / READERS_FLEET_CALLS_PER_S);
}

/* The store accepts connections and does not answer on them. */
static void note_refused(Readers *r, double now) {
  bool first = now - r->refused_at >= READERS_TIMEOUT_S;
  if (first) r->request_at = now + r->round_phase * round_s(r);
  r->refused_at = now;
}

void readers_note_report(Readers *r, double now, const char *id,
                         ReadersStoreResult result) {
  ReaderReport *report = get_report(r, now, id);
  if (result == READERS_STORE_ANSWERED) {
    report->ok_at = report->read_at = now;
    report->unavailable_at = 0;
    return;
  }
  if (result == READERS_STORE_REFUSED) note_refused(r, now);
  report->ok_at = now - READERS_TIMEOUT_S;
  report->read_at = 0;
  report->unavailable_at = now;
}

void readers_note_own_call(Readers *r, double now, ReadersStoreResult result) {
  if (result == READERS_STORE_ANSWERED) r->answered_at = now;
  if (result == READERS_STORE_REFUSED) note_refused(r, now);
}

bool readers_probe_is_due(Readers *r, double now) {
  if (now < r->probe_at) return false;
  r->probe_at = now + READERS_PROBE_INTERVAL_S;
  return true;
}

bool readers_request_is_due(Readers *r, double now) {
  bool refused = now - r->refused_at < READERS_TIMEOUT_S;
  if (refused && now < r->request_at) return false;
  r->request_at = now + round_s(r);
  return true;
}

static gboolean is_expired(gpointer id, gpointer value, gpointer now) {
  (void)id;
  const ReaderReport *report = value;
  return *(double *)now - MAX(report->ok_at, report->unavailable_at) >
         REPORT_TTL_S;
}

void readers_update_view(Readers *r, const View *v) {
  const Member *first[VIEW_MAX_HOMES];
  r->n_members = v->n;
  r->small_fleet = v->n < FLEET_SMALL_INSTANCES;
  r->n_choices =
      view_homes(v, r->region, RENDEZVOUS_KEY, first, VIEW_MAX_HOMES);
  for (int i = 0; i < r->n_choices; i++)
    g_strlcpy(r->choice[i], first[i]->id, LIMIT_ID_BYTES);
}

/* The store answers us and not the first choices: we read in their place,
   unless enough instances with a smaller id than ours do. */
static bool must_step_in(const Readers *r, double now) {
  int n_before = 0;
  GHashTableIter it;
  gpointer id, value;
  if (now - r->answered_at >= READERS_TIMEOUT_S) return false;
  g_hash_table_iter_init(&it, r->reports);
  while (g_hash_table_iter_next(&it, &id, &value)) {
    const ReaderReport *report = value;
    bool reads =
        report->read_at > 0 && now - report->read_at < READERS_TIMEOUT_S;
    n_before += reads && strcmp(id, r->self) < 0;
  }
  return n_before < READERS_PER_REGION;
}

ReadersDuty readers_duty(Readers *r, double now) {
  int n_ok = 0, unavailable = 0;
  if (r->small_fleet) return READERS_DUTY_OWN;
  g_hash_table_foreach_remove(r->reports, is_expired, &now);
  for (int i = 0;
       n_ok < READERS_PER_REGION && n_ok + unavailable < READERS_MAX_TRYING;
       i++) {
    /* We are leaving, or none of the first choices sends reports. */
    if (i == r->n_choices) return READERS_DUTY_OWN;
    if (strcmp(r->choice[i], r->self) == 0) return READERS_DUTY_ALL;
    /* A choice that is new here gets a whole timeout for its first report. */
    const ReaderReport *report = get_report(r, now, r->choice[i]);
    n_ok += now - report->ok_at < READERS_TIMEOUT_S;
    unavailable += report->unavailable_at > 0 &&
                   now - report->unavailable_at < READERS_TIMEOUT_S;
  }
  /* Only reports of the first choices count here: at the end of an outage the
     store answers all instances at once, and all would begin to read. */
  if (n_ok < READERS_PER_REGION && must_step_in(r, now))
    return READERS_DUTY_ALL;
  return READERS_DUTY_NONE;
}
