#!/usr/bin/env python3
"""Tests of placement while workers and the control leader are killed or paused."""

import collections
import json
import signal
import time

import support
from masticwinch.layout import CellSize
from support import CellTest, call, read_lines, wait_until

LEASE_SECONDS = 3.0
RENEW_SECONDS = 0.5
CALL_SECONDS = 0.5
VM_MILLI_PROCESSORS = 32000

Run = collections.namedtuple("Run", "worker attempt start stop reason")


def task_profile(**policy):
    """Returns a profile whose tasks use a quarter of a VM's processors each."""
    tasks = {"kind": "BATCH", "repeatable": True,
             "resources": {"milli_processors": 8000, "memory_mib": 1024}}
    return {"team": "mills", "tasks": {**tasks, **policy}}


class PlacementCell(CellTest):
    """Base class of tests with workers, with helpers that read their tasks files."""

    SIZE = CellSize(controls=1, entries=2, runners=1, workers=3)
    OVERRIDES = {"control": {"worker_leases": {
        "length_ms": int(LEASE_SECONDS * 1000),
        "renew_every_ms": int(RENEW_SECONDS * 1000),
        "call_timeout_ms": int(CALL_SECONDS * 1000)}}}

    def setUp(self):
        super().setUp()
        self.workers = self.cell.of_role("worker")
        self.control = self.cell.of_role("control")[0]
        # Time at which each worker was killed, which also ended its tasks.
        self.killed_at = {}
        # Earliest time at which the lease of a paused worker may have expired.
        self.lease_expired_at = {}
        self.put_profile("sheet", task_profile())
        self.put_profile("render", task_profile(repeatable=False))
        wait_until(lambda: len(self.answering_vms()) == 3, "all workers answer")

    def call_operators(self, method, path, body=None):
        """Calls the operators' interface of an entry VM."""
        url = f"{self.entries[0].urls['operators']}{path}"
        return call(method, url, json.dumps(body).encode() if body else b"")

    def answering_vms(self):
        answer = self.call_operators("GET", "/v1/vms")
        if answer.status != 200:
            return []
        return [it for it in answer.json()["vms"] if it["answers"]]

    def submit(self, profile, tasks, run_ms):
        """Submits a job and returns its id."""
        answer = self.call_operators("POST", "/v1/jobs", {
            "name": "test", "profile": profile, "tasks": tasks,
            "payload": json.dumps({"run_ms": run_ms})})
        self.assertEqual(200, answer.status, answer.body)
        return answer.json()["job"]

    def job_status(self, job):
        """Returns the state of a job, or an empty dictionary if no leader answers."""
        answer = self.call_operators("GET", f"/v1/jobs/{job}")
        return answer.json()["jobs"][0] if answer.status == 200 else {}

    def wait_for_state(self, job, state):
        wait_until(lambda: self.job_status(job).get("state") == state,
                   f"{job} is {state}")

    def wait_for_running(self, job, count):
        wait_until(lambda: self.job_status(job).get("running") == count,
                   f"{count} tasks of {job} run")

    def task_events(self, worker):
        return read_lines(self.folder / "workers" / f"{worker.name}.tasks")

    def runs(self):
        """Returns the runs of each task by task id."""
        runs = collections.defaultdict(list)
        for worker in self.workers:
            open_runs = {}
            for line in self.task_events(worker):
                key = (line["task"], line["attempt"])
                if line["event"] == "start":
                    open_runs[key] = float(line["time"])
                elif line["event"] == "stop":
                    stop = float(line["time"])
                    if line["reason"] == "lease_expired":
                        stop = min(stop, self.lease_expired_at.get(worker.name, stop))
                    runs[key[0]].append(Run(worker.name, key[1],
                                            open_runs.pop(key), stop,
                                            line["reason"]))
            end = self.killed_at.get(worker.name, float("inf"))
            for (task, attempt), start in open_runs.items():
                runs[task].append(Run(worker.name, attempt, start, end, "open"))
        return runs

    def check_runs(self):
        """Checks that no two runs of a task overlap, that no VM exceeded its
        capacity and that no worker refused a start."""
        for task, runs in self.runs().items():
            runs.sort(key=lambda it: it.start)
            for before, after in zip(runs, runs[1:]):
                self.assertLessEqual(before.stop, after.start, (task, runs))
        for worker in self.workers:
            for line in self.task_events(worker):
                self.assertLessEqual(int(line["milli_processors"]),
                                     VM_MILLI_PROCESSORS)
                self.assertNotEqual("refused", line["event"], line)

    def start_counts(self, job):
        """Returns the number of starts of each task of the job."""
        return {task: len(runs) for task, runs in self.runs().items()
                if task.startswith(f"{job}/")}

    def busiest_worker(self, job):
        """Returns the worker that ran most tasks of the job."""
        counts = collections.Counter(
            run.worker for task, runs in self.runs().items()
            for run in runs if task.startswith(f"{job}/"))
        return self.cell.named(counts.most_common(1)[0][0])

    def kill_worker(self, worker):
        self.killed_at[worker.name] = time.time()
        worker.kill()


