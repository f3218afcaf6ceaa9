"""fleet.py: instances on stand-ins of the users' platform, for tests with real
processes."""
import argparse
import http.client
import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "fakes"))
from red import known_red  # noqa: E402
from standins import Store, Worker, chunk, event, head  # noqa: E402

BUILD = os.path.abspath(sys.argv[1])
PORTS = range(30000, 32700, 4)  # below the system's ephemeral ports
RETRY_WINDOW_S = 0.5  # an instance makes no retries in its first window
KEY = {"Authorization": "Bearer key-acme"}


def reserve_ports():
    """Reserves four ports. Returns the first, and a socket bound to the last on
    127.0.0.1, where no instance listens; other runs avoid the four while it is
    open."""
    for base in random.sample(PORTS, len(PORTS)):
        guard = socket.socket()
        try:
            guard.bind(("127.0.0.1", base + 3))
        except OSError:
            guard.close()
            continue
        return base, guard
    raise RuntimeError("no ports are free")


BASE, GUARD = reserve_ports()


def route(name, prefix, service, kind, **more):
    r = {"name": name, "host": "front", "path_prefix": prefix, "type": kind,
         "timeout_ms": 3000, "slo_ms": 500, "priority": 1, "service": service,
         "max_attempts": 2, "public": False, "resumable": True}
    r.update(more)
    return r


def config(version, prepaid=10000, keys=("key-acme",), routes=(), services=(),
           limits=()):
    return {"version": version,
            "routes": [route("s", "/safe/", "desk", "safe"),
                       route("u", "/once/", "desk", "unsafe"),
                       route("c", "/chat/", "engine", "stream")] + list(routes),
            "services": [{"name": "desk"},
                         {"name": "engine", "engine": {"slots": 8, "stride": 1}}] +
            [{"name": name} for name in services],
            "limits": dict({"max_header_bytes": 16384, "max_body_bytes": 65536,
                            "header_timeout_ms": 1000, "idle_timeout_ms": 5000},
                           **dict(limits)),
            "tenants": [{"name": "acme", "api_keys": list(keys),
                         "prepaid": prepaid}]}


class Answer:
    def __init__(self, r):
        self.status, self.body = r.status, r.read()
        self.headers = {k.lower(): v for k, v in r.getheaders()}


class Site:
    """The store, workers and instances of one test."""

    env = {}  # of the instances, added to that of this process
    memory_mb = 110  # per instance
    stop_s = 4  # that a planned stop may take
    regions = {}  # data centre -> region; instance i is in the i-th of them

    def __init__(self, instances=1, desks=2, engines=2, store_proxy=None, **conf):
        """`store_proxy`: creates each instance's proxy to the store."""
        self.dir = tempfile.mkdtemp()
        self.store = Store(("127.0.0.1", 0))
        self.proxies = [store_proxy(self.store.address)
                        for _ in range(instances if store_proxy else 0)]
        self.store.put("config", "main", config(1, **conf))
        self.desks = [Worker(("127.0.0.1", 0), self.store, "d%d" % i, "desk")
                      for i in range(desks)]
        self.engines = [Worker(("127.0.0.1", 0), self.store, "e%d" % i, "engine")
                        for i in range(engines)]
        self.processes, self.next_id = [None] * instances, 0
        for i in range(instances):
            self.start(i)
        for i in range(instances):
            self.wait_ready(i)

    def binary_of(self, i):
        return os.path.join(BUILD, "bin", "loftpathd")

    def ip(self, i):
        return "127.0.0.%d" % (i + 2)

    def env_of(self, i):
        """Variables of one instance, added to those of the site."""
        return {}

    def start(self, i):
        path = os.path.join(self.dir, "settings-%d" % i)
        ip = self.ip(i)
        with open(path, "w") as f:
            f.write("name = n%d\n" % i)
            dcs = list(self.regions.items()) or [("a", "r")]
            f.write("datacentre = %s\nregion = %s\n" % dcs[i % len(dcs)])
            f.write("datacentres = %s\n" % ",".join("%s=%s" % d for d in dcs))
            f.write("listen = %s:%d\nready = %s:%d\n" % (ip, BASE, ip, BASE + 1))
            f.write("peer = %s:%d\nseeds = %s\n" % (
                ip, BASE + 2, ",".join(self.ip(k) for k in range(3))))
            f.write("platform = %s\nmemory = %d\nstop = %d\n" % (
                (self.proxies[i] if self.proxies else self.store).address,
                self.memory_mb, self.stop_s))
            f.write("retry-window = %g\n" % RETRY_WINDOW_S)
        log = open(os.path.join(self.dir, "log-%d" % i), "a")
        self.processes[i] = subprocess.Popen(
            [self.binary_of(i)], stdout=log, stderr=log,
            env=dict(os.environ, LOFTPATH_NODE_FILE=path, **self.env, **self.env_of(i)))

    def log(self, i):
        lines = []
        with open(os.path.join(self.dir, "log-%d" % i)) as f:
            for line in f:
                lines.append(json.loads(line))
        return lines

    def life(self, i):
        """The log since its last start; empty if it has started only once."""
        lines = self.log(i)
        starts = [k for k, l in enumerate(lines) if l["event"] == "started"]
        return lines[starts[-1]:] if len(starts) > 1 else []

    def ready(self, i):
        try:
            c = http.client.HTTPConnection(self.ip(i), BASE + 1, timeout=2)
            c.request("GET", "/-/readyz")
            return c.getresponse().status == 200
        except OSError:
            return False

    def wait_ready(self, i):
        wait_for("instance %d" % i, lambda: self.ready(i))

    def connect(self, i=0):
        return http.client.HTTPConnection(self.ip(i), BASE, timeout=10)

    def head(self, **more):
        self.next_id += 1
        h = {"Host": "front", "X-Loftpath-Attempt-Id": "a%d" % self.next_id,
             "X-Loftpath-Deadline-Ms": "3000"}
        h.update(KEY)
        h.update({k.replace("_", "-"): v for k, v in more.items()})
        return h

    def call(self, path, method="GET", body=None, i=0, conn=None, **more):
        c = conn or self.connect(i)
        h = self.head(**more)
        c.request(method, path, body, h)
        a = Answer(c.getresponse())
        a.id = h["X-Loftpath-Attempt-Id"]
        return a

    def chat(self, tokens, out=10, i=0, **more):
        return self.call("/chat/x", "POST", b"hello", i=i,
                         X_Loftpath_Token_Count="%d,%d" % (tokens, out), **more)

    def restart_all(self):
        """Kills all instances and starts them again."""
        for p in self.processes:
            p.kill()
            p.wait()
        for i in range(len(self.processes)):
            self.start(i)

    def remove_workers(self, workers):
        """Ends workers of one of the site's lists and empties that list."""
        for w in workers:
            self.store.remove("servers", w.name)
            w.close()
        workers.clear()

    def close(self):
        for p in self.processes:
            if p and p.poll() is None:
                p.kill()
                p.wait()
        for s in [self.store] + self.desks + self.engines + self.proxies:
            s.close()


