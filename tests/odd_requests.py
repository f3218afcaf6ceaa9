#!/usr/bin/env python3
"""odd_requests.py: requests with bytes and numbers that no careful client sends, at both
fronts; real processes. Each process has to live and to serve an ordinary request after
each of them.

Usage: odd_requests.py BUILD_DIR [TEST...]"""
import json
import socket
import sys

import process
from fleet import BASE, Site, play_stream, run_tests
from process import KEYS

LARGE = (2**31, 2**53 + 1, 2**62, 2**63 - 1, 2**63, 2**64, 10**30)
NUMBERS = [str(n) for n in LARGE] + [str(-n) for n in LARGE] + [
    "-1", "0", "", "x", "1e308", "nan", "inf", "-inf", "0x7fffffffffffffff", " 1", "+1"]
LATIN = "münchen".encode("latin-1")
LONG = ("x" + "ü" * 60).encode()  # cut inside a character at 100 bytes
BYTES = [LATIN, LONG, b"\xff", b"\xc3", b"a\x80b", b"\xed\xa0\x80", b"\xf8\x88\x80\x80\x80",
         b"%00%ff", b'"\\', b"x" * 5000, "ü".encode() * 2500, b"{}", b"%s%n%d"]
FLOW_BYTES = ["Host", "X-Loftpath-Attempt-Id", "Authorization", "Resumes",
              "X-Loftpath-Model", "X-Loftpath-Prefix-Hash", "Last-Event-Id", "Expect",
              "X-Loftpath-Tenant", "Connection", "Content-Type"]
FLOW_NUMBERS = ["X-Loftpath-Deadline-Ms", "Last-Event-Id", "X-Loftpath-Token-Count",
                "X-Loftpath-Request-Priority"]
FRONT_BYTES = ["Host", "Authorization", "Idempotency-Key", "Content-Type", "Expect"]


def exchange(address, method, path, fields, body=b""):
    """Sends a request of any bytes. Returns the status; 0: there was no answer."""
    data = method + b" " + path + b" HTTP/1.1\r\n"
    for k, v in fields.items():
        data += k.encode("latin-1") + b": " + v + b"\r\n"
    if body or method == b"POST":
        data += b"Content-Length: %d\r\n" % len(body)
    with socket.create_connection(address, 10) as c:
        try:
            c.sendall(data + b"\r\n" + body)
            answer = c.recv(1 << 16)
            return int(answer.split(b" ")[1]) if answer else 0
        except ConnectionError:
            return 0


# == the users' path ==

def flow_fields(s):
    return {k: v.encode() for k, v in s.head().items()}


def send_flow(s, method, path, name, value, body=b""):
    status = exchange((s.ip(0), BASE), method, path, dict(flow_fields(s), **{name: value}),
                      body)
    assert s.processes[0].poll() is None, ("the process ended", path, name, value[:80])
    return status


def check_flow(s):
    for e in s.engines:
        e.play = play_stream(3)
    a = s.call("/once/x", "POST", b"b")
    assert a.status == 200, (a.status, a.body)
    a = s.chat(10)
    assert a.status == 200, (a.status, a.body)


def test_fields_of_any_bytes_end_no_process(s):
    """A host that is no UTF-8 could not be stated in the answer, which ended the
    process."""
    for name in FLOW_BYTES:
        for value in BYTES:
            send_flow(s, b"GET", b"/safe/x", name, value)
            send_flow(s, b"POST", b"/chat/x", name, value, b"b")
    check_flow(s)


def test_paths_of_any_bytes_end_no_process(s):
    """Refusals may state the path."""
    for value in BYTES:
        for prefix in (b"/", b"/safe/", b"/chat/", b"/safe/?"):
            if b" " not in value:
                send_flow(s, b"GET", prefix + value, "X-Odd", b"1")
    check_flow(s)


def test_methods_of_all_kinds_end_no_process(s):
    """Some have no body, or a path of another form."""
    for method in (b"CONNECT", b"OPTIONS", b"TRACE", b"PRI", b"HEAD", b"DELETE", b"M-SEARCH",
                   b"SOURCE", b"UNLINK", b"odd", b"\xff"):
        for path in (b"/safe/x", b"*", b"front:80", b"http://front/safe/x"):
            send_flow(s, method, path, "X-Odd", b"1")
    check_flow(s)


def test_counts_of_tokens_of_any_size_end_no_process(s):
    """The sum of both counts overflowed, and an assertion ended the process."""
    for a in NUMBERS:
        for b in NUMBERS:
            send_flow(s, b"POST", b"/chat/x", "X-Loftpath-Token-Count",
                      ("%s,%s" % (a, b)).encode(), b"b")
    check_flow(s)


def test_numbers_of_any_size_end_no_process(s):
    """They are added to times and counts."""
    for name in FLOW_NUMBERS:
        for value in NUMBERS:
            send_flow(s, b"POST", b"/chat/x", name, value.encode(), b"b")
            send_flow(s, b"GET", b"/safe/x", name, value.encode())
    check_flow(s)


def test_parts_of_prompts_of_any_size_end_no_process(s):
    """The sum of the tokens of the parts overflowed."""
    for a in NUMBERS:
        for n in (1, 2, 40, 400):
            value = ",".join("%x:%s" % (k, a) for k in range(n)).encode()
            send_flow(s, b"POST", b"/chat/x", "X-Loftpath-Prefix-Hash", value, b"b")
    check_flow(s)


