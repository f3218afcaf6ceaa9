/* checkpoint.h: what is known up to a revision of the store: the services whose
   targets have had one version, and whose stream routes no other service, for
   as long as a caller may resume a stream; pure. The store keeps one, so that
   an instance that starts need not have seen that itself: it reads what changed
   since, and drops the services to which that applies. What is left holds up to
   the revision that it has read to, whoever wrote the checkpoint and when. */
#ifndef ROUTE_CHECKPOINT_H
#define ROUTE_CHECKPOINT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct Checkpoint Checkpoint;

/* Revisions, with their era, of the targets and of the configuration. */
typedef struct CheckpointPosition {
  uint64_t targets, conf;
} CheckpointPosition;

Checkpoint *checkpoint_new(const CheckpointPosition *at);
void checkpoint_free(Checkpoint *c);
CheckpointPosition checkpoint_position(const Checkpoint *c);

/* Adds a service (text_hash of its name) whose streams began at this version
   (versions_hash) while its stream routes were those (conf_stream_routes). */
void checkpoint_add(Checkpoint *c, uint64_t service, uint64_t version,
                    uint64_t routes);
/* Sets the version at which all streams of the service began whose routes are
   `routes`; false: it is not known. */
bool checkpoint_find(const Checkpoint *c, uint64_t service, uint64_t routes,
                     uint64_t *version);
int checkpoint_count(const Checkpoint *c);

/* A target of the service has had this version since. */
void checkpoint_apply_target(Checkpoint *c, uint64_t service, uint64_t version);
/* The service has had these stream routes since. */
void checkpoint_apply_routes(Checkpoint *c, uint64_t service, uint64_t routes);
/* Calls `fn` for each service, which `fn` may drop by checkpoint_apply_. */
void checkpoint_for_each(Checkpoint *c, void (*fn)(void *ctx, uint64_t service),
                         void *ctx);
/* All changes up to `at` were applied. */
void checkpoint_advance(Checkpoint *c, const CheckpointPosition *at);

/* The content of its object in the store. */
json_t *checkpoint_write(const Checkpoint *c);
/* NULL: it is damaged. */
Checkpoint *checkpoint_read(const json_t *content);

#endif
