#!/usr/bin/env python3
"""limit_soak.py: random faults with targets that announce limits (limits.py):
instances are killed, paused and stopped as planned, the store is down, and limits
change, end or are malformed. Callers keep their connections. Each seed is one run
of 20 s.

Usage: limit_soak.py BUILD_DIR [--seeds N] [--seed FIRST]"""
import http.client
import random
import sys
import threading
import time

from faults import IN_TOUCH_S, Faults
from fleet import run_seeds
from limits import WINDOW_S, allowed, with_targets

INSTANCES, ENGINES, CALLERS = 4, 5, 12
PLAY_S, STRUCK_S = 20, 16  # seconds: the whole run, and its part with faults
PAUSE_S = 0.1              # max pause of a caller between two requests
LIMITS = ["0", "0.5", "1", "1.7", "4", "20"]


class Needs(Faults):
    """Also changes the limits that engines announce, and records when."""

    def __init__(self, s, engines, dice):
        super().__init__(s, dice)
        self.engines = engines
        self.named = {e.name: [] for e in engines}  # (time, limit or None)

    def name(self, engine, limit, words=None):
        engine.limit = words or limit
        self.named[engine.name].append(
            (time.monotonic(), float(limit) if limit else None))

    def change(self):
        self.name(self.dice.choice(self.engines),
                  self.dice.choice(LIMITS + [None]))

    def damage(self):
        """Announces a malformed limit. The last valid one may stay in force, so
        nothing is checked meanwhile."""
        self.name(self.dice.choice(self.engines), None, "many")

    def bound(self, engine, began):
        """Max requests that an engine may get in the window from `began` on; None
        if no limit holds for the whole window, or the first is too recent."""
        until, in_force = began + WINDOW_S, []
        words = self.named[engine.name]
        for k, (at, limit) in enumerate(words):
            end = words[k + 1][0] if k + 1 < len(words) else float("inf")
            if at < until and end > began - IN_TOUCH_S:
                in_force.append(limit)
        if not in_force or None in in_force or words[0][0] > began - IN_TOUCH_S:
            return None
        return allowed(max(in_force))


class Caller(threading.Thread):
    """Sends requests one at a time on a connection that it keeps until that fails.
    `sent`: attempt -> instance, of all callers."""

    def __init__(self, s, sent, end, seed):
        super().__init__()
        self.s, self.sent, self.end = s, sent, end
        self.dice, self.n, self.seed = random.Random(seed), 0, seed
        self.served = 0
        self.start()

    def run(self):
        conn = None
        while time.monotonic() < self.end:
            if not conn:
                i = self.dice.randrange(len(self.s.processes))
                conn = self.s.connect(i)
            try:
                self.served += self.request(conn, i)
            except (OSError, http.client.HTTPException):
                conn.close()
                conn = None
            time.sleep(PAUSE_S * self.dice.random())

    def request(self, conn, i):
        self.n += 1
        attempt = "c%d.%d" % (self.seed, self.n)
        self.sent[attempt] = i
        head = self.s.head(X_Loftpath_Token_Count="5,5")
        head["X-Loftpath-Attempt-Id"] = attempt
        conn.request("POST", "/chat/x", b"x", head)
        r = conn.getresponse()
        r.read()
        return r.status == 200


def check(faults, sent):
    """Checks the arrivals in each window from instances without a recent fault."""
    for e in faults.engines:
        arrivals = [t for t, a in zip(e.arrived, e.attempts)
                if a in sent and faults.in_touch(t, sent[a])]
        for began in arrivals:
            bound = faults.bound(e, began)
            n = sum(began <= t < began + WINDOW_S for t in arrivals)
            assert bound is None or n <= bound, "%s got %d, %g are allowed" % (
                e.name, n, bound)


def play(s, seed):
    dice = random.Random(seed)
    engines = with_targets(s, "engine", [None] * ENGINES)
    faults = Needs(s, engines, dice)
    for e in engines:
        if dice.random() < 0.7:
            faults.name(e, dice.choice(LIMITS))
    sent, end = {}, time.monotonic() + PLAY_S
    callers = [Caller(s, sent, end, k) for k in range(CALLERS)]
    faults.strike(STRUCK_S, [faults.restart, faults.freeze, faults.outage,
                             faults.lost_answers, faults.stop, faults.change,
                             faults.change, faults.change, faults.damage,
                             faults.restart_all])
    for c in callers:
        c.join()
    print("   %d of %d served" % (sum(c.served for c in callers), len(sent)),
          flush=True)
    check(faults, sent)


if __name__ == "__main__":
    sys.exit(run_seeds(play, INSTANCES))
