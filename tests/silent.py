#!/usr/bin/env python3
"""silent.py: sound targets that are silent for a second (SIGSTOP) while an instance
finds out whether they go on. Silence shows neither that a target goes on nor that it has
ended. Real processes.

Usage: silent.py BUILD_DIR [TEST...]"""
import sys
import time

from answer_ends import SERVICE, EndSite, parts_of
from ending import UNFRAMED, Call, whole_answer
from fleet import run_tests
from worker_process import WorkerProcess

PAUSE_S = 1.2  # of a target; longer than any of its answers takes
PATHS = ("/safe/", "/once/", "/chat/", "/firm/")


def start_paused(s, path, frame):
    """A target that stops as soon as it has closed a whole answer."""
    name = s.new_name()
    w = WorkerProcess(s.store, name, SERVICE[path],
                      whole_answer(frame, parts_of(path, name)), pause=True)
    s.killed.append(w)
    s.wait_known(name)
    return w


def check_served(c, w, path):
    r = c.result()
    want = b"".join(parts_of(path, w.name)).replace(b"ATTEMPT", c.attempt.encode())
    whole = r.status == 200 and r.body == want and r.end == "whole"
    return None if whole else "%s: %s" % (path, r)


def check_paused(s, n, change=lambda: None):
    """One target, or `n` targets of which each stops after its answer."""
    failed = []
    for frame in UNFRAMED:
        for path in PATHS:
            targets = [start_paused(s, path, frame) for _ in range(n)]
            c = Call(s, path)
            change()
            while not any(w.stopped for w in targets):
                time.sleep(0.01)
            [w] = [w for w in targets if w.stopped]
            time.sleep(PAUSE_S)
            for t in targets:
                t.resume()
            failed.append(check_served(c, w, path) if path != "/safe/" or n == 1
                          else None if c.result().status == 200 else
                          "%s: %s" % (path, c.result()))
            s.clear()
    failed = [f for f in failed if f]
    assert not failed, "%d of %d: %s" % (len(failed), len(UNFRAMED) * len(PATHS),
                                         "; ".join(failed))


# Guards against whole answers that callers lost (502, or a reset stream): their target
# fell silent for a second after it had closed them, which was taken for its end.
def test_a_target_that_is_silent_after_its_answer_is_served(s):
    check_paused(s, 1)


# Guards against the same beside another target: the rest of a whole stream, which is
# empty, was asked for there, and the stream was reset.
def test_a_target_that_is_silent_beside_another_one_is_served(s):
    check_paused(s, 2)


# Guards against the same while the configuration changes.
def test_a_target_that_is_silent_beside_a_change_is_served(s):
    versions = iter(range(100, 200))

    def change():
        conf = dict(s.store.kinds["config"]["main"]["spec"], version=next(versions))
        conf["limits"] = dict(conf["limits"], idle_timeout_ms=4000 + conf["version"])
        s.store.put("config", "main", conf)

    check_paused(s, 1, change)


if __name__ == "__main__":
    sys.exit(run_tests(dict(globals()), site=EndSite))
