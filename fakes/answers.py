#!/usr/bin/env python3
"""answers.py ADDR ID VERSION LOG: stand-in of a worker as a process of its own, whose
answers differ in framing, size and pace. Some break off, come twice, pause, or stop
inside the head. What an answer holds and how it ends follows from the worker's id and
the request's alone, so that a test can tell each answer that it should have got.

It appends a line of JSON to LOG for each request that it runs and each answer that is
written whole.

The last part of a path is the name of its request; the first letter tells its class:
`c` (calm) gets short answers without faults, `b` long ones, any other short ones."""
import json
import os
import random
import socket
import struct
import sys
import threading
import time

LINE = 64                        # bytes of a line of a plain answer
LONG_LINES = (4700, 11000)       # 300 to 700 KB
SHORT_LINES = (0, 90)
LONG_S, SHORT_S = (0.5, 1.9), (0.0, 0.2)
EVENTS, PAUSE_S = (3, 40), (0.005, 0.04)
PIECES = 40                      # of a plain answer, at most
STUTTER_S, STUTTERS = (0.2, 0.6), 3
AGAIN_S = (0.05, 0.4)            # until an answer comes for the second time
SILENT_S = 1.0                   # a head that is not continued
FRAMES = ("length", "chunks", "neither", "old")  # neither, old: the end of the
CLOSED = ("neither", "old")                      # connection ends the body
FAULTS = {"none": 76, "break": 8, "head": 4, "twice": 5, "stutter": 7}
NOT_RUN, CLOSES = 0.03, 0.05     # shares of refusals, and of closed connections


def plain_body(worker, attempt, lines):
    return "".join(("%s %s line %d " % (worker, attempt, i)).ljust(LINE - 1, ".") + "\n"
                   for i in range(lines)).encode()


def event_count(name):
    """Events of the whole stream, which is the same at each worker."""
    return random.Random(name).randint(*EVENTS)


def stream_event(author, name, k):
    return "id: %d\ndata: %s %s token %d\n\n" % (k, author, name, k)


def name_of(path):
    return path.rsplit("/", 1)[1]


