#!/usr/bin/env python3
"""soak.py: instances as real processes under random faults; checks the guarantees
as callers and targets observe them.

Usage: soak.py BUILD_DIR [--seed N] [--seeds COUNT] [--seconds S] [--mutant M]

Without --seed it uses random seeds and prints each; --seed repeats a run. Mutants
(`double`: a target's proxy sends each request twice; `unfenced`: the store ignores
conditions) must make it fail. tests/soak-seeds.txt lists the seeds that have
failed, with their causes; --kept runs these too."""
import argparse
import http.client
import os
import random
import signal
import sys
import threading
import time

from fleet import KEY, Site, chunk, config, event, head, route, wait_for
from proxy import Proxy
from standins import Worker

DEADLINE_S = 2.0
LATE_S = 1.0        # max delay of an answer after its deadline
LEAVE_S = 2.5       # a leaving target serves for 2 s, plus a margin
QUIET_S = 3.0       # after the last fault before times are checked
PROMISES = (408, 421, 429, 503)  # "did not run and never will"
CALLERS = 6
EVENT_TOKENS = 1    # fleet.config


class Truth:
    """What callers and targets observed."""

    def __init__(self):
        self.lock = threading.Lock()
        self.runs = {}      # attempt -> times of its runs
        self.events = {}    # attempt -> events that the caller received
        self.tokens = {}    # attempt -> tokens of its prompt
        self.once = set()   # attempts that may run at most once
        self.refused = {}   # attempt -> status
        self.where = []     # (time, target, attempt)
        self.broken = []

    def fail(self, text, *args):
        with self.lock:
            self.broken.append(text % args)

    def ran(self, target, attempt):
        with self.lock:
            now = time.monotonic()
            self.runs.setdefault(attempt, []).append(now)
            self.where.append((now, target, attempt))


def play_for(truth):
    """Plays a target that streams the requested number of events at a steady pace;
    plain answers name the attempt. While `breaks` is set, each event may break the
    stream."""

    def play(w, c, headers):
        attempt = headers["x-loftpath-attempt-id"]
        truth.ran(w.name, attempt)
        if "x-loftpath-token-count" not in headers:
            time.sleep(0.01)
            data = ("answer to %s" % attempt).encode()
            c.sendall(head(attempt, "Content-Length: %d" % len(data)) + data)
            return True
        n = int(headers["x-loftpath-token-count"].split(",")[1])
        first = int(headers.get("last-event-id", "0")) + 1
        c.sendall(head(attempt, "Content-Type: text/event-stream",
                       "Transfer-Encoding: chunked"))
        for k in range(first, n + 1):
            if w.breaks and w.dice.random() < 0.05:
                return False
            c.sendall(chunk(event(k)))
            time.sleep(0.005)
        c.sendall(b"0\r\n\r\n")
        return True

    return play


