#!/usr/bin/env python3
"""regions.py: instances in three regions as real processes, and requests that
operators restrict to some of these regions.

Usage: regions.py BUILD_DIR [TEST...]"""
import http.client
import sys
import time

from fleet import (Site, chunk, config, event, head, play_stream, route,
                   run_tests, wait_for)

DCS = ("a", "b", "c")  # data centres, each in its own region
Site.regions = {d: "region-" + d for d in DCS}


def bound(version, *dcs, customer=()):
    """A configuration that restricts the chat route, and the customer if given, to
    the regions of these data centres."""
    c = config(version)
    names = lambda list_: ["region-" + d for d in list_]
    c["routes"][2] = route("c", "/chat/", "engine", "stream",
                           allowed_regions=names(dcs))
    if customer:
        c["tenants"][0]["allowed_regions"] = names(customer)
    return c


def place(s, targets):
    """Places one target in each data centre and sends a request that loads the
    budget."""
    for w, dc in zip(targets, DCS):
        w.entry = dict(w.entry, zone=dc)
        w.play = play_stream(2)
        s.store.put("servers", w.name, w.entry)
    wait_for("a budget", lambda: s.chat(1).status == 200)
    for w in targets:
        w.ran.clear()
    return dict(zip(DCS, targets))


def configure(s, c):
    s.store.put("config", "main", c)
    wait_for("version %d" % c["version"], lambda: all(
        any(l["event"] == "configuration" and l["version"] == c["version"]
            for l in s.log(i)) for i in range(3)))


def ran(targets):
    return {dc: len(w.ran) for dc, w in targets.items()}


def test_a_bound_request_runs_only_where_it_may(s):
    at = place(s, s.engines)
    configure(s, bound(2, "b"))
    for _ in range(3):
        for i in range(3):  # also if it arrives in another region
            assert s.chat(100, i=i).status == 200
    assert ran(at) == {"a": 0, "b": 9, "c": 0}, ran(at)


def test_route_and_customer_bound_together(s):
    at = place(s, s.engines)
    configure(s, bound(2, "a", "b", customer=("b", "c")))
    for i in range(3):
        assert s.chat(100, i=i).status == 200
    assert ran(at) == {"a": 0, "b": 3, "c": 0}, ran(at)


def test_nowhere_allowed_is_refused_at_once(s):
    at = place(s, s.engines)
    for version, c in ((2, bound(2, "z")), (3, bound(3, "a", customer=("b",)))):
        configure(s, c)
        for i in range(3):
            began = time.monotonic()
            a = s.chat(100, i=i)
            assert a.status == 503 and float(a.headers["retry-after"]) > 0
            assert a.headers["loftpath-ran"] == "not-run", a.headers
            assert time.monotonic() - began < 0.2
    assert sum(ran(at).values()) == 0
    unknown = [l for l in s.log(0) if l["event"] == "region-unknown"]
    assert [l["region"] for l in unknown] == ["region-z"], unknown


def test_a_stream_goes_on_only_where_it_may(s):
    """Its target breaks the stream, and the two others could resume it."""
    at = place(s, s.engines)
    broken = []

    def play(w, c, h):
        first = not broken
        broken.append(w.name)
        return play_stream(8, 4 if first else None)(w, c, h)

    for w in s.engines:
        w.play = play
    configure(s, bound(2, "a", "b"))
    time.sleep(0.6)  # an instance makes no retries in its first window
    a = s.chat(100, i=2)
    assert a.status == 200
    assert a.body.decode() == "".join(event(k) for k in range(1, 9)), a.body
    assert len(broken) == 2 and at["c"].name not in broken, broken


def test_a_list_that_changes_binds_the_next_send(s):
    """A stream starts in `a`; while it runs, `b` and `c` are allowed instead, and
    then its target breaks the stream. The list at its start still applies too."""
    at = place(s, s.engines)

    def play(w, c, h):
        if w is not at["a"]:
            return play_stream(8)(w, c, h)
        c.sendall(head(h["x-loftpath-attempt-id"],
                       "Content-Type: text/event-stream",
                       "Transfer-Encoding: chunked"))
        for k in (1, 2, 3):
            c.sendall(chunk(event(k)))
        configure(s, bound(3, "b", "c"))
        return False

    for w in s.engines:
        w.play = play
    configure(s, bound(2, "a"))
    time.sleep(0.6)
    try:
        s.chat(100)
        raise AssertionError("a cut stream looks whole")
    except (http.client.HTTPException, ConnectionError):
        pass
    assert at["b"].ran == [] and at["c"].ran == [], "both lists apply to it"


if __name__ == "__main__":
    sys.exit(run_tests(globals(), instances={n: 3 for n in list(globals())
                                             if n.startswith("test_")},
                       engines=3))
