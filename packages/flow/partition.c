/* partition.c: detects that this instance is partitioned from the targets, and
   reaches them through other instances until it is not. */
#include <string.h>

#include "flow/run.h"
#include "kernel/count.h"
#include "kernel/log.h"
#include "kernel/loopclock.h"
#include "kernel/text.h"

#define MAX_PICKS 8 /* of random targets, until one fits */
/* Exchanges that receive nothing for this long after the paths were found to be
   interrupted are given up. */
#define HUNG_S 0.2

/* == detection == */

static bool is_direct(void *ctx, const char *via) {
  (void)ctx;
  return via == NULL;
}

static bool is_tunnelled(void *ctx, const char *via) {
  (void)ctx;
  return via != NULL;
}

static void begin_interruption(Relay *r) {
  count_add(COUNT_PATHS_INTERRUPTED, 1);
  log_warn("targets-unreachable", "s:i,s:f,s:i", "targets",
           targets_count_all(r->targets), "silent",
           loopclock_now(r->loop) - links_last_direct_read(r->links), "open",
           r->n_runs);
  links_close_idle_if(r->links, is_direct, NULL);
  targets_end_ejections(r->targets);
  if (r->tunnels) tunnels_decide(r->tunnels, NULL, TUNNEL_UNAVAILABLE);
}

static void end_interruption(Relay *r) {
  log_info("targets-reachable", "s:f", "after",
           loopclock_now(r->loop) - paths_interrupted_since(r->paths));
  links_close_idle_if(r->links, is_tunnelled, NULL);
}

static void record_direct_attempt(Relay *r, const char *addr, bool connected) {
  double now = loopclock_now(r->loop);
  bool was_interrupted = paths_are_interrupted(r->paths);
  if (connected) g_strlcpy(r->reached, addr, sizeof r->reached);
  if (connected)
    paths_note_connected(r->paths, now);
  else
    paths_note_failed(r->paths, now, text_hash(addr),
                      targets_count_all(r->targets));
  if (paths_are_interrupted(r->paths) == was_interrupted) return;
  if (was_interrupted)
    end_interruption(r);
  else
    begin_interruption(r);
}

void relay_on_attempt(void *ctx, const char *addr, const char *via,
                      LinkConnectResult how) {
  Relay *r = ctx;
  if (!via) {
    record_direct_attempt(r, addr, how == LINK_CONNECTED);
  } else if (how == LINK_TUNNEL_FAILED) {
    count_add(COUNT_GATEWAYS_FAILED, 1);
    gateways_note_failed(r->gateways, loopclock_now(r->loop), via);
  } else {
    gateways_note_opened(r->gateways, via);
  }
}

/* Whether the run waits for an answer on a direct connection. */
static bool awaits_direct_answer(const Run *x) {
  return x->link && !x->via && link_has_sent(x->link) && x->paused_at == 0;
}

/* How long requests have been waiting without a byte from any target; 0: none
   is waiting. */
static double silence_s(const Relay *r) {
  double now = loopclock_now(r->loop), since = now;
  for (const Run *x = r->first_run; x; x = x->next)
    if (awaits_direct_answer(x)) since = MIN(since, x->sent_at);
  return now - MAX(since, links_last_direct_read(r->links));
}

static void note_known(void *ctx, Target *t) {
  (void)t;
  *(bool *)ctx = true;
}

static bool is_known(const Relay *r, const char *addr) {
  bool known = false;
  targets_for_each_at_addr(r->targets, addr, note_known, &known);
  return known;
}

/* Returns a random target that has not failed lately, other than `except`;
   NULL: none was found. */
static const char *pick_probed(const Relay *r, const char *except) {
  for (int i = 0; i < MAX_PICKS; i++) {
    const char *addr = targets_random_addr(r->targets);
    if (addr && !paths_has_failed(r->paths, text_hash(addr)) &&
        strcmp(addr, except) != 0)
      return addr;
  }
  return NULL;
}

