"""rig2.py: a small deployment on loopback addresses for the cases 4 to 8: instances
started with the command and the settings template of the deploy file, the project's
stand-ins for the store and the workers (fakes/standins.py), and a platform that
restarts a process that ended and kills one that is over its memory."""
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "fakes"))
from standins import Store, Worker, chunk, event, head  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
RESTART_S = 0.3       # the platform starts a process that ended again
READY_TIMEOUT_S = 15.0
ZONES = ["hall-nord", "hall-sued", "hall-terminal"]
KEY = "key-of-acme"
MEMORY_MB = 110       # of an edge machine of the site huber-parken
MAX_BODY_BYTES = 4194304
IDLE_TIMEOUT_S = 15.0
BOUNDS = {"grace_s": 8, "retry_ratio": 0.2, "retry_window_s": 10, "retry_extra": 54}


class NotRun(Exception):
    """The case could not run."""


class Record:
    """Writes record.txt beside the script."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began, self.lock = time.monotonic(), threading.Lock()
        self.say("case with the disruption" if TROUBLE else "TROUBLE=0: without it")

    def say(self, text, *args):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (time.monotonic() - self.began, text % args))
            self.file.flush()


# == settings ==

def look_up(scopes, path):
    if path == ".":
        return scopes[-1]["."]
    for scope in reversed(scopes):
        value = scope
        for part in path.split("."):
            if isinstance(value, list) and part.isdigit():
                value = value[int(part)]
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                value = None
        if value is not None:
            return value
    return None


def text_of(value):
    if value is None:
        return ""
    return ",".join(map(str, value)) if isinstance(value, list) else str(value)


def fill(text, scopes):
    """Fills the platform's gaps (DEPLOY.md): values, sections and commas."""
    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)

    def repeat(m):
        value = look_up(scopes, m[1])
        if isinstance(value, (list, dict)):
            pairs = list(value.items() if isinstance(value, dict) else enumerate(value))
            return "".join(
                fill(m[2].replace("{{,}}", "," if i < len(pairs) - 1 else ""),
                     scopes + [{"@": k, ".": v}]) for i, (k, v) in enumerate(pairs))
        return fill(m[2], scopes) if value else ""

    text = section.sub(repeat, text)
    return re.sub(r"\{\{([\w.@]+)\}\}",
                  lambda m: text_of(look_up(scopes, m[1])), text)


def free_ports(ips, n):
    """Ports that are free on all of the addresses."""
    found = []
    while len(found) < n:
        port, held = random.randrange(20000, 32000), []
        try:
            for ip in ips:
                s = socket.socket()
                held.append(s)
                s.bind((ip, port))
        except OSError:
            continue
        finally:
            for s in held:
                s.close()
        if port not in found:
            found.append(port)
    return found


