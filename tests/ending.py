"""ending.py: answers of targets in all framings, whole and cut, and callers that
observe how the answers that they get end."""
import socket
import struct
import threading
import time

from fleet import BASE, KEY, chunk, event, head

# How an answer says where it ends: by its length, by its last chunk, or by the end
# of its connection.
FRAMES = ("length", "chunks", "close", "http10")
UNFRAMED = ("close", "http10")
# Of an answer of EVENTS parts: after the head, after two parts, inside the third.
PLACES = ("head", "between", "inside")
# Of the head: inside the status line, inside a field, before the blank line.
HEAD_PLACES = ("status", "field", "blank")
EVENTS = 6
PARTS_BEFORE_BREAK = 2
LINE_BYTES = 64
CALLER_TIMEOUT_S = 8.0
READ_BYTES = 16384
READER_PAUSE_S = 2.0  # longer than an instance lingers on a connection
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close is a reset


def stream_parts(n=EVENTS):
    return [event(k).encode() for k in range(1, n + 1)]


def plain_parts(name, n=EVENTS, lines=8):
    """Lines that tell the target, the attempt and their number."""
    return [b"".join((b"%s ATTEMPT line %d " % (name.encode(), k * lines + i)
                      ).ljust(LINE_BYTES - 1, b".") + b"\n" for i in range(lines))
            for k in range(n)]


def frame_head(frame, parts):
    fields = {"length": ["Content-Length: %d" % sum(map(len, parts))],
              "chunks": ["Transfer-Encoding: chunked"],
              "close": ["Connection: close"], "http10": []}[frame]
    text = head("ATTEMPT", *fields)
    return text.replace(b"HTTP/1.1", b"HTTP/1.0", 1) if frame == "http10" else text


def frame_part(frame, part):
    return chunk(part.decode()) if frame == "chunks" else part


