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
                   run_tests, wait_for)
from red import bound_sanitizer

AT_ONCE = 4             # requests with an endless answer at the same time
HARMLESS_S = 1.0        # aim for a harmless request
GO_ON_S = 1.0           # after which a request has left an endless answer
BLOCK_BYTES = 1 << 16   # of one write of a stand-in
READ_BYTES = 16384      # of one read of an instance
KEPT_BYTES = 1 << 20    # of a body, for comparison
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
        began = time.monotonic()
        self.status, self.body, self.whole = 0, bytearray(), False
        try:
            c = s.connect()
            c.request(method, path, b"b" if method == "POST" else None, headers)
            r = c.getresponse()
            self.status = r.status
            while True:
                piece = r.read1(1 << 20)
                if not piece:
                    break
                if len(self.body) < KEPT_BYTES:
                    self.body += piece
            self.whole = r.chunked or r.length == 0
        except (OSError, http.client.HTTPException):
            self.whole = False
        self.seconds = time.monotonic() - began

    def __repr__(self):
        return "(%d %s.. whole=%s %.2f s)" % (
            self.status, bytes(self.body[:24]), self.whole, self.seconds)


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



def test_an_interim_answer_has_no_body(s):
    """Its body was taken for that of the answer: the caller got it, without a head."""
    sent = []
    play_desks(s, flood(lambda a: b"HTTP/1.1 100 Continue\r\n"
                        b"Transfer-Encoding: chunked\r\n\r\n", chunk("x" * 1000), sent))
    got = ask_all(s, "/once/x")
    assert_failed(got)
    assert all(o.status == 502 for o in got), got


def test_the_body_of_an_interim_answer_is_no_part_of_a_stream(s):
    """A stream that goes on elsewhere got events of it."""
    time.sleep(RETRY_WINDOW_S)

    def play(w, c, h):
        c.sendall(b"HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n"
                  + chunk(event(2)) + chunk(event(9)) + b"0\r\n\r\n")
        return play_stream(5)(w, c, h)

    play_engines(s, first_only(play_stream(5, cut_at=2), play))
    o = ask_all(s, "/chat/x", n=1, X_Loftpath_Token_Count="10,10")[0]
    assert event(9).encode() not in o.body, o.body
    assert o.body == events(5) or not o.whole, o


def test_an_answer_without_content_has_no_body(s):
    """The caller got its body as bytes after a whole answer."""
    got = []
    for status, framing in ((204, "Content-Length: 5"), (304, "Content-Length: 5"),
                            (204, "Transfer-Encoding: chunked")):
        first = "HTTP/1.1 %d X\r\n%s\r\n" % (status, framing)
        play_desks(s, flood(lambda a, first=first: first.encode() + head(
            a).split(b"\r\n", 1)[1], chunk("bytes")))
        with socket.create_connection((s.ip(0), s.connect().port), 5) as c:
            h = "".join("%s: %s\r\n" % f for f in s.head().items())
            c.sendall(b"GET /safe/x HTTP/1.1\r\n" + h.encode() + b"\r\n")
            c.settimeout(0.3)
            data = b""
            try:
                while len(data) < 1 << 20:
                    data += c.recv(1 << 16) or b"(closed)"
                    if data.endswith(b"(closed)"):
                        break
            except socket.timeout:
                pass
            got.append((status, framing, data))
    for status, framing, data in got:
        assert data.startswith(b"HTTP/1.1 %d " % status), got
        assert data.split(b"\r\n\r\n", 1)[1] in (b"", b"(closed)"), (
            status, framing, len(data), data[:300])


# == answers that are read in vain ==

def test_a_foreign_answer_without_end_breaks_the_exchange(s):
    """It was read until the deadline, for the right answer behind it."""
    for framing, piece in (("Transfer-Encoding: chunked", chunk("x" * 1000)),
                           ("Content-Length: 1000000000000", b"x" * 1000),
                           ("Connection: close", b"x" * 1000)):
        sent = []
        play_desks(s, flood(lambda a, f=framing: head("another", f), piece, sent))
        assert_failed(ask_all(s, "/once/x"))
        wait_for("the targets", lambda: len(sent) == AT_ONCE)
        assert max(sent) < 32 << 20, sent


