/* intake.c: a token bucket; once it is overdrawn, the instance reports not
   ready for a fixed time. */
#include "flow/intake.h"

#include <glib.h>

#define BITS_PER_BYTE 8
#define MEGA 1e6

void intake_init(Intake *k, double now, double link_mbps) {
  *k = (Intake){.bytes_per_s =
                    link_mbps * MEGA / BITS_PER_BYTE * INTAKE_LINK_RATIO,
                .updated_at = now};
  k->available_bytes = k->bytes_per_s * INTAKE_BURST_S;
}

bool intake_update(Intake *k, double now, int64_t received_total,
                   int instances) {
  double max_bytes = k->bytes_per_s * INTAKE_BURST_S;
  double room = MIN(k->available_bytes + k->bytes_per_s * (now - k->updated_at),
                    max_bytes);
  room -= (double)(received_total - k->received_bytes);
  /* Bytes received can't be refused any more: the debt is limited to a
     burst. */
  k->available_bytes = MAX(room, -max_bytes);
  k->received_bytes = received_total;
  k->updated_at = now;
  bool is_limited = k->bytes_per_s > 0 && instances >= INTAKE_MIN_INSTANCES;
  if (is_limited && k->available_bytes < 0 && now >= k->not_ready_until)
    k->not_ready_until = now + INTAKE_NOT_READY_S;
  return now < k->not_ready_until;
}
