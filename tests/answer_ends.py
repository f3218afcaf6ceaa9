#!/usr/bin/env python3
"""answer_ends.py: how answers of targets end, and what their callers see of it: an
answer that was cut short must not look complete, and a sound one that only the end
of its connection ends must be served. Real processes; the targets that end are
processes as well, which are killed.

Usage: answer_ends.py BUILD_DIR [TEST...]"""
import itertools
import random
import socket
import sys
import threading
import time

from ending import (CALLER_TIMEOUT_S, EVENTS, FRAMES, HEAD_PLACES, PLACES, RESET,
                    UNFRAMED, Call, connect, cut_answer, plain_parts, play_answer,
                    stream_parts, whole_answer)
from fleet import (RETRY_WINDOW_S, Site, play_stream, route, run_in_groups,
                   run_tests, wait_for)
from standins import Worker, head
from worker_process import WorkerProcess

SERVICE = {"/safe/": "desk", "/once/": "desk", "/chat/": "engine",
           "/firm/": "engine"}  # of each route; /firm/ can't be resumed
PATIENT = {"timeout_ms": 20000}  # of routes whose answers wait for a test
CALLERS_AT_ONCE = 6
PAUSE_S = 0.1  # between the pieces of an answer
END_WAIT_S = 0.3  # for evidence whether a target that closed is alive
BUSY_S = 0.25  # for two processes to run on a busy machine
HOW = ("fin", "rst", "kill")  # how a target breaks its answer off
SEED, CASES = 1, 10  # of the cases that are tried in each framing
GROUPS = 5  # of tests side by side; most of their time is waiting
LONG_LINES = 2400  # per part; two of them are longer than a held answer may be
SHORT_LINES = 300  # per part
# Answers that take up what callers of a SmallSite may make it hold, 8 MB: their
# number and size. Each request that is served takes 40 KB besides.
HELD = ((27, 240 << 10), (16, 12 << 10))
LEFT_BYTES = 60 << 10  # of an answer; they fit into the buffers of a connection
SMALL_BUFFER = 4096
PAUSING = (("chunks", "1.0"), ("close", "1.0"), ("close", "1.1"))  # callers' versions
REQUESTS = 3  # on one connection


class EndSite(Site):
    """An instance whose targets each test enters itself."""

    def __init__(self, **conf):
        super().__init__(**dict(conf, desks=1, engines=1), prepaid=10**6,
                         routes=[route("f", "/firm/", "engine", "stream",
                                       resumable=False),
                                 route("h", "/held/", "desk", "safe", **PATIENT)])
        self.n_targets, self.killed = 0, []
        self.ended = threading.Event()  # targets that wait go on
        wait_for("tokens", lambda: self.chat(10).status != 503)
        time.sleep(RETRY_WINDOW_S)
        self.remove_workers(self.engines)
        self.remove_workers(self.desks)

    def new_name(self):
        self.n_targets += 1
        return "w%d" % self.n_targets

    def wait_known(self, name):
        wait_for("target " + name, lambda: any(
            l["event"] == "target" and l["target"] == name for l in self.log(0)))

    def add_process(self, path, frame, place, parts=None, child=False):
        """Adds a target that stops at `place` and is to be killed there. `child`: a
        process that has its listener outlives it."""
        name = self.new_name()
        if parts is None:
            parts = stream_parts() if is_stream(path) else plain_parts(name)
        w = WorkerProcess(self.store, name, SERVICE[path],
                          cut_answer(frame, parts, place), child)
        self.killed.append(w)
        self.wait_known(name)
        return w

    def add_sound(self, path, n=1):
        """Adds targets whose answers are whole."""
        added = [Worker(("127.0.0.1", 0), self.store, self.new_name(), SERVICE[path])
                 for _ in range(n)]
        (self.engines if is_stream(path) else self.desks).extend(added)
        for w in added:
            w.play = play_stream(EVENTS) if is_stream(path) else None
            self.wait_known(w.name)
        return added

    def clear(self):
        for w in self.killed:
            w.close()
        self.killed.clear()
        self.remove_workers(self.engines)
        self.remove_workers(self.desks)

    def close(self):
        self.ended.set()
        self.clear()
        super().close()


