#!/usr/bin/env python3
"""still.py: after its machine was suspended, an instance does not act on stale
state.

The monotonic clock doesn't count the seconds of a suspension. By that clock the
list of targets, the keys and the configuration are as fresh as before, and the
first event after it may be a request. The tests hold the connection to the store,
so that no change made meanwhile has arrived by then.

Usage: still.py BUILD_DIR [TEST...]"""
import os
import signal
import sys
import tempfile
import time

from fleet import BUILD, Site, config, route, run_tests, wait_for
from proxy import Proxy

JUMPS_S = (1, 5, 30)
FILE = tempfile.NamedTemporaryFile("w", prefix="suspend-")
Site.env = {"LD_PRELOAD": os.path.join(BUILD, "tests", "libsuspend.so"),
            "SUSPEND_FILE": FILE.name}
suspended = [0]  # total seconds, as written to FILE


def suspend(s, seconds, meanwhile):
    """Suspends the machine of the first instance while `meanwhile` runs. Its
    connection to the store stays held afterwards."""
    p = s.processes[0]
    time.sleep(0.3)  # until it has no work in progress
    p.send_signal(signal.SIGSTOP)
    s.proxies[0].hold = {"up", "down"}
    meanwhile()
    time.sleep(0.1)
    suspended[0] += seconds
    FILE.seek(0)
    FILE.write("%d\n" % suspended[0])
    FILE.flush()
    p.send_signal(signal.SIGCONT)


def is_refused_as_stale(a):
    return (a.status == 503 and b'"behind"' in a.body and
            float(a.headers["retry-after"]) <= 1)


def catch_up(s, path="/safe/x", **more):
    """Reopens its connection to the store and waits until it serves."""
    s.proxies[0].heal()
    wait_for("the instance", lambda: s.call(path, **more).status == 200, 3)


def each_jump(check):
    """A test that runs `check` for each length of suspension."""

    def test(s):
        for k, seconds in enumerate(JUMPS_S):
            check(s, seconds, k)
    return test


def serves(s):
    """The desk that currently gets the requests."""
    name = s.call("/safe/x").body.split(b" ")[0].decode()
    return [w for w in s.desks if w.name == name][0]


def leaving_target(s, seconds, k):
    leaves = serves(s)
    suspend(s, seconds, leaves.drain)
    before = len(leaves.ran)
    a = s.call("/safe/x")
    assert is_refused_as_stale(a), (seconds, a.status, a.body)
    catch_up(s)
    for _ in range(20):
        assert s.call("/safe/x").status == 200
    assert len(leaves.ran) == before
    s.store.put("servers", leaves.name, leaves.entry)


def revoked_key(s, seconds, k):
    old, new = "key-%d" % k, "key-%d" % (k + 1)
    s.store.put("config", "main", config(10 + 2 * k, keys=[old]))
    wait_for("the old key", lambda: s.call(
        "/safe/x", Authorization="Bearer " + old).status == 200, 3)
    suspend(s, seconds, lambda: s.store.put(
        "config", "main", config(11 + 2 * k, keys=[new])))
    a = s.call("/safe/x", Authorization="Bearer " + old)
    assert is_refused_as_stale(a), (seconds, a.status, a.body)
    catch_up(s, Authorization="Bearer " + new)
    assert s.call("/safe/x", Authorization="Bearer " + old).status == 401


def route_that_moved(s, seconds, k):
    """A route is removed, and another is added."""
    def with_route(version, prefix):
        return config(version, routes=[route("m", prefix, "desk", "safe")])

    s.store.put("config", "main", with_route(10 + 2 * k, "/old-%d/" % k))
    wait_for("the old route", lambda: s.call("/old-%d/x" % k).status == 200, 3)
    suspend(s, seconds, lambda: s.store.put(
        "config", "main", with_route(11 + 2 * k, "/new-%d/" % k)))
    a = s.call("/old-%d/x" % k)
    assert is_refused_as_stale(a), (seconds, a.status, a.body)
    catch_up(s, "/new-%d/x" % k)
    assert s.call("/old-%d/x" % k).status == 404


def evacuation(s, seconds, k):
    """The data centre of all desks is evacuated; no target is left."""
    suspend(s, seconds, lambda: s.store.put("evacuations", "a", {}))
    before = sum(len(w.ran) for w in s.desks)
    assert is_refused_as_stale(s.call("/safe/x"))
    s.proxies[0].heal()
    wait_for("the evacuation", lambda: b'"no-target"' in s.call("/safe/x").body, 3)
    assert sum(len(w.ran) for w in s.desks) == before
    s.store.remove("evacuations", "a")
    catch_up(s)


def kept_connections(s, seconds, k):
    """The targets have closed the connections, or lost them without notice."""
    for w in s.desks:
        assert s.call("/once/x", "POST", b"b").status == 200
    before = sum(w.connections for w in s.desks)
    suspend(s, seconds, lambda: None)
    catch_up(s)
    assert sum(w.connections for w in s.desks) > before
    a = s.call("/once/x", "POST", b"b")
    assert a.status == 200 and sum(w.ran.count(a.id) for w in s.desks) == 1


test_a_target_that_left_gets_nothing = each_jump(leaving_target)
test_a_key_that_was_revoked_is_not_served = each_jump(revoked_key)
test_a_route_that_is_gone_is_not_served = each_jump(route_that_moved)
test_an_evacuated_target_gets_nothing = each_jump(evacuation)
test_kept_connections_are_not_used = each_jump(kept_connections)


def test_where_the_store_is_away_it_serves_as_in_any_outage(s):
    suspend(s, 5, lambda: None)
    assert is_refused_as_stale(s.call("/safe/x"))
    wait_for("the instance", lambda: s.call("/safe/x").status == 200, 3)


def test_a_short_pause_is_borne(s):
    """Pauses of less than a second are normal on busy machines."""
    s.processes[0].send_signal(signal.SIGSTOP)
    time.sleep(0.5)
    s.processes[0].send_signal(signal.SIGCONT)
    assert s.call("/safe/x").status == 200


TESTS = {n: f for n, f in globals().items() if n.startswith("test_")}

if __name__ == "__main__":
    sys.exit(run_tests(TESTS, proxies=dict.fromkeys(TESTS, Proxy)))
