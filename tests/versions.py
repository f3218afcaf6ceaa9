#!/usr/bin/env python3
"""versions.py: a stream goes on only at targets of the software version that began
it, within one answer and when its caller takes it up at another instance.

Guards against this failure: 43 streams held events of two software versions. The
version of a target was no criterion of the choice, and no instance could tell which
version had begun a stream that a caller took up.

Usage: versions.py BUILD_DIR [TEST...]"""
import http.client
import random
import re
import signal
import sys
import threading
import time

from fleet import Site, config, route, run_in_groups, run_tests, wait_for
from proxy import Proxy
from standins import Worker, chunk, event, head

INSTANCES, SIX, MANY = 3, 6, 14
GROUPS = 6          # of tests that run side by side
EVENTS, PAUSE_S = 10, 0.03
PLAY_S = 10.0
SETTLE_S = 2.5      # until all instances know of new targets
REFUSED_S = 0.1     # a request that can't be served is refused within this
HISTORY_S = 31.0    # callers take no stream up after this
GOES_ON = 0.5       # of the streams taken up, relative to new ones that begin


class Engine(Worker):
    """Streams `events` events that name its version. With the chance `breaks` an
    exchange breaks, between two events or inside one."""

    breaks, dice = 0.0, random.Random(5)
    lengthless = False  # answers have neither a length nor chunks
    events, pause_s = EVENTS, PAUSE_S

    def answer(self, c, method, path, headers, body):
        if headers.get("x-loftpath-expect-instance") != self.name:
            return super().answer(c, method, path, headers, body)
        pack = str.encode if self.lengthless else chunk
        first = int(headers.get("last-event-id", "0")) + 1
        broken_at = (self.dice.randrange(first, self.events + 1)
                     if self.dice.random() < self.breaks else None)
        c.sendall(head(headers["x-loftpath-attempt-id"],
                       "Content-Type: text/event-stream",
                       *([] if self.lengthless else ["Transfer-Encoding: chunked"])))
        for k in range(first, self.events + 1):
            text = event(k).replace("token", self.version + " token")
            if k == broken_at:
                if self.lengthless or self.dice.random() < 0.5:
                    c.sendall(pack(text[:8]))
                return False
            c.sendall(pack(text))
            time.sleep(self.pause_s)
        if not self.lengthless:
            c.sendall(b"0\r\n\r\n")
        return not self.lengthless


class Versions:
    """Engines of several versions."""

    kind = Engine

    def __init__(self, s, counts, breaks=0.0, lengthless=False):
        s.remove_workers(s.engines)
        s.store.put("config", "main", config(2, prepaid=10**7))
        self.s, self.breaks, self.lengthless, self.n = s, breaks, lengthless, 0
        self.engines = []
        s.desks.append(self)  # so that they are closed with the site
        for version, n in counts.items():
            for _ in range(n):
                self.add(version)
        time.sleep(SETTLE_S)

    def add(self, version, address=("127.0.0.1", 0), service="engine"):
        self.n += 1
        e = self.kind(address, self.s.store, "v%d" % self.n, service, version)
        e.breaks, e.lengthless = self.breaks, self.lengthless
        self.engines.append(e)
        return e

    def of(self, version):
        return [e for e in self.engines if e.version == version]

    def remove(self, engine, drain_s=0.0):
        if drain_s:
            engine.drain()
            time.sleep(drain_s)
        self.s.store.remove("servers", engine.name)
        engine.close()
        self.engines.remove(engine)

    def replace(self, engine, version):
        """Ends an engine and starts another at its address."""
        host, port = engine.address.split(":")
        self.remove(engine, 0.3)
        return self.add(version, (host, int(port)))

    def close(self):
        for e in self.engines:
            e.close()


