#!/usr/bin/env python3
"""upgrade.py: under load, instances of the build in production are replaced one by
one by this build, and some are rolled back; real processes.

Usage: upgrade.py BUILD_DIR [SEED]"""
import random
import sys
import time

from builds import NEW, beside_production
from callers import Load, check_told, spent
from fleet import Site, config, play_stream, wait_for

INSTANCES = 14  # from twelve on, readers read the store for all
TARGETS = 400   # a list that neighbours forward
SEED = int(sys.argv[2]) if len(sys.argv) > 2 else random.randrange(10**6)


def replace(s, load, i, binary):
    """Stops the instance as planned, then starts the other build in its place."""
    with load.lock:
        load.ready.discard(i)
    s.processes[i].terminate()
    s.processes[i].wait(10)
    assert s.processes[i].returncode == 0, "instance %d aborted requests" % i
    s.binaries[i] = binary
    s.start(i)
    s.wait_ready(i)
    with load.lock:
        load.ready.add(i)


def change_all(s, load, binary, order, version):
    """Replaces the instances in `order`; halfway the configuration changes."""
    for n, i in enumerate(order):
        replace(s, load, i, binary)
        if n != len(order) // 2:
            continue
        s.store.put("config", "main", config(version, prepaid=10**6,
                                             keys=("key-acme", "key-%d" % version)))
        wait_for("the new key everywhere", lambda: all(
            s.call("/safe/x", i=k, Authorization="Bearer key-%d" % version).status
            == 200 for k in sorted(load.ready)), 6)


def play(old):
    dice = random.Random(SEED)
    Site.binary_of = lambda self, i: self.binaries.get(i, old)
    Site.binaries = {}
    s = Site(instances=INSTANCES, prepaid=10**6)
    for w in s.engines:
        w.play = play_stream(2)
    load = Load(s, dice)
    try:
        s.store.page = 100
        for k in range(TARGETS):
            s.store.put("servers", "z%03d" % k, {
                "service": "engine", "zone": "a", "slots": 4, "state": "draining",
                "addr": "127.9.%d.%d:9" % (k // 250, k % 250 + 1),
                "cold_left_ms": 0})
        order = random.Random(SEED).sample(range(INSTANCES), INSTANCES)
        change_all(s, load, NEW, order[:INSTANCES // 2], 2)
        time.sleep(2)  # half of the instances run each build
        s.desks[0].drain()
        time.sleep(2.5)
        before = len(s.desks[0].ran)
        change_all(s, load, NEW, order[INSTANCES // 2:], 3)
        change_all(s, load, old, order[:4], 4)
        load.end()
        assert len(s.desks[0].ran) == before, "work went to a target that left"
        check_told(s, load)
        assert spent(s) <= 10**6
        assert not load.broken, load.broken[:5]
        assert load.served > 50 and load.refused < load.served / 10, (
            load.served, load.refused)
        print("served %d, refused %d" % (load.served, load.refused))
        return 0
    finally:
        load.end()
        s.close()


if __name__ == "__main__":
    print("seed %d" % SEED)
    sys.exit(beside_production(play))
