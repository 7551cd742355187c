"""Delivers a heartbeat late, which a cut has held up, to a control VM that has just
become the leader. It states the room that the runner had before it shrank."""

import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

from cell2 import (CONTACT_MS, HEARTBEAT_MS, HeldLink, Runner, Unusable,  # noqa: E402
                   configuration, run_case, start_runners, wait_for_calls)

OTHER_RUNNERS = 16
CUT_SECONDS = 5
STOP_AFTER_SECONDS = 4.5
SHRUNK_CPU = 17600
TASK_CPU = 4000


def case(cell, trouble):
    """Returns what broke the rule."""
    broken = []
    shrunk_at = {}

    def started(runner, task, run):
        since = time.monotonic() - shrunk_at.get(runner.base, float("inf"))
        if since * 1000 > CONTACT_MS + HEARTBEAT_MS and runner.used() > runner.cpu:
            broken.append(f"LIMIT: {task} run {run} begins on {runner.name}, which has "
                          f"{runner.cpu} and now runs {runner.used()}, {since:.2f} s "
                          "after its room shrank")

    cell.configure(configuration())
    runners = start_runners(cell, OTHER_RUNNERS, started,
                            cpu_of=lambda i: lambda task: TASK_CPU)
    wait_for_calls(runners)
    time.sleep(4)
    leader = cell.leader()
    if leader is None:
        raise Unusable("there is no leader")
    # Each of four more runners is cut off from another one of the other control VMs,
    # which it calls first.
    began = time.monotonic()
    links = []
    for i, control in enumerate(it for it in cell.controls if it is not leader):
        first = control.name
        if trouble:
            links.append(HeldLink(cell.runner_address(40 + i), control.name,
                                  cell.record))
            first = links[-1].address
        others = [it.name for it in cell.controls if it is not control]
        runners.append(Runner(cell.record, f"new-{i}", cell.runner_address(20 + i),
                              [first] + others, cpu_of=lambda task: TASK_CPU,
                              on_start=started))
    time.sleep(0.3)
    for it in runners[OTHER_RUNNERS:]:
        it.cpu = SHRUNK_CPU
        shrunk_at[it.base] = time.monotonic()
        cell.record.write("shrinks", runner=it.name, cpu=it.cpu)
    wait_for_calls(runners)
    time.sleep(began + 3 - time.monotonic())
    cell.submit([{"count": 200, "cpu": TASK_CPU, "memory_limit_mb": 100,
                  "estimated_ms": 8000}], "8")
    time.sleep(began + STOP_AFTER_SECONDS - time.monotonic())
    if trouble:
        leader.expected_to_run = False
        leader.send(signal.SIGTERM)
        cell.record.write("sigterm", control=leader.name)
    time.sleep(began + CUT_SECONDS - time.monotonic())
    for it in links:
        it.release()
    time.sleep(4)
    return broken


run_case(FOLDER, case)
