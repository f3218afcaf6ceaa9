#!/usr/bin/env python3
"""promised_ends.py: ends and refusals that an instance states for its targets: each
needs evidence that the target gave. Real processes.

Usage: promised_ends.py BUILD_DIR [TEST...]"""
import signal
import sys
import threading
import time

from answer_ends import EndSite, whole_stream
from ending import (FRAMES, Call, Reply, connect, cut_answer, frame_head,
                    play_answer, stream_parts)
from fleet import KEY, run_tests
from standins import Worker

PROMISES = (408, 429, 503)  # statuses by which a request has not run
FREEZE_S = (0.3, 0.7, 2.5)
DEADLINE_MS = 800
RESUMES = "Resumes"  # names the attempt that began the stream


def refusal(status, attempt, *fields):
    return ("HTTP/1.1 %d X\r\nX-Loftpath-Attempt-Id: %s\r\nContent-Length: 0\r\n%s\r\n"
            % (status, attempt, "".join(f + "\r\n" for f in fields))).encode()


def play_refusal(status, *fields):
    def play(w, c, h):
        c.sendall(refusal(status, h["x-loftpath-attempt-id"], *fields))
        return True

    return play


def report(failed):
    assert not failed, "%d cases: %s" % (len(failed), "; ".join(failed))


# == streams ==

def continue_at(s, frame, answer, how="fin"):
    """A target is killed after two events; the next one, which lives on, sends
    `answer` and closes."""
    w = s.add_process("/chat/", frame, "between")
    call = Call(s, "/chat/")
    w.wait_stopped(1)
    [other] = s.add_sound("/chat/")
    other.play = play_answer(answer, how)
    w.kill()
    r = call.result()
    assert other.ran == [call.attempt], "it did not go on elsewhere: %s" % r
    return r


# Guards against a stream that ends as complete after the events of its first target,
# because the second one closed an answer without framing before its first event.
def test_a_stream_closed_before_its_next_event_is_broken(s):
    failed = []
    for frame in FRAMES[1:]:
        for second in ("close", "http10"):
            r = continue_at(s, frame, [frame_head(second, [])])
            if not (r.broken or r.body == whole_stream()):
                failed.append("%s, %s: %s" % (frame, second, r))
            s.clear()
    report(failed)


# Guards against the same in an answer in chunks whose last chunk is missing.
def test_a_stream_cut_before_its_next_event_is_broken(s):
    r = continue_at(s, "chunks", [frame_head("chunks", [])])
    assert r.broken, str(r)


# Guards against a stream that ends as complete before its first event, because a
# comment counts as one.
def test_a_stream_closed_after_a_comment_is_broken(s):
    failed = []
    for path in ("/chat/", "/firm/"):
        for w in s.add_sound(path, 2):
            w.play = play_answer([frame_head("close", []), b": wait\n\n"], "fin")
        r = Call(s, path).result()
        if r.end == "whole" and r.status == 200:
            failed.append("%s: %s" % (path, r))
        s.clear()
    report(failed)


# Guards against a stream that its time-out cuts and that ends as complete.
def test_a_stream_cut_by_its_deadline_is_broken(s):
    failed, ended = [], threading.Event()
    cases = [(f, v) for f in FRAMES for v in ("1.0", "1.1")]
    [w] = s.add_sound("/firm/")
    for frame, version in cases:
        def play(w, c, h, frame=frame):
            text = b"".join(cut_answer(frame, stream_parts(), "between"))
            c.sendall(text.replace(b"ATTEMPT", h["x-loftpath-attempt-id"].encode()))
            ended.wait(2)
            return False
        w.play = play
        r = Call(s, "/firm/", version=version, deadline_ms=DEADLINE_MS).result()
        if not r.broken:
            failed.append("%s %s: %s" % (frame, version, r))
    ended.set()
    report(failed)


# Guards against a stream that ends as complete since its target stops at the deadline
# that it was given, by closing the connection of an answer without framing.
def test_a_stream_that_its_target_stops_at_the_deadline_is_broken(s):
    failed = []
    for early_s in (0.0, 0.01, 0.03):
        [w] = s.add_sound("/firm/")

        def play(w, c, h, early_s=early_s):
            at = time.monotonic() + int(h["x-loftpath-deadline-ms"]) / 1000 - early_s
            text = b"".join(cut_answer("close", stream_parts(), "between"))
            c.sendall(text.replace(b"ATTEMPT", h["x-loftpath-attempt-id"].encode()))
            time.sleep(at - time.monotonic())
            return False

        w.play = play
        r = Call(s, "/firm/", deadline_ms=DEADLINE_MS).result()
        if not r.broken:
            failed.append("%.2f s before: %s" % (early_s, r))
        s.clear()
    report(failed)


