"""callers.py: callers of all kinds at all instances, and checks that the outcomes
reported to them are true."""
import threading
import time


class Load:
    """Callers of all kinds, each at a ready instance, and what they observed."""

    def __init__(self, s, dice):
        self.s, self.dice, self.stop = s, dice, False
        self.ready = set(range(len(s.processes)))
        self.served = self.refused = 0
        self.told = []    # (attempt, kind, status, Loftpath-Ran)
        self.broken = []  # (kind, instance, status or error instead of an answer)
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=self.run) for _ in range(4)]
        for t in self.threads:
            t.start()

    def one(self, i, kind):
        with self.lock:
            self.s.next_id += 1
            name = "up%d" % self.s.next_id
        calls = {
            "safe": lambda: self.s.call("/safe/x", i=i, X_Loftpath_Attempt_Id=name),
            "once": lambda: self.s.call("/once/x", "POST", b"b", i=i,
                                        X_Loftpath_Attempt_Id=name),
            "chat": lambda: self.s.chat(20, i=i, X_Loftpath_Attempt_Id=name)}
        a = calls[kind]()
        if a.status == 200:
            self.served += 1
        elif a.status in (402, 429, 503) and a.headers.get("loftpath-ran") == "not-run":
            self.refused += 1
        else:
            self.broken.append((kind, i, a.status))
        self.told.append((name, kind, a.status, a.headers.get("loftpath-ran")))

    def run(self):
        while not self.stop:
            with self.lock:
                i = self.dice.choice(sorted(self.ready))
                kind = self.dice.choice(("safe", "once", "chat"))
            try:
                self.one(i, kind)
            except OSError as e:
                if i in self.ready:
                    self.broken.append((kind, i, repr(e)))
            time.sleep(0.01)

    def end(self):
        self.stop = True
        for t in self.threads:
            t.join()


def check_told(s, load):
    """Non-repeatable requests ran at most once, and "not run" is true."""
    for name, kind, status, ran in load.told:
        n = sum(w.ran.count(name) for w in s.desks + s.engines)
        assert kind != "once" or n <= 1, "%s ran %d times" % (name, n)
        assert kind != "once" or status != 200 or n == 1, "%s: nothing ran" % name
        assert ran != "not-run" or n == 0, "%s ran %d times, reported: not run" % (
            name, n)


def spent(s):
    """Tokens of the chats that engines accepted: twenty of each prompt, plus two
    events."""
    return len({name for w in s.engines for name in w.ran}) * (20 + 2)
