#!/usr/bin/env python3
"""behind.py: instances with a stale configuration catch up while changes continue.

Guards against this failure: 20 s after a restart of all instances, nearly all of
them answered requests, 50 in all, by a configuration that was more than 3 s out of
date, and 10 requests reached a target more than 3 s after it had left.

A configuration with many routes takes a quarter of a second of a small instance's
bandwidth. After the restart each instance listed a state some seconds old, as the
store may return, and then read every version since, each in full. That exceeded
the time limit of a call, so the call was repeated from the same position while
more versions arrived. Lagging instances read the history instead of the newest
version, a call's time limit counted from its start regardless of progress, and the
size limit of messages between instances was below that of the configuration, so
peers could not supply it.

With that fault all instances stay at version 9 until the changes end, and log
`store-lost` and `configuration-asked`. lag.py --mode cut covers a reader that is
cut off and keeps others from requesting the configuration.

Usage: behind.py BUILD_DIR [TEST...]"""
import sys
import time

from fleet import config, route, run_tests, wait_for
from proxy import Proxy

INSTANCES = 14
BOUND_S = 3.0     # until a configuration or a leaving target is known
IN_TOUCH_S = 4.0  # after a start; instances that started more recently are exempt
OLD_S = 3.0       # max age of listings
STORM_S = 0.35    # between two configurations
LINE = 1250000    # bytes/s between an instance and the store
ROUTES = 1640     # a configuration of 307 kB
LARGEST = 5000    # one of 0.94 MB


def instances_too_late(s, knows, since):
    """The instances whose log has no line that satisfies `knows` within BOUND_S
    after `since`."""
    def in_time(i):
        return any(knows(l) and l["t"] <= since + BOUND_S for l in s.log(i))

    return [i for i in range(len(s.processes)) if not in_time(i)]


def test_all_restart_while_large_configurations_follow_each_other(s):
    more = [route("r%05d" % k, "/idle-%05d/" % k, "desk", "safe")
            for k in range(ROUTES)]
    version = [1]

    def storm(seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            version[0] += 1
            s.store.put("config", "main", config(version[0], routes=more))
            time.sleep(STORM_S)

    s.store.old_s = OLD_S
    for p in s.proxies:
        p.rate = LINE
    storm(OLD_S)
    s.restart_all()
    storm(IN_TOUCH_S)
    put, wanted = time.time(), version[0]
    gone = s.engines[0].name
    s.engines[0].drain()
    storm(BOUND_S + 1)
    late = instances_too_late(s, lambda l: l["event"] == "configuration" and
                   l["version"] >= wanted, put)
    assert not late, "version %d is not in force at %s" % (wanted, late)
    late = instances_too_late(s, lambda l: l["event"] == "target" and l["leaving"] and
                   l["target"] == gone, put)
    assert not late, "%s is not known to leave at %s" % (gone, late)


def test_a_busy_line_brings_the_largest_configuration(s):
    """The configuration has nearly the max size of a store object. At half of
    10 Mbit/s its transfer takes 1.5 s, longer than a call's former time limit."""
    more = [route("r%05d" % k, "/idle-%05d/" % k, "desk", "safe")
            for k in range(LARGEST)]
    s.proxies[0].rate = LINE // 2
    s.store.put("config", "main", config(2, routes=more))
    s.restart_all()
    wait_for("the configuration", lambda: serves(
        s, 0, "/idle-%05d/x" % (LARGEST - 1)), BOUND_S + 1)


def serves(s, i, path):
    try:
        return s.call(path, i=i).status == 200
    except OSError:  # the instance is starting
        return False


def test_a_restart_in_an_outage_takes_a_large_configuration_from_its_peers(s):
    """A version that some instances have must reach the others without the store,
    whatever its size."""
    more = [route("r%05d" % k, "/idle-%05d/" % k, "desk", "safe")
            for k in range(ROUTES)]
    s.store.put("config", "main", config(2, routes=more))
    wait_for("the configuration", lambda: all(
        serves(s, i, "/idle-01639/x") for i in range(INSTANCES)), 8)
    s.store.down = True
    time.sleep(IN_TOUCH_S)
    for i in (0, 5, 9):
        s.processes[i].kill()
        s.processes[i].wait()
        s.start(i)
    for i in (0, 5, 9):
        wait_for("the configuration at a restarted instance", lambda: any(
            l["event"] == "configuration" and l["version"] == 2
            for l in s.life(i)), BOUND_S)


TESTS = {n: f for n, f in globals().items() if n.startswith("test_")}

if __name__ == "__main__":
    sizes = dict.fromkeys(TESTS, INSTANCES)
    sizes["test_a_busy_line_brings_the_largest_configuration"] = 1
    sys.exit(run_tests(TESTS, sizes,
                       dict.fromkeys(TESTS, Proxy)))
