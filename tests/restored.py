#!/usr/bin/env python3
"""restored.py: the platform's store comes back from a copy some seconds old, in a new
era: what was written since is lost, and revisions are given out again.

Usage: restored.py BUILD_DIR [TEST...]"""
import http.client
import random
import sys
import threading
import time

from fleet import config, play_scenario, route, run_tests, wait_for
from pool import check_bound, repeat_bad, with_pool
from notices import EVENTS, add_targets, send_all, wait_until_served

INSTANCES, MANY = 3, 14  # in a fleet of MANY a few instances read for the others
BOUND_S = 3.0            # after it took effect in the store, instances obey a change
AGE_S = 3.0              # of the copy
CALLS_PER_S = 10         # of one instance to the store, at most, once it has read it
LOST_REVISIONS = 50
PREPAID, PROMPT = 12000, 30  # tokens: of the customer, and of one prompt


def with_targets(s, n=3):
    """Replaces the site's targets by ones that record what they get, and waits until
    the copy has them."""
    s.store.era = 1
    s.remove_workers(s.engines)
    s.remove_workers(s.desks)
    s.store.put("config", "main", config(2, prepaid=10**7))
    add_targets(s, n)
    wait_until_served(s)
    time.sleep(AGE_S + 0.5)


def raise_revision(s):
    """Changes that the copy lacks, and that the instances have read."""
    for k in range(LOST_REVISIONS):
        for t in s.engines + s.desks:
            s.store.put("servers", t.name, dict(t.entry, cold_left_ms=k))
        s.store.put("evacuations", "z%d" % (k % 2), {})
        s.store.put("trials", "z%d" % (k % 2), {})
    time.sleep(0.5)


def check_unused(s, targets, since, seconds):
    """The targets get no requests from `since` on, under load until `seconds` later."""
    while time.monotonic() < since + seconds:
        send_all(s, 2)
    for t in targets:
        late = [at - since for at, _ in t.arrived if at >= since]
        assert not late, "%s got %d requests, the last %.1f s late" % (
            t.name, len(late), late[-1])


def check_unused_beside_restore(s, targets, again_s, seconds):
    """The targets get no requests from now on until `seconds` later. Meanwhile the
    store is restored; operators and workers write theirs again after `again_s`.
    Returns when it began."""
    began = time.monotonic()
    restore = threading.Thread(target=s.store.restore, args=(AGE_S, 0.2, again_s))
    restore.start()
    check_unused(s, targets, began, seconds)
    restore.join()
    return began


def leaving_is_seen(s):
    with_targets(s)
    raise_revision(s)
    s.store.restore(AGE_S)
    time.sleep(1.0)
    leaving = [s.engines[0], s.desks[0]]
    for t in leaving:
        t.drain()
    check_unused(s, leaving, time.monotonic() + BOUND_S, 2.0)
    assert all(a.status == 200 for a in send_all(s, 2))


def test_a_target_that_leaves_after_a_restore_gets_no_more_requests(s):
    """Guards against instances that take revisions for ever growing: after a restore
    they passed over entries with lower ones, and sent requests to a target 3.2 s after
    the store had its leaving."""
    leaving_is_seen(s)


def test_a_target_that_leaves_is_seen_by_fourteen_instances(s):
    """The same where a few instances read the store for the others."""
    leaving_is_seen(s)


def calls_are_few(s):
    with_targets(s)
    raise_revision(s)
    s.store.restore(AGE_S)
    time.sleep(BOUND_S)
    before, began = s.store.calls, time.monotonic()
    time.sleep(2.0)
    per_s = (s.store.calls - before) / (time.monotonic() - began)
    print("   %.0f calls/s of %d instances" % (per_s, len(s.processes)))
    assert per_s <= CALLS_PER_S * len(s.processes), per_s


def test_the_store_is_not_called_in_a_loop_after_a_restore(s):
    """Guards against an instance that asks for a watch from a revision of the former
    era, is told that it is gone, lists, and asks for the same again."""
    calls_are_few(s)


def test_fourteen_instances_do_not_call_the_store_in_a_loop(s):
    calls_are_few(s)


def test_a_leaving_that_the_store_lost_is_not_forgotten(s):
    """Guards against a target that comes back with the copy, which does not know yet
    that it leaves."""
    with_targets(s)
    leaving = [s.engines[0], s.desks[0]]
    for t in leaving:
        t.drain()
    time.sleep(1.0)
    check_unused_beside_restore(s, leaving, 4.0, 5.0)


def test_a_removal_that_the_store_lost_is_not_forgotten(s):
    """The same for a target whose entry was removed."""
    with_targets(s)
    gone = [s.engines[0], s.desks[0]]
    for t in gone:
        s.store.remove("servers", t.name)
    time.sleep(1.0)
    check_unused_beside_restore(s, gone, 2.0, 4.0)


def test_a_configuration_that_the_store_lost_stays_in_force(s):
    """Guards against an instance that goes back to the older configuration of the
    copy, and against one that no longer takes newer ones."""
    with_targets(s)
    added = [route("n", "/new/", "desk", "safe")]
    s.store.put("config", "main", config(5, prepaid=10**7, routes=added))
    for i in range(len(s.processes)):
        wait_for("the route", lambda: s.call("/new/x", i=i).status == 200)
    restore = threading.Thread(target=s.store.restore, args=(AGE_S, 0.2, 2.0))
    restore.start()
    while restore.is_alive():
        for i in range(len(s.processes)):
            assert s.call("/new/x", i=i).status == 200
    added.append(route("m", "/newer/", "desk", "safe"))
    s.store.put("config", "main", config(9, prepaid=10**7, routes=added))
    began = time.monotonic()
    for i in range(len(s.processes)):
        wait_for("the newer route", lambda: s.call("/newer/x", i=i).status == 200)
    assert time.monotonic() - began < BOUND_S