class Taken:
    """A stream and the attempts of its caller, at `instances` one after the other.
    The caller leaves an attempt before the event `leave_at` of the stream."""

    names_attempt = True  # that brought the first event
    path = "/chat/x"
    ended = False         # an answer ended as its framing says

    def __init__(self, s, resumes=None, last=0, version=None):
        self.s, self.first, self.last = s, resumes, last
        self.versions = {version} if version else set()
        self.refused = self.retry_s = self.error = None
        self.ids, self.attempts, self.took_s = [], [], 0.0
        self.more = {}

    def attempt(self, i, leave_at=None):
        """Returns whether any further event came."""
        h = self.s.head(X_Loftpath_Token_Count="20,30", **self.more)
        if self.last > 0 or self.first:
            h["Last-Event-Id"] = str(self.last)
            if self.names_attempt:
                h["Resumes"] = self.first
        before, began = self.last, time.monotonic()
        self.refused = self.retry_s = self.error = None
        self.ended = False
        self.attempts.append(h["X-Loftpath-Attempt-Id"])
        c = self.s.connect(i)
        try:
            c.request("POST", self.path, b"stream", h)
            r = c.getresponse()
            self.refused = r.status if r.status != 200 else None
            if r.status != 200:
                again = r.getheader("Retry-After")
                self.retry_s = float(again) if again else None
                self.error = r.read().decode()
                return False
            self._read(r, leave_at, h["X-Loftpath-Attempt-Id"])
        except (OSError, http.client.HTTPException):
            pass
        finally:
            self.took_s = time.monotonic() - began
            c.close()
        return self.last > before

    def _lines(self, r):
        """Whole lines. Not by readline(), for which a connection that ends early
        is the end of the answer."""
        held = b""
        while data := r.read1():
            *lines, held = (held + data).split(b"\n")
            yield from lines
        self.ended = r.chunked

    def _read(self, r, leave_at, attempt):
        for line in self._lines(r):
            if line.startswith(b"id:"):
                k = int(line[3:])
            found = re.match(rb"data: (\S+) token", line)
            if found:
                self.ids.append(k)
                self.last = k
                self.first = self.first or attempt
                self.versions.add(found[1].decode())
                if leave_at is not None and self.last + 1 >= leave_at:
                    return

    @property
    def whole(self):
        return self.ids == list(range(1, EVENTS + 1))


class Load:
    """Streams at random instances. A share `leaves` of the callers leaves midway and
    takes the stream up at other instances, as do all whose answer is cut."""

    def __init__(self, s, leaves=0.3, seed=1, every_s=0.05):
        self.s, self.leaves, self.dice = s, leaves, random.Random(seed)
        self.every_s, self.made, self.threads = every_s, [], []
        self.taken_up = self.gone_on = 0
        self.lock, self.stopping = threading.Lock(), False
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self):
        while not self.stopping:
            t = threading.Thread(target=self._play, args=(self.dice.random(),))
            t.start()
            self.threads.append(t)
            time.sleep(self.every_s)

    def _play(self, seed):
        dice, n = random.Random(seed), len(self.s.processes)
        i, taken = dice.randrange(n), Taken(self.s)
        leave_at = dice.randrange(2, EVENTS) if dice.random() < self.leaves else None
        taken.attempt(i, leave_at)
        for _ in range(2):
            if taken.last in (0, EVENTS):
                break
            i = (i + dice.randrange(1, max(n, 2))) % n
            on = taken.attempt(i)
            with self.lock:
                self.taken_up += 1
                self.gone_on += on
        with self.lock:
            self.made.append(taken)

    def stop(self):
        self.stopping = True
        self.thread.join()
        for t in self.threads:
            t.join()

    def check(self, least=30, going_on=True):
        mixed = [t for t in self.made if len(t.versions) > 1]
        begun = sum(t.last > 0 for t in self.made)
        print("   %d streams, %d begun, %d of two versions; %d of %d taken up went on"
              % (len(self.made), begun, len(mixed), self.gone_on, self.taken_up),
              flush=True)
        joined = [t for t in self.made if t.ids != list(range(1, len(t.ids) + 1))]
        assert not joined, "events %s" % joined[0].ids
        assert not mixed, "%d streams hold events of two versions" % len(mixed)
        assert self.taken_up >= least, "only %d were taken up" % self.taken_up
        share = self.gone_on / self.taken_up
        assert not going_on or share >= GOES_ON * begun / len(self.made), (
            "%d of %d went on" % (self.gone_on, self.taken_up))


def begin_at_once(s, n, i=0, leave_at=4, path=Taken.path):
    """Streams that begin together, and so at several targets; their callers leave."""
    made = [Taken(s) for _ in range(n)]
    for t in made:
        t.path = path
    threads = [threading.Thread(target=t.attempt, args=(i, leave_at)) for t in made]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    return made


def take_up(t, i):
    """The killed instance may have been the budget's home, whose place another takes
    within seconds; new streams are refused in that time as well."""
    end = time.monotonic() + 8.0
    while not t.attempt(i):
        if "budget" not in (t.error or "") or time.monotonic() > end:
            return False
        time.sleep(0.3)
    return True


def play(s, load, seconds=PLAY_S):
    time.sleep(seconds)
    load.stop()


# == in one answer ==