class Caller(threading.Thread):
    """Sends requests one at a time on a connection that it keeps until that fails."""

    def __init__(self, soak, n):
        super().__init__(daemon=True)
        self.soak, self.n, self.dice = soak, n, random.Random(soak.seed * 100 + n)
        self.conn, self.at, self.count = None, 0, 0

    def run(self):
        while not self.soak.over:
            try:
                self.one()
            except (OSError, http.client.HTTPException):
                self.conn = None
            time.sleep(self.dice.random() * 0.04)

    def request(self):
        """Returns (attempt, kind, headers) of a random request."""
        self.count += 1
        attempt = "s%d-%d-%d" % (self.soak.seed, self.n, self.count)
        h = {"Host": "front", "X-Loftpath-Attempt-Id": attempt,
             "X-Loftpath-Deadline-Ms": str(int(DEADLINE_S * 1000))}
        h.update(KEY)
        kind = self.dice.choice(("chat", "chat", "safe", "once"))
        if kind == "chat":
            tokens, out = self.dice.randint(1, 200), self.dice.randint(1, 20)
            h["X-Loftpath-Token-Count"] = "%d,%d" % (tokens, out)
            self.soak.truth.tokens[attempt] = tokens
        if kind == "once":
            self.soak.truth.once.add(attempt)
        if self.dice.random() < 0.03:
            h["Authorization"] = "Bearer nobody"
        return attempt, kind, h

    def one(self):
        truth = self.soak.truth
        if not self.conn:
            self.at = self.dice.randrange(len(self.soak.site.processes))
            self.conn = self.soak.site.connect(self.at)
        attempt, kind, h = self.request()
        began = time.monotonic()
        method = "GET" if kind == "safe" else "POST"
        self.conn.request(method, "/%s/x" % kind, None if method == "GET" else b"b", h)
        r = self.conn.getresponse()
        truth.events[attempt] = 0
        body = b""
        try:
            body = r.read()
            whole = True
        except http.client.IncompleteRead as e:
            body, whole = e.partial, False
        finally:
            truth.events[attempt] = body.count(b"\n\n") if kind == "chat" else 0
        if r.getheader("Connection") == "close":
            self.conn = None
        self.check(attempt, kind, h, r, body, whole, time.monotonic() - began)
        if not whole:
            raise http.client.HTTPException("cut")

    def check(self, attempt, kind, h, r, body, whole, took):
        truth, soak = self.soak.truth, self.soak
        if r.status in PROMISES:
            truth.refused[attempt] = r.status
        if r.status in (429, 503) and not r.getheader("Retry-After"):
            truth.fail("%s: %d without Retry-After", attempt, r.status)
        if h["Authorization"] != KEY["Authorization"]:
            if r.status == 200:
                truth.fail("%s: served without a key", attempt)
            return
        if r.status == 200 and whole:
            n = int(h["X-Loftpath-Token-Count"].split(",")[1]) if kind == "chat" else 0
            expected = b"".join(event(k).encode() for k in range(1, n + 1)) if n else (
                "answer to %s" % attempt).encode()
            if body != expected:
                truth.fail("%s: a whole answer that is not its own: %r", attempt, body[:80])
        if took > DEADLINE_S + LATE_S and not soak.paused(self.at, took):
            truth.fail("%s: %d after %.1f s", attempt, r.status, took)


