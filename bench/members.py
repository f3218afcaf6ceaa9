#!/usr/bin/env python3
"""members.py: measures a fleet of many real instances: the time until all know each
other, the time until a loss is detected in its region, and the cost of heartbeats.

Usage: members.py BUILD_DIR [INSTANCES...]; prints JSON lines, and the slopes that
bench/capacity.py uses."""
import json
import os
import statistics
import sys
import time

sys.argv, ARGS = [sys.argv[0], sys.argv[1]], sys.argv[2:]
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..",
                                "tests"))
import process  # noqa: E402  (provides Fleet)

REGIONS = 7
SIZES = (24, 70, 140, 210)


def known_members(f, port):
    return {m["id"].split(".")[0] for m in f.admin(port, "instances").json()}


def cpu_s(pid):
    with open("/proc/%d/stat" % pid) as s:
        fields = s.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def rss_mb(pid):
    with open("/proc/%d/status" % pid) as s:
        return [int(l.split()[1]) / 1e3 for l in s if l.startswith("VmRSS")][0]


def measure(n):
    """Runs one fleet of n instances; returns its measurements."""
    start = time.monotonic()
    f = process.Fleet(engines=1, instances=n, regions=REGIONS, ready=False)
    try:
        process.wait_for("all to know all", lambda: all(
            len(known_members(f, p)) == n for p in f.ports), 120)
        joined = time.monotonic() - start
        procs = [f.procs["i%d" % i] for i in range(n)]
        cpu, t = [cpu_s(p.pid) for p in procs], time.monotonic()
        sent = [f.metric(p, "peer_bytes_out_total") for p in f.ports]
        time.sleep(20)
        dt = time.monotonic() - t
        share = [(cpu_s(p.pid) - c) / dt * 100 for p, c in zip(procs, cpu)]
        rate = [(f.metric(p, "peer_bytes_out_total") - b) / dt
                for p, b in zip(f.ports, sent)]
        f.kill("i0")
        t, same_region_ports = time.monotonic(), [
            p for i, p in enumerate(f.ports) if i and i % REGIONS == 0]
        process.wait_for("the loss to be seen", lambda: all(
            "i0" not in known_members(f, p) for p in same_region_ports), 120)
        return {
            "bench": "members", "instances": n, "regions": REGIONS,
            "known_to_all_s": round(joined, 1),
            "loss_seen_in_region_s": round(time.monotonic() - t, 1),
            "peer_bytes_s_median": round(statistics.median(rate)),
            "rss_mb_median": round(statistics.median(
                rss_mb(p.pid) for p in procs[1:]), 1),
            "core_percent_median": round(statistics.median(share), 2)}
    finally:
        f.close()


def print_slope(name, n, value):
    print(json.dumps({"slope": name, "n": n, "value": round(value, 1)}))


def main():
    base = None
    for n in map(int, ARGS or SIZES):
        got = measure(n)
        print(json.dumps(got))
        print_slope("idle instance core ppm", n, got["core_percent_median"] * 1e4)
        if base:
            print_slope("peer link bytes", n, 1e6 * (
                got["rss_mb_median"] - base["rss_mb_median"])
                / (n - base["instances"]))
        base = base or got
        sys.stdout.flush()


main()
