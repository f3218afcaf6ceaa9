#!/usr/bin/env python3
"""answer_heads.py: targets in trouble whose answers HTTP does not allow, or that answer
an upload early and then reset its connection; real processes.

Guards against this failure: the caller got such an answer as a whole one, with what
stood in its head, with a body that was not the target's, or with a part of the body.

Usage: answer_heads.py BUILD_DIR [TEST...]"""
import json
import socket
import struct
import sys
import time

from fleet import (BASE, RETRY_WINDOW_S, Worker, chunk, config, event, head, run_tests,
                   wait_for)
from odd_answers import ALLOWED, BODY, NOT_ALLOWED, read_answer

UPLOAD_BYTES = 4 << 20   # more than the buffers between an instance and a target
EARLY_ROUNDS = 12        # uploads of one kind; the order of events varies
EARLY_S = 0.1            # from an early answer to the reset


def play(first, fields, body, then_close):
    """Plays one answer to requests whose id does not begin with "good"."""

    def answer(w, c, h):
        attempt = h["x-loftpath-attempt-id"]
        if attempt.startswith("good"):
            return None
        c.sendall(first + b"X-Loftpath-Attempt-Id: " + attempt.encode() +
                  b"\r\nX-Loftpath-Server-Stamp: s\r\n" + fields + b"\r\n" + body)
        return not then_close

    return answer


def ask(s, path, method="POST", body=b"b", **more):
    """Sends a request on a connection of its own; returns as read_answer."""
    fields = dict(s.head(**more), Connection="close")
    fields["Content-Length"] = len(body) if method == "POST" else 0
    text = "".join("%s: %s\r\n" % f for f in fields.items())
    with socket.create_connection((s.ip(0), BASE), 10) as c:
        try:
            c.sendall(("%s %s HTTP/1.1\r\n%s\r\n" % (method, path, text)).encode() +
                      (body if method == "POST" else b""))
            return read_answer(c)
        except OSError:
            return 0, [], b""


def ordinary(s):
    a = s.call("/once/x", "POST", b"b", X_Loftpath_Attempt_Id="good%d" % s.next_id)
    assert a.status == 200, (a.status, a.body)


def list_passed_on(s, path, method, workers):
    """Plays all answers that HTTP does not allow; returns those that were passed on."""
    wrong = []
    for name, parts in NOT_ALLOWED.items():
        for w in workers:
            w.play = play(*parts, then_close=True)
        status, lines, data = ask(s, path, method, X_Loftpath_Token_Count="10,10")
        if status not in (0, 502) or any(b"dd" in x for x in lines):
            wrong.append((name, status, data))
    print("  %d of %d passed on" % (len(wrong), len(NOT_ALLOWED)), flush=True)
    return wrong


def test_heads_that_http_does_not_allow_are_no_answers(s):
    """The caller of a plain service got them as answers."""
    wrong = list_passed_on(s, "/once/x", "POST", s.desks)
    assert not wrong, wrong
    ordinary(s)


def test_heads_that_http_does_not_allow_begin_no_streams(s):
    """The caller of a stream got them as answers."""
    wrong = list_passed_on(s, "/chat/x", "POST", s.engines)
    assert not wrong, wrong


def test_requests_go_elsewhere_after_a_head_that_http_does_not_allow(s):
    """A request that may be repeated got one, though another target was sound."""
    time.sleep(RETRY_WINDOW_S)
    wrong, seen = [], set()
    names = ("status 000", "a blank in a name", "a control byte in a name",
             "a blank after Content-Length")
    for name in names:
        odd = play(*NOT_ALLOWED[name], then_close=True)

        def first_only(w, c, h, odd=odd):
            attempt = h["x-loftpath-attempt-id"]
            if attempt in seen:
                return None
            seen.add(attempt)
            return odd(w, c, h)

        for w in s.desks:
            w.play = first_only
        status, _, data = ask(s, "/safe/x", "GET")
        if status != 200 or b"ran GET" not in data:
            wrong.append((name, status, data))
        time.sleep(RETRY_WINDOW_S)
    assert not wrong, wrong


def test_heads_that_http_allows_are_passed_on(s):
    """A check that is too strict would refuse a sound answer."""
    wrong = []
    for name, parts in ALLOWED.items():
        for w in s.desks:
            w.play = play(*parts, then_close=False)
        status, _, data = ask(s, "/once/x")
        if status not in (200, 299) or data != BODY:
            wrong.append((name, status, data))
    assert not wrong, wrong


def test_a_store_whose_heads_http_does_not_allow_is_not_believed(s):
    """A configuration that came in such an answer was in force."""
    sound = s.store.answer
    for k, line in enumerate((b"HTTP/1.1 200 X\r\nX Odd: 1\r\n",
                              b"HTTP/1.1 200 X\r\nX-Odd : 1\r\n")):
        def odd(c, method, path, headers, body, line=line, k=k):
            if "/config?" not in path or "watch=" not in path:
                return sound(c, method, path, headers, body)
            entry = {"meta": {"name": "main", "revision": 1000 + k},
                     "spec": config(50 + k, keys=["other"])}
            text = json.dumps({"events": [{"object": entry, "gone": False}],
                               "at": 1000 + k}).encode()
            c.sendall(line + b"Content-Length: %d\r\n\r\n%s" % (len(text), text))
            odds.append(path)
            return True

        odds = []
        s.store.answer = odd
        s.store.cut_watches()
        wait_for("a watch", lambda: odds)
        time.sleep(0.5)
        ordinary(s)
        s.store.answer = sound
        s.store.cut_watches()
        wait_for("an ordinary request", lambda: s.call("/safe/x").status == 200)


