"""answer_callers.py: callers that read answers byte by byte as they come, and judge
each one that looks whole by what its worker (fakes/answers.py) should have sent."""
import os
import random
import re
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "fakes"))
from answers import Plan, event_count, stream_event  # noqa: E402

KINDS = {"safe": 40, "once": 20, "chat": 25, "talk": 15}  # in parts of all requests
UNSAFE = ("once", "talk")
PROMISES = (408, 421, 429, 503)  # the request has not run and never will
DEADLINE_MS = 8000
GIVE_UP_S = 12.0       # without an answer
SLOW_BYTES = 4096      # that a slow caller reads at once, and then
SLOW_PAUSE_S = 0.05    # pauses: 80 KB/s
SLOW_BUFFER = 16384    # of a slow caller's socket
LONG, SLOW_LONG = 0.15, 0.5  # share of long plain answers, of all and of slow callers
LEAVES, LEAVES_S = 0.1, (0.01, 1.0)
GAP_S = (0.02, 0.25)   # between two requests of one caller
REST_S = 3.0           # a connection that rested longer is not used again
MAX_TAKEN_UP = 3
STOP_S = 2.5           # until the callers have left after a run


class Left(Exception):
    """The caller has left."""


class Ended(Exception):
    """The connection ended: in order, or with a reset."""

    def __init__(self, reset):
        super().__init__()
        self.reset = reset


class Connection:
    """One connection to an instance."""

    def __init__(self, address, slow=False):
        self.slow, self.data, self.used_at = slow, b"", time.monotonic()
        self.leave_at = float("inf")
        self.socket = socket.socket()
        if slow:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER)
        self.socket.settimeout(2)
        self.socket.connect(address)

    def is_usable(self):
        """Whether nothing came on a connection that rests. Bytes that belong to no
        answer raise."""
        if time.monotonic() > self.used_at + REST_S:
            return False
        self.socket.setblocking(False)
        try:
            self.data += self.socket.recv(4096)
        except BlockingIOError:
            return self.check_rest()
        except OSError:
            pass
        self.check_rest()
        return False

    def check_rest(self):
        if self.data:
            raise AssertionError("%r without a request" % self.data[:80])
        return True

    def more(self):
        if self.slow:
            time.sleep(SLOW_PAUSE_S)
        left_s = self.leave_at - time.monotonic()
        if left_s <= 0:
            raise Left
        self.socket.settimeout(min(left_s, GIVE_UP_S))
        try:
            data = self.socket.recv(SLOW_BYTES if self.slow else 65536)
        except socket.timeout:
            if time.monotonic() >= self.leave_at:
                raise Left from None
            raise
        except OSError:
            raise Ended(True) from None
        if not data:
            raise Ended(False)
        self.data += data

    def line(self):
        while b"\r\n" not in self.data:
            self.more()
        line, self.data = self.data.split(b"\r\n", 1)
        return line

    def close(self):
        self.socket.close()


