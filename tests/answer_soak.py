#!/usr/bin/env python3
"""answer_soak.py: how answers end while targets and instances do. Targets are
processes of their own that are killed, drained and started again, also under their
addresses; their answers are framed by a length, by chunks or by the end of their
connection, and some break off, come twice or pause (fakes/answers.py). Instances are
killed, stopped as planned and cut off from all targets, and configurations change, all
at once. Callers keep their connections, read slowly, or leave (answer_callers.py).
Each seed is one run of 20 s.

Guards against answers that look whole and are cut short, or hold parts of two runs;
requests that run twice, or ran although they were refused; planned stops that cut
answers; and instances that end by themselves.

Usage: answer_soak.py BUILD_DIR [--seeds N] [--seed FIRST]"""
import collections
import http.client
import itertools
import math
import json
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time

from answer_callers import Caller, KINDS, Plan, PROMISES, UNSAFE, version_of
from fleet import BASE, BUILD, Site, config, route, run_seeds, wait_for
from partition import Path

STRUCK_S = 11.0
EVERY_S = (0.1, 0.5)       # between two faults
CALLERS = (20, 40)
DESKS, ENGINES = 5, 5
LAPSE_S = 1.0              # from a target's end to the removal of its entry
BACK_S = 2.0               # from its end to its restart
DRAIN_S, LEAVE_S = 3.0, 3.0  # a draining target serves for so long, and a while
MAX_DOWN = 2               # targets of one service, at once
STOP_LEFT_S = 2.0          # a stop cuts no answer that ends within this
STOP_LIMIT_S = 8.0
# A target that is killed within this after the end of an answer without framing can't
# be told from one that is killed within it (LIMIT_END_CHECK_DELAY_MS, and a connection).
END_CHECK_S = 0.1
CONTACT_S = 3.0  # after a disruption, a stop may not be what cut an answer
SHOWN = 3                  # faults of each cause
SEEN_S = 0.1               # from the end of a process to its callers' notice
START_S = 0.5              # until a process handles SIGTERM
ROUTE_TIMEOUT_MS = (8000, 9000)
MAX_ATTEMPTS = 3
CALM_S = 20.0              # after the faults, until all is served again
CALM_TRIES = 4             # of each kind at each instance, which must be served
PROGRAM = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "fakes",
                       "answers.py")


# == targets ==


class Ports:
    """Loopback ports that no other process is given while they are unused."""

    def __init__(self, n):
        self.guards, self.free = [], []
        for _ in range(n):
            guard = socket.socket()
            guard.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            guard.bind(("127.0.0.1", 0))
            self.guards.append(guard)
            self.free.append(guard.getsockname()[1])
        self.all = list(self.free)

    def close(self):
        for g in self.guards:
            g.close()


class Target:
    """A worker process and its entry. `ended_at`: when it was killed."""

    def __init__(self, folder, service, name, port):
        self.service, self.name, self.port = service, name, port
        self.ended_at, self.leaving = None, False
        self.log = os.path.join(folder, "answers-" + self.name)
        self.process = subprocess.Popen(
            [sys.executable, "-S", PROGRAM, "127.0.0.1:%d" % port, self.name,
             version_of(self.name), self.log], stdin=subprocess.PIPE)
        self.entry = {"service": service, "addr": "127.0.0.1:%d" % port, "zone": "a",
                      "version": version_of(self.name), "slots": 8, "state": "ready",
                      "cold_left_ms": 0}

    def lines(self):
        if not os.path.exists(self.log):
            return []
        with open(self.log) as f:
            return [json.loads(l) for l in f if l.endswith("\n")]


