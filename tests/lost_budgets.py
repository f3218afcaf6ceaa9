#!/usr/bin/env python3
"""lost_budgets.py: a budget serves on after losses of all instances, and is never
overspent.

Usage: lost_budgets.py BUILD_DIR [TEST...]"""
import http.client
import json
import random
import sys
import threading
import time

from fleet import config, play_scenario, run_tests
from notices import EVENTS
from restored import with_targets

INSTANCES = 3
PROMPT = 300              # tokens of one prompt
PER_S = 20                # requests
LASTS_S, LOSSES = 60, 2   # the budget is for so many seconds of this load
FASTER = 3                # the load after the losses, by the one before
SHARE = 0.9               # of the budget is used, at least


class Load:
    """Chats at random instances, at a fixed rate."""

    def __init__(self, s, per_s=PER_S, prompt=lambda dice: PROMPT):
        self.s, self.stopping, self.per_s, self.prompt = s, False, per_s, prompt
        self.refused = {}  # error -> number
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self):
        dice, at = random.Random(1), time.monotonic()
        while not self.stopping:
            at += 1 / self.per_s
            time.sleep(max(0, at - time.monotonic()))
            i = dice.randrange(len(self.s.processes))
            threading.Thread(target=self._chat, args=(i, self.prompt(dice))).start()

    def _chat(self, i, prompt):
        try:
            a = self.s.chat(prompt, i=i)
            if a.status != 200:
                error = json.loads(a.body)["error"]["kind"]
                self.refused[error] = self.refused.get(error, 0) + 1
        except (OSError, http.client.HTTPException):
            pass  # the instance is not running

    def stop(self):
        self.stopping = True
        self.thread.join()


def spent_tokens(s, before):
    n = sum(len(e.arrived) for e in s.engines) - before
    return n * (PROMPT + EVENTS)


def test_a_budget_is_used_up_after_losses_of_all(s):
    """Guards against tokens that nobody can spend: what a home had drawn ahead counted
    as spent for a day when its witness was lost as well."""
    total = PER_S * LASTS_S * (PROMPT + EVENTS)
    with_targets(s)
    before = sum(len(e.arrived) for e in s.engines)
    s.store.put("config", "main", config(3, prepaid=total))
    load = Load(s)
    for _ in range(LOSSES):
        time.sleep(8)
        s.restart_all()
    load.per_s *= FASTER
    time.sleep(LASTS_S / FASTER)
    load.stop()
    spent = spent_tokens(s, before)
    print("   %d of %d tokens spent" % (spent, total), flush=True)
    assert spent <= total, "%d tokens beyond the budget" % (spent - total)
    assert spent >= SHARE * total, "%d tokens are missing" % (total - spent)


def test_a_refusal_names_the_store_only_while_it_is_away(s):
    """Guards against callers who are told to come back after an outage of the store
    when a budget is nearly used up: their wait had ended without a decision."""
    with_targets(s)
    s.store.put("config", "main", config(3, prepaid=100000))
    load = Load(s, per_s=60, prompt=lambda dice: dice.randrange(100, 3000))
    time.sleep(8)
    load.stop()
    print("   refused: %s" % load.refused, flush=True)
    assert sum(load.refused.values()) > 100, "hardly any was refused"
    assert "budget-store" not in load.refused, "the store answered all the time"


def test_a_budget_is_used_up_after_losses_of_all_of_seven(s):
    """The same in the model, of seven instances that are away for two seconds."""
    play_scenario("lost_all.lua")


TESTS = {n: f for n, f in globals().items() if n.startswith("test_")}

if __name__ == "__main__":
    sys.exit(run_tests(TESTS, {n: INSTANCES for n in TESTS}))
