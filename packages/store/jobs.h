/* jobs.h: threads that do the platform's calls, urgent ones first, within the
   rates that this instance may use. */
#ifndef STORE_JOBS_H
#define STORE_JOBS_H

#include <stdbool.h>

#include "store/platform.h"

typedef enum { JOB_GET, JOB_PUT, JOB_DELETE } JobKind;

typedef struct Job {
  JobKind kind;
  bool urgent; /* draws and claims; others are housekeeping */
  char name[160];
  uint64_t version;
  char *text; /* PUT; owned by the job */
  /* Called on a worker thread, unless NULL. The answer's text belongs to the
     callee. */
  void (*done)(void *ctx, const struct Job *j, PlatformAnswer *a);
  void *ctx;
  int shard;     /* the owner's, */
  uint64_t part; /* and this */
} Job;

typedef struct Jobs Jobs;

Jobs *jobs_open(const char *addr, int threads, int wait_s);
/* How many instances share the platform's rates; 1 until told. */
void jobs_share(Jobs *j, int instances);
/* Copies the job, takes over its text. */
void jobs_add(Jobs *j, const Job *job);
/* Waits for calls in progress; what is queued is dropped. */
void jobs_close(Jobs *j);

#endif
