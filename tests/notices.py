#!/usr/bin/env python3
"""notices.py: instances obey what targets state about themselves in their answers:
that they are leaving, or want no requests for a time.

Usage: notices.py BUILD_DIR [TEST...]"""
import sys
import time
from concurrent.futures import ThreadPoolExecutor

from fleet import config, run_tests, wait_for
from standins import Worker, chunk, event, head

INSTANCES = 3
DRAIN_S = 2.0  # after this an instance sends no request to a target that leaves
PAUSE_S, LONG_PAUSE_S = 6.0, 20.0  # values of Retry-After
GRACE_S = 0.5    # after an answer, until its Retry-After binds
AT_ONCE_S = 0.1  # max duration of a refusal
EVENTS, WORK_S = 3, 0.05


class Stating(Worker):
    """Adds `fields` to the head of its answers. `status` 503: it rejects all requests
    without running them."""

    def __init__(self, store, name, service):
        self.fields, self.status = [], 200
        self.arrived = []  # (time, path) of the requests it got
        super().__init__(("127.0.0.1", 0), store, name, service)

    def answer(self, c, method, path, headers, body):
        if headers.get("x-loftpath-expect-instance") != self.name:
            return super().answer(c, method, path, headers, body)
        attempt = headers["x-loftpath-attempt-id"]
        self.arrived.append((time.monotonic(), path))
        if self.status == 503:
            return self.reject(c, attempt)
        time.sleep(WORK_S)  # beside these, a target that rejects looks idle
        if path.startswith("/chat/"):
            c.sendall(head(attempt, "Content-Type: text/event-stream",
                           "Transfer-Encoding: chunked", *self.fields))
            for k in range(1, EVENTS + 1):
                c.sendall(chunk(event(k)))
            c.sendall(b"0\r\n\r\n")
        else:
            c.sendall(head(attempt, "Content-Length: 2", *self.fields) + b"ok")
        return True

    def reject(self, c, attempt, *more):
        text = head(attempt, "Content-Length: 0", "X-Loftpath-Not-Executed: shed",
                    *self.fields, *more)
        c.sendall(text.replace(b"200 OK", b"503 X"))
        return True

    def since(self, t):
        return sum(at >= t for at, _ in self.arrived)


def add_targets(s, n):
    for _ in range(n):
        s.engines.append(Stating(s.store, "x%d" % len(s.engines), "engine"))
        s.desks.append(Stating(s.store, "y%d" % len(s.desks), "desk"))


def wait_until_served(s):
    for i in range(len(s.processes)):
        wait_for("answers of instance %d" % i, lambda: s.chat(
            5, i=i).status == 200 and s.call("/safe/x", i=i).status == 200)


def state_to_all(s, fields, status=200):
    """One engine and one desk, which state `fields` in their answers; each instance
    gets one of each. Then two more of both join that state nothing. Returns the
    first ones, and the time from which on all instances were told."""
    s.remove_workers(s.engines)
    s.remove_workers(s.desks)
    s.store.put("config", "main", config(2, prepaid=10**7))
    add_targets(s, 1)
    wait_until_served(s)
    first = s.engines + s.desks
    for t in first:
        t.fields, t.status = fields, status
    for i in range(len(s.processes)):
        s.chat(5, i=i)
        s.call("/safe/x", i=i)
    told = time.monotonic()
    for t in first:
        assert t.since(0) >= 2 * len(s.processes), "not all instances were told"
    add_targets(s, 2)
    wait_until_served(s)
    return first, told


def send_all(s, n=12):
    """`n` requests of each kind to each instance, all at once; returns the answers."""
    jobs = [(k, i) for k in range(2 * n) for i in range(len(s.processes))]
    with ThreadPoolExecutor(len(jobs)) as pool:
        return list(pool.map(lambda j: s.chat(5, i=j[1]) if j[0] % 2 else s.call(
            "/safe/x", i=j[1]), jobs))


def check_no_more_requests(s, targets, since):
    answers = send_all(s)
    for t in targets:
        n = t.since(since)
        assert n == 0, "%s got %d requests after it had stated it" % (t.name, n)
    assert all(a.status == 200 for a in answers), [a.status for a in answers]


def list_again(s, targets):
    """The targets' entries change, and the instances list all of them again."""
    for t in targets:
        s.store.put("servers", t.name, dict(t.entry, cold_left_ms=50))
    time.sleep(1.0)
    s.store.forget()
    time.sleep(1.0)


