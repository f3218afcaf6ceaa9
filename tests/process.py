#!/usr/bin/env python3
"""process.py: failures injected into real processes on loopback.

Usage: process.py BUILD_DIR [TEST...]. These tests are few and slow; scenario/ tests
what needs only the pure cores. Waits poll for a state, with a deadline."""
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from red import bound_sanitizer, known_red

BUILD = os.path.abspath(sys.argv[1])
BASE = 20000
KEYS = {"c": "key-c", "small": "key-small", "capped": "key-capped"}
ADMIN = "admin"


def free_base(count):
    """Finds a range of free ports."""
    start = BASE + os.getpid() * 60 % 9000  # concurrent runs start at different ports
    for base in list(range(start, 30000, 60)) + list(range(BASE, start, 60)):
        try:
            for port in range(base, base + count):
                with socket.socket() as s:
                    s.bind(("127.0.0.1", port))
            return base
        except OSError:
            continue
    raise SystemExit("no free ports")


def wait_for(what, check, seconds=15.0):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            got = check()
            if got:
                return got
        except (OSError, http.client.HTTPException, ValueError):
            pass
        time.sleep(0.05)
    raise AssertionError("timed out waiting for " + what)


class Answer:
    def __init__(self, r, body):
        self.status, self.body = r.status, body
        self.headers = {k.lower(): v for k, v in r.getheaders()}
        self.ran = self.headers.get("loftpath-ran")
        self.id = self.headers.get("loftpath-request-id")

    def json(self):
        return json.loads(self.body)

    def kind(self):
        return self.json()["error"]["kind"]


def call(port, method, path, body=None, headers=None, timeout=30):
    c = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        c.request(method, path, body, headers or {})
        r = c.getresponse()
        return Answer(r, r.read())
    finally:
        c.close()


class Fleet:
    """The stand-ins, instances and table of one test."""

    def __init__(self, engines=2, instances=3, slots=8, token_ms=5, small=3000,
                 regions=0, ready=True):
        self.dir = tempfile.mkdtemp()
        self.base = free_base(30 + 2 * instances + 20)
        self.instances, self.regions = instances, regions
        self.procs = {}
        self.platform = self.base
        self.engines = [self.base + 1 + i for i in range(engines)]
        self.booking = self.base + 20
        self.ports = [self.base + 30 + i for i in range(instances)]
        try:
            self.start(slots, token_ms)
            if ready:
                self.apply(self.table(slots, small))
        except BaseException:
            self.close()  # leaves no process running
            raise

    def start(self, slots, token_ms):
        """Starts the processes and waits until all instances answer and, unless spread
        over regions, know each other."""
        self.spawn("platform", ["fakes/fake_platform", self.at(self.platform)])
        for i, p in enumerate(self.engines):
            self.spawn("engine%d" % i, ["fakes/fake_engine", self.at(p),
                                        str(slots), str(token_ms)])
        self.spawn("booking", ["fakes/fake_booking", self.at(self.booking)])
        wait_for("platform", lambda: call(self.platform, "GET", "/stats"))
        for i in range(self.instances):
            self.instance(i)
        for p in self.ports:
            wait_for("instance", lambda: call(p, "GET", "/healthz").status == 200)
        if not self.regions:
            wait_for("members", lambda: all(
                len(self.admin(p, "instances").json()) == self.instances
                for p in self.ports))

    @staticmethod
    def at(port):
        return "127.0.0.1:%d" % port

    def spawn(self, name, args, env=None):
        log = open(os.path.join(self.dir, name + ".log"), "ab")
        self.procs[name] = subprocess.Popen(
            [os.path.join(BUILD, args[0])] + args[1:], stderr=log,
            stdout=log, env={**os.environ, **(env or {})})

    def instance(self, i):
        name, dc = "i%d" % i, ["nord", "sued"][i % 2]
        self.spawn(name, ["bin/loftpathd"], {
            "LOFTPATH_NAME": name, "LOFTPATH_DATACENTRE": dc,
            "LOFTPATH_REGION": "r%d" % (i % self.regions) if self.regions else "town",
            "LOFTPATH_LISTEN": self.at(self.ports[i]),
            "LOFTPATH_PEER": self.at(self.peer(i)),
            "LOFTPATH_PLATFORM": self.at(self.platform),
            "LOFTPATH_ADMIN_KEY": ADMIN, "LOFTPATH_MAX_BODY": "100000"})
        call(self.platform, "PUT", "/instances/" + name,
             json.dumps({"peer": "tcp://" + self.at(self.peer(i))}))

    def peer(self, i):
        return self.base + 30 + self.instances + i

    def table(self, slots, small):
        import hashlib
        h = {k: hashlib.sha256(v.encode()).hexdigest() for k, v in KEYS.items()}
        rows = ["kind,name,key,running,model,priority,repeat,wait,output,serves,url,"
                "datacentre,slots,tokens,reserve"]
        rows += ["customer,%s,%s,%s,,,,,,,,,,," % (c, h[c], 3 if c == "capped" else "")
                 for c in KEYS]
        rows += ["service,chat,,,m,3,,8000,400,,,,,,",
                 "service,quick,,,m,0,,8000,400,,,,,,",
                 "service,oncechat,,,m,3,no,8000,400,,,,,,",
                 "service,book,,,,0,no,3000,,,,,,,"]
        rows += ["target,e%d,,,m,,,,,,%s,nord,%d,," % (i, self.at(p), slots)
                 for i, p in enumerate(self.engines)]
        rows += ["target,b,,,,,,,,book,%s,nord,64,," % self.at(self.booking)]
        rows += ["budget,c/*,,,,,,,,,,,,100000000,60",
                 "budget,capped/*,,,,,,,,,,,,1000000,60",
                 "budget,small/*,,,,,,,,,,,,%d,60" % small]
        return "\n".join(rows) + "\n"

    def cli(self, *args, port=None):
        env = {**os.environ, "LOFTPATH_ADDRESS": self.at(port or self.ports[0]),
               "LOFTPATH_ADMIN_KEY": ADMIN}
        return subprocess.run([os.path.join(BUILD, "bin/loftpath")] + list(args),
                              env=env, capture_output=True, text=True, timeout=60)

    def apply(self, csv):
        path = os.path.join(self.dir, "table.csv")
        with open(path, "w") as f:
            f.write(csv)
        r = self.cli("apply", path)
        assert r.returncode == 0, r.stdout + r.stderr

    def admin(self, port, what):
        return call(port, "GET", "/admin/" + what, None,
                    {"Authorization": "Bearer " + ADMIN})

    def chat(self, port, customer="c", key=None, n=5, stream=False, model="chat",
             content="hello", timeout=30):
        headers = {"Authorization": "Bearer " + KEYS.get(customer, customer)}
        if key:
            headers["Idempotency-Key"] = key
        body = json.dumps({"model": model, "stream": stream, "max_tokens": n,
                           "messages": [{"role": "user", "content": content}]})
        return call(port, "POST", "/v1/chat/completions", body, headers, timeout)

    def book(self, port, plate, key=None):
        headers = {"Authorization": "Bearer " + KEYS["c"]}
        if key:
            headers["Idempotency-Key"] = key
        return call(port, "POST", "/services/book/book", plate, headers)

    def fault(self, port, mode, ms=0):
        call(port, "POST", "/fault?mode=%s&ms=%d" % (mode, ms))

    def stats(self, port):
        return call(port, "GET", "/stats").json()

    def metric(self, port, name):
        for line in call(port, "GET", "/metrics").body.decode().splitlines():
            if line.startswith("loftpath_%s " % name):
                return int(line.split()[1])
        raise AssertionError("no metric " + name)

    def budget(self, name, port=None):
        for b in self.admin(port or self.ports[0], "budgets").json():
            if b["name"] == name:
                return b
        raise AssertionError("no budget " + name)

    def engine_tokens(self):
        return sum(s["tokens"] + s["prompt_tokens"]
                   for s in map(self.stats, self.engines))

    def kill(self, name, sig=signal.SIGKILL):
        self.procs[name].send_signal(sig)
        if sig in (signal.SIGKILL, signal.SIGTERM):
            return self.procs[name].wait(timeout=30)
        return None

    def close(self):
        for p in self.procs.values():
            if p.poll() is None:
                p.send_signal(signal.SIGCONT)
                p.kill()
        for p in self.procs.values():
            p.wait()
        shutil.rmtree(self.dir, ignore_errors=True)


