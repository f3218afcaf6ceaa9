#!/usr/bin/env python3
"""capacity.py: computes the capacity of the fleet at its target size from measured
slopes.

Usage: capacity.py SLOPES.json CAPACITY.md; rewrites the part of the page
between its two markers, so that the page stays consistent with the measurements."""
import json
import sys

NODES, REGIONS, CENTRES, TARGETS = 350, 7, 26, 2400
BUDGETS, CUSTOMERS, MODELS, REQUESTS, TOKENS = 35000, 990, 26, 13000, 6.4e6
CHANGES_A_DAY, RESTARTS_A_DAY, LOSSES_A_DAY = 4800, 520, 19
SHARDS, CLAIM_SHARDS = 256, 32
CORE, MEMORY, BYTES = 0.013, 128e6, 11e3     # control-plane limits of a node
WRITES, READS, VALUE = 100.0, 2000.0, 1 << 20
CLAIMED = 0.02                               # share of non-repeatable requests
IDLE_S, ACCOUNT_S, TICKS = 20.0, 2.0, 10.0   # as in kernel/limits.h
NEAR_BYTES, FAR_BYTES, BEAT = 1500.0, 300.0, 160  # MEMBER_NEAR_BYTES_PER_S, MEMBER_FAR_BYTES_PER_S
SPREAD = 15.0                                # REPORT_WRITES_PER_S, home.c
RECORD_S, BATCH_S, BATCH_WRITES = 600.0, 5.0, 4.0
PARTS, HISTORY = 256, 64
CLAIM_KEEP_S = 3600.0                        # CLAIM_KEEP_S
MOVES_A_DAY = 2 * (RESTARTS_A_DAY + LOSSES_A_DAY)  # each is a loss and a new instance
LIST_S = 30.0                                # between listings of plans, entry/placer.c
LOAD_CALLS, TELL_BYTES = 10.0, 1500.0        # RATE, TELL_BYTES in route/loads.c
LOAD_CALL_BYTES, LOAD_CALL_NS = 270, 60000   # per GET of /load; thread time


def read(path):
    slopes = {}
    with open(path) as f:
        for line in f:
            o = json.loads(line)
            if "slope" not in o:
                continue
            slopes.setdefault(o["slope"], {})[o["n"]] = o["value"]
    return slopes


def at(slopes, name):
    """The slope at the largest size measured."""
    sizes = slopes[name]
    return sizes[max(sizes)]


