#!/usr/bin/env python3
"""stop_answers.py: each request that an instance has taken is answered before a planned
stop ends it, and truthfully.

Usage: stop_answers.py BUILD_DIR [TEST...]"""
import http.client
import json
import signal
import sys
import threading
import time

from fleet import config, route, run_tests
from standins import Worker, head

STOP_S = 4          # Site.stop_s
LONG_S = 8.0        # work that no stop waits for
EVERY_S, LASTS_S = 0.1, 3.2  # requests arrive during the stop


class Desk(Worker):
    def answer(self, c, method, path, headers, body):
        long = "long" in path
        if headers.get("x-loftpath-expect-instance") != self.name:
            return super().answer(c, method, path, headers, body)
        self.ran.append(headers["x-loftpath-attempt-id"])
        time.sleep(LONG_S if long else 0.05)
        c.sendall(head(headers["x-loftpath-attempt-id"], "Content-Length: 2") + b"ok")
        return True


def with_desks(s):
    s.remove_workers(s.desks)
    for k in range(2):
        s.desks.append(Desk(("127.0.0.1", 0), s.store, "d%d" % k, "desk"))
    s.store.put("config", "main", config(2, routes=[
        route("lu", "/unsafe/", "desk", "unsafe", timeout_ms=20000),
        route("ls", "/repeatable/", "desk", "safe", timeout_ms=20000)]))
    time.sleep(1.0)


class Asked:
    def __init__(self, s, path):
        self.path, self.status, self.ran = path, None, None
        self.thread = threading.Thread(target=self._ask, args=(s, path))
        self.thread.start()

    def _ask(self, s, path):
        try:
            a = s.call(path, "POST", b"x", X_Loftpath_Deadline_Ms="20000")
            self.status, self.id = a.status, a.id
            if a.status != 200:
                self.ran = json.loads(a.body)["error"]["ran"]
        except (OSError, http.client.HTTPException) as e:
            self.status = repr(e)


def stop_beside(s, paths):
    """Sends the requests, then stops the instance while more arrive. Returns all that
    were sent before it refused connections."""
    with_desks(s)
    asked = [Asked(s, p) for p in paths]
    time.sleep(0.5)
    s.processes[0].send_signal(signal.SIGTERM)
    end = time.monotonic() + LASTS_S
    while time.monotonic() < end:
        asked.append(Asked(s, paths[-1]))
        time.sleep(EVERY_S)
    began = time.monotonic()
    s.processes[0].wait(10)
    assert time.monotonic() - began < STOP_S, "the stop took too long"
    for a in asked:
        a.thread.join()
    return asked


def check(s, asked):
    got = {}
    for a in asked:
        got[str(a.status)] = got.get(str(a.status), 0) + 1
    print("   %s" % got, flush=True)
    arrived = {i for d in s.desks for i in d.ran}
    for a in asked:
        assert isinstance(a.status, int), "%s: no answer (%s)" % (a.path, a.status)
        assert a.ran != "no" or a.id not in arrived, "%s: it ran" % a.path


def test_a_request_longer_than_a_stop_is_answered(s):
    """Guards against a closed connection without an answer at the end of a stop, for a
    request that may not be repeated."""
    check(s, stop_beside(s, ["/unsafe/long"] * 4 + ["/unsafe/short"]))


def test_requests_that_arrive_during_a_stop_are_answered(s):
    """The same for those that are taken while the instance stops, which are refused
    once they could not end in time."""
    check(s, stop_beside(s, ["/repeatable/long"] * 4))


TESTS = {n: f for n, f in globals().items() if n.startswith("test_")}

if __name__ == "__main__":
    sys.exit(run_tests(TESTS))