def read_role():
    """The command and the template of the one role of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml")) as f:
        lines = f.read().partition("[roles.")[2].splitlines()
    return dict(re.match(r'(\w+) = "(.*)"$', line).groups() for line in lines
                if re.match(r'(run|template) = "', line))


# == the operator's configuration ==

def route(name, prefix, service, kind, **more):
    r = {"name": name, "host": "front.example", "path_prefix": prefix, "type": kind,
         "timeout_ms": 3000, "slo_ms": 800, "priority": 1, "service": service,
         "max_attempts": 1, "public": False, "resumable": False}
    r.update(more)
    return r


def config(version=1):
    return {"version": version,
            "routes": [route("safe", "/safe/", "booking-desk", "safe", max_attempts=2),
                       route("once", "/once/", "booking-desk", "unsafe"),
                       route("chat", "/chat/", "assistant-models", "stream",
                             resumable=True, max_attempts=2, itl_target_ms=400)],
            "services": [{"name": "booking-desk"},
                         {"name": "assistant-models",
                          "engine": {"slots": 64, "stride": 3}}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": MAX_BODY_BYTES,
                       "header_timeout_ms": 3000,
                       "idle_timeout_ms": int(IDLE_TIMEOUT_S * 1000)},
            "tenants": [{"name": "acme", "api_keys": [KEY], "prepaid": 4505512}]}


# == instances ==

class Instance:
    """A process of the deploy file on one loopback address. The platform starts it
    again when it ended, and kills it when it is over its memory."""

    def __init__(self, site, number, ip, store_addr):
        self.site, self.name, self.ip = site, "edge-%d" % (number + 1), ip
        self.path = os.path.join(site.dir, self.name + ".conf")
        fields = dict(site.fields, node_name=self.name, ip=ip,
                      zone=ZONES[number % len(ZONES)], bootstrap=True,
                      listen={"front": "%s:%d" % (ip, site.front),
                              "ready": "%s:%d" % (ip, site.ready_port),
                              "control": "%s:%d" % (ip, site.control)},
                      platform={"addr": store_addr, "writes_per_s": 400})
        with open(os.path.join(ROOT, site.role["template"])) as f:
            self.template = f.read()
        self.fields = fields
        self.own_ends, self.peak_mb, self.closing = [], 0, False
        self.lock = threading.Lock()
        self.start()
        threading.Thread(target=self._watch, daemon=True).start()

    def start(self):
        with open(self.path, "w") as f:
            f.write(fill(self.template, [self.fields]))
        log = open(os.path.join(self.site.dir, self.name + ".log"), "a")
        self.process = subprocess.Popen(
            self.site.role["run"].split(), cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "LOFTPATH_NODE_FILE": self.path})
        log.close()
        self.fields["bootstrap"] = False  # only at the first start of the system

    def rss_mb(self):
        try:
            with open("/proc/%d/status" % self.process.pid) as f:
                return int(re.search(r"VmRSS:\s+(\d+)", f.read())[1]) / 1024
        except (OSError, TypeError):
            return 0

    def _watch(self):
        while not self.closing:
            rss = self.rss_mb()
            self.peak_mb = max(self.peak_mb, rss)
            cause = None
            if rss > MEMORY_MB:
                cause = "killed by the platform: %.0f MB of %d MB" % (rss, MEMORY_MB)
                self.process.kill()
                self.process.wait()
            elif self.process.poll() is not None:
                code = self.process.returncode
                cause = ("signal " + signal.Signals(-code).name if code < 0
                         else "status %d" % code)
            if cause and not self.closing:
                self.own_ends.append(cause)
                self.site.record.say("%s ENDED BY ITSELF: %s", self.name, cause)
                time.sleep(RESTART_S)
                with self.lock:
                    if not self.closing:
                        self.start()
            time.sleep(0.02)

    def is_ready(self):
        try:
            c = socket.create_connection((self.ip, self.site.ready_port), timeout=1)
            c.sendall(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            answer = c.recv(64)
            c.close()
            return b" 200 " in answer
        except OSError:
            return False

    def wait_ready(self):
        end = time.monotonic() + READY_TIMEOUT_S
        while not self.is_ready():
            if time.monotonic() > end:
                raise NotRun("%s is not ready" % self.name)
            time.sleep(0.05)

    def close(self):
        with self.lock:
            self.closing = True
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()


class Site:
    def __init__(self, folder, instances=3, desks=3, engines=2, proxy=None):
        """`proxy`: makes each instance's way to the store, from its address."""
        self.dir, self.record = tempfile.mkdtemp(), Record(folder)
        self.role = read_role()
        if not os.path.exists(os.path.join(ROOT, self.role["run"].split()[0])):
            raise NotRun("the build of the deploy file is missing")
        net = "127.%d.%d." % (random.randrange(1, 250), random.randrange(1, 250))
        self.ips = [net + str(i + 10) for i in range(instances)]
        self.front, self.ready_port, self.control, a, b = free_ports(self.ips, 5)
        self.fields = {"region": "erding", "zones": {z: "erding" for z in ZONES},
                       "seeds": ["%s:%d" % (ip, self.control) for ip in self.ips[:3]],
                       "port_range": [a, b], "bounds": BOUNDS,
                       "limits": {"memory_mb": MEMORY_MB, "link_mbps": 1000.0}}
        self.store = Store(("127.0.0.1", 0))
        self.store.put("config", "main", config())
        self.desks = [Worker(("127.0.0.1", 0), self.store, "i-desk%d" % i, "booking-desk")
                      for i in range(desks)]
        self.engines = [Worker(("127.0.0.1", 0), self.store, "i-llm%d" % i,
                               "assistant-models") for i in range(engines)]
        for w in self.engines:
            w.play = play_stream
        self.proxies = [proxy(self.store.address) for _ in self.ips] if proxy else []
        self.instances = [
            Instance(self, i, ip, (self.proxies[i] if proxy else self.store).address)
            for i, ip in enumerate(self.ips)]
        for i in self.instances:
            i.wait_ready()
        self.record.say("%d instances are ready, %s", instances, self.role["run"])

    def close(self):
        for i in self.instances:
            i.close()
        for s in [self.store] + self.desks + self.engines + self.proxies:
            s.close()
        shutil.rmtree(self.dir, ignore_errors=True)


