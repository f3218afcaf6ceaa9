#!/usr/bin/env python3
"""versions_soak.py: random faults while targets of two versions are replaced by each
other (versions.py): instances are killed, stopped and paused, the store is down or
loses responses, all targets of a version leave and come back. Callers take their
streams up at any instance. Each seed is one run of 20 s.

Guards against streams that hold events of two versions, or with a gap.

Usage: versions_soak.py BUILD_DIR [--seeds N] [--seed FIRST]"""
import random
import sys

from faults import Faults
from fleet import run_seeds
from versions import Load, Versions

INSTANCES = 4
STRUCK_S, QUIET_S = 16.0, 3.0


class Releases(Faults):
    """Faults that also replace targets."""

    def __init__(self, s, versions, dice):
        super().__init__(s, dice)
        self.versions = versions

    def replace(self):
        e = self.dice.choice(self.versions.engines)
        self.versions.replace(e, self.dice.choice(["v1", "v2", "v3"]))

    def drop_version(self):
        """All targets of a version end at once; others start."""
        version = self.dice.choice(self.versions.engines).version
        for e in self.versions.of(version):
            self.versions.remove(e)
            self.versions.add(self.dice.choice(["v1", "v2"]))


def play(s, seed):
    dice = random.Random(seed)
    versions = Versions(s, {"v1": 4, "v2": dice.randrange(5)},
                        breaks=dice.choice([0.0, 0.1, 0.25]),
                        lengthless=dice.random() < 0.3)
    faults = Releases(s, versions, dice)
    load = Load(s, leaves=0.4, seed=seed)
    faults.strike(STRUCK_S, [faults.restart, faults.stop, faults.freeze, faults.outage,
                             faults.lost_answers, faults.restart_all, faults.replace,
                             faults.replace, faults.replace, faults.drop_version])
    for i in range(INSTANCES):
        s.wait_ready(i)
    faults.strike(QUIET_S, [faults.replace])
    load.stop()
    load.check(least=10, going_on=False)


if __name__ == "__main__":
    sys.exit(run_seeds(play, INSTANCES))
