"""Shared parts of the review's scripts: the record, the cell and the exit status."""

import os
import pathlib
import shutil
import signal
import sys
import tempfile
import threading
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "platform" / "tests"))

import platform_cell  # noqa: E402
from platform_cell import CONFIGURATION, HOST, POOL, PlatformCell  # noqa: E402
from stand_ins import call  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
# Whether the disruption is played.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class NotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, file):
        self.file = open(file, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def write(self, text):
        """Writes one line."""
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
            self.file.flush()


def wait_for(condition, description, seconds=20):
    """Waits until the condition holds; raises NotRun after the time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise NotRun(f"after {seconds} s not: {description}")


def start_cell(folder):
    """Starts the programs of the deploy file on loopback addresses."""
    platform_cell.support.BUILD = str(ROOT / "target")
    for name in ("masticwinch-platform-control", "masticwinch-platform-entry"):
        if not (ROOT / "target" / name).exists():
            raise NotRun(f"target/{name} is not built")
    return PlatformCell(folder)


def find_leader(cell, seconds=20):
    """Returns the control VM that leads."""
    return wait_for(cell.leader, "a control VM leads", seconds)


def end_early(number, _):
    """Handles a signal to the script."""
    raise NotRun(f"the script got signal {number}")


def main(case_folder, play, record_name="record.txt"):
    """Runs `play(cell, record)`, which returns a list of broken rules, and exits with
    the status of the case."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="masticwinch-review-"))
    record = Record(pathlib.Path(case_folder).resolve() / record_name)
    record.write(f"trouble: {'yes' if TROUBLE else 'no'}")
    # All processes are ended, also if the script is told to end.
    for it in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(it, end_early)
    cell = None
    try:
        cell = start_cell(folder)
        problems = play(cell, record)
        status = BROKEN if problems else HELD
        for it in problems:
            record.write(f"BROKEN {it}")
            print(f"broken: {it}")
        if not problems:
            record.write("the rule held")
            print("the rule held")
    except Exception as error:  # pylint: disable=broad-except
        record.write("".join(traceback.format_exception(error)))
        print(f"the case could not run: {error!r}")
        status = NOT_RUN
    finally:
        if cell:
            cell.stop()
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
    sys.stdout.flush()
    # Threads of the stand-ins may still wait for connections of killed daemons.
    os._exit(status)