class Answer:
    """What came of one attempt. `how`: what told its end: `length`, `chunks`, `fin`
    (an orderly end of the connection, neither length nor chunks), or why it is not
    whole: `broken` (inside the answer), `nothing` (before its head was complete),
    `left`, `late`."""

    def __init__(self, attempt, path, instance):
        self.attempt, self.path, self.i = attempt, path, instance
        self.kind = path.split("/")[1]
        self.status, self.headers, self.how = 0, {}, "nothing"
        self.sent_at, self.ended_at, self.body = time.monotonic(), 0.0, bytearray()
        self.first, self.slow, self.old, self.fault = 1, False, False, None
        self.size = 0

    @property
    def whole(self):
        return self.how in ("length", "chunks", "fin")

    @property
    def author(self):
        return self.headers.get("x-loftpath-server-stamp", "")

    def read(self, c):
        try:
            self._read_head(c)
            self._read_body(c)
        except Left:
            self.how = "left"
        except Ended:
            self.how = "broken" if self.headers else "nothing"
        except socket.timeout:
            self.how = "late"
        self.ended_at = c.used_at = time.monotonic()

    def _read_head(self, c):
        line = c.line()
        found = re.match(rb"HTTP/1\.[01] (\d{3}) ", line)
        assert found, "%r is no answer" % line[:80]
        headers = {}
        while line := c.line().decode():
            k, v = line.split(":", 1)
            headers[k.lower()] = v.strip()
        self.status, self.headers = int(found[1]), headers

    def _read_body(self, c):
        if "chunked" in self.headers.get("transfer-encoding", ""):
            self._read_chunks(c)
        elif "content-length" in self.headers:
            self._take(c, int(self.headers["content-length"]))
            self.how = "length"
        else:
            self._read_all(c)

    def _take(self, c, n):
        end = len(self.body) + n
        while True:
            part = c.data[:end - len(self.body)]
            self.body += part
            c.data = c.data[len(part):]
            if len(self.body) == end:
                return
            c.more()

    def _read_chunks(self, c):
        while True:
            n = int(c.line(), 16)
            if n == 0:
                assert c.line() == b"", "no trailers are expected"
                self.how = "chunks"
                return
            self._take(c, n)
            assert c.line() == b"", "a chunk has no end"

    def _read_all(self, c):
        try:
            while True:
                self.body += c.data
                c.data = b""
                c.more()
        except Ended as e:
            if e.reset:
                raise
            self.how = "fin"


# == what is right ==


def version_of(worker):
    """The software version is the last part of a worker's id."""
    return worker.rsplit("-", 1)[1]


def runs_of(body):
    """The runs whose lines a plain body holds: (worker, first line, last line)."""
    runs = []
    text = body.decode(errors="replace")
    for worker, line in re.findall(r"(\S+) \S+ line (\d+) ", text):
        n = int(line)
        if runs and runs[-1][0] == worker and n == runs[-1][2] + 1:
            runs[-1][2] = n
        else:
            runs.append([worker, n, n])
    return runs


def judge(a):
    """What is wrong with an answer; None: nothing. An answer that broke off may hold
    less, but nothing else."""
    if a.status != 200:
        return None
    given = a.headers.get("x-loftpath-attempt-id")
    if given not in (None, a.attempt):
        return "answer of %s" % given
    if not a.author:
        return "success without a stamp"
    plan = Plan(a.author, version_of(a.author), a.attempt, a.path, a.first)
    body, due = bytes(a.body), plan.body
    if body == due or (not a.whole and due.startswith(body)):
        return None
    if due.startswith(body):
        return "short: %d of %d bytes" % (len(body), len(due))
    if plan.stream:
        return "other events: %r" % body[-160:]
    runs = runs_of(body)
    if not a.whole and len(runs) > 1:
        return None  # visibly broken off
    return "%s: %d bytes instead of %d, of %s" % (
        "spliced" if len(runs) > 1 else "other", len(body), len(due), runs[:4])


def events_of(body):
    """The whole events of a stream: (id, text)."""
    return [(int(k), t) for k, t in re.findall(
        r"id: (\d+)\ndata: (.*)\n\n", body.decode(errors="replace"))]


# == callers ==


