"""Loses a runner for good just before start orders for it. The jobs, which have not
begun, are then left out of the number of waiting ones."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

from cell2 import (VISIBLE_MS, Runner, configuration, run_case,  # noqa: E402
                   start_runners, wait_for_calls, wait_until)

RUNNERS = 15
JOBS = 8
STEP = {"count": 1, "cpu": 5000, "memory_limit_mb": 100, "estimated_ms": 12000,
        "requirements": "b"}


def case(cell, trouble):
    """Returns what broke the rule."""
    broken = []
    begun = {}

    def started(runner, task, run):
        begun.setdefault(task.split(".")[0], time.monotonic())

    cell.configure(configuration())
    runners = start_runners(cell, RUNNERS, started,
                            labels=lambda i: ("b" if i == 0 else "a", "r1"),
                            cpu_of=lambda i: lambda task: STEP["cpu"])
    wait_for_calls(runners)
    time.sleep(4)
    if trouble:
        runners[0].lose_power()
    # Six fit on the runner with the label.
    jobs = [cell.submit([STEP], "12") for _ in range(JOBS)]
    end = time.monotonic() + 10
    while time.monotonic() < end:
        for entry in (0, 1):
            sent = time.monotonic()
            status, body = cell.request("GET", "", entry=entry, record=False)
            due = [job for job, at in jobs
                   if sent - at > VISIBLE_MS / 1000 + 2 and job not in begun]
            waiting = (body or {}).get("waiting")
            cell.record.write("client", method="GET", entry=entry, answered=status,
                              waiting=waiting, due=len(due))
            if status == 200 and waiting * 2 < len(due):
                broken.append(f"MIXED: entry {entry} gives {waiting} as waiting; "
                              f"{len(due)} jobs were accepted over "
                              f"{VISIBLE_MS / 1000 + 2} s before and have not begun")
        time.sleep(0.25)
    if trouble:
        # Another runner with the label shows that the jobs were waiting.
        Runner(cell.record, "new", cell.runner_address(30), cell.control_addresses,
               labels=("b", "r1"), cpu_of=lambda task: STEP["cpu"], on_start=started)
        wait_until(lambda: len(begun) >= 6, "the jobs begin", 20)
    return broken


run_case(FOLDER, case)
