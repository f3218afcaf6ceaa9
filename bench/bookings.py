#!/usr/bin/env python3
"""bookings.py: what a claim adds to a request that may not be repeated: bookings one
after the other, slower than the platform's rate, and many at once, through three
instances. Usage: bookings.py BUILD_DIR; prints JSON lines."""
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..",
                                "tests"))
import process  # noqa: E402  the fleet of the process tests

GAP_S, CALM, BURST = 0.1, 200, 300


def calm(f):
    took = []
    for i in range(CALM):
        t = time.monotonic()
        a = f.book(f.ports[i % 3], "p%d" % i, "k%d" % i)
        took.append((time.monotonic() - t) * 1e3)
        assert a.status == 201, a.body
        time.sleep(GAP_S)
    return sorted(took)


def main():
    f = process.Fleet()
    try:
        direct = []
        for i in range(CALM):
            t = time.monotonic()
            process.call(f.booking, "POST", "/book", "d%d" % i)
            direct.append((time.monotonic() - t) * 1e3)
        direct.sort()
        before, took = f.stats(f.platform), calm(f)
        after = f.stats(f.platform)
        print(json.dumps({
            "bench": "bookings", "n": CALM, "gap_s": GAP_S,
            "direct_50": round(direct[CALM // 2], 2),
            "ms_50": round(took[CALM // 2], 2),
            "ms_95": round(took[CALM * 95 // 100], 2), "ms_most": round(took[-1], 2),
            "writes_each": round((after["writes"] - before["writes"]) / CALM, 2)}))
        t = time.monotonic()
        got = process.together([lambda i=i: f.book(
            f.ports[i % 3], "q%d" % i, "q%d" % i) for i in range(BURST)])
        print(json.dumps({
            "bench": "bookings at once", "n": BURST,
            "seconds": round(time.monotonic() - t, 2),
            "booked": sum(getattr(a, "status", 0) == 201 for a in got),
            "not_run": sum(getattr(a, "ran", "") == "not-run" for a in got)}))
    finally:
        f.close()


main()
