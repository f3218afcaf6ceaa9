#!/usr/bin/env python3
"""upgrade.py: instances of the build in production are replaced one by one by
this one, and back, under load; real processes.

The build in production is the commit that deploy/system.toml names. Without it
in the history (a shallow clone) this says "not run" and fails nothing.

Usage: upgrade.py BUILD_DIR [SEED]"""
import os
import random
import re
import shutil
import subprocess
import sys
import tempfile
import threading
import time

from fleet import BUILD, Site, config, play_stream, wait_for

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
INSTANCES = 14  # readers speak for all from twelve on
TARGETS = 400   # a list that neighbours hand on
SEED = int(sys.argv[2]) if len(sys.argv) > 2 else random.randrange(10**6)


def production():
    with open(os.path.join(ROOT, "deploy", "system.toml")) as f:
        return re.search(r'^production = "(\w+)"', f.read(), re.M).group(1)


def git(*words, **more):
    return subprocess.run(["git", "-C", ROOT] + list(words), capture_output=True,
                          **more)


def build_old(commit, into):
    """The program of that commit; None: it is not in the history."""
    got = git("archive", commit)
    if got.returncode != 0:
        return None
    subprocess.run(["tar", "-x", "-C", into], input=got.stdout, check=True)
    subprocess.run(["sh", "deploy/build.sh"], cwd=into, check=True,
                   stdout=subprocess.DEVNULL)
    return os.path.join(into, "target", "bin", "loftpathd")


class Load:
    """Callers of all kinds, each at an instance that is ready; what they saw."""

    def __init__(self, s, dice):
        self.s, self.dice, self.stop = s, dice, False
        self.ready = set(range(INSTANCES))
        self.served = self.refused = 0
        self.broken, self.once = [], []
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=self.run) for _ in range(4)]
        for t in self.threads:
            t.start()

    def one(self, i, kind):
        with self.lock:
            self.s.next_id += 1
            name = "up%d" % self.s.next_id
        calls = {
            "safe": lambda: self.s.call("/safe/x", i=i, X_Loftpath_Attempt_Id=name),
            "once": lambda: self.s.call("/once/x", "POST", b"b", i=i,
                                        X_Loftpath_Attempt_Id=name),
            "chat": lambda: self.s.chat(20, i=i, X_Loftpath_Attempt_Id=name)}
        a = calls[kind]()
        if a.status == 200:
            self.served += 1
        elif a.status in (402, 429, 503) and a.headers["loftpath-ran"] == "not-run":
            self.refused += 1
        else:
            self.broken.append((kind, i, a.status))
        if kind == "once":
            self.once.append((name, a.status))

    def run(self):
        while not self.stop:
            with self.lock:
                i = self.dice.choice(sorted(self.ready))
                kind = self.dice.choice(("safe", "once", "chat"))
            try:
                self.one(i, kind)
            except OSError as e:
                if i in self.ready:
                    self.broken.append((kind, i, repr(e)))
            time.sleep(0.01)

    def end(self):
        self.stop = True
        for t in self.threads:
            t.join()


def replace(s, load, i, binary):
    """A planned stop; then the other build comes up in its place."""
    with load.lock:
        load.ready.discard(i)
    s.processes[i].terminate()
    s.processes[i].wait(10)
    assert s.processes[i].returncode == 0, "instance %d cut something" % i
    s.binaries[i] = binary
    s.start(i)
    s.wait_ready(i)
    with load.lock:
        load.ready.add(i)


def check_once(s, load):
    for name, status in load.once:
        ran = sum(w.ran.count(name) for w in s.desks)
        assert ran <= 1, "%s ran %d times" % (name, ran)
        assert status != 503 or ran == 0, "%s ran though it was refused" % name


def spent(s):
    """Prompts that engines took in, twenty tokens each, and their events."""
    return sum(len(w.ran) for w in s.engines) * (20 + 2)


def change_all(s, load, binary, order, version):
    """Replaces them; half way the configuration changes, a target leaves."""
    for n, i in enumerate(order):
        replace(s, load, i, binary)
        if n != len(order) // 2:
            continue
        s.store.put("config", "main", config(version, prepaid=10**6,
                                             keys=("key-acme", "key-%d" % version)))
        wait_for("the new key everywhere", lambda: all(
            s.call("/safe/x", i=k, Authorization="Bearer key-%d" % version).status
            == 200 for k in sorted(load.ready)), 6)


def play(old, new):
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
        change_all(s, load, new, order[:INSTANCES // 2], 2)
        time.sleep(2)  # half and half
        s.desks[0].drain()
        time.sleep(2.5)
        before = len(s.desks[0].ran)
        change_all(s, load, new, order[INSTANCES // 2:], 3)
        change_all(s, load, old, order[:4], 4)
        load.end()
        assert len(s.desks[0].ran) == before, "work went to a target that left"
        check_once(s, load)
        assert spent(s) <= 10**6
        assert not load.broken, load.broken[:5]
        assert load.served > 50 and load.refused < load.served / 10, (
            load.served, load.refused)
        print("served %d, refused %d" % (load.served, load.refused))
    finally:
        load.end()
        s.close()


def main():
    commit = production()
    into = tempfile.mkdtemp()
    try:
        old = build_old(commit, into)
        if not old:
            print("not run: %s is not in this history" % commit)
            return 0
        print("seed %d, %s and this build side by side" % (SEED, commit[:7]))
        play(old, os.path.join(BUILD, "bin", "loftpathd"))
        print("ok upgrade in place")
        return 0
    finally:
        shutil.rmtree(into)


if __name__ == "__main__":
    sys.exit(main())
