"""standins.py: small stand-ins of the users' platform for tests: its object store
and a worker. Each serves HTTP/1.1 on a loopback address."""
import itertools
import json
import random
import socket
import threading
import time
import urllib.parse

HEARTBEAT_S = 0.2
HANG_S = 5.0
PAGE_BYTES = 1 << 20  # of a listing, which ends with the entry that exceeds it


class Server:
    """Runs one thread per connection. `handle(method, path, headers, body)` returns
    (status, headers, body), or None to close the connection at once."""

    def __init__(self, address):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(address)
        self.socket.listen(128)
        self.address = "%s:%d" % self.socket.getsockname()
        self.connections, self.open = 0, set()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                c, _ = self.socket.accept()
            except OSError:
                return
            self.connections += 1
            self.open.add(c)
            threading.Thread(target=self._serve, args=(c,), daemon=True).start()

    def _serve(self, c):
        f = c.makefile("rb")
        try:
            while True:
                line = f.readline()
                if not line:
                    return
                method, path, _ = line.decode().split(" ", 2)
                headers = {}
                while True:
                    line = f.readline().decode().strip()
                    if not line:
                        break
                    k, v = line.split(":", 1)
                    headers[k.lower()] = v.strip()
                body = f.read(int(headers.get("content-length", 0)))
                if not self.answer(c, method, path, headers, body):
                    return
        except (OSError, ValueError):
            return
        finally:
            self.open.discard(c)
            c.close()

    def answer(self, c, method, path, headers, body):
        response = self.handle(method, path, headers, body)
        if response is None:
            return False
        status, extra, data = response
        head = "HTTP/1.1 %d X\r\nContent-Length: %d\r\n" % (status, len(data))
        for k, v in extra.items():
            head += "%s: %s\r\n" % (k, v)
        c.sendall(head.encode() + b"\r\n" + data)
        return True

    def close(self):
        try:
            self.socket.shutdown(socket.SHUT_RDWR)  # or accept() gets one more
        except OSError:
            pass
        self.socket.close()
        for c in list(self.open):
            try:
                c.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Store(Server):
    """Objects by kind and name, conditional updates, watches.

    Faults: `down`: every call gets 503. `lose`: writes take effect, and their
    connection is closed without a response. `hang`: calls get no response for
    HANG_S, then the connection is closed. `unfenced`: update conditions are
    ignored, so that tests of the fences must fail.

    A healthy store may also do this: `old_s`: listings that allow stale data show
    the state of so many seconds ago. `cut`: the share of waiting watches that are
    closed. `per_s`: calls over this rate per second get 429; 0: no limit. `page`:
    max entries per page of a listing; 0: no limit.

    `frozen`: kinds that can't be written, which get 503.

    restore() brings back an older copy. `era`: the number of copies so far, stated in
    all answers; None: it is not stated before the first."""

    WRITTEN_AGAIN = ("config", "servers", "evacuations")

    def __init__(self, address, seed=1):
        self.lock = threading.Condition()
        self.revision = 1
        self.kinds, self.history = {}, []
        self.changes = []  # (time, revision, kind, event); forget() keeps them
        self.forgotten = 0  # last revision without history
        self.down = self.lose = self.hang = self.unfenced = False
        self.old_s, self.cut, self.per_s = 0.0, 0.0, 0
        self.page = 0
        self.frozen = set()
        self.era = None
        self.torn = set()  # names of objects returned as invalid JSON
        self.pages = []  # (kind, time) of each listing page served
        self.cuts = 0  # how often all waiting watches were closed
        self.dice = random.Random(seed)
        self.calls, self.second = 0, (0, 0)
        self.slowest = 0.0  # longest call in seconds, watches excluded
        self.texts = {}     # (kind, name) -> (revision, the object as JSON)
        super().__init__(address)

    def handle(self, method, path, headers, body):
        response = self._respond(method, path, body)
        if response and self.era is not None:
            response[1]["Store-Era"] = str(self.era)
        return response

    def _respond(self, method, path, body):
        self.calls += 1
        if self.down:
            return 503, {}, b"{}"
        if self.hang:
            time.sleep(HANG_S)
            return None
        path, _, query = path.partition("?")
        args = dict(a.split("=", 1) for a in query.split("&") if a)
        parts = path.split("/")[3:]
        if method != "GET" and parts[0] in self.frozen:
            return 503, {}, b"{}"
        with self.lock:
            if self._beyond_rate():
                return 429, {}, b"{}"
            if "watch" in args:
                return self._watch(parts[0], args)
            if "stale" in args and self.old_s:
                return 200, {}, self._old(parts[0], args).encode()
            wanted = int(args["revision"]) if "revision" in args else None
            status, answer = self._call(method, parts, json.loads(body or b"{}"),
                                        wanted, args)
        if self.lose and method != "GET":
            return None
        return status, {}, answer.encode()

    def answer(self, c, method, path, headers, body):
        started_at = time.monotonic()
        done = super().answer(c, method, path, headers, body)
        if "watch=" not in path and not self.hang:
            self.slowest = max(self.slowest, time.monotonic() - started_at)
        return done

    def _text(self, kind, o):
        """JSON of an object, cached because large ones go to many instances at once."""
        key, revision = (kind, o["meta"]["name"]), o["meta"]["revision"]
        if o["meta"]["name"] in self.torn:
            return json.dumps(o)[:-2] + ', "x": "\x01"}}'  # invalid JSON
        if self.texts.get(key, (0, ""))[0] != revision:
            self.texts[key] = (revision, json.dumps(o))
        return self.texts[key][1]

    def _list(self, kind, objects, at, args):
        after = urllib.parse.unquote(args.get("since_rev", ""))
        rest = sorted((o for o in objects if o["meta"]["name"] > after),
                      key=lambda o: o["meta"]["name"])
        texts = [self._text(kind, o) for o in (rest[:self.page] if self.page else rest)]
        size = itertools.accumulate(len(t) for t in texts)
        full = next((k + 1 for k, n in enumerate(size) if n >= PAGE_BYTES), len(texts))
        page = texts[:full]
        self.pages.append((kind, time.monotonic()))
        return '{"entries": [%s], "more": %s, "at": %d}' % (
            ", ".join(page), json.dumps(len(page) < len(rest)), at)

    def _beyond_rate(self):
        now = int(time.monotonic())
        second, n = self.second
        self.second = (now, n + 1 if second == now else 1)
        return 0 < self.per_s < self.second[1]

    def _old(self, kind, args):
        """The listing of a kind as of `old_s` seconds ago."""
        until, objects, at = time.monotonic() - self.old_s, {}, 1
        for when, revision, k, e in self.changes:
            if when > until:
                break
            at = revision
            if k == kind:
                self._apply(objects, e)
        return self._list(kind, objects.values(), at, args)

    def forget(self):
        """Drops the history; waiting watches get 410."""
        with self.lock:
            self.history, self.forgotten = [], self.revision
            self.lock.notify_all()

    def restore(self, age_s, away_s=0.2, again_s=0.5):
        """Is away, then comes back as it was `age_s` seconds ago, in a new era: the
        revisions since are given out again. What operators and workers wrote since
        is written again after `again_s`; what the instances wrote is lost."""
        self.down = True
        self.cut_watches()
        time.sleep(away_s)
        with self.lock:
            until = time.monotonic() - away_s - age_s
            lost = [c for c in self.changes if c[0] > until]
            self.changes = [c for c in self.changes if c[0] <= until]
            self.kinds, self.texts = {}, {}
            for _, _, kind, e in self.changes:
                self._apply(self.kinds.setdefault(kind, {}), e)
            self.revision = max([1] + [c[1] for c in self.changes])
            self.history = [h for h in self.history if h[0] <= self.revision]
            self.forgotten = min(self.forgotten, self.revision)
            self.era = (self.era or 0) + 1
        self.down = False
        time.sleep(again_s)
        with self.lock:
            last = {(k, e["object"]["meta"]["name"]): e for _, _, k, e in lost}
            for (kind, name), e in last.items():
                if kind not in self.WRITTEN_AGAIN:
                    continue
                if not e["gone"]:
                    self._set(kind, name, e["object"]["spec"])
                elif name in self.kinds.get(kind, {}):
                    self._remove(kind, name)

    @staticmethod
    def _apply(objects, event):
        o = event["object"]
        if event["gone"]:
            objects.pop(o["meta"]["name"], None)
        else:
            objects[o["meta"]["name"]] = o

    def cut_watches(self):
        """Closes all watches that are waiting."""
        with self.lock:
            self.cuts += 1
            self.lock.notify_all()

    def _watch(self, kind, args):
        since, wait_s = int(args["watch"]), int(args["wait_ms"]) / 1000
        now = time.monotonic()
        end, cut_at, cuts = now + wait_s, None, self.cuts
        if self.dice.random() < self.cut:
            cut_at = now + self.dice.random() * wait_s
        while True:
            if since < self.forgotten or since > self.revision:
                return 410, {}, b"{}"
            events = [e for r, k, e in self.history if k == kind and r > since]
            now = time.monotonic()
            if events or now >= end:
                break
            if self.cuts != cuts or (cut_at and now >= cut_at):
                return None
            self.lock.wait(min(end, cut_at or end) - now)
        texts = ['{"object": %s, "gone": %s}' % (
            self._text(kind, e["object"]), json.dumps(e["gone"])) for e in events]
        answer = '{"events": [%s], "at": %d}' % (", ".join(texts), self.revision)
        return 200, {}, answer.encode()

    def _call(self, method, parts, body, wanted, args):
        objects = self.kinds.setdefault(parts[0], {})
        name = parts[1] if len(parts) > 1 else body.get("meta", {}).get("name")
        old = objects.get(name)
        if method == "GET" and len(parts) == 1:
            return 200, self._list(parts[0], objects.values(), self.revision,
                                   args)
        if method == "GET":
            return (200, self._text(parts[0], old)) if old else (404, "{}")
        wanted = body.get("meta", {}).get("revision", wanted)
        if self.unfenced:
            wanted = None
        if method == "POST" and old:
            return 409, self._text(parts[0], old)
        if method in ("PUT", "DELETE") and not old:
            return 404, "{}"
        if method in ("PUT", "DELETE") and wanted not in (None, old["meta"]["revision"]):
            return 409, self._text(parts[0], old)
        if method == "DELETE":
            self._remove(parts[0], name)
            return 200, "{}"
        return 200, self._text(parts[0], self._set(parts[0], name, body["spec"]))

    def _set(self, kind, name, spec):
        self.revision += 1
        o = {"meta": {"name": name, "revision": self.revision}, "spec": spec}
        self.kinds.setdefault(kind, {})[name] = o
        self._changed(kind, {"object": o, "gone": False})
        return o

    def _changed(self, kind, event):
        self.history.append((self.revision, kind, event))
        self.changes.append((time.monotonic(), self.revision, kind, event))
        self.lock.notify_all()

    def put(self, kind, name, spec):
        with self.lock:
            self._set(kind, name, spec)

    def put_text(self, kind, name, text):
        """Puts an object whose content is `text`, which need not be sound JSON."""
        with self.lock:
            o = self._set(kind, name, None)
            meta = json.dumps(o["meta"])
            self.texts[kind, name] = (o["meta"]["revision"],
                                      '{"meta": %s, "spec": %s}' % (meta, text))
            self.lock.notify_all()

    def remove(self, kind, name):
        with self.lock:
            self._remove(kind, name)

    def _remove(self, kind, name):
        o = self.kinds[kind].pop(name)
        self.revision += 1
        self._changed(kind, {"object": o, "gone": True})