def is_stream(path):
    return SERVICE[path] == "engine"


def kill_within(s, path, frame, place, callers=1, others=True, parts=None, **call):
    """Kills a target while it answers; `others`: another one is left. Returns the
    calls, the killed target and the other one."""
    w = s.add_process(path, frame, place, parts)
    calls = [Call(s, path, **call) for _ in range(callers)]
    w.wait_stopped(callers)
    other = s.add_sound(path)[0] if others else None
    w.kill()
    for c in calls:
        c.join()
    return calls, w, other


def whole_stream():
    return b"".join(stream_parts())


def check_whole_elsewhere(path, calls, w, other):
    for c in calls:
        r = c.result()
        want = whole_stream() if is_stream(path) else b"%s ran GET /safe/%s" % (
            other.name.encode(), c.attempt.encode())
        assert r.status == 200 and r.body == want and r.end == "whole", str(r)
        assert other.ran.count(c.attempt) == w.ran.count(c.attempt) == 1


def check_failed_once(path, calls, w, other):
    for c in calls:
        r = c.result()
        assert r.status == 502 and r.end == "whole", str(r)
        assert w.ran.count(c.attempt) == 1 and not other.ran, (w.ran, other.ran)


def check_broken(path, calls, w, other):
    """A failure before the answer began, or a visible break."""
    for c in calls:
        r = c.result()
        assert r.broken or r.status == 502 and r.end == "whole", str(r)
        assert w.ran.count(c.attempt) == 1 and not (other and other.ran)


def kill_at_each(s, path, places, check, others=True, frames=UNFRAMED):
    """Kills targets at each place of answers in each frame. Reports all cases
    that failed."""
    failed = []
    for frame in frames:
        for place in places:
            try:
                check(path, *kill_within(s, path, frame, place, others=others))
            except AssertionError as e:
                failed.append("%s, %s: %s" % (frame, place, e))
            s.clear()
    assert not failed, "%d cases: %s" % (len(failed), "; ".join(failed))


# == targets that are killed while they answer ==

# Guards against a stream that its target's end broke off and that ends as complete.
def test_a_stream_of_a_killed_target_goes_on_elsewhere(s):
    kill_at_each(s, "/chat/", ("head", "between", "inside"), check_whole_elsewhere)


# Guards against a short answer that is given a length that fits it.
def test_a_safe_answer_of_a_killed_target_comes_from_another(s):
    kill_at_each(s, "/safe/", ("head", "between"), check_whole_elsewhere)


# Guards against a short success, and against a second run, of an unsafe request.
def test_an_unsafe_answer_of_a_killed_target_fails(s):
    kill_at_each(s, "/once/", ("head", "between"), check_failed_once)


# Guards against an end that looks complete where a stream can't be resumed.
def test_a_stream_that_can_not_be_resumed_is_visibly_broken(s):
    kill_at_each(s, "/firm/", ("head", "between", "inside"), check_broken)


# Guards against an end that looks complete where no other target is left.
def test_a_stream_without_another_target_is_visibly_broken(s):
    kill_at_each(s, "/chat/", ("head", "between", "inside"), check_broken, False)


# Guards against a short success where no other target is left.
def test_a_safe_answer_without_another_target_is_no_success(s):
    kill_at_each(s, "/safe/", ("head", "between"), check_broken, False)


# Guards against streams that end as complete when several are cut at once.
def test_all_streams_of_a_killed_target_go_on_elsewhere(s):
    for place in ("between", "inside"):
        check_whole_elsewhere("/chat/", *kill_within(s, "/chat/", "close", place,
                                                     CALLERS_AT_ONCE))
        s.clear()


# Guards against short answers when several are cut at once.
def test_all_safe_answers_of_a_killed_target_come_from_another(s):
    check_whole_elsewhere("/safe/", *kill_within(s, "/safe/", "close", "between",
                                                 CALLERS_AT_ONCE))


