/* jobs.h: worker threads that make the blocking calls to the platform, urgent
   ones first, within the call rates of this instance. Of the others at least
   one call in nine is made. */
#ifndef STORE_JOBS_H
#define STORE_JOBS_H

#include <stdbool.h>

#include "store/platform.h"

typedef enum { JOB_GET, JOB_PUT, JOB_DELETE } JobKind;

typedef struct Job {
  JobKind kind;
  bool urgent; /* draws and claims; other jobs are housekeeping */
  char name[160];
  uint64_t version;
  char *text; /* PUT; owned by the job */
  /* Called on a worker thread, unless NULL. The answer's text belongs to the
     callee. */
  void (*done)(void *ctx, const struct Job *j, PlatformAnswer *a);
  void *ctx;
  int caller_shard;     /* for the caller's use */
  uint64_t caller_part; /* likewise */
} Job;

typedef struct Jobs Jobs;

/* `timeout_s` limits each call. */
Jobs *jobs_open(const char *addr, int threads, int timeout_s);
/* Sets the number of instances that share the platform's call rates. Until
   then this instance may use the rates of one that is alone. */
void jobs_set_instances(Jobs *j, int instances);
/* Copies the job and takes over its text. */
void jobs_add(Jobs *j, const Job *job);
/* Waits for calls in progress; queued jobs are dropped. */
void jobs_close(Jobs *j);

#endif