class Targets:
    """Starts, ends and replaces worker processes."""

    def __init__(self, s, seed):
        self.s, self.n, self.ended = s, 0, False
        self.dice = random.Random("%d targets" % seed)
        self.versions = self.dice.choice([["v1"], ["v1", "v2"]])
        self.lock, self.timers = threading.RLock(), []
        self.ports, self.all, self.running = Ports(4 * (DESKS + ENGINES)), [], []
        for service in ["desk"] * DESKS + ["engine"] * ENGINES:
            self.later(0, self.start, service, self.new_name(service))
        for t in self.timers:
            t.join()

    def new_name(self, service):
        self.n += 1
        return "%s%d-%s" % (service[0], self.n, self.dice.choice(self.versions))

    def start(self, service, name, port=None):
        with self.lock:
            if self.ended:
                return
            if port is None:
                port = self.ports.free.pop(0)
            t = Target(self.s.dir, service, name, port)
            self.all.append(t)
            self.running.append(t)
        wait_for("target " + t.name, lambda: self.accepts(t), 20)
        self.s.store.put("servers", t.name, t.entry)

    @staticmethod
    def accepts(t):
        try:
            socket.create_connection(("127.0.0.1", t.port), 1).close()
            return True
        except OSError:
            return t.ended_at is not None

    def later(self, seconds, fn, *args):
        t = threading.Timer(seconds, fn, args)
        t.daemon = True
        t.start()
        self.timers.append(t)

    def few_left(self, service):
        n = sum(t.service == service and not t.leaving for t in self.running)
        return n <= (DESKS if service == "desk" else ENGINES) - MAX_DOWN

    def pick(self):
        """A target that may end now, or None."""
        with self.lock:
            t = self.dice.choice([t for t in self.running if not t.leaving] or [None])
            return t if t and not self.few_left(t.service) else None

    def end(self, t):
        with self.lock:
            if t.ended_at is not None:
                return
            t.ended_at = time.monotonic()
            t.process.kill()
            self.running.remove(t)
        t.process.wait()
        t.process.stdin.close()

    def kill(self):
        """Another one starts BACK_S later, half the time at the same address."""
        t, same = self.pick(), self.dice.random() < 0.5
        if not t:
            return
        self.end(t)
        self.later(LAPSE_S, self.s.store.remove, "servers", t.name)
        self.later(BACK_S, self.start, t.service, self.new_name(t.service),
                   t.port if same else None)
        if not same:
            self.later(BACK_S, self.ports.free.append, t.port)

    def drain(self):
        t, more_s = self.pick(), self.dice.uniform(0.0, LEAVE_S)
        if not t:
            return
        t.leaving = True
        self.s.store.put("servers", t.name, dict(t.entry, state="draining"))
        self.later(DRAIN_S, self.s.store.remove, "servers", t.name)
        self.later(DRAIN_S + more_s, self.end, t)
        self.later(DRAIN_S + more_s, self.start, t.service, self.new_name(t.service))

    def runs(self):
        """What the targets ran: attempt -> [(line, target, whether written whole)]."""
        runs = collections.defaultdict(list)
        for t in self.all:
            lines = t.lines()
            wrote = {l["attempt"] for l in lines if l["event"] == "wrote"}
            for l in lines:
                if l["event"] == "runs":
                    runs[l["attempt"]].append((l, t, l["attempt"] in wrote))
        for ran in runs.values():
            ran.sort(key=lambda r: r[0]["at"])
        return runs

    def close(self):
        with self.lock:
            self.ended = True
        for t in self.timers:
            t.cancel()
        for t in list(self.running):
            self.end(t)
        self.ports.close()


# == instances ==


class AnswerSite(Site):
    """A site without in-process workers, whose instances can be cut off."""

    def __init__(self, **more):
        self.paths, self.targets = {}, None
        more.update(desks=0, engines=0)
        super().__init__(**more)

    def env_of(self, i):
        if i not in self.paths:
            self.paths[i] = Path(self, i)
        return {"LD_PRELOAD": os.path.join(BUILD, "tests", "libredirect.so"),
                "REDIRECT_FILE": self.paths[i].file}

    def front(self, i):
        return self.ip(i), BASE

    def close(self):
        if self.targets:
            self.targets.close()
        super().close()
        for path in self.paths.values():
            path.close()


class Life:
    """A signal to one instance: SIGTERM, SIGKILL or one after the other."""

    def __init__(self, i, process):
        self.i, self.process = i, process
        self.term_at = self.kill_at = None
        self.ended_at = float("inf")

    def ended_within(self, a):
        """Whether the process ended during an answer."""
        return a.sent_at <= self.ended_at and (
            (self.kill_at or self.ended_at) <= a.ended_at + SEEN_S)

    def overlaps(self, a):
        began = self.term_at or self.kill_at or self.ended_at
        return began <= a.ended_at and a.sent_at <= self.ended_at

    def covers(self, at):
        """Whether the planned stop alone was under way."""
        return (self.term_at is not None and self.term_at <= at
                and (self.kill_at is None or at < self.kill_at))