# == early answers ==

class EarlyWorker(Worker):
    """Answers an upload as soon as it has its head. If `reset`, it reads no more, and
    resets the connection when the sender can send no more; otherwise it reads the
    rest and closes in order. `ends_first`: its own end follows the answer at once."""

    fields, body, reset, ends_first = (), BODY, True, False

    def _serve(self, c):
        if self.reset:
            c.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        try:
            self._answer_early(c)
        except OSError:
            pass
        finally:
            self.open.discard(c)
            c.close()

    def _answer_early(self, c):
        data = b""
        while b"\r\n\r\n" not in data:
            more = c.recv(1)
            if not more:
                return
            data += more
        lines = data.decode().split("\r\n")
        fields = {k.lower(): v for k, _, v in (x.partition(": ") for x in lines)}
        if "content-length" not in fields:  # a check whether it runs
            self.answer(c, "GET", "/", fields, b"")
            return
        c.sendall(head(fields["x-loftpath-attempt-id"], *self.fields) + self.body)
        if self.ends_first:
            c.shutdown(socket.SHUT_WR)
        if self.reset:
            time.sleep(EARLY_S)
            c.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            return
        left = int(fields["content-length"])
        while left > 0:
            left -= len(c.recv(min(left, 1 << 16)) or bytes(left))


def early_site(s, service="desk", **how):
    """Replaces the targets of a service by one that answers early."""
    c = config(2, limits={"max_body_bytes": UPLOAD_BYTES})
    s.store.put("config", "main", c)
    s.remove_workers(s.desks if service == "desk" else s.engines)
    w = EarlyWorker(("127.0.0.1", 0), s.store, "early", service)
    for k, v in how.items():
        setattr(w, k, v)
    s.desks.append(w)
    wait_for("the limits", lambda: any(
        l["event"] == "configuration" and l["version"] == 2 for l in s.log(0)))
    time.sleep(0.3)


def upload_all(s, path="/once/x"):
    got = [ask(s, path, body=bytes(UPLOAD_BYTES), X_Loftpath_Token_Count="10,10")
           for _ in range(EARLY_ROUNDS)]
    print("  statuses %s" % sorted(r[0] for r in got), flush=True)
    return got


def test_a_part_of_an_early_answer_that_is_reset_is_no_answer(s):
    """An answer without a length, cut by a reset while the upload was still being
    written, looked as if it had ended in order."""
    early_site(s)
    got = upload_all(s)
    assert all(r[0] in (0, 502) for r in got), [r[0] for r in got]


def test_a_long_part_of_an_early_answer_that_is_reset_is_no_answer(s):
    """The same, with a head that was already passed on."""
    early_site(s, body=bytes(600000))
    got = upload_all(s)
    assert all(r[0] in (0, 502) for r in got), [(r[0], len(r[2])) for r in got]


def test_a_part_of_an_early_stream_that_is_reset_is_no_answer(s):
    """The same on a stream: its caller got a last chunk."""
    early_site(s, "engine", fields=("Content-Type: text/event-stream",),
               body=event(1).encode())
    got = upload_all(s, "/chat/x")
    assert all(r[0] in (0, 502) for r in got), [(r[0], r[2]) for r in got]


def test_a_part_of_an_early_answer_that_ends_within_the_upload_is_no_answer(s):
    """One without a length, whose target closes its side before it was sent the whole
    request, and resets the connection later. It can't have read the request, and
    nothing tells whether its answer is whole."""
    early_site(s, ends_first=True)
    got = upload_all(s)
    assert all(r[0] in (0, 502) for r in got), [r[0] for r in got]


def test_a_part_of_an_early_answer_in_chunks_that_is_reset_is_no_answer(s):
    """For comparison: its framing shows that it is cut."""
    early_site(s, fields=("Transfer-Encoding: chunked",), body=chunk("the body"))
    got = upload_all(s)
    assert all(r[0] in (0, 502) for r in got), [r[0] for r in got]


def test_a_whole_early_answer_is_passed_on(s):
    """A target may answer before it has read a long body."""
    early_site(s, fields=("Content-Length: %d" % len(BODY), "Connection: close"))
    got = upload_all(s)
    assert all(r[0] == 200 and r[2] == BODY for r in got), [r[0] for r in got]


def test_an_early_answer_that_ends_in_order_is_passed_on(s):
    """One without a length, whose target reads the rest and closes in order."""
    early_site(s, fields=("Connection: close",), reset=False)
    got = upload_all(s)
    assert all(r[0] == 200 and r[2] == BODY for r in got), [(r[0], r[2][:80]) for r in got]


if __name__ == "__main__":
    sys.exit(run_tests(globals()))
