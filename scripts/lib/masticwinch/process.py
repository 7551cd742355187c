"""Starts, finds, checks and ends a process of a cell."""

import dataclasses
import os
import pathlib
import signal
import subprocess
import time
import urllib.error
import urllib.request

POLL_SECONDS = 0.05
HEALTH_TIMEOUT_SECONDS = 2

# Child processes by pid.
_CHILDREN = {}


@dataclasses.dataclass
class Process:
    """A process as recorded in cell.json."""

    role: str
    name: str
    data_center: str
    command: list
    urls: dict
    internal_address: str = ""
    pid: int = 0

    def start(self, log_folder):
        """Starts the process in a new session, so that it outlives the caller."""
        log_file = pathlib.Path(log_folder) / f"{self.name}.log"
        with open(log_file, "ab") as log:
            child = subprocess.Popen(
                self.command, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                start_new_session=True)
        self.pid = child.pid
        _CHILDREN[child.pid] = child

    def find(self):
        """Returns the pid of the running process, or None. A process that was
        restarted manually is found by its command line."""
        # Nobody else gets the pid of a child, and its command line is empty for a
        # moment whenever it executes a program.
        if self.pid in _CHILDREN and _is_alive(self.pid):
            return self.pid
        if _runs(self.pid, self.command):
            return self.pid
        for folder in pathlib.Path("/proc").glob("[0-9]*"):
            pid = int(folder.name)
            if _runs(pid, self.command):
                self.pid = pid
                return pid
        return None

    def is_paused(self):
        """Whether the process is stopped by a signal."""
        pid = self.find()
        return pid is not None and _state(pid) == "T"

    def is_healthy(self):
        """Whether the health URL answers with status 200."""
        try:
            with urllib.request.urlopen(
                    self.urls["health"],
                    timeout=HEALTH_TIMEOUT_SECONDS) as answer:
                return answer.status == 200
        except (OSError, urllib.error.URLError):
            return False

    def send(self, number):
        """Sends a signal. Returns False if the process is not running."""
        pid = self.find()
        if pid is None:
            return False
        try:
            os.kill(pid, number)
        except ProcessLookupError:
            return False
        return True

    def wait_for_end(self, seconds):
        """Waits for the process to end. Returns False on timeout."""
        deadline = time.monotonic() + seconds
        while _is_alive(self.pid):
            if time.monotonic() > deadline:
                return False
            time.sleep(POLL_SECONDS)
        return True

    def kill(self):
        """Sends SIGKILL and waits up to 10 s for the process to end."""
        if self.send(signal.SIGKILL):
            self.wait_for_end(seconds=10)


def _runs(pid, command):
    """Whether the pid is a running process with the command line. An emulator's
    command line has the program, in a folder of its own, and its arguments last."""
    if not pid or not _is_alive(pid):
        return False
    try:
        line = pathlib.Path(f"/proc/{pid}/cmdline").read_bytes()
    except OSError:
        return False
    program, *arguments = [os.fsencode(it) for it in command]
    words = line.rstrip(b"\0").split(b"\0")[-len(command):]
    return (os.path.basename(words[0]) == os.path.basename(program) and
            words[1:] == arguments)


def _is_alive(pid):
    """Whether any thread of the process still runs. Until none does, the process
    keeps its sockets open."""
    child = _CHILDREN.get(pid)
    if child is not None:
        return child.poll() is None
    if _state(pid) not in ("Z", "X", ""):
        return True
    try:
        return len(os.listdir(f"/proc/{pid}/task")) > 1
    except OSError:
        return False


def _state(pid):
    """Returns the state letter of a process from /proc, or an empty string if there
    is no such process."""
    try:
        stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return ""
    return stat.rpartition(")")[2].split()[0]
