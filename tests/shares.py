#!/usr/bin/env python3
"""shares.py: instances report the demand of customers to the allocator of a service,
and only for services that are managed.

Usage: shares.py BUILD_DIR [TEST...]"""
import http.client
import re
import sys
import time

from fleet import BASE, play_stream, run_tests, wait_for

INSTANCES = 3
SETTLE_S = 2.0  # several reports are due in this time


def metric(s, i, name):
    c = http.client.HTTPConnection(s.ip(i), BASE + 1, timeout=2)
    c.request("GET", "/metrics")
    text = c.getresponse().read().decode()
    return int(re.search(r"^loftpath_%s (\d+)$" % name, text, re.M).group(1))


def restart(s, **env):
    s.env = env
    s.restart_all()
    for i in range(INSTANCES):
        s.wait_ready(i)


def chat_at_all(s):
    for w in s.engines:
        w.play = play_stream(3)
    for i in range(INSTANCES):
        wait_for("an answer", lambda i=i: s.chat(10, i=i).status == 200)


def allocations(s):
    return [metric(s, i, "allocations_total") for i in range(INSTANCES)]


def check_nothing_is_sent(s):
    chat_at_all(s)
    time.sleep(SETTLE_S)
    assert allocations(s) == [0] * INSTANCES, allocations(s)


def test_a_service_that_is_not_managed_is_not_reported(s):
    """Guards against messages and counting in fleets that do not use the part."""
    check_nothing_is_sent(s)


def test_a_part_that_is_not_listed_is_not_active(s):
    restart(s, LOFTPATH_MANAGED_SLOTS="16",
            LOFTPATH_MANAGED_PARTS="rates,admission,reserve")
    check_nothing_is_sent(s)


def test_each_instance_gets_the_allocation_of_a_managed_service(s):
    """Guards against reports that don't reach the allocator, answers that don't come
    back, and cutoffs in a fleet that is not overloaded."""
    restart(s, LOFTPATH_MANAGED_SLOTS="16")
    chat_at_all(s)
    wait_for("the allocations", lambda: min(allocations(s)) >= 2, 5)
    for i in range(INSTANCES):
        for name in ("cutoffs_total", "services_short_total",
                     "allocation_invalid_total", "peer_dropped_total"):
            assert metric(s, i, name) == 0, (i, name)


def test_the_role_moves_from_a_lost_allocator(s):
    """Guards against reports that go on to an instance that is gone."""
    restart(s, LOFTPATH_MANAGED_SLOTS="16")
    chat_at_all(s)
    wait_for("the allocations", lambda: min(allocations(s)) >= 2, 5)
    for lost in range(INSTANCES):
        s.processes[lost].kill()
        s.processes[lost].wait()
        left = [i for i in range(INSTANCES) if i != lost]
        before = [metric(s, i, "allocations_total") for i in left]

        def renewed():
            for i in left:
                assert s.chat(10, i=i).status in (200, 503)
            return all(metric(s, i, "allocations_total") > b + 2
                       for i, b in zip(left, before))

        wait_for("a new allocator", renewed, 10)
        s.start(lost)
        s.wait_ready(lost)
        chat_at_all(s)


if __name__ == "__main__":
    tests = {n: f for n, f in globals().items() if n.startswith("test_")}
    sys.exit(run_tests(tests, dict.fromkeys(tests, INSTANCES)))
