#!/usr/bin/env python3
"""crashes.py: a request that crashes each target that runs it is kept away from
targets. Requests that only ran concurrently with it, or on targets that exit by
themselves, are not.

Guards against this failure: a request that had crashed three targets reached
targets 21 more times and crashed 34, most of a pool of twelve was down, and a third
of the concurrent chats failed.

The request was repeated, each time as a new attempt at any instance. Each attempt
crashed the target that began to run it, was resumed on a second one, as broken
streams are, and crashed that one too. Instances knew only single attempts; none
recorded that the same request had crashed targets before. With that fault 60 of 60
attempts reach targets, and each crashes one or two.

Usage: crashes.py BUILD_DIR [TEST...]"""
import random
import sys
import time

from fleet import run_tests, wait_for
from pool import (BACK_S, BAD, BEGUN_S, IN_TOUCH_S, Callers, Stream, check_bound,
                  harmless, repeat_bad, with_pool)

INSTANCES, MANY = 3, 14
PLAY_S = 12.0


def test_a_request_that_ends_targets_is_kept_from_them(s):
    pool = with_pool(s)
    bad, good = repeat_bad(s, PLAY_S), harmless(s, PLAY_S)
    bad.join(), good.join()
    check_bound(pool)
    # Every stream is served that begins once the request is known and the engines
    # are back.
    settled_at = sorted(pool.ends)[2] + IN_TOUCH_S + BACK_S
    after = [g for g in good.made if g.began > settled_at]
    served = sum(g.served for g in after)
    print("   %d of %d harmless streams served, %d of %d of those after it" % (
        sum(g.served for g in good.made), len(good.made), served, len(after)))
    assert len(after) >= 20 and served == len(after), "%d of %d served" % (
        served, len(after))


def test_it_stays_away_after_a_restart_of_all(s):
    pool = with_pool(s)
    repeat_bad(s, 4).join()
    s.restart_all()
    for i in range(len(s.processes)):
        s.wait_ready(i)
    repeat_bad(s, 6).join()
    check_bound(pool)


def test_copies_that_come_all_at_once(s):
    """At fourteen instances, three of which read the store for the others."""
    pool = with_pool(s)
    Callers(s, 2.0, 10.0, lambda n: BAD, burst=5).join()
    check_bound(pool)


def test_it_stays_away_while_instances_restart_in_series(s):
    """The bound does not apply to an instance for three seconds after its start."""
    pool = with_pool(s)
    bad = repeat_bad(s, 14)
    time.sleep(0.6)
    for i in list(range(len(s.processes))) * 2:
        time.sleep(1.0)
        s.processes[i].kill()
        s.processes[i].wait()
        s.start(i)
    bad.join()
    check_bound(pool)


def test_it_stays_away_after_an_outage_of_the_store(s):
    """A trial of the request is impossible during the outage, so it is not sent."""
    pool = with_pool(s)
    bad = repeat_bad(s, 10)
    wait_for("the first end", lambda: pool.ends)
    s.store.down = True
    time.sleep(4.0)
    s.store.down = False
    bad.join()
    check_bound(pool, least=2)


def test_engines_that_start_again_at_once_under_their_ids(s):
    """No connection to them is refused; the new start time in their entry shows the
    restart."""
    pool = with_pool(s)
    pool.again = True
    repeat_bad(s, 10).join()
    check_bound(pool)


def test_callers_that_leave_before_it_ended_its_engine(s):
    """Other callers are connected; their streams break with the engine."""
    pool = with_pool(s)
    good = harmless(s, PLAY_S)
    bad = Callers(s, 0.25, PLAY_S, lambda n: BAD, patience_s=BEGUN_S / 2)
    bad.join(), good.join()
    check_bound(pool)


def test_targets_that_end_by_themselves_beside_it(s):
    pool = with_pool(s)
    bad, good = repeat_bad(s, PLAY_S), harmless(s, PLAY_S)
    dice = random.Random(3)
    for _ in range(8):
        time.sleep(PLAY_S / 9)
        running = [e for e in pool.engines if not e.ended]
        pool.end(dice.choice(running), False)
    bad.join(), good.join()
    check_bound(pool)
    wrongly_refused = [g for g in good.made if "ends-targets" in g.kind]
    assert not wrongly_refused, "%d harmless streams were refused" % len(wrongly_refused)


def test_its_callers_are_told_at_once_not_to_come_again(s):
    pool = with_pool(s)
    repeat_bad(s, 4).join()
    before = len(pool.reached)
    began = time.monotonic()
    a = Stream(s, 0, BAD)
    assert time.monotonic() - began < 0.1
    assert a.status == 502 and a.again_s is None, (a.status, a.again_s)
    assert '"ends-targets"' in a.kind, a.kind
    assert len(pool.reached) == before


def test_another_customer_may_send_the_same(s):
    """The same bytes that crashed targets for one customer are not refused for
    another, whose engine may process them with other weights."""
    pool = with_pool(s)
    repeat_bad(s, 4).join()
    n = len(pool.reached)

    def comes_to_a_target():
        Stream(s, 0, BAD, key="key-other")
        return len(pool.reached) > n

    wait_for("the other customer's request", comes_to_a_target, 3)


def test_a_harmless_one_is_served_while_targets_end_by_themselves(s):
    """10 engines exit 19 times in 15 s while one harmless stream is requested ten
    times a second: only streams that an exit broke may fail."""
    pool = with_pool(s)
    good = Callers(s, 0.1, 15.0, lambda n: b"the same each time")
    dice = random.Random(2)
    for _ in range(19):
        time.sleep(15.0 / 20)
        running = [e for e in pool.engines if not e.ended]
        pool.end(dice.choice(running), False)
    good.join()
    served = sum(g.served for g in good.made)
    wrongly_refused = [g for g in good.made if "ends-targets" in g.kind]
    refused_on_trial = [g for g in good.made if "on-trial" in g.kind]
    print("   %d of %d served; %d refused wrongly, %d as on trial" % (
        served, len(good.made), len(wrongly_refused), len(refused_on_trial)),
        flush=True)
    assert not wrongly_refused, "%d were refused" % len(wrongly_refused)
    assert served >= 0.9 * len(good.made), "%d of %d" % (served, len(good.made))


TESTS = {n: f for n, f in globals().items() if n.startswith("test_")}

if __name__ == "__main__":
    sizes = dict.fromkeys(TESTS, INSTANCES)
    sizes["test_copies_that_come_all_at_once"] = MANY
    sys.exit(run_tests(TESTS, sizes))