def play_stream(worker, c, headers):
    """An engine's answer of ten events."""
    c.sendall(head(headers["x-loftpath-attempt-id"],
                   "Content-Type: text/event-stream", "Transfer-Encoding: chunked"))
    for k in range(1, 11):
        c.sendall(chunk(event(k)))
    c.sendall(b"0\r\n\r\n")
    return True


# == clients ==

ids = iter(range(1, 10**9))


def request(path, host=b"front.example", method="GET", body=b"", deadline_ms=3000,
            more=()):
    """Returns an attempt's id and its bytes."""
    attempt = "a%08x" % next(ids)
    lines = [b"%s %s HTTP/1.1" % (method.encode(), path.encode()), b"Host: " + host,
             b"X-Loftpath-Attempt-Id: " + attempt.encode(),
             b"X-Loftpath-Deadline-Ms: %d" % deadline_ms,
             b"Authorization: Bearer " + KEY.encode()]
    lines += [m.encode() for m in more]
    if body or method == "POST":
        lines.append(b"Content-Length: %d" % len(body))
    return attempt, b"\r\n".join(lines) + b"\r\n\r\n" + body


def read_answer(c, timeout_s=5.0):
    """Returns the status of a whole answer; None: the connection ended without."""
    c.settimeout(timeout_s)
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            more = c.recv(65536)
            if not more:
                return None
            data += more
        top, _, rest = data.partition(b"\r\n\r\n")
        status = int(top.split(b" ")[1])
        length = re.search(rb"(?i)content-length: *(\d+)", top)
        chunked = b"chunked" in top.lower()
        while ((length and len(rest) < int(length[1])) or
               (chunked and not rest.endswith(b"0\r\n\r\n"))):
            more = c.recv(65536)
            if not more:
                return None
            rest += more
        return status
    except OSError:
        return None


def call(instance, path, **how):
    """One attempt on a connection of its own. Returns (attempt, status or None)."""
    attempt, data = request(path, **how)
    try:
        c = socket.create_connection((instance.ip, instance.site.front), timeout=2)
    except OSError:
        return attempt, None
    with c:
        try:
            c.sendall(data)
        except OSError:
            return attempt, None
        return attempt, read_answer(c)


def count_faulty(site):
    """Machines on which processes ended by themselves three times (RULES.md, Fault)."""
    return sum(len(i.own_ends) >= 3 for i in site.instances)


def judge_ends(site):
    """The rule Fault: a tenth of the machines in use, and two at the least."""
    r, faulty = site.record, count_faulty(site)
    for i in site.instances:
        r.say("%s: ended by itself %d times, at most %.0f MB", i.name, len(i.own_ends),
              i.peak_mb)
    limit = max(2, -(-len(site.instances) // 10))
    broken = faulty >= limit
    r.say("machines with three ends or more: %d, the rule breaks at %d: %s", faulty,
          limit, "BROKEN" if broken else "held")
    return BROKEN if broken else HELD


def main(play, **how):
    """Runs play(site), which returns the exit status; its folder is that of the
    program that was started."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    site, status = None, NOT_RUN
    try:
        site = Site(folder, **how)
        status = play(site)
    except (NotRun, OSError) as e:
        print("the case could not run: %s" % e)
    finally:
        if site:
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(site.dir, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
            site.close()
    print({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[status])
    sys.stdout.flush()
    os._exit(status)