class Soak:
    def __init__(self, seed, seconds, mutant):
        self.seed, self.seconds, self.mutant = seed, seconds, mutant
        self.dice = random.Random(seed)
        self.truth, self.over = Truth(), False
        self.prepaid, self.version = 30000 + self.dice.randrange(30000), 1
        self.faults, self.pauses, self.left = [], [], []
        self.busy = set()  # instances with a signal fault in progress
        self.site = Site(instances=self.dice.choice((2, 3, 4, 5)),
                         prepaid=self.prepaid, store_proxy=Proxy)
        self.site.store.unfenced = mutant == "unfenced"
        self.links = []
        for w in self.site.desks + self.site.engines:
            self.dress(w)
        time.sleep(0.5)  # until all know the targets' addresses

    def dress(self, w):
        """Puts a target behind its own proxy."""
        w.play, w.dice, w.breaks = play_for(self.truth), random.Random(self.seed), False
        w.link = Doubler(w.address) if self.mutant == "double" else Proxy(w.address)
        w.entry["addr"] = w.link.address
        self.links.append(w.link)
        self.site.store.put("servers", w.name, w.entry)

    def awake(self):
        """Picks an instance without a signal fault and marks it busy; None if all are."""
        free = [i for i in range(len(self.site.processes)) if i not in self.busy]
        if not free:
            return None
        i = self.dice.choice(free)
        self.busy.add(i)
        return i

    # == faults; each returns its name and a function that ends it ==

    def fault_store(self):
        store, how = self.site.store, self.dice.choice(("down", "lose"))
        setattr(store, how, True)
        return how, lambda: setattr(store, how, False)

    def fault_cut(self):
        p = self.dice.choice(self.site.proxies)
        p.hold = set(self.dice.choice((("up",), ("down",), ("up", "down"))))
        return "cut %s" % sorted(p.hold), p.heal

    def fault_link(self):
        p = self.dice.choice(self.links)
        how = self.dice.choice(("delay", "hold", "closed", "reset"))
        if how == "delay":
            p.delay = 0.1
        elif how == "hold":
            p.hold = {"down"}
        elif how == "closed":
            p.closed = True
        p.reset() if how in ("closed", "reset") else None
        return "link %s" % how, p.heal

    def fault_breaks(self):
        w = self.dice.choice(self.site.engines)
        w.breaks = True
        return "breaks", lambda: setattr(w, "breaks", False)

    def fault_pause(self):
        i = self.awake()
        if i is None:
            return "no pause", lambda: None
        p = self.site.processes[i]
        p.send_signal(signal.SIGSTOP)
        mark = [i, time.monotonic(), None]
        self.pauses.append(mark)

        def resume():
            mark[2] = time.monotonic()
            self.busy.discard(i)
            if p.poll() is None:
                p.send_signal(signal.SIGCONT)
        return "pause %d" % i, resume

    def fault_end(self):
        """Kills or stops an instance, then restarts it."""
        i = self.awake()
        if i is None:
            return "no end", lambda: None
        p, how = self.site.processes[i], self.dice.choice((signal.SIGKILL, signal.SIGTERM))
        p.send_signal(how)

        def restart():
            if p.poll() is None and how == signal.SIGTERM:
                try:
                    p.wait(6)
                except Exception:
                    self.truth.fail("instance %d did not stop in 6 s", i)
                    p.kill()
            p.wait()
            if how == signal.SIGTERM and p.returncode not in (0, 3):
                self.truth.fail("instance %d ended with %d", i, p.returncode)
            self.busy.discard(i)
            self.site.start(i)
        return "%s %d" % (how.name, i), restart

    def fault_leave(self):
        """A target announces that it leaves; another one joins."""
        kind = self.dice.choice(("desks", "engines"))
        pool = getattr(self.site, kind)
        w = pool.pop(0)
        new = Worker(("127.0.0.1", 0), self.site.store, "%s-%d" % (w.name, self.version),
                     w.entry["service"])
        pool.append(new)
        self.dress(new)
        w.drain()
        self.left.append((time.monotonic(), w.name))
        return "leave %s" % w.name, lambda: None

    def fault_conf(self):
        self.version += 1
        self.prepaid += self.dice.randrange(4000)
        self.site.store.put("config", "main", config(self.version, prepaid=self.prepaid))
        return "top-up", lambda: None

    KINDS = (fault_store, fault_cut, fault_link, fault_breaks, fault_pause,
             fault_end, fault_end, fault_leave, fault_conf)

    # == the run ==

    def play(self):
        callers = [Caller(self, n) for n in range(CALLERS)]
        for c in callers:
            c.start()
        end, open_faults = time.monotonic() + self.seconds, []
        while time.monotonic() < end:
            time.sleep(self.dice.random() * 0.8)
            if len(open_faults) < 3:
                name, heal = self.dice.choice(self.KINDS)(self)
                began = time.monotonic()
                open_faults.append((began + self.dice.random() * 3, began, name, heal))
            for f in [f for f in open_faults if f[0] < time.monotonic()]:
                open_faults.remove(f)
                self.heal(f)
        for f in open_faults:
            self.heal(f)
        quiet_from = time.monotonic()
        time.sleep(QUIET_S)
        self.check_serves(quiet_from)
        self.over = True
        for c in callers:
            c.join(DEADLINE_S + 5)
        self.check_end()

    def heal(self, f):
        f[3]()
        self.faults.append((f[1], time.monotonic(), f[2]))

    def paused(self, i, took):
        """Whether that instance was paused during the last `took` seconds."""
        now = time.monotonic()
        return any(p[0] == i and (p[2] or now) > now - took for p in self.pauses)

    def check_serves(self, quiet_from):
        """Checks that requests of plain services are served again after the faults."""
        for i in range(len(self.site.processes)):
            wait_for("instance %d" % i, lambda: self.site.ready(i), 5)
            status = self.site.call("/safe/x", i=i).status
            if status != 200:
                self.truth.fail("instance %d answers %d %.1f s after the faults", i,
                                status, time.monotonic() - quiet_from)

    def calm(self, start, end):
        """Whether no fault was active from QUIET_S before `start` to `end`."""
        return not any(a < end and b > start - QUIET_S for a, b, name in self.faults
                       if not name.startswith(("leave", "top-up", "breaks")))

    def check_end(self):
        t = self.truth
        for a, status in t.refused.items():
            if a in t.runs:
                t.fail("%s: refused with %d, and it ran", a, status)
        for a in t.once:
            if len(t.runs.get(a, ())) > 1:
                t.fail("%s: may run once, ran %d times", a, len(t.runs[a]))
        spent = sum(t.tokens[a] + EVENT_TOKENS * t.events.get(a, 0)
                    for a in t.runs if a in t.tokens)
        if spent > self.prepaid:
            t.fail("%d tokens were spent of %d", spent, self.prepaid)
        for at, name in self.left:
            for when, target, a in t.where:
                if target == name and when > at + LEAVE_S and self.calm(at, when):
                    t.fail("%s: ran at %s %.1f s after that said it leaves", a,
                           name, when - at)

    def close(self):
        self.over = True
        for p in self.site.processes:
            if p.poll() is None:
                p.send_signal(signal.SIGCONT)
        self.site.close()
        for p in self.links:
            p.close()