def test_a_long_foreign_answer_is_passed_over(s):
    """A bound that is too small would cost the right answer."""

    def play(w, c, h):
        c.sendall(head("another", "Content-Length: 700000") + bytes(700000))
        c.sendall(head(h["x-loftpath-attempt-id"], "Content-Length: 3") + b"our")
        return True

    play_desks(s, play)
    assert_gone_on(ask_all(s, "/once/x", n=2), b"our")


def refusal(attempt):
    return (b"HTTP/1.1 503 X\r\nX-Loftpath-Not-Executed: 1\r\n"
            b"Transfer-Encoding: chunked\r\nX-Loftpath-Attempt-Id: %s\r\n\r\n"
            % attempt.encode())


def test_a_refusal_without_end_sends_a_request_elsewhere(s):
    """It waited for the end of the refusal's body until its deadline."""
    time.sleep(RETRY_WINDOW_S)
    play_desks(s, first_only(flood(refusal, chunk("x" * 1000))))
    got = ask_all(s, "/once/x", n=1)
    assert got[0].status == 200 and got[0].seconds < GO_ON_S, got


def test_refusals_without_end_by_all_targets_are_refusals(s):
    """The request did not run, and its caller may send it again."""
    time.sleep(RETRY_WINDOW_S)
    play_desks(s, flood(refusal, chunk("x" * 1000)))
    got = ask_all(s, "/once/x", n=2)
    for o in got:
        assert o.status == 503 and o.seconds < GO_ON_S, got


# == bodies, heads and connections ==

BODY_FRAMINGS = {"chunks": ("Transfer-Encoding: chunked", chunk("x" * 1000)),
                 "length": ("Content-Length: 1000000000000", b"x" * 1000),
                 "close": ("Connection: close", b"x" * 1000)}


def test_a_body_without_end_is_passed_on_within_the_memory(s):
    """Callers that take all they get must not cost the others; at the deadline the
    answer breaks visibly."""
    for name, (framing, piece) in BODY_FRAMINGS.items():
        play_desks(s, flood(lambda a, f=framing: head(a, f), piece))
        for o in ask_all(s, "/once/x", X_Loftpath_Deadline_Ms="1500"):
            assert not o.whole and o.seconds < 1.5 + GO_ON_S, (name, o)


def error_head(attempt, framing):
    return head(attempt, framing).replace(b"200 OK", b"500 X")


def test_an_error_without_end_sends_a_request_elsewhere(s):
    """Its beginning was passed on although the request may be repeated."""
    time.sleep(RETRY_WINDOW_S)
    for name, (framing, piece) in BODY_FRAMINGS.items():
        play_desks(s, first_only(flood(lambda a, f=framing: error_head(a, f), piece)))
        got = ask_all(s, "/safe/x", "GET", n=1)
        assert got[0].status == 200 and got[0].whole, (name, got)
        assert got[0].seconds < GO_ON_S, (name, got)
        time.sleep(2 * RETRY_WINDOW_S)


def test_a_head_without_end_breaks_the_exchange(s):
    """A field, fields, or a status line without end must not be held."""
    line = b"HTTP/1.1 200 OK\r\n"
    for first, piece in ((line + b"X-Long: ", b"x" * 1000),
                         (line, b"X-Field: " + b"x" * 100 + b"\r\n"),
                         (line, b"A: b\r\n"), (b"HTTP/1.1 200 ", b"x" * 1000),
                         (b"", b"HTTP/1.1 "), (b"", b"\r\n"), (b"", b"\0" * 100)):
        sent = []
        play_desks(s, flood(lambda a, f=first: f, piece, sent))
        assert_failed(ask_all(s, "/once/x"))


