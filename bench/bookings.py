#!/usr/bin/env python3
"""bookings.py: measures the overhead of a claim on a non-repeatable request:
bookings one at a time, below the platform's rate limit, and many at once, through
three instances. Usage: bookings.py BUILD_DIR; prints JSON lines."""
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..",
                                "tests"))
import process  # noqa: E402  (provides Fleet)

GAP_S, SEQUENTIAL, CONCURRENT = 0.1, 200, 300


def book_sequentially(f):
    latencies_ms = []
    for i in range(SEQUENTIAL):
        t = time.monotonic()
        a = f.book(f.ports[i % 3], "p%d" % i, "k%d" % i)
        latencies_ms.append((time.monotonic() - t) * 1e3)
        assert a.status == 201, a.body
        time.sleep(GAP_S)
    return sorted(latencies_ms)


def main():
    f = process.Fleet()
    try:
        direct = []
        for i in range(SEQUENTIAL):
            t = time.monotonic()
            process.call(f.booking, "POST", "/book", "d%d" % i)
            direct.append((time.monotonic() - t) * 1e3)
        direct.sort()
        before, latencies_ms = f.stats(f.platform), book_sequentially(f)
        after = f.stats(f.platform)
        print(json.dumps({
            "bench": "bookings", "n": SEQUENTIAL, "gap_s": GAP_S,
            "direct_50": round(direct[SEQUENTIAL // 2], 2),
            "ms_50": round(latencies_ms[SEQUENTIAL // 2], 2),
            "ms_95": round(latencies_ms[SEQUENTIAL * 95 // 100], 2),
            "ms_most": round(latencies_ms[-1], 2),
            "writes_each": round((after["writes"] - before["writes"]) / SEQUENTIAL, 2)}))
        t = time.monotonic()
        answers = process.together([lambda i=i: f.book(
            f.ports[i % 3], "q%d" % i, "q%d" % i) for i in range(CONCURRENT)])
        print(json.dumps({
            "bench": "bookings at once", "n": CONCURRENT,
            "seconds": round(time.monotonic() - t, 2),
            "booked": sum(getattr(a, "status", 0) == 201 for a in answers),
            "not_run": sum(getattr(a, "ran", "") == "not-run" for a in answers)}))
    finally:
        f.close()


main()
