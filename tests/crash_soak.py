#!/usr/bin/env python3
"""crash_soak.py: random faults during repeats of a request that crashes targets
(crashes.py): instances are killed and paused, the store is down or loses
responses, engines exit by themselves or restart under their ids, and copies arrive
all at once. Each seed is one run of 20 s.

Usage: crash_soak.py BUILD_DIR [--seeds N] [--seed FIRST]"""
import random
import sys
import threading

from faults import Faults
from fleet import run_seeds
from pool import BAD, Stream, check_bound, harmless, repeat_bad, with_pool

INSTANCES = 3
PLAY_S, STRUCK_S = 20, 14  # seconds: the whole run, and its part with faults


class Ends(Faults):
    """Faults that also end engines and send concurrent copies of the request."""

    def __init__(self, s, pool, dice):
        super().__init__(s, dice)
        self.pool = pool

    def end_engine(self):
        running = [e for e in self.pool.engines if not e.ended]
        if len(running) > 3:
            self.pool.end(self.dice.choice(running), False)

    def burst(self):
        for _ in range(4):
            threading.Thread(target=Stream, args=(
                self.s, self.dice.randrange(len(self.s.processes)), BAD)).start()

    def strike_all(self, seconds):
        self.strike(seconds, [self.restart, self.freeze, self.outage,
                              self.lost_answers, self.end_engine, self.end_engine,
                              self.burst, self.restart_all])


def play(s, seed):
    dice = random.Random(seed)
    pool = with_pool(s)
    pool.again = dice.random() < 0.3
    faults = Ends(s, pool, dice)
    bad = repeat_bad(s, PLAY_S, every_s=dice.choice([0.1, 0.25, 0.6]))
    good = harmless(s, PLAY_S)
    faults.strike_all(STRUCK_S)
    bad.join(), good.join()
    sent = {m.id: m.instance for m in bad.made}
    wrongly_refused = [g for g in good.made if "ends-targets" in g.kind]
    assert not wrongly_refused, "%d harmless streams were refused" % len(wrongly_refused)
    check_bound(pool, 1, lambda at, a: a in sent and faults.in_touch(at, sent[a]))


if __name__ == "__main__":
    sys.exit(run_seeds(play, INSTANCES))