def evacuation_stays(s):
    with_targets(s)
    away = s.engines[:1] + s.desks[:1]
    for t in away:
        s.store.put("servers", t.name, dict(t.entry, zone="b"))
    time.sleep(AGE_S + 0.5)
    s.store.put("evacuations", "b", {})
    time.sleep(1.0)
    began = check_unused_beside_restore(s, away, 3.0, 4.5)
    s.store.remove("evacuations", "b")
    wait_for("the targets to be used again", lambda: (
        send_all(s, 4), all(t.since(began) for t in away))[-1])


def test_an_evacuation_that_the_store_lost_stays_in_force(s):
    """Guards against requests to an evacuated data centre, of whose evacuation the
    copy does not know yet."""
    evacuation_stays(s)


def test_an_evacuation_that_the_store_lost_stays_for_fourteen_instances(s):
    """The same where a few instances read the store for the others."""
    evacuation_stays(s)


def evacuation_ends(s):
    with_targets(s)
    for t in s.engines + s.desks:
        s.store.put("servers", t.name, dict(t.entry, zone="b"))
    time.sleep(AGE_S + 0.5)
    s.store.put("evacuations", "b", {})
    time.sleep(1.0)
    s.store.WRITTEN_AGAIN = ()
    s.store.restore(AGE_S)
    wait_for("the targets to be used again",
             lambda: all(a.status == 200 for a in send_all(s, 1)), 20)


def test_an_evacuation_ended_before_a_restore_does_not_stay(s):
    """Guards against an evacuation that is kept for ever, since the store neither has
    it nor tells of its end."""
    evacuation_ends(s)


def test_an_evacuation_does_not_stay_for_fourteen_instances(s):
    """The same where a few instances read the store for the others."""
    evacuation_ends(s)


def test_a_request_that_ends_targets_stays_away_though_its_trial_was_lost(s):
    """Guards against a request that ends targets reaching them again, since the store
    lost its trial and all instances that knew of it were restarted."""
    s.store.era = 1
    pool = with_pool(s)
    wait_until_served(s)  # all have budget
    began = time.monotonic()
    repeat_bad(s, 4).join()
    s.store.restore(time.monotonic() - began)
    time.sleep(2.0)
    s.restart_all()
    for i in range(len(s.processes)):
        s.wait_ready(i)
    repeat_bad(s, 6).join()
    check_bound(pool)


def test_a_trial_that_is_open_during_a_restore_is_closed(s):
    """Guards against a trial whose outcome is written with a revision of the former
    era, and rejected each second for ever; its request would not be tried again."""
    s.store.era = 1
    with_pool(s)
    wait_until_served(s)

    def trials(field):
        return [o for o in list(s.store.kinds.get("trials", {}).values())
                if o["spec"][field]]
    bad = repeat_bad(s, 8)
    wait_for("an open trial", lambda: trials("open"))
    s.store.restore(2.0)
    bad.join()
    time.sleep(3.0)
    for i in range(len(s.processes)):
        n = sum(l["event"] == "store-call-outdated" for l in s.log(i))
        assert n <= 3, "%d outdated calls of instance %d" % (n, i)
    assert trials("ended"), "the outcome is not in the store"


def chat_until(s, end, seed):
    """Sends chats to random instances, one after the other."""
    dice = random.Random(seed)
    while time.monotonic() < end:
        try:
            s.chat(PROMPT, i=dice.randrange(len(s.processes)))
        except (OSError, http.client.HTTPException):
            time.sleep(0.05)  # the instance is not running


def budget_is_kept(s, seconds=14, killed=False):
    with_targets(s)
    before = sum(len(e.arrived) for e in s.engines)
    s.store.put("config", "main", config(3, prepaid=PREPAID))
    end = time.monotonic() + seconds
    callers = [threading.Thread(target=chat_until, args=(s, end, k)) for k in range(4)]
    for c in callers:
        c.start()
    for _ in range(3):
        time.sleep(seconds / 7)
        if killed:
            s.restart_all()
        s.store.restore(2.0)
    for c in callers:
        c.join()
    n = sum(len(e.arrived) for e in s.engines) - before
    spent = n * (PROMPT + EVENTS)
    print("   %d tokens spent of %d" % (spent, PREPAID))
    assert spent <= PREPAID, "%d tokens beyond the budget" % (spent - PREPAID)


def test_a_restored_store_overspends_no_budget(s):
    """Guards against tokens that are given out twice: the store lost the record of
    those that an instance had drawn and that were spent."""
    budget_is_kept(s)


def test_a_restored_store_overspends_no_budget_of_fourteen_instances(s):
    budget_is_kept(s)


def test_a_restore_beside_the_loss_of_all_instances_overspends_no_budget(s):
    """The same where all instances are killed just before, so that nobody knows what
    the store has lost."""
    budget_is_kept(s, 56, killed=True)


def test_a_home_that_is_cut_off_for_long_beside_a_restore_overspends_no_budget(s):
    """Guards against tokens that are drawn again while the home that drew them can't
    write its lost grant: it is cut off from the store, but not from the others."""
    play_scenario("restored_cut.lua", "1 200 30")


TESTS = {n: f for n, f in globals().items() if n.startswith("test_")}

if __name__ == "__main__":
    sizes = {n: MANY if "fourteen" in n else INSTANCES for n in TESTS}
    sys.exit(run_tests(TESTS, sizes))