class PlacementTest(PlacementCell):
    """Faults of workers and of the only control VM."""

    def test_tasks_of_a_killed_worker_run_again_elsewhere(self):
        job = self.submit("sheet", 8, 4000)
        self.wait_for_running(job, 8)
        self.kill_worker(self.busiest_worker(job))
        self.wait_for_state(job, "ended")
        self.assertEqual(8, self.job_status(job)["finished"])
        self.assertIn(2, self.start_counts(job).values())
        self.check_runs()

    def test_tasks_of_a_restarted_worker_run_again(self):
        job = self.submit("sheet", 8, 4000)
        self.wait_for_running(job, 8)
        worker = self.busiest_worker(job)
        self.kill_worker(worker)
        self.cell.start_again(worker.name)
        self.wait_for_state(job, "ended")
        self.assertEqual(8, self.job_status(job)["finished"])
        self.assertEqual(8, len(self.start_counts(job)))
        self.check_runs()

    def test_not_repeatable_tasks_of_a_killed_worker_are_unknown(self):
        job = self.submit("render", 8, 4000)
        self.wait_for_running(job, 8)
        worker = self.busiest_worker(job)
        lost = sum(1 for runs in self.runs().values()
                   if runs[0].worker == worker.name)
        self.kill_worker(worker)
        self.wait_for_state(job, "ended")
        self.assertEqual(lost, self.job_status(job)["unknown"])
        self.assertEqual(8 - lost, self.job_status(job)["finished"])
        self.assertEqual({1}, set(self.start_counts(job).values()))
        self.check_runs()

    def test_a_worker_paused_over_its_lease_keeps_no_task(self):
        job = self.submit("sheet", 8, 6000)
        self.wait_for_running(job, 8)
        worker = self.busiest_worker(job)
        paused = time.time()
        # The lease starts at a reading of the worker's clock that the leader got
        # before the pause: from the last renewal, or from the previous one if
        # the last was still in progress.
        self.lease_expired_at[worker.name] = (
            paused + LEASE_SECONDS - 2 * RENEW_SECONDS - CALL_SECONDS)
        worker.send(signal.SIGSTOP)
        wait_until(lambda: 2 in self.start_counts(job).values(),
                   "a task is started again")
        worker.send(signal.SIGCONT)
        self.wait_for_state(job, "ended")
        self.assertEqual(8, self.job_status(job)["finished"])
        self.check_runs()

    def test_a_killed_leader_finds_its_tasks_again(self):
        sheet = self.submit("sheet", 6, 6000)
        render = self.submit("render", 4, 6000)
        self.wait_for_running(sheet, 6)
        self.wait_for_running(render, 4)
        self.control.kill()
        self.cell.start_again(self.control.name)
        self.wait_for_state(sheet, "ended")
        self.wait_for_state(render, "ended")
        self.assertEqual(6, self.job_status(sheet)["finished"])
        self.assertEqual(4, self.job_status(render)["finished"])
        self.assertEqual({1}, set(self.start_counts(sheet).values()))
        self.assertEqual({1}, set(self.start_counts(render).values()))
        self.check_runs()

    def test_a_leader_paused_over_all_leases_places_anew(self):
        job = self.submit("sheet", 6, 8000)
        self.wait_for_running(job, 6)
        self.control.send(signal.SIGSTOP)
        wait_until(lambda: sum(
            line["event"] == "stop" and line["reason"] == "lease_expired"
            for it in self.workers for line in self.task_events(it)) == 6,
            "workers stop all tasks when their leases expire")
        self.control.send(signal.SIGCONT)
        self.wait_for_state(job, "ended")
        self.assertEqual(6, self.job_status(job)["finished"])
        self.check_runs()

    def test_a_drained_vm_empties_and_bad_jobs_are_refused(self):
        job = self.submit("sheet", 2, 1000)
        self.wait_for_running(job, 2)
        worker = self.busiest_worker(job)
        answer = self.call_operators("PUT", f"/v1/vms/{worker.name}/drain")
        self.assertEqual(200, answer.status, answer.body)
        wait_until(lambda: self.call_operators(
            "GET", f"/v1/vms/{worker.name}").json()["vms"][0]["tasks"] == 0,
            "the drained VM runs no task")
        before = len(self.task_events(worker))
        self.wait_for_state(self.submit("sheet", 4, 100), "ended")
        self.assertEqual(before, len(self.task_events(worker)))
        self.assert_refused({"tasks": 0}, 400, "tasks")
        self.assert_refused({"tasks": 1_000_000}, 400, "tasks")
        self.assert_refused({"profile": "absent"}, 404, "profile")
        self.assert_refused({"team": "absent"}, 404, "team")
        self.assert_refused({"overrides": {"resources": {
            "milli_processors": 33000}}}, 400, "resources")
        self.assert_refused({"overrides": {"resources": {
            "memory_mib": -1}}}, 400, "resources.memory_mib")

    def assert_refused(self, change, status, field):
        """Checks that a job with the change is refused, that the answer names the
        field, and that the job is not stored."""
        before = len(self.call_operators("GET", "/v1/jobs").json()["jobs"])
        answer = self.call_operators("POST", "/v1/jobs", {
            "name": "bad", "profile": "sheet", "tasks": 1, **change})
        self.assertEqual(status, answer.status, answer.body)
        self.assertTrue(answer.json()["field"].endswith(field), answer.body)
        after = len(self.call_operators("GET", "/v1/jobs").json()["jobs"])
        self.assertEqual(before, after)


