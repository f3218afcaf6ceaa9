#!/usr/bin/env python3
"""rejoined.py: all instances are killed at once, while targets of two software
versions serve or just after the earlier one has left. Callers take up the streams
that broke, at once and again and again, at any of the restarted instances.

Guards against this failure: take-ups were answered 200 and ran to the end, and their
text was of two versions. After the loss no instance knows where a stream began.

Usage: rejoined.py BUILD_DIR [TEST...]"""
import collections
import json
import random
import sys
import threading
import time

from fleet import config, run_in_groups, run_tests
from versions import SETTLE_S, Engine, Load, Taken, Versions

INSTANCES, MANY = 3, 14
GROUPS = 7          # of tests that run side by side
EVENTS, PAUSE_S = 30, 0.05  # of a stream
TRY_S = 2.0         # a caller takes its stream up until then
ALONE = 0.3         # of the callers send Last-Event-Id alone, no earlier attempt
LEAVE = 0.2         # of the callers leave midway
OBEY = 0.5          # of the callers wait as Retry-After says
BEGUN_S = 1.5       # until streams run at all targets
ROUNDS = 3
DOWN_S = 0.5        # from a kill to the return, where targets change meanwhile
LONG_S, QUIET_S = 45.0, 8.0  # time of a long stream, and that its caller keeps left
LONGEST = "test_taken_up_long_after_the_return"
# Refusals that state no Retry-After: where the stream began is lost, or the version
# that began it has left.
NO_END_KNOWN = ("stream-unknown", "no-target")
TAKE_UPS = 60       # that reach an instance, at least, in a test
MIDWAY = 20         # streams that a kill finds so, at least, in a test


class LongEngine(Engine):
    """Streams for long enough that a kill finds many of them midway. `ran` has the
    attempts that it worked on."""

    events, pause_s = EVENTS, PAUSE_S

    def answer(self, c, method, path, headers, body):
        if headers.get("x-loftpath-expect-instance") == self.name:
            self.ran.append(headers["x-loftpath-attempt-id"])
        return super().answer(c, method, path, headers, body)


class Releases(Versions):
    """Engines of several versions, those that have left included in `all`."""

    kind = LongEngine

    def __init__(self, *args, **more):
        self.all = []
        super().__init__(*args, **more)

    def add(self, *args, **more):
        e = super().add(*args, **more)
        self.all.append(e)
        return e

    def leave(self, version, drain_s=0.0):
        engines = self.of(version)
        for e in engines:
            e.drain()
        time.sleep(drain_s)
        for e in engines:
            self.remove(e)

    def start(self, version, n=3):
        for _ in range(n):
            self.add(version)

    def swap(self, version, other):
        """Starts targets of another version at the addresses of those of this one."""
        for e in self.of(version):
            host, port = e.address.split(":")
            self.remove(e)
            self.add(other, (host, int(port)))


def kind_of(error):
    """The kind of a refusal, by its body."""
    try:
        return json.loads(error)["error"]["kind"]
    except (ValueError, KeyError, TypeError):
        return "unknown body"