def cut_answer(frame, parts, place):
    """An answer up to where its target stops, in pieces."""
    text = frame_head(frame, parts)
    if place in HEAD_PLACES:
        return [text[:{"status": 11, "field": 40, "blank": len(text) - 2}[place]]]
    if place == "head":
        return [text]
    pieces = [text] + [frame_part(frame, p) for p in parts[:PARTS_BEFORE_BREAK]]
    if place == "inside":
        cut = frame_part(frame, parts[PARTS_BEFORE_BREAK])
        pieces.append(cut[:len(cut) // 2])
    return pieces


def whole_answer(frame, parts):
    """An answer in pieces: the head, then one for each part."""
    pieces = [frame_head(frame, parts)] + [frame_part(frame, p) for p in parts]
    return pieces + [b"0\r\n\r\n"] if frame == "chunks" else pieces


def play_answer(answer, how, pause_s=0.0):
    """Sends an answer, then closes the connection in order ("fin") or resets it
    ("rst"). Its attribute `sent_at`: when each piece and the end were last sent."""

    def play(w, c, headers):
        play.sent_at = []
        for piece in answer:
            play.sent_at.append(time.monotonic())
            c.sendall(piece.replace(b"ATTEMPT",
                                    headers["x-loftpath-attempt-id"].encode()))
            time.sleep(pause_s)
        if how == "rst":
            c.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        play.sent_at.append(time.monotonic())
        return False

    return play


class Reply:
    """Reads the answer to one request from a connection. `end`: "whole" when its
    framing is complete, "fin" when it has none and ends in order, "cut" when its
    connection ends in order before its framing does, "reset", or "timeout"."""

    def __init__(self, c, pause_at=None):
        self.status, self.fields, self.body, self.end = 0, {}, b"", ""
        self.c, self.data, self.raw, self.arrived = c, b"", b"", []
        self.pause_at = pause_at  # bytes, after which it pauses once

    def read(self):
        try:
            self._read()
        except ConnectionError:
            self.end = "reset"
        except socket.timeout:
            self.end = "timeout"
        self.ended_at = time.monotonic()

    @property
    def broken(self):
        """Whether the caller sees that the answer is not complete."""
        return self.end in ("cut", "reset")

    @property
    def framed(self):
        return "content-length" in self.fields or "transfer-encoding" in self.fields

    def time_of(self, text):
        """When all bytes of `text` had arrived."""
        end = self.raw.index(text) + len(text)
        return next(at for at, n in self.arrived if n >= end)

    def _more(self):
        if self.pause_at and len(self.raw) >= self.pause_at:
            time.sleep(READER_PAUSE_S)
            self.pause_at = None
        got = self.c.recv(READ_BYTES)
        self.data += got
        self.raw += got
        self.arrived.append((time.monotonic(), len(self.raw)))
        return len(got) > 0

    def _until(self, mark):
        while mark not in self.data:
            if not self._more():
                return None
        text, self.data = self.data.split(mark, 1)
        return text

    def _read(self):
        text = self._until(b"\r\n\r\n")
        if text is None:
            self.end = "cut"
            return
        lines = text.decode().split("\r\n")
        self.status = int(lines[0].split(" ")[1])
        for line in lines[1:]:
            name, value = line.split(":", 1)
            self.fields[name.lower()] = value.strip()
        if "transfer-encoding" in self.fields:
            whole = self._read_chunks()
        elif "content-length" in self.fields:
            whole = self._read_length(int(self.fields["content-length"]))
        else:
            whole = self._read_rest()
        self.end = "fin" if whole is None else "whole" if whole else "cut"

    def _read_rest(self):
        more = True
        while more:
            self.body, self.data = self.body + self.data, b""
            more = self._more()

    def _read_length(self, n):
        more = True
        while len(self.body) < n and more:
            self.body += self.data
            self.data = b""
            more = len(self.body) >= n or self._more()
        self.body, self.data = self.body[:n], self.body[n:]
        return len(self.body) == n

    def _read_chunks(self):
        while True:
            size = self._until(b"\r\n")
            if size is None:
                return False
            n = int(size, 16)
            while len(self.data) < n + 2:
                if not self._more():
                    self.body += self.data
                    return False
            if n == 0:
                self.data = self.data[2:]
                return True
            self.body, self.data = self.body + self.data[:n], self.data[n + 2:]

    def __str__(self):
        return "%d, %d bytes (%r...), end: %s" % (self.status, len(self.body),
                                                  self.body[-40:], self.end)


def connect(s, i=0, receive_buffer=0):
    c = socket.socket()
    if receive_buffer:
        c.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    c.settimeout(CALLER_TIMEOUT_S)
    c.connect((s.ip(i), BASE))
    return c


class Call(threading.Thread):
    """Sends a request of its own path in a thread; join() gives its Reply."""

    def __init__(self, s, path, i=0, version="1.1", conn=None, deadline_ms=3000,
                 pause_at=None):
        super().__init__(daemon=True)
        s.next_id += 1
        self.attempt = "a%06d" % s.next_id  # as long as ATTEMPT
        self.c = conn or connect(s, i)
        body = b"" if path == "/safe/" else b"hello " + self.attempt.encode()
        self.request = ("%s %s%s HTTP/%s\r\nHost: front\r\nAuthorization: %s\r\n"
                        "X-Loftpath-Attempt-Id: %s\r\nX-Loftpath-Deadline-Ms: %d\r\n"
                        "X-Loftpath-Token-Count: 10,10\r\nContent-Length: %d\r\n\r\n"
                        % ("GET" if path == "/safe/" else "POST", path, self.attempt,
                           version, KEY["Authorization"], self.attempt, deadline_ms,
                           len(body))).encode() + body
        self.reply = Reply(self.c, pause_at)
        self.start()

    def run(self):
        self.c.sendall(self.request)
        self.reply.read()

    def result(self):
        self.join()
        return self.reply