def test_a_broken_stream_goes_on_at_its_version(s):
    """Of 237 streams 38 went on at the other version in the same answer."""
    Versions(s, {"v1": 5, "v2": 5}, breaks=0.25)
    load = Load(s, leaves=0.0)
    play(s, load)
    load.check(least=0, going_on=False)
    whole = sum(t.whole for t in load.made)
    assert whole >= 0.9 * len(load.made), "%d of %d whole" % (whole, len(load.made))


def test_a_broken_stream_ends_if_its_version_is_gone(s):
    """The only target of the version breaks: the caller gets the end of its answer
    at once, no event of the other version."""
    v = Versions(s, {"v1": 1})
    v.of("v1")[0].breaks = 1.0
    t = Taken(s)
    wait_for("a stream", lambda: t.attempt(0) or t.last > 0)
    v.add("v2")
    time.sleep(SETTLE_S)
    for _ in range(6):
        t = Taken(s)
        t.attempt(0)
        assert len(t.versions) <= 1, t.versions


def test_answers_without_length_or_chunks(s):
    """An answer that ends inside an event was broken off, and goes on at the same
    version; one that ends after an event is whole."""
    Versions(s, {"v1": 5, "v2": 5}, breaks=0.25, lengthless=True)
    load = Load(s)
    play(s, load, 6.0)
    load.check(least=20)


# == over a caller's attempts ==


def test_a_stream_taken_up_elsewhere_goes_on_at_its_version(s):
    """Of 89 streams that went on at another instance 44 did so at the other
    version."""
    Versions(s, {"v1": 5, "v2": 5})
    load = Load(s)
    play(s, load)
    load.check()
    assert load.gone_on >= 0.9 * load.taken_up, load.gone_on


def test_broken_and_taken_up_in_a_larger_fleet(s):
    """At fourteen instances the one that a caller comes to knows nothing of it."""
    Versions(s, {"v1": 5, "v2": 5}, breaks=0.25)
    load = Load(s)
    play(s, load)
    load.check()


def test_taken_up_twice(s):
    """The caller names the attempt that brought the first event, also when it
    takes the stream up for the second time."""
    Versions(s, {"v1": 3, "v2": 3})
    for _ in range(20):
        t = Taken(s)
        t.attempt(0, leave_at=4)
        time.sleep(0.05)
        assert t.attempt(1, leave_at=7), t.error
        time.sleep(0.05)
        assert t.attempt(2), t.error
        assert t.whole and len(t.versions) == 1, (t.ids, t.versions)


def test_taken_up_after_its_instance_was_killed(s):
    """The version is known to others than the instance that began the stream."""
    Versions(s, {"v1": 4, "v2": 4})
    on, mixed, n = 0, 0, 0
    for k in range(5):
        i = k % len(s.processes)
        killer = threading.Timer(EVENTS * PAUSE_S / 2, s.processes[i].kill)
        killer.start()
        made = begin_at_once(s, 8, i, leave_at=None)
        s.processes[i].wait()
        for t in made:
            if 0 < t.last < EVENTS:
                n += 1
                on += t.attempt((i + 1) % len(s.processes))
                mixed += len(t.versions) > 1
        s.start(i)
        s.wait_ready(i)
        time.sleep(SETTLE_S)
    print("   %d of %d went on, %d at another version" % (on, n, mixed), flush=True)
    assert n >= 20 and mixed == 0 and on >= GOES_ON * n, (n, mixed, on)


def slow_stream(w, c, headers):
    """Streams EVENTS events, a target whose entry states no version."""
    c.sendall(head(headers["x-loftpath-attempt-id"], "Content-Type: text/event-stream",
                   "Transfer-Encoding: chunked"))
    for k in range(int(headers.get("last-event-id", "0")) + 1, EVENTS + 1):
        c.sendall(chunk(event(k).replace("token", "none token")))
        time.sleep(PAUSE_S)
    c.sendall(b"0\r\n\r\n")
    return True


def test_taken_up_in_a_fleet_that_has_just_started(s):
    """No instance has known the targets for long, so none can conclude that there
    was only one version: the instance that began the streams tells the others."""
    for w in s.engines:
        w.play = slow_stream
    wait_for("engines", lambda: all(
        s.chat(10, i=k).status == 200 for k in range(len(s.processes))))
    killer = threading.Timer(EVENTS * PAUSE_S / 2, s.processes[0].kill)
    killer.start()
    made = [t for t in begin_at_once(s, 12, 0, leave_at=None) if 0 < t.last < EVENTS]
    on = sum(take_up(t, 1) for t in made)
    print("   %d of %d went on" % (on, len(made)), flush=True)
    assert len(made) >= 6 and on >= 0.9 * len(made), (on, len(made))