class Caller(threading.Thread):
    """Sends requests to one instance, over one connection, until that ends; then goes
    to another. Streams that break are taken up at another instance."""

    def __init__(self, s, seed, k, made):
        super().__init__(daemon=True)
        self.s, self.k, self.made, self.n = s, k, made, 0
        self.dice = random.Random("%d caller %d" % (seed, k))
        self.old = self.dice.random() < 0.1   # speaks HTTP/1.0
        self.slow = self.dice.random() < 0.2
        self.i = self.dice.randrange(len(s.processes))
        self.conn, self.stopping = None, False
        self.wrong = []  # what no answer accounts for
        self.start()

    def run(self):
        while not self.stopping:
            kind = self.dice.choices(list(KINDS), list(KINDS.values()))[0]
            long = self.dice.random() < (SLOW_LONG if self.slow else LONG)
            leave_s = (self.dice.uniform(*LEAVES_S) if self.dice.random() < LEAVES
                       else float("inf"))
            self.n += 1
            name = "%s%d.%d" % ("b" if long else "s", self.k, self.n)
            self.request(kind, name, leave_s)
            time.sleep(self.dice.uniform(*GAP_S))
        self.drop()

    def stop(self):
        """Ends after the request that is under way, or leaves it."""
        self.stopping = True
        conn = self.conn
        if conn:
            conn.leave_at = min(conn.leave_at, time.monotonic() + STOP_S)

    def drop(self):
        if self.conn:
            self.conn.close()
        self.conn = None

    def move(self):
        self.drop()
        self.i = self.dice.randrange(len(self.s.processes))

    def request(self, kind, name, leave_s):
        """Sends one request and what may follow from its outcome."""
        path = "/%s/%s" % (kind, name)
        a = self.attempt(path, name + ".1", leave_s)
        if kind != "chat" or not a or a.how != "broken" or a.fault:
            if a and kind == "safe" and a.how in ("broken", "nothing"):
                self.attempt(path, name + ".2")
            return
        self.take_up(a, path, name)

    def take_up(self, a, path, name):
        events, author = events_of(a.body), version_of(a.author)
        for k in range(2, 2 + MAX_TAKEN_UP):
            if self.stopping or not events or len(events) == event_count(name):
                return
            time.sleep(self.dice.uniform(*GAP_S))
            b = self.attempt(path, "%s.%d" % (name, k), first=events[-1][0] + 1,
                             resumes=a.attempt)
            if not b or b.status != 200:
                continue
            events += events_of(b.body)
            due = [(n, stream_event(author, name, n).split("data: ")[1].strip())
                   for n in range(1, event_count(name) + 1)]
            if events != due[:len(events)] or (b.whole and events != due):
                b.fault = b.fault or "taken up: %s" % events[-3:]
            if b.how != "broken" or b.fault:
                return

    def attempt(self, path, attempt, leave_s=float("inf"), first=1, resumes=None):
        """Returns its answer, or None if no connection came up."""
        try:
            if self.conn is None or not self.conn.is_usable():
                self.drop()
                self.conn = Connection(self.s.front(self.i), self.slow)
        except AssertionError as e:
            self.wrong.append("at n%d: %s" % (self.i, e))
            self.move()
            return None
        except OSError:
            self.move()
            return None
        a = Answer(attempt, path, self.i)
        a.slow, a.old, a.first = self.slow, self.old, first
        self.made.append(a)
        self.conn.leave_at = a.sent_at + leave_s
        self.exchange(a, resumes)
        a.fault = a.fault or judge(a)
        a.size = len(a.body)
        if a.kind != "chat":
            a.body = b""
        if not a.whole or self.old or a.headers.get("connection") == "close":
            self.move() if a.how in ("broken", "nothing") else self.drop()
        return a

    def exchange(self, a, resumes):
        try:
            self.conn.socket.settimeout(2)
            self.conn.socket.sendall(self.head(a, resumes))
            a.read(self.conn)
        except OSError:
            a.ended_at = time.monotonic()
        except (AssertionError, ValueError) as e:
            a.fault, a.how, a.ended_at = "no answer: %s" % e, "broken", time.monotonic()

    def head(self, a, resumes):
        lines = ["%s %s HTTP/1.%d" % ("GET" if a.kind == "safe" else "POST", a.path,
                                      not self.old),
                 "Host: front", "Authorization: Bearer key-acme",
                 "X-Loftpath-Attempt-Id: " + a.attempt,
                 "X-Loftpath-Deadline-Ms: %d" % DEADLINE_MS]
        body = b"" if a.kind == "safe" else a.path.encode()
        if body:
            lines.append("Content-Length: %d" % len(body))
        if a.kind in ("chat", "talk"):
            lines.append("X-Loftpath-Token-Count: 20,60")
        if a.first > 1:
            lines += ["Last-Event-Id: %d" % (a.first - 1), "Resumes: " + resumes]
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