const char *relay_pick_other(void *ctx, const char *addr) {
  const Relay *r = ctx;
  bool usable = strcmp(r->reached, addr) != 0 && is_known(r, r->reached) &&
                !paths_has_failed(r->paths, text_hash(r->reached));
  return usable ? r->reached : pick_probed(r, addr);
}

static void probe_target(Relay *r) {
  const char *addr = pick_probed(r, "");
  if (addr) link_preconnect(r->links, addr);
}

/* Connections that were open may live on while new ones fail. */
static bool direct_links_hang(const Relay *r) {
  double since = paths_interrupted_since(r->paths);
  return paths_are_interrupted(r->paths) &&
         loopclock_now(r->loop) - since > HUNG_S &&
         links_last_direct_read(r->links) <= since;
}

static void leave_hung_links(Relay *r) {
  for (Run *x = r->first_run, *next; x; x = next) {
    next = x->next;
    if (awaits_direct_answer(x) &&
        relay_pick_gateway(r, target_addr(x->target)))
      run_leave_path(x);
  }
}

void relay_check_paths(Relay *r) {
  int n = paths_due_probes(r->paths, loopclock_now(r->loop), silence_s(r));
  for (; n > 0; n--) probe_target(r);
  if (direct_links_hang(r)) leave_hung_links(r);
}

/* == gateways == */

static bool is_unusable(void *ctx, const char *via) {
  const Relay *r = ctx;
  return via && !gateways_has(r->gateways, via);
}

void relay_set_members(Relay *r, const View *v) {
  gateways_set_members(r->gateways, v, r->regions);
  trials_set_members(r->trials, v);
  links_close_idle_if(r->links, is_unusable, r);
}

static const char *find_gateway(const Relay *r, const char *addr,
                                RegionSet regions) {
  return g_intern_string(gateways_pick(r->gateways, loopclock_now(r->loop),
                                       text_hash(addr), regions));
}

static const char *pick_gateway(const Relay *r, const char *addr,
                                RegionSet regions) {
  if (!paths_are_interrupted(r->paths)) return NULL;
  return find_gateway(r, addr, regions);
}

const char *run_pick_gateway(const Run *x, const Target *t) {
  return pick_gateway(x->relay, target_addr(t), x->regions);
}

const char *relay_pick_gateway(const Relay *r, const char *addr) {
  return pick_gateway(r, addr, REGIONS_ANY);
}

const char *relay_find_gateway(const Relay *r, const char *addr) {
  return find_gateway(r, addr, REGIONS_ANY);
}

/* == tunnels for other instances == */

TunnelStatus relay_check_tunnel(void *ctx, const char *addr) {
  const Relay *r = ctx;
  if (!is_known(r, addr)) return TUNNEL_DENIED;
  bool available = !r->draining && !paths_are_interrupted(r->paths);
  return available ? TUNNEL_OPENED : TUNNEL_UNAVAILABLE;
}

/* A failure may be that of the target or of our own path. */
TunnelStatus relay_on_tunnel_attempt(void *ctx, const char *addr,
                                     TunnelStatus status) {
  Relay *r = ctx;
  record_direct_attempt(r, addr, status == TUNNEL_OPENED);
  if (status == TUNNEL_OPENED) return status;
  bool started =
      pathchecks_start(r->path_checks, addr, status == TUNNEL_REFUSED);
  return started ? TUNNEL_UNDECIDED : TUNNEL_UNAVAILABLE;
}

void relay_on_path_checked(void *ctx, const char *addr, PathVerdict verdict) {
  static const TunnelStatus statuses[] = {
      [PATHCHECK_REFUSED] = TUNNEL_REFUSED,
      [PATHCHECK_UNREACHABLE] = TUNNEL_UNREACHABLE,
      [PATHCHECK_UNKNOWN] = TUNNEL_UNAVAILABLE};
  Relay *r = ctx;
  if (r->tunnels) tunnels_decide(r->tunnels, addr, statuses[verdict]);
  relay_record_verdict(r, addr, verdict);
}

int relay_tunnel_count(const Relay *r) {
  return r->tunnels ? tunnels_count(r->tunnels) : 0;
}