def test_taken_up_after_all_instances_were_killed(s):
    """Nobody knows the version any more, and two serve: refused, not mixed."""
    Versions(s, {"v1": 3, "v2": 3})
    made = begin_at_once(s, 12)
    s.restart_all()
    for i in range(len(s.processes)):
        s.wait_ready(i)
    for t in made:
        t.attempt(1)
        assert len(t.versions) == 1, t.versions


def test_taken_up_in_another_region_after_a_region_was_lost(s):
    """One of a stream's homes is in the next region. Instances 0 and 2 are in one."""
    Versions(s, {"v1": 3, "v2": 3})
    made = begin_at_once(s, 12)
    for i in (0, 2):
        s.processes[i].kill()
        s.processes[i].wait()
    on = sum(take_up(t, 1 + 2 * (k % 2)) for k, t in enumerate(made))
    mixed = sum(len(t.versions) > 1 for t in made)
    print("   %d of 12 went on, %d at another version" % (on, mixed), flush=True)
    assert mixed == 0 and on >= 0.9 * len(made), (mixed, on)


def test_engines_replaced_at_their_own_addresses(s):
    """A target of another version stands at the address of the one that is gone."""
    v = Versions(s, {"v1": 8}, breaks=0.1)
    load = Load(s)
    time.sleep(1.0)
    for e in v.of("v1"):
        v.replace(e, "v2")
        time.sleep(0.5)
    time.sleep(2.0)
    load.stop()
    load.check(going_on=False)


def test_all_targets_of_a_version_leave(s):
    """What they began is refused at once; what began at the others goes on."""
    v = Versions(s, {"v1": 4, "v2": 4})
    made = begin_at_once(s, 24)
    for e in v.of("v1"):
        v.remove(e)
    time.sleep(SETTLE_S)
    on = 0
    for t in made:
        began_at = set(t.versions)
        went_on = t.attempt(1)
        assert t.versions == began_at, t.versions
        if began_at == {"v2"}:
            on += went_on
        else:
            assert t.refused == 503 and t.took_s < REFUSED_S, (t.refused, t.took_s)
    n = sum(t.versions == {"v2"} for t in made)
    assert 4 <= n <= 20 and on == n, (on, n)


def test_a_version_that_comes_back(s):
    """A rollback: its targets take up what the version began."""
    v = Versions(s, {"v1": 2, "v2": 2})
    made = begin_at_once(s, 12)
    for e in v.of("v1"):
        v.remove(e)
    time.sleep(SETTLE_S)
    v.add("v1")
    time.sleep(SETTLE_S)
    for t in made:
        assert t.attempt(1) and t.whole and len(t.versions) == 1, (
            t.ids, t.versions, t.error)


def test_one_version_alone_needs_no_record(s):
    """While all targets have had one version for as long as streams last, one goes
    on that nobody knows."""
    Versions(s, {"v1": 4})
    time.sleep(HISTORY_S)
    t = Taken(s, resumes="unknown", last=3)
    assert t.attempt(0) and t.ids == list(range(4, EVENTS + 1)), (t.ids, t.error)


def test_an_unknown_attempt_is_refused_while_two_versions_serve(s):
    Versions(s, {"v1": 2, "v2": 2})
    for name in ("unknown", "x" * 500, ""):
        t = Taken(s, resumes=name, last=3)
        assert not t.attempt(0) and t.refused == 503, (name[:9], t.refused, t.ids)
        assert t.took_s < REFUSED_S, t.took_s
        assert '"stream-unknown"' in t.error, t.error


def test_another_customers_attempt_is_unknown(s):
    v = Versions(s, {"v1": 2, "v2": 2})
    conf = config(3, prepaid=10**7)
    conf["tenants"].append({"name": "other", "api_keys": ["key-other"],
                            "prepaid": 10**6})
    s.store.put("config", "main", conf)
    time.sleep(SETTLE_S)
    t = Taken(s)
    t.attempt(0, leave_at=4)
    forged = Taken(s, resumes=t.first, last=3)
    forged.more = {"Authorization": "Bearer key-other"}
    assert not forged.attempt(0) and forged.refused == 503, forged.refused
    assert t.attempt(1) and t.whole, t.error