class Doubler(Proxy):
    """The mutant proxy that sends every request twice."""

    def _pump(self, a, b, direction, pair):
        if direction == "down":
            super()._pump(a, b, direction, pair)
            return
        try:
            while True:
                data = a.recv(65536)
                if not data:
                    return
                b.sendall(data + data if data.startswith((b"GET", b"POST")) else data)
        except OSError:
            return


def run(seed, seconds, mutant):
    s = Soak(seed, seconds, mutant)
    try:
        s.play()
    except AssertionError as e:
        s.truth.fail("%s", e)
    finally:
        s.close()
    t = s.truth
    print("%s seed %d: %d instances, %d attempts ran, %d refused, faults: %s" % (
        "FAILED" if t.broken else "ok", seed, len(s.site.processes), len(t.runs),
        len(t.refused), ", ".join(f[2] for f in s.faults)), flush=True)
    for b in t.broken[:10]:
        print("  " + b)
    if t.broken:
        print("  logs in %s" % s.site.dir, flush=True)
    return not t.broken


def kept_seeds():
    path = os.path.join(os.path.dirname(os.path.abspath(__file__)), "soak-seeds.txt")
    with open(path) as f:
        return [int(line.split()[0]) for line in f if line[:1].isdigit()]


def main():
    a = argparse.ArgumentParser(description=__doc__)
    a.add_argument("build")
    a.add_argument("--seed", type=int)
    a.add_argument("--seeds", type=int, default=1)
    a.add_argument("--seconds", type=float, default=10.0)
    a.add_argument("--mutant", choices=("double", "unfenced"))
    a.add_argument("--kept", action="store_true")
    o = a.parse_args()
    seeds = [random.SystemRandom().randrange(1 << 20) for _ in range(o.seeds)]
    if o.seed is not None:
        seeds = [o.seed + k for k in range(o.seeds)]
    if o.kept:
        seeds = kept_seeds() + seeds
    passed = sum(run(s, o.seconds, o.mutant) for s in seeds)
    print("%d passed, %d failed" % (passed, len(seeds) - passed))
    return 0 if passed == len(seeds) else 1


if __name__ == "__main__":
    sys.exit(main())
