#!/usr/bin/env python3
"""Tests of entry VMs that are killed, paused and restarted."""

import signal
import threading

import support
from support import Balancer, CellTest, call, lookup, wait_until


class EntryTest(CellTest):
    def test_killed_entry_leaves_lookups_to_the_others(self):
        first, second, _ = self.entries
        sent = [lookup(first, "before"), lookup(second, "beside")]
        first.kill()
        sent.append(lookup(second, "after"))
        self.assertEqual(0, lookup(first, "dead").status)
        self.assertEqual(["answered"] * 3, [it.outcome for it in sent])
        executions = self.executions()
        for name in ("before", "beside", "after"):
            self.assertEqual(1, len(executions[name]), name)
        self.assertNotIn("dead", executions)

        self.cell.start_again(first.name)
        self.cell.wait_until_healthy([first])
        self.assertEqual("answered", lookup(first, "again").outcome)

    def test_request_that_waits_in_a_paused_entry_meets_current_profiles(self):
        paused, other, _ = self.entries
        paused.send(signal.SIGSTOP)
        wait_until(paused.is_paused, "the entry VM is paused")
        answers = []
        thread = threading.Thread(
            target=lambda: answers.append(lookup(paused, "waiting")))
        thread.start()
        retired = call(
            "DELETE", f"{other.urls['operators']}/v1/profiles/{support.PROFILE}")
        self.assertEqual(200, retired.status, retired.body)
        # The change can be in force everywhere once the paused entry's lease has
        # expired.
        wait_until(lambda: self.in_force_without(paused.name),
                   "the paused entry VM is no longer listed as serving")
        paused.send(signal.SIGCONT)
        thread.join()
        self.assertNotEqual("answered", answers[0].outcome)
        self.assertNotIn("waiting", self.executions())
        self.cell.wait_until_healthy([paused])

    def in_force_without(self, name):
        """Whether the entry VM is not listed as serving."""
        url = f"{self.entries[1].urls['operators']}/v1/in-force"
        entries = call("GET", url).json()["entries"]
        return all(it["name"] != name or not it.get("serving", False)
                   for it in entries)

    def test_rolling_restart_under_load_loses_and_doubles_nothing(self):
        with Balancer(self.entries, threads=8) as balancer:
            balancer.wait_for_answers(200)
            for entry in self.entries:
                entry.send(signal.SIGTERM)
                self.assertTrue(entry.wait_for_end(support.WAIT_SECONDS))
                balancer.wait_for_answers(50)
                self.cell.start_again(entry.name)
                self.cell.wait_until_healthy([entry])
                balancer.wait_for_answers(50)
        self.assertEqual([], balancer.problems)
        executions = self.executions()
        not_run_once = {it: executions.get(it) for it in balancer.ended
                        if len(executions.get(it, [])) != 1}
        self.assertEqual({}, not_run_once)


if __name__ == "__main__":
    support.main()
