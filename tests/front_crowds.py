#!/usr/bin/env python3
"""front_crowds.py: crowds of clients that don't behave, at the product's own front,
with little memory and few connections; real processes. See crowds.py.

Usage: front_crowds.py BUILD_DIR [TEST...]"""
import json
import os
import resource
import sys
import threading

import crowd as crowds
import process
from crowd import Crowd, Meter
from process import KEYS, call
from red import bound_sanitizer

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "fakes"))
from standins import Server  # noqa: E402

MEMORY_MB = 64         # setting of the instance, and bound of what it takes
BODY_BYTES = 4 << 20   # its setting max-body
HEAD_BYTES = 32768     # its setting max-header, by default
CONNECTIONS = 200      # its setting max-connections
IDLE_S = 120           # its setting idle; more than a test takes
MAX_FILES = 2 * CONNECTIONS + 100  # bound of its descriptors
LONG_BODY = bytes(BODY_BYTES)
PAGE = bytes(60000)


class Target(Server):
    """A plain service: never answers POST /services/patient/wait, and sends a short
    answer to /services/patient/short, one that is kept for a repeat to
    /services/patient/page, a longer one to any other request."""

    def __init__(self):
        self.left = threading.Event()
        super().__init__(("127.0.0.1", 0))

    def answer(self, c, method, path, headers, body):
        if path == "/wait":
            self.left.wait()
            return False
        text = {"/load": b'{"slots": 64}', "/short": b"done", "/page": PAGE}.get(
            path, LONG_BODY)
        c.sendall(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(text))
        c.sendall(text)
        return True


class CrowdedFleet(process.Fleet):
    """One instance, and two services more: "patient", and "none" without targets."""

    def __init__(self):
        self.patient = Target()
        super().__init__(engines=1, instances=1)
        self.meter = Meter(self.procs["i0"], "127.0.0.1", self.ports[0])

    def spawn(self, name, args, env=None):
        if name == "i0":
            env = dict(env, LOFTPATH_MAX_BODY=str(BODY_BYTES),
                       LOFTPATH_MAX_CONNECTIONS=str(CONNECTIONS),
                       LOFTPATH_IDLE=str(IDLE_S), LOFTPATH_MEMORY=str(MEMORY_MB))
        super().spawn(name, args, env)

    def table(self, slots, small):
        return super().table(slots, small) + "\n".join([
            "service,patient,,,,0,yes,100000,,,,,,,",
            "service,none,,,,0,yes,100000,,,,,,,",
            "target,p,,,,,,,,patient,%s,nord,1000,," % self.patient.address]) + "\n"

    def address(self):
        return "127.0.0.1", self.ports[0]

    def short(self, customer):
        return call(self.ports[0], "GET", "/services/patient/short", None,
                    {"Authorization": "Bearer " + KEYS[customer]})

    def bytes_of(self, method, path, *more, body=b""):
        lines = ["%s %s HTTP/1.1" % (method, path), "Host: x",
                 "Authorization: Bearer " + KEYS["c"]] + list(more)
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    def keyed(self, method, path, key):
        return self.bytes_of(method, path, "Idempotency-Key: " + key)

    def upload(self, path, sent=BODY_BYTES, body=LONG_BODY):
        return self.bytes_of("POST", path, "Content-Length: %d" % len(body),
                             body=body[:sent])

    def close(self):
        self.patient.left.set()
        self.meter.close()
        super().close()
        self.patient.close()


def check(f, max_files=MAX_FILES):
    print("  %s" % f.meter, flush=True)
    assert f.procs["i0"].poll() is None, "the process ended"
    assert f.meter.bytes < MEMORY_MB << 20, "memory: %s" % f.meter
    assert f.meter.files <= max_files, "descriptors: %s" % f.meter


def ordinary_answers(f):
    return (f.book(f.ports[0], "plate"), f.chat(f.ports[0]),
            f.chat(f.ports[0], content="word " * 20000))


def serve_ordinary(f):
    for a in ordinary_answers(f):
        assert a.status in (200, 201), (a.status, a.body)


def endure(f, crowd):
    """Lets the crowd send all that it can, and checks the process."""
    crowds.endure(crowd, f.meter, lambda: check(f), lambda: serve_ordinary(f))


def test_front_a_single_request_inside_the_limits_is_served(f):
    """A bound that is too small would refuse it."""
    for n in range(3):
        a = call(f.ports[0], "POST", "/services/book/book", b"%d" % n * BODY_BYTES,
                 {"Authorization": "Bearer " + KEYS["c"]})
        assert a.status == 201, (a.status, a.body)
        a = call(f.ports[0], "GET", "/services/patient/x", None,
                 {"Authorization": "Bearer " + KEYS["c"]})
        assert a.status == 200 and a.body == LONG_BODY, (a.status, len(a.body))
        serve_ordinary(f)
    check(f)


def test_front_whole_bodies_that_wait_for_their_answers(f):
    """Only the size of each body was bounded."""
    endure(f, Crowd(f.address(), 40, lambda k: f.upload("/services/patient/wait"),
                    again=1))


def test_front_bodies_that_stop_just_short_of_their_end(f):
    """The same, before they are whole."""
    endure(f, Crowd(f.address(), 40, lambda k: f.upload(
        "/services/book/book", BODY_BYTES - 1), again=1))


def test_front_bodies_that_come_piece_by_piece(f):
    """The same, with all clients sending at once."""
    endure(f, Crowd(f.address(), 60, lambda k: f.upload(
        "/services/book/book", BODY_BYTES - 1), piece=4096, again=1))