# == targets that live on ==

def parts_of(path, name, lines=8):
    return stream_parts() if is_stream(path) else plain_parts(name, lines=lines)


def close_after(s, path, frame, lines=8):
    """A target ends a whole answer by closing its connection, beside another
    target. Returns the reply."""
    plays, workers = [], s.add_sound(path, 2)
    for w in workers:
        plays.append(play_answer(whole_answer(frame, parts_of(path, w.name, lines)),
                                 "fin", PAUSE_S))
        w.play = plays[-1]
    c = Call(s, path)
    r = c.result()
    ran = [k for k in range(2) if workers[k].ran]
    assert [w.ran for w in workers if w.ran] == [[c.attempt]], "ran elsewhere too"
    r.target, r.sent_at = workers[ran[0]], plays[ran[0]].sent_at
    want = parts_of(path, r.target.name, lines)
    r.want = [p.replace(b"ATTEMPT", c.attempt.encode()) for p in want]
    return r


def check_served(r):
    """The answer is whole, in time, and says where it ends, so that a break would
    be seen even if its reset were lost."""
    assert r.status == 200 and r.body == b"".join(r.want), str(r)
    late = r.ended_at - r.sent_at[-1]
    assert late < END_WAIT_S + BUSY_S, "ended %.2f s after its target" % late
    assert r.framed and r.end == "whole", "%s, %s" % (r, r.fields)


def close_each(s, path, check=check_served, lines=8):
    failed = []
    for frame in UNFRAMED:
        try:
            check(close_after(s, path, frame, lines))
        except AssertionError as e:
            failed.append("%s: %s" % (frame, e))
        s.clear()
    assert not failed, "%d cases: %s" % (len(failed), "; ".join(failed))


# Guards against sound streams that are run again, held, or end without a mark.
def test_a_stream_that_its_connection_ends_is_served(s):
    close_each(s, "/chat/")


# Guards against the same where the stream can't be resumed.
def test_a_stream_for_one_target_that_its_connection_ends_is_served(s):
    close_each(s, "/firm/")


# Guards against events that wait for the end of a stream without a framing.
def test_events_of_a_stream_without_framing_are_passed_on_at_once(s):
    def check(r):
        late = [r.time_of(e) - at for e, at in zip(r.want, r.sent_at[1:])]
        assert len(late) == EVENTS and max(late) < BUSY_S, late

    close_each(s, "/chat/", check)


# Guards against sound plain answers that are run again, held, or have no length.
def test_a_safe_answer_that_its_connection_ends_is_served(s):
    close_each(s, "/safe/")


# Guards against a failure, or a second run, of a sound unsafe answer.
def test_an_unsafe_answer_that_its_connection_ends_is_served(s):
    close_each(s, "/once/")


# Guards against the same where an answer is longer than a held one.
def test_a_long_answer_that_its_connection_ends_is_served(s):
    close_each(s, "/safe/", lines=LONG_LINES)


# Guards against a target that takes no more connections and is taken for ended.
def test_a_full_target_that_closes_a_sound_answer_is_served(s):
    [w] = s.add_sound("/chat/")
    ends = play_answer(whole_answer("close", stream_parts()), "fin", PAUSE_S)

    def reset(c):
        w.open.discard(c)
        c.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        c.close()

    def play(w, c, h):
        w._serve = reset  # further connections
        return ends(w, c, h)

    w.play = play
    r = Call(s, "/chat/").result()
    r.want, r.sent_at = stream_parts(), ends.sent_at
    check_served(r)
    assert len(w.ran) == 1