class Worker(Server):
    """Records the attempts it ran. `play(worker, connection, headers)` may write
    the response itself and return True to keep the connection open or False to
    close it; if it returns None, the worker sends its default response."""

    def __init__(self, address, store, name, service, version=None, play=None):
        self.ran, self.heads, self.play = [], [], play
        self.store, self.name, self.version = store, name, version
        super().__init__(address)
        self.entry = {"service": service, "addr": self.address, "zone": "a",
                      "slots": 8, "state": "ready", "cold_left_ms": 0}
        if version:
            self.entry["version"] = version
        store.put("servers", name, self.entry)

    def drain(self):
        self.store.put("servers", self.name, dict(self.entry, state="draining"))

    def answer(self, c, method, path, headers, body):
        attempt = headers.get("x-loftpath-attempt-id", "")
        if headers.get("x-loftpath-expect-instance") != self.name:
            c.sendall(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n"
                      b"X-Loftpath-Attempt-Id: " + attempt.encode() + b"\r\n\r\n")
            return True
        if not attempt:
            c.sendall(b"HTTP/1.1 400 X\r\nContent-Length: 0\r\n"
                      b"X-Loftpath-Not-Executed: 1\r\n\r\n")
            return True
        self.ran.append(attempt)
        self.heads.append(headers)
        if self.play:
            done = self.play(self, c, headers)
            if done is not None:
                return done
        data = ("%s ran %s %s" % (self.name, method, path)).encode()
        c.sendall(head(attempt, "Content-Length: %d" % len(data)) + data)
        return True


def head(attempt, *more):
    """Head of a worker's successful response."""
    lines = ["HTTP/1.1 200 OK", "X-Loftpath-Attempt-Id: " + attempt,
             "X-Loftpath-Server-Stamp: stamp"] + list(more)
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunk(text):
    return b"%x\r\n%s\r\n" % (len(text), text.encode())


def event(n):
    return "id: %d\ndata: token %d\n\n" % (n, n)
