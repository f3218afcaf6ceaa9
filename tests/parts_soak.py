#!/usr/bin/env python3
"""parts_soak.py: random faults beside requests with a part that crashes targets
(parts.py): instances are killed, stopped and paused, the store is down or loses
responses, engines end by themselves or restart under their ids, requests come in
bursts, some have a second such part. Each seed is one run of 20 s.

Guards against a part that reaches targets after it is known, and against sound
requests that are held.

Usage: parts_soak.py BUILD_DIR [--seeds N] [--seed FIRST]"""
import random
import sys

from faults import Faults
from fleet import run_seeds
from parts import (BAD_PART, BAD_TOO, FIRST, Caller, check_kept_away, own, sound,
                   with_bad)

INSTANCES = 3
PLAY_S, STRUCK_S = 20.0, 14.0


class Ends(Faults):
    """Faults that also end engines."""

    def __init__(self, s, pool, dice):
        super().__init__(s, dice)
        self.pool = pool

    def end_engine(self):
        running = [e for e in self.pool.engines if not e.ended]
        if len(running) > 3:
            self.pool.end(self.dice.choice(running), False)


def play(s, seed):
    dice = random.Random(seed)
    parts = [BAD_PART, BAD_TOO][:dice.choice([1, 1, 2])]
    pool = with_bad(s, *parts)
    pool.again = dice.random() < 0.3
    faults = Ends(s, pool, dice)
    b = Caller(s, dice.choice([0.1, 0.25, 0.6]), PLAY_S,
               lambda n: [FIRST, parts[n % len(parts)], own(n)], seed=seed,
               burst=dice.choice([1, 1, 3]))
    g = sound(s, PLAY_S)
    faults.strike(STRUCK_S, [faults.restart, faults.stop, faults.freeze, faults.outage,
                             faults.lost_answers, faults.end_engine, faults.end_engine,
                             faults.restart_all])
    b.join(), g.join()
    check_kept_away(pool, 1, lambda at, a: faults.in_touch(at, b.instances.get(a)),
                    parts=len(parts))
    held = [m for m in g.made if "ends-targets" in m.kind]
    assert not held, "%d sound requests were held" % len(held)


if __name__ == "__main__":
    sys.exit(run_seeds(play, INSTANCES))