# Guards against a target that takes no more connections for a moment and is taken for
# ended.
def test_a_full_target_with_room_again_soon_is_served(s):
    for path in ("/chat/", "/once/"):
        [w] = s.add_sound(path)
        serve, parts = w._serve, parts_of(path, w.name)
        ends = play_answer(whole_answer("close", parts), "fin", PAUSE_S)

        def reset(c):
            w._serve = serve  # there is room from the next connection on
            w.open.discard(c)
            c.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            c.close()

        def play(w, c, h):
            w._serve = reset
            return ends(w, c, h)

        w.play = play
        call = Call(s, path)
        r = call.result()
        want = b"".join(parts).replace(b"ATTEMPT", call.attempt.encode())
        assert (r.status, r.body, r.end) == (200, want, "whole"), str(r)
        assert len(w.ran) == 1
        s.clear()


# Guards against one close of a connection that is taken for the end of its target.
def test_other_streams_of_a_target_that_closes_a_connection_go_on(s):
    [w] = s.add_sound("/chat/")
    slow = play_answer(whole_answer("chunks", stream_parts()), "fin", 3 * PAUSE_S)
    ends = play_answer(whole_answer("close", stream_parts()), "fin", PAUSE_S)
    w.play = lambda w, c, h: (slow if len(w.ran) == 1 else ends)(w, c, h)
    first = Call(s, "/chat/")
    wait_for("the first", lambda: w.ran)
    second = Call(s, "/chat/")
    wait_for("the second", lambda: len(w.ran) == 2)
    [other] = s.add_sound("/chat/")
    for c in (second, first):
        r = c.result()
        assert r.status == 200 and r.body == whole_stream(), str(r)
        assert r.end in ("whole", "fin"), str(r)
    assert not other.ran and w.ran == [first.attempt, second.attempt]


# == answers that break inside their head, or in other framings ==

def break_alive(s, path, frame, place, how):
    """The first target that runs a request breaks its answer off and lives on.
    Returns the calls, that target and another one."""
    workers, broken = s.add_sound(path, 2), []
    sound = workers[0].play

    def play(w, c, h):
        if broken:
            return sound(w, c, h) if sound else None
        broken.append(w)
        return play_answer(cut_answer(frame, parts_of(path, w.name), place), how)(
            w, c, h)

    for w in workers:
        w.play = play
    c = Call(s, path)
    c.join()
    other = [w for w in workers if w is not broken[0]][0]
    return [c], broken[0], other


CHECKS = {"/safe/": check_whole_elsewhere, "/chat/": check_whole_elsewhere,
          "/once/": check_failed_once, "/firm/": check_broken}


def break_each(s, cases):
    """Breaks an answer in each case (path, frame, place, how). Reports all cases
    that failed."""
    failed = []
    for path, frame, place, how in cases:
        act = ((lambda: kill_within(s, path, frame, place)) if how == "kill" else
               (lambda: break_alive(s, path, frame, place, how)))
        try:
            CHECKS[path](path, *act())
        except AssertionError as e:
            failed.append("%s %s %s %s: %s" % (path, frame, place, how, e))
        s.clear()
    assert not failed, "%d of %d cases: %s" % (len(failed), len(cases),
                                               "; ".join(failed))


def head_cases(path):
    return list(itertools.product([path], ["close"], HEAD_PLACES, HOW))


def selection(frame, paths, places, how):
    """Some cases of this framing, always the same."""
    cases = list(itertools.product(paths, [frame], places, how))
    return random.Random(SEED).sample(cases, min(CASES, len(cases)))


# Guards against a success without a body, or with half a head for its body.
def test_a_safe_answer_cut_in_its_head_comes_from_another(s):
    break_each(s, head_cases("/safe/"))


# Guards against the same, and against a second run.
def test_an_unsafe_answer_cut_in_its_head_fails(s):
    break_each(s, head_cases("/once/"))


# Guards against a stream that ends as complete before its first event.
def test_a_stream_cut_in_its_head_goes_on_elsewhere(s):
    break_each(s, head_cases("/chat/"))


# Guards against short answers in a framing by length that look complete.
def test_breaks_of_answers_with_a_length_are_seen(s):
    break_each(s, selection("length", SERVICE, PLACES, HOW))


