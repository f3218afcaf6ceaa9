#!/usr/bin/env python3
"""endless.py: targets and stores whose answers never end; real processes. Others
have to be served in time meanwhile, within the memory of the instance.

Usage: endless.py BUILD_DIR [TEST...]"""
import http.client
import socket
import sys
import threading
import time

from fleet import (RETRY_WINDOW_S, Site, chunk, config, event, head, play_stream,
                   route, run_tests, wait_for)

AT_ONCE = 4             # requests with an endless answer at the same time
HARMLESS_S = 1.0        # aim for a harmless request
GO_ON_S = 1.0           # after which a request has left an endless answer
BLOCK_BYTES = 1 << 16   # of one write of a stand-in
EVENT_STREAM = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")


def flood(first, piece, sent=None):
    """Plays a target that sends `first`, then `piece` until its connection is closed.
    `first` is a function of the attempt's id. Only requests whose id does not begin
    with "good" get this answer. `sent`: a list that gets the bytes sent of each."""

    def play(w, c, h):
        attempt = h["x-loftpath-attempt-id"]
        if attempt.startswith("good"):
            return None
        block, n = piece * max(1, BLOCK_BYTES // len(piece)), 0
        try:
            c.sendall(first(attempt))
            while True:
                c.sendall(block)
                n += len(block)
        except OSError:
            return False
        finally:
            if sent is not None:
                sent.append(n)

    return play


def first_only(endless, then=lambda w, c, h: None):
    """Plays `endless` for the first run of each attempt, then `then`."""
    seen = set()

    def play(w, c, h):
        attempt = h["x-loftpath-attempt-id"]
        if attempt in seen or attempt.startswith("good"):
            return then(w, c, h)
        seen.add(attempt)
        return endless(w, c, h)

    return play


class Outcome:
    """What a caller got: `status` 0 if there was no head, `whole` if the framing
    says that the answer is complete."""

    def __init__(self, s, path, method, headers):
        began, self.status, self.body, self.whole = time.monotonic(), 0, b"", False
        try:
            c = s.connect()
            c.request(method, path, b"b" if method == "POST" else None, headers)
            r = c.getresponse()
            self.status = r.status
            while True:
                piece = r.read1(1 << 20)
                if not piece:
                    break
                self.body = (self.body + piece)[-(1 << 20):]
            self.whole = r.chunked or r.length == 0
        except (OSError, http.client.HTTPException):
            self.whole = False
        self.seconds = time.monotonic() - began

    def __repr__(self):
        return "(%d %r.. whole=%s %.2f s)" % (self.status, self.body[:60], self.whole,
                                              self.seconds)


def ask_all(s, path, method="POST", n=AT_ONCE, **more):
    """Sends n requests at once, and harmless ones until they have ended. Returns the
    outcomes. Checks that the harmless ones were served in time, and the memory."""
    got, waits = [], []
    heads = [s.head(**more) for _ in range(n)]
    asking = [threading.Thread(target=lambda h=h: got.append(
        Outcome(s, path, method, h))) for h in heads]
    for t in asking:
        t.start()
    while any(t.is_alive() for t in asking) or len(waits) < 5:
        began = time.monotonic()
        a = s.call("/once/x", "POST", b"b", X_Loftpath_Attempt_Id="good%g" % began)
        waits.append(time.monotonic() - began)
        assert a.status == 200, a.status
        time.sleep(0.02)
    for t in asking:
        t.join()
    print("  %s: harmless %d, slowest %.3f s; peak %.0f MB; %s" % (
        path, len(waits), max(waits), peak_mb(s), got[:2]), flush=True)
    assert max(waits) < HARMLESS_S, "a harmless caller waited %.2f s" % max(waits)
    assert peak_mb(s) < s.memory_mb, "%.0f MB" % peak_mb(s)
    return got


def peak_mb(s):
    with open("/proc/%d/status" % s.processes[0].pid) as f:
        return [int(l.split()[1]) for l in f if l.startswith("VmHWM")][0] / 1024


def stream_head(attempt):
    return head(attempt, *EVENT_STREAM)


def assert_gone_on(got, body):
    """All were served elsewhere, soon."""
    for o in got:
        assert o.status == 200 and o.whole and o.body == body, got
        assert o.seconds < GO_ON_S, got


def assert_failed(got, status=502):
    """All ended soon with an error, or visibly broke."""
    for o in got:
        assert o.status == status or not o.whole, got
        assert o.seconds < GO_ON_S, got


def events(n):
    return b"".join(event(k).encode() for k in range(1, n + 1))


# == events without end ==

def play_engines(s, endless):
    for e in s.engines:
        e.play = endless


def test_an_event_without_end_in_small_chunks_holds_nobody_up(s):
    """Each piece was searched together with all before it, and all were held."""
    play_engines(s, flood(stream_head, chunk("data: xx")))
    assert_failed(ask_all(s, "/chat/x", X_Loftpath_Token_Count="10,10"))


def test_an_event_without_end_in_one_chunk_ends_its_request(s):
    """It was held until the deadline."""
    play_engines(s, flood(lambda a: stream_head(a) + b"7fffffff\r\n", b"x" * 64))
    assert_failed(ask_all(s, "/chat/x", X_Loftpath_Token_Count="10,10"))


def test_a_stream_goes_on_elsewhere_after_an_event_without_end(s):
    """It waited for the end of the event until its deadline."""
    time.sleep(RETRY_WINDOW_S)
    play_engines(s, first_only(flood(
        lambda a: stream_head(a) + chunk(event(1)) + chunk("id: 2\n"),
        chunk("data: xx")), play_stream(5)))
    got = ask_all(s, "/chat/x", n=1, X_Loftpath_Token_Count="10,10")
    assert_gone_on(got, events(5))


def test_sound_long_events_are_passed_on(s):
    """A bound that is too small would end them."""
    long = "id: 1\ndata: %s\n\n" % ("x" * 60000)

    def play(w, c, h):
        data = chunk(long)
        c.sendall(stream_head(h["x-loftpath-attempt-id"]))
        for at in range(0, len(data), 1000):
            c.sendall(data[at:at + 1000])
        c.sendall(b"0\r\n\r\n")
        return True

    play_engines(s, play)
    got = ask_all(s, "/chat/x", n=2, X_Loftpath_Token_Count="10,10")
    assert_gone_on(got, long.encode())


# == interim answers without end ==

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def play_desks(s, endless):
    for w in s.desks:
        w.play = endless


def test_interim_answers_without_end_break_the_exchange(s):
    """They were read until the deadline."""
    sent = []
    play_desks(s, flood(lambda a: b"", CONTINUE, sent))
    assert_failed(ask_all(s, "/once/x"))
    wait_for("the targets", lambda: len(sent) == AT_ONCE)
    assert max(sent) < 16 << 20, sent


def test_interim_answers_without_end_send_a_request_elsewhere(s):
    """It waited for the final answer until its deadline."""
    time.sleep(RETRY_WINDOW_S)
    play_desks(s, first_only(flood(lambda a: b"", CONTINUE)))
    got = ask_all(s, "/safe/x", "GET", n=1)
    assert got[0].status == 200 and got[0].seconds < GO_ON_S, got


def test_some_interim_answers_are_skipped(s):
    """A bound that is too small would end a sound exchange."""

    def play(w, c, h):
        c.sendall(CONTINUE * 3 + b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
        c.sendall(head(h["x-loftpath-attempt-id"], "Content-Length: 3") + b"our")
        return True

    play_desks(s, play)
    assert_gone_on(ask_all(s, "/once/x", n=2), b"our")


if __name__ == "__main__":
    sys.exit(run_tests(globals()))
