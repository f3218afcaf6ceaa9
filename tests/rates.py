#!/usr/bin/env python3
"""rates.py: a fleet learns how fast its engines read, and uses it.

Guards against this failure: the instance that counts an engine's requests reported
open requests and unread tokens, but not how fast the engine reads them. A fleet
before engines of uneven speed expected the same wait of the slow ones as of the fast
ones, and the expected time to the first byte, by which requests are to be admitted,
was wrong by the ratio of the speeds.

Services that are not managed must see none of this: no message, no log field.

Usage: rates.py BUILD_DIR [TEST...]"""
import http.client
import random
import signal
import sys
import threading
import time

import fleet
from fleet import config, run_tests, wait_for
from standins import Worker, chunk, event, head

INSTANCES, MANY = 3, 14
TOKENS, MEAN_SPEED = 2000, 20000  # of a prompt; tokens per second of an engine
SPEEDS = [0.5, 0.7, 1.0, 1.0, 1.4, 2.0]
LOAD = 0.7  # of what the engines read
LIGHT_LOAD, OVERLOAD = 0.35, 1.2
AIM_S = 0.5  # of the route
EVENTS, PAUSE_S = 4, 0.02
LEARN_S, SECONDS = 3.0, 6.0


class Engine(Worker):
    """Reads prompts one after the other at `speed` tokens per second."""

    def __init__(self, store, name, speed):
        self.speed, self.free_at, self.lock = speed, 0.0, threading.Lock()
        super().__init__(("127.0.0.1", 0), store, name, "engine")

    def answer(self, c, method, path, headers, body):
        if headers.get("x-loftpath-expect-instance") != self.name:
            return super().answer(c, method, path, headers, body)
        attempt = headers["x-loftpath-attempt-id"]
        tokens = int(headers.get("x-loftpath-token-count", "0,0").split(",")[0])
        with self.lock:
            self.free_at = max(self.free_at, time.monotonic()) + tokens / self.speed
            until = self.free_at
        time.sleep(max(0.0, until - time.monotonic()))
        c.sendall(head(attempt, "Content-Type: text/event-stream",
                       "Transfer-Encoding: chunked"))
        for k in range(1, EVENTS + 1):
            c.sendall(chunk(event(k)))
            time.sleep(PAUSE_S)
        c.sendall(b"0\r\n\r\n")
        return True


def with_engines(s, speeds=SPEEDS):
    s.remove_workers(s.engines)
    c = config(2)
    del c["tenants"][0]["prepaid"]  # no budget, whose home may be frozen
    s.store.put("config", "main", c)
    s.engines[:] = [Engine(s.store, "engine%d" % i, MEAN_SPEED * v)
                    for i, v in enumerate(speeds)]
    for i in range(len(s.processes)):
        wait_for("instance %d to serve" % i,
                 lambda: s.chat(5, out=5, i=i).status == 200)


class Load:
    """Prompts at random instances other than `away`, for `seconds`."""

    def __init__(self, s, seconds, away=(), load=LOAD, tokens=TOKENS):
        self.s, self.tokens, self.threads = s, tokens, []
        self.made = []  # (start, first byte or None)
        who = [i for i in range(len(s.processes)) if i not in away]
        per_s = load * MEAN_SPEED * sum(SPEEDS) / tokens
        dice, end = random.Random(1), time.monotonic() + seconds
        while time.monotonic() < end:
            t = threading.Thread(target=self._one, args=(dice.choice(who),))
            t.start()
            self.threads.append(t)
            time.sleep(dice.expovariate(per_s))
        for t in self.threads:
            t.join()

    def _one(self, i):
        began, first = time.monotonic(), None
        try:
            c = self.s.connect(i)
            c.request("POST", "/chat/x", b"hello", self.s.head(
                X_Loftpath_Token_Count="%d,10" % self.tokens))
            r = c.getresponse()
            first = time.monotonic() - began if r.status == 200 else None
            r.read()
        except (OSError, http.client.HTTPException):
            pass
        self.made.append((began, first))

    def on_time(self, since=0.0):
        made = [f for b, f in self.made if b >= since]
        return sum(f is not None and f <= AIM_S for f in made) / len(made)


def metric(s, i, name):
    c = http.client.HTTPConnection(s.ip(i), fleet.BASE + 1, timeout=2)
    c.request("GET", "/metrics")
    for line in c.getresponse().read().decode().splitlines():
        if line.startswith("loftpath_%s " % name):
            return int(line.split()[1])
    raise KeyError(name)


def total(s, name):
    return sum(metric(s, i, name) for i in range(len(s.processes)))


