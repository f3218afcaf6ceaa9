#!/usr/bin/env python3
"""lag.py: measures the delay until the instances of a large fleet apply
configurations and notice leaving targets, while others are restarted in series and
the store behaves as a healthy one may: listings are some seconds old, and waiting
watches are closed.

Usage: lag.py BUILD_DIR [--instances N] [--seed N] [--mode MODE] [--rounds N]
[--routes N] [--cut SHARE] [--bound SECONDS]

Fails if an instance that is in touch exceeds the bound, unless KNOWN-RED.txt lists
lag-MODE. Modes: none; kill: all instances are killed, at once or in turn; half:
half of them are killed; pause: a third are paused for a second; readers: those that
read the store for all are killed, six times in a row; cut: one of these is cut off
from the store, and others are restarted in series."""
import argparse
import bisect
import random
import signal
import sys
import threading
import time

from fleet import Site, config, route, wait_for
from proxy import Proxy
from red import known_red
from standins import Worker

IN_TOUCH_S = 4.0  # after a start or a pause
CHANGE_S = 0.4    # between two configurations
LEAVES = 4        # configurations per target that joins and leaves
OLD_S = 3.0       # age of listings
LAPSE_S = 1.5     # how long entries missing after an outage are still used
REST_S = (7.0, 9.0)  # min and max pause after the faults of a round


