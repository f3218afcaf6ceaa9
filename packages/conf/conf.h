/* conf.h: the operators' configuration: routes, services, customers and limits.
   It is immutable and reference-counted, so that a request keeps the version it
   started with. */
#ifndef CONF_CONF_H
#define CONF_CONF_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define CONF_MAX_SPLITS 8 /* services of one route */
#define CONF_NO_BUDGET -1 /* value for a customer without a budget */

/* Whether a request may be sent again while its outcome is not known. */
typedef enum { CONF_SAFE, CONF_UNSAFE, CONF_STREAM } ConfRouteKind;

/* Properties of a service's targets; 0: not specified. */
typedef struct ConfService {
  char *name;
  bool engine;           /* the targets are model engines */
  int batch_slots;       /* engine: requests in one batch */
  int tokens_per_event;  /* engine: tokens in one event of a stream */
  double cold_max_per_s; /* requests per second that a cold target, one that is
                            still slow, can serve; 0: as a warm one */
  double move_s_per_token; /* engine: time to move the memory of one token to
                              another target; 0: it can't be moved */
  double max_pause_s;      /* shortest max_pause_s of its stream routes; 0: it
                              has none */
} ConfService;

typedef struct ConfSplit {
  char *service;
  double weight;
} ConfSplit;

typedef struct ConfRoute {
  char *name, *host, *prefix;
  ConfRouteKind kind;
  bool resumable;     /* a stream can be continued after its last event */
  bool is_public;     /* needs no key */
  double timeout_s;   /* time limit of a request */
  double slo_s;       /* time within which an answer has its full value */
  double max_pause_s; /* longest acceptable pause of a stream */
  int priority;       /* 0 is served first */
  int max_attempts;   /* number of targets that a request may be sent to */
  char **regions; /* regions that may serve it, NULL-terminated; NULL: any */
  ConfSplit splits[CONF_MAX_SPLITS];
  int n_splits;
} ConfRoute;

typedef struct ConfCustomer {
  char *name;
  int priority; /* overrides the route's; -1: none */
  int64_t budget_tokens;
  char **regions; /* regions that may serve its requests, as in ConfRoute */
} ConfCustomer;

typedef struct Conf {
  int refs;
  uint64_t version;
  char *text;           /* as received, for other instances that request it */
  GPtrArray *routes;    /* ConfRoute* */
  GPtrArray *customers; /* ConfCustomer* */
  GHashTable *services; /* name -> ConfService* */
  GHashTable *hosts; /* host -> GPtrArray of ConfRoute*, longest prefix first */
  GHashTable *keys;  /* key -> ConfCustomer* */
  int64_t max_header_bytes, max_body_bytes; /* of a request */
  double header_timeout_s, idle_timeout_s;
} Conf;

Conf *conf_new(void);
Conf *conf_ref(Conf *c);
void conf_unref(Conf *c);
/* Add parts to a new configuration. It takes ownership of routes, services and
   customers, and copies keys. */
void conf_add_route(Conf *c, ConfRoute *r);
void conf_add_service(Conf *c, ConfService *s);
void conf_add_customer(Conf *c, ConfCustomer *u);
void conf_add_key(Conf *c, const char *key, ConfCustomer *u);
/* Completes the configuration after all parts were added: sorts the routes of
   each host and sets max_pause_s of the services. */
void conf_finish(Conf *c);

/* Returns the route of the host with the longest prefix of the path, or NULL.
 */
const ConfRoute *conf_find_route(const Conf *c, const char *host,
                                 const char *path);
const ConfCustomer *conf_find_customer(const Conf *c, const char *key);
const ConfService *conf_find_service(const Conf *c, const char *name);
/* Chooses the service of a split route by weight; `fraction` is from 0 to 1. */
const char *conf_choose_service(const ConfRoute *r, double fraction);

#endif
