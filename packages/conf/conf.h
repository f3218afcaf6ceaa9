/* conf.h: the operators' configuration as this instance uses it: immutable,
   counted references, so that a request keeps the one it began with. */
#ifndef CONF_CONF_H
#define CONF_CONF_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define CONF_SPLITS 8     /* services that one route may be split over */
#define CONF_UNLIMITED -1 /* budget of a customer without one */

/* What may be done with a request whose outcome is not known. */
typedef enum { CONF_SAFE, CONF_UNSAFE, CONF_STREAM } ConfKind;

/* What a service's targets say of themselves; 0: nothing. */
typedef struct ConfService {
  char *name;
  bool engine;      /* a model engine; the rest is told of these alone */
  int slots;        /* requests of one batch */
  int event_tokens; /* tokens of one event of a stream */
  double cold_rate; /* requests a second that a cold target bears; 0: it needs
                       no care */
  double move_s;    /* seconds to move the memory of one token from target to
                       target; 0: they don't */
  double pause_s;   /* shortest pause that its streams allow; 0: no streams */
} ConfService;

typedef struct ConfSplit {
  char *service;
  double weight;
} ConfSplit;

typedef struct ConfRoute {
  char *name, *host, *prefix;
  ConfKind kind;
  bool resumable;   /* a stream may be continued after its last event */
  bool open;        /* needs no key */
  double timeout_s; /* longest time that a request is held */
  double aim_s;     /* an answer within this time earns its full worth */
  double pause_s;   /* longest pause of a stream that is still in time */
  int priority;     /* 0 is served first */
  int attempts;     /* targets that one request may be sent to */
  char **regions;   /* where it may be served, up to NULL; NULL: anywhere */
  ConfSplit splits[CONF_SPLITS];
  int n_splits;
} ConfRoute;

typedef struct ConfCustomer {
  char *name;
  int priority; /* before the route's; -1: none of its own */
  int64_t budget;
  char **regions; /* where its requests may be served, as in ConfRoute */
} ConfCustomer;

typedef struct Conf {
  int refs;
  uint64_t version;
  char *text;           /* as it came, for peers that ask */
  GPtrArray *routes;    /* ConfRoute* */
  GPtrArray *customers; /* ConfCustomer* */
  GHashTable *services; /* name -> ConfService* */
  GHashTable *hosts;    /* host -> GPtrArray of ConfRoute*, longest first */
  GHashTable *keys;     /* key -> ConfCustomer* */
  int64_t max_header, max_body; /* bytes */
  double header_s, idle_s;
} Conf;

Conf *conf_new(void);
Conf *conf_ref(Conf *c);
void conf_unref(Conf *c);
/* While it is filled. The parts are taken over. */
void conf_add_route(Conf *c, ConfRoute *r);
void conf_add_service(Conf *c, ConfService *s);
void conf_add_customer(Conf *c, ConfCustomer *u);
void conf_add_key(Conf *c, const char *key, ConfCustomer *u);
/* Call once it is full: sorts the routes of each host. */
void conf_seal(Conf *c);

/* The longest prefix of that host; NULL when there is none. */
const ConfRoute *conf_route(const Conf *c, const char *host, const char *path);
const ConfCustomer *conf_customer(const Conf *c, const char *key);
const ConfService *conf_service(const Conf *c, const char *name);
/* Which service of a split route; `chance` from 0 to 1. */
const char *conf_split(const ConfRoute *r, double chance);

#endif