def compute_rows(s):
    """Rows of (role, mechanism, count, core, memory, bytes/s, store calls/s)."""
    def slope(name):
        return at(s, name)
    per_node = REQUESTS / NODES
    # Mean seconds between requests of one budget at one instance.
    gap = BUDGETS / per_node
    accounts = min(BUDGETS, per_node * IDLE_S)
    homes = SHARDS / (NODES / REGIONS)          # shards of a node in its region
    grants = homes * BUDGETS / SHARDS
    ledger, head = slope("ledger message bytes"), slope("frame head bytes")
    rows = []
    # With 35,000 budgets nearly every request is the first of its budget at this
    # instance for minutes: draw, allotment, one report, its acknowledgement.
    draws = per_node if gap > IDLE_S else per_node / ACCOUNT_S
    hold_msgs = 4 * draws
    rows.append((
        "entry: reservations", "accounts from the region's home; idle ones go back",
        "%.0f accounts, %.0f messages/s" % (accounts, hold_msgs),
        (per_node * slope("ledger reserve and settle ns")
         + accounts * TICKS * slope("ledger tick ns an account")) / 1e9,
        accounts * slope("ledger account bytes") + BUDGETS * slope("ledger row bytes"),
        hold_msgs * (ledger + head) / 2, 0, 0))
    # As home a node serves the draws of its region and requests agreement of a
    # witness.
    raise_msgs = 1 * draws  # one pair per two allotments: 1,024 tokens ahead
    interval = max(10.0, SHARDS * REGIONS / SPREAD)
    writes = SHARDS * REGIONS / interval
    conflicts = 0.2
    # Every budget is drawn on in every region.
    doc = slope("shard bytes a budget") * BUDGETS / SHARDS
    code = slope("shard code ns a budget") * BUDGETS / SHARDS
    node_writes = writes / NODES
    rows.append((
        "home of budget shards", "grants by conditional update, one write a shard "
        "and region each %.0f s" % interval,
        "%.1f shards, %.0f grants, %.0f KB a shard" % (homes, grants, doc / 1e3),
        (draws * slope("home draw ns") + grants * TICKS * slope("home tick ns a grant")
         + node_writes * (1 + conflicts) * code) / 1e9,
        grants * slope("home grant bytes") + homes * doc * 3,
        (hold_msgs / 2 + raise_msgs / 2) * (ledger + head)
        + node_writes * (1 + 2 * conflicts) * doc,
        writes * (1 + conflicts), writes * conflicts + SHARDS * REGIONS / 30))
    rows.append((
        "witness", "one number a grant of a neighbour",
        "%.0f grants" % grants, draws * 300 / 1e9,
        grants * slope("witness entry bytes"), raise_msgs / 2 * (ledger + head), 0, 0))
    # Keys that callers may know are looked up; all finishes are reported.
    lookup_share = 0.3
    record_bytes = (slope("finish bytes") + slope("other record message bytes") * 2
                    + lookup_share * 2 * slope("other record message bytes")
                    + (2 + lookup_share * 2) * head)  # DURABLE shares its frame
    batches = NODES / max(BATCH_S, NODES / BATCH_WRITES)
    rows.append((
        "home of request records", "keeper by rendezvous in the region; bills in "
        "batches of one object",
        "%.0f records, %.0f bills/s a node" % (per_node * RECORD_S, per_node),
        per_node * slope("record begin and finish ns") / 1e9,
        per_node * RECORD_S * slope("record and owed bill bytes"),
        per_node * (record_bytes + slope("bill line bytes")),
        batches, 0))
    claims = REQUESTS * CLAIMED
    shard, kept = claims / CLAIM_SHARDS, claims / CLAIM_SHARDS * CLAIM_KEEP_S
    message = slope("other record message bytes") * 3 + slope(
        "claim outcome bytes") + 4 * head
    moves = MOVES_A_DAY * CLAIM_SHARDS / NODES / 86400.0
    share = CLAIM_SHARDS / NODES
    rows.append((
        "home of claims", "a home of the fleet for each of %d shards; one conditional "
        "update a second of a head, sealed into parts; %.0f ms on average"
        % (CLAIM_SHARDS, slope("claim wait ms")),
        "%.0f claims/s in the fleet; a home: %.1f/s, %.0f kept, %.0f KB/s"
        % (claims, shard, kept, shard * (slope("claim store bytes") + message) / 1e3),
        share * shard * slope("claim ns") / 1e9, kept * slope("claim memory bytes"),
        share * shard * (slope("claim store bytes") + 2 * message),
        CLAIM_SHARDS * slope("claim shard writes a 1000 s") / 1000,
        moves * (kept * slope("claim takeover bytes a claim") / 190e3 + 16)))
    view_changes = (RESTARTS_A_DAY * 2 + LOSSES_A_DAY * 2) / 86400.0
    near_s = NODES / REGIONS * BEAT / NEAR_BYTES
    far_s = NODES * BEAT / FAR_BYTES
    rows.append((
        "member view", "heartbeats in the region each %.1f s (%.0f s until a loss "
        "is seen), beyond each %.0f s; the platform's list each second"
        % (near_s, near_s * 6, far_s),
        "%d members" % NODES,
        ((NODES / REGIONS / near_s + NODES / far_s) * slope("heartbeat taken ns")
         + view_changes * NODES * 8 * slope("view change ns a member")) / 1e9,
        NODES * (slope("member bytes") * 10 + slope("peer link bytes")),
        NEAR_BYTES + FAR_BYTES, 0, NODES * 1.0))
    regional_targets = TARGETS / REGIONS
    duties = regional_targets / (NODES / REGIONS)
    rows.append((
        "load view", "one instance of a region asks a target and tells the others; "
        "targets of other regions as often as %.0f calls a second leave room for"
        % LOAD_CALLS,
        "%.0f targets asked each second, %.0f each %.0f s" % (
            duties, (TARGETS - regional_targets) / (NODES / REGIONS),
            (TARGETS - regional_targets) / (NODES / REGIONS) / (LOAD_CALLS - duties)),
        (per_node * slope("route decision ns") + LOAD_CALLS * LOAD_CALL_NS) / 1e9,
        TARGETS * slope("target bytes") * 2 + MODELS * 65536 * 48 / REGIONS,
        TELL_BYTES + LOAD_CALLS * LOAD_CALL_BYTES, 0, 0))
    pools = MODELS / NODES
    rows.append((
        "placing adapters", "a home of each pool, a plan an object; a watch an instance "
        "(%.0f/s) and a list each %.0f s" % (NODES / 10.0, LIST_S),
        "%d pools of %.0f targets, each looked at each second by its home"
        % (MODELS, TARGETS / MODELS),
        (pools * TARGETS / MODELS * slope("place look ns a target")
         + MODELS * NODES * slope("view home ns a member")) / 1e9,
        0.2e6, 100, pools * NODES / 30, NODES / 10.0 + NODES / LIST_S))
    rows_all = BUDGETS + CUSTOMERS + TARGETS
    head_bytes = PARTS * 48 + HISTORY * 160
    rows.append((
        "table", "256 parts by content hash, one head; a watch an instance (%.0f/s), "
        "versions in heartbeats" % (NODES / 10.0),
        "%d rows" % rows_all,
        CHANGES_A_DAY / 86400.0 * rows_all * (slope("table share ns a row") + 300) / 1e9,
        rows_all * (slope("table row bytes") + 150),
        CHANGES_A_DAY / 86400.0 * (head_bytes + rows_all / PARTS * 93),
        CHANGES_A_DAY / 86400.0 * 2,
        NODES / 10.0 + CHANGES_A_DAY / 86400.0 * NODES * 2))
    rows.append((
        "idle", "timers, watches, the platform's list", "one instance of %d"
        % max(s["idle instance core ppm"]),
        at(s, "idle instance core ppm") / 1e6, 14e6, 0, 0, 0))
    rows.append((
        "log", "two JSON lines a request", "%.0f lines/s" % (per_node * 2),
        per_node * 2 * slope("log line ns") / 1e9, 1e6, 0, 0, 0))
    rows.append((
        "operator's command", "reads the shards on demand", "%d reads a screen"
        % SHARDS, 0, 0, 0, 0, 1))
    return rows