# Guards against short answers in chunks that look complete.
def test_breaks_of_answers_in_chunks_are_seen(s):
    break_each(s, selection("chunks", SERVICE, PLACES, HOW))


# Guards against a reset that is taken for the end of an answer without a framing.
def test_resets_of_answers_without_framing_are_seen(s):
    break_each(s, selection("close", SERVICE, PLACES, ["rst"]) +
               selection("http10", SERVICE, PLACES, ["rst"]))


# Guards against a stream that ends as complete inside an event.
def test_a_close_inside_an_event_is_seen(s):
    break_each(s, list(itertools.product(
        ["/chat/", "/firm/"], UNFRAMED, ["inside"], ["fin"])))


# Guards against an empty stream that looks complete, of a target that lives on.
def test_a_stream_closed_before_its_first_event_is_broken(s):
    break_each(s, list(itertools.product(["/chat/", "/firm/"], UNFRAMED, ["head"],
                                         ["fin"])))


# == answers that are cut at any byte ==

INTERIM = b"HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\nA: b\r\n\r\n"
TRAILERS = b"0;a=b\r\nA: b\r\nB: c\r\n\r\n"
RESET_STEP = 7  # bytes between two resets


def raw_answers(path):
    """Whole answers, and their bytes from which on a cut looks like a proper end."""
    parts = stream_parts(1) if is_stream(path) else [b"0123456789"]
    for frame in FRAMES:
        text = b"".join(whole_answer(frame, parts))
        end = text.index(b"\r\n\r\n") + 4 if frame in UNFRAMED else len(text)
        yield text, end
        yield INTERIM + text, len(INTERIM) + end
        if frame == "chunks":
            text = text[:-len(b"0\r\n\r\n")] + TRAILERS
            yield text, len(text)


def cut_at_each_byte(s, path):
    """All targets break their answers off; reports the answers that look whole."""
    [w], sent, failed = s.add_sound(path), [], []
    w.play = lambda w, c, h: sent.append(h["x-loftpath-attempt-id"]) or play_answer(
        *case)(w, c, h)
    n = 0
    for text, end in raw_answers(path):
        for at in range(end):
            for how in ("fin", "rst")[:2 if at % RESET_STEP == 0 else 1]:
                case = ([text[:at]], how)
                c = Call(s, path)
                r, n = c.result(), n + 1
                if not (r.broken or r.status == 502 and r.end == "whole"):
                    failed.append("%s after %r: %s" % (how, text[:at], r))
                if path != "/safe/" and sent.count(c.attempt) != 1:
                    failed.append("%s ran %d times" % (c.attempt, sent.count(c.attempt)))
    print("  %d cases, %d failed" % (n, len(failed)), flush=True)
    assert not failed, failed[:4]


# Guards against an answer cut inside a head, an interim one, a size of a chunk or a
# trailer that gets a framing of its own.
def test_a_plain_answer_cut_at_any_byte_does_not_look_whole(s):
    cut_at_each_byte(s, "/safe/")


# Guards against the same, and against a second run.
def test_an_unsafe_answer_cut_at_any_byte_does_not_look_whole(s):
    cut_at_each_byte(s, "/once/")


# Guards against the same for streams.
def test_a_stream_cut_at_any_byte_does_not_look_whole(s):
    cut_at_each_byte(s, "/firm/")


# == answers that begin to be passed on before they are complete ==

def check_one_run(frame, calls, w, other):
    """The caller may not take the answer for complete: the rest of its first run
    is lost."""
    for c in calls:
        r = c.result()
        assert r.body.startswith(w.name.encode() + b" "), str(r)
        assert r.broken, "%s: %s, %s lines of the killed target" % (
            frame, r, r.body.count(w.name.encode() + b" "))


def kill_long(s, frame):
    name = "w%d" % (s.n_targets + 1)
    parts = plain_parts(name, lines=LONG_LINES)
    return kill_within(s, "/safe/", frame, "inside", others=True, parts=parts,
                       deadline_ms=2500)


