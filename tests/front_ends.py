#!/usr/bin/env python3
"""front_ends.py: answers of targets behind the product's own front that stop before
their end, by a kill of the target's process, an orderly end or a reset.

Guards against this failure: the end of a connection was taken for the end of an
answer that has neither a length nor chunks; the caller got it as a whole one, and so
did each later request with the same key.

An answer of a plain service without these, and not in JSON, that a living target ends
too soon can't be told from a whole one; that case is left out.

Usage: front_ends.py BUILD_DIR [TEST...]"""
import http.client
import json
import os
import signal
import subprocess
import sys
import threading
import time

import process
from process import KEYS, call, wait_for
from proxy import Proxy
from red import known_red

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "fakes"))
from ending_target import (PLAIN, WORDS, frame_answer,  # noqa: E402
                           streamed_chat, whole_chat)

TARGET = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "fakes",
                      "ending_target.py")
FRAMES = ("length", "chunks", "none", "http10")
UNFRAMED = ("none", "http10")
HEAD_STEP = 13  # bytes between two cuts; after a failure the front waits 0.2 s
RESET_EACH = 4  # cuts
PAUSE_S = 3.0    # of a target after its answer
CUTS = ("head", "empty", "half", "last")


class Fleet(process.Fleet):
    """One target serves the chats and the plain services."""

    def spawn(self, name, args, env=None):
        if name == "engine0":
            log = open(os.path.join(self.dir, name + ".log"), "ab")
            self.procs[name] = subprocess.Popen(
                [sys.executable, TARGET, args[1]], stdout=log, stderr=log)
        elif name != "booking":
            super().spawn(name, args, env)

    def table(self, slots, small):
        rows = super().table(slots, small).replace(
            self.at(self.booking), self.at(self.engines[0])).split("\n")
        return "\n".join(rows[:-1] + ["service,read,,,,0,yes,3000,,,,,,,",
                                      "target,r,,,,,,,,read,%s,nord,64,," %
                                      self.at(self.engines[0])]) + "\n"

    def revive(self):
        """Starts the target again if it was killed, and waits until it serves."""
        if self.procs["engine0"].poll() is not None:
            self.spawn("engine0", [None, self.at(self.engines[0])])
        for send in (self.plain, self.read, self.whole):
            wait_for("the target", lambda: send(
                "length whole close json", None)[0] == 200)

    def send(self, path, body, key):
        """Returns the status, 0 without a whole answer, and the body."""
        headers = {"Authorization": "Bearer " + KEYS["c"]}
        if key:
            headers["Idempotency-Key"] = key
        try:
            a = call(self.ports[0], "POST", path, body, headers)
            return a.status, a.body.decode()
        except http.client.IncompleteRead as e:
            return 0, e.partial.decode()

    def plain(self, mode, key):
        return self.send("/services/book/x", mode, key)

    def read(self, mode, key):
        return self.send("/services/read/x", mode, key)

    def completion(self, mode, key, stream):
        return self.send("/v1/chat/completions", json.dumps({
            "model": "oncechat", "stream": stream, "max_tokens": 5,
            "messages": [{"role": "user", "content": mode}]}), key)

    def whole(self, mode, key):
        return self.completion(mode, key, False)

    def stream(self, mode, key):
        return self.completion(mode, key, True)


class ProxiedFleet(Fleet):
    """The target is behind a proxy, which accepts connections whether it runs or not."""

    def table(self, slots, small):
        target = self.at(self.engines[0])
        self.proxy = Proxy(target)
        return super().table(slots, small).replace(target, self.proxy.address)

    def close(self):
        super().close()
        self.proxy.close()


def check_cut(f, send, cases):
    """Sends a request for each case, and again with its key: it must not look whole,
    count as run or be replayed."""
    wrong = []
    for n, case in enumerate(cases):
        f.revive()
        ran, mode = f.metric(f.ports[0], "ran_total"), " ".join(case)
        status, body = send(mode, "key-%d" % n)
        if status == 200:
            wrong.append("%s: passed on as %r" % (mode, body))
        if f.metric(f.ports[0], "ran_total") != ran:
            wrong.append("%s: counted as run" % mode)
        f.revive()
        again = send(mode, "key-%d" % n)
        if again[0] == 200:
            wrong.append("%s: replayed as %r" % (mode, again[1]))
    bad = len({w.split(":")[0] for w in wrong})
    print("  %d cases, %d wrong" % (len(cases), bad), flush=True)
    assert not wrong, wrong[:4]


def cases(types, wheres=CUTS):
    """After a kill the target's absence shows the end of an unframed answer; a living
    one that ends it too soon is caught by the JSON."""
    return ([(frame, where, "kill", t) for frame in UNFRAMED for where in wheres
             for t in types] +
            [(frame, where, "close", "json") for frame in FRAMES for where in wheres] +
            [(frame, "half", "reset", types[-1]) for frame in FRAMES] +
            [("length", "half", "kill", types[-1])])


def test_a_cut_answer_of_a_plain_service_is_not_passed_off_as_whole(f):
    """A short body came as 201 or 200 with a length that fitted it, was billed, and
    was replayed for the same key."""
    check_cut(f, f.plain, cases(("json", "text")))


