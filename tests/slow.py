#!/usr/bin/env python3
"""slow.py: callers that read slowly or not at all, with a target whose answers
exceed the buffers of a connection; real processes.

Usage: slow.py BUILD_DIR [TEST...]"""
import http.client
import socket
import sys
import threading
import time

from fleet import BASE, Site, config, head, run_tests, wait_for

SLOW = 500             # number of slow callers
SLOW_BYTES_S = 1024    # that each of them reads
ANSWER = 6 << 20       # bytes per answer; more than socket buffers hold
UNREAD_S = 5.0         # after this a target aborts an answer that is not read
Site.memory_mb = 128
Site.stop_s = 8
OWN_SHARE = 0.75        # max share in use; received, unread data counts too
PIECE = bytes(16384)
STEP = 8192             # bytes that a steady reader takes at a time
SEGMENT = 1448          # as on Ethernet; loopback has 65,483


class Answers:
    """Plays a target that answers with ANSWER bytes, and counts the answers that it
    aborted because they were not read."""

    def __init__(self):
        self.suffered = 0

    def play(self, w, c, h):
        if h["x-loftpath-attempt-id"].startswith("good"):
            return None
        c.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16384)
        c.settimeout(UNREAD_S)
        c.sendall(head(h["x-loftpath-attempt-id"], "Content-Length: %d" % ANSWER))
        try:
            for _ in range(ANSWER // len(PIECE)):
                c.sendall(PIECE)
        except socket.timeout:
            self.suffered += 1
            return False
        except OSError:
            return False
        return True


def extend_route_timeout(s):
    """Sets a route timeout longer than UNREAD_S."""
    c = config(2)
    c["routes"][1]["timeout_ms"] = 30000
    s.store.put("config", "main", c)
    wait_for("version 2", lambda: any(
        l["event"] == "configuration" and l["version"] == 2 for l in s.log(0)))


def send_request(s, name):
    c = socket.socket()
    c.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    c.connect((s.ip(0), BASE))
    c.sendall(b"GET /once/x HTTP/1.1\r\nHost: front\r\nAuthorization: Bearer "
              b"key-acme\r\nX-Loftpath-Deadline-Ms: 30000\r\n"
              b"X-Loftpath-Attempt-Id: " + name.encode() + b"\r\n\r\n")
    return c


def read_slowly(callers, end):
    while time.monotonic() < end:
        time.sleep(1)
        for c in callers:
            try:
                c.recv(SLOW_BYTES_S, socket.MSG_DONTWAIT)
            except OSError:
                pass


def peak_mb(s):
    with open("/proc/%d/status" % s.processes[0].pid) as f:
        return [int(l.split()[1]) for l in f if l.startswith("VmHWM")][0] / 1024


def metric(s, name, i=0):
    c = http.client.HTTPConnection(s.ip(i), BASE + 1, timeout=2)
    c.request("GET", "/metrics")
    return [int(l.split()[1]) for l in c.getresponse().read().decode().splitlines()
            if l.startswith("loftpath_%s " % name)][0]


def test_slow_callers_cost_neither_memory_nor_targets_nor_the_others(s):
    answers = Answers()
    extend_route_timeout(s)
    for w in s.desks:
        w.play = answers.play
    callers = [send_request(s, "slow%d" % i) for i in range(SLOW)]
    dead = send_request(s, "dead")
    end = time.monotonic() + UNREAD_S + 3
    reader = threading.Thread(target=read_slowly, args=(callers, end))
    reader.start()
    slowest = 0.0
    while time.monotonic() < end - 1:
        began = time.monotonic()
        a = s.call("/once/x", "POST", b"b", X_Loftpath_Attempt_Id="good%g" % began)
        assert a.status == 200, a.status
        slowest = max(slowest, time.monotonic() - began)
        time.sleep(0.05)
    reader.join()
    assert peak_mb(s) < OWN_SHARE * Site.memory_mb, "%.0f MB" % peak_mb(s)
    assert slowest < 1.0, "a harmless caller waited %.2f s" % slowest
    assert answers.suffered == 0, "%d targets aborted an unread answer" % answers.suffered
    assert metric(s, "caller_slow_total") >= SLOW / 2
    for c in callers + [dead]:
        c.close()


def test_a_caller_that_pauses_and_goes_on_gets_all(s):
    """A pause shorter than the target's timeout has no effect."""
    s.desks[0].play = s.desks[1].play = Answers().play
    extend_route_timeout(s)
    c = send_request(s, "pauses")
    got = 0
    for second in range(1, 5):
        while got < second << 16:
            got += len(c.recv(65536))
        time.sleep(1.0)
    while True:
        data = c.recv(1 << 20)
        got += len(data)
        if not data or got >= ANSWER + 100:
            break
    assert got >= ANSWER, got
    assert metric(s, "caller_slow_total") == 0
    c.close()


def test_what_is_left_of_a_last_answer_is_delivered_late(s):
    """The instance is stopping, so it closes the connection after the answer."""
    s.desks[0].play = s.desks[1].play = lambda w, c, h: (
        c.sendall(head(h["x-loftpath-attempt-id"], "Content-Length: 400000")
                  + bytes(400000)) or True)
    c = send_request(s, "late")
    wait_for("the answer", lambda: any(
        l["event"] == "request" for l in s.log(0)))
    got = 0
    for _ in range(3):
        got += len(c.recv(2000))
        time.sleep(1.5)
    c.settimeout(5)
    while got < 400000:
        data = c.recv(65536)
        assert data, "cut off after %d bytes" % got
        got += len(data)
    c.close()


class SteadyReader(threading.Thread):
    """Requests an answer, which the target sends at once, and reads it steadily in
    `seconds`. `received`: bytes of its body."""

    def __init__(self, s, name, size, seconds, keep):
        super().__init__()
        self.pause_s, self.received = seconds * STEP / size, 0
        c = socket.socket()
        c.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        c.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
        c.connect((s.ip(0), BASE))
        s.call("/once/x", conn=self.wrap(s, c))
        c.sendall((
            "GET /safe/x HTTP/1.1\r\nHost: front\r\nAuthorization: Bearer key-acme\r\n"
            "X-Loftpath-Deadline-Ms: 15000\r\nConnection: %s\r\n"
            "X-Loftpath-Attempt-Id: %s\r\n\r\n" % (
                "keep-alive" if keep else "close", name)).encode())
        self.answer = http.client.HTTPResponse(c)
        self.start()

    @staticmethod
    def wrap(s, c):
        conn = s.connect()
        conn.sock = c
        return conn

    def run(self):
        try:
            self.answer.begin()
            while data := self.answer.read(STEP):
                self.received += len(data)
                time.sleep(self.pause_s * len(data) / STEP)
        except (ConnectionError, http.client.HTTPException):
            pass


def read_steadily(s, size, seconds):
    """Starts readers on connections that are kept and that are not, and waits until
    their target has sent the whole answers."""
    def play(w, c, h):
        if not h["x-loftpath-attempt-id"].startswith("steady"):
            return None
        c.sendall(head(h["x-loftpath-attempt-id"], "Content-Length: %d" % size)
                  + bytes(size))
        return True

    c = config(2)
    c["routes"][0]["timeout_ms"] = 12000
    s.store.put("config", "main", c)
    for w in s.desks:
        w.play = play
    wait_for("version 2", lambda: any(
        l["event"] == "configuration" and l["version"] == 2 for l in s.log(0)))
    readers = [SteadyReader(s, "steady%d" % k, size, seconds, k % 2 == 0)
               for k in range(4)]
    wait_for("whole answers of the target", lambda: sum(
        l["event"] == "request" and l["request"].startswith("steady")
        for l in s.log(0)) == len(readers))
    return readers


def check_all_received(readers, size):
    for r in readers:
        r.join()
    assert all(r.received == size for r in readers), [r.received for r in readers]


# Guards against a reset of callers that read a finished answer slowly but steadily.
def test_a_steady_reader_gets_all_of_a_finished_answer(s):
    check_all_received(read_steadily(s, 250 << 10, 14.0), 250 << 10)


# Guards against a planned stop that cuts finished answers which callers still read.
def test_a_planned_stop_delivers_what_callers_still_read(s):
    readers = read_steadily(s, 900 << 10, 5.5)
    s.processes[0].terminate()
    check_all_received(readers, 900 << 10)
    assert s.processes[0].wait(5) == 0


if __name__ == "__main__":
    sys.exit(run_tests(globals()))
