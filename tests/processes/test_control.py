#!/usr/bin/env python3
"""Tests of control VMs that are killed, paused and restarted."""

import signal

import support
from support import Balancer, CellTest, call, lookup, wait_until


class ControlTest(CellTest):
    def setUp(self):
        super().setUp()
        self.controls = self.cell.of_role("control")

    def restart_controls(self, controls):
        """Restarts control VMs and waits until they and the entry VMs are healthy."""
        for control in controls:
            self.cell.start_again(control.name)
        self.cell.wait_until_healthy(controls)
        self.cell.wait_until_healthy(self.entries)

    def check_ran_once(self, balancer):
        """Checks that every lookup was answered and ran exactly once."""
        self.assertEqual([], balancer.problems)
        executions = self.executions()
        self.assertEqual({}, {it: executions.get(it) for it in balancer.ended
                              if len(executions.get(it, [])) != 1})

    def test_accepted_profiles_survive_the_death_of_all_controls(self):
        for number in range(5):
            self.put_profile(f"profile-{number}", support.LOOKUP_PROFILE)
        for control in self.controls:
            control.kill()
        self.restart_controls(self.controls)
        url = f"{self.entries[1].urls['operators']}/v1/profiles"
        for number in range(5):
            wait_until(lambda: call("GET", f"{url}/profile-{number}").status == 200,
                       f"profile-{number} is stored")
        wait_until(lambda: lookup(self.entries[2]).outcome == "answered",
                   "lookups are answered again")

    def test_entries_without_control_stop_serving_and_recover(self):
        for control in self.controls:
            control.kill()
        for entry in self.entries:
            wait_until(lambda entry=entry: not entry.is_healthy(),
                       f"{entry.name} fails its health check")
            refused = lookup(entry, f"cut-off-{entry.name}")
            self.assertEqual("not_run", refused.outcome)
            self.assertIn("retry-after", refused.headers)
        self.assertEqual([], [it for it in self.executions()
                              if it.startswith("cut-off")])
        self.restart_controls(self.controls)
        wait_until(lambda: lookup(self.entries[0]).outcome == "answered",
                   "lookups are answered again")

    def test_killing_each_control_in_turn_loses_no_lookup(self):
        with Balancer(self.entries, threads=4) as balancer:
            for control in self.controls:
                balancer.wait_for_answers(50)
                control.kill()
                balancer.wait_for_answers(50)
                self.restart_controls([control])
            balancer.wait_for_answers(50)
        self.check_ran_once(balancer)

    def test_planned_restart_of_each_control_loses_no_lookup(self):
        with Balancer(self.entries, threads=4) as balancer:
            for control in self.controls:
                balancer.wait_for_answers(50)
                control.send(signal.SIGTERM)
                self.assertTrue(control.wait_for_end(support.WAIT_SECONDS))
                self.restart_controls([control])
            balancer.wait_for_answers(50)
        self.check_ran_once(balancer)

    def test_without_a_quorum_nothing_is_accepted_or_served(self):
        self.put_profile("extra", support.LOOKUP_PROFILE)
        for control in self.controls[1:]:
            control.send(signal.SIGSTOP)
        for entry in self.entries:
            wait_until(lambda entry=entry: not entry.is_healthy(),
                       f"{entry.name} fails its health check")
        url = f"{self.entries[0].urls['operators']}/v1/profiles/extra"
        retired = call("DELETE", url)
        self.assertNotEqual(200, retired.status)
        self.assertEqual("not_run", lookup(self.entries[0], "cut-off").outcome)
        for control in self.controls[1:]:
            control.send(signal.SIGCONT)
        self.cell.wait_until_healthy(self.controls)
        self.cell.wait_until_healthy(self.entries)
        self.assertNotIn("cut-off", self.executions())
        self.put_profile("after", support.LOOKUP_PROFILE)


if __name__ == "__main__":
    support.main()
