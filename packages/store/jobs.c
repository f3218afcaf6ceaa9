/* jobs.c: a small thread pool with a queue for urgent jobs and one for the
   others, and rate limits for reads and for writes. */
#include "store/jobs.h"

#include <errno.h>
#include <glib.h>
#include <pthread.h>

#include "kernel/clock.h"
#include "kernel/limits.h"
#include "store/pace.h"

#define MAX_THREADS 16
/* Urgent jobs in a row while others wait. */
#define MAX_URGENT_IN_ROW 8

struct Jobs {
  char *addr;
  int timeout_s, thread_count;
  bool stop;
  pthread_mutex_t lock;
  pthread_cond_t job_added;
  GQueue urgent, background; /* Job* */
  int urgent_in_row;         /* jobs since the last background one */
  Pace reads, writes;
  pthread_t threads[MAX_THREADS];
};

/* Removes and returns the first job that its rate limit allows now. If there is
   none, lowers *wait_s to the shortest time until a job is allowed. */
static Job *take_allowed_job(GQueue *q, Jobs *j, bool urgent, double *wait_s) {
  double now = clock_now();
  for (GList *i = q->head; i; i = i->next) {
    Job *job = i->data;
    Pace *pace = job->kind == JOB_GET ? &j->reads : &j->writes;
    double w = pace_take(pace, now, urgent);
    if (w <= 0) {
      g_queue_delete_link(q, i);
      return job;
    }
    if (w < *wait_s) *wait_s = w;
  }
  return NULL;
}

static void wait_for_job(Jobs *j, double seconds) {
  struct timespec t;
  clock_gettime(CLOCK_MONOTONIC, &t);
  gint64 ns = t.tv_nsec + (gint64)(seconds * 1e9);
  t.tv_sec += ns / 1000000000;
  t.tv_nsec = ns % 1000000000;
  pthread_cond_timedwait(&j->job_added, &j->lock, &t);
}

/* The first background job has its turn after some urgent ones; otherwise it
   would wait for as long as they use the whole rate. */
static Job *take_job(Jobs *j, double *wait_s) {
  bool is_turn = j->urgent_in_row >= MAX_URGENT_IN_ROW;
  Job *job = is_turn ? take_allowed_job(&j->background, j, true, wait_s) : NULL;
  if (!job) job = take_allowed_job(&j->urgent, j, true, wait_s);
  if (!job) job = take_allowed_job(&j->background, j, false, wait_s);
  if (!job) return NULL;
  j->urgent_in_row =
      job->urgent ? MIN(j->urgent_in_row + 1, MAX_URGENT_IN_ROW) : 0;
  return job;
}

static Job *next_job(Jobs *j) {
  Job *job = NULL;
  pthread_mutex_lock(&j->lock);
  while (!j->stop && !job) {
    double wait_s = 1.0;
    job = take_job(j, &wait_s);
    if (!job) wait_for_job(j, wait_s);
  }
  pthread_mutex_unlock(&j->lock);
  return job;
}

static void job_free(gpointer p) {
  Job *job = p;
  g_free(job->text);
  g_free(job);
}

static PlatformAnswer execute_job(Platform *p, const Job *job) {
  switch (job->kind) {
  case JOB_GET: return platform_get(p, job->name);
  case JOB_PUT: return platform_put(p, job->name, job->version, job->text);
  case JOB_DELETE: return platform_delete(p, job->name);
  }
  g_assert_not_reached();
}

static void *run_worker(void *arg) {
  Jobs *j = arg;
  Platform *p = platform_open(j->addr, j->timeout_s);
  Job *job;
  while ((job = next_job(j))) {
    PlatformAnswer a = execute_job(p, job);
    if (job->done)
      job->done(job->ctx, job, &a);
    else
      g_free(a.text);
    job_free(job);
  }
  platform_close(p);
  return NULL;
}

Jobs *jobs_open(const char *addr, int threads, int timeout_s) {
  Jobs *j = g_new0(Jobs, 1);
  j->addr = g_strdup(addr);
  j->timeout_s = timeout_s;
  j->thread_count = MIN(threads, MAX_THREADS);
  pthread_condattr_t attr;
  pthread_condattr_init(&attr);
  pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
  pthread_cond_init(&j->job_added, &attr);
  pthread_condattr_destroy(&attr);
  pthread_mutex_init(&j->lock, NULL);
  pace_init(&j->reads, STORE_READS_PER_S, clock_now());
  pace_init(&j->writes, STORE_WRITES_PER_S, clock_now());
  for (int i = 0; i < j->thread_count; i++)
    pthread_create(&j->threads[i], NULL, run_worker, j);
  return j;
}

/* Returns the rate of one instance: an equal part of the fleet's rate, so that
   all instances together stay within it, but not more than `max_per_s`, which
   applies in a small fleet. */
static double instance_rate_per_s(double max_per_s, double fleet_per_s,
                                  int instances) {
  return MIN(max_per_s, fleet_per_s / MAX(instances, 1));
}

void jobs_set_instances(Jobs *j, int instances) {
  double now = clock_now();
  pthread_mutex_lock(&j->lock);
  pace_set_rate(&j->writes,
                instance_rate_per_s(STORE_WRITES_PER_S,
                                    STORE_FLEET_WRITES_PER_S, instances),
                now);
  pace_set_rate(&j->reads,
                instance_rate_per_s(STORE_READS_PER_S, STORE_FLEET_READS_PER_S,
                                    instances),
                now);
  pthread_mutex_unlock(&j->lock);
}

void jobs_add(Jobs *j, const Job *job) {
  Job *copy = g_memdup2(job, sizeof *job);
  pthread_mutex_lock(&j->lock);
  g_queue_push_tail(job->urgent ? &j->urgent : &j->background, copy);
  pthread_cond_signal(&j->job_added);
  pthread_mutex_unlock(&j->lock);
}

void jobs_close(Jobs *j) {
  pthread_mutex_lock(&j->lock);
  j->stop = true;
  pthread_cond_broadcast(&j->job_added);
  pthread_mutex_unlock(&j->lock);
  for (int i = 0; i < j->thread_count; i++) pthread_join(j->threads[i], NULL);
  g_queue_clear_full(&j->urgent, job_free);
  g_queue_clear_full(&j->background, job_free);
  pthread_mutex_destroy(&j->lock);
  pthread_cond_destroy(&j->job_added);
  g_free(j->addr);
  g_free(j);
}
