#!/usr/bin/env python3
"""Control VMs that die and restart."""

import support
from support import Balancer, CellTest, call, lookup, wait_until


class ControlTest(CellTest):
    def test_accepted_profiles_survive_a_kill_of_control(self):
        control = self.cell.of_role("control")[0]
        for number in range(5):
            self.put_profile(f"profile-{number}", support.LOOKUP_PROFILE)
        control.kill()
        self.cell.start_again(control.name)
        self.cell.wait_until_healthy([control])
        url = f"{self.entries[1].urls['operators']}/v1/profiles"
        for number in range(5):
            wait_until(lambda: call("GET", f"{url}/profile-{number}").status == 200,
                       f"profile-{number} is known")
        self.cell.wait_until_healthy(self.entries)
        wait_until(lambda: lookup(self.entries[2]).outcome == "answered",
                   "lookups are answered again")

    def test_entries_without_control_stop_serving_and_recover(self):
        control = self.cell.of_role("control")[0]
        control.kill()
        for entry in self.entries:
            wait_until(lambda entry=entry: not entry.is_healthy(),
                       f"{entry.name} fails its health check")
            refused = lookup(entry, f"cut-off-{entry.name}")
            self.assertEqual("not_run", refused.outcome)
            self.assertIn("retry-after", refused.headers)
        self.assertEqual([], [it for it in self.executions()
                              if it.startswith("cut-off")])
        self.cell.start_again(control.name)
        self.cell.wait_until_healthy(self.entries)
        self.assertEqual("answered", lookup(self.entries[0]).outcome)

    def test_short_restart_of_control_is_not_seen_by_callers(self):
        control = self.cell.of_role("control")[0]
        with Balancer(self.entries, threads=4) as balancer:
            balancer.wait_for_answers(100)
            control.kill()
            self.cell.start_again(control.name)
            self.cell.wait_until_healthy([control])
            balancer.wait_for_answers(100)
        self.assertEqual([], balancer.problems)
        executions = self.executions()
        self.assertEqual({}, {it: executions.get(it) for it in balancer.ended
                              if len(executions.get(it, [])) != 1})


if __name__ == "__main__":
    support.main()