def test_front_bodies_in_chunks_that_stop_short(f):
    """No length tells how large such a body becomes."""
    piece = b"10000\r\n" + bytes(1 << 16) + b"\r\n"
    data = f.bytes_of("POST", "/services/book/book",
                      "Transfer-Encoding: chunked") + piece * 63
    endure(f, Crowd(f.address(), 40, lambda k: data, again=1))


def test_front_bodies_of_clients_without_a_key_that_stop_short(f):
    """A key is checked only when the body is whole."""
    data = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" \
           b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    endure(f, Crowd(f.address(), 40, lambda k: data + LONG_BODY[:-1], again=1))


def test_front_bodies_of_many_values(f):
    """Each value of JSON takes many times its text in memory."""
    start, end = b'{"model": "chat", "messages": [', b'{}]}'
    body = start + b"{}," * ((BODY_BYTES - 100) // 3) + end
    endure(f, Crowd(f.address(), 8, lambda k: f.upload(
        "/v1/chat/completions", body=body), again=1))


def test_front_long_chats_that_wait_for_their_answers(f):
    """A chat was held as text, as values and as the text for its target."""
    chat = json.dumps({"model": "chat", "max_tokens": 400, "messages": [
        {"role": "user", "content": "x" * (BODY_BYTES - 200)}]}).encode()
    f.fault(f.engines[0], "slow", 2000)
    endure(f, Crowd(f.address(), 40, lambda k: f.upload(
        "/v1/chat/completions", body=chat), again=1))


def test_front_answers_that_nobody_reads(f):
    """Answers were bounded only until they were passed on."""
    endure(f, Crowd(f.address(), 60, lambda k: f.bytes_of(
        "GET", "/services/patient/x"), reads=False))


def test_front_requests_behind_one_that_waits(f):
    """What a client sends before its answer stayed in the buffers of the system."""
    data = (f.bytes_of("GET", "/services/patient/wait") +
            f.bytes_of("GET", "/v1/models") * 40000)
    endure(f, Crowd(f.address(), CONNECTIONS // 2, lambda k: data))


def test_front_crowds_at_a_process_that_is_stopped(f):
    """The system goes on to accept connections and their bytes; its queue was as long
    for a process of little memory."""
    data = f.upload("/services/book/book", BODY_BYTES - 1)
    crowd = Crowd(f.address(), CONNECTIONS, lambda k: data[:HEAD_BYTES // 4], again=1)
    crowds.endure_while_stopped(
        f.procs["i0"], crowd, data, lambda: Crowd(f.address(), 1800, lambda k: data),
        f.meter, lambda: check(f), lambda: serve_ordinary(f))


def test_front_many_requests_with_keys_that_are_refused(f):
    """The record of each stayed for ten minutes, whatever their number."""
    endure(f, Crowd(f.address(), 60, lambda k: b"".join(
        f.keyed("POST", "/services/none/x", "%d-%d" % (k, n)) for n in range(3000))))


def test_front_many_answers_that_are_kept(f):
    """Kept answers counted nowhere in the memory of the process, which others may
    fill besides."""
    crowd = Crowd(f.address(), 50, lambda k: b"".join(
        f.keyed("GET", "/services/patient/page", "%d-%d" % (k, n))
        for n in range(20)))
    crowd.settle()
    endure(f, Crowd(f.address(), 40, lambda k: f.upload(
        "/services/book/book", BODY_BYTES - 1), again=1))
    crowd.close()


def test_front_bills_that_wait_for_the_store(f):
    """The bills of all requests that ran were held until the store was back."""
    f.fault(f.platform, "down")
    crowd = Crowd(f.address(), 60, lambda k: f.bytes_of(
        "GET", "/services/patient/short") * 3500)
    crowd.settle()
    f.meter.settle()
    check(f)
    crowd.close()
    a = f.short("c")
    assert (a.status, a.kind(), a.ran) == (503, "bill-store", "not-run"), a.body
    assert "retry-after" in a.headers
    a = f.short("small")  # of another customer
    assert (a.status, a.body) == (200, b"done"), a.body
    f.fault(f.platform, "none")
    process.wait_for("answers", lambda: all(
        a.status in (200, 201) for a in (f.short("c"), *ordinary_answers(f))), 60.0)
    serve_ordinary(f)
    check(f)


def test_front_silent_connections_beyond_the_limit(f):
    """An ordinary caller waited until one of them had been idle for long."""
    endure(f, Crowd(f.address(), 300, lambda k: b"", again=1))


def test_front_begun_requests_beyond_the_limit(f):
    """The same, with requests that stop within their heads."""
    data = f.bytes_of("GET", "/v1/models", "X-Long: " + "x" * (HEAD_BYTES // 2))[:-4]
    endure(f, Crowd(f.address(), 300, lambda k: data, again=1))


def test_front_begun_bodies_beyond_the_limit(f):
    """The same, with requests that stop within a short body."""
    data = f.upload("/services/book/book", 10, bytes(1000))
    endure(f, Crowd(f.address(), 300, lambda k: data, again=1))


def test_front_waiting_requests_beyond_the_limit(f):
    """Requests that wait for a target left no connection to others."""
    endure(f, Crowd(f.address(), 300, lambda k: f.bytes_of(
        "GET", "/services/patient/wait"), again=1))


if __name__ == "__main__":
    bound_sanitizer()
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(8192, hard), hard))
    sys.exit(process.run_each(globals(), CrowdedFleet))