def format_table(rows):
    out = ["| role | mechanism | size | core % | MB | KB/s | store writes/s | store "
           "reads/s |", "|---|---|---|---|---|---|---|---|"]
    total = [0.0] * 5
    for role, mechanism, size, *n in rows:
        total = [a + b for a, b in zip(total, n)]
        out.append("| %s | %s | %s | %.3f | %.1f | %.2f | %.1f | %.0f |" % (
            role, mechanism, size, n[0] * 100, n[1] / 1e6, n[2] / 1e3, n[3], n[4]))
    out.append("| **all** | | | **%.3f** | **%.1f** | **%.2f** | **%.1f** | **%.0f** |"
               % (total[0] * 100, total[1] / 1e6, total[2] / 1e3, total[3], total[4]))
    limits = [CORE, MEMORY, BYTES, WRITES, READS]
    out.append("| **limit** | | | %.1f | %.0f | %.0f | %.0f | %.0f |" % (
        CORE * 100, MEMORY / 1e6, BYTES / 1e3, WRITES, READS))
    names = ["core", "memory", "bytes", "store writes", "store reads"]
    over_limit = [n for n, t, l in zip(names, total, limits) if t > l]
    out.append("")
    out.append("Over the limit as built today: %s." % (
        ", ".join(over_limit) or "nothing"))
    return out


def format_slopes(s):
    out = ["| slope | at the sizes measured |", "|---|---|"]
    for name in sorted(s):
        out.append("| %s | %s |" % (name, ", ".join(
            "%g at %d" % (s[name][n], n) for n in sorted(s[name]))))
    return out


def main():
    s = read(sys.argv[1])
    begin, end = "<!-- measured: begin -->", "<!-- measured: end -->"
    with open(sys.argv[2]) as f:
        page = f.read()
    head, rest = page.split(begin)
    tail = rest.split(end)[1]
    body = format_table(compute_rows(s)) + ["", "## Slopes", ""] + format_slopes(s)
    with open(sys.argv[2], "w") as f:
        f.write(head + begin + "\n" + "\n".join(body) + "\n" + end + tail)


main()
