"""crowd.py: many connections of clients that don't behave, and what a process takes
meanwhile."""
import os
import selectors
import signal
import socket
import threading
import time

PIECE_BYTES = 1 << 16  # of one write
STILL_S = 0.5          # without a byte sent or received, until a crowd has settled
SETTLE_S = 60.0        # at the most
SAMPLE_S = 0.01        # between two samples of a process


class Member:
    """One connection of a crowd. `data`: what it sends; it then stays open."""

    def __init__(self, address, data):
        self.address, self.data, self.sent, self.received = address, data, 0, 0
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(address)

    def write(self, piece):
        """Sends the next piece. Returns False when the connection ended."""
        try:
            self.sent += self.socket.send(self.data[self.sent:self.sent + piece])
        except BlockingIOError:
            pass
        except OSError:
            return False
        return True

    def read(self):
        """Reads an answer. Returns False when the connection ended."""
        try:
            data = self.socket.recv(PIECE_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            return False
        self.received += len(data)
        return data != b""

    def close(self):
        self.socket.close()


class Crowd:
    """Opens n connections, of which each sends data(k), `piece` bytes in turn. One
    that the process closes comes again, `again` times. `reads`: whether answers are
    read."""

    def __init__(self, address, n, data, piece=PIECE_BYTES, again=0, reads=True):
        self.address, self.data, self.piece, self.reads = address, data, piece, reads
        self.left, self.members, self.moved_at = n * again, {}, time.monotonic()
        self.selector = selectors.DefaultSelector()
        for k in range(n):
            self._add(k)

    def _add(self, k):
        m = Member(self.address, memoryview(self.data(k)))
        self.members[k] = m
        self.selector.register(m.socket, self._events(m), k)

    def _events(self, m):
        return ((selectors.EVENT_WRITE if m.sent < len(m.data) else 0) |
                (selectors.EVENT_READ if self.reads else 0))

    def _end(self, k):
        m = self.members.pop(k)
        self.selector.unregister(m.socket)
        m.close()
        if self.left > 0:
            self.left -= 1
            self._add(k)

    def _serve(self, k, events):
        m = self.members[k]
        before = m.sent, m.received
        alive = True
        if events & selectors.EVENT_WRITE:
            alive = m.write(self.piece)
        if alive and events & selectors.EVENT_READ:
            alive = m.read()
        if not alive or before != (m.sent, m.received):
            self.moved_at = time.monotonic()
        if not alive:
            self._end(k)
        elif self._events(m):
            self.selector.modify(m.socket, self._events(m), k)
        else:  # all is sent, and nothing is read
            self.selector.unregister(m.socket)

    def settle(self):
        """Sends until nothing moves any more. The members stay connected."""
        end = time.monotonic() + SETTLE_S
        self.moved_at = time.monotonic()
        while time.monotonic() < end and time.monotonic() - self.moved_at < STILL_S:
            for key, events in self.selector.select(0.05):
                if key.data in self.members:
                    self._serve(key.data, events)

    def send_more(self, data):
        """Has each member that is still connected go on with `data`, of which it has
        sent a part."""
        for k, m in self.members.items():
            m.data = memoryview(data)
            self.selector.modify(m.socket, self._events(m), k)

    def close(self):
        for m in self.members.values():
            m.close()
        self.members = {}


def endure(crowd, meter, check, serve_ordinary):
    """Lets a crowd send all that it can, and checks the process that it is at."""
    crowd.settle()
    meter.settle()
    check()
    serve_ordinary()
    crowd.close()
    serve_ordinary()
    check()


def endure_while_stopped(process, crowd, data, connect, meter, check, serve_ordinary):
    """Lets two crowds send all that they can while the process is stopped: `crowd`,
    which was connected before and goes on with `data`, and the one that `connect`
    makes."""
    crowd.settle()
    process.send_signal(signal.SIGSTOP)
    crowd.send_more(data)
    other = connect()
    crowd.settle()
    other.settle()
    process.send_signal(signal.SIGCONT)
    crowd.settle()
    endure(other, meter, check, serve_ordinary)
    crowd.close()
    serve_ordinary()
    check()


def socket_inodes(pid):
    """Inodes of the open sockets of a process."""
    inodes, path = set(), "/proc/%d/fd/" % pid
    for fd in os.listdir(path):
        try:
            name = os.readlink(path + fd)
        except FileNotFoundError:
            continue
        if name.startswith("socket:["):
            inodes.add(name[8:-1])
    return inodes


def unread_bytes(pid, ip, port=None):
    """Bytes that the system holds for a process, not read yet: for its sockets, and
    for those at its address that it has not accepted."""
    own = "".join("%02X" % int(b) for b in reversed(ip.split("."))) + ":"
    own += "%04X" % port if port else ""
    inodes = socket_inodes(pid)
    with open("/proc/net/tcp") as f:
        rows = [line.split() for line in f][1:]
    return sum(int(r[4].split(":")[1], 16) for r in rows if r[3] != "0A" and
               (r[9] in inodes or r[9] == "0" and r[1].startswith(own)))


class Meter:
    """Samples the memory and the descriptors of a process, and the bytes that
    wait for its sockets; `ip` and `port`, or all ports: where it listens."""

    def __init__(self, process, ip, port=None):
        self.process, self.address, self.running = process, (ip, port), True
        self.bytes = self.unread = self.files = 0
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        while self.running:
            try:
                self._sample("/proc/%d/" % self.process.pid)
            except OSError:
                return
            time.sleep(SAMPLE_S)

    def _sample(self, path):
        with open(path + "statm") as f:
            resident = int(f.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
        unread = unread_bytes(self.process.pid, *self.address)
        self.unread = max(self.unread, unread)
        self.bytes = max(self.bytes, resident + unread)
        self.files = max(self.files, len(os.listdir(path + "fd")))

    def settle(self):
        """Waits until the process takes no more than before."""
        end, peak = time.monotonic() + SETTLE_S, -1
        while peak < self.bytes and time.monotonic() < end:
            peak = self.bytes
            time.sleep(4 * STILL_S)

    def close(self):
        self.running = False
        self.thread.join()

    def __str__(self):
        return "at most %.1f MB (%.1f MB not read), %d descriptors" % (
            self.bytes / 2**20, self.unread / 2**20, self.files)