def together(jobs):
    """Runs the jobs concurrently; returns their results in order."""
    out = [None] * len(jobs)

    def run(i):
        try:
            out[i] = jobs[i]()
        except Exception as e:  # returned to the caller
            out[i] = e
    threads = [threading.Thread(target=run, args=(i,)) for i in range(len(jobs))]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    return out


def run_each(tests, fleet):
    """Runs the functions `test_...` of `tests`, or those on the command line, each on a
    fleet of its own, whose first instance must live on. Returns the exit status."""
    names = sys.argv[2:] or [n for n in tests if n.startswith("test_")]
    failed, red = 0, known_red()
    for name in names:
        f = fleet()
        try:
            tests[name](f)
            assert f.procs["i0"].poll() is None, "the process ended"
            print("ok", name, flush=True)
        except Exception as e:  # noqa: BLE001 (printed and counted)
            known = name in red
            failed += not known
            print("%s %s: %s: %s" % ("known red:" if known else "FAILED", name,
                                     type(e).__name__, e), flush=True)
        finally:
            f.close()
    print("%d passed, %d failed" % (len(names) - failed, failed))
    return 1 if failed else 0


# == tests ==

def test_streams_never_cross(f):
    """With many concurrent streams each caller gets all of its own tokens."""
    def one(i):
        a = f.chat(f.ports[i % 3], n=20 + i % 7, stream=True)
        assert a.status == 200, a.body
        assert words_of(a) == ["%s-%d" % (a.id, k) for k in range(20 + i % 7)]
        return True
    got = together([lambda i=i: one(i) for i in range(120)])
    assert all(g is True for g in got), [g for g in got if g is not True][:2]


