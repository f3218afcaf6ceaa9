"""worker_process.py: a worker in a process of its own, which a test can kill while
it answers: the system then closes its connections in order (FIN).

Usage: worker_process.py NAME SERVICE [child] [pause]; standard input has the answer as
JSON, a list of texts. It is sent with each ATTEMPT in it replaced by the id of the
attempt, and then neither goes on nor ends. The process ends when its standard input is
closed. With `child`, one that it starts keeps its listening socket open for CHILD_S. With
`pause`, it closes the connection after the answer and then stops itself (SIGSTOP)."""
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time

from standins import Worker

START_TIMEOUT_S = 10.0
CHILD_S = 3.0  # longer than the answer that is checked


class WorkerProcess:
    """Starts the process and enters it in the store. `ran`: the attempts that it
    began to run; `stopped`: those whose answer it has sent."""

    def __init__(self, store, name, service, answer, child=False, pause=False):
        self.store, self.name, self.service = store, name, service
        self.ran, self.stopped = [], []
        self.changed = threading.Condition()
        self.process = subprocess.Popen([sys.executable, __file__, name, service]
                                        + ["child"] * child + ["pause"] * pause,
                                        stdin=subprocess.PIPE,
                                        stdout=subprocess.PIPE)
        text = json.dumps([part.decode("latin-1") for part in answer])
        self.process.stdin.write(text.encode() + b"\n")
        self.process.stdin.flush()
        entry = json.loads(self.process.stdout.readline())
        self.address = entry["addr"]
        store.put("servers", name, entry)
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self):
        for line in self.process.stdout:
            event, attempt = line.decode().split()
            with self.changed:
                (self.ran if event == "ran" else self.stopped).append(attempt)
                self.changed.notify_all()

    def wait_stopped(self, n, seconds=5.0):
        """Waits until it has sent `n` answers as far as it sends them."""
        with self.changed:
            done = self.changed.wait_for(lambda: len(self.stopped) >= n, seconds)
        if not done:
            raise AssertionError("%s sent %d answers of %d" % (
                self.name, len(self.stopped), n))

    def resume(self):
        self.process.send_signal(signal.SIGCONT)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def close(self):
        self.kill()
        self.process.stdin.close()
        self.store.remove("servers", self.name)


class EntryPrinter:
    """Stands for the store in the process: prints the worker's entry."""

    def put(self, kind, name, spec):
        report(json.dumps(spec))


def report(line):
    os.write(1, line.encode() + b"\n")


def player(answer, pause):
    def play(worker, c, headers):
        attempt = headers["x-loftpath-attempt-id"]
        report("ran " + attempt)
        for part in answer:
            c.sendall(part.replace(b"ATTEMPT", attempt.encode()))
        if pause:
            c.shutdown(socket.SHUT_RDWR)
        report("stopped " + attempt)
        if not pause:
            threading.Event().wait()
        os.kill(os.getpid(), signal.SIGSTOP)
        return False

    return play


def main():
    answer = [part.encode("latin-1") for part in json.loads(sys.stdin.readline())]
    Worker(("127.0.0.1", 0), EntryPrinter(), sys.argv[1], sys.argv[2],
           play=player(answer, "pause" in sys.argv[3:]))
    if "child" in sys.argv[3:] and os.fork() == 0:
        time.sleep(CHILD_S)
        os._exit(0)
    sys.stdin.read()


if __name__ == "__main__":
    main()