ODD_LINES = [b"X Odd: 1", b"X-Odd : 1", b"X-\x01Odd: 1", b"X-Odd: a\x01b", b"X-Odd: a\r\n b",
             b"X-\xe9Odd: 1", b"X-(Odd): 1", b"Content-Length : 0", b"Transfer-Encoding : x",
             b"Transfer-Encoding: gzip, chunked", b"Transfer-Encoding: chunked, chunked"]


def test_lines_that_http_does_not_allow_reach_no_target(s):
    """A target could take such a line, or what follows it, for something else."""
    for line in ODD_LINES:
        name, _, value = line.partition(b": ")
        for method in (b"GET", b"POST"):
            status = send_flow(s, method, b"/safe/x", name.decode("latin-1"), value)
            assert status == 400, (line, status)
        data = b"POST /once/x HTTP/1.1\r\n" + b"".join(
            k.encode() + b": " + v + b"\r\n" for k, v in flow_fields(s).items())
        data += b"Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n" + line + b"\r\n\r\n"
        if name == b"Transfer-Encoding":
            continue  # a trailer may have that name
        with socket.create_connection((s.ip(0), BASE), 10) as c:
            c.sendall(data)
            assert c.recv(1000).startswith(b"HTTP/1.1 400 "), line
    assert not s.desks[0].ran and not s.desks[1].ran
    check_flow(s)


# == the product's own front ==

class Front(process.Fleet):
    def __init__(self, **ignored):
        super().__init__(engines=1, instances=1, token_ms=0)

    def send(self, method, path, more=(), body=b""):
        fields = {"Host": b"x", "Authorization": b"Bearer " + KEYS["c"].encode()}
        fields.update(more)
        status = exchange(("127.0.0.1", self.ports[0]), method, path, fields, body)
        assert self.procs["i0"].poll() is None, ("the process ended", path, more,
                                                 body[:80])
        return status

    def check(self):
        a = self.chat(self.ports[0])
        assert a.status == 200, (a.status, a.body)
        assert self.book(self.ports[0], "plate").status == 201


def test_front_fields_of_any_bytes_end_no_process(f):
    """They may be stated in answers and log lines."""
    for name in FRONT_BYTES:
        for value in BYTES:
            f.send(b"GET", b"/v1/models", {name: value})
            f.send(b"POST", b"/v1/chat/completions", {name: value}, b"{}")
            f.send(b"POST", b"/services/quick/x", {name: value}, b"b")
    f.check()


def test_front_paths_of_any_bytes_end_no_process(f):
    """A path that is no UTF-8 could not be stated in the answer."""
    for value in BYTES:
        if b" " in value:
            continue
        quoted = b"".join(b"%%%02x" % b for b in value[:500])
        for v in (value, quoted):
            for prefix in (b"/", b"/services/", b"/services/book/", b"/admin/",
                           b"/services/book/x?", b"/services/book/x?a=", b"/v1/"):
                f.send(b"GET", prefix + v)
    f.check()


def test_front_bodies_of_any_bytes_end_no_process(f):
    """A model that is not known is stated in the answer."""
    chat = {"model": "chat", "max_tokens": 3,
            "messages": [{"role": "user", "content": "x"}]}
    names = ["ü" * 50, "x" + "ü" * 50, "\x00", "\ud800", "x" * 10000, "%s%n", "/../"]
    for key in ("model", "role", "content", "stream", "max_tokens", "n", "stop", "messages",
                "stream_options", "max_completion_tokens"):
        for value in names + LARGE_JSON:
            o = dict(chat)
            if key in ("role", "content"):
                o["messages"] = [dict(chat["messages"][0], **{key: value})]
            else:
                o[key] = value
            f.send(b"POST", b"/v1/chat/completions", body=json.dumps(o).encode())
    for body in BYTES + [b"[" * 100000, b'{"a":' * 50000, b"1" * 100000, b'"\xff"',
                         b'{"model": "\xff"}', b'{"model": "m\xc3', b"\x00" * 1000, b"nul",
                         b'{"model":"chat","messages":[' + b"{}," * 30000 + b"{}]}"]:
        f.send(b"POST", b"/v1/chat/completions", body=body)
        f.send(b"POST", b"/admin/table?id=x&who=y&base=0",
               {"Authorization": b"Bearer " + process.ADMIN.encode()}, body)
    f.check()


LARGE_JSON = [2**31, 2**53 + 1, 2**62, 2**63 - 1, -1, -2**63, 0, 1.5, 1e308, None, True, [],
              {}, [[]], [{}], {"": {}}]


def test_front_numbers_in_chats_of_any_size_end_no_process(f):
    """Sums of tokens must not overflow."""
    for n in LARGE:
        for key in ("max_tokens", "max_completion_tokens", "n"):
            body = ('{"model": "chat", "%s": %d, "messages": [{"role": "user", '
                    '"content": "x"}]}' % (key, n)).encode()
            f.send(b"POST", b"/v1/chat/completions", body=body)
    f.check()


def run():
    names = sys.argv[2:] or [n for n in globals() if n.startswith("test_")]
    flow = [n for n in names if not n.startswith("test_front_")]
    front = [n for n in names if n.startswith("test_front_")]
    return max(run_tests(globals(), names=flow, site=Site) if flow else 0,
               run_tests(globals(), names=front, site=Front) if front else 0)


if __name__ == "__main__":
    sys.exit(run())
