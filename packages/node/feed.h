/* feed.h: follows four kinds of objects in the platform's store: the operators'
   configuration, the entries of targets, the evacuations (data centres whose
   targets must get no requests) and the trials of suspects (requests under
   which targets ended, which are tried at one target of the fleet at a time;
   trials.h). Each kind is listed once and then watched. The platform's adapter
   implements it. */
#ifndef NODE_FEED_H
#define NODE_FEED_H

#include "conf/conf.h"
#include "member/readers.h"
#include "peer/codec.h"
#include "route/checkpoint.h"
#include "store/objects.h"
#include "route/roster.h"
#include "route/targets.h"

/* The store's name of the kind of trials, which the router writes itself. */
#define FEED_TRIALS_KIND "trials"

typedef struct Feed Feed;

typedef struct FeedEvents {
  /* A configuration was read; it may be older than the one in force. */
  void (*conf_read)(void *ctx, Conf *c);
  /* An entry of a target was read. Returns false if it is not newer than the
     known one. */
  bool (*target_read)(void *ctx, const TargetInfo *t);
  /* A target's entry was removed. `after_outage`: the store was unavailable
     just before. */
  void (*target_removed)(void *ctx, const char *id, bool after_outage);
  /* The whole list of targets was read; `ids` is the set of their ids. */
  void (*targets_listed)(void *ctx, GHashTable *ids, bool after_outage);
  /* The evacuation of data centre `dc` began (`in_force`), or ended. */
  void (*evacuation_changed)(void *ctx, const char *dc, bool in_force,
                             uint64_t revision);
  /* All evacuations were read; `dcs` is the set of their data centres. */
  void (*evacuations_listed)(void *ctx, GHashTable *dcs);
  /* A trial was read; `content` NULL: it was removed. */
  void (*trial_changed)(void *ctx, const char *name, const json_t *content,
                        uint64_t revision);
  /* All trials were read; `names` is the set of their names. */
  void (*trials_listed)(void *ctx, GHashTable *names);
  /* Returns whether this instance reads the store, and for which instances. */
  ReadersDuty (*reader_duty)(void *ctx);
  /* Sends an update that this instance read, as a reader for others, to the
     other instances. */
  void (*broadcast)(void *ctx, const CodecFeed *m);
  /* Whether the other instances are known, and so `reader_duty` is reliable. */
  bool (*discovery_done)(void *ctx);
  /* Sends a message to one instance, which does not forward it. */
  void (*send_to)(void *ctx, const char *id, const CodecFeed *m);
  /* Returns the part of the list of targets that begins at `at`, to be freed
     with free. Moves `at` to the next part and sets `more` if there is one. */
  char *(*next_part)(void *ctx, RosterCursor *at, bool *more);
  /* Reports the outcome of a call of this instance to the store. */
  void (*store_outcome)(void *ctx, ReadersStoreResult outcome);
  /* Whether to check now if the store accepts a connection, and, once it does,
     whether to send a request on it (readers_probe_is_due,
     readers_request_is_due). */
  bool (*may_probe_store)(void *ctx);
  bool (*may_query_store)(void *ctx);
} FeedEvents;

Feed *feed_open(struct ev_loop *loop, Store *store, const FeedEvents *ev,
                void *ctx);
void feed_close(Feed *f);
/* Handles an update that another instance read and `from` sent or forwarded, or
   a request of `from` for the list of targets, or its answer to one. */
void feed_receive(Feed *f, const char *from, const CodecFeed *m);
/* This process was paused: queries the store for all that it missed. */
void feed_note_pause(Feed *f);
/* Whether the store has answered this instance for each kind at or after
   `since`, in the loop's time. */
bool feed_is_current_since(const Feed *f, double since);
/* Parses a configuration from its text, the form that Conf.text has. */
Conf *feed_parse_conf(const char *text, Err *e);
/* Whether, in a large fleet, the store is unavailable: the instances that read
   it for the others report that it does not answer them, or this instance reads
   for the others and gets no answer. */
bool feed_store_is_unavailable(const Feed *f);
/* What changed after a position, as the store has it. */
typedef struct FeedPast {
  /* A target's entry was written, or removed as it was. */
  void (*target)(void *ctx, const TargetInfo *t);
  /* An entry was removed that can't be read. */
  void (*unreadable_target)(void *ctx, const char *id);
  void (*conf)(void *ctx, const Conf *c);
  /* The changes up to `at` were read; NULL: not all were. `is_gone`: the store
     no longer has them. */
  void (*done)(void *ctx, const CheckpointPosition *at, bool is_gone);
} FeedPast;

/* Reads the changes of targets and configuration after `since` from the store,
   up to a time after this call. */
void feed_read_past(Feed *f, const CheckpointPosition *since,
                    const FeedPast *ev, void *ctx);
/* Sets `at` to the position up to which targets and configuration are known;
   false: they are not yet. */
bool feed_position(const Feed *f, CheckpointPosition *at);
/* How often either was listed anew after its first list: changes that were
   undone before such a list are not known. */
int feed_gaps(const Feed *f);
/* Whether each kind was listed at least once. */
bool feed_is_complete(const Feed *f);
/* Seconds since the configuration and the targets were last confirmed by the
   store or by a reader's report; the larger of the two ages. */
double feed_age_s(const Feed *f);

#endif
