"""rig.py: starts instances with the command and the settings template of the
deploy file on loopback addresses, beside stand-ins of the store and of workers.

All processes are ended by close(). Everything that a script wants to keep goes
into its record file."""
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
sys.path.insert(0, os.path.join(ROOT, "fakes"))
from standins import Store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "key-acme"

# The bounds of the smallest deployments of the pages.
BOUNDS = {"grace_s": 8, "retry_ratio": 0.2, "retry_window_s": 10,
          "retry_extra": 54}


class CannotRun(Exception):
    pass


def free_ports(n):
    """The first of n ports that are free on 127.0.0.1 to 127.0.0.9."""
    for base in range(30000 + os.getpid() % 400 * 6, 32700, n):
        sockets = []
        try:
            for host in range(1, 10):
                for k in range(n):
                    s = socket.socket()
                    sockets.append(s)
                    s.bind(("127.0.0.%d" % host, base + k))
            return base
        except OSError:
            continue
        finally:
            for s in sockets:
                s.close()
    raise CannotRun("no ports are free")


def look_up(fields, path):
    for name in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(name)] if int(name) < len(fields) else None
        else:
            fields = (fields or {}).get(name)
    if fields is None:
        return ""
    return ",".join(fields) if isinstance(fields, list) else str(fields)


def fill_template(text, fields):
    """Fills the forms of gaps that deploy/settings.conf uses."""

    def section(match):
        items = list(fields[match.group(1)].items())
        out = []
        for i, (k, v) in enumerate(items):
            part = match.group(2).replace("{{@}}", k).replace("{{.}}", v)
            out.append(part.replace("{{,}}", "," if i + 1 < len(items) else ""))
        return "".join(out)

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: look_up(fields, m.group(1)), text)


def route(name, prefix, service, kind, **more):
    r = {"name": name, "host": "front.example", "path_prefix": prefix,
         "type": kind, "timeout_ms": 12000, "slo_ms": 1000, "priority": 1,
         "service": service, "max_attempts": 2, "public": False,
         "resumable": kind == "stream"}
    r.update(more)
    return r


def config(version, routes, prepaid=1000000):
    return {"version": version, "routes": routes,
            "services": [{"name": "desk"},
                         {"name": "engine", "engine": {"slots": 64, "stride": 3}}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "acme", "api_keys": [KEY], "prepaid": prepaid}]}


class Record:
    """Writes lines with the time since the start of the script."""

    def __init__(self, path):
        self.start, self.lock = time.monotonic(), threading.Lock()
        self.file = open(path, "w")

    def note(self, text):
        with self.lock:
            line = "%8.3f %s" % (time.monotonic() - self.start, text)
            print(line, flush=True)
            self.file.write(line + "\n")
            self.file.flush()


