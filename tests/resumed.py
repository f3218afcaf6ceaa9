#!/usr/bin/env python3
"""resumed.py: streams that callers take up after a loss of all instances go on, if
targets of the version that began them are there, and at no other version.

Usage: resumed.py BUILD_DIR [TEST...]"""
import random
import sys
import threading
import time

from fleet import Site, config, run_in_groups, run_tests
from rejoined import Releases
from versions import EVENTS, SETTLE_S, Engine, Taken

INSTANCES, MANY = 3, 8
GROUPS = 7        # of tests that run side by side
ROUNDS, EVERY_S = 4, 4.0  # losses, and the time from one to the next
STARTS_S = 0.05   # between two streams
TRY_S = 3.0       # a caller tries for this long after its stream broke
SHARE = 0.9       # of the streams that broke go on in that time
LEAST = 12        # streams that a test's losses break
CHECKPOINT_S = 3.0  # until one is written after a start
LONG_S = 31.0     # longer than instances remember versions for


class ShortEngine(Engine):
    """Streams for 0.4 s: most streams are younger than that when they break."""

    pause_s = 0.04


class Targets(Releases):
    """Their customers have no budget, which a loss of all would leave locked for some
    seconds."""

    kind = ShortEngine

    def __init__(self, s, counts, **more):
        super().__init__(s, counts, **more)
        conf = config(3)
        del conf["tenants"][0]["prepaid"]
        s.store.put("config", "main", conf)
        time.sleep(SETTLE_S)

    def serves(self, versions):
        return any(e.version in versions for e in self.engines)


class Callers:
    """Callers of streams at random instances, who take them up when they break."""

    def __init__(self, s, targets, every_s=STARTS_S):
        self.s, self.targets, self.every_s = s, targets, every_s
        self.made, self.broke, self.gone_on, self.left = [], [], [], []
        self.errors, self.threads = {}, []
        self.lock, self.stopping = threading.Lock(), False
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self):
        dice = random.Random(1)
        while not self.stopping:
            t = threading.Thread(target=self._play, args=(dice.random(),))
            t.start()
            self.threads.append(t)
            time.sleep(self.every_s)

    def _play(self, seed):
        dice, t = random.Random(seed), Taken(self.s)
        t.attempt(dice.randrange(len(self.s.processes)))
        if 0 < t.last < EVENTS:
            self._take_up(dice, t)
        with self.lock:
            self.made.append(t)

    def _take_up(self, dice, t):
        began_at, on = time.monotonic(), False
        while not on and time.monotonic() < began_at + TRY_S:
            on = t.attempt(dice.randrange(len(self.s.processes)))
            if not on:
                time.sleep(dice.uniform(0.02, 0.15))
        served = self.targets.serves(t.versions)
        with self.lock:
            if not served and not on:
                self.left.append(t)
                return
            self.broke.append(t)
            if on:
                self.gone_on.append(t)
            else:
                self.errors[t.error] = self.errors.get(t.error, 0) + 1

    def stop(self):
        self.stopping = True
        self.thread.join()
        for t in self.threads:
            t.join()

    def check_joints(self):
        mixed = [t for t in self.made if len(t.versions) > 1]
        joined = [t for t in self.made if t.ids != list(range(1, len(t.ids) + 1))]
        print("   %d of %d went on, %d whose version has left, %d of two versions; %s"
              % (len(self.gone_on), len(self.broke), len(self.left), len(mixed),
                 self.errors), flush=True)
        assert not mixed, "%d streams of two versions" % len(mixed)
        assert not joined, "events %s" % joined[0].ids

    def check(self):
        self.stop()
        self.check_joints()
        assert len(self.broke) >= LEAST, "only %d broke" % len(self.broke)
        assert len(self.gone_on) >= SHARE * len(self.broke), (
            "%d of %d went on" % (len(self.gone_on), len(self.broke)))


def play(s, counts, change=lambda v, k: None, known_s=0, first=lambda: None):
    """Kills all instances again and again; `change` comes before the k-th loss, and
    `first` before the time for which the targets are known."""
    targets = Targets(s, counts)
    first()
    time.sleep(known_s)
    callers = Callers(s, targets)
    for k in range(ROUNDS):
        change(targets, k)
        time.sleep(EVERY_S)
        s.restart_all()
    time.sleep(TRY_S)
    callers.check()


# Guards against streams that nobody goes on with for 30 s after a loss of all, though
# all targets have had one version all along.
def test_one_version_after_a_loss_of_all(s):
    play(s, {"v1": 6})


# Guards against the same in a fleet where other instances start first.
def test_one_version_at_more_instances(s):
    play(s, {"v1": 6})


