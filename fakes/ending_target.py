"""ending_target.py: a target of the product's own front, a model's engine and a plain
service in one, whose answers end as their request says. It runs as a process of its
own, so that the system closes its connections when it is killed.

The body of a plain request, or a chat's last message, has four words:
FRAME   of the body: length, chunks, none, http10, trailers (chunks with extensions
        and trailers), interim (a length, after an interim answer)
WHERE   the answer stops: head (inside it), empty (after it), half, last (one byte is
        missing), whole, or after a number of bytes
HOW     the connection ends: kill (of the process), close, reset, pause (an orderly end,
        after which the process stops itself)
TYPE    of a plain answer: json, text

Usage: ending_target.py IP:PORT"""
import json
import os
import signal
import socket
import struct
import sys
import threading

from standins import Server, chunk

PLAIN = {"json": ("application/json", json.dumps({"bay": 1, "seats": [1, 2, 3]})),
         "text": ("text/plain", "bay 1, seats 1 and 2 and 3"),
         "large": ("application/json", '{"seat": 123456789012345678901234567890}'),
         "zero": ("application/json", '{"seat": "1\\u00002"}')}
WORDS = ["one", "two", "three"]
INTERIM = b"HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\nA: b\r\n\r\n"
USAGE = {"prompt_tokens": 5, "completion_tokens": 3, "total_tokens": 8}


def whole_chat():
    return json.dumps({"object": "chat.completion", "usage": USAGE, "choices": [
        {"index": 0, "finish_reason": "stop",
         "message": {"role": "assistant", "content": " ".join(WORDS)}}]})


def streamed_chat():
    chunks = [{"choices": [{"index": 0, "delta": {"content": w}}]} for w in WORDS]
    chunks.append({"choices": [], "usage": USAGE})
    return "".join("data: %s\n\n" % json.dumps(c) for c in chunks) + "data: [DONE]\n\n"


def frame_body(frame, body):
    """Returns the fields of the head and the body as it is sent."""
    if frame in ("length", "interim"):
        return "Content-Length: %d\r\n" % len(body), body.encode()
    if frame == "chunks":
        half = len(body) // 2
        return "Transfer-Encoding: chunked\r\n", (
            chunk(body[:half]) + chunk(body[half:]) + b"0\r\n\r\n")
    if frame == "trailers":
        return "Transfer-Encoding: chunked\r\nTrailer: A\r\n", (
            b"%04x;a=b\r\n%s\r\n0;a\r\nA: b\r\n\r\n" % (len(body), body.encode()))
    return "", body.encode()


def frame_answer(frame, kind, body):
    """Returns the head, with an interim one, and the body as they are sent."""
    fields, framed = frame_body(frame, body)
    head = "HTTP/1.%d 200 OK\r\nContent-Type: %s\r\n%s\r\n" % (
        frame != "http10", kind, fields)
    return (INTERIM if frame == "interim" else b"") + head.encode(), framed


def cut(head, body, where):
    if where.isdigit():
        return (head + body)[:int(where)]
    if where == "head":
        return head[:-len(head) // 3]
    if where == "empty":
        return head
    if where == "half":
        return head + body[:len(body) // 2]
    return head + (body[:-1] if where == "last" else body)


class Target(Server):
    def answer(self, c, method, path, headers, body):
        if path.startswith("/load"):
            return self._send(c, 200, json.dumps(
                {"running": 0, "waiting": 0, "slots": 8}))
        if method == "OPTIONS":
            return self._send(c, 200, "")
        if path.startswith("/cancel") or path.startswith("/resume"):
            return self._send(c, 404, "{}")
        if path.startswith("/v1/chat"):
            request = json.loads(body)
            frame, where, how, _ = request["messages"][-1]["content"].split()
            kind, text = ("text/event-stream", streamed_chat()) \
                if request.get("stream") else ("application/json", whole_chat())
        else:
            frame, where, how, kind = body.decode().split()
            kind, text = PLAIN[kind]
        c.sendall(cut(*frame_answer(frame, kind, text), where))
        if how == "kill":
            os.kill(os.getpid(), signal.SIGKILL)
        if how == "pause":
            c.shutdown(socket.SHUT_RDWR)
            os.kill(os.getpid(), signal.SIGSTOP)
        if how == "reset":
            c.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        return False

    def _send(self, c, status, text):
        c.sendall(("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (
            status, len(text), text)).encode())
        return True


if __name__ == "__main__":
    ip, port = sys.argv[1].split(":")
    Target((ip, int(port)))
    threading.Event().wait()
