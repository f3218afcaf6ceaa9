#!/usr/bin/env python3
"""resumed_soak.py: random faults while callers take up the streams that break: instances
are lost one by one and all at once, cut off from each other and from the store, and stand
still; the store is away, forgets its history or comes back older; targets of several
versions join, leave, stand still and restart; configurations move the route. Each seed
is one run of 25 s.

Guards against streams of two versions or with a gap, and against streams that are lost
though the store is there.

Usage: resumed_soak.py BUILD_DIR [--seeds N] [--seed FIRST]"""
import random
import sys
import threading
import time

from faults import Faults
from fleet import run_seeds
from out_of_step import CutSite
from proxy import Proxy
from resumed import ShortEngine, Targets
from versions import EVENTS, Taken

STRUCK_S, QUIET_S = 18.0, 4.0
STARTS_S = 0.06  # between two streams
TRY_S = 4.0      # a caller tries for this long after its stream broke
PAUSE_S = 1.2    # of a target
SERVED = 0.9     # of the streams that begin after the faults are whole


class PausedEngine(ShortEngine):
    """Stands still while `paused` is set; its listener accepts connections."""

    paused = threading.Event()

    def answer(self, c, method, path, headers, body):
        while self.paused.is_set():
            time.sleep(0.02)
        return super().answer(c, method, path, headers, body)


class SoakTargets(Targets):
    kind = PausedEngine


class SoakSite(CutSite):
    """The first start of each instance may be one of the whole fleet."""

    def __init__(self, instances, **more):
        more["store_proxy"] = Proxy
        self.first_start = instances == 4
        super().__init__(instances, **more)

    def env_of(self, i):
        first = self.first_start and self.processes[i] is None
        return dict(super().env_of(i), **({"LOFTPATH_FIRST_START": "1"} if first else {}))

    def heal(self):
        for p in list(self.links.values()) + self.proxies:
            p.heal()


class Losses(Faults):
    def __init__(self, s, targets, dice):
        super().__init__(s, dice)
        self.targets, self.n = targets, 3

    def cut(self):
        n = len(self.s.processes)
        self.s.cut(self.dice.sample(range(n), self.dice.randrange(1, n)),
                   store=self.dice.random() < 0.6)
        time.sleep(self.dice.uniform(0.2, 5.0))
        self.s.heal()

    def forget(self):
        self.s.store.forget()

    def restore(self):
        self.s.store.restore(self.dice.uniform(0.5, 4.0))

    def join(self):
        self.n += self.dice.random() < 0.5
        self.targets.start("v%d" % self.n, 2)

    def leave(self):
        versions = {e.version for e in self.targets.engines}
        if len(versions) > 1:
            self.targets.leave(self.dice.choice(sorted(versions)), 0.2)

    def swap(self):
        """All instances are lost, and a version is replaced meanwhile."""
        for p in self.s.processes:
            p.kill()
            p.wait()
        self.leave()
        self.join()
        for i in range(len(self.s.processes)):
            self.s.start(i)

    def pause_targets(self):
        PausedEngine.paused.set()
        time.sleep(PAUSE_S)
        PausedEngine.paused.clear()

    def change(self):
        conf = dict(self.s.store.kinds["config"]["main"]["spec"])
        conf["version"] += 1
        conf["limits"] = dict(conf["limits"],
                              idle_timeout_ms=self.dice.randrange(3000, 6000))
        self.s.store.put("config", "main", conf)


class Callers:
    def __init__(self, s, seed):
        self.s, self.made, self.threads, self.seed = s, [], [], seed
        self.broke = self.gone_on = 0
        self.lock, self.stopping = threading.Lock(), False
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self):
        dice = random.Random(self.seed)
        while not self.stopping:
            t = threading.Thread(target=self._play, args=(dice.random(),))
            t.start()
            self.threads.append(t)
            time.sleep(STARTS_S)

    def _play(self, seed):
        dice, t = random.Random(seed), Taken(self.s)
        t.began_at, t.path = time.monotonic(), "/chat/%x" % dice.getrandbits(60)
        t.names_attempt = dice.random() < 0.8
        t.attempt(dice.randrange(len(self.s.processes)),
                  dice.randrange(2, EVENTS) if dice.random() < 0.2 else None)
        end, broke = time.monotonic() + TRY_S, 0 < t.last < EVENTS
        while 0 < t.last < EVENTS and time.monotonic() < end:
            if not t.attempt(dice.randrange(len(self.s.processes))):
                time.sleep(dice.uniform(0.02, 0.3))
        with self.lock:
            self.made.append(t)
            self.broke += broke
            self.gone_on += broke and t.last == EVENTS

    def stop(self):
        self.stopping = True
        self.thread.join()
        for t in self.threads:
            t.join()


def play(s, seed):
    dice = random.Random(seed)
    targets = SoakTargets(s, {"v1": 3, "v2": dice.choice([0, 0, 3])},
                          breaks=dice.choice([0.0, 0.1]),
                          lengthless=dice.random() < 0.3)
    losses, callers = Losses(s, targets, dice), Callers(s, seed)
    losses.strike(STRUCK_S, [
        losses.restart, losses.restart_all, losses.restart_all, losses.stop,
        losses.freeze, losses.outage, losses.lost_answers, losses.cut, losses.cut,
        losses.forget, losses.restore, losses.join, losses.leave, losses.swap,
        losses.pause_targets, losses.change])
    s.heal()
    for i in range(len(s.processes)):
        s.wait_ready(i)
    time.sleep(1.0)
    quiet_at = time.monotonic()
    time.sleep(QUIET_S)
    callers.stop()
    mixed = [t for t in callers.made if len(t.versions) > 1]
    joined = [t for t in callers.made if t.ids != list(range(1, len(t.ids) + 1))]
    # Without an attempt named there is no record to be found.
    late = [t for t in callers.made if t.began_at > quiet_at and t.names_attempt]
    whole = sum(t.last == EVENTS for t in late)
    print("   %d streams, %d of %d that broke ended whole, %d of two versions; %d of %d "
          "whole after the faults" % (len(callers.made), callers.gone_on, callers.broke,
                                      len(mixed), whole, len(late)), flush=True)
    assert not mixed, "%d streams of two versions: %s" % (len(mixed), mixed[0].attempts)
    assert not joined, "events %s" % joined[0].ids
    assert whole >= SERVED * len(late), "%d of %d whole: %s" % (
        whole, len(late), [(t.last, t.error) for t in late if t.last < EVENTS][:8])


def instances_of(seed):
    return 3 + seed % 3


if __name__ == "__main__":
    sys.exit(run_seeds(play, instances_of, site=SoakSite))
