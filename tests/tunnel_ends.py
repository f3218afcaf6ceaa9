#!/usr/bin/env python3
"""tunnel_ends.py: answers without a length or chunks, which end with the target's
connection, in tunnels whose gateway ends.

Guards against this failure: the system closed the connections of a gateway's process
by FIN, and the instance that had asked for the tunnel took this for the end of the
answer.

Usage: tunnel_ends.py BUILD_DIR [TEST...]"""
import http.client
import socket
import sys
import threading
import time

from fleet import BASE, KEY, config, event, head, run_tests, wait_for
from partition import PartitionSite, is_whole_stream

EVENTS = 5        # of a stream, as partition.py expects
CUT = range(5)    # the instances that reach targets through a gateway
GATEWAYS = (5, 6)
CALLERS = 4       # at once at each instance
TUNNEL_PORT = 3   # of an instance, from BASE on
STEP_S = 0.25     # between the pieces of an answer
PLAIN = b"x" * 4000
ROUNDS = 4        # ends of a gateway; each caller has an answer in progress


class Answers:
    """How answers ended: of all callers, and as the targets saw it."""

    def __init__(self):
        self.whole = self.failed = 0
        self.short = []       # names of answers that seem complete and are not
        self.interrupted = 0  # whose connection ended before the target's last byte

    def __str__(self):
        return "%d whole, %d failed, %d interrupted at targets, %d short and whole by " \
            "their framing %s" % (self.whole, self.failed, self.interrupted,
                                  len(self.short), self.short[:3])


def is_lost(c):
    """Whether the caller's side of a connection has ended."""
    c.settimeout(0)
    try:
        c.recv(1)
    except BlockingIOError:
        return False
    return True


def unframed(pieces, answers, step_s):
    """Plays an answer that only the end of its connection ends."""

    def play(w, c, headers):
        first = int(headers.get("last-event-id", "0"))
        try:
            c.sendall(head(headers["x-loftpath-attempt-id"],
                           "Content-Type: text/event-stream"))
            for p in pieces[first:]:
                c.sendall(p)
                time.sleep(step_s)
            answers.interrupted += is_lost(c)
        except OSError:
            answers.interrupted += 1
        return False

    return play


def call(s, i, path, method, name, answers, deadline_s, whole):
    conn = http.client.HTTPConnection(s.ip(i), BASE, timeout=deadline_s)
    try:
        conn.request(method, path, b"x" if method == "POST" else None, dict(
            KEY, Host="front", **{
                "X-Loftpath-Attempt-Id": name,
                "X-Loftpath-Deadline-Ms": "%d" % (deadline_s * 1000),
                "X-Loftpath-Token-Count": "10,5" if path == "/chat/x" else "0,0"}))
        a = conn.getresponse()
        body = a.read()
        if a.status != 200:
            answers.failed += 1
        elif whole(body):
            answers.whole += 1
        else:
            answers.short.append((name, len(body)))
    except (OSError, http.client.HTTPException):
        answers.failed += 1
    finally:
        conn.close()


def start_calls(s, path, method, answers, deadline_s, whole, round):
    threads = [threading.Thread(target=call, daemon=True, args=(
        s, i, path, method, "%s%d-%d-%d" % (path[1], round, i, k), answers,
        deadline_s, whole)) for i in CUT for k in range(CALLERS)]
    for t in threads:
        t.start()
    return threads


def prepare_direct(s, timeout_ms=3000):
    """One instance that ends may be the home of the budget: requests need none."""
    c = config(2)
    del c["tenants"][0]["prepaid"]
    for r in c["routes"]:
        r["timeout_ms"] = timeout_ms
    s.store.put("config", "main", c)
    wait_for("the configuration", lambda: all(any(
        l["event"] == "configuration" and l["version"] == 2 for l in s.log(i))
        for i in CUT))


def prepare(s, path, method, timeout_ms=3000):
    """Cuts the instances off and waits until each serves through a gateway."""
    prepare_direct(s, timeout_ms)
    s.cut(CUT, "reset")
    for i in CUT:
        wait_for("a tunnel", lambda i=i: s.call(
            path, method, b"x" if method == "POST" else None, i=i,
            X_Loftpath_Token_Count="10,5" if path == "/chat/x" else "0,0"
        ).status == 200)


