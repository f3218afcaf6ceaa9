#!/usr/bin/env python3
"""limits.py: a target that announces a request limit gets no more than that from
all instances together.

Guards against this failure: an engine with a limit of 1.7 requests/s over all
instances got 17 in 4 s, where 15 are allowed, and one with a limit of 1 got 12
instead of 11. An overloaded engine announces the limit in its responses, but its
seven instances kept their rate: they bounded the rate of cold targets only, by an
operator's setting, and ignored limits that targets announced. With that fault an
overloaded engine gets its full share.

Usage: limits.py BUILD_DIR [TEST...]"""
import http.client
import random
import signal
import sys
import threading
import time

from faults import IN_TOUCH_S  # after this all instances obey an announced limit
from fleet import config, run_tests, wait_for
from standins import Worker, chunk, event, head

INSTANCES, MANY = 3, 14
WINDOW_S, OVERRUN, EXTRA = 4.0, 1.5, 5  # they bound a target's requests per window
AT_ONCE_S = 0.1   # max duration of a refusal
EVENTS, PAUSE_S = 4, 0.02


class Needy(Worker):
    """Announces `limit` (text, or None) in its responses. `broken`: breaks its
    streams after the first event, or fails plain requests."""

    def __init__(self, store, name, service, limit=None):
        self.limit, self.broken = limit, False
        self.arrived = []   # arrival times
        self.attempts = []  # the attempts of these arrivals
        super().__init__(("127.0.0.1", 0), store, name, service)

    def words(self):
        limit = self.limit
        return [] if limit is None else ["Server-Limit: " + limit]

    def answer(self, c, method, path, headers, body):
        if headers.get("x-loftpath-expect-instance") != self.name:
            return super().answer(c, method, path, headers, body)
        attempt = headers["x-loftpath-attempt-id"]
        self.arrived.append(time.monotonic())
        self.attempts.append(attempt)
        if not path.startswith("/chat/"):
            return self.plain(c, attempt)
        first = int(headers.get("last-event-id", "0")) + 1
        c.sendall(head(attempt, "Content-Type: text/event-stream",
                       "Transfer-Encoding: chunked", *self.words()))
        for k in range(first, EVENTS + 1):
            c.sendall(chunk(event(k)))
            if self.broken:
                return False
            time.sleep(PAUSE_S)
        c.sendall(b"0\r\n\r\n")
        return True

    def plain(self, c, attempt):
        text = head(attempt, "Content-Length: 2", *self.words())
        if self.broken:
            text = text.replace(b"200 OK", b"500 Failed")
        c.sendall(text + b"ok")
        return True


class Load:
    """Sends `per_s` requests a second to random instances, for `seconds`."""

    def __init__(self, s, seconds, per_s=20, path="/chat/x", seed=1):
        self.s, self.path = s, path
        self.made = []  # (start, seconds, status, Retry-After)
        self.threads = []
        self.thread = threading.Thread(target=self._run, args=(seconds, per_s, seed))
        self.thread.start()

    def _run(self, seconds, per_s, seed):
        dice, end = random.Random(seed), time.monotonic() + seconds
        while time.monotonic() < end:
            i = dice.randrange(len(self.s.processes))
            t = threading.Thread(target=self._one, args=(i,))
            t.start()
            self.threads.append(t)
            time.sleep(1 / per_s)

    def _one(self, i):
        began, more = time.monotonic(), {}
        if self.path.startswith("/chat/"):
            more["X_Loftpath_Token_Count"] = "5,5"
        try:
            a = self.s.call(self.path, "POST", b"x", i=i, **more)
        except (OSError, http.client.HTTPException):
            return
        retry_after = a.headers.get("retry-after")
        self.made.append((began, time.monotonic() - began, a.status,
                          float(retry_after) if retry_after else None))

    def join(self):
        self.thread.join()
        for t in self.threads:
            t.join()
        return self

    def served(self, since=0.0):
        done = [m for m in self.made if m[0] >= since]
        return sum(m[2] == 200 for m in done), len(done)


def with_targets(s, service, limits):
    """Replaces the site's targets by ones with these limits."""
    old = s.engines if service == "engine" else s.desks
    s.remove_workers(old)
    s.store.put("config", "main", config(2, prepaid=10**6))
    old[:] = [Needy(s.store, "%s%d" % (service, i), service, l)
              for i, l in enumerate(limits)]
    for i in range(len(s.processes)):  # all know the targets and have budget
        wait_for("instance %d to serve" % i, lambda: (
            s.chat(5, i=i) if service == "engine" else s.call("/safe/x", i=i)
        ).status == 200)
    return list(old)


def most_in_window(t, since):
    times = sorted(x for x in t.arrived if x >= since)
    return max((sum(a <= b < a + WINDOW_S for b in times) for a in times), default=0)


def allowed(limit):
    return OVERRUN * limit * WINDOW_S + EXTRA


def check(targets, since, limit=None):
    for t in targets:
        bound = allowed(float(t.limit) if limit is None else limit)
        n = most_in_window(t, since)
        print("   %s: %d in %g s at most, %g allowed; %d in all" % (
            t.name, n, WINDOW_S, bound, len(t.arrived)), flush=True)
        assert n <= bound, "%s got %d in %g s, %g are allowed" % (
            t.name, n, WINDOW_S, bound)
        assert n > 0, t.name + " got nothing"