def test_a_chunk_head_or_trailer_without_end_breaks_the_exchange(s):
    """The sizes of chunks, their extensions and the trailers must not be held."""
    for first, piece in ((b"", b"0" * 1000), (b"5;", b"x" * 1000),
                         (b"0\r\n", b"X-Field: " + b"x" * 100 + b"\r\n"),
                         (b"0\r\nX-Long: ", b"x" * 1000)):
        for path, more in (("/once/x", ("Transfer-Encoding: chunked",)),
                           ("/chat/x", EVENT_STREAM)):
            play = flood(lambda a, f=first, m=more: head(a, *m) + f, piece)
            play_desks(s, play)
            play_engines(s, play)
            assert_failed(ask_all(s, path, X_Loftpath_Token_Count="10,10"))


def test_events_that_the_caller_has_without_end_hold_nobody_up(s):
    """They are read over, and nothing is passed on."""
    play_engines(s, flood(lambda a: stream_head(a) + chunk(event(5)),
                          chunk(event(1) + event(2))))
    for o in ask_all(s, "/chat/x", X_Loftpath_Token_Count="10,10",
                     X_Loftpath_Deadline_Ms="1500"):
        assert o.body == event(5).encode() and not o.whole, o
        assert o.seconds < 1.5 + GO_ON_S, o


def test_bytes_after_a_whole_answer_belong_to_no_request(s):
    """A request was sent on the connection that held them, and failed. The answer
    ends where a read of the instance ends, so that the bytes are still unread."""

    def whole(attempt):
        first = head(attempt, "Content-Length: 10000", "X-Fill: %s")
        fill = READ_BYTES - len(first) - 10000 + len("%s")
        return first.replace(b"%s", b"x" * fill) + bytes(10000)

    def play(w, c, h):
        try:
            c.sendall(whole(h["x-loftpath-attempt-id"])
                      + (head("another", "Content-Length: 3") + b"not") * 100)
            while True:
                c.sendall((head("another", "Content-Length: 3") + b"not") * 100)
        except OSError:
            return False

    play_desks(s, play)
    for _ in range(10):
        assert_gone_on(ask_all(s, "/once/x"), bytes(10000))



# == the store ==

STORE_HEADS = {
    "chunks": (b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n",
               b"3e8\r\n" + b" " * 1000 + b"\r\n"),
    "length": (b"HTTP/1.1 200 X\r\nContent-Length: 1000000000000\r\n\r\n", b" " * 1000),
    "close": (b"HTTP/1.1 200 X\r\n\r\n{\"entries\": [", b"{}," * 300),
    "conflict": (b"HTTP/1.1 409 X\r\n\r\n", b" " * 1000),
    "interim": (b"", CONTINUE),
    "head": (b"HTTP/1.1 200 X\r\n", b"X-Field: value\r\n")}


