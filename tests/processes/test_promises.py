#!/usr/bin/env python3
"""Checks the guarantees to callers under a seeded sequence of faults while billed
lookups are sent. The faults are kills, pauses and planned restarts of controls,
entries and runners, singly or two at once."""

import collections
import random
import signal
import threading
import uuid

import support
from support import CellTest, lookup, wait_until

from masticwinch.layout import CellSize

SEED = 20261203
FAULTS = 14
SENDERS = 8
# Number of lookups that must end between two faults.
LOOKUPS_BETWEEN = 40
# Maximum number of unsettled lookups per sender.
MAX_PENDING_LOOKUPS = 4
# Maximum number of sends of a lookup before its sender gives up.
MAX_SENDS = 60
BILLED_PROFILE = {"requests": {"work_class": "URGENT", "deadline_ms": 4000,
                               "repeatable": False}}
FINAL = ("answered", "unknown")


class Lookup:
    """A billed lookup and the outcomes of all its sends."""

    def __init__(self):
        self.id = uuid.uuid4().hex
        self.outcomes = []
        self.wrong_bodies = []

    def send(self, entry):
        """Sends the lookup once with its idempotency key. Returns whether it was
        answered."""
        answer = lookup(entry, self.id, {"Idempotency-Key": self.id,
                                         "Masticwinch-Caller": "trader"},
                        timeout=10)
        outcome = answer.outcome or "no answer"
        self.outcomes.append(outcome)
        if outcome == "answered" and answer.status == 200 \
                and self.id.encode() not in answer.body:
            self.wrong_bodies.append(answer.body)
        return outcome == "answered"


class PromisesTest(CellTest):
    SIZE = CellSize(controls=3, entries=4, runners=4, workers=0)
    OVERRIDES = {"runner": {"behavior": "delay=5"}}

    def test_billed_lookups_run_at_most_once_under_mixed_faults(self):
        self.put_profile(support.PROFILE, BILLED_PROFILE)
        self.ended = []
        self.stopping = threading.Event()
        senders = [threading.Thread(target=self.send_lookups, args=(i,))
                   for i in range(SENDERS)]
        for it in senders:
            it.start()
        try:
            self.inject_faults()
        finally:
            self.stopping.set()
            for it in senders:
                it.join()
        self.check()

    def send_lookups(self, number):
        """Sends lookups to randomly chosen entry VMs until the test stops. A
        lookup without an answer is sent again, alternating with other lookups:
        a lookup that a paused entry VM holds stays unknown until that
        entry VM resumes."""
        rng = random.Random(SEED + number)
        pending = collections.deque()
        while pending or not self.stopping.is_set():
            if len(pending) < MAX_PENDING_LOOKUPS and not self.stopping.is_set():
                pending.appendleft(Lookup())
            request = pending.popleft()
            if request.send(rng.choice(self.entries)) \
                    or len(request.outcomes) >= MAX_SENDS:
                self.ended.append(request)
                continue
            pending.append(request)
            self.stopping.wait(0.05)

    def inject_faults(self):
        """Injects faults, singly and in pairs, and repairs each."""
        rng = random.Random(SEED)
        processes = self.cell.of_role("control", "entry", "runner")
        for _ in range(FAULTS):
            targets = rng.sample(processes, rng.choice((1, 1, 2)))
            faults = [(it, rng.choice((self.kill, self.pause, self.restart)))
                      for it in targets]
            repairs = [fault(it) for it, fault in faults]
            try:
                self.wait_for_lookups(LOOKUPS_BETWEEN // 4)
            finally:
                for repair in repairs:
                    repair()
            self.cell.wait_until_healthy(targets)
            self.wait_for_lookups(LOOKUPS_BETWEEN)

    def wait_for_lookups(self, count):
        """Waits until `count` more lookups have ended."""
        target = len(self.ended) + count
        wait_until(lambda: len(self.ended) >= target, f"{target} lookups have ended")

    def kill(self, process):
        process.kill()
        return lambda: self.cell.start_again(process.name)

    def pause(self, process):
        process.send(signal.SIGSTOP)
        return lambda: process.send(signal.SIGCONT)

    def restart(self, process):
        process.send(signal.SIGTERM)
        self.assertTrue(process.wait_for_end(support.WAIT_SECONDS),
                        f"{process.name} did not stop on SIGTERM")
        return lambda: self.cell.start_again(process.name)

    def check(self):
        executions = self.executions()
        for request in self.ended:
            count = len(executions.get(request.id, []))
            history = f"{request.id} ran {count} times: {request.outcomes}"
            self.assertEqual([], request.wrong_bodies, history)
            self.assertLessEqual(count, 1, history)
            if request.outcomes[-1] == "answered":
                self.assertEqual(1, count, history)
            if set(request.outcomes) == {"not_run"}:
                self.assertEqual(0, count, history)
        answered = sum(it.outcomes[-1] == "answered" for it in self.ended)
        self.assertGreater(answered, FAULTS * LOOKUPS_BETWEEN // 2)
        for runner in self.runners:
            stats = self.stats(runner)
            self.assertLessEqual(stats["most_executing"], 8, runner.name)
            self.assertLessEqual(stats["most_connections"], 64, runner.name)
        print(f"lookups={len(self.ended)} answered={answered} "
              f"executed={len(executions)}")


if __name__ == "__main__":
    support.main()
