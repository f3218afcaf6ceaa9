#!/usr/bin/env python3
"""checked_ends.py: answers that only the end of their connection ends, where the check
whether their target goes on may mislead: a target at the address of a former one, one
that can't be reached anew, one whose listener outlives it, and one behind a proxy. Real
processes.

Usage: checked_ends.py BUILD_DIR [TEST...]"""
import socket
import sys

from answer_ends import (SERVICE, EndSite, check_whole_elsewhere, is_stream, parts_of)
from ending import Call, cut_answer, play_answer, plain_parts, whole_answer
from fleet import run_tests
from proxy import Proxy
from standins import Worker
from worker_process import WorkerProcess

PATHS = ("/safe/", "/once/", "/firm/")
LEAVING = 3  # targets


def check_each(s, check):
    """Checks each path. Reports all that failed."""
    failed = []
    for path in PATHS:
        try:
            check(s, path)
        except AssertionError as e:
            failed.append("%s: %s" % (path, e))
        s.clear()
    assert not failed, "; ".join(failed)


def check_sound(s, path, w):
    """The only target ends a whole answer by closing its connection."""
    parts = parts_of(path, w.name)
    w.play = w.play or play_answer(whole_answer("close", parts), "fin")
    c = Call(s, path)
    r = c.result()
    want = b"".join(parts).replace(b"ATTEMPT", c.attempt.encode())
    assert r.status == 200 and r.body == want and r.end == "whole", str(r)


def start_at(s, path, address, store):
    """Starts a target of another name at the address of one that ended."""
    ip, port = address.split(":")
    w = Worker((ip, int(port)), store, s.new_name(), SERVICE[path])
    (s.engines if is_stream(path) else s.desks).append(w)
    return w


# == sound answers ==

def check_new_at_address(s, path):
    [former] = s.add_sound(path)
    assert Call(s, path).result().end == "whole"
    s.remove_workers(s.engines if is_stream(path) else s.desks)
    w = start_at(s, path, former.address, s.store)
    s.wait_known(w.name)
    check_sound(s, path, w)


# Guards against sound answers that fail for as long as a former target is remembered
# at the address of their target.
def test_a_new_target_at_a_former_address_is_served(s):
    check_each(s, check_new_at_address)


class FullWorker(Worker):
    """Its queue of new connections is full once it has taken one."""

    def _accept(self):
        c, _ = self.socket.accept()
        self.open.add(c)
        self.socket.listen(0)
        self.waiting = [socket.socket() for _ in range(4)]
        for w in self.waiting:
            w.setblocking(False)
            w.connect_ex(self.socket.getsockname())
        self._serve(c)


def check_full_queue(s, path):
    w = FullWorker(("127.0.0.1", 0), s.store, s.new_name(), SERVICE[path])
    (s.engines if is_stream(path) else s.desks).append(w)
    s.wait_known(w.name)
    check_sound(s, path, w)


# Guards against a target that is slow to accept and is taken for ended: the system
# refuses connections to a process that has ended, and leaves none unanswered.
def test_a_target_whose_queue_of_connections_is_full_is_served(s):
    check_each(s, check_full_queue)


class Poll(Call):
    """Its request is the same each time."""

    def start(self):
        self.request = self.request.replace(b"/safe/" + self.attempt.encode(),
                                            b"/safe/poll", 1)
        super().start()


def leave_after(whole):
    def play(w, c, headers):
        w.drain()
        whole(w, c, headers)
        w.socket.shutdown(socket.SHUT_RDWR)
        w.socket.close()
        return False

    return play


# Guards against a request that is refused as a suspect since targets, which had said
# that they leave, ended after they had answered it.
def test_a_request_is_no_suspect_after_targets_left(s):
    for _ in range(LEAVING):
        [w] = s.add_sound("/safe/")
        w.play = leave_after(play_answer(
            whole_answer("close", plain_parts(w.name)), "fin", 0.1))
        Poll(s, "/safe/").join()
        s.clear()
    s.add_sound("/safe/")
    r = Poll(s, "/safe/").result()
    assert r.status == 200, "%s, after %s" % (r, [
        l["event"] for l in s.log(0) if l["event"] in ("request-marked", "suspect")])


# == short answers ==

def check_killed(s, start, kill=WorkerProcess.kill):
    """A target that `start` adds for a path is killed within an answer, which comes
    whole from another one. Reports all paths that failed."""
    failed = []
    for path in ("/safe/", "/chat/"):
        w = start(path)
        c = Call(s, path)
        w.wait_stopped(1)
        [other] = s.add_sound(path)
        kill(w)
        try:
            check_whole_elsewhere(path, [c], w, other)
        except AssertionError as e:
            failed.append("%s: %s" % (path, e))
        s.clear()
    assert not failed, "; ".join(failed)


# Guards against a short answer that looks complete since a child of the killed target
# still has its listener: the system accepts connections that nobody serves.
def test_a_listener_that_outlives_its_target_does_not_show_that_it_goes_on(s):
    check_killed(s, lambda path: s.add_process(path, "close", "between", child=True))


class ProxiedStore:
    """Enters targets with the address of a proxy, which accepts connections for them
    whether they run or not."""

    def __init__(self, store):
        self.store = store

    def put(self, kind, name, spec):
        self.proxy = Proxy(spec["addr"])
        self.store.put(kind, name, dict(spec, addr=self.proxy.address))

    def remove(self, kind, name):
        self.store.remove(kind, name)
        self.proxy.close()


# Guards against a short answer that looks complete since a proxy accepts connections
# for a target that was killed.
def test_a_proxy_that_accepts_for_a_target_does_not_show_that_it_goes_on(s):
    def start(path):
        name = s.new_name()
        w = WorkerProcess(ProxiedStore(s.store), name, SERVICE[path],
                          cut_answer("close", parts_of(path, name), "between"))
        s.killed.append(w)
        s.wait_known(w.name)
        return w

    check_killed(s, start)


class NoStore:
    """Of a target that is not entered yet."""

    def put(self, kind, name, spec):
        pass


# Guards against a short answer that looks complete since another target was started
# at the address of the killed one before the store says so.
def test_a_target_started_anew_does_not_show_that_the_former_goes_on(s):
    def kill_and_start(w):
        w.kill()
        ip, port = w.address.split(":")
        anew.append(Worker((ip, int(port)), NoStore(), s.new_name(), w.service))

    anew = []
    check_killed(s, lambda path: s.add_process(path, "close", "between"),
                 kill_and_start)
    for w in anew:
        w.close()


if __name__ == "__main__":
    sys.exit(run_tests(dict(globals()), site=EndSite))
