#!/usr/bin/env python3
"""mixed_soak.py: the build in production and this one together under random faults:
each start of an instance uses one of the two at random. Each seed is one run of
20 s: callers of all kinds on a small budget, or a request that crashes targets
(crash_soak.py).

Usage: mixed_soak.py BUILD_DIR [--seeds N] [--seed FIRST]"""
import random
import sys
import time

import crash_soak
from builds import NEW, beside_production
from callers import Load, check_told, spent
from faults import IN_TOUCH_S, Faults
from fleet import Site, config, play_stream, run_seeds, wait_for

INSTANCES = 4
STRUCK_S = 16   # seconds of faults
PREPAID = 6000  # enough for about three hundred chats
FORCE_S = 10    # until an accepted configuration is in force everywhere
LEFT_S = 3      # until all know of a leaving target


class Changes(Faults):
    """Also evacuates the data centre of the last desk."""

    def __init__(self, s, dice):
        super().__init__(s, dice)
        self.away = s.desks[-1]
        s.store.put("servers", self.away.name, dict(self.away.entry, zone="b"))

    def evacuate(self):
        self.s.store.put("evacuations", "b", {})
        time.sleep(IN_TOUCH_S)
        before = len(self.away.ran)
        time.sleep(1)
        assert len(self.away.ran) == before, "work went to an evacuated target"
        self.s.store.remove("evacuations", "b")


def play_callers(s, dice):
    s.store.put("config", "main", config(2, prepaid=PREPAID))
    for w in s.engines:
        w.play = play_stream(2)
    faults, load = Changes(s, dice), Load(s, dice)
    try:
        faults.strike(STRUCK_S, [faults.restart, faults.stop, faults.stop,
                                 faults.freeze, faults.outage,
                                 faults.lost_answers, faults.restart_all,
                                 faults.evacuate])
        for i in range(INSTANCES):
            s.wait_ready(i)
        s.desks[0].drain()
        time.sleep(LEFT_S)
        before = len(s.desks[0].ran)
        time.sleep(1)
        assert len(s.desks[0].ran) == before, "work went to a target that left"
        change_keys(s)
    finally:
        load.end()
    check_told(s, load)
    assert spent(s) <= PREPAID, spent(s)
    assert load.served > 50, (load.served, load.refused)
    print("   served %d, refused %d, %d tokens" % (
        load.served, load.refused, spent(s)), flush=True)


def change_keys(s):
    """Replaces the old key by a new one."""
    s.store.put("config", "main", config(3, prepaid=PREPAID, keys=("key-new",)))
    for key, status in (("key-new", 200), ("key-acme", 401)):
        wait_for("%d for %s everywhere" % (status, key), lambda: all(
            s.call("/safe/x", i=i, Authorization="Bearer " + key).status == status
            for i in range(INSTANCES)), FORCE_S)


def mixed(old):
    """All instances first run the build in production; each later start uses one
    of the two at random."""
    def binary_of(s, i):
        return s.dice.choice((old, NEW)) if hasattr(s, "dice") else old

    def play(s, seed):
        s.dice = random.Random(seed)
        for i in range(INSTANCES // 2):
            s.processes[i].terminate()
            s.processes[i].wait()
            s.start(i)
            s.wait_ready(i)
        if seed % 3 == 0:
            crash_soak.play(s, seed)
        else:
            play_callers(s, random.Random(seed))

    Site.binary_of = binary_of
    return run_seeds(play, INSTANCES)


if __name__ == "__main__":
    sys.exit(beside_production(mixed))
