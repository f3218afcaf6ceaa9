"""worker.py ADDR ID BODY_KB SECONDS: stand-in of a sound worker. It answers each
request with a body of BODY_KB kilobytes that it writes over SECONDS. Each line
of the body names the worker, the request and its own place. It writes a line of
JSON for each request that it runs and each answer that it has written."""
import json
import socket
import sys
import threading
import time

ADDR, ID, BODY_KB, SECONDS = (sys.argv[1], sys.argv[2], int(sys.argv[3]),
                              float(sys.argv[4]))
LINE = 64


def body_of(worker, attempt, kilobytes):
    lines = []
    for i in range(kilobytes * 1024 // LINE):
        text = "%s %s line %d " % (worker, attempt, i)
        lines.append(text.ljust(LINE - 1, ".") + "\n")
    return "".join(lines).encode()


def note(**fields):
    with note_lock:
        sys.stdout.write(json.dumps(fields) + "\n")
        sys.stdout.flush()


note_lock = threading.Lock()


def serve(c):
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
            f.read(int(headers.get("content-length", 0)))
            attempt = headers.get("x-loftpath-attempt-id", "")
            if headers.get("x-loftpath-expect-instance") != ID:
                c.sendall(("HTTP/1.1 421 X\r\nContent-Length: 0\r\n"
                           "X-Loftpath-Not-Executed: 1\r\n"
                           "X-Loftpath-Attempt-Id: %s\r\n\r\n" % attempt).encode())
                continue
            note(event="runs", attempt=attempt, method=method, path=path)
            body = body_of(ID, attempt, BODY_KB)
            c.sendall(("HTTP/1.1 200 OK\r\nX-Loftpath-Attempt-Id: %s\r\n"
                       "X-Loftpath-Server-Stamp: stamp-%s\r\n"
                       "Content-Length: %d\r\n\r\n"
                       % (attempt, ID, len(body))).encode())
            step = 16384
            for at in range(0, len(body), step):
                c.sendall(body[at:at + step])
                if SECONDS:
                    time.sleep(SECONDS * step / len(body))
            note(event="answered", attempt=attempt, bytes=len(body))
    except (OSError, ValueError) as e:
        note(event="connection ended", error=str(e))
    finally:
        c.close()


def main():
    host, port = ADDR.split(":")
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    s.bind((host, int(port)))
    s.listen(128)
    while True:
        c, _ = s.accept()
        c.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=serve, args=(c,), daemon=True).start()


if __name__ == "__main__":
    main()