class EndlessStore:
    """Makes the store of a site answer without end, `pause_s` between the pieces.
    Counts the bytes of each answer."""

    def __init__(self, s, name, pause_s=0.0, only=lambda path: True):
        self.first, self.piece = STORE_HEADS[name]
        self.pause_s, self.only, self.s, self.sent = pause_s, only, s, []
        self.running, self.sound = True, s.store.answer
        s.store.answer = self.answer
        s.store.cut_watches()

    def answer(self, c, method, path, headers, body):
        if not self.running or not self.only(path):
            return self.sound(c, method, path, headers, body)
        block = self.piece * (1 if self.pause_s else BLOCK_BYTES // len(self.piece))
        n, began = 0, time.monotonic()
        try:
            c.sendall(self.first)
            while self.running:
                c.sendall(block)
                n += len(block)
                time.sleep(self.pause_s)
        except OSError:
            pass
        self.sent.append((n, time.monotonic() - began, path))
        return False

    def end(self):
        self.running = False


def metric(s, name):
    c = http.client.HTTPConnection(s.ip(0), s.connect().port + 1, timeout=2)
    c.request("GET", "/metrics")
    return [int(l.split()[1]) for l in c.getresponse().read().decode().splitlines()
            if l.startswith("loftpath_%s " % name)][0]


def serve_beside(s, seconds):
    """Harmless requests during that time; they have to be served in time."""
    end, slowest = time.monotonic() + seconds, 0.0
    while time.monotonic() < end:
        began = time.monotonic()
        a = s.call("/once/x", "POST", b"b")
        slowest = max(slowest, time.monotonic() - began)
        assert a.status == 200, (a.status, a.body)
        time.sleep(0.02)
    assert slowest < HARMLESS_S, "a harmless caller waited %.2f s" % slowest
    assert peak_mb(s) < s.memory_mb, "%.0f MB" % peak_mb(s)
    return slowest


def assert_follows(s, version):
    """The instance follows the store again."""
    s.store.put("config", "main", config(version, keys=["key-acme", "k%d" % version]))
    wait_for("version %d" % version, lambda: s.call(
        "/safe/x", Authorization="Bearer k%d" % version).status == 200, 5)


def test_answers_of_the_store_without_end_are_failed_calls(s):
    """They were read for as long as they went on, and no change was seen."""
    for k, name in enumerate(STORE_HEADS):
        failures, e = metric(s, "store_failures_total"), EndlessStore(s, name)
        slowest = serve_beside(s, 3.0)
        n = metric(s, "store_failures_total") - failures
        e.end()
        print("  %s: %d failed calls, slowest %.3f s, peak %.0f MB, %d answers of up to "
              "%.1f MB, %.1f s" % (name, n, slowest, peak_mb(s), len(e.sent),
                                   max([x[0] for x in e.sent] + [0]) / 1e6,
                                   max([x[1] for x in e.sent] + [0])), flush=True)
        assert n > 0, name
        assert e.sent and max(x[0] for x in e.sent) < 16 << 20, (name, e.sent)
        assert_follows(s, k + 2)


MANY_VALUES = {
    "fewer": (b'{"entries": [', b"{},", b'{}], "more": false, "at": 1}'),
    "entries": (b'{"entries": [', b"{},", b'{}], "more": false, "at": 1}'),
    "events cut short": (b'{"events": [', b"{},", b""),
    "numbers": (b'{"entries": [', b"1,", b'1], "more": false, "at": 1}'),
    "fields": (b'{"entries": [{"meta": {"name": "x"}, "spec": {', b'"k":{},',
               b'"k":1}}], "more": false, "at": 1}')}


def test_an_answer_of_the_store_of_many_values_stops_nobody(s):
    """An answer that ends just below the limit of its bytes was parsed, for seconds
    and in many times its size."""
    sound = s.store.answer
    for name, (first, piece, last) in MANY_VALUES.items():
        n = 190000 if name == "fewer" else (7 << 20) // len(piece)
        text = first + piece * n + last

        def answer(c, method, path, headers, body, text=text):
            c.sendall(b"HTTP/1.1 200 X\r\n\r\n" + text)
            return False

        s.store.answer = answer
        s.store.cut_watches()
        print("  %s: slowest %.3f s, peak %.0f MB" % (
            name, serve_beside(s, 3.0), peak_mb(s)), flush=True)
    s.store.answer = sound
    assert_follows(s, 2)


def test_a_watch_that_trickles_without_end_ends(s):
    """An instance that waits for its end sees no change."""
    e = EndlessStore(s, "chunks", 0.3, lambda path: "watch=" in path)
    serve_beside(s, 1.0)
    s.store.put("config", "main", config(2, keys=["key-acme", "k2"]))
    wait_for("version 2", lambda: s.call(
        "/safe/x", Authorization="Bearer k2").status == 200, 15)
    e.end()


if __name__ == "__main__":
    bound_sanitizer()
    sys.exit(run_tests(globals()))