class Ends:
    """Ends instances by signals that overlap, and starts them again."""

    def __init__(self, s):
        self.s, self.lock = s, threading.Lock()
        self.busy, self.lives, self.threads, self.wrong = set(), [], [], []

    def check(self):
        """Notes the instances that ended without a signal, and starts them again."""
        with self.lock:
            for i, p in enumerate(self.s.processes):
                if i not in self.busy and p.poll() is not None:
                    self.wrong.append("instance %d ended with status %d" % (
                        i, p.returncode))
                    self.s.start(i)

    def end(self, i, stop, kill_after_s, back_s):
        """`kill_after_s`: until SIGKILL; None: the instance ends its stop itself."""
        self.check()
        with self.lock:
            if i in self.busy or len(self.busy) >= len(self.s.processes) - 1:
                return
            self.busy.add(i)
        t = threading.Thread(target=self._end, args=(i, stop, kill_after_s, back_s))
        t.start()
        self.threads.append(t)

    def _end(self, i, stop, kill_after_s, back_s):
        p = self.s.processes[i]
        life = Life(i, p)
        self.lives.append(life)
        if stop:
            life.term_at = time.monotonic()
            p.send_signal(signal.SIGTERM)
        try:
            p.wait(STOP_LIMIT_S if kill_after_s is None else kill_after_s)
        except subprocess.TimeoutExpired:
            if kill_after_s is None:
                self.wrong.append("instance %d did not stop" % i)
            life.kill_at = time.monotonic()
            p.kill()
            p.wait()
        life.ended_at = time.monotonic()
        if life.kill_at is None and p.returncode not in (0, 3):
            self.wrong.append("instance %d stopped with status %d" % (i, p.returncode))
        time.sleep(back_s)
        self.s.start(i)
        time.sleep(START_S)
        with self.lock:
            self.busy.discard(i)

    def join(self):
        for t in self.threads:
            t.join()
        self.check()


# == one run ==