# Guards against the same where no stream was recorded, since one version had served
# for long: what the fleet knew of it has to outlive the instances.
def test_one_version_that_served_for_long(s):
    play(s, {"v1": 6}, known_s=LONG_S)
    logs = [l["streams"] for i in range(INSTANCES) for l in s.log(i)
            if l["event"] == "stream-logs-read"]
    proven = sum(l["event"] == "stream-resumed" and l["origin"] == "proven"
                 for i in range(INSTANCES) for l in s.log(i))
    assert proven >= LEAST / 2, "%d proven; logged: %s" % (proven, logs)


# Guards against the same where the store had forgotten its history before, so that
# instances listed the targets anew.
def test_one_version_that_served_for_long_after_a_gap(s):
    def forget_changes():
        with s.store.lock:  # nobody reads the changes before they are forgotten
            conf = s.store.kinds["config"]["main"]["spec"]
            s.store.put("config", "main", dict(conf, version=conf["version"] + 1))
            for e in s.store.kinds["servers"].values():
                s.store.put("servers", e["meta"]["name"], e["spec"])
            s.store.forget()

    play(s, {"v1": 6}, known_s=LONG_S, first=forget_changes)
    proven = sum(l["event"] == "stream-resumed" and l["origin"] == "proven"
                 for i in range(INSTANCES) for l in s.log(i))
    assert proven >= LEAST / 2, "%d proven" % proven


# Guards against streams that nobody goes on with since only the lost instances knew
# which of two versions had begun them.
def test_two_versions_after_a_loss_of_all(s):
    play(s, {"v1": 3, "v2": 3})


# Guards against the same within a release: a version joins before each loss, and the
# one before the last leaves.
def test_a_release_beside_each_loss_of_all(s):
    def change(targets, k):
        targets.start("v%d" % (k + 2))
        if k > 0:
            targets.leave("v%d" % k, 0.3)

    play(s, {"v1": 3}, change)


# == a fleet that starts for the first time ==


# Guards against streams that nobody goes on with after a loss in the first half minute
# of a fleet, and against a log that is written though one version serves.
def test_one_version_after_the_first_start(s):
    play(s, {"v1": 6})
    writes = sum(kind == "stream-origins" for _, _, kind, _ in s.store.changes)
    assert writes <= 2 * INSTANCES * ROUNDS, "%d writes of logs" % writes


def come_and_leave(s, while_down=lambda s: None):
    """A version joins, begins streams that no log has, and leaves while all instances
    are down. What the fleet knew of the version before no longer holds."""
    s.store.frozen = {"stream-origins"}
    targets = Targets(s, {"v1": 3})
    time.sleep(CHECKPOINT_S)
    assert s.store.kinds.get("stream-checkpoints"), "no checkpoint was written"
    callers = Callers(s, targets, every_s=0.02)
    time.sleep(1.0)
    targets.start("v2")
    time.sleep(SETTLE_S)
    for p in s.processes:
        p.kill()
        p.wait()
    targets.leave("v2")
    while_down(s)
    for i in range(len(s.processes)):
        s.start(i)
    time.sleep(TRY_S)
    callers.stop()
    left = [t for t in callers.left if t.versions == {"v2"} and len(t.attempts) > 3]
    print("   %d streams of the version that left were taken up" % len(left))
    callers.check_joints()
    assert len(left) >= 4, "only %d" % len(left)


# Guards against streams of two versions: what served before the loss and after it was
# taken for what served all the time.
def test_a_version_that_came_and_left_around_a_loss(s):
    come_and_leave(s)


# Guards against the same when the store has forgotten that the version was there.
def test_a_version_that_left_no_trace_in_the_store(s):
    come_and_leave(s, lambda s: s.store.forget())


# Guards against the same when the store comes back as it was before that version.
def test_a_version_that_the_store_has_lost(s):
    come_and_leave(s, lambda s: s.store.restore(SETTLE_S + 0.5))


class FirstStart(Site):
    """The first start of each instance is one of the whole fleet."""

    def env_of(self, i):
        first = self.processes[i] is None
        return {"LOFTPATH_FIRST_START": "1"} if first else {}


FIRST = ("test_one_version_after_the_first_start",
         "test_a_version_that_came_and_left_around_a_loss",
         "test_a_version_that_left_no_trace_in_the_store",
         "test_a_version_that_the_store_has_lost")
TESTS = {n: f for n, f in globals().items() if n.startswith("test_")}

if __name__ == "__main__":
    if not sys.argv[2:]:
        sys.exit(run_in_groups(list(TESTS), GROUPS))
    sizes = dict.fromkeys(TESTS, INSTANCES)
    sizes["test_one_version_at_more_instances"] = MANY
    first = [n for n in sys.argv[2:] if n in FIRST]
    later = [n for n in sys.argv[2:] if n not in FIRST]
    failed = run_tests(TESTS, sizes, names=first, engines=0, site=FirstStart) if first else 0
    sys.exit(failed | (run_tests(TESTS, sizes, names=later) if later else 0))
