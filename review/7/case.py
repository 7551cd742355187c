"""Cuts off an entry VM from the control VMs for 1.45 s, just before a client hands in a job.
The entry VM sends it again after the cut, and is refused; what it sent first arrives
later, and is accepted."""

import pathlib
import sys
import threading
import time
import uuid

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

from cell2 import (Unusable, configuration, run_case, start_runners,  # noqa: E402
                   wait_for_calls)
from peer_link import PeerLink  # noqa: E402

RUNNERS = 4
TASK_CPU = 2800
TASK_SECONDS = 0.64
# Five times as many tasks as there is room for.
EARLIER_TASKS = 220
CUT_SECONDS = 1.45
ENTRY = 0


def steps(count):
    """Returns a step of quote-lookup with so many tasks."""
    return [{"count": count, "cpu": TASK_CPU, "memory_limit_mb": 100,
             "estimated_ms": int(TASK_SECONDS * 1000)}]


def case(cell, trouble):
    """Returns what broke the rule."""
    begun = set()
    cell.configure(configuration(priority=0, stretch=1.5, target_latency_ms=250,
                                 max_attempts=3))
    runners = start_runners(
        cell, RUNNERS, lambda runner, task, run: begun.add(task.split(".")[0]),
        cpu_of=lambda i: lambda task: TASK_CPU)
    wait_for_calls(runners)
    time.sleep(5)
    status, _ = cell.request("POST", uuid.uuid4().hex[:16],
                             {"specification": str(TASK_SECONDS),
                              "steps": steps(EARLIER_TASKS)}, entry=1)
    if status != 200:
        raise Unusable(f"the earlier job got {status}")
    time.sleep(0.1)
    links = [it.link for it in cell.controls] if trouble else []
    for it in links:
        it.cut(cell.entries[ENTRY].name)
    job = uuid.uuid4().hex[:16]
    answers = []

    def hand_in():
        answers.append(cell.request("POST", job,
                                    {"specification": str(TASK_SECONDS),
                                     "steps": steps(1)}, entry=ENTRY)[0])

    client = threading.Thread(target=hand_in)
    client.start()
    time.sleep(CUT_SECONDS)
    for it in links:
        it.heal()
    client.join()
    time.sleep(4)
    state = cell.request("GET", job)
    cell.record.write("client", job=job, attempts=answers, ran=job in begun,
                      shown=state)
    if all(it in (429, 503) for it in answers) and job in begun:
        return [f"REFUSED: the client's only attempt to hand in {job} got {answers[0]}, "
                f"and its task ran; it is shown as {state[1].get('state')}"]
    return []


run_case(FOLDER, case, PeerLink)
