"""Beside the case, not part of it: a runner leaves as soon as its tasks are done. The answer
that lists their ends is 60 ms on its way, and the deregistration overtakes it. No call is
lost and nothing is cut off. Exits with 1 if a task was started again after its end was
listed, with 0 if none was; with TROUBLE=0 the runner deregisters half a second later."""

import importlib.util
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import harness  # noqa: E402
from harness import CONFIGURATION, POOL, TROUBLE, wait_for  # noqa: E402
from platform_cell import new_job_id, step  # noqa: E402
from masticwinch.ports import free_ports  # noqa: E402

SPECIFICATION = importlib.util.spec_from_file_location("case", HERE / "run.py")
CASE = importlib.util.module_from_spec(SPECIFICATION)
SPECIFICATION.loader.exec_module(CASE)

ANSWER_DELAY_SECONDS = 0.06
WORK_SECONDS = 5


class LeavingWhenDone(CASE.LeavingRunner):
    """A draining runner whose lists of ended runs take a while on their way."""

    # Tasks whose ends as done it has listed.
    listed_tasks = frozenset()

    def answer(self, path, body, headers):
        status, reply = super().answer(path, body, headers)
        if path == "/-/hold" and self.draining and reply.get("ended"):
            self.listed_tasks = frozenset(it[1] for it in reply["ended"])
            self.record.write(f"{self.name} lists {len(self.listed_tasks)} ends")
            time.sleep(ANSWER_DELAY_SECONDS)
        return status, reply


def play(cell, record):
    book = CASE.RunBook(record)
    ports = free_ports(CASE.RUNNERS)
    runners = [LeavingWhenDone(record, f"i-{i}", f"{cell.network}.{10 + i}:{ports[i]}",
                               POOL, cell.seeds, book) for i in range(CASE.RUNNERS)]
    cell.closing += runners
    wait_for(lambda: cell.configure(CONFIGURATION) == 200, "a configuration is taken")
    wait_for(lambda: all(it.token > 0 for it in runners), "all runners are called")
    job = new_job_id()
    body = {"specification": str(WORK_SECONDS),
            "steps": [step(4, estimated_ms=WORK_SECONDS * 1000)]}
    wait_for(lambda: cell.request("POST", job, body)[0] == 200, "a job is accepted")
    wait_for(lambda: sum(len(it.running) for it in runners) == 4, "all tasks run")
    leaving = next(it for it in runners if len(it.running) == 4)
    # The other runners are as far away; their answers take no longer than usual.
    leaving.drain()
    wait_for(lambda: leaving.listed_tasks, "the ends are listed")
    if not TROUBLE:
        time.sleep(0.5)
    leaving.deregister()
    # What is on its way still arrives.
    time.sleep(2 * ANSWER_DELAY_SECONDS)
    leaving.leave()
    time.sleep(WORK_SECONDS + 2)
    return [f"TWICE: {task} was started again on {runs[1][1]} after run {runs[0][0]} had "
            "ended as done and been listed" for task, runs in sorted(book.runs.items())
            if len(runs) > 1 and task in leaving.listed_tasks]


if __name__ == "__main__":
    harness.main(HERE, play, "overtaken.txt")
