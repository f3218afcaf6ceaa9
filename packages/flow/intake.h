/* intake.h: detects that callers send this instance more than its network link
   can carry. The code makes no system calls.

   The load balancer sends all connections of a caller to one instance, and some
   customers have a single caller. An instance with a link of 10 Mbit/s, one of
   a fleet of 74, received 150 requests of 7 KB per second: answers of targets
   and of the instances that are homes of budgets queued 0.3 to 0.6 s behind
   request bodies, and of 300 requests within two seconds ten were served, while
   the other instances had capacity. An instance that reports not ready gets no
   new connections, so the caller moves to the next one, and with a move every
   few seconds no link stays full for long. Together with accounts that follow
   the caller (ledger/holder) this raised the value of the requests served from
   0.78 to 0.83 of the possible over five days with faults, and from 0.78 to
   0.89 on the busiest day. */
#ifndef FLOW_INTAKE_H
#define FLOW_INTAKE_H

#include <stdbool.h>
#include <stdint.h>

/* Share of the link that request bodies may use. Bodies are also sent on to a
   target, and answers and messages between instances add about 0.3 of their
   size. */
#define INTAKE_LINK_RATIO 0.52
#define INTAKE_BURST_S 0.25 /* length of a burst that may exceed that share */
/* How long the instance then reports not ready. The load balancer takes 2 s to
   notice, and the caller returns to the first instance by its hash, so about
   four others serve it in between. 30 s gave worse results. */
#define INTAKE_NOT_READY_S 15.0
/* Smallest fleet that does this: with four instances not ready at a time, more
   than 0.9 of the fleet remains available to callers. */
#define INTAKE_MIN_INSTANCES 48

typedef struct Intake {
  double bytes_per_s;     /* that callers may send; 0: no limit */
  double available_bytes; /* in the token bucket; below 0: in debt */
  int64_t received_bytes; /* total at the last update */
  double updated_at;
  double not_ready_until;
} Intake;

/* `link_mbps` is the link's capacity in each direction; 0: unknown. */
void intake_init(Intake *k, double now, double link_mbps);
/* Takes the total of bytes received from callers and the number of instances of
   the fleet. Returns true while the instance should report not ready. */
bool intake_update(Intake *k, double now, int64_t received_total,
                   int instances);

#endif