def leave_in_answers(s, status=200):
    """The first engine and desk state that they leave; the store doesn't know, and is
    down from then on. Returns them after the time in which they may get more."""
    leaving, _ = state_to_all(s, ["Server-Leaving: 1"], status)
    s.store.down = True
    time.sleep(DRAIN_S)
    return leaving


def test_a_target_that_states_it_leaves_gets_no_more_requests(s):
    """Guards against requests to a target that told us in an answer, while the store
    was away, that it is leaving."""
    leaving = leave_in_answers(s)
    check_no_more_requests(s, leaving, time.monotonic())


def test_a_rejection_that_states_it_leaves_counts_too(s):
    """Guards against the same where the target rejects the request."""
    leaving = leave_in_answers(s, 503)
    check_no_more_requests(s, leaving, time.monotonic())


def test_a_newer_entry_does_not_undo_what_an_answer_stated(s):
    """Guards against a leaving target coming back with an entry in the store that
    does not say so yet, or with a new listing."""
    leaving = leave_in_answers(s)
    s.store.down = False
    list_again(s, leaving)
    check_no_more_requests(s, leaving, time.monotonic())


def pause(s, seconds):
    """The first engine and desk reject what they get, with that Retry-After. Returns
    them, and the time from which on all instances were told."""
    return state_to_all(s, ["Retry-After: %s" % seconds], 503)


def keep_only(s, targets):
    """Removes all other targets."""
    for t in s.engines + s.desks:
        if t not in targets:
            s.store.remove("servers", t.name)
    time.sleep(0.5)


def test_a_target_that_asks_for_a_pause_gets_no_requests_until_its_end(s):
    """Guards against requests to a target that rejected one with 503 and
    Retry-After: one got 12 in the 3 s for which it had asked."""
    paused, told = pause(s, PAUSE_S)
    while time.monotonic() < told + PAUSE_S - GRACE_S:
        check_no_more_requests(s, paused, told + GRACE_S)
    for t in paused:
        t.fields, t.status = [], 200
    keep_only(s, paused)
    time.sleep(max(0, told + PAUSE_S - time.monotonic()))
    wait_until_served(s)


def test_a_newer_entry_does_not_end_a_pause(s):
    """Guards against a pause being forgotten with an update of the target's entry, or
    with a new listing."""
    paused, _ = pause(s, LONG_PAUSE_S)
    list_again(s, paused)
    check_no_more_requests(s, paused, time.monotonic())


def test_callers_are_refused_at_once_while_all_targets_pause(s):
    """Guards against callers that wait, or return too early, while every target of
    their service has asked for a pause."""
    pause(s, LONG_PAUSE_S)
    targets = s.engines + s.desks
    for t in targets:
        t.fields, t.status = ["Retry-After: %g" % LONG_PAUSE_S], 503
    for t in targets:
        wait_for(t.name + " to reject", lambda: (send_all(s, 1), t.since(0))[-1])
    send_all(s, 4)
    told = max(t.arrived[-1][0] for t in targets)
    for path, method in (("/chat/x", "POST"), ("/safe/x", "GET"), ("/once/x", "POST")):
        began = time.monotonic()
        a = s.call(path, method, X_Loftpath_Token_Count="5,5")
        now = time.monotonic()
        assert a.status == 503 and now - began < AT_ONCE_S, (a.status, now - began)
        after, last_end = float(a.headers["retry-after"]), told + LONG_PAUSE_S - now
        print("   %s: Retry-After %g, the last pause ends in %.2f s" % (
            path, after, last_end))
        assert LONG_PAUSE_S / 2 < after <= last_end + 1, after
    for t in targets:
        n = t.since(told + GRACE_S)
        assert n == 0, "%s got %d" % (t.name, n)


def test_a_damaged_pause_is_ignored_and_logged(s):
    paused, _ = pause(s, "soon")
    for t in paused:
        t.status = 200
    keep_only(s, paused)
    wait_until_served(s)
    assert any(l["event"] == "target-pause-damaged" for i in range(INSTANCES)
               for l in s.log(i))


TESTS = {n: f for n, f in globals().items() if n.startswith("test_")}

if __name__ == "__main__":
    sys.exit(run_tests(TESTS, dict.fromkeys(TESTS, INSTANCES)))
