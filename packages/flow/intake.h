/* intake.h: whether callers send this instance more than its link bears; pure.

   The load that this answers: the balancer sends all connections of a caller to
   one instance, and some customers have one caller. One instance of 74, with 10
   Mbit/s, got 150 requests of 7 KB a second. Answers of budgets' homes and of
   targets stood 0.3 to 0.6 s behind request bodies, and of 300 requests in two
   seconds ten were served, while the others had room. Whoever is not ready gets
   no new connections, so that caller goes to the next instance; with its load
   passed on every few seconds no link is full for long. With accounts that
   follow the caller (ledger/holder) the worth of five days with trouble rose
   from 0.78 to 0.83 of what was owed, on the busiest from 0.78 to 0.89. */
#ifndef FLOW_INTAKE_H
#define FLOW_INTAKE_H

#include <stdbool.h>
#include <stdint.h>

/* Part of the link that bodies may take. They leave again for a target, answers
   and messages between instances come on top, some 0.3 of them. */
#define INTAKE_SHARE 0.52
#define INTAKE_BURST_S 0.25 /* seconds of that part that may come at once */
/* Seconds that an instance is not ready then. The balancer takes two to notice,
   and a caller comes back to the first instance by its hash: four others have
   had it by then. Of 15 and 30 s the better one. */
#define INTAKE_HOLD_S 15.0
/* Instances of the smallest fleet that does this: with four of them not ready
   at a time the callers' share of instances stays above 0.9. */
#define INTAKE_FLEET 48

typedef struct Intake {
  double rate;   /* bytes a second that may be used; 0: no bound */
  double room;   /* bytes that may come at once */
  int64_t taken; /* in all, as last told */
  double at;     /* then */
  double until;  /* we are not ready until then */
} Intake;

/* `link_mbps`: what the link bears each way, in Mbit/s; 0: not known. */
void intake_start(Intake *k, double now, double link_mbps);
/* Callers have sent so many bytes in all, in a fleet of so many instances. True
   while they are too many. */
bool intake_full(Intake *k, double now, int64_t taken, int instances);

#endif