class Plan:
    """The answer of `worker`, which has software `version`, to an attempt at a path.
    `first`: the first event. `pieces` are written one after the other; `duration_s`
    is the time that this takes."""

    def __init__(self, worker, version, attempt, path, first=1):
        dice = random.Random("%s %s" % (worker, attempt))
        name = name_of(path)
        calm = name.startswith("c")
        self.attempt, self.worker = attempt, worker
        self.not_run = dice.random() < NOT_RUN and not calm
        self.frame = dice.choice(FRAMES)
        self.fault = "none" if calm else dice.choices(
            list(FAULTS), list(FAULTS.values()))[0]
        if self.fault in ("break", "twice") and self.frame in CLOSED:
            self.fault = "none"  # such an answer ends where its connection ends
        self.stream = path.startswith(("/chat/", "/talk/"))
        if self.stream:
            author, of = (version, name) if path.startswith("/chat/") else (
                worker, attempt)
            self.pieces = [stream_event(author, of, k).encode()
                           for k in range(first, event_count(name) + 1)]
            self.pauses = [dice.uniform(*PAUSE_S)] * len(self.pieces)
        else:
            long = name.startswith("b")
            lines = dice.randint(*(LONG_LINES if long else SHORT_LINES))
            body = plain_body(worker, attempt, lines)
            step = max(LINE // 3, len(body) // PIECES + 1)
            self.pieces = [body[k:k + step] for k in range(0, len(body), step)]
            seconds = dice.uniform(*(LONG_S if long else SHORT_S))
            self.pauses = [seconds / max(1, len(self.pieces))] * len(self.pieces)
        self.first_s = dice.uniform(0.0, 0.1)
        if self.fault == "stutter":
            for _ in range(min(STUTTERS, len(self.pauses))):
                self.pauses[dice.randrange(len(self.pauses))] = dice.uniform(*STUTTER_S)
        self.cut = dice.random()  # where a break is, as a share of the bytes
        self.way = dice.choice(["fin", "reset", "silent"])
        self.again_s = dice.uniform(*AGAIN_S)
        self.closes = self.frame in CLOSED or dice.random() < CLOSES
        self.says_close = self.closes and (self.frame not in CLOSED or
                                           dice.random() < 0.5)

    @property
    def body(self):
        return b"".join(self.pieces)

    @property
    def duration_s(self):
        return self.first_s + sum(self.pauses)

    @property
    def sound(self):
        return self.fault in ("none", "stutter")

    def head(self):
        lines = ["HTTP/1.%d 200 OK" % (self.frame != "old"),
                 "X-Loftpath-Attempt-Id: " + self.attempt,
                 "X-Loftpath-Server-Stamp: " + self.worker]
        if self.stream:
            lines.append("Content-Type: text/event-stream")
        if self.frame == "length":
            lines.append("Content-Length: %d" % sum(map(len, self.pieces)))
        if self.frame == "chunks":
            lines.append("Transfer-Encoding: chunked")
        if self.says_close:
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def packed(self):
        """The pieces as they are framed."""
        if self.frame != "chunks":
            return self.pieces
        return [b"%x\r\n%s\r\n" % (len(p), p) for p in self.pieces if p]


class Connection:
    """Serves one request after the other."""

    def __init__(self, worker, c):
        self.worker, self.c = worker, c
        c.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def serve(self):
        f = self.c.makefile("rb")
        try:
            while self._answer(*self._read(f)):
                pass
        except (OSError, ValueError):
            pass
        finally:
            f.close()
            self.c.close()

    @staticmethod
    def _read(f):
        _, path, _ = f.readline().decode().split(" ", 2)
        headers = {}
        while line := f.readline().decode().strip():
            k, v = line.split(":", 1)
            headers[k.lower()] = v.strip()
        f.read(int(headers.get("content-length", 0)))
        return path, headers

    def _answer(self, path, headers):
        w, attempt = self.worker, headers.get("x-loftpath-attempt-id", "")
        first = int(headers.get("last-event-id", "0")) + 1
        if headers.get("x-loftpath-expect-instance") != w.id:
            return self._refuse(421, attempt)
        if not attempt:
            return self._refuse(400, attempt)
        plan = Plan(w.id, w.version, attempt, path, first)
        if plan.not_run:
            return self._refuse(503, attempt)
        w.note(event="runs", attempt=attempt, path=path, first=first)
        done = self._play(plan)
        w.note(event="wrote" if done else "stopped", attempt=attempt)
        return done and not plan.closes

    def _refuse(self, status, attempt):
        self.c.sendall(("HTTP/1.1 %d X\r\nContent-Length: 0\r\nX-Loftpath-Not-Executed:"
                        " 1\r\nX-Loftpath-Attempt-Id: %s\r\n\r\n" % (
                            status, attempt)).encode())
        return True

    def _play(self, plan):
        """Returns whether the answer was written whole."""
        time.sleep(plan.first_s)
        if plan.fault == "head":
            self.c.sendall(plan.head()[:int(plan.cut * (len(plan.head()) - 4)) + 1])
            return self._break_off(plan.way)
        self.c.sendall(plan.head())
        packed = plan.packed()
        left = (int(plan.cut * sum(map(len, packed))) if plan.fault == "break"
                else sys.maxsize)
        for piece, pause in zip(packed, plan.pauses):
            if left <= len(piece):
                self.c.sendall(piece[:left])
                return self._break_off(plan.way)
            self.c.sendall(piece)
            left -= len(piece)
            time.sleep(pause)
        if plan.fault == "break":
            return self._break_off(plan.way)
        if plan.frame == "chunks":
            self.c.sendall(b"0\r\n\r\n")
        if plan.fault == "twice":
            time.sleep(plan.again_s)
            self.c.sendall(plan.head() + b"".join(packed) + (
                b"0\r\n\r\n" if plan.frame == "chunks" else b""))
        return True

    def _break_off(self, way):
        if way == "silent":
            time.sleep(SILENT_S)
        if way == "reset":
            self.c.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                              struct.pack("ii", 1, 0))
        return False


class Worker:
    def __init__(self, id, version, log):
        self.id, self.version = id, version
        self.log = os.open(log, os.O_WRONLY | os.O_APPEND | os.O_CREAT)

    def note(self, **fields):
        """The line is written at once, as the process may be killed at any time."""
        line = json.dumps(dict(fields, at=time.monotonic())) + "\n"
        os.write(self.log, line.encode())


def end_with_parent():
    """Ends this process when its standard input ends."""
    sys.stdin.read()
    os._exit(0)


def main():
    threading.Thread(target=end_with_parent, daemon=True).start()
    address, id, version, log = sys.argv[1:]
    host, port = address.split(":")
    worker = Worker(id, version, log)
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(128)
    while True:
        c, _ = listener.accept()
        threading.Thread(target=Connection(worker, c).serve, daemon=True).start()


if __name__ == "__main__":
    main()
