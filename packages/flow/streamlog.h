/* streamlog.h: writes this instance's log of open streams (route/originlog.h)
   to the store, soon after a stream was added. The object has the name of the
   instance in all its lives; a new life keeps the streams of the one before for
   as long as they may be resumed. */
#ifndef FLOW_STREAMLOG_H
#define FLOW_STREAMLOG_H

#include <ev.h>

#include "route/origins.h"
#include "store/objects.h"

#define STREAMLOG_KIND "stream-origins"

typedef struct StreamLog StreamLog;

/* `id`: of the instance, which ends with "." and its life. */
StreamLog *streamlog_new(struct ev_loop *loop, Store *store, const char *id);
void streamlog_free(StreamLog *g);
/* The least time between two writes, and how long after its beginning a stream
   may be resumed, in seconds. */
void streamlog_set_times(StreamLog *g, double interval_s, double memory_s);

/* As originlog_add and originlog_remove. */
void streamlog_add(StreamLog *g, const OriginsMsg *record);
void streamlog_remove(StreamLog *g, uint64_t key);
/* Drops streams that nobody resumes any more; to be called about once a second.
 */
void streamlog_sweep(StreamLog *g);

#endif