def requests_of(s, since):
    return [l for i in range(len(s.processes)) for l in s.log(i)
            if l["event"] == "request" and l["t"] >= since]


def check_rates(s, since):
    """The rates that requests were sent by are those of the engines. In a small fleet
    one engine is kept for long prompts (route/division.h), so one may have none."""
    lines, checked = [l for l in requests_of(s, since) if l.get("rate")], 0
    for i, v in enumerate(SPEEDS):
        rates = sorted(l["rate"]["tokens_per_s"] for l in lines
                       if l["target"] == "engine%d" % i)
        if not rates:
            continue
        middle = rates[len(rates) // 2] / (MEAN_SPEED * v)
        assert 0.6 < middle < 1.5, "engine %d: %.2f of its speed" % (i, middle)
        checked += 1
    assert checked >= len(SPEEDS) - 1, "%d engines had requests" % checked


def uneven(s):
    with_engines(s)
    Load(s, LEARN_S)
    since = time.time()
    load = Load(s, SECONDS)
    print("  on time %.3f of %d; rates received %d, second queries %d" % (
        load.on_time(), len(load.made), total(s, "target_rates_total"),
        total(s, "second_queries_total")))
    check_rates(s, since)
    assert load.on_time() >= 0.95, load.on_time()
    assert total(s, "target_rates_invalid_total") == 0
    said = [l for i in range(len(s.processes)) for l in s.log(i)
            if l["event"] == "service-rates" and l["service"] == "engine"]
    assert said, "no instance logs the rates that it counts"


def test_uneven_engines_before_three_instances(s):
    uneven(s)


def test_uneven_engines_before_fourteen_instances(s):
    uneven(s)


def test_plain_targets_of_fourteen_instances_are_counted(s):
    with_engines(s)
    for i in range(len(s.processes)):
        for _ in range(3):
            assert s.call("/safe/x", i=i).status == 200
    lines = [l for l in requests_of(s, 0) if l["service"] == "desk"]
    assert any(l.get("rate") for l in lines), "no plain request has a rate"


def test_fourteen_instances_of_which_two_are_frozen(s):
    """Queries to frozen counting instances are not answered. Engines without a report
    are no candidates then, with rates or without, and in a small pool the others may
    not suffice for the full load."""
    with_engines(s)
    Load(s, LEARN_S)
    for p in s.processes[:2]:
        p.send_signal(signal.SIGSTOP)
    load = Load(s, SECONDS, away=(0, 1), load=LIGHT_LOAD)
    for p in s.processes[:2]:
        p.send_signal(signal.SIGCONT)
    print("  on time %.3f of %d" % (load.on_time(), len(load.made)))
    assert load.on_time() >= 0.9, load.on_time()


def test_fourteen_instances_before_busy_engines_query_once_more(s):
    with_engines(s)
    load = Load(s, LEARN_S + SECONDS, load=OVERLOAD, tokens=2 * TOKENS)
    asked = [l["rate"]["queried"] for l in requests_of(s, 0)
             if l["service"] == "engine" and l.get("rate")]
    print("  second queries %d for %d requests" % (
        total(s, "second_queries_total"), len(load.made)))
    assert total(s, "second_queries_total") > 0
    assert 3 < max(asked) <= 6, max(asked)
    assert all(f is not None for _, f in load.made), "a request was not served"


def unmanaged(s):
    s.env = {"LOFTPATH_MANAGED_SLOTS": "4"}  # the engines have eight
    s.restart_all()
    for i in range(len(s.processes)):
        s.wait_ready(i)
    with_engines(s)
    since = time.time()
    Load(s, LEARN_S)
    s.call("/safe/x")
    for name in ("target_rates_total", "target_rates_missing_total",
                 "second_queries_total"):
        assert total(s, name) == 0, name
    lines = requests_of(s, since)
    assert lines and not any("rate" in l for l in lines)


def test_unmanaged_engines_of_three_instances_have_no_rates(s):
    unmanaged(s)


def test_unmanaged_engines_of_fourteen_instances_have_no_rates(s):
    unmanaged(s)


TESTS = {n: f for n, f in globals().items() if n.startswith("test_")}

if __name__ == "__main__":
    # Only the rates: admission would reject what these tests count as served.
    fleet.Site.env = {"LOFTPATH_MANAGED_SLOTS": "8",
                      "LOFTPATH_MANAGED_PARTS": "rates"}
    sizes = dict.fromkeys(TESTS, INSTANCES)
    for name in TESTS:
        if "fourteen" in name:
            sizes[name] = MANY
    sys.exit(run_tests(TESTS, sizes))
