/* jobs.c: a small pool of blocking callers. */
#include "store/jobs.h"

#include <errno.h>
#include <glib.h>
#include <pthread.h>

#include "kernel/clock.h"
#include "kernel/limits.h"
#include "store/pace.h"

#define MAX_THREADS 16

struct Jobs {
  char *addr;
  int wait_s, n;
  bool stop;
  pthread_mutex_t lock;
  pthread_cond_t more;
  GQueue urgent, later; /* Job* */
  Pace reads, writes;
  pthread_t threads[MAX_THREADS];
};

/* Takes the first job that its rate allows; else sets *wait. */
static Job *take(GQueue *q, Jobs *j, bool urgent, double *wait) {
  double now = clock_now();
  for (GList *i = q->head; i; i = i->next) {
    Job *job = i->data;
    Pace *pace = job->kind == JOB_GET ? &j->reads : &j->writes;
    double w = pace_take(pace, now, urgent);
    if (w <= 0) {
      g_queue_delete_link(q, i);
      return job;
    }
    if (w < *wait) *wait = w;
  }
  return NULL;
}

static void wait_for(Jobs *j, double seconds) {
  struct timespec t;
  clock_gettime(CLOCK_MONOTONIC, &t);
  gint64 ns = t.tv_nsec + (gint64)(seconds * 1e9);
  t.tv_sec += ns / 1000000000;
  t.tv_nsec = ns % 1000000000;
  pthread_cond_timedwait(&j->more, &j->lock, &t);
}

static Job *next_job(Jobs *j) {
  Job *job = NULL;
  pthread_mutex_lock(&j->lock);
  while (!j->stop && !job) {
    double wait = 1.0;
    job = take(&j->urgent, j, true, &wait);
    if (!job) job = take(&j->later, j, false, &wait);
    if (!job) wait_for(j, wait);
  }
  pthread_mutex_unlock(&j->lock);
  return job;
}

static void job_free(gpointer p) {
  Job *job = p;
  g_free(job->text);
  g_free(job);
}

static PlatformAnswer call(Platform *p, const Job *job) {
  switch (job->kind) {
  case JOB_GET: return platform_get(p, job->name);
  case JOB_PUT: return platform_put(p, job->name, job->version, job->text);
  case JOB_DELETE: return platform_delete(p, job->name);
  }
  g_assert_not_reached();
}

static void *work(void *arg) {
  Jobs *j = arg;
  Platform *p = platform_open(j->addr, j->wait_s);
  Job *job;
  while ((job = next_job(j))) {
    PlatformAnswer a = call(p, job);
    if (job->done)
      job->done(job->ctx, job, &a);
    else
      g_free(a.text);
    job_free(job);
  }
  platform_close(p);
  return NULL;
}

Jobs *jobs_open(const char *addr, int threads, int wait_s) {
  Jobs *j = g_new0(Jobs, 1);
  j->addr = g_strdup(addr);
  j->wait_s = wait_s;
  j->n = MIN(threads, MAX_THREADS);
  pthread_condattr_t attr;
  pthread_condattr_init(&attr);
  pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
  pthread_cond_init(&j->more, &attr);
  pthread_condattr_destroy(&attr);
  pthread_mutex_init(&j->lock, NULL);
  pace_init(&j->reads, STORE_READS_PER_S, clock_now());
  pace_init(&j->writes, STORE_WRITES_PER_S, clock_now());
  for (int i = 0; i < j->n; i++) pthread_create(&j->threads[i], NULL, work, j);
  return j;
}

/* A small fleet need not divide: all together stay within the rates. */
static double share(double most, double all, int instances) {
  return MIN(most, all / MAX(instances, 1));
}

void jobs_share(Jobs *j, int instances) {
  double now = clock_now();
  pthread_mutex_lock(&j->lock);
  pace_rate(&j->writes, share(STORE_WRITES_PER_S, STORE_FLEET_WRITES_PER_S, instances), now);
  pace_rate(&j->reads, share(STORE_READS_PER_S, STORE_FLEET_READS_PER_S, instances), now);
  pthread_mutex_unlock(&j->lock);
}

void jobs_add(Jobs *j, const Job *job) {
  Job *copy = g_memdup2(job, sizeof *job);
  pthread_mutex_lock(&j->lock);
  g_queue_push_tail(job->urgent ? &j->urgent : &j->later, copy);
  pthread_cond_signal(&j->more);
  pthread_mutex_unlock(&j->lock);
}

void jobs_close(Jobs *j) {
  pthread_mutex_lock(&j->lock);
  j->stop = true;
  pthread_cond_broadcast(&j->more);
  pthread_mutex_unlock(&j->lock);
  for (int i = 0; i < j->n; i++) pthread_join(j->threads[i], NULL);
  g_queue_clear_full(&j->urgent, job_free);
  g_queue_clear_full(&j->later, job_free);
  pthread_mutex_destroy(&j->lock);
  pthread_cond_destroy(&j->more);
  g_free(j->addr);
  g_free(j);
}
