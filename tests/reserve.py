#!/usr/bin/env python3
"""reserve.py: budgets of managed services, with real processes on stand-ins of the
users' platform (docs/design/reserve.md).

Usage: reserve.py BUILD_DIR [TEST...]"""
import sys
import threading
import time

from fleet import Site, config, play_stream, route, run_tests, wait_for
from proxy import Proxy

PREPAID = 4000000
URGENT, LONG = (800, 0.6), (8000, 1.5)  # tokens, objective in seconds
Site.env = {"LOFTPATH_MANAGED_SLOTS": "16"}


def with_routes(s, prepaid=PREPAID):
    for w in s.engines:
        w.play = play_stream(2)
    s.store.put("config", "main", config(2, prepaid, routes=[
        route("urgent", "/urgent/", "engine", "stream", slo_ms=URGENT[1] * 1000,
              priority=0),
        route("long", "/long/", "engine", "stream", slo_ms=LONG[1] * 1000,
              priority=2)]))
    for i in range(len(s.processes)):
        wait_for("the routes", lambda: s.call("/long/x", "POST", b"", i=i).status != 404)


class Load:
    """Sends requests at a steady rate, each on a thread of its own."""

    def __init__(self, s, path, tokens, per_s, at=(0,)):
        self.s, self.path, self.tokens, self.at = s, path, tokens, at
        self.answers, self.threads = [], []  # (status, seconds, Retry-After)
        self.per_s, self.stopped = per_s, False
        self.runner = threading.Thread(target=self.run)
        self.runner.start()

    def run(self):
        due = time.monotonic()
        while not self.stopped:
            t = threading.Thread(target=self.one, args=(len(self.threads),))
            t.start()
            self.threads.append(t)
            due += 1.0 / self.per_s
            time.sleep(max(0, due - time.monotonic()))

    def one(self, k):
        began = time.monotonic()
        try:
            a = self.s.call(self.path, "POST", b"hello", i=self.at[k % len(self.at)],
                            X_Loftpath_Token_Count="%d,10" % self.tokens)
        except OSError:
            self.answers.append((0, time.monotonic() - began, 0.0))
            return
        self.answers.append((a.status, time.monotonic() - began,
                             float(a.headers.get("retry-after", 0))))

    def stop(self):
        self.stopped = True
        self.runner.join()
        for t in self.threads:
            t.join()
        return self.answers


def served(answers):
    return sum(a[0] == 200 for a in answers) / len(answers)


def test_all_that_wait_are_served_after_one_round_trip(s):
    """Guards against one request per round trip to the home: of requests that come
    at once to an instance that has not used the budget, most were refused."""
    with_routes(s)
    burst = [Load(s, "/urgent/x", URGENT[0], 1) for _ in range(40)]
    time.sleep(0.3)
    answers = [a for l in burst for a in l.stop()]
    print("   %d requests, served %.2f, the last after %.3f s" % (
        len(answers), served(answers), max(a[1] for a in answers)))
    assert served(answers) == 1, answers


def a_longer_outage_than_the_reserve(s):
    with_routes(s)
    loads = [Load(s, "/urgent/x", URGENT[0], 10, (0, 1, 2)),
             Load(s, "/long/x", LONG[0], 2, (0, 1, 2))]
    time.sleep(5)
    for l in loads:
        l.stop()
    s.store.down = True
    wait_for("the outage to be known", lambda: all(
        any(l["event"] == "store-lost" for l in s.log(i))
        for i in range(len(s.processes))))
    # Four times as many long requests as before: the reserve is used up in seconds.
    urgent = Load(s, "/urgent/x", URGENT[0], 10, (0, 1, 2))
    long = Load(s, "/long/x", LONG[0], 20, (0, 1, 2))
    time.sleep(6)
    urgent, long = urgent.stop(), long.stop()
    s.store.down = False
    refused = [a for a in long if a[0] != 200]
    refused_s = sorted(a[1] for a in refused)
    print("   urgent %.2f, long %.2f; refused after %.3f s, last tenth %.3f s" % (
        served(urgent), served(long), refused_s[len(refused) // 2],
        refused_s[len(refused) * 9 // 10]))
    assert served(urgent) >= 0.95, served(urgent)
    assert served(long) < 0.8, "the reserve was not used up"
    assert refused_s[len(refused) * 9 // 10] < 0.05, refused_s
    assert all(1.0 <= a[2] <= 9.0 for a in refused), refused
    assert any(l["event"] == "budget-cutoff" for i in (0, 1, 2) for l in s.log(i))


def test_a_longer_outage_than_the_reserve_serves_urgent_requests(s):
    """Guards against a reserve that long requests of the lowest priority use up, and
    against rejections that take as long as the wait for tokens."""
    a_longer_outage_than_the_reserve(s)


def test_a_longer_outage_of_fourteen_instances(s):
    """The same where a few instances read the store for the others."""
    a_longer_outage_than_the_reserve(s)


def home_without_the_store(s, fail):
    """Each instance in turn, one of which is the budget's home, loses the store."""
    with_routes(s)
    answers = []
    for i, proxy in enumerate(s.proxies):
        at = ((i + 1) % 3,)
        calm = Load(s, "/urgent/x", URGENT[0], 4, at)
        time.sleep(2)
        calm.stop()
        fail(proxy)
        # Twenty times as many as before: more than the home has in reserve.
        load = Load(s, "/urgent/x", URGENT[0], 80, at)
        time.sleep(3)
        part = load.stop()
        print("   without %d: served %.2f of %d" % (i, served(part), len(part)))
        answers += part
        proxy.heal()
        time.sleep(1)
    assert served(answers) >= 0.95, served(answers)


def test_a_home_whose_calls_are_refused_is_replaced(s):
    """Guards against a home that waits for a recall before it says that it is without
    the store, while another instance reaches it."""
    def refuse(proxy):
        proxy.closed = True
        proxy.reset()

    home_without_the_store(s, refuse)


def test_a_budget_of_managed_services_is_never_exceeded(s):
    """An instance is killed and started again under load, beside an outage."""
    prepaid = 60000
    with_routes(s, prepaid)
    loads = [Load(s, "/urgent/x", URGENT[0], 15, (0, 1, 2)),
             Load(s, "/long/x", LONG[0], 5, (0, 1, 2))]
    time.sleep(1)
    s.store.down = True
    time.sleep(0.5)
    s.processes[1].kill()
    s.processes[1].wait()
    time.sleep(0.5)
    s.store.down = False
    s.start(1)
    time.sleep(3)
    urgent, long = [l.stop() for l in loads]
    tokens = (sum(a[0] == 200 for a in urgent) * URGENT[0]
              + sum(a[0] == 200 for a in long) * LONG[0])
    print("   %d of %d tokens served" % (tokens, prepaid))
    assert 0 < tokens <= prepaid, tokens


INSTANCES = dict.fromkeys([n for n in globals() if n.startswith("test_")], 3)
INSTANCES["test_a_longer_outage_of_fourteen_instances"] = 14
PROXIES = {"test_a_home_whose_calls_are_refused_is_replaced": Proxy}


if __name__ == "__main__":
    sys.exit(run_tests(globals(), INSTANCES, PROXIES))
