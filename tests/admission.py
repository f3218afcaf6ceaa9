#!/usr/bin/env python3
"""admission.py: requests whose answers would come too late are rejected at once
where the part `admission` is active, and nothing changes where it is not; real
processes.

Usage: admission.py BUILD_DIR [TEST...]"""
import heapq
import itertools
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from fleet import Site, config, route, run_tests, wait_for
from slow import metric
from standins import chunk, event, head

MANAGED = {"LOFTPATH_MANAGED_SLOTS": "8", "LOFTPATH_MANAGED_PARTS": "admission"}
AT_ONCE_S = 0.1  # max duration of a rejection, on a busy machine
WORK_S = 0.2     # of a plain request
LARGE = 12       # instances; from here on work at targets is counted and reported
ENGINES = 2
TOKENS_PER_S = 45000.0  # what instances assume where nothing is measured
LONG_TOKENS, URGENT_TOKENS = 9000, 1800
LONG_PER_S, URGENT_PER_S = 20, 8
LONG_CAPACITY_PER_S = ENGINES * TOKENS_PER_S / LONG_TOKENS
LOAD_S = 10.0
DEADLINE_S = 8  # within the time limit of the connections of Site.call
LONG_AIM_S, URGENT_AIM_S = 1.5, 0.4
ROUTES = [route("long", "/long/", "engine", "stream", priority=2, timeout_ms=12000,
                slo_ms=1000 * LONG_AIM_S),
          route("urgent", "/urgent/", "engine", "stream", priority=0,
                timeout_ms=10000, slo_ms=1000 * URGENT_AIM_S)]


class Reader:
    """Lets one request at a time pass, the most urgent first."""

    def __init__(self):
        self.lock, self.queue = threading.Condition(), []
        self.busy, self.number = False, itertools.count()

    def read(self, priority, seconds):
        with self.lock:
            me = (priority, next(self.number))
            heapq.heappush(self.queue, me)
            while self.busy or self.queue[0] != me:
                self.lock.wait()
            heapq.heappop(self.queue)
            self.busy = True
        time.sleep(seconds)
        with self.lock:
            self.busy = False
            self.lock.notify_all()


def read_prompts(reader):
    """Plays an engine that reads one prompt after the other."""
    def play(w, c, h):
        tokens = int(h["x-loftpath-token-count"].split(",")[0])
        reader.read(int(h["x-loftpath-request-priority"]), tokens / TOKENS_PER_S)
        c.sendall(head(h["x-loftpath-attempt-id"], "Content-Type: text/event-stream",
                       "Transfer-Encoding: chunked") + chunk(event(1)) + b"0\r\n\r\n")
        return True
    return play


def work(reader):
    """Plays a plain target that serves one request after the other."""
    def play(w, c, h):
        reader.read(0, WORK_S)
        c.sendall(head(h["x-loftpath-attempt-id"], "Content-Length: 2") + b"ok")
        return True
    return play


def timed(call):
    began = time.monotonic()
    answer = call()
    answer.began = began
    answer.took = time.monotonic() - began
    return answer


def use_one_slot_desks(s):
    for d in s.desks:
        d.play = work(Reader())
        s.store.put("servers", d.name, dict(d.entry, slots=1))
    time.sleep(0.5)
    for _ in range(6):  # the instance learns how long the work takes
        assert s.call("/once/x", "POST", b"x").status == 200


def send_plain(s, n):
    with ThreadPoolExecutor(n) as pool:
        return list(pool.map(lambda _: timed(lambda: s.call(
            "/once/x", "POST", b"x", X_Loftpath_Deadline_Ms="1000")), range(n)))


def ends(s, i=0):
    return [l for l in s.log(i) if l["event"] == "request"]


def test_plain_requests_that_would_miss_the_deadline_are_rejected_at_once(s):
    """Guards against requests that wait in the queue of a plain target until their
    deadline, although the wait was expected when they were sent."""
    use_one_slot_desks(s)
    answers = send_plain(s, 24)
    served = [a for a in answers if a.status == 200]
    rejected = [a for a in answers if a.status == 503]
    print("   %d served, %d rejected, the slowest rejection took %.3f s" % (
        len(served), len(rejected), max(a.took for a in rejected)))
    assert len(served) + len(rejected) == 24, [a.status for a in answers]
    assert 6 <= len(served) <= 12, len(served)
    assert max(a.took for a in rejected) < AT_ONCE_S
    assert metric(s, "rejected_deadline_total") == len(rejected)
    for a in rejected:
        assert float(a.headers["retry-after"]) > 0.3, "the queue is not shorter"
        l = [l for l in ends(s) if l["request"] == a.id][0]
        assert l["cause"] == "deadline" and l["sends"] == 0, l
        assert l["expected"] > 0.8 and l["cutoff"] == -1, l


def test_unmanaged_plain_requests_wait_as_before(s):
    """Guards against decisions, log fields and metrics where nothing asks for
    them."""
    use_one_slot_desks(s)
    answers = send_plain(s, 24)
    assert sum(len(d.ran) for d in s.desks) == 30, "each request was sent"
    assert {a.status for a in answers} == {200, 504}, [a.status for a in answers]
    for l in ends(s):
        assert not {"cause", "expected", "cutoff"} & set(l), l
    assert metric(s, "rejected_deadline_total") == 0
    assert metric(s, "retries_promised_total") == 0