class Rig:
    def __init__(self, record, routes, instances=3, prepaid=1000000, store=None):
        self.record, self.children, self.workers = record, [], {}
        self.dir = tempfile.mkdtemp(prefix="loftpath-review-")
        binary = os.path.join(ROOT, "target", "bin", "loftpathd")
        if not os.path.exists(binary):
            raise CannotRun("target/bin/loftpathd is not built")
        self.base = free_ports(8)
        self.store = (store or Store)(("127.0.0.1", self.base + 4))
        self.store.put("config", "main", config(1, routes, prepaid))
        self.instances = [None] * instances

    def ip(self, i):
        return "127.0.0.%d" % (i + 2)

    def start_instance(self, i):
        zones = ["zone-a", "zone-b", "zone-c"]
        b = self.base
        fields = {"node_name": "edge-%d" % i, "zone": zones[i % 3],
                  "region": "region-a", "zones": dict.fromkeys(zones, "region-a"),
                  "listen": {"front": "%s:%d" % (self.ip(i), b),
                             "ready": "%s:%d" % (self.ip(i), b + 1)},
                  "ip": self.ip(i), "port_range": [b + 2, b + 3],
                  "seeds": ["%s:%d" % (self.ip(k), b + 5) for k in range(3)],
                  "platform": {"addr": "127.0.0.1:%d" % (b + 4)},
                  "limits": {"memory_mb": 110, "link_mbps": 1000.0},
                  "bounds": BOUNDS}
        with open(os.path.join(ROOT, "deploy", "settings.conf")) as f:
            text = fill_template(f.read(), fields)
        path = os.path.join(self.dir, "settings-%d" % i)
        with open(path, "w") as f:
            f.write(text)
        log = open(os.path.join(self.dir, "log-%d" % i), "a")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        p = subprocess.Popen(["target/bin/loftpathd"], cwd=ROOT, stdout=log,
                             stderr=log, env=dict(env, LOFTPATH_NODE_FILE=path))
        self.instances[i] = p
        self.children.append(p)
        self.record.note("instance %d started" % i)

    def start_worker(self, name, service, host, port, *args, program="worker.py"):
        """Starts a stand-in of a worker as a process and enters it in the store."""
        addr = "127.0.0.%d:%d" % (host, port)
        log = open(os.path.join(self.dir, "worker-" + name), "w")
        p = subprocess.Popen([sys.executable, os.path.join(ROOT, "review", program),
                              addr, name] + [str(a) for a in args],
                             stdout=log, stderr=log)
        self.children.append(p)
        self.workers[name] = p
        self.store.put("servers", name, {
            "service": service, "addr": addr, "zone": "zone-a", "version": "v1",
            "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1})
        return p

    def worker_log(self, name):
        with open(os.path.join(self.dir, "worker-" + name)) as f:
            return [json.loads(line) for line in f if line.endswith("\n")]

    def ready(self, i):
        try:
            s = socket.create_connection((self.ip(i), self.base + 1), 1)
            s.sendall(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return s.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def metrics(self, i):
        """The lines of an instance's metrics."""
        s = socket.create_connection((self.ip(i), self.base + 1), 2)
        s.sendall(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        data = b""
        while part := s.recv(65536):
            data += part
        s.close()
        return data.decode().splitlines()

    def start(self):
        for i in range(len(self.instances)):
            self.start_instance(i)
        end = time.monotonic() + 15
        while not all(self.ready(i) for i in range(len(self.instances))):
            if time.monotonic() > end:
                raise CannotRun("the instances are not ready")
            time.sleep(0.1)
        self.record.note("all instances are ready")

    def connect(self, i, receive_buffer=0, timeout=15, mss=0):
        s = socket.socket()
        if mss:  # as on a network with this segment size
            s.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, mss)
        if receive_buffer:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        s.settimeout(timeout)
        s.connect((self.ip(i), self.base))
        return s

    def close(self):
        for p in self.children:
            if p.poll() is None:
                p.send_signal(signal.SIGCONT)
                p.kill()
            p.wait()
        self.store.close()
        shutil.rmtree(self.dir, ignore_errors=True)


def request(attempt, method, path, deadline_ms, extra="", body=b""):
    head = ("%s %s HTTP/1.1\r\nHost: front.example\r\n"
            "X-Loftpath-Attempt-Id: %s\r\nX-Loftpath-Deadline-Ms: %d\r\n"
            "Authorization: Bearer %s\r\n%s" % (method, path, attempt, deadline_ms,
                                                KEY, extra))
    if body or method == "POST":
        head += "Content-Length: %d\r\n" % len(body)
    return head.encode() + b"\r\n" + body


class Answer:
    """Reads one answer. `whole`: its framing says that it is complete."""

    def __init__(self, sock, pause_s=0.0, step=65536):
        self.status, self.headers, self.body = 0, {}, b""
        self.whole, self.error = False, ""
        self.sock, self.data, self.pause_s, self.step = sock, b"", pause_s, step
        try:
            self._read()
        except (OSError, EOFError, ValueError) as e:
            self.error = type(e).__name__ + ": " + str(e)

    def _more(self):
        if self.pause_s:
            time.sleep(self.pause_s)
        data = self.sock.recv(self.step)
        if not data:
            raise EOFError("the connection ended")
        self.data += data

    def _line(self):
        while b"\r\n" not in self.data:
            self._more()
        line, self.data = self.data.split(b"\r\n", 1)
        return line

    def _take(self, n):
        while len(self.data) < n:
            self._more()
        out, self.data = self.data[:n], self.data[n:]
        return out

    def _read(self):
        self.status = int(self._line().split()[1])
        while True:
            line = self._line()
            if not line:
                break
            k, v = line.decode().split(":", 1)
            self.headers[k.lower()] = v.strip()
        if self.headers.get("transfer-encoding") == "chunked":
            while True:
                n = int(self._line(), 16)
                self.body += self._take(n)
                self._line()
                if n == 0:
                    break
        else:
            n = int(self.headers.get("content-length", "0"))
            while len(self.body) + len(self.data) < n:
                self._more()
            self.body, self.data = self.data[:n], self.data[n:]
        self.whole = True


def run(path, play):
    """Calls play(record) and exits with 1 if it returns True (the rule was
    broken), 0 if it returns False, and 2 if the case could not run."""
    record = Record(os.path.join(os.path.dirname(os.path.abspath(path)), "record.txt"))
    record.note("disruption: " + ("on" if TROUBLE else "off"))
    # Leaves play() by its `finally`, which ends all processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = play(record)
    except Exception as e:  # noqa: BLE001 (an error of the script is no result)
        record.note("could not run: %s: %s" % (type(e).__name__, e))
        sys.exit(2)
    record.note("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
