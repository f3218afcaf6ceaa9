"""proxy.py: a loopback TCP proxy that can delay, throttle, hold, reset or refuse
connections."""
import socket
import struct
import threading
import time

PIECE = 16384
LOOK_S = 0.02  # polling interval while bytes are held


class Proxy:
    """Forwards connections to `upstream` ("ip:port"). `delay`: in seconds. `rate`:
    bytes/s in each direction over all connections (0: unlimited). `hold`: a set of
    "up" and "down", the directions in which bytes are held. `closed`: new
    connections are reset."""

    def __init__(self, upstream):
        host, port = upstream.split(":")
        self.upstream = (host, int(port))
        self.delay, self.hold, self.closed = 0.0, set(), False
        self.rate, self.free_at = 0, {"up": 0.0, "down": 0.0}
        self.lock, self.pairs = threading.Lock(), set()
        self.socket = socket.socket()
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen(128)
        self.address = "%s:%d" % self.socket.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def heal(self):
        self.delay, self.hold, self.closed = 0.0, set(), False

    def reset(self):
        """Resets all open connections."""
        with self.lock:
            pairs, self.pairs = self.pairs, set()
        for pair in pairs:
            for s in pair:
                _reset(s)

    def close(self):
        self.socket.close()
        self.reset()

    def _accept(self):
        while True:
            try:
                c, _ = self.socket.accept()
            except OSError:
                return
            if self.closed:
                _reset(c)
                continue
            try:
                u = socket.create_connection(self.upstream, timeout=2)
                u.settimeout(None)
            except OSError:
                _reset(c)
                continue
            pair = (c, u)
            with self.lock:
                self.pairs.add(pair)
            for a, b, direction in ((c, u, "up"), (u, c, "down")):
                threading.Thread(target=self._pump, args=(a, b, direction, pair),
                                 daemon=True).start()

    def _pace(self, direction, n):
        """Waits until `n` bytes may pass under the rate limit."""
        with self.lock:
            now = time.monotonic()
            self.free_at[direction] = max(self.free_at[direction], now) + n / self.rate
            wait = self.free_at[direction] - now
        time.sleep(wait)

    def _pump(self, a, b, direction, pair):
        try:
            while True:
                data = a.recv(PIECE)
                if self.delay:
                    time.sleep(self.delay)
                if self.rate:
                    self._pace(direction, len(data))
                while direction in self.hold:
                    time.sleep(LOOK_S)
                if not data:
                    b.shutdown(socket.SHUT_WR)
                    return
                b.sendall(data)
        except OSError:
            with self.lock:
                was_open = pair in self.pairs
                self.pairs.discard(pair)
            if was_open:
                for s in pair:
                    _reset(s)


def _reset(s):
    try:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                     struct.pack("ii", 1, 0))
        s.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    s.close()