# Guards against an answer joined from the bytes of two runs.
def test_a_long_answer_is_never_joined_from_two_runs(s):
    failed = []
    for frame in FRAMES:
        try:
            check_one_run(frame, *kill_long(s, frame))
        except AssertionError as e:
            failed.append(str(e))
        s.clear()
    assert not failed, "%d cases: %s" % (len(failed), "; ".join(failed))


class SmallSite(EndSite):
    """An instance with as little memory as the settings allow."""

    memory_mb = 32


def hold_answers(s, n, size):
    """Callers whose answers a target has sent but for their end, so that the
    instance holds them. Returns the calls and the target, which leaves."""
    [w] = s.add_sound("/safe/")

    def play(w, c, h):
        c.sendall(head(h["x-loftpath-attempt-id"], "Content-Length: %d" % (size + 1))
                  + bytes(size))
        s.ended.wait(CALLER_TIMEOUT_S)
        return False

    w.play = play
    calls = [Call(s, "/held/", deadline_ms=20000) for _ in range(n)]
    wait_for("held answers", lambda: len(w.ran) == n)
    w.drain()
    wait_for("the target to leave", lambda: any(
        l["event"] == "target" and l["target"] == w.name and l["leaving"]
        for l in s.log(0)))
    s.desks.remove(w)
    return calls, w


# Guards against the same for shorter answers, which are passed on early where
# others hold the memory.
def test_a_short_answer_is_never_joined_where_memory_is_short(s):
    held = [hold_answers(s, n, size) for n, size in HELD]
    parts = plain_parts("w%d" % (s.n_targets + 1), lines=SHORT_LINES)
    done = kill_within(s, "/safe/", "length", "inside", parts=parts)
    for calls, w in held:
        assert not any(c.reply.raw for c in calls), "these were not held"
        s.desks.append(w)
    check_one_run("length", *done)


# == targets that answer twice ==

def surplus_parts(path):
    if is_stream(path):
        return [b"id: %d\ndata: surplus %d\n\n" % (k + 100, k) for k in range(EVENTS)]
    return plain_parts("surplus")


def filled(answer, attempt):
    return b"".join(answer).replace(b"ATTEMPT", attempt.encode())


def play_twice(path, frame, when, same):
    """Answers each request in `frame`, and once more: at once, after a pause in
    which no request is open ("idle"), or ahead of the next answer ("during"), with
    the id of the former request or another one. A surplus answer without framing
    ends by the end of its connection."""
    last = {}  # connection -> attempt

    def play(w, c, h):
        attempt = h["x-loftpath-attempt-id"]
        own = "length" if frame in UNFRAMED else frame
        answer = filled(whole_answer(own, parts_of(path, w.name)), attempt)
        before, last[c] = last.get(c), attempt
        extra = filled(whole_answer(frame, surplus_parts(path)),
                       (before or attempt) if same else "another")
        if when == "during" and before:
            c.sendall(extra if frame in UNFRAMED else extra + answer)
            w.surplus += 1
            return frame not in UNFRAMED
        c.sendall(answer + (extra if when == "at once" else b""))
        if when == "idle":
            time.sleep(PAUSE_S)
            c.sendall(extra)
        w.surplus += when != "during"
        return True

    return play


def check_surplus(s, path, frame, when, same):
    """Requests one after the other on one connection; their own answers are the
    only bytes on it."""
    [w] = s.add_sound(path)
    w.play, w.surplus = play_twice(path, frame, when, same), 0
    c = connect(s)
    for _ in range(REQUESTS):
        call = Call(s, path, conn=c)
        r = call.result()
        want = filled(parts_of(path, w.name), call.attempt)
        lost = when == "during" and frame in UNFRAMED and r.status == 502
        assert lost or r.status == 200 and r.body == want, str(r)
        assert b"surplus" not in r.raw and not r.data and r.end == "whole", str(r)
        time.sleep(2 * PAUSE_S)
    c.settimeout(PAUSE_S)
    try:
        assert False, "bytes without a request: %r" % c.recv(100)
    except socket.timeout:
        pass
    assert w.surplus, "no surplus answer was sent"


