/* conf.h: the operators' configuration: routes, services, customers and limits.
   It is immutable and reference-counted, so that a request keeps the version it
   started with. */
#ifndef CONF_CONF_H
#define CONF_CONF_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define CONF_MAX_SPLITS 8 /* services that one route may be split between */
#define CONF_NO_BUDGET -1 /* budget_tokens of a customer without a budget */

/* Whether a request may be sent again while its outcome is not known. */
typedef enum {
  CONF_SAFE,   /* yes */
  CONF_UNSAFE, /* no */
  CONF_STREAM  /* only if the route is `resumable`; the answer is a stream */
} ConfRouteKind;

/* Properties of a service's targets; 0: not specified. */
typedef struct ConfService {
  char *name;
  bool engine;             /* the targets are engines, which run a model */
  int batch_slots;         /* engine: requests in one batch */
  int tokens_per_event;    /* engine: tokens in one event of a stream */
  double cold_max_per_s;   /* requests per second that a cold target, which is
                              still slow after its start, can serve; 0: as many as
                              a warm one */
  double move_s_per_token; /* engine: time to move the cached state of one token
                              to another target; 0: it can't be moved */
  double max_pause_s;      /* shortest max_pause_s of its stream routes; 0: it
                              has none */
} ConfService;

/* A service of a route, and its share of the requests: its weight divided by
   the sum of the route's weights. */
typedef struct ConfSplit {
  char *service;
  double weight;
} ConfSplit;

typedef struct ConfRoute {
  char *name, *host, *prefix;
  ConfRouteKind kind;
  bool resumable;     /* a stream can be continued after its last event */
  bool is_public;     /* a caller needs no key */
  double timeout_s;   /* time limit of a request */
  double slo_s;       /* time within which an answer has its full value */
  double max_pause_s; /* longest acceptable pause of a stream */
  int priority;       /* 0 is served first */
  int max_attempts; /* number of times that a request may be sent to a target */
  char **regions;   /* regions that may serve it, NULL-terminated; NULL: any */
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
/* These add to a new configuration. It takes ownership of routes, services and
   customers, and copies keys. */
void conf_add_route(Conf *c, ConfRoute *r);
void conf_add_service(Conf *c, ConfService *s);
void conf_add_customer(Conf *c, ConfCustomer *u);
void conf_add_key(Conf *c, const char *key, ConfCustomer *u);
/* Completes the configuration after everything was added: sorts the routes of
   each host and sets max_pause_s of the services. */
void conf_finish(Conf *c);

/* Returns the route of the host with the longest prefix of the path, or NULL.
 */
const ConfRoute *conf_find_route(const Conf *c, const char *host,
                                 const char *path);
const ConfCustomer *conf_find_customer(const Conf *c, const char *key);
const ConfService *conf_find_service(const Conf *c, const char *name);
/* Chooses a service of the route by weight. `fraction` is a random number from
   0 to below 1. Returns NULL if the route has no service. */
const char *conf_choose_service(const ConfRoute *r, double fraction);

#endif
