#!/usr/bin/env python3
"""Tests of upstreams that leave, are killed and restart."""

import signal
import uuid

import support
from support import Balancer, CellTest, CellSize, call, lookup, wait_until

# Time within which every entry VM must know that an upstream is leaving.
LEAVE_SECONDS = 3


class RunnerTest(CellTest):
    def test_leaving_runner_gets_no_new_work(self):
        leaving, staying = self.runners
        with Balancer(self.entries, threads=6) as balancer:
            balancer.wait_for_answers(100)
            answer = call("POST", f"{leaving.urls['operators']}/stand-in/leave")
            self.assertEqual(202, answer.status)
            wait_until(lambda: self.left_at(leaving) is not None,
                       "the runner has left")
            balancer.wait_for_answers(400)
            wait_until(lambda: self.last_execution(staying) >
                       self.left_at(leaving) + 2 * LEAVE_SECONDS,
                       f"the other runner executes lookups {2 * LEAVE_SECONDS} s "
                       "after the leave")
        self.assertEqual([], balancer.problems)
        self.assertLess(self.last_execution(leaving),
                        self.left_at(leaving) + LEAVE_SECONDS)

    def left_at(self, runner):
        """Returns the time at which the leave was answered, or None."""
        file = self.folder / "events" / f"{runner.name}.events"
        for line in file.read_text().splitlines():
            if " event=left " in line:
                timestamp = line.split(" hlc=")[1].split()[0]
                return int(timestamp.split(".")[0]) / 1000
        return None

    def last_execution(self, runner):
        """Returns the time of the runner's last execution, or 0 if there is none."""
        file = self.folder / "runners" / f"{runner.name}.executions"
        lines = support.read_lines(file)
        return float(lines[-1]["time"]) if lines else 0

    def test_planned_stop_of_a_runner_under_load_loses_nothing(self):
        stopped, staying = self.runners
        with Balancer(self.entries, 6, {"Stand-In-Behavior": "delay=50"}) as balancer:
            balancer.wait_for_answers(50)
            stopped.send(signal.SIGTERM)
            self.assertTrue(stopped.wait_for_end(support.WAIT_SECONDS))
            balancer.wait_for_answers(50)
        self.assertEqual([], balancer.problems)
        executions = self.executions()
        self.assertEqual({}, {it: executions.get(it) for it in balancer.ended
                              if len(executions.get(it, [])) != 1})

    def test_killed_runner_serves_again_after_its_restart(self):
        killed, other = self.runners
        killed.kill()
        other.kill()
        before = len(self.executions())
        self.cell.start_again(killed.name)
        self.cell.wait_until_healthy([killed])
        request_ids = [uuid.uuid4().hex for _ in range(20)]

        def all_executed():
            """Sends the lookups that have not run. Returns whether all had run."""
            missing = [it for it in request_ids if it not in self.executions()]
            for it in missing:
                lookup(self.entries[0], it)
            return not missing

        wait_until(all_executed, "the restarted runner has executed all lookups")
        executions = self.executions()
        self.assertEqual(before + len(request_ids), len(executions))
        for it in request_ids:
            self.assertEqual([killed.name], executions[it])

    def test_runner_is_never_given_more_than_its_slots(self):
        with Balancer(self.entries, 40, {"Stand-In-Behavior": "delay=20"}) as balancer:
            balancer.wait_for_answers(400)
            # The new incarnation of an entry VM takes over the slots of the old one.
            entry = self.entries[0]
            entry.send(signal.SIGTERM)
            self.assertTrue(entry.wait_for_end(support.WAIT_SECONDS))
            self.cell.start_again(entry.name)
            self.cell.wait_until_healthy([entry])
            balancer.wait_for_answers(400)
        self.assertEqual([], balancer.problems)
        self.check_limits()

    def test_slots_hold_while_an_entry_is_paused_and_wakes(self):
        paused = self.entries[0]
        with Balancer(self.entries, 40, {"Stand-In-Behavior": "delay=20"},
                      timeout=2) as balancer:
            balancer.wait_for_answers(200)
            paused.send(signal.SIGSTOP)
            url = f"{self.entries[1].urls['operators']}/v1/entries/{paused.name}"
            wait_until(lambda: call("GET", url).status == 404,
                       "the paused entry VM is removed from the configuration")
            balancer.wait_for_answers(200)
            paused.send(signal.SIGCONT)
            self.cell.wait_until_healthy([paused])
            balancer.wait_for_answers(200)
        self.check_limits()
        executions = self.executions()
        not_run_once = {it: ran for it, ran in executions.items() if len(ran) != 1}
        self.assertEqual({}, not_run_once)
        # Callers of the paused entry VM may time out or get the outcome unknown.
        self.assertEqual([], [it for it in balancer.problems
                              if f"at {paused.name}: " not in it])

    def check_limits(self):
        """Checks that no runner had more requests or connections than announced."""
        for runner in self.runners:
            stats = self.stats(runner)
            self.assertLessEqual(stats["most_executing"], 8, runner.name)
            self.assertLessEqual(stats["most_connections"], 64, runner.name)


class SilentOwnerTest(CellTest):
    SIZE = CellSize(controls=3, entries=3, runners=1, workers=0)
    # The paused owner stays a member for the whole test, so that another entry VM
    # can take over only if the owner yields.
    OVERRIDES = {"control": {"leases": {"entry_lapse_ms": 600_000}}}

    def test_pausing_the_owner_of_all_runners_does_not_stop_requests(self):
        with Balancer(self.entries, 40, {"Stand-In-Behavior": "delay=20"},
                      timeout=2) as balancer:
            balancer.wait_for_answers(200)
            paused = self.owner()
            paused.send(signal.SIGSTOP)
            wait_until(lambda: paused not in balancer.healthy,
                       "the paused entry VM fails its health check")
            # More than the requests that ran or waited at the time of the pause.
            balancer.wait_for_answers(400)
            others = [it for it in self.entries if it != paused]
            wait_until(lambda: sum(map(self.count_owned, others)) == 1,
                       "another entry VM owns the runner")
            paused.send(signal.SIGCONT)
            self.cell.wait_until_healthy([paused])
            balancer.wait_for_answers(200)
        self.assertLessEqual(self.stats(self.runners[0])["most_executing"], 8)
        executions = self.executions()
        self.assertEqual({}, {it: ran for it, ran in executions.items()
                              if len(ran) != 1})
        # Callers of the paused entry VM may time out or get the outcome unknown.
        problems = [it for it in balancer.problems
                    if f"at {paused.name}: " not in it]
        self.assertEqual([], [it for it in problems if "status None" not in it])
        self.assertEqual([], problems)

    def owner(self):
        """Returns the entry VM that grants the slots of the only runner."""
        owners = [it for it in self.entries if self.count_owned(it) == 1]
        self.assertEqual(1, len(owners))
        return owners[0]

    @staticmethod
    def count_owned(entry):
        """Returns the number of upstreams that an entry VM owns, from its metrics."""
        text = call("GET", f"{entry.urls['operators']}/metrics").body.decode()
        return sum(float(line.split()[-1]) for line in text.splitlines()
                   if line.startswith("masticwinch_upstreams_owned "))


class FaultyRunnerTest(CellTest):
    def test_truncated_answer_is_unknown_and_runs_once(self):
        answer = lookup(self.entries[0], "cut", {"Stand-In-Behavior": "truncate"})
        self.assertEqual("unknown", answer.outcome)
        self.assertEqual(1, len(self.executions()["cut"]))


if __name__ == "__main__":
    support.main()