def check(answers, rounds):
    print("  %s" % answers, flush=True)
    assert answers.interrupted >= rounds, "no gateway carried an answer: %s" % answers
    assert answers.whole >= rounds, "nothing was served: %s" % answers
    assert not answers.short, str(answers)


def check_gateway_killed(s, path, method, pieces, whole):
    """In each round all answers are in progress when a gateway is killed; it is
    started again for the next one."""
    answers = Answers()
    prepare(s, path, method)
    for w in s.engines + s.desks:
        w.play = unframed(pieces, answers, STEP_S)
    for round in range(ROUNDS):
        threads = start_calls(s, path, method, answers, 3.0, whole, round)
        time.sleep(STEP_S * (len(pieces) / 2 - 0.5))
        gateway = GATEWAYS[round % 2]
        s.processes[gateway].kill()
        s.processes[gateway].wait()
        for t in threads:
            t.join()
        s.start(gateway)
        s.wait_ready(gateway)
        time.sleep(1.0)
    check(answers, ROUNDS)


STREAM = [event(k).encode() for k in range(1, EVENTS + 1)]
HALVES = [PLAIN[:2000], PLAIN[2000:3000], PLAIN[3000:]]


def test_a_stream_whose_gateway_is_killed_does_not_look_whole(s):
    """15 of 340 streams lacked events and ended with their last chunk."""
    check_gateway_killed(s, "/chat/x", "POST", STREAM, is_whole_stream)


def test_a_safe_answer_whose_gateway_is_killed_does_not_look_whole(s):
    """A short body came with a Content-Length that fitted it."""
    check_gateway_killed(s, "/safe/x", "GET", HALVES, lambda b: b == PLAIN)


def test_an_unsafe_answer_whose_gateway_is_killed_does_not_look_whole(s):
    """The same, where the request may not be sent again."""
    check_gateway_killed(s, "/once/x", "POST", HALVES, lambda b: b == PLAIN)


def tunnels_at(s, i):
    """Returns the number of open tunnels that an instance has accepted."""
    ip = int.from_bytes(socket.inet_aton(s.ip(i)), sys.byteorder)
    local, established = "%08X:%04X" % (ip, BASE + TUNNEL_PORT), "01"
    with open("/proc/net/tcp") as f:
        rows = [line.split() for line in f]
    return sum(r[1] == local and r[3] == established for r in rows)


def test_a_stream_whose_gateway_stops_does_not_look_whole(s):
    """A gateway that was told to stop ended the tunnels that outlast its stop."""
    answers = Answers()
    prepare(s, "/chat/x", "POST", timeout_ms=14000)
    for w in s.engines:
        w.play = unframed(STREAM, answers, 1.6)  # the stop ends after 4 s
    threads = start_calls(s, "/chat/x", "POST", answers, 14.0, is_whole_stream, 0)
    time.sleep(0.8)
    gateway = max(GATEWAYS, key=lambda i: tunnels_at(s, i))
    assert tunnels_at(s, gateway) > 0
    s.processes[gateway].terminate()
    assert s.processes[gateway].wait(10) == 0
    for t in threads:
        t.join()
    check(answers, 1)


def test_a_sound_unsafe_answer_is_served_while_new_connections_fail(s):
    """Its target could not be reached anew, and counted as ended; others reach it."""
    answers = Answers()
    prepare_direct(s)
    for w in s.desks:
        w.play = unframed(HALVES, answers, STEP_S)
    threads = start_calls(s, "/once/x", "POST", answers, 4.0, lambda b: b == PLAIN, 0)
    time.sleep(STEP_S * (len(HALVES) - 1))
    s.cut(CUT, "new")
    for t in threads:
        t.join()
    print("  %s" % answers, flush=True)
    assert answers.whole == len(threads) and not answers.interrupted, str(answers)


if __name__ == "__main__":
    sys.exit(run_tests(
        dict(globals()), site=PartitionSite, engines=3,
        instances={n: 7 for n in list(globals()) if n.startswith("test_")}))
