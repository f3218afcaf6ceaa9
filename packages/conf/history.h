/* history.h: whether streams of a route may have begun at another service, by
   the configurations of the last time, and how long streams may last; pure. A
   route may be split between services, and a configuration may move its
   requests to another one, while a stream may go on only at the service that
   began it. */
#ifndef CONF_HISTORY_H
#define CONF_HISTORY_H

#include "conf/conf.h"

typedef enum {
  CONF_HISTORY_SHORT,   /* the configuration is known for less long */
  CONF_HISTORY_ONE,     /* streams of its routes began at this service */
  CONF_HISTORY_SEVERAL, /* they may have begun at another one */
} ConfHistoryKind;

typedef struct ConfHistory ConfHistory;

ConfHistory *conf_history_new(void);
void conf_history_free(ConfHistory *h);
/* `next` follows `old` (NULL: it is the first one). */
void conf_history_note(ConfHistory *h, double now, const Conf *old,
                       const Conf *next);
/* Where the streams of the routes of a service (text_hash of its name) may have
   begun in the last `memory_s` seconds. */
ConfHistoryKind conf_history_of(const ConfHistory *h, double now,
                                uint64_t service, double memory_s);
/* The longest time in seconds that a stream of the service may last, by the
   routes of the present configuration and of earlier ones under which streams
   may still run; 0: it has none. */
double conf_history_longest_s(const ConfHistory *h, double now,
                              uint64_t service);
/* The same for all services. */
double conf_history_longest_of_all_s(const ConfHistory *h, double now);

/* Stands for the stream routes that have a service (text_hash of its name),
   with all their services; 0: there are none. */
uint64_t conf_stream_routes(const Conf *c, uint64_t service);

#endif