class Play:
    def __init__(self, s, seed):
        self.s, self.seed = s, seed
        self.dice = random.Random("%d faults" % seed)
        self.many = len(s.processes) > 3
        self.budget = self.dice.random() < 0.5
        self.version, self.cut = 1, set()
        self.cuts = []  # (time, the instances that are cut off from then on)
        self.made, self.counts = [], collections.Counter()
        self.calm_ids = itertools.count()
        self.configure()
        self.targets = s.targets = Targets(s, seed)
        self.ends = Ends(s)
        if self.many and self.dice.random() < 0.8:
            self.partition()

    def configure(self):
        self.version += self.dice.randint(1, 3)
        c = config(self.version, prepaid=10**8, routes=[
            route("t", "/talk/", "engine", "stream", resumable=False),
            route("x%d" % self.version, "/x%d/" % self.version, "desk", "safe")])
        for r in c["routes"]:
            r.update(timeout_ms=self.dice.randint(*ROUTE_TIMEOUT_MS),
                     max_attempts=MAX_ATTEMPTS)
        if not self.budget:
            del c["tenants"][0]["prepaid"]
        self.s.store.put("config", "main", c)
        self.counts["configurations"] += 1

    def partition(self):
        """Cuts all instances but one or two off from all targets, or heals all."""
        n = len(self.s.processes)
        self.cut = set() if self.cut else set(
            self.dice.sample(range(n), n - self.dice.randint(1, 2)))
        hang = self.dice.random() < 0.3
        for i, path in self.s.paths.items():
            port = (path.black_hole if hang else path.closed).getsockname()[1]
            path.lead(dict.fromkeys(self.targets.ports.all, port) if i in self.cut
                      else {})
        self.cuts.append((time.monotonic(), self.cut))
        self.counts["partitions"] += bool(self.cut)

    def was_cut(self, a):
        """Whether the instance of an answer was cut off from all targets during it,
        or within CONTACT_S before."""
        ends = [at for at, _ in self.cuts[1:]] + [math.inf]
        return any(a.i in cut and at <= a.ended_at and end > a.sent_at - CONTACT_S
                   for (at, cut), end in zip(self.cuts, ends))

    def end_instance(self, stop):
        i = self.dice.randrange(len(self.s.processes))
        kill_after_s = (0.0 if not stop else
                        self.dice.uniform(0.2, 3.0) if self.dice.random() < 0.25
                        else None)
        self.ends.end(i, stop, kill_after_s, self.dice.uniform(0.0, 1.0))

    def strike(self):
        faults = ([self.targets.kill] * 6 + [self.targets.drain] * 2 +
                  [lambda: self.end_instance(False)] * 3 +
                  [lambda: self.end_instance(True)] * 4 + [self.configure] * 2 +
                  [self.partition] * self.many)
        end = time.monotonic() + STRUCK_S
        while time.monotonic() < end:
            time.sleep(self.dice.uniform(*EVERY_S))
            self.dice.choice(faults)()
            self.ends.check()

    def run(self):
        """Returns what went wrong besides the answers."""
        missing = self.wait_calm()
        assert not missing, missing
        callers = [Caller(self.s, self.seed, k, self.made)
                   for k in range(self.dice.randint(*CALLERS))]
        try:
            self.strike()
        finally:
            self.ends.join()
            for c in callers:
                c.stop()
            for c in callers:
                c.join()
        if self.cut:
            self.partition()
        missing = self.wait_calm(CALM_TRIES)
        self.ends.check()
        return missing + self.ends.wrong + [w for c in callers for w in c.wrong]

    def wait_calm(self, tries=0):
        """Harmless requests of each kind are served at each instance, and then all of
        `tries` more. Returns what was not."""
        for i in range(len(self.s.processes)):
            self.s.wait_ready(i)
        missing = []
        threads = [threading.Thread(target=self.try_kind, args=(i, kind, tries, missing))
                   for i in range(len(self.s.processes)) for kind in KINDS]
        for t in threads:
            t.start()
        for t in threads:
            t.join()
        return missing

    def try_kind(self, i, kind, tries, missing):
        name = "c%d.%d" % (i, tries)
        try:
            wait_for("%s at instance %d" % (kind, i),
                     lambda: self.served(i, kind, name + ".w"), CALM_S)
        except AssertionError as e:
            missing.append(str(e))
            return
        served = sum(self.served(i, kind, "%s.%d" % (name, k)) for k in range(tries))
        if served < tries:
            missing.append("%d of %d %s served at instance %d" % (
                served, tries, kind, i))

    def served(self, i, kind, name):
        method, body = ("GET", None) if kind == "safe" else ("POST", b"x")
        try:
            for _ in range(2):  # a refusal says when to come back
                a = self.s.call("/%s/%s" % (kind, name), method, body, i=i,
                                X_Loftpath_Attempt_Id="%s.%s.%d" % (
                                    name, kind, next(self.calm_ids)),
                                X_Loftpath_Token_Count="20,60")
                if a.status != 503 or "retry-after" not in a.headers:
                    break
                time.sleep(float(a.headers["retry-after"]))
        except (OSError, http.client.HTTPException):
            return False
        author = a.headers.get("x-loftpath-server-stamp", "-")
        return a.status == 200 and a.body == Plan(
            author, version_of(author), a.id, "/%s/%s" % (kind, name)).body


# == checks ==