class LeaderChangeTest(PlacementCell):
    """Faults of the leader after which another control VM takes over."""

    SIZE = CellSize(controls=3, entries=2, runners=1, workers=3)
    # Uses the default lease length, which outlasts the election and the time
    # until workers reach the new leader. A lease of 3 s may expire before that.
    OVERRIDES = {}

    def leader(self):
        """Returns the control VM that leads, or None if there is none."""
        for control in self.cell.of_role("control"):
            if control.is_paused() or control.find() is None:
                continue
            text = call("GET", control.urls["metrics"]).body.decode()
            if "\nmasticwinch_leader 1" in text:
                return control
        return None

    def test_tasks_go_on_when_the_leader_is_killed(self):
        sheet = self.submit("sheet", 6, 8000)
        render = self.submit("render", 4, 8000)
        self.wait_for_running(sheet, 6)
        self.wait_for_running(render, 4)
        killed = self.leader()
        killed.kill()
        wait_until(lambda: self.leader() is not None, "another control VM leads")
        later = self.submit("sheet", 2, 100)
        self.wait_for_state(later, "ended")
        self.wait_for_state(sheet, "ended")
        self.wait_for_state(render, "ended")
        self.assertEqual(6, self.job_status(sheet)["finished"])
        self.assertEqual(4, self.job_status(render)["finished"])
        self.assertEqual({1}, set(self.start_counts(sheet).values()))
        self.assertEqual({1}, set(self.start_counts(render).values()))
        self.check_runs()
        self.cell.start_again(killed.name)
        self.cell.wait_until_healthy([killed])

    def test_a_paused_leader_starts_nothing_when_it_goes_on(self):
        job = self.submit("sheet", 12, 3000)
        self.wait_for_running(job, 12)
        waiting = self.submit("sheet", 8, 500)
        paused = self.leader()
        paused.send(signal.SIGSTOP)
        wait_until(lambda: self.leader() is not None, "another control VM leads")
        self.wait_for_state(waiting, "ended")
        paused.send(signal.SIGCONT)
        self.cell.wait_until_healthy([paused])
        self.wait_for_state(self.submit("sheet", 4, 200), "ended")
        self.wait_for_state(job, "ended")
        self.assertEqual({1}, set(self.start_counts(waiting).values()))
        self.check_runs()


if __name__ == "__main__":
    support.main()
