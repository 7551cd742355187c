"""Freezes the leader once, after it has started as many small tasks on each runner as
the runner takes connections. The next leader reaches no runner with a start order."""

import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

from cell2 import (Unusable, configuration, run_case, start_runners,  # noqa: E402
                   wait_for_calls, wait_until)

RUNNERS = 4
MAX_CONNECTIONS = 64
TASK_CPU = 500
START_SECONDS = 0.05
FREEZE_SECONDS = 4
WATCH_SECONDS = 20


def job_of(cell, tasks):
    """Hands in a job of so many tasks of half a core and 2 s; returns its id."""
    return cell.submit([{"count": tasks, "cpu": TASK_CPU, "memory_limit_mb": 100,
                         "estimated_ms": 2000}], "2")[0]


def is_completed(cell, job):
    """Returns whether a job is shown as completed."""
    return cell.request("GET", job, record=False)[1] == {"state": "completed"}


def case(cell, trouble):
    """Returns what broke the rule."""
    begun = set()
    cell.configure(configuration())
    runners = start_runners(
        cell, RUNNERS, lambda runner, task, run: begun.add(task.split(".")[0]),
        cpu_of=lambda i: lambda task: TASK_CPU,
        max_connections=lambda i: MAX_CONNECTIONS,
        start_seconds=lambda i: START_SECONDS)
    wait_for_calls(runners)
    time.sleep(4)
    # Each runner of 32 cores has room for 64 tasks of half a core.
    jobs = [job_of(cell, 52) for _ in range(5)]
    wait_until(lambda: all(is_completed(cell, it) for it in jobs),
               "the first jobs are completed", 40, 0.25)
    cell.record.write("connections", of=[len(it.server.open) for it in runners])
    leader = cell.leader()
    if leader is None:
        raise Unusable("there is no leader")
    if trouble:
        leader.send(signal.SIGSTOP)
        cell.record.write("freeze", control=leader.name)
        time.sleep(FREEZE_SECONDS)
        leader.send(signal.SIGCONT)
        cell.record.write("thaw", control=leader.name)
    time.sleep(3)
    later = [job_of(cell, 4) for _ in range(4)]
    end = time.monotonic() + WATCH_SECONDS
    while time.monotonic() < end and not all(is_completed(cell, it) for it in later):
        time.sleep(0.5)
    cell.record.write("connections", of=[len(it.server.open) for it in runners],
                      refused=[it.server.refused for it in runners])
    waiting = [it for it in later if it not in begun]
    shown = [cell.request("GET", it)[1] for it in waiting]
    if waiting:
        return [f"LOST: {len(waiting)} of {len(later)} jobs of four tasks have nothing "
                f"running {WATCH_SECONDS} s after they were accepted, on {RUNNERS} idle "
                f"runners; they are shown as {shown}"]
    return []


run_case(FOLDER, case)
