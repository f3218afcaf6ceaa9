#!/usr/bin/env python3
"""crowds.py: crowds of clients that don't behave, at an instance of little memory and
few descriptors; real processes. The clients send as much as the limits of the
configuration allow, and keep their connections.

Each test checks that the process lives, that its memory and descriptors stay under a
bound, and that one ordinary request is answered at its first try, first while the
clients are connected and then after they have left.

Usage: crowds.py BUILD_DIR [TEST...]"""
import resource
import sys
import threading

import crowd as crowds
from crowd import Crowd, Meter
from fleet import BASE, Site, Worker, head, run_tests
from red import bound_sanitizer

TUNNEL_PORT = 3        # of an instance, from BASE on
MEMORY_MB = 32         # setting of the instance, and bound of what it takes
BODY_BYTES = 4 << 20   # max_body_bytes
HEAD_BYTES = 16384     # max_header_bytes
LONG_BODY = bytes(BODY_BYTES)
ORDINARY_BYTES = (0, 4096, 100000)  # of bodies of ordinary requests
FILES = 512            # descriptors that an instance may open
MAX_FILES = FILES - 32  # bound: it must still be able to open some
PATIENT_MS = 120000    # more than a test takes
LIMITS = {"max_body_bytes": BODY_BYTES, "max_header_bytes": HEAD_BYTES,
          "header_timeout_ms": PATIENT_MS, "idle_timeout_ms": PATIENT_MS}
PATIENT_ROUTE = {"name": "p", "host": "front", "path_prefix": "/patient/",
                 "type": "unsafe", "timeout_ms": PATIENT_MS, "slo_ms": 500,
                 "priority": 1, "service": "patient", "max_attempts": 1,
                 "public": False, "resumable": False}


class CrowdedSite(Site):
    """Has a service more, "patient", whose worker never answers. `files`: limit of
    the descriptors of an instance; None: that of the tests."""

    memory_mb = MEMORY_MB
    files = None

    def __init__(self, **more):
        super().__init__(routes=[PATIENT_ROUTE], services=["patient"], limits=LIMITS,
                         **more)
        self.left = threading.Event()
        self.patient = Worker(("127.0.0.1", 0), self.store, "p0", "patient")
        self.patient.play = self.keep_waiting
        self.desks.append(self.patient)
        self.meter = Meter(self.processes[0], self.ip(0))

    def keep_waiting(self, w, c, headers):
        self.left.wait()
        return False

    def start(self, i):
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if self.files:
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.files, hard))
        super().start(i)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))

    def address(self):
        return self.ip(0), BASE

    def bytes_of(self, method, path, *more, body=b""):
        """A request with a patient client's fields, as bytes."""
        lines = ["%s %s HTTP/1.1" % (method, path)]
        lines += ["%s: %s" % f for f in self.head().items()
                  if f[0] != "X-Loftpath-Deadline-Ms"]
        lines += ["X-Loftpath-Deadline-Ms: %d" % PATIENT_MS] + list(more)
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    def upload(self, path, sent=BODY_BYTES):
        """A request with a body of the largest size, of which only `sent` bytes
        come."""
        return self.bytes_of("POST", path, "Content-Length: %d" % BODY_BYTES,
                             body=LONG_BODY[:sent])

    def close(self):
        self.left.set()
        self.meter.close()
        super().close()


class LargerSite(CrowdedSite):
    """Its instance has more memory, so that it may hold more connections."""

    memory_mb = 3 * MEMORY_MB


class SmallSite(CrowdedSite):
    """Its instance may open few descriptors."""

    files = FILES


def check(s, max_files=None):
    m = s.meter
    print("  %s" % m, flush=True)
    assert s.processes[0].poll() is None, "the process ended"
    assert m.bytes < s.memory_mb << 20, "memory: %s" % m
    assert not max_files or m.files <= max_files, "descriptors: %s" % m


def serve_ordinary(s):
    for n in ORDINARY_BYTES:
        a = s.call("/once/x", "POST", bytes(n)) if n else s.call("/safe/x")
        assert a.status == 200, (n, a.status, a.body)


