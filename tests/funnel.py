#!/usr/bin/env python3
"""funnel.py: the platform hands most new connections to one instance for some
seconds.

Guards against this failure: the instance serves its callers worse than all of them
served them before: tokens of budgets lie elsewhere, or its shares of limits are
those of one among many.

Usage: funnel.py BUILD_DIR [TEST...]"""
import random
import sys
import threading
import time

from faults import IN_TOUCH_S
from fleet import config, run_tests
from standins import chunk, event, head

BEFORE_S, FUNNEL_S = 6.0, 8.0
SHARE = 0.75   # of what is served before, from IN_TOUCH_S on
MOST = 0.95    # of the new connections
EVERY_S = 0.012


def answer_stream(w, c, headers):
    """Ten events within 0.2 s."""
    c.sendall(head(headers["x-loftpath-attempt-id"], "Content-Type: text/event-stream",
                   "Transfer-Encoding: chunked"))
    for k in range(1, 11):
        c.sendall(chunk(event(k)))
        time.sleep(0.02)
    c.sendall(b"0\r\n\r\n")
    return True


class Load:
    """A request with a new connection each EVERY_S, at a random instance or, with
    the chance MOST, at `to`."""

    def __init__(self, s):
        self.s, self.to, self.made, self.threads = s, None, [], []
        self.stopping = False
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self):
        dice, n = random.Random(3), 0
        while not self.stopping:
            n += 1
            i = dice.randrange(len(self.s.processes))
            if self.to is not None and dice.random() < MOST:
                i = self.to
            t = threading.Thread(target=self._make, args=(i, n % 3))
            t.start()
            self.threads.append(t)
            time.sleep(EVERY_S)

    def _make(self, i, kind):
        began, status = time.monotonic(), 0
        try:
            if kind == 0:
                status = self.s.call("/safe/x", i=i).status
            else:
                status = self.s.chat(20, 30, i=i).status
        except OSError:
            pass
        self.made.append((began, i, status))

    def share(self, since, until, i=None):
        done = [st for at, k, st in self.made
                if since <= at < until and i in (None, k) and st != 402]
        assert len(done) > 50, "only %d requests" % len(done)
        return sum(st == 200 for st in done) / len(done)

    def stop(self):
        self.stopping = True
        self.thread.join()
        for t in self.threads:
            t.join()


def play(s, prepaid):
    s.store.put("config", "main", config(2, prepaid=prepaid))
    for w in s.engines:
        w.play = answer_stream
    time.sleep(2.5)  # until all instances know it
    load = Load(s)
    time.sleep(BEFORE_S)
    began = time.monotonic()
    load.to = len(s.processes) - 1
    time.sleep(FUNNEL_S)
    moved = time.monotonic()
    load.to = 0  # the first one is out, another gets them
    time.sleep(FUNNEL_S)
    end = time.monotonic()
    load.stop()
    before = load.share(began - BEFORE_S + 2, began)
    first = load.share(began + IN_TOUCH_S, moved, len(s.processes) - 1)
    second = load.share(moved + IN_TOUCH_S, end, 0)
    print("   served: %.3f before, %.3f and %.3f at the two instances" % (
        before, first, second), flush=True)
    assert first >= SHARE * before and second >= SHARE * before, (before, first, second)


def test_most_new_connections_go_to_one_instance(s):
    play(s, 10**7)


def test_most_go_to_one_of_a_larger_fleet(s):
    play(s, 10**7)


TESTS = {n: f for n, f in globals().items() if n.startswith("test_")}

if __name__ == "__main__":
    sizes = dict.fromkeys(TESTS, 7)
    sizes["test_most_go_to_one_of_a_larger_fleet"] = 14
    sys.exit(run_tests(TESTS, sizes, engines=6))
