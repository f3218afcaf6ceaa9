#!/usr/bin/env python3
"""out_of_step.py: instances that are cut off, or stand still, while targets of a new
version join. Callers whose streams began at the new version through other instances take
them up there.

Usage: out_of_step.py BUILD_DIR [TEST...]"""
import itertools
import os
import signal
import sys
import threading
import time

from fleet import BASE, BUILD, Site, run_in_groups, run_tests
from proxy import Proxy
from resumed import LONG_S, Targets
from versions import EVENTS, SETTLE_S, begin_at_once

INSTANCES = 3
GROUPS = 5       # of tests that run side by side
STREAMS = 20
DROPPED_S = 5.0  # until an instance that does not answer is no member any more
NOTICED_S = 0.3  # until the first question to it is lost
LEAST = 5        # streams of the new version that are taken up


class CutSite(Site):
    """A proxy stands between each two instances, and between each and the store."""

    def __init__(self, instances, **more):
        self.links = {(i, k): Proxy("%s:%d" % (self.ip(k), BASE + 2))
                      for i, k in itertools.permutations(range(instances), 2)}
        super().__init__(instances, **more)

    def env_of(self, i):
        path = os.path.join(self.dir, "redirect-%d" % i)
        with open(path, "w") as f:
            for (a, b), p in self.links.items():
                if a == i:
                    f.write("%s %s\n" % ("%s:%d" % p.upstream,
                                         p.address.split(":")[1]))
        return {"LD_PRELOAD": os.path.join(BUILD, "tests", "libredirect.so"),
                "REDIRECT_FILE": path}

    def cut(self, instances, store=True):
        """Cuts these instances off from the others and from the store."""
        for (a, b), p in self.links.items():
            if (a in instances) != (b in instances):
                p.hold = {"up", "down"}
        for i in instances if store else ():
            self.proxies[i].hold = {"up", "down"}

    def close(self):
        super().close()
        for p in self.links.values():
            p.close()


def release(s, cut):
    """All targets have had one version for long. `cut` is called, and targets of
    another version join. Returns streams that began at the last instance and have not
    ended."""
    targets = Targets(s, {"v1": 3})
    time.sleep(LONG_S)
    cut()
    targets.start("v2")
    time.sleep(SETTLE_S)
    made = begin_at_once(s, 2 * STREAMS, INSTANCES - 1, leave_at=4)
    return [t for t in made if 0 < t.last < EVENTS]


def check_taken_up(made, i=0):
    new = [t for t in made if t.versions == {"v2"}]
    for t in made:
        t.attempt(i)
    check_versions(made, new)


def check_versions(made, new):
    mixed = [t for t in made if len(t.versions) > 1]
    on = sum(t.last == EVENTS for t in made)
    print("   %d of %d went on, %d began at the new version, %d of two versions" % (
        on, len(made), len(new), len(mixed)), flush=True)
    assert len(new) >= LEAST, "only %d began at the new version" % len(new)
    assert not mixed, "%d streams of two versions" % len(mixed)


# Guards against streams of two versions: an instance that has lost all others and the
# store concluded from its own memory that there was one version.
def test_an_instance_that_is_cut_off_from_all(s):
    made = release(s, lambda: s.cut([0]))
    time.sleep(DROPPED_S)
    check_taken_up(made)


# Guards against the same before the others are dropped from its view.
def test_an_instance_that_has_just_been_cut_off(s):
    check_taken_up(release(s, lambda: s.cut([0])))


# Guards against the same where another one that is cut off with it agrees.
def test_two_instances_that_are_cut_off_together(s):
    made = release(s, lambda: s.cut([0, 1]))
    time.sleep(DROPPED_S)
    check_taken_up(made)


# Guards against the same at one that reaches the store, and against streams that are
# refused there though the store has their records.
def test_an_instance_that_is_cut_off_from_the_others_alone(s):
    made = release(s, lambda: s.cut([0], store=False))
    check_taken_up(made)
    assert all(t.last == EVENTS for t in made), [t.error for t in made
                                                 if t.last < EVENTS][:3]


# Guards against the same at an instance that stood still itself.
def test_an_instance_that_stood_still(s):
    made = release(s, lambda: s.processes[0].send_signal(signal.SIGSTOP))
    new = [t for t in made if t.versions == {"v2"}]
    callers = [threading.Thread(target=t.attempt, args=(0,)) for t in made]
    for c in callers:
        c.start()
    time.sleep(NOTICED_S)
    s.processes[0].send_signal(signal.SIGCONT)
    for c in callers:
        c.join()
    check_versions(made, new)


# Guards against streams of two versions at an instance that was cut off from the store
# for longer than its history: it listed the targets anew, and the version that came and
# left meanwhile is in no list.
def test_an_instance_that_missed_a_version(s):
    targets = Targets(s, {"v1": 3})
    time.sleep(LONG_S)
    s.cut([0])
    targets.start("v2")
    time.sleep(SETTLE_S)
    made = begin_at_once(s, 2 * STREAMS, INSTANCES - 1, leave_at=4)
    made = [t for t in made if 0 < t.last < EVENTS]
    targets.leave("v2")
    s.store.frozen = {"stream-origins", "stream-checkpoints"}
    for kind in ("stream-origins", "stream-checkpoints"):
        for name in list(s.store.kinds.get(kind, {})):
            s.store.remove(kind, name)
    s.store.forget()
    for p in s.processes[1:]:
        p.kill()
        p.wait()
    s.proxies[0].heal()
    s.proxies[0].reset()
    time.sleep(DROPPED_S)
    check_taken_up(made)


TESTS = {n: f for n, f in globals().items() if n.startswith("test_")}

if __name__ == "__main__":
    if not sys.argv[2:]:
        sys.exit(run_in_groups(list(TESTS), GROUPS))
    sys.exit(run_tests(TESTS, dict.fromkeys(TESTS, INSTANCES),
                       proxies=dict.fromkeys(TESTS, Proxy), site=CutSite))