def endure(s, crowd, max_files=None):
    """Lets the crowd send all that it can, and checks the process."""
    crowds.endure(crowd, s.meter, lambda: check(s, max_files),
                  lambda: serve_ordinary(s))


def test_a_single_request_inside_the_limits_is_served(s):
    """A bound that is too small would refuse it."""
    for _ in range(3):
        for n in (0, BODY_BYTES):
            a = s.call("/once/x", "POST", bytes(n))
            assert a.status == 200, (n, a.status, a.body)
    check(s)


def test_whole_bodies_that_wait_for_their_answers(s):
    """Each was held twice, and without a bound for those that were there at once."""
    endure(s, Crowd(s.address(), 30, lambda k: s.upload("/patient/x"), again=1))


def test_bodies_that_stop_just_short_of_their_end(s):
    """Only whole bodies were bounded."""
    endure(s, Crowd(s.address(), 30, lambda k: s.upload(
        "/once/x", BODY_BYTES - 1), again=1))


def test_bodies_that_come_piece_by_piece(s):
    """The same, with all clients sending at once."""
    endure(s, Crowd(s.address(), 60, lambda k: s.upload(
        "/once/x", BODY_BYTES - 1), piece=4096, again=1))


def test_bodies_in_chunks_that_stop_short(s):
    """No length tells how large such a body becomes."""
    piece = b"10000\r\n" + bytes(1 << 16) + b"\r\n"
    data = s.bytes_of("POST", "/once/x", "Transfer-Encoding: chunked") + piece * 63
    endure(s, Crowd(s.address(), 30, lambda k: data, again=1))


def test_many_bodies_of_ordinary_size_that_stop_short(s):
    """Many small ones take as much as a few large ones."""
    data = s.bytes_of("POST", "/once/x", "Content-Length: 100000", body=bytes(99999))
    endure(s, Crowd(s.address(), 600, lambda k: data, again=1))


def test_kept_connections_that_have_sent_long_bodies(s):
    """Each connection kept the buffer of its longest body."""
    crowds = []
    for k in range(30):
        crowds.append(Crowd(s.address(), 1, lambda k: s.upload("/once/x")))
        crowds[-1].settle()
    check(s)
    serve_ordinary(s)
    for c in crowds:
        c.close()
    serve_ordinary(s)
    check(s)


def test_heads_that_stop_short_of_their_end(s):
    """The heads that are received were not bounded together."""
    data = s.bytes_of("GET", "/safe/x", "X-Long: " + "x" * (HEAD_BYTES - 600))[:-4]
    endure(s, Crowd(s.address(), 1800, lambda k: data, again=1))


def test_targets_of_requests_that_stop_short_of_their_end(s):
    """The path of a request counted as part of its head only once it was whole."""
    data = b"GET /safe/" + b"x" * 60000
    endure(s, Crowd(s.address(), 600, lambda k: data, again=1))


def test_requests_behind_one_that_waits(s):
    """What a client sends before its answer stayed in the buffers of the system."""
    data = s.bytes_of("GET", "/patient/x") + s.bytes_of("GET", "/safe/x") * 6000
    endure(s, Crowd(s.address(), 300, lambda k: data, again=1))


def answer_with(n):
    """Plays answers of n bytes, after which the target closes the connection."""
    def play(w, c, headers):
        c.sendall(head(headers["x-loftpath-attempt-id"], "Content-Length: %d" % n))
        c.sendall(bytes(n))
        return False

    return play


def test_answers_that_nobody_reads(s):
    """Each connection held at least a small buffer, however many there were."""
    s.patient.play = answer_with(BODY_BYTES)
    endure(s, Crowd(s.address(), 2200, lambda k: s.bytes_of("GET", "/patient/x"),
                    reads=False))