class Check:
    """Judges all answers of a run. `wrong`: what broke a rule."""

    def __init__(self, play, wrong):
        self.p, self.wrong, self.runs = play, list(wrong), play.targets.runs()
        self.causes = collections.Counter()
        self.slow_cut = self.sound_broken = 0
        for a in play.made:
            self.check(a)

    def note(self, a, cause, text):
        self.causes[cause] += 1
        text = "%s: %s at n%d%s, %s: %s; ran at %s" % (
            cause, a.path, a.i, ", HTTP/1.0" * a.old, a.how, text, self.describe(a))
        self.wrong.append(text)
        if self.causes[cause] <= SHOWN:
            print("   " + text, flush=True)

    def describe(self, a):
        out = []
        for line, t, wrote in self.runs[a.attempt]:
            plan = self.plan(a, line, t)
            killed = (t.ended_at is not None and not wrote and t.ended_at
                      <= a.ended_at + SEEN_S)
            out.append("%s (%s, %s%s)" % (t.name, plan.frame, plan.fault,
                                          ", killed" * killed))
        return ", ".join(out) or "no target"

    @staticmethod
    def plan(a, line, t):
        return Plan(t.name, version_of(t.name), a.attempt, a.path, line["first"])

    def check(self, a):
        n = len(self.runs[a.attempt])
        if a.fault:
            self.note(a, self.cause_of(a), a.fault)
        if a.kind in UNSAFE and n > 1:
            self.note(a, "ran twice", "it ran %d times" % n)
        if a.kind in UNSAFE and n > 0 and a.status in PROMISES:
            self.note(a, "refused", "status %d" % a.status)
        if a.how in ("broken", "nothing"):
            self.check_break(a)

    def cause_of(self, a):
        """What made an answer wrong, for the counts."""
        if not a.fault.startswith("short"):
            return "spliced" if a.fault.startswith("spliced") else "other"
        if ", killed" in self.describe(a):
            return "target killed"
        if a.old and a.how == "fin" and self.stops(a):
            return "HTTP/1.0, instance ended"
        return "gateway ended" if self.lost_gateway(a) else "short"

    def stops(self, a):
        return [l for l in self.p.ends.lives if l.i == a.i and l.overlaps(a)]

    def lost_gateway(self, a):
        """Whether another instance ended meanwhile, which may have been its gateway:
        instances use tunnels also when some targets have ended at once."""
        return any(l.i != a.i and l.ended_within(a) for l in self.p.ends.lives)

    def check_break(self, a):
        """A break counts against a planned stop if the only run was a sound one that
        would have ended in time."""
        if len(self.runs[a.attempt]) != 1:
            return
        line, t, _ = self.runs[a.attempt][0]
        plan = self.plan(a, line, t)
        end = line["at"] + plan.duration_s
        shown_at = end + (END_CHECK_S if plan.frame in ("neither", "old") else 0)
        if not plan.sound or (t.ended_at is not None and t.ended_at < shown_at):
            return
        if a.slow:
            self.slow_cut += 1
            return
        if self.lost_gateway(a) or self.p.was_cut(a):
            return
        stops = self.stops(a)
        self.sound_broken += not stops
        for l in stops:
            if l.covers(a.ended_at) and end < l.term_at + STOP_LEFT_S:
                self.note(a, "cut by a stop", "%.2f s after SIGTERM, it would have "
                          "ended after %.2f s" % (a.ended_at - l.term_at,
                                                  end - l.term_at))

    def print(self):
        made, lives = self.p.made, self.p.ends.lives
        by = collections.Counter(
            (a.kind, a.how if a.status == 200 or not a.whole else a.status)
            for a in made)
        for kind in ("safe", "once", "chat", "talk"):
            print("   %s: %s" % (kind, ", ".join("%s %d" % (k[1], n) for k, n in sorted(
                by.items(), key=str) if k[0] == kind)))
        ends = [(self.plan(a, l, t), wrote, t) for a in made
                for l, t, wrote in self.runs[a.attempt]]
        closed = [e for e in ends if e[0].frame in ("neither", "old")]
        resumed = sum(a.kind == "chat" and a.whole and a.status == 200
                      and len(self.runs[a.attempt]) > 1 for a in made)
        print("   %d instances; targets killed %d; instances killed %d, stopped %d, "
              "both %d; %d configurations, %d partitions" % (
                  len(self.p.s.processes),
                  sum(t.ended_at is not None for t in self.p.targets.all),
                  sum(l.term_at is None for l in lives),
                  sum(l.kill_at is None for l in lives),
                  sum(None not in (l.term_at, l.kill_at) for l in lives),
                  self.p.counts["configurations"], self.p.counts["partitions"]))
        print("   %d runs; %d unframed, %d of them not written whole; %d streams went "
              "on within an answer, %d were taken up" % (
                  len(ends), len(closed), sum(not e[1] for e in closed), resumed,
                  sum(a.first > 1 for a in made)))
        print("   cut while read slowly %d (allowed); other breaks of sound answers "
              "%d; wrong: %s" % (self.slow_cut, self.sound_broken,
                                 dict(self.causes) or "none"), flush=True)


def instances_of(seed):
    """Three; in one of three seeds more, of which most have no path to targets."""
    dice = random.Random("%d instances" % seed)
    return dice.randint(5, 7) if dice.random() < 1 / 3 else 3


def play(s, seed):
    p = Play(s, seed)
    wrong = p.run()
    check = Check(p, wrong)
    check.print()
    for w in wrong[:SHOWN]:
        print("   " + w, flush=True)
    assert not check.wrong, "%d faults: %s" % (len(check.wrong), check.wrong[0])


if __name__ == "__main__":
    sys.exit(run_seeds(play, instances_of, site=AnswerSite))