def test_a_cut_answer_of_a_repeatable_service_is_not_passed_off_as_whole(f):
    """The same, where another target could have been asked."""
    check_cut(f, f.read, cases(("json", "text"), ("empty", "half")))


def test_a_cut_answer_from_behind_a_proxy_is_not_passed_off_as_whole(f):
    """The proxy accepted a connection for the killed target, which was taken for a sign
    that the target goes on."""
    check_cut(f, f.plain, [(frame, where, "kill", "text") for frame in UNFRAMED
                           for where in ("empty", "half", "last")])


def test_a_cut_chat_is_not_passed_off_as_whole(f):
    """The JSON of a completion shows whether it is whole."""
    check_cut(f, f.whole, cases(("json",)))


def test_a_cut_stream_of_a_chat_does_not_end_as_complete(f):
    """The engine's last event shows whether a stream is whole."""
    check_cut(f, f.stream, cases(("json",), ("head", "empty", "half")))


def cut_inside_frames(f, send, kind, body):
    """Cuts answers by a living target in each frame: in the head, and in the first
    and last bytes of a framed body, which hold sizes and trailers. tests/test_cuts.c
    cuts at each byte what the front's client reads."""
    n, wrong = 0, []
    for frame in FRAMES + ("trailers", "interim"):
        text = b"".join(frame_answer(frame, kind, body))
        head, framed = map(len, frame_answer(frame, kind, body))
        places = list(range(0, head, HEAD_STEP))
        if frame not in UNFRAMED:
            places += [head + 1, head + 3] + [head + framed - k for k in (1, 3, 9, 14)]
        for at in places:
            how = ("close", "reset")[n % RESET_EACH == 0]
            status, got = send("%s %d %s text" % (frame, at, how), None)
            n += 1
            whole = b"[DONE]\n" in text[:at]  # only in a stream, which it ends
            if status == 200 and not (whole and got.count("content") == len(WORDS)):
                wrong.append("%s, %d bytes, %s: %r" % (frame, at, how, got))
    print("  %d cases, %d wrong" % (n, len(wrong)), flush=True)
    assert not wrong, wrong[:4]


def test_a_plain_answer_cut_inside_its_frame_does_not_look_whole(f):
    """A cut in a head, an interim one, a size of a chunk or a trailer could get a
    framing of its own."""
    cut_inside_frames(f, f.plain, *PLAIN["text"])


def test_a_chat_cut_inside_its_frame_does_not_look_whole(f):
    """The same."""
    cut_inside_frames(f, f.whole, "application/json", whole_chat())


def test_a_stream_cut_inside_its_head_does_not_look_whole(f):
    """The same; its last event ends a stream, whatever follows."""
    cut_inside_frames(f, f.stream, "text/event-stream", streamed_chat())


def test_a_whole_answer_without_a_frame_is_passed_on(f):
    """Answers that only the end of the connection ends were all refused."""
    for frame in UNFRAMED:
        for send, kinds in ((f.plain, ("json", "text")), (f.read, ("json", "text")),
                            (f.whole, ("json",)), (f.stream, ("json",))):
            for kind in kinds:
                f.revive()
                status, body = send("%s whole close %s" % (frame, kind), None)
                assert status == 200, (frame, kind, status, body)
                if send in (f.plain, f.read):
                    assert body == PLAIN[kind][1], body


# Guards against a whole answer that was refused since its target stood still for some
# seconds after it.
def test_a_whole_answer_of_a_target_that_stands_still_is_passed_on(f):
    wrong = []
    for send in (f.plain, f.read):
        f.revive()
        resume = threading.Timer(PAUSE_S, f.procs["engine0"].send_signal,
                                 [signal.SIGCONT])
        resume.start()
        status, body = send("none whole pause text", None)
        resume.join()
        if (status, body) != (200, PLAIN["text"][1]):
            wrong.append((send.__name__, status, body[:200]))
    assert not wrong, wrong


def test_valid_json_without_a_frame_is_passed_on(f):
    """Numbers above 64 bits, and strings with U+0000, were taken for cut answers."""
    wrong = []
    for kind in ("large", "zero"):
        for frame in ("length",) + UNFRAMED:
            f.revive()
            status, body = f.read("%s whole close %s" % (frame, kind), None)
            if (status, body) != (200, PLAIN[kind][1]):
                wrong.append((frame, kind, status))
    assert not wrong, wrong


def main():
    red, failed = known_red(), 0
    names = sys.argv[2:] or [n for n in globals() if n.startswith("test_")]
    for name in names:
        kind = ProxiedFleet if "behind_a_proxy" in name else Fleet
        fleet, start = kind(engines=1, instances=1), time.monotonic()
        try:
            globals()[name](fleet)
            print("ok      %s %5.1f s" % (name, time.monotonic() - start), flush=True)
        except Exception as e:  # noqa: BLE001 (printed and counted)
            failed += name not in red
            print("%s %s: %s: %s" % ("known red:" if name in red else "FAILED", name,
                                     type(e).__name__, e), flush=True)
        finally:
            fleet.close()
    print("%d passed, %d failed" % (len(names) - failed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
