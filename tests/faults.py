"""faults.py: random faults of instances and of the store, for soaks with real
processes."""
import signal
import time

IN_TOUCH_S = 3.0  # how long after their cause, or after a fault, bounds start to hold


class Faults:
    """Injects random faults into instances and the store, and records when. Bounds
    do not apply to an instance within IN_TOUCH_S after a fault."""

    def __init__(self, s, dice):
        self.s, self.dice = s, dice
        self.struck = []  # (from, until, instance; None: all)

    def note(self, began, i):
        self.struck.append((began, time.monotonic() + IN_TOUCH_S, i))

    def end_one(self, how):
        """Ends an instance by signal `how` and restarts it."""
        began, i = time.monotonic(), self.dice.randrange(len(self.s.processes))
        self.s.processes[i].send_signal(how)
        self.s.processes[i].wait()
        self.s.start(i)
        self.note(began, i)

    def restart(self):
        self.end_one(signal.SIGKILL)

    def stop(self):
        self.end_one(signal.SIGTERM)

    def restart_all(self):
        began = time.monotonic()
        self.s.restart_all()
        self.note(began, None)

    def freeze(self):
        began, i = time.monotonic(), self.dice.randrange(len(self.s.processes))
        self.s.processes[i].send_signal(signal.SIGSTOP)
        time.sleep(self.dice.uniform(0.2, 2.0))
        self.s.processes[i].send_signal(signal.SIGCONT)
        self.note(began, i)

    def store_fails(self, way, min_s, max_s):
        """`way`: the attribute of the store (standins.py) that enables the fault."""
        began = time.monotonic()
        setattr(self.s.store, way, True)
        time.sleep(self.dice.uniform(min_s, max_s))
        setattr(self.s.store, way, False)
        self.note(began, None)

    def outage(self):
        self.store_fails("down", 0.5, 3.0)

    def lost_answers(self):
        self.store_fails("lose", 0.2, 1.0)

    def strike(self, seconds, kinds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            time.sleep(self.dice.uniform(0.2, 1.5))
            self.dice.choice(kinds)()

    def in_touch(self, at, i):
        return not any(a <= at <= b and j in (None, i) for a, b, j in self.struck)
