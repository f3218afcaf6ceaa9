/* originlog.h: the streams that began at this instance and have not ended, with
   their versions, as they are written to the store; pure. An instance writes
   its log while the version that began a stream can't be concluded otherwise,
   so that callers can resume their streams after a loss of all instances. A
   record is true whenever it is read: a log that is old, or was restored, only
   lacks streams. */
#ifndef ROUTE_ORIGINLOG_H
#define ROUTE_ORIGINLOG_H

#include <jansson.h>
#include <stdbool.h>

#include "route/origins.h"

typedef struct OriginLog OriginLog;

OriginLog *originlog_new(void);
void originlog_free(OriginLog *l);

/* A stream began; `record`: its ORIGINS_RECORD. */
void originlog_add(OriginLog *l, double now, const OriginsMsg *record);
/* The stream was delivered. */
void originlog_remove(OriginLog *l, uint64_t key);
/* Drops streams that began more than `keep_s` seconds ago. */
void originlog_sweep(OriginLog *l, double now, double keep_s);

/* Whether a stream was added since the log was last written. */
bool originlog_is_dirty(const OriginLog *l);
/* The content of its object in the store. It counts as written, until
   originlog_fail. */
json_t *originlog_write(OriginLog *l);
/* The content that was written last is not in the store. */
void originlog_fail(OriginLog *l);

/* Calls `fn` with each record of a content; false: some of it is damaged. */
bool originlog_read(const json_t *content,
                    void (*fn)(void *ctx, const OriginsMsg *record), void *ctx);

#endif