# Guards against a stream that ends as complete when its target stops, closes its
# connections first and its listening socket later.
def test_a_stream_of_a_target_that_closes_its_listener_last_is_broken(s):
    failed = []
    for late_s in (0.0, 0.1, 0.3):
        [w] = s.add_sound("/firm/")

        def play(w, c, h, late_s=late_s):
            text = b"".join(cut_answer("close", stream_parts(), "between"))
            c.sendall(text.replace(b"ATTEMPT", h["x-loftpath-attempt-id"].encode()))
            threading.Timer(late_s, w.close).start()
            return False

        w.play = play
        r = Call(s, "/firm/").result()
        if not r.broken:
            failed.append("%.1f s later: %s" % (late_s, r))
        s.clear()
    report(failed)


# Guards against a stream that a caller takes up after two events and that ends as
# complete, because its target closed an answer without framing before the next one.
def test_a_stream_taken_up_and_closed_before_its_next_event_is_broken(s):
    [w] = s.add_sound("/chat/")
    w.play = play_answer(cut_answer("chunks", stream_parts(), "between"), "rst", 0.05)
    begun = Call(s, "/chat/")
    assert begun.result().broken, str(begun.reply)
    w.play = play_answer([frame_head("close", [])], "fin")
    s.next_id += 1
    c = connect(s)
    c.sendall(("POST /chat/x HTTP/1.1\r\nHost: front\r\nAuthorization: %s\r\n"
               "X-Loftpath-Attempt-Id: a%06d\r\nX-Loftpath-Deadline-Ms: 3000\r\n"
               "X-Loftpath-Token-Count: 10,10\r\nLast-Event-Id: 2\r\n"
               "%s: %s\r\nContent-Length: 0\r\n\r\n"
               % (KEY["Authorization"], s.next_id, RESUMES, begun.attempt)).encode())
    r = Reply(c)
    r.read()
    assert len(w.ran) == 2, "it was not run: %s" % r
    assert r.broken or r.status >= 500, str(r)


# Guards against a stream that ends as complete when its target was killed and
# replaced at its address while the instance did not run.
def test_a_target_replaced_while_the_instance_is_frozen_is_not_taken_for_the_old(s):
    failed = []
    for frozen_s in FREEZE_S:
        w = s.add_process("/firm/", "close", "between")
        address = s.store.kinds["servers"][w.name]["spec"]["addr"].split(":")
        call = Call(s, "/firm/")
        w.wait_stopped(1)
        s.processes[0].send_signal(signal.SIGSTOP)
        try:
            s.killed.remove(w)
            w.close()
            name = s.new_name()
            new = Worker((address[0], int(address[1])), s.store, name, "engine")
            s.engines.append(new)
            time.sleep(frozen_s)
        finally:
            s.processes[0].send_signal(signal.SIGCONT)
        r = call.result()
        if not r.broken:
            failed.append("%.1f s: %s" % (frozen_s, r))
        s.clear()
        time.sleep(1)
    report(failed)


# == requests that may have run ==

# Guards against a status of a target that is replaced by another, or sent again, where
# the target does not state that it refused the request.
def test_a_status_without_a_refusal_is_passed_on(s):
    failed = []
    for path in ("/once/", "/firm/"):
        for status in PROMISES:
            [w] = s.add_sound(path)
            w.play = play_refusal(status, "X-Loftpath-Server-Stamp: stamp")
            call = Call(s, path)
            r = call.result()
            if (r.status, w.ran) != (status, [call.attempt]) or (
                    r.fields.get("x-loftpath-server-stamp") != "stamp"):
                failed.append("%s %d: %s" % (path, status, r))
            s.clear()
    report(failed)


def first_then_refused(s, path, first):
    """One target answers with `first`, the next one refuses."""
    order, lock = [], threading.Lock()

    def play(w, c, h):
        with lock:
            order.append(w.name)
            n = len(order)
        if n == 1:
            return first(w, c, h)
        return play_refusal(503, "X-Loftpath-Not-Executed: 1")(w, c, h)

    for w in s.add_sound(path, 2):
        w.play = play
    r = Call(s, path).result()
    assert len(order) == 2, "%d targets were asked: %s" % (len(order), r)
    return r


# Guards against a refusal by which a request has not run although one of its targets
# may have run it.
def test_a_request_that_broke_and_was_then_refused_is_not_refused(s):
    failed = []
    for path in ("/safe/", "/chat/"):
        r = first_then_refused(s, path, lambda w, c, h: False)
        if r.status in PROMISES:
            failed.append("%s: %s" % (path, r))
        s.clear()
    report(failed)


# Guards against the same where the first target answered with an error.
def test_a_request_that_failed_and_was_then_refused_is_not_refused(s):
    r = first_then_refused(s, "/safe/",
                           play_refusal(500, "X-Loftpath-Server-Stamp: stamp"))
    assert r.status not in PROMISES, str(r)


TESTS = {n: f for n, f in globals().items() if n.startswith("test_")}

if __name__ == "__main__":
    sys.exit(run_tests(TESTS, site=EndSite))