class Rig:
    def __init__(self, o):
        self.o, self.dice = o, random.Random(o.seed)
        # Some hundred kilobytes, as operators with many routes have.
        self.routes = [route("r-%05d" % k, "/idle-%05d/" % k, "desk", "safe")
                       for k in range(o.routes)]
        self.site = Site(instances=o.instances, desks=3, engines=6,
                         store_proxy=Proxy if o.mode == "cut" else None,
                         routes=self.routes)
        self.puts, self.leaves = [], []  # (time, version or name)
        self.lives = [[time.time()] for _ in range(o.instances)]
        self.calm = [0.0] * o.instances  # in touch since
        self.left_out, self.stop = set(), False
        self.spare = []

    def operator(self):
        version, k = 1, 0
        while not self.stop:
            version += self.dice.randint(1, 3)
            self.site.store.put("config", "main",
                                config(version, routes=self.routes))
            self.puts.append((time.time(), version))
            k += 1
            if k % LEAVES == 0:
                self.move_targets(k)
            time.sleep(CHANGE_S)

    def move_targets(self, k):
        store = self.site.store
        self.spare.append(Worker(("127.0.0.1", 0), store, "x%d" % k, "engine"))
        if len(self.spare) <= 3:
            return
        w = self.spare.pop(0)
        if self.dice.random() < 0.5:
            w.drain()
        else:
            store.remove("servers", w.name)
        self.leaves.append((time.time(), w.name))
        w.close()

    # == faults ==

    def restart(self, ids, gap):
        for i in ids:
            self.site.processes[i].send_signal(signal.SIGKILL)
        for i in ids:
            self.site.processes[i].wait()
        time.sleep(0.05)
        for i in ids:
            self.site.start(i)
            self.lives[i].append(time.time())
            time.sleep(gap)

    def readers(self):
        """The instances that read the store for all, according to their logs."""
        def duty(i):
            return [l["duty"] for l in self.site.log(i) if l["event"] == "reads"]

        return [i for i in range(self.o.instances) if duty(i)[-1:] == ["all"]]

    def kill(self, k):
        self.restart(range(self.o.instances), 0.0 if k % 2 else 0.02)

    def half(self, _):
        self.restart(self.dice.sample(range(self.o.instances),
                                      self.o.instances // 2), 0.03)

    def pause(self, _):
        ids = self.dice.sample(range(self.o.instances), self.o.instances // 3)
        for i in ids:
            self.site.processes[i].send_signal(signal.SIGSTOP)
        time.sleep(1.0)
        for i in ids:
            self.site.processes[i].send_signal(signal.SIGCONT)
            self.lives[i].append(time.time())

    def lose_readers(self, _):
        for _ in range(6):
            self.restart(self.readers(), 0.0)
            time.sleep(1.5)

    def cut_reader(self, _):
        cut_off = self.readers()[0]
        self.left_out.add(cut_off)
        self.site.proxies[cut_off].hold = {"up", "down"}
        others = [i for i in range(self.o.instances) if i != cut_off]
        for _ in range(10):
            self.restart(self.dice.sample(others, 4), 0.0)
            time.sleep(0.8)
        time.sleep(IN_TOUCH_S + self.o.bound + 1)  # the last starts are checked
        self.site.proxies[cut_off].heal()

    def play(self):
        faults = {"none": lambda k: None, "kill": self.kill, "half": self.half,
                  "pause": self.pause, "readers": self.lose_readers,
                  "cut": self.cut_reader}
        for i in range(self.o.instances):
            wait_for("instance %d" % i, lambda: self.site.ready(i), 30)
        store = self.site.store
        store.old_s, store.cut, store.slowest = OLD_S, self.o.cut, 0.0
        time.sleep(OLD_S)
        thread = threading.Thread(target=self.operator, daemon=True)
        thread.start()
        for k in range(self.o.rounds):
            faults[self.o.mode](k)
            time.sleep(self.dice.uniform(*REST_S))
        self.stop = True
        thread.join()
        self.end = time.time()
        time.sleep(0.3)

    # == verdict ==

    def life_of(self, i, t):
        """Start and end of the run of instance i that includes t, if the instance
        was in touch at t and ran long enough to be checked; else None."""
        k = bisect.bisect_right(self.lives[i], t) - 1
        next_start = self.lives[i][k + 1:k + 2]
        end = next_start[0] if next_start else self.end
        if k < 0 or t - self.lives[i][k] < IN_TOUCH_S or end - t < self.o.bound:
            return None
        return self.lives[i][k], end

    def lags(self, events, noticed_at):
        """Sorted (seconds, instance, what, whether it was noticed) for each event
        and instance."""
        out = []
        for i in range(self.o.instances):
            if i in self.left_out:
                continue
            lines = self.site.log(i)
            for t, what in events:
                life = self.life_of(i, t)
                if not life:
                    continue
                at = [noticed_at(l, what) for l in lines
                      if l["t"] >= life[0] and noticed_at(l, what)]
                out.append(((min(at) if at else life[1]) - t, i, what, bool(at)))
        return sorted(out)

    def judge(self):
        def version(l, v):
            return l["event"] == "configuration" and l["version"] >= v and l["t"]

        def leaving(l, name):
            if l.get("target") != name:
                return None
            if l["event"] == "target-gone":
                return l["t"] + LAPSE_S * l["lapsed"]
            return l["event"] == "target" and l["leaving"] and l["t"]

        late_count = 0
        for name, lags in (("configurations", self.lags(self.puts, version)),
                           ("leaving targets", self.lags(self.leaves, leaving))):
            over_bound = [x for x in lags if x[0] > self.o.bound]
            late_count += len(over_bound)
            seconds = [x[0] for x in lags] or [0]
            print("%s: %d taken, median %.2f s, latest %.2f s, %d later than %g s"
                  % (name, len(lags), seconds[len(seconds) // 2], seconds[-1],
                     len(over_bound), self.o.bound))
            for lag, i, what, noticed in over_bound[-3:]:
                print("  %.2f s: %s at n%d%s" % (
                    lag, what, i, "" if noticed else ", unknown at the end"))
        events = {}
        for i in range(self.o.instances):
            for l in self.site.log(i):
                if l["event"] in ("feed-held", "feed-caught-up", "store-lost"):
                    events[l["event"]] = events.get(l["event"], 0) + 1
        print("lines: %s; calls %d, slowest %.2f s; logs in %s" % (
            events, self.site.store.calls, self.site.store.slowest,
            self.site.dir))
        return late_count

    def close(self):
        for w in self.spare:
            w.close()
        self.site.close()


def main():
    p = argparse.ArgumentParser()
    p.add_argument("build")
    p.add_argument("--instances", type=int, default=60)
    p.add_argument("--seed", type=int, default=1)
    p.add_argument("--mode", default="half")
    p.add_argument("--rounds", type=int, default=4)
    p.add_argument("--routes", type=int, default=0)
    p.add_argument("--cut", type=float, default=0.0)
    p.add_argument("--bound", type=float, default=3.0)
    o = p.parse_args()
    name, rig = "lag-%s" % o.mode, Rig(o)
    try:
        rig.play()
        late_count = rig.judge()
        if late_count and name in known_red():
            print("known red: %s" % name)
            return 0
        return 1 if late_count else 0
    finally:
        rig.close()


if __name__ == "__main__":
    sys.exit(main())