class Callers(Load):
    """Streams at random instances, whose callers take them up as soon as they break,
    for TRY_S, at the same or another instance each time."""

    def __init__(self, s, versions, leaves=LEAVE, seed=1, every_s=0.08):
        self.versions, self.outcomes = versions, collections.Counter()
        self.refused, self.early, self.open, self.midway = [], [], set(), 0
        super().__init__(s, leaves, seed, every_s)

    def _play(self, seed):
        dice, n = random.Random(seed), len(self.s.processes)
        i, taken = dice.randrange(n), Taken(self.s)
        taken.names_attempt = dice.random() >= ALONE
        obeys = dice.random() < OBEY
        with self.lock:
            self.open.add(taken)
        leaves = dice.random() < self.leaves
        taken.attempt(i, dice.randrange(2, EVENTS) if leaves else None)
        self._note_early(taken)
        end = time.monotonic() + TRY_S
        while 0 < taken.last < EVENTS and time.monotonic() < end:
            self._note(taken, taken.attempt(dice.randrange(n)))
            again_s = (taken.retry_s or 0) if obeys and taken.refused else 0
            time.sleep(max(again_s, dice.uniform(0.02, 0.15)))
        with self.lock:
            self.open.remove(taken)
            self.made.append(taken)

    def _note_kill(self):
        with self.lock:
            self.midway += sum(0 < t.last < EVENTS for t in self.open)

    def kill_all(self):
        self._note_kill()
        for p in self.s.processes:
            p.kill()
        for p in self.s.processes:
            p.wait()

    def kill_one_by_one(self, dice):
        """Starts each again before the next is killed."""
        self._note_kill()
        for i, p in enumerate(self.s.processes):
            p.kill()
            p.wait()
            self.s.start(i)
            time.sleep(dice.uniform(0.0, 0.3))

    def start_all(self):
        for i in range(len(self.s.processes)):
            self.s.start(i)

    def _note(self, t, on):
        if t.refused:
            how = "%d %s%s" % (t.refused, kind_of(t.error),
                               "" if t.retry_s is None else " with Retry-After")
        elif t.ended and t.last < EVENTS:
            how = "ended early"
        else:
            how = "went on" if on else "no answer"
        with self.lock:
            self.outcomes[how] += 1
            if t.refused:
                self.refused.append((t.attempts[-1], t.refused, kind_of(t.error),
                                     t.retry_s))
        self._note_early(t)

    def _note_early(self, t):
        if t.ended and t.last < EVENTS:
            self.early.append(t)

    def check(self):
        self.stop()
        answered = sum(n for how, n in self.outcomes.items() if how != "no answer")
        mixed = [t for t in self.made if len(t.versions) > 1]
        print("   %d streams, %d begun, %d midway at a kill, %d whole; %d of two "
              "versions; take-ups: %s" % (
                  len(self.made), sum(t.last > 0 for t in self.made), self.midway,
                  sum(t.last == EVENTS for t in self.made), len(mixed),
                  ", ".join("%d %s" % (n, how) for how, n in
                            sorted(self.outcomes.items()))), flush=True)
        joined = [t for t in self.made if t.ids != list(range(1, len(t.ids) + 1))]
        assert not joined, "events %s of %s" % (joined[0].ids, joined[0].attempts)
        assert not mixed, "%d streams of two versions: %s of %s" % (
            len(mixed), sorted(mixed[0].versions), mixed[0].attempts)
        assert not self.early, "ended after %d events, as complete: %s" % (
            self.early[0].last, self.early[0].attempts)
        self._check_refusals()
        assert self.midway >= MIDWAY, "only %d were midway" % self.midway
        assert answered >= TAKE_UPS, "only %d take-ups were answered" % answered

    def _check_refusals(self):
        """A 503 says that the attempt did not run. It has a Retry-After, unless
        nothing tells when the stream could go on."""
        ran = {a for e in self.versions.all for a in e.ran}
        for attempt, status, kind, retry_s in self.refused:
            assert status == 503, (attempt, status, kind)
            assert attempt not in ran, "%s %s, and it ran" % (attempt, kind)
            assert retry_s is None or 0 < retry_s <= TRY_S, (kind, retry_s)
            assert retry_s or kind in NO_END_KNOWN, "no Retry-After: " + kind



def play(s, versions, change=None, **more):
    """Kills all instances ROUNDS times, and `change(k)` is made before the k-th
    return. Callers have their time in between."""
    load = Callers(s, versions, **more)
    for k in range(ROUNDS):
        time.sleep(BEGUN_S)
        load.kill_all()
        if change:
            change(k)
        load.start_all()
        time.sleep(TRY_S)
    load.check()


def test_all_killed_while_two_versions_serve(s):
    """Take-ups come before an instance knows the targets, and after."""
    play(s, Releases(s, {"v1": 3, "v2": 3}))


def test_all_killed_in_a_larger_fleet(s):
    """Few of fourteen instances are asked where a stream began."""
    play(s, Releases(s, {"v1": 3, "v2": 3}))


def test_all_killed_while_engines_break_streams(s):
    """Streams break within answers and with their instances."""
    play(s, Releases(s, {"v1": 3, "v2": 3}, breaks=0.2))


def test_all_killed_after_a_version_has_left(s):
    """Only the later version is known after the return."""
    v = Releases(s, {"v1": 3})
    load = Callers(s, v, leaves=0.5)
    for k in range(1, 1 + ROUNDS):
        v.start("v%d" % (k + 1))
        time.sleep(BEGUN_S)
        v.leave("v%d" % k, 0.2)
        load.kill_all()
        load.start_all()
        time.sleep(TRY_S)
    load.check()


def test_a_version_leaves_while_all_are_down(s):
    """The streams broke at targets that the restarted instances never see."""
    v = Releases(s, {"v0": 3, "v1": 3})

    def change(k):
        v.leave("v%d" % k)
        time.sleep(DOWN_S)
        v.start("v%d" % (k + 2))

    play(s, v, change)