def wait_for(what, check, seconds=10.0):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if check():
            return
        time.sleep(0.05)
    raise AssertionError("timed out waiting for " + what)


def play_stream(n, cut_at=None, inside=False):
    """Streams the events from the requested one on. Closes the connection before
    event `cut_at`, or inside it if `inside`."""

    def play(w, c, headers):
        first = int(headers.get("last-event-id", "0")) + 1
        c.sendall(head(headers["x-loftpath-attempt-id"],
                       "Content-Type: text/event-stream",
                       "Transfer-Encoding: chunked"))
        for k in range(first, n + 1):
            if k == cut_at:
                if inside:
                    c.sendall(chunk(event(k)[:8]))
                return False
            c.sendall(chunk(event(k)))
        c.sendall(b"0\r\n\r\n")
        return True

    return play


def play_scenario(script, argument=None):
    """Runs a script of the model and prints its last lines."""
    here = os.path.dirname(os.path.abspath(__file__))
    play = subprocess.run(
        [os.path.join(BUILD, "scenario", "scenario"),
         os.path.join(here, "..", "scenario", script)] +
        (["--with", argument] if argument else []), stdout=subprocess.PIPE, text=True)
    lines = play.stdout.splitlines()
    print("   " + "\n   ".join(lines[-4:]))
    assert play.returncode == 0, lines[-2]


def run_tests(tests, instances=None, proxies=None, names=None, engines=2, site=Site):
    """Runs the functions `test_...` of `tests`, or those in `names` or on the
    command line, each on its own site. `instances` and `proxies` are keyed by
    test, `site` is their class. Returns the exit status."""
    names = names or sys.argv[2:] or [n for n in tests if n.startswith("test_")]
    failed, red = 0, known_red()
    for name in names:
        s = site(instances=(instances or {}).get(name, 1), engines=engines,
                 store_proxy=(proxies or {}).get(name))
        try:
            tests[name](s)
            print("ok", name, flush=True)
        except Exception as e:  # noqa: BLE001 (printed and counted)
            known = name in red
            failed += not known
            print("%s %s: %s: %s (logs in %s)" % (
                "known red:" if known else "FAILED", name, type(e).__name__, e,
                s.dir), flush=True)
        finally:
            s.close()
    print("%d passed, %d failed" % (len(names) - failed, failed))
    return 1 if failed else 0


def run_in_groups(names, n):
    """Runs the tests `names` of this program in `n` processes side by side, each on
    its own sites. Returns the exit status."""
    groups = [subprocess.Popen([sys.executable] + sys.argv[:2] + names[k::n],
                               stdout=subprocess.PIPE, text=True) for k in range(n)]
    for g in groups:
        print(g.communicate()[0], end="", flush=True)
    return max(g.returncode for g in groups)


def run_seeds(play, instances, site=Site):
    """Parses a soak's command line and runs `play(site, seed)` for each seed on its
    own site. `instances`: their number, or a function of the seed. Returns the exit
    status."""
    args = argparse.ArgumentParser()
    args.add_argument("build")
    args.add_argument("--seeds", type=int, default=1)
    args.add_argument("--seed", type=int, default=random.randrange(10**6))
    a = args.parse_args()
    tests = {"seed_%d" % k: (lambda s, k=k: play(s, k))
             for k in range(a.seed, a.seed + a.seeds)}
    count = instances if callable(instances) else lambda k: instances
    counts = {"seed_%d" % k: count(k) for k in range(a.seed, a.seed + a.seeds)}
    return run_tests(tests, counts, names=list(tests), site=site)