def test_errors_have_kind_status_and_ran(f):
    p = f.ports[0]
    auth = {"Authorization": "Bearer " + KEYS["c"]}

    def post(body, headers=auth):
        return call(p, "POST", "/v1/chat/completions", body, headers)
    cases = [
        (f.chat(p, customer="nobody"), 401, "unauthorised"),
        (post("{"), 400, "malformed"),
        (post("[]"), 400, "malformed"),
        (post('{"model":"chat"}'), 400, "malformed"),
        (post('{"model":"chat","messages":[]}'), 400, "malformed"),
        (post('{"model":"chat","messages":[{"content":"x"}]}'), 400, "malformed"),
        (post('{"model":"chat","n":2,"messages":[{"role":"user","content":"x"}]}'),
         400, "malformed"),
        (post('{"model":"chat","messages":[{"role":"user","content":'
              '[{"type":"image_url"}]}]}'), 400, "malformed"),
        (post("[" * 60000), 400, "malformed"),
        (f.chat(p, model="gone"), 404, "unknown-model"),
        (f.chat(p, model="book"), 404, "unknown-model"),
        (call(p, "GET", "/services/none/x", None, auth), 404, "unknown-service"),
        (call(p, "GET", "/services/", None, auth), 404, "unknown-service"),
        (post("x" * 200000), 413, "too-large"),
        (f.chat(p, customer="small", n=400, content="y" * 3000), 402, "budget-empty"),
        (call(p, "GET", "/nothing"), 404, "malformed"),
        (call(p, "GET", "/admin/status"), 401, "unauthorised"),
    ]
    for a, status, kind in cases:
        assert (a.status, a.kind(), a.ran) == (status, kind, "not-run"), \
            (a.status, a.body, a.ran, kind)
        assert a.json()["error"]["remedy"]
    key = "used-twice"
    assert f.chat(p, key=key).status == 200
    assert f.chat(p, key=key, content="other").kind() == "key-reused"
    got = together([lambda: f.chat(p, customer="capped", n=100) for _ in range(6)])
    kinds = sorted(a.kind() if a.status != 200 else "ok" for a in got)
    assert "cap-reached" in kinds and "ok" in kinds, kinds
    assert all("retry-after" in a.headers for a in got if a.status == 429)


def test_nothing_is_overspent_by_many_at_once(f):
    """A small budget is drawn on at every instance at the same time."""
    def one(i):
        return f.chat(f.ports[i % 3], customer="small", n=30 + i % 40).status
    got = together([lambda i=i: one(i) for i in range(90)])
    assert got.count(200) > 5, got
    assert set(got) <= {200, 402, 429}, set(got)
    assert f.engine_tokens() <= 3000, f.engine_tokens()


def test_a_booking_happens_once(f):
    a = f.book(f.ports[0], "plate-1", "k1")
    b = f.book(f.ports[1], "plate-1", "k1")
    assert (a.status, b.status) == (201, 201) and a.body == b.body
    assert b.headers.get("loftpath-replayed") == "true"
    got = together([lambda i=i: f.book(f.ports[i % 3], "plate-2", "k2")
                    for i in range(9)])
    assert sum(a.status == 201 for a in got) >= 1
    assert all(a.status == 201 or a.ran == "may-have-run" for a in got)
    # The service books and closes the connection: no instance may retry.
    f.fault(f.booking, "lost")
    a = f.book(f.ports[0], "plate-3", "k3")
    assert (a.status, a.kind(), a.ran) == (409, "may-have-run", "may-have-run")
    f.fault(f.booking, "none")
    a = f.book(f.ports[2], "plate-3", "k3")
    assert (a.status, a.ran) == (409, "may-have-run"), a.body
    # The router crashes while the service processes the request.
    f.fault(f.booking, "slow")
    t = threading.Thread(target=lambda: together(
        [lambda: f.book(f.ports[0], "plate-4", "k4")]))
    t.start()
    wait_for("the claim", lambda: f.stats(f.platform)["objects"] and
             f.metric(f.ports[0], "open_requests") == 1)
    time.sleep(0.5)
    f.kill("i0")
    t.join()
    f.fault(f.booking, "none")
    wait_for("the loss to be seen", lambda: len(
        f.admin(f.ports[1], "instances").json()) == 2)
    a = f.book(f.ports[1], "plate-4", "k4")
    assert a.ran == "may-have-run", (a.status, a.body)
    assert f.stats(f.booking)["most_for_one"] == 1


def test_a_sleeping_home_of_claims(f):
    """One instance, home of a third of all claims, is paused: bookings elsewhere do
    not wait for it, and after it resumes the bookings stay valid."""
    f.kill("i2", signal.SIGSTOP)
    start = time.monotonic()
    got = together([lambda i=i: f.book(f.ports[i % 2], "p%d" % i, "s%d" % i)
                    for i in range(24)])
    took = time.monotonic() - start
    assert all(a.status == 201 for a in got), [(a.status, a.body) for a in got
                                               if a.status != 201][:3]
    assert took < 4, took
    f.kill("i2", signal.SIGCONT)
    again = together([lambda i=i: f.book(f.ports[2], "p%d" % i, "s%d" % i)
                      for i in range(24)])
    # Stored answers, or the report that it ran; never another run.
    assert all(a.ran in ("ran", "may-have-run") for a in again), again[0].body
    stats = f.stats(f.booking)
    assert stats["most_for_one"] == 1 and stats["bookings"] == 24, stats