def surplus_each(s, cases):
    failed = []
    for case in cases:
        try:
            check_surplus(s, *case)
        except AssertionError as e:
            failed.append("%s: %s" % (" ".join(map(str, case)), e))
        s.clear()
    assert not failed, "%d of %d cases: %s" % (len(failed), len(cases),
                                               "; ".join(failed))


# Guards against the bytes of a second answer to a request in another answer.
def test_a_second_answer_reaches_no_caller(s):
    cases = list(itertools.product(["/safe/", "/once/", "/chat/"],
                                   ["length", "chunks"],
                                   ["at once", "idle", "during"], [True, False]))
    surplus_each(s, random.Random(SEED).sample(cases, CASES))


# Guards against the same where the second answer ends with its connection.
def test_a_second_answer_without_framing_reaches_no_caller(s):
    surplus_each(s, list(itertools.product(
        ["/safe/", "/once/", "/chat/"], ["close"], ["at once", "during"], [True])))


# == answers to callers that only the end of a connection ends ==

def begin_each(s, path, cases):
    """Requests whose answers are being passed on, one for each case (frame, version
    of the caller). Returns the calls."""
    [w], calls = s.add_sound(path), []
    parts = parts_of(path, w.name, LONG_LINES)

    def play(w, c, h):
        frame = cases[len(w.ran) - 1][0]
        c.sendall(filled(cut_answer(frame, parts, "between"),
                         h["x-loftpath-attempt-id"]))
        s.ended.wait(CALLER_TIMEOUT_S)
        return False

    w.play = play
    for _, version in cases:
        calls.append(Call(s, path, version=version))
        wait_for("the first part", lambda: calls[-1].reply.raw)
    return calls


# Guards against an end in order, which looks complete where an answer has no
# framing, of the connections of an instance that is killed.
def test_a_killed_instance_resets_answers_without_framing(s):
    cases = list(itertools.product(FRAMES, ["1.0"])) + list(
        itertools.product(UNFRAMED, ["1.1"]))
    calls = [c for path in ("/chat/", "/safe/") for c in begin_each(s, path, cases)]
    s.processes[0].kill()
    failed = ["%s %s: %s" % (case + (c.result(),)) for case, c in zip(cases * 2, calls)
              if not c.result().broken]
    assert not failed, "%d of %d cases: %s" % (len(failed), len(calls),
                                               "; ".join(failed))


# Guards against a sound answer without framing whose last bytes are lost by a reset.
def test_a_caller_that_pauses_gets_all_of_an_answer_without_framing(s):
    [w], cases, calls = s.add_sound("/safe/"), PAUSING, []
    parts = parts_of("/safe/", w.name, LONG_LINES)
    size = sum(map(len, parts))
    w.play = lambda w, c, h: play_answer(
        whole_answer(cases[len(w.ran) - 1][0], parts), "fin")(w, c, h)
    for k, (_, version) in enumerate(cases):
        calls.append(Call(s, "/safe/", version=version, pause_at=size - LEFT_BYTES,
                          conn=connect(s, receive_buffer=SMALL_BUFFER)))
        wait_for("the request", lambda: len(w.ran) > k)
    for case, c in zip(cases, calls):
        r = c.result()
        assert r.end in ("fin", "whole") and len(r.body) == size, "%s: %s" % (case, r)


TESTS = {n: f for n, f in globals().items() if n.startswith("test_")}
SMALL = ["test_a_short_answer_is_never_joined_where_memory_is_short"]


def main(names):
    if not names:
        return run_in_groups(list(TESTS), GROUPS)
    small = [n for n in names if n in SMALL]
    other = [n for n in names if n not in SMALL]
    status = run_tests(TESTS, names=other, site=EndSite) if other else 0
    return status | (run_tests(TESTS, names=small, site=SmallSite) if small else 0)


if __name__ == "__main__":
    sys.exit(main(sys.argv[2:]))
