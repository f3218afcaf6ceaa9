"""pool.py: engines that end and are replaced, and callers that send a request that
crashes engines, or harmless ones, for tests with real processes."""
import http.client
import random
import threading
import time

from faults import IN_TOUCH_S  # from the third end until all instances know of it
from fleet import config
from standins import Worker, chunk, event, head

ENGINES = 10
BACK_S = 3.0      # from an engine's end to its replacement under a new id
AGAIN_S = 0.2     # or to its restart under the same id
LAPSE_S = 1.0     # from an engine's end to the removal of its entry
BEGUN_S = 0.05    # from the bad request's first event to the engine's end
EVENTS, PAUSE_S = 10, 0.04  # of a harmless stream
BAD = b"ends whoever runs it"
MORE = 3          # how often it may still reach a target after that


def parts_of(headers):
    """The ids of the prompt's parts; the last is the request's own."""
    listed = headers.get("x-loftpath-prefix-hash", "")
    return [p.split(":")[0] for p in listed.split(",") if p]


class Engine(Worker):
    """Streams EVENTS events; exits while it runs BAD, or a prompt with one of the
    pool's bad parts before its last."""

    def __init__(self, pool, name, address=("127.0.0.1", 0)):
        self.pool, self.ended = pool, False
        super().__init__(address, pool.store, name, "engine")

    def answer(self, c, method, path, headers, body):
        if headers.get("x-loftpath-expect-instance") != self.name:
            return super().answer(c, method, path, headers, body)
        bad = body == BAD or bool(self.pool.bad_parts & set(parts_of(headers)[:-1]))
        if bad:
            self.pool.reached.append(
                (time.monotonic(), headers["x-loftpath-attempt-id"]))
        c.sendall(head(headers["x-loftpath-attempt-id"],
                       "Content-Type: text/event-stream",
                       "Transfer-Encoding: chunked"))
        c.sendall(chunk(event(1)))
        if bad:
            time.sleep(BEGUN_S)
            self.pool.end(self, True)
            return False
        for k in range(2, EVENTS + 1):
            time.sleep(self.pool.pause_s)
            c.sendall(chunk(event(k)))
        c.sendall(b"0\r\n\r\n")
        return True


class Pool:
    """Engines that are replaced under new ids after they end."""

    def __init__(self, store, n):
        self.store, self.lock = store, threading.Lock()
        self.n, self.engines = 0, []
        self.bad_parts, self.pause_s = set(), PAUSE_S
        self.again = False  # whether engines restart at once under their ids
        self.reached = []  # (time, attempt) of the bad request at an engine
        self.ends = []     # times at which it ended an engine
        for _ in range(n):
            self.add()

    def add(self):
        with self.lock:
            self.n += 1
            self.engines.append(Engine(self, "c%d" % self.n))

    def end(self, engine, by_bad):
        with self.lock:
            if engine.ended:
                return
            engine.ended = True
            if by_bad:
                self.ends.append(time.monotonic())
        engine.close()
        if self.again:
            threading.Timer(AGAIN_S, self.restart, (engine,)).start()
            return
        threading.Timer(LAPSE_S, self.store.remove, ("servers", engine.name)).start()
        threading.Timer(BACK_S, self.add).start()

    def restart(self, old):
        host, port = old.address.split(":")
        with self.lock:
            e = Engine(self, old.name, (host, int(port)))
            self.engines.append(e)
        self.store.put("servers", e.name, dict(
            e.entry, born=int(time.time() * 1000)))

    def close(self):
        for e in self.engines:
            e.close()


class Stream:
    """One request and its outcome."""

    def __init__(self, s, i, body, key="key-acme", patience_s=None, parts=None):
        self.began, self.served, self.status, self.kind = time.monotonic(), False, 0, ""
        self.again_s = None  # Retry-After
        self.instance, self.begun = i, False
        try:
            c = s.connect(i)
            self.id = None
            h = s.head(X_Loftpath_Token_Count="20,30", Authorization="Bearer " + key)
            if parts:
                h["X-Loftpath-Prefix-Hash"] = ",".join(p + ":5" for p in parts)
            self.id = h["X-Loftpath-Attempt-Id"]
            c.request("POST", "/chat/x", body, h)
            if patience_s:
                time.sleep(patience_s)
                c.close()
                return
            r = c.getresponse()
            self.status, self.begun = r.status, r.status == 200
            text = r.read()
            self.served = r.status == 200 and text.count(b"id: ") == EVENTS
            if r.getheader("Retry-After"):
                self.again_s = float(r.getheader("Retry-After"))
            if r.status != 200:
                self.kind = text.decode()
        except (OSError, http.client.HTTPException):
            pass


class Callers:
    """Starts `burst` streams every `every_s` at random instances, for `seconds`.
    Callers disconnect after `patience_s`, if given."""

    def __init__(self, s, every_s, seconds, body, burst=1, patience_s=None):
        self.made, self.threads = [], []
        self.burst, self.patience_s = burst, patience_s
        self.thread = threading.Thread(
            target=self._run, args=(s, every_s, seconds, body))
        self.thread.start()

    def _run(self, s, every_s, seconds, body):
        dice, end, n = random.Random(1), time.monotonic() + seconds, 0
        while time.monotonic() < end:
            for _ in range(self.burst):
                n += 1
                i = dice.randrange(len(s.processes))
                t = threading.Thread(target=self._make, args=(s, i, body(n)))
                t.start()
                self.threads.append(t)
            time.sleep(every_s)

    def _make(self, s, i, body):
        self.made.append(Stream(s, i, body, patience_s=self.patience_s))

    def join(self):
        self.thread.join()
        for t in self.threads:
            t.join()


def with_pool(s):
    """Replaces the site's engines by a Pool."""
    s.remove_workers(s.engines)
    conf = config(2, prepaid=10**6)
    conf["tenants"].append({"name": "other", "api_keys": ["key-other"],
                            "prepaid": 10**6})
    s.store.put("config", "main", conf)
    pool = Pool(s.store, ENGINES)
    s.desks.append(pool)  # so that it is closed with the site
    time.sleep(1.0)       # until all instances know it
    return pool


def repeat_bad(s, seconds, every_s=0.25):
    return Callers(s, every_s, seconds, lambda n: BAD)


def harmless(s, seconds, every_s=0.1):
    return Callers(s, every_s, seconds, lambda n: b"harmless %d" % n)


def check_bound(pool, least=3, counts=lambda at, attempt: True):
    """Checks how often the bad request reached a target later than allowed. Fails
    if fewer than `least` engines ended, as the run then shows nothing. `counts`:
    whether an arrival is counted."""
    assert len(pool.ends) >= least, "only %d ends" % len(pool.ends)
    third_end = sorted(pool.ends)[min(2, len(pool.ends) - 1)]
    late_arrivals = [t for t, attempt in pool.reached
                     if t > third_end + IN_TOUCH_S and counts(t, attempt)]
    print("   %d attempts came to targets, %d of them later than %g s after the "
          "third end; %d targets ended" % (
              len(pool.reached), len(late_arrivals), IN_TOUCH_S, len(pool.ends)),
          flush=True)
    assert len(late_arrivals) <= MORE, "%d more" % len(late_arrivals)