def test_short_answers_that_nobody_reads(s):
    """Whole answers that wait for their callers were kept for half a minute each."""
    def play(w, c, headers):
        c.sendall(head(headers["x-loftpath-attempt-id"],
                       "Content-Length: 200000") + bytes(200000))
        return True

    s.patient.play = play
    endure(s, Crowd(s.address(), 400, lambda k: s.bytes_of("GET", "/patient/x") * 8,
                    reads=False))


def test_tunnels_whose_clients_read_nothing(s):
    """What tunnels hold counted nowhere."""
    s.patient.play = answer_with(BODY_BYTES)
    data = b"CONNECT %s HTTP/1.1\r\n\r\n" % s.patient.address.encode()
    data += s.bytes_of("GET", "/patient/x", "X-Loftpath-Expect-Instance: p0")
    endure(s, Crowd((s.ip(0), BASE + TUNNEL_PORT), 600, lambda k: data, again=1,
                    reads=False))


def endure_while_stopped(s, n):
    """Lets crowds of n send all that they can while the process is stopped."""
    data = s.bytes_of("POST", "/once/x", "Content-Length: 100000", body=bytes(99999))
    crowd = Crowd(s.address(), n, lambda k: data[:HEAD_BYTES // 4], again=1)
    crowds.endure_while_stopped(
        s.processes[0], crowd, data, lambda: Crowd(s.address(), n, lambda k: data),
        s.meter, lambda: check(s), lambda: serve_ordinary(s))


def test_crowds_at_a_process_that_is_stopped(s):
    """The system goes on to accept connections and their bytes; its queue was as long
    for a process of little memory."""
    endure_while_stopped(s, 1800)


def test_crowds_at_a_larger_process_that_is_stopped(s):
    """The system's buffers were bounded one by one, and not together."""
    endure_while_stopped(s, 3600)


def test_bodies_at_the_address_for_readiness(s):
    """Its connections had the default limits, and no bound together."""
    data = b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES
    endure(s, Crowd((s.ip(0), BASE + 1), 30, lambda k: data + bytes(BODY_BYTES - 1),
                    again=1))
    assert s.ready(0), "it doesn't say that it is ready"


def test_silent_connections_beyond_the_descriptors(s):
    """All descriptors were given to callers; none was left for targets."""
    endure(s, Crowd(s.address(), 700, lambda k: b"", again=1), MAX_FILES)


def test_begun_requests_beyond_the_descriptors(s):
    """The same, with requests that stop within their heads."""
    endure(s, Crowd(s.address(), 700, lambda k: b"GET /safe/x HTTP/1.1\r\n",
                    again=1), MAX_FILES)


def test_waiting_requests_beyond_the_descriptors(s):
    """Each takes a connection to a target besides that of its caller."""
    endure(s, Crowd(s.address(), 700, lambda k: s.bytes_of("GET", "/patient/x"),
                    again=1), MAX_FILES)


def test_connections_at_the_address_for_readiness_beyond_the_descriptors(s):
    """Callers found no descriptor left."""
    endure(s, Crowd((s.ip(0), BASE + 1), 700, lambda k: b"", again=1), MAX_FILES)
    assert s.ready(0), "it doesn't say that it is ready"


def test_connections_at_the_address_for_tunnels_beyond_the_descriptors(s):
    """They were closed only after a second each."""
    endure(s, Crowd((s.ip(0), BASE + TUNNEL_PORT), 700, lambda k: b"", again=5),
           MAX_FILES)


def site_of(name):
    if name.endswith("beyond_the_descriptors"):
        return SmallSite
    return LargerSite if "larger_process" in name else CrowdedSite


def run(names):
    """Returns 1 if any test failed."""
    failed = 0
    for site in (CrowdedSite, LargerSite, SmallSite):
        own = [n for n in names if site_of(n) == site]
        failed = max(failed, run_tests(globals(), names=own, site=site) if own else 0)
    return failed


if __name__ == "__main__":
    bound_sanitizer()
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(8192, hard), hard))
    sys.exit(run(sys.argv[2:] or [n for n in dict(globals()) if n.startswith("test_")]))