def one_in_need(s):
    targets = with_targets(s, "engine", ["1", None, None, None])
    began = time.monotonic()
    load = Load(s, 12).join()
    check(targets[:1], began + IN_TOUCH_S)
    served, n = load.served(began + IN_TOUCH_S)
    assert served == n, "%d of %d served" % (served, n)


def test_a_target_in_need_gets_no_more_than_it_named(s):
    one_in_need(s)


def test_the_same_of_fourteen_instances(s):
    one_in_need(s)


def all_in_need(s, per_s=30):
    targets = with_targets(s, "engine", ["0.7", "1.7", "1", "3"])
    began = time.monotonic()
    load = Load(s, 14, per_s).join()
    check(targets, began + IN_TOUCH_S)
    later = [m for m in load.made if m[0] >= began + IN_TOUCH_S]
    served = sum(m[2] == 200 for m in later)
    print("   %d of %d served" % (served, len(later)))
    assert served >= 0.7 * (0.7 + 1.7 + 1 + 3) * (14 - IN_TOUCH_S), served
    refused = [m for m in later if m[2] != 200]
    assert all(m[2] == 503 and m[3] for m in refused), refused
    late = sorted(m[1] for m in refused)
    assert late[len(late) * 9 // 10] < AT_ONCE_S, late[-5:]


def test_callers_hear_at_once_when_all_targets_are_in_need(s):
    all_in_need(s)


def test_all_in_need_before_fourteen_instances(s):
    all_in_need(s)


def plain_in_need(s, path):
    targets = with_targets(s, "desk", ["1", "0.7"])
    began = time.monotonic()
    Load(s, 12, path=path).join()
    check(targets, began + IN_TOUCH_S)


def test_plain_targets_that_may_run_a_request_once(s):
    plain_in_need(s, "/once/x")


def test_plain_targets_of_fourteen_instances(s):
    plain_in_need(s, "/safe/x")


def test_retries_and_resumed_streams_count(s):
    """The other engines break each stream, so that it is resumed elsewhere."""
    targets = with_targets(s, "engine", ["1", None, None])
    time.sleep(1.0)
    for t in targets[1:]:
        t.broken = True
    began = time.monotonic()
    Load(s, 12).join()
    check(targets[:1], began + IN_TOUCH_S)


def test_a_limit_that_changes_and_ends(s):
    t = with_targets(s, "engine", ["6", None, None])[0]
    load = Load(s, 22)
    time.sleep(5.0)
    t.limit = "0.7"
    fell = time.monotonic()
    time.sleep(8.0)
    t.limit = None
    ended = time.monotonic()
    load.join()
    arrivals = [x for x in t.arrived if fell + IN_TOUCH_S <= x < ended]
    n = max(sum(a <= b < a + WINDOW_S for b in arrivals) for a in arrivals)
    assert n <= allowed(0.7), "%d after it fell" % n
    late = sum(x >= ended + IN_TOUCH_S for x in t.arrived)
    print("   %d in a window after it fell, %d in the last 6 s" % (n, late))
    assert late >= 10, "%d after it ended" % late


def test_a_damaged_figure_bounds_nothing_and_is_logged(s):
    t = with_targets(s, "engine", ["-1", "1.5 a second"])
    began = time.monotonic()
    load = Load(s, 6).join()
    served, n = load.served(began)
    assert served == n, "%d of %d served" % (served, n)
    assert all(len(x.arrived) >= 20 for x in t)
    words = [l["word"] for i in range(len(s.processes)) for l in s.log(i)
             if l["event"] == "target-limit"]
    assert words and set(words) == {"damaged"}, words


def test_one_that_takes_nothing_is_asked_now_and_then(s):
    t = with_targets(s, "engine", ["0", None])[0]
    began = time.monotonic()
    load = Load(s, 24)
    time.sleep(10.0)
    n = most_in_window(t, began + IN_TOUCH_S)
    assert n <= allowed(0), n
    t.limit = None
    ended = time.monotonic()
    load.join()
    late = sum(x >= ended for x in t.arrived)
    assert late > 0, "it never gets a request again"


def test_instances_are_killed_frozen_and_back(s):
    """The bound does not apply to the faulty instance itself, only to the others."""
    targets = with_targets(s, "engine", ["1", "1", None])
    load = Load(s, 24)
    began = time.monotonic()
    time.sleep(5.0)
    p = s.processes[0]
    p.send_signal(signal.SIGSTOP)
    time.sleep(3.0)
    p.send_signal(signal.SIGCONT)
    time.sleep(3.0)
    s.processes[1].kill()
    s.processes[1].wait()
    time.sleep(2.0)
    s.start(1)
    s.wait_ready(1)
    load.join()
    check(targets[:2], began + IN_TOUCH_S)


TESTS = {n: f for n, f in globals().items() if n.startswith("test_")}

if __name__ == "__main__":
    sizes = dict.fromkeys(TESTS, INSTANCES)
    for name in TESTS:
        if "fourteen" in name:
            sizes[name] = MANY
    sys.exit(run_tests(TESTS, sizes))