def test_the_platform_down(f):
    """Chats continue from held tokens; bookings are refused as not run."""
    for p in f.ports * 3:
        assert f.chat(p, n=50).status == 200
    before = f.stats(f.booking)["bookings"]
    f.fault(f.platform, "down")
    for p in f.ports:
        assert f.chat(p, n=5).status == 200
    a = f.book(f.ports[0], "outage", "k5")
    assert (a.status, a.kind(), a.ran) == (503, "claim-store", "not-run"), a.body
    assert "retry-after" in a.headers
    assert f.stats(f.booking)["bookings"] == before
    f.fault(f.platform, "none")
    wait_for("the claim to be possible again",
             lambda: f.book(f.ports[0], "outage", "k5").status == 201)
    assert f.stats(f.booking)["most_for_one"] == 1


def test_lost_answers_of_the_platform(f):
    f.fault(f.platform, "lose")
    got = [f.book(f.ports[i % 3], "p%d" % i, "lost%d" % i) for i in range(3)]
    f.fault(f.platform, "none")
    for i in range(3):
        wait_for("the booking", lambda: f.book(
            f.ports[0], "p%d" % i, "lost%d" % i).status in (201, 409))
    assert f.stats(f.booking)["most_for_one"] == 1, [a.status for a in got]


def test_killed_with_streams_open(f):
    """The others keep serving, no budget is overspent, each answer is billed once."""
    def doomed():
        return f.chat(f.ports[0], n=200, stream=True)
    t = threading.Thread(target=lambda: together([doomed] * 4))
    t.start()
    wait_for("streams", lambda: f.metric(f.ports[0], "open_requests") == 4)
    f.kill("i0")
    t.join()
    for i in range(6):
        assert f.chat(f.ports[1 + i % 2], n=10, key="after%d" % i).status == 200
    wait_for("the loss to be seen", lambda: len(
        f.admin(f.ports[1], "instances").json()) == 2)
    f.instance(0)
    wait_for("the new one", lambda: f.chat(f.ports[0], n=10).status == 200)
    bills = wait_for("bills", lambda: [b for b in [
        f.admin(f.ports[1], "bills").json()] if b["requests"] >= 7])
    assert bills[0]["requests"] == 7, bills
    b = wait_for("the spend", lambda: [b for b in [
        f.budget("c/*", f.ports[1])] if b["spent"] > 0])[0]
    assert b["free"] + f.engine_tokens() <= b["total"]


def test_a_paused_instance_wakes_up(f):
    """It is paused until it has been replaced; after it resumes, no budget is
    overspent."""
    for p in f.ports:
        assert f.chat(p, customer="small", n=10).status == 200
    f.kill("i1", signal.SIGSTOP)
    wait_for("the loss to be seen", lambda: len(
        f.admin(f.ports[0], "instances").json()) == 2)
    together([lambda: f.chat(f.ports[0], customer="small", n=40)
              for _ in range(40)])
    f.kill("i1", signal.SIGCONT)
    got = together([lambda i=i: f.chat(f.ports[i % 3], customer="small", n=40)
                    for i in range(40)])
    assert all(not isinstance(a, Exception) for a in got), got[:2]
    assert f.engine_tokens() <= 3000, f.engine_tokens()


def test_a_planned_stop_cuts_nothing(f):
    """After SIGTERM all open streams complete, held tokens are returned, and the exit
    status is 0."""
    got = []
    t = threading.Thread(target=lambda: got.extend(together(
        [lambda: f.chat(f.ports[0], n=150, stream=True) for _ in range(5)])))
    t.start()
    wait_for("streams", lambda: f.metric(f.ports[0], "open_requests") == 5)
    f.procs["i0"].send_signal(signal.SIGTERM)
    wait_for("not ready", lambda: call(
        f.ports[0], "GET", "/readyz").status == 503)
    a = f.chat(f.ports[0])
    assert (a.status, a.kind(), a.ran) == (503, "draining", "not-run")
    t.join()
    assert all(a.status == 200 and a.body.rstrip().endswith(b"[DONE]") for a in got)
    assert f.procs["i0"].wait(timeout=30) == 0
    for i in (1, 2):
        f.procs["i%d" % i].send_signal(signal.SIGTERM)
        assert f.procs["i%d" % i].wait(timeout=30) == 0
    held = 0
    listing = call(f.platform, "GET", "/objects?prefix=budget/").json()
    for o in listing:
        doc = call(f.platform, "GET", "/objects/" + o["name"]).json()
        held += sum(len(b[4]) for b in doc["budgets"].values())
    assert held == 0, "%d grants are still open" % held