def load(s, again=lambda a, send: a, long_per_s=LONG_PER_S):
    """Returns the first answers to long and to urgent requests. `again` gets each that
    was rejected, and a function that sends the request once more."""
    s.store.put("config", "main", config(2, prepaid=10**9, routes=ROUTES))
    for i in range(LARGE):
        wait_for("version 2", lambda: any(
            l["event"] == "configuration" and l["version"] == 2 for l in s.log(i)))
    for e in s.engines:
        e.play = read_prompts(Reader())
    for i in range(LARGE):  # the first request waits for the budget
        wait_for("the budget", lambda: s.call(
            "/urgent/x", "POST", b"x", i=i,
            X_Loftpath_Token_Count="10,1").status == 200)
    instances, numbers = itertools.cycle(range(LARGE)), itertools.count()

    def send(path, tokens, i):
        body = b"%d" % next(numbers)

        def once():
            return timed(lambda: s.call(path, "POST", body, i=i,
                                        X_Loftpath_Deadline_Ms=str(1000 * DEADLINE_S),
                                        X_Loftpath_Token_Count="%d,1" % tokens))
        a = once()
        return again(a, once) if a.status == 503 else a

    def send_all(pool, path, tokens, per_s):
        began, calls = time.monotonic(), []
        for k in range(int(LOAD_S * per_s)):
            time.sleep(max(0, began + k / per_s - time.monotonic()))
            calls.append(pool.submit(send, path, tokens, next(instances)))
        return [c.result() for c in calls]

    with ThreadPoolExecutor(400) as pool:
        urgent = pool.submit(send_all, pool, "/urgent/x", URGENT_TOKENS, URGENT_PER_S)
        long = send_all(pool, "/long/x", LONG_TOKENS, long_per_s)
        return long, urgent.result()


def test_callers_that_return_as_told_are_admitted_before_new_ones(s):
    """Guards against callers that honour Retry-After and are rejected again, since
    new requests have taken their places."""
    retried, served = [], []

    def again(a, send):
        wait_s = float(a.headers["retry-after"])
        if a.status != 503 or wait_s > DEADLINE_S / 3:
            return a
        time.sleep(wait_s)
        b = send()
        retried.append(b)
        served.extend([b] if b.status == 200 else [])
        return a

    long, _ = load(s, again)
    describe("long", long, LONG_AIM_S)
    claimed = sum(metric(s, "retries_returned_total", i) for i in range(LARGE))
    print("   %d retried, %d of them as promised, %d served" % (
        len(retried), claimed, len(served)))
    assert claimed >= 0.8 * len(retried)
    assert len(served) >= 0.7 * len(retried)


def describe(name, answers, aim):
    """Returns how many were served on time, served late, and rejected."""
    served = [a for a in answers if a.status == 200]
    on_time = sum(a.took <= aim for a in served)
    n = (on_time, len(served) - on_time, sum(a.status == 503 for a in answers))
    print("   %s: %d, on time %d, late %d, rejected %d" % ((name, len(answers)) + n))
    return n


def test_persistent_lateness_rejects_long_prompts_and_no_urgent_ones(s):
    """Guards against engines whose queues fill up with prompts of the lowest priority
    until each is late, and against urgent requests that are rejected for prompts
    which they overtake."""
    long, urgent = load(s)
    on_time, late, rejected = describe("long", long, LONG_AIM_S)
    urgent_on_time, _, _ = describe("urgent", urgent, URGENT_AIM_S)
    slowest = max(a.took for a in long if a.status == 503)
    print("   slowest rejection %.3f s" % slowest)
    assert rejected >= 30, "twice the capacity was offered"
    assert on_time > late, "most of what is read is wasted"
    middle = min(a.began for a in long) + LOAD_S / 2
    on_time, late, _ = describe("long, second half", [
        a for a in long if a.began > middle], LONG_AIM_S)
    assert on_time >= 8 * late and on_time >= 0.7 * LONG_CAPACITY_PER_S * LOAD_S / 2
    assert urgent_on_time >= 0.9 * len(urgent)
    for l in (l for i in range(LARGE) for l in ends(s, i)):
        assert (l["cause"] in ("late", "deadline")) == (l["error"] == "overloaded"), l
        assert l["cause"] == "" or l["sends"] == 0 and l["expected"] > 0, l
    assert slowest < 3 * AT_ONCE_S


def test_at_two_thirds_of_the_capacity_nothing_is_rejected(s):
    """Guards against rejections where all can be served before the deadline, though
    some not within the objective."""
    long, urgent = load(s, long_per_s=LONG_CAPACITY_PER_S / 2)
    describe("long", long, LONG_AIM_S)
    describe("urgent", urgent, URGENT_AIM_S)
    assert all(a.status == 200 for a in long + urgent)
    for i in range(LARGE):
        assert metric(s, "rejected_late_total", i) == 0


def test_unmanaged_engines_get_everything(s):
    """Guards against rejections where nothing asks for them."""
    long, urgent = load(s)
    describe("long", long, LONG_AIM_S)
    describe("urgent", urgent, URGENT_AIM_S)
    for i in range(LARGE):
        assert all("cause" not in l and l["error"] != "overloaded"
                   for l in ends(s, i))


if __name__ == "__main__":
    names = sys.argv[2:] or [n for n in globals() if n.startswith("test_")]
    sizes = {n: LARGE for n in names if "plain" not in n}
    failed = 0
    for name in names:
        Site.env = {} if "unmanaged" in name else MANAGED
        failed |= run_tests(globals(), sizes, names=[name], engines=ENGINES)
    sys.exit(failed)
