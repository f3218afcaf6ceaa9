#!/usr/bin/env python3
"""notice_soak.py: random faults with targets that leave, ask for pauses or state both
in their answers only (notices.py): instances are killed, paused and stopped as
planned, the store is down, loses answers, or comes back from an older copy. Callers
keep their connections. Each seed is one run of 20 s.

Usage: notice_soak.py BUILD_DIR [--seeds N] [--seed FIRST]"""
import random
import sys
import time

from faults import Faults
from fleet import config, run_seeds, wait_for
from limit_soak import CALLERS, PLAY_S, STRUCK_S, Caller
from notices import DRAIN_S, GRACE_S, Stating

INSTANCES, ENGINES = 4, 8
STAYING = 3        # engines that never leave
MAX_PAUSED = 2     # requests of one instance during a pause, as the users allow
PAUSES = [1.0, 2.0, 5.0]


class Noticed(Stating):
    """Records the answers that state a notice: (time, attempt, pause or None)."""

    def __init__(self, store, name, service):
        self.leaves, self.pause = False, None
        self.attempts, self.stated = [], []
        super().__init__(store, name, service)

    def answer(self, c, method, path, headers, body):
        if headers.get("x-loftpath-expect-instance") != self.name:
            return super().answer(c, method, path, headers, body)
        attempt = headers["x-loftpath-attempt-id"]
        self.attempts.append((time.monotonic(), attempt))
        pause = self.pause
        self.fields = ["Server-Leaving: 1"] if self.leaves else []
        if pause:
            done = self.reject(c, attempt, "Retry-After: %g" % pause)
            self.stated.append((time.monotonic(), attempt, pause))
            return done
        done = super().answer(c, method, path, headers, body)
        if self.fields:
            self.stated.append((time.monotonic(), attempt, None))
        return done


class Notices(Faults):
    def leave(self):
        """Half of those that leave can't tell the store."""
        e = self.dice.choice(self.s.engines[STAYING:])
        e.leaves = True
        if self.dice.random() < 0.5:
            e.drain()

    def pause(self):
        e = self.dice.choice(self.s.engines)
        e.pause = self.dice.choice(PAUSES)

    def resume(self):
        for e in self.s.engines:
            e.pause = None

    def restored(self):
        began = time.monotonic()
        self.s.store.restore(self.dice.uniform(1.0, 4.0))
        self.note(began, None)


def check(faults, engines, sent):
    """Checks what each instance sent to a target after its own answer stated it."""
    for e in engines:
        arrived = [(t, sent[a]) for t, a in e.attempts if a in sent]
        for told, attempt, pause in e.stated:
            i = sent.get(attempt)
            if i is None:
                continue
            end = told + pause if pause else float("inf")
            late = [t for t, j in arrived if j == i and t < end
                    and t > told + (GRACE_S if pause else DRAIN_S)
                    and not struck_since(faults, told, t, i)]
            bound = MAX_PAUSED if pause else 0
            assert len(late) <= bound, "%s got %d of instance %d after %s" % (
                e.name, len(late), i, "a pause of %g s" % pause if pause else
                "it had stated that it leaves")


def struck_since(faults, told, at, i):
    """Whether the instance was restarted or frozen in between; faults of the store
    excuse nothing."""
    return any(a < at and b > told and j == i for a, b, j in faults.struck)


def play(s, seed):
    dice = random.Random(seed)
    s.store.era = 1
    s.remove_workers(s.engines)
    s.store.put("config", "main", config(2, prepaid=10**7))
    s.engines[:] = [Noticed(s.store, "x%d" % k, "engine") for k in range(ENGINES)]
    for i in range(len(s.processes)):
        wait_for("instance %d to serve" % i, lambda: s.chat(5, i=i).status == 200, 20)
    faults = Notices(s, dice)
    sent, end = {}, time.monotonic() + PLAY_S
    callers = [Caller(s, sent, end, k) for k in range(CALLERS)]
    faults.strike(STRUCK_S, [faults.restart, faults.freeze, faults.stop, faults.outage,
                             faults.lost_answers, faults.restored, faults.leave,
                             faults.leave, faults.pause, faults.pause, faults.resume])
    for c in callers:
        c.join()
    print("   %d of %d served" % (sum(c.served for c in callers), len(sent)),
          flush=True)
    check(faults, s.engines, sent)


if __name__ == "__main__":
    sys.exit(run_seeds(play, INSTANCES))