class Endless:
    """Takes the place of a target; answers with `first`, then `piece` without end."""

    def __init__(self, port, first, piece):
        self.first, self.block = first, piece * max(1, 65536 // len(piece))
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(("127.0.0.1", port))
        self.socket.listen(64)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                c, _ = self.socket.accept()
            except OSError:
                return
            threading.Thread(target=self.answer, args=(c,), daemon=True).start()

    def answer(self, c):
        try:
            c.recv(65536)
            c.sendall(self.first)
            while True:
                c.sendall(self.block)
        except OSError:
            c.close()

    def close(self):
        self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()


class Silent(Endless):
    """Takes the place of a target and never answers."""

    def __init__(self, port):
        super().__init__(port, b"", b"x")

    def answer(self, c):
        time.sleep(60)
        c.close()


def stop_beside_silent_targets(f, n=24):
    """More chats than the targets have places for, at an instance that stops within 4 s.
    Returns the answers; None: there was none."""
    os.environ["LOFTPATH_STOP"] = "4"
    try:
        f.kill("i0")
        f.instance(0)
    finally:
        del os.environ["LOFTPATH_STOP"]
    wait_for("the table", lambda: call(f.ports[0], "GET", "/readyz").status == 200)
    for name in ["engine0", "engine1"]:
        f.kill(name)
    targets = [Silent(p) for p in f.engines]
    got = []

    def chat():
        try:
            got.append(f.chat(f.ports[0], timeout=20))
        except (OSError, http.client.HTTPException):
            got.append(None)

    threads = [threading.Thread(target=chat) for _ in range(n)]
    for t in threads:
        t.start()
    wait_for("requests", lambda: f.metric(f.ports[0], "open_requests") == n)
    f.procs["i0"].send_signal(signal.SIGTERM)
    for t in threads:
        t.join()
    for t in targets:
        t.close()
    print("  %d answered, %d not" % (sum(a is not None for a in got), got.count(None)))
    return got


def test_a_request_that_waits_at_the_end_of_a_stop_is_refused(f):
    """Guards against a closed connection for a request that never ran: it waited for a
    place until the process was gone."""
    got = [a for a in stop_beside_silent_targets(f) if a]
    assert len(got) >= 8, "%d were answered" % len(got)
    assert all((a.status, a.kind(), a.ran) == (503, "draining", "not-run")
               for a in got), [(a.status, a.kind(), a.ran) for a in got]


def test_a_request_that_runs_at_the_end_of_a_stop_is_answered(f):
    """Guards against the same for one that a target still works on."""
    got = stop_beside_silent_targets(f)
    assert None not in got, "%d got no answer" % got.count(None)


def test_all_instances_replaced_in_turn(f):
    """Under load, callers retry elsewhere after a refusal, and no request is lost."""
    stop, lost, answered = threading.Event(), [], [0]

    def caller(i):
        n = 0
        while not stop.is_set():
            n += 1
            for attempt in range(40):
                port = f.ports[(i + n + attempt) % 3]
                try:
                    a = f.chat(port, n=10, stream=True, key="c%d-%d" % (i, n))
                except ConnectionRefusedError:
                    continue
                except (OSError, http.client.HTTPException) as e:
                    lost.append(repr(e))
                    break
                if a.status == 200 and a.body.rstrip().endswith(b"[DONE]"):
                    answered[0] += 1
                    break
                if a.ran != "not-run":
                    lost.append(a.body[:200])
                    break
                time.sleep(0.05)
            else:
                lost.append("refused everywhere")
    threads = [threading.Thread(target=caller, args=(i,)) for i in range(6)]
    for t in threads:
        t.start()
    try:
        for i in range(3):
            f.procs["i%d" % i].send_signal(signal.SIGTERM)
            assert f.procs["i%d" % i].wait(timeout=30) == 0
            f.instance(i)
            wait_for("the new one", lambda: call(
                f.ports[i], "GET", "/readyz").status == 200)
    finally:
        stop.set()
        for t in threads:
            t.join()
    assert not lost, lost[:3]
    assert answered[0] > 50, answered[0]


def test_a_data_centre_is_lost(f):
    """Both instances of nord crash at once; the remaining one serves."""
    for p in f.ports * 2:
        assert f.chat(p, customer="small", n=10).status == 200
    f.kill("i0")
    f.kill("i2")
    wait_for("an answer", lambda: f.chat(f.ports[1], n=10).status == 200)
    together([lambda: f.chat(f.ports[1], customer="small", n=40)
              for _ in range(60)])
    assert f.engine_tokens() <= 3000 + 100, f.engine_tokens()
    assert sum(b["total"] - b["free"] for b in f.admin(
        f.ports[1], "budgets").json() if b["name"] == "small/*") <= 3000


def test_a_leaving_target_gets_no_new_work(f):
    def runs():
        return f.stats(f.engines[0])["runs"]
    assert any(f.chat(f.ports[0]).status == 200 for _ in range(10))
    call(f.platform, "PUT", "/instances/e0",
         json.dumps({"kind": "target", "state": "leaving"}))
    start = time.monotonic()
    wait_for("all to know", lambda: all(
        [t["leaving"] for t in f.admin(p, "targets").json() if t["name"] == "e0"][0]
        for p in f.ports), 3.0)
    assert time.monotonic() - start < 3.0
    before = runs()
    for i in range(20):
        assert f.chat(f.ports[i % 3], n=2).status == 200
    assert runs() == before


def test_a_cut_answer_is_not_passed_off_as_whole(f):
    for e in f.engines:
        f.fault(e, "cut")
    a = None
    try:
        a = f.chat(f.ports[0], n=20, stream=True)
        body = a.body
    except http.client.IncompleteRead as e:
        body = e.partial
    assert b"[DONE]" not in body and b"target-cut" in body, body
    for e in f.engines:
        f.fault(e, "none")
    assert f.chat(f.ports[0], n=5, stream=True).body.rstrip().endswith(b"[DONE]")


def peak_mb(f, name):
    with open("/proc/%d/status" % f.procs[name].pid) as status:
        return [int(l.split()[1]) for l in status if l.startswith("VmHWM")][0] / 1024


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS = {  # first bytes and those that are repeated
    "a line in small chunks": (CHUNKED, b"8\r\ndata: xx\r\n"),
    "a line in one chunk": (CHUNKED + b"7fffffff\r\n", b"x"),
    "a line until the end of the connection": (b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
    "blank lines": (CHUNKED, b"2\r\n\n\n\r\n"),
    "small chunks with long extensions": (CHUNKED, b"1;" + b"x" * 1000 + b"\r\nx\r\n"),
    "the size of a chunk": (CHUNKED, b"0"),
    "trailers": (CHUNKED + b"0\r\n", b"X-Field: value\r\n"),
    "no answer": (b"", b"\0"),
    "lines before an answer": (b"", b"\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "fields": (b"HTTP/1.1 200 OK\r\n", b"X-Field: value\r\n"),
    "a field": (b"HTTP/1.1 200 OK\r\nX-Field: ", b"x")}


def test_an_answer_without_end_ends_its_request(f):
    """A line without end was held, and searched again at each piece."""
    for name in ["engine0", "engine1", "booking"]:
        f.kill(name)
    for what, (first, piece) in ENDLESS.items():
        targets = [Endless(p, first, piece) for p in f.engines + [f.booking]]
        for kind in ("stream", "chat", "book"):
            began = time.monotonic()
            try:
                a = (f.book(f.ports[0], "E 1") if kind == "book" else
                     f.chat(f.ports[0], stream=kind == "stream", timeout=10))
                status, body = a.status, a.body
            except http.client.IncompleteRead as e:
                status, body = 502, e.partial  # broken off
            except OSError as e:
                status, body = 0, repr(e).encode()
            seconds = time.monotonic() - began
            print("  %s, %s: %s after %.2f s, peak %.0f MB, %r" % (
                what, kind, status, seconds, peak_mb(f, "i0"), body[:60]), flush=True)
            assert status == (409 if kind == "book" else 502), (what, kind, status, body)
            assert b"[DONE]" not in body, body[:100]
            assert seconds < 5.0, (what, kind, seconds)
            assert peak_mb(f, "i0") < 110, (what, kind, peak_mb(f, "i0"))
        for t in targets:
            t.close()


AT_ONCE = 60  # answers without end


def test_answers_without_end_at_once_stay_within_the_memory(f):
    """Guards against an instance that runs out of memory: each answer without end was
    held up to 8 MB, with no bound over all."""
    for name in ["engine0", "engine1", "booking"]:
        f.kill(name)
    targets = [Endless(p, b"HTTP/1.1 200 OK\r\n\r\n", b"x")
               for p in f.engines + [f.booking]]
    got = []

    def book(k):
        try:
            got.append(f.book(f.ports[0], "E %d" % k).status)
        except (OSError, http.client.HTTPException) as e:
            got.append(repr(e))

    threads = [threading.Thread(target=book, args=(k,)) for k in range(AT_ONCE)]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    print("  %s, peak %.0f MB" % ({g: got.count(g) for g in set(got)},
                                  peak_mb(f, "i0")), flush=True)
    for t in targets:
        t.close()
    assert all(isinstance(g, int) and g >= 400 for g in got), got
    assert peak_mb(f, "i0") < 110, "%.0f MB" % peak_mb(f, "i0")


def words_of(a):
    """The tokens of a complete stream."""
    lines = [l[6:] for l in a.body.decode().split("\n") if l.startswith("data: ")]
    assert lines[-1] == "[DONE]", lines[-1]
    return "".join(json.loads(l)["choices"][0]["delta"].get("content", "")
                   for l in lines[:-1]).split()


def test_a_broken_stream_goes_on(f):
    """The connection to the target breaks; the run continues where it was, once."""
    for e in f.engines:
        f.fault(e, "drop")
    got = together([lambda i=i: f.chat(f.ports[i % 3], n=20, stream=True)
                    for i in range(6)])
    for a in got:
        assert words_of(a) == ["%s-%d" % (a.id, k) for k in range(20)], a.body
    assert sum(f.stats(e)["runs"] for e in f.engines) == 6
    assert sum(f.stats(e)["resumed"] for e in f.engines) == 6
    assert sum(f.stats(e)["tokens"] for e in f.engines) == 120


def test_a_retry_takes_up_the_stream_of_a_lost_router(f):
    """Its router crashes; the retry elsewhere gets the same run, complete."""
    t = threading.Thread(target=lambda: together(
        [lambda: f.chat(f.ports[0], n=400, key="long", stream=True)]))
    t.start()
    wait_for("the stream", lambda: sum(
        f.stats(e)["runs"] for e in f.engines) == 1)
    f.kill("i0")
    t.join()
    a = wait_for("the loss to be seen", lambda: [a for a in [f.chat(
        f.ports[1], n=400, key="long", stream=True)] if a.status == 200])[0]
    assert words_of(a) == ["%s-%d" % (a.id, k) for k in range(400)], a.body[-200:]
    assert sum(f.stats(e)["runs"] for e in f.engines) == 1
    assert sum(f.stats(e)["tokens"] for e in f.engines) == 400
    bills = wait_for("the bill", lambda: [b for b in [
        f.admin(f.ports[1], "bills").json()] if b["requests"] == 1])[0]
    assert bills["budgets"]["c/*"] >= 400, bills


def test_bills_are_stored_beside_many_bookings(f):
    """Claims took all calls to the store, for as long as bookings went on."""
    stop = threading.Event()

    def book(i):
        while not stop.is_set():
            f.book(f.ports[i % 3], "plate-%d" % i)
    threads = [threading.Thread(target=book, args=(i,)) for i in range(30)]
    for t in threads:
        t.start()
    try:
        wait_for("bills", lambda: f.admin(
            f.ports[0], "bills").json().get("requests", 0) > 0, 30.0)
    finally:
        stop.set()
        for t in threads:
            t.join()


def test_requests_go_where_they_fit(f):
    """Adapter, version and data centre of a service select among the targets. The
    request to the engine names its model or adapter, not the service."""
    csv = f.table(8, 3000).split("\n")
    csv[0] += ",adapter,version"
    rows = [csv[0]] + [r + ",," for r in csv[1:] if r]
    rows = [r.replace("nord,8,,,,", "sued,8,,,tuned;other,v2") if "target,e1" in r
            else r for r in rows]
    rows += ["service,tuned,,,m,3,,8000,400,,,,,,,tuned,",
             "service,newer,,,m,3,,8000,400,,,,,,,,v2",
             "service,nord,,,m,3,,8000,400,,,nord,,,,,",
             "service,nowhere,,,m,3,,8000,400,,,west,,,,,"]
    f.apply("\n".join(rows) + "\n")
    for service, engine, model in (("tuned", 1, "tuned"), ("newer", 1, "m"),
                                   ("nord", 0, "m")):
        before = [f.stats(e)["runs"] for e in f.engines]
        for i in range(6):
            a = f.chat(f.ports[i % 3], model=service, n=2)
            assert a.status == 200, a.body
        after = [f.stats(e) for e in f.engines]
        ran = [a["runs"] - b for a, b in zip(after, before)]
        assert ran == ([6, 0], [0, 6])[engine], (service, ran)
        assert after[engine]["model"] == model, after[engine]
    a = f.chat(f.ports[0], model="nowhere", n=2)
    assert (a.status, a.kind(), a.ran) == (503, "no-target", "not-run"), a.body


def test_adapters_are_placed_by_fenced_orders(f):
    """The home of a pool has targets load the adapters that services need, and
    requests go only to these targets. Its successor continues with a higher fence."""
    def edit(least):
        csv = f.table(8, 3000).split("\n")
        rows = [csv[0] + ",adapter,loads,least"] + [r + ",,," for r in csv[1:] if r]
        rows = [r[:-3] + ",,1," if ",nord,8,," in r else r for r in rows]
        rows += ["service,tuned,,,m,3,,8000,400,,,,,,,tuned,,%d" % least]
        f.apply("\n".join(rows) + "\n")

    def loaded():
        return [e for e in f.engines if "tuned" in f.stats(e)["adapters"]]

    edit(1)
    wait_for("the adapter", lambda: f.chat(f.ports[0], model="tuned").status == 200)
    assert len(loaded()) == 1
    at = loaded()[0]
    before = f.stats(at)["runs"]
    for i in range(6):
        a = wait_for("the others to know", lambda: [a for a in [f.chat(
            f.ports[i % 3], model="tuned")] if a.status == 200])[0]
        assert a.status == 200
    assert f.stats(at)["runs"] == before + 6
    # The home is lost; its successor applies the next edit.
    homes = [i for i in range(3) if '"event":"place"' in open(
        os.path.join(f.dir, "i%d.log" % i)).read()]
    assert len(homes) == 1, homes
    f.kill("i%d" % homes[0])
    f.ports.remove(f.ports[homes[0]])
    edit(2)
    wait_for("both", lambda: len(loaded()) == 2)
    # An order with an older fence is refused and changes nothing.
    order = call(at, "POST", "/adapters?fence=0", '{"adapters":[]}')
    assert order.status == 409 and at in loaded(), order.status
    assert all(f.stats(e)["late_orders"] == (e == at) for e in f.engines)
    wait_for("the screen", lambda: f.cli("targets").stdout.count("tuned") == 2)


def test_failing_targets_make_no_storm(f):
    """When half of the targets fail at once, the number of attempts stays bounded."""
    f.fault(f.engines[0], "error")
    got = [f.chat(f.ports[i % 3], n=2) for i in range(60)]
    ok = sum(a.status == 200 for a in got)
    retries = sum(f.metric(p, "retries_total") for p in f.ports)
    assert ok >= 50, ok
    assert retries <= 30, retries
    assert all(a.kind() == "target-failed" for a in got if a.status != 200)


def test_a_chat_that_may_not_be_repeated(f):
    """A target fails after it accepted the request: no instance sends it again."""
    for e in f.engines:
        f.fault(e, "error")
    a = f.chat(f.ports[0], model="oncechat", key="once")
    assert (a.status, a.ran) == (502, "may-have-run"), (a.status, a.body, a.ran)
    for e in f.engines:
        f.fault(e, "none")
    b = f.chat(f.ports[1], model="oncechat", key="once")
    assert (b.status, b.kind()) == (409, "may-have-run"), (b.status, b.body)
    assert sum(f.stats(e)["runs"] for e in f.engines) == 0
    assert f.chat(f.ports[1], model="oncechat", key="other").status == 200


def test_a_caller_that_hangs_up_is_cancelled(f):
    s = socket.create_connection(("127.0.0.1", f.ports[0]))
    body = json.dumps({"model": "chat", "stream": True, "max_tokens": 400,
                       "messages": [{"role": "user", "content": "x"}]})
    s.sendall(("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: "
               "Bearer %s\r\nContent-Length: %d\r\n\r\n%s"
               % (KEYS["c"], len(body), body)).encode())
    assert s.recv(100)
    s.close()
    wait_for("the cancel", lambda: sum(
        f.stats(e)["cancelled"] for e in f.engines) == 1)
    wait_for("its end", lambda: f.metric(f.ports[0], "open_requests") == 0)
    assert sum(f.stats(e)["tokens"] for e in f.engines) < 400


def test_slow_and_half_requests_stop_nobody(f):
    idle = [socket.create_connection(("127.0.0.1", f.ports[0])) for _ in range(400)]
    for i, s in enumerate(idle):
        if i % 2:
            s.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nContent-Le")
    assert f.chat(f.ports[0]).status == 200
    with socket.create_connection(("127.0.0.1", f.ports[0])) as s:
        s.sendall(b"GET /healthz HTTP/1.1\r\nX: " + b"y" * 100000 + b"\r\n\r\n")
        s.settimeout(10)
        first = s.recv(64)
        assert b" 431 " in first or b" 413 " in first or b" 400 " in first, first
    assert f.chat(f.ports[0]).status == 200
    for s in idle:
        s.close()


def test_operators(f):
    """The operators' command: concurrent edits, refusals, screens."""
    show = f.cli("show").stdout
    version = int(show.split("\n")[0].split()[-1])
    one = show.replace(",1000000,60", ",2000000,60")
    two = show.replace(",100000000,60", ",100000001,60")
    clash = show.replace(",1000000,60", ",3000000,60")
    paths = []
    for i, text in enumerate((one, two, clash)):
        paths.append(os.path.join(f.dir, "edit%d.csv" % i))
        with open(paths[-1], "w") as out:
            out.write(text)
    a, b = f.cli("apply", paths[0]), f.cli("apply", paths[1], port=f.ports[1])
    assert a.returncode == 0 and b.returncode == 0, a.stderr + b.stderr
    # An edit in progress raises no alarm at any instance.
    for p in f.ports:
        s = f.cli("status", port=p)
        assert "nothing" in s.stdout and s.returncode == 0, s.stdout
    c = f.cli("apply", paths[2])
    assert c.returncode == 3 and "column tokens was changed meanwhile" in c.stderr, \
        c.stderr
    assert "version %d" % (version + 2) in f.cli("show").stdout
    with open(paths[0], "w") as out:
        out.write("kind,name\ncustmer,x\n")
    d = f.cli("check", paths[0])
    assert d.returncode == 3 and "row 2" in d.stderr
    for command in ("budgets", "targets", "instances", "history", "bills"):
        r = f.cli(command)
        assert r.returncode == 0 and r.stdout, command
    s = f.cli("status").stdout
    assert "nothing" in s, s
    f.kill("engine0")
    # Matches the whole line: an instance's id may contain "e0".
    wait_for("the alarm", lambda: "engine" not in f.cli("status").stdout and
             "fails: e0\n" in f.cli("status").stdout)
    assert f.cli("status").returncode == 4
    assert f.cli("nonsense").returncode == 2


def main():
    red = known_red()
    names = sys.argv[2:] or [n for n in globals() if n.startswith("test_")]
    failed = []
    for name in names:
        start = time.monotonic()
        fleet = None
        try:
            fleet = Fleet()
            globals()[name](fleet)
            print("ok      %-45s %5.1f s" % (name, time.monotonic() - start))
        except Exception as e:
            if name in red:
                print("known red: %s %s" % (name, red[name].strip()))
            else:
                failed.append(name)
            print("not ok  %s: %s: %s" % (name, type(e).__name__, e))
            if fleet:
                for n in sorted(fleet.procs):
                    with open(os.path.join(fleet.dir, n + ".log")) as log:
                        for line in log.readlines()[-4:]:
                            print("    %s: %s" % (n, line.rstrip()[:300]))
        finally:
            if fleet:
                fleet.close()
        sys.stdout.flush()
    print("%d passed, %d failed" % (len(names) - len(failed), len(failed)))
    return 1 if failed else 0


if __name__ == "__main__":
    bound_sanitizer()
    sys.exit(main())
