#!/usr/bin/env python3
"""caller_ends.py: callers of HTTP/1.0, whose streams end with the connection, at an
instance that ends.

Guards against this failure: the system closed the connections of an instance's
process by FIN, and its callers took this for the end of their streams.

Usage: caller_ends.py BUILD_DIR [TEST...]"""
import socket
import sys
import threading
import time

from fleet import BASE, chunk, config, event, head, play_stream, run_tests, wait_for

EVENTS = 40
STEP_S = 0.2
CALLERS = 4


def slow_stream(w, c, headers):
    first = int(headers.get("last-event-id", "0")) + 1
    c.sendall(head(headers["x-loftpath-attempt-id"], "Content-Type: text/event-stream",
                   "Transfer-Encoding: chunked"))
    for k in range(first, EVENTS + 1):
        c.sendall(chunk(event(k)))
        time.sleep(STEP_S)
    c.sendall(b"0\r\n\r\n")
    return True


def read_stream(s, ended):
    """Records the number of bytes, and whether the connection ended in order."""
    fields = s.head(X_Loftpath_Token_Count="10,40", X_Loftpath_Deadline_Ms="20000")
    c = socket.create_connection((s.ip(0), BASE), timeout=20)
    c.sendall(("POST /chat/x HTTP/1.0\r\nContent-Length: 1\r\n%s\r\nx" % "".join(
        "%s: %s\r\n" % f for f in fields.items())).encode())
    got = b""
    try:
        while True:
            data = c.recv(4096)
            if not data:
                break
            got += data
        ended.append((got, "in order"))
    except OSError:
        ended.append((got, "reset"))
    c.close()


def start_streams(s):
    """Returns the streams' ends and threads."""
    c = config(2)
    for r in c["routes"]:
        r["timeout_ms"] = 20000
    s.store.put("config", "main", c)
    wait_for("the configuration", lambda: any(
        l["event"] == "configuration" and l["version"] == 2 for l in s.log(0)))
    ended = []
    threads = [threading.Thread(target=read_stream, args=(s, ended), daemon=True)
               for _ in range(CALLERS)]
    for t in threads:
        t.start()
    return ended, threads


def check_end(s, end):
    for w in s.engines:
        w.play = slow_stream
    ended, threads = start_streams(s)
    time.sleep(1.5)
    end(s.processes[0])
    for t in threads:
        t.join()
    begun = [e for e in ended if b" 200 " in e[0][:16] and event(1).encode() in e[0]]
    whole = [e for e in begun if e[1] == "in order" and
             event(EVENTS).encode() not in e[0]]
    print("  %d begun, %d ended in order" % (len(begun), len(whole)), flush=True)
    assert len(begun) >= CALLERS / 2, ended
    assert not whole, whole[0][0][-60:]


def test_a_whole_stream_of_http_1_0_ends_in_order(s):
    """A reset at its end would make a whole stream look cut, or cost its last bytes."""
    for w in s.engines:
        w.play = play_stream(EVENTS)
    ended, threads = start_streams(s)
    for t in threads:
        t.join()
    events = "".join(event(k) for k in range(1, EVENTS + 1)).encode()
    assert all(how == "in order" and got.endswith(b"\r\n\r\n" + events)
               for got, how in ended), ended
    assert len(ended) == CALLERS


def test_a_stream_of_http_1_0_does_not_look_whole_when_its_instance_is_killed(s):
    """The caller had some of the events and the orderly end of its connection."""
    check_end(s, lambda p: p.kill())


def test_a_stream_of_http_1_0_does_not_look_whole_when_its_instance_stops(s):
    """A stream that outlasts the stop was closed in order."""
    def stop(p):
        p.terminate()
        p.wait(10)

    check_end(s, stop)


if __name__ == "__main__":
    sys.exit(run_tests(dict(globals())))