def test_a_stopping_instance_hands_on_what_it_knows(s):
    """A planned stop of the instance that began the streams."""
    Versions(s, {"v1": 3, "v2": 3})
    made = begin_at_once(s, 10)
    s.processes[0].send_signal(signal.SIGTERM)
    s.processes[0].wait()
    for t in made:
        assert t.attempt(1) and t.whole and len(t.versions) == 1, (
            t.ids, t.versions, t.error)


def check_not_mixed(what, made):
    mixed = [t for t in made if len(t.versions) > 1]
    print("   %s: %d begun, %d refused, %d of two versions" % (
        what, sum(t.last > 0 for t in made), sum(t.refused is not None for t in made),
        len(mixed)), flush=True)
    assert not mixed, "%s: %d of %d streams of two versions" % (
        what, len(mixed), len(made))


# == each instance has known one version for long, and a stream began at another ==


def config_of_two(version, moved):
    """Requests are split between two services; with `moved`, those of /chat/ go to
    the other one."""
    split = [{"service": name, "weight": 50} for name in ("engine", "other")]
    c = config(version, prepaid=10**7,
               routes=[route("p", "/split/", None, "stream", split=split)])
    del c["routes"][-1]["service"]
    c["services"].append({"name": "other", "engine": {"slots": 8, "stride": 1}})
    if moved:
        c["routes"][2]["service"] = "other"
    return c


def test_a_stream_does_not_go_on_at_the_only_version_of_another_service(s):
    """26 of 40 streams went on at another service: those of a route that was moved to
    it, and half of those of a route that is split between two."""
    v = Versions(s, {"v1": 3})
    for _ in range(3):
        v.add("v2", service="other")
    s.store.put("config", "main", config_of_two(3, moved=False))
    time.sleep(HISTORY_S)
    moved = begin_at_once(s, 20)
    split = begin_at_once(s, 20, path="/split/x")
    s.store.put("config", "main", config_of_two(4, moved=True))
    time.sleep(SETTLE_S)
    for t in moved + split:
        t.attempt(1)
    check_not_mixed("moved and split", moved + split)


def begin_unseen_by_the_last(s):
    """Returns streams of two versions. The last instance has been cut off from the
    store since only the first of them served."""
    v = Versions(s, {"v1": 3})
    conf = config(3)
    del conf["tenants"][0]["prepaid"]  # its budget could not be read
    s.store.put("config", "main", conf)
    time.sleep(HISTORY_S)
    s.proxies[-1].hold = {"up", "down"}
    for _ in range(3):
        v.add("v2")
    time.sleep(SETTLE_S)
    made = begin_at_once(s, 24)
    assert {x for t in made for x in t.versions} == {"v1", "v2"}
    return made


def test_an_instance_without_the_store_asks_others_when_no_attempt_is_named(s):
    """12 of 24 callers that sent Last-Event-Id alone got the rest of their stream from
    the only version that the instance knew; it asked nobody."""
    made = begin_unseen_by_the_last(s)
    for t in made:
        t.names_attempt = False
        t.attempt(len(s.processes) - 1)
    check_not_mixed("without an attempt", made)


def test_instances_that_do_not_answer_leave_the_version_open(s):
    """4 of 24 streams went on at the only version that the last instance knew, after
    all others were killed that could have said otherwise."""
    made = begin_unseen_by_the_last(s)
    for p in s.processes[:-1]:
        p.kill()
    for p in s.processes[:-1]:
        p.wait()
    for t in made:
        t.attempt(len(s.processes) - 1)
    check_not_mixed("without answers", made)


class TwoRegions(Site):
    """Instances are in the one and the other by turns."""

    regions = {"a": "region-a", "b": "region-b"}


TESTS = {n: f for n, f in globals().items() if n.startswith("test_")}

if __name__ == "__main__":
    sizes = dict.fromkeys(TESTS, INSTANCES)
    sizes["test_broken_and_taken_up_in_a_larger_fleet"] = MANY
    regional = "test_taken_up_in_another_region_after_a_region_was_lost"
    sizes[regional] = 4
    sizes["test_instances_that_do_not_answer_leave_the_version_open"] = SIX
    proxies = dict.fromkeys([
        "test_an_instance_without_the_store_asks_others_when_no_attempt_is_named",
        "test_instances_that_do_not_answer_leave_the_version_open"], Proxy)
    names = sys.argv[2:]
    if not names:
        sys.exit(run_in_groups(list(TESTS), GROUPS))
    others, status = [n for n in names if n != regional], 0
    if others:
        status = run_tests(TESTS, sizes, proxies, names=others)
    if regional in names:
        status |= run_tests(TESTS, sizes, names=[regional], site=TwoRegions)
    sys.exit(status)