def test_targets_are_replaced_at_their_addresses_while_all_are_down(s):
    """A target of a later version answers where the stream began."""
    v = Releases(s, {"v0": 3, "v1": 3})
    play(s, v, lambda k: v.swap("v%d" % k, "v%d" % (k + 2)))


def test_all_targets_are_replaced_while_all_are_down(s):
    """One version served before the kill, and another one after it."""
    v = Releases(s, {"v0": 6})
    play(s, v, lambda k: v.swap("v%d" % k, "v%d" % (k + 1)))


def test_all_killed_again_during_the_return(s):
    """The second kill comes while callers ask the restarted instances."""
    v = Releases(s, {"v0": 3, "v1": 3})
    load, dice = Callers(s, v), random.Random(7)
    for k in range(ROUNDS):
        time.sleep(BEGUN_S)
        for again in range(2):
            load.kill_all()
            if again:
                v.swap("v%d" % k, "v%d" % (k + 2))
            load.start_all()
            time.sleep(dice.uniform(0.1, 0.8))
        time.sleep(TRY_S)
    load.check()


def test_killed_one_after_another(s):
    """Some are back before others are killed, so that records get lost one by one."""
    v = Releases(s, {"v1": 3, "v2": 3})
    load, dice = Callers(s, v), random.Random(7)
    for _ in range(2 * ROUNDS):
        time.sleep(BEGUN_S)
        load.kill_one_by_one(dice)
    time.sleep(TRY_S)
    load.check()


def test_the_store_is_away_at_the_return(s):
    """Targets are learned late, or as they stood before the kill."""
    v = Releases(s, {"v0": 3, "v1": 3})
    load = Callers(s, v)
    for k in range(ROUNDS):
        time.sleep(BEGUN_S)
        load.kill_all()
        v.swap("v%d" % k, "v%d" % (k + 2))
        s.store.down, s.store.old_s = k != 1, 2.0 * (k > 0)
        load.start_all()
        time.sleep(1.0)
        s.store.down = False
        time.sleep(TRY_S)
    load.check()


def test_answers_without_length_or_chunks(s):
    """Nothing but the end of the connection tells that such an answer has ended."""
    v = Releases(s, {"v0": 3, "v1": 3}, lengthless=True)
    play(s, v, lambda k: v.swap("v%d" % k, "v%d" % (k + 2)))


def test_taken_up_long_after_the_return(s):
    """A route allows its streams 45 s. Of 12 streams 6 began at a version that left
    before the kill, and went on at the next one when it had served alone for 30 s."""
    conf = config(3, prepaid=10**7)
    conf["routes"][2]["timeout_ms"] = int(1000 * LONG_S)
    v = Releases(s, {"v1": 3})
    s.store.put("config", "main", conf)
    v.start("v2")
    time.sleep(SETTLE_S)
    end = time.monotonic() + LONG_S
    made = [Taken(s) for _ in range(12)]
    callers = [threading.Thread(target=take_up_until, args=(t, end)) for t in made]
    for c in callers:
        c.start()
    time.sleep(EVENTS * PAUSE_S / 2)
    v.leave("v1")
    s.restart_all()
    for c in callers:
        c.join()
    began = [t for t in made if t.last > 0]
    mixed = [t for t in made if len(t.versions) > 1]
    print("   %d of 12 begun, %d tried at least 100 times, %d of two versions" % (
        len(began), sum(len(t.attempts) > 100 for t in made), len(mixed)), flush=True)
    assert not mixed, "%d of 12 streams of two versions" % len(mixed)
    assert len(began) >= 6, "only %d began" % len(began)


def take_up_until(t, end):
    """Tries at any instance while the caller's deadline is more than QUIET_S away."""
    dice = random.Random(id(t))
    while t.last < EVENTS and time.monotonic() < end - QUIET_S:
        left_ms = int(1000 * (end - time.monotonic()))
        t.more = {"X_Loftpath_Deadline_Ms": str(left_ms)}
        t.attempt(dice.randrange(len(t.s.processes)))
        time.sleep(0.25)


TESTS = {n: f for n, f in globals().items() if n.startswith("test_")}

if __name__ == "__main__":
    sizes = dict.fromkeys(TESTS, INSTANCES)
    sizes["test_all_killed_in_a_larger_fleet"] = MANY
    if not sys.argv[2:]:
        names = [n for n in TESTS if n != LONGEST]
        names.insert(GROUPS - 1, LONGEST)  # alone in the last group
        sys.exit(run_in_groups(names, GROUPS))
    sys.exit(run_tests(TESTS, sizes))
