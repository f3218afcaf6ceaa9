#!/usr/bin/env python3
"""front_heads.py: the same as answer_heads.py, behind the product's own front.

Usage: front_heads.py BUILD_DIR [TEST...]"""
import json
import os
import socket
import struct
import sys
import time

import process
from odd_answers import ALLOWED, BODY, NOT_ALLOWED, read_answer
from process import KEYS

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "fakes"))
from ending_target import streamed_chat, whole_chat  # noqa: E402
from standins import Server  # noqa: E402

UPLOAD_BYTES = 4 << 20
EARLY_ROUNDS = 12
EARLY_S = 0.1


class Target(Server):
    """Sends `answer_bytes` to plain requests and chats, and sound answers to all
    others. If `early`, it sends them before it reads the body of an upload, reads no
    more and resets the connection."""

    answer_bytes, early = b"", False

    def __init__(self):
        self.seen = []
        super().__init__(("127.0.0.1", 0))

    def answer(self, c, method, path, headers, body):
        self.seen.append((path, sorted(headers)))
        if path.startswith("/v1/chat") or path.startswith("/odd"):
            c.sendall(self.answer_bytes)
            return False
        text = b'{"running": 0, "waiting": 0, "slots": 64}'
        c.sendall(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
        return True

    def _serve(self, c):
        if not self.early:
            super()._serve(c)
            return
        c.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        data = b""
        try:
            while b"\r\n\r\n" not in data:
                data += c.recv(1) or b"\r\n\r\n"
            if b"ength: %d\r\n" % UPLOAD_BYTES not in data:
                self.answer(c, "GET", data.split(b" ")[1].decode(), {}, b"")
                return
            c.sendall(self.answer_bytes)
            time.sleep(EARLY_S)
            c.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
        finally:
            self.open.discard(c)
            c.close()


class OddFleet(process.Fleet):
    """One instance; a service "odd" and a model "odd" of one target."""

    def __init__(self):
        self.target = Target()
        super().__init__(engines=1, instances=1)

    def spawn(self, name, args, env=None):
        if name == "i0":
            env = dict(env, LOFTPATH_MAX_BODY=str(UPLOAD_BYTES))
        super().spawn(name, args, env)

    def table(self, slots, small):
        return super().table(slots, small) + "\n".join([
            "service,odd,,,,0,yes,8000,,,,,,,",
            "service,oddchat,,,odd,3,,8000,400,,,,,,",
            "target,o,,,,,,,,odd,%s,nord,64,," % self.target.address,
            "target,p,,,odd,,,,,,%s,nord,64,," % self.target.address]) + "\n"

    def send(self, path, body):
        with socket.create_connection(("127.0.0.1", self.ports[0]), 20) as c:
            c.sendall(("POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"
                       "Connection: close\r\nContent-Length: %d\r\n\r\n" % (
                           path, KEYS["c"], len(body))).encode() + body)
            try:
                return read_answer(c)
            except OSError:
                return 0, [], b""

    def odd_chat(self, stream):
        return self.send("/v1/chat/completions", json.dumps({
            "model": "oddchat", "stream": stream, "max_tokens": 5,
            "messages": [{"role": "user", "content": "x"}]}).encode())

    def close(self):
        super().close()
        self.target.close()


def with_body(parts, body):
    """The answer with another body; its framing is kept."""
    first, fields, old = parts
    if old.startswith(b"8\r\n" + BODY):  # in chunks
        framed = b"%x\r\n%s%s" % (len(body), body, old[len(b"8\r\n" + BODY):])
    else:
        framed = old.replace(BODY, body)
    return first + fields.replace(b"Length: %d\r\n" % len(BODY),
                                  b"Length: %d\r\n" % len(body)) + b"\r\n" + framed


def list_passed_on(f, send, body):
    wrong = []
    for name, parts in NOT_ALLOWED.items():
        f.target.answer_bytes = with_body(parts, body)
        status, _, data = send()
        if status not in (0, 502, 503) or b"[DONE]" in data:
            wrong.append((name, status, data[:60]))
    print("  %d of %d passed on" % (len(wrong), len(NOT_ALLOWED)), flush=True)
    return wrong


def test_front_heads_that_http_does_not_allow_are_no_answers(f):
    """The caller of a plain service got them as answers."""
    wrong = list_passed_on(f, lambda: f.send("/services/odd/odd", b"b"), BODY)
    assert not wrong, wrong


def test_front_heads_that_http_does_not_allow_are_no_chats(f):
    """The caller of a chat got them as answers."""
    wrong = list_passed_on(f, lambda: f.odd_chat(False), whole_chat().encode())
    assert not wrong, wrong


def test_front_heads_that_http_does_not_allow_begin_no_streams(f):
    """The caller of a streamed chat got them as answers."""
    wrong = list_passed_on(f, lambda: f.odd_chat(True), streamed_chat().encode())
    assert not wrong, wrong


def test_front_heads_that_http_allows_are_passed_on(f):
    """A check that is too strict would refuse a sound answer."""
    wrong = []
    for name, parts in ALLOWED.items():
        f.target.answer_bytes = with_body(parts, BODY)
        status, _, data = f.send("/services/odd/odd", b"b")
        if status not in (200, 299) or data != BODY:
            wrong.append((name, status, data))
    assert not wrong, wrong


def test_front_a_path_can_add_no_lines_to_a_request(f):
    """The front decoded it: blanks and line ends in it ended the line."""
    f.target.answer_bytes = b"".join(ALLOWED["no reason"][:2]) + b"\r\n" + BODY
    wrong = []
    for path in ("odd%0d%0aX-Smuggled:%201", "odd%20HTTP/1.1%0d%0aX-Smuggled:%201%0d%0a",
                 "odd%0ax", "odd%0dx", "odd%20x", "odd%3fx", "odd%25x"):
        f.target.seen.clear()
        f.send("/services/odd/" + path, b"b")
        seen = [x for x in f.target.seen if "odd" in x[0]]
        if (len(seen) != 1 or seen[0][0].lower() != "/" + path.lower() or
                "x-smuggled" in seen[0][1]):
            wrong.append((path, seen))
    assert not wrong, wrong


def test_front_a_part_of_an_early_answer_that_is_reset_is_no_answer(f):
    """An answer without a length, cut by a reset while the upload was still being
    written, looked as if it had ended in order."""
    f.target.early = True
    f.target.answer_bytes = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n" + BODY
    got = [f.send("/services/odd/odd", bytes(UPLOAD_BYTES))
           for _ in range(EARLY_ROUNDS)]
    assert all(r[0] in (0, 502, 503) for r in got), [(r[0], r[2][:60]) for r in got]


def test_front_a_whole_early_answer_is_passed_on(f):
    """A target may answer before it has read a long body."""
    f.target.early = True
    f.target.answer_bytes = (b"HTTP/1.1 413 X\r\nContent-Length: 8\r\n"
                             b"Connection: close\r\n\r\n" + BODY)
    got = [f.send("/services/odd/odd", bytes(UPLOAD_BYTES))
           for _ in range(EARLY_ROUNDS)]
    assert all(r[0] == 413 and r[2] == BODY for r in got), [(r[0], r[2][:60]) for r in got]


if __name__ == "__main__":
    sys.exit(process.run_each(globals(), OddFleet))
