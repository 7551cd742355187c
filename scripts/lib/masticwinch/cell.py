"""Starts, monitors and stops a cell of processes on the loopback address."""

import dataclasses
import json
import pathlib
import signal
import time

from masticwinch.layout import Layout
from masticwinch.process import POLL_SECONDS, Process

START_SECONDS = 60
STOP_SECONDS = 30
SECOND_SIGNAL_SECONDS = 5
LOG_TAIL_LINES = 20

# Roles in the order in which they are stopped: dependent processes first.
STOP_ORDER = (("runner", "worker"), ("entry",), ("control",))


class CellError(Exception):
    """The cell could not be created, loaded or started as requested."""


class Cell:
    """The processes of a cell, as recorded in DIR/cell.json."""

    def __init__(self, folder, processes):
        self.folder = pathlib.Path(folder).resolve()
        self.processes = processes

    @staticmethod
    def create(folder, build, size, overrides=None):
        """Writes the settings of a new cell without starting its processes."""
        layout = Layout(folder, build, size, overrides)
        if (layout.folder / "cell.json").exists():
            raise CellError(f"{layout.folder} already has a cell; "
                            "stop it and remove the folder")
        return Cell(folder, layout.write())

    @staticmethod
    def load(folder):
        """Loads an existing cell from its cell.json."""
        file = pathlib.Path(folder).resolve() / "cell.json"
        if not file.exists():
            raise CellError(f"{file} does not exist")
        record = json.loads(file.read_text())
        return Cell(folder, [Process(**it) for it in record["processes"]])

    def save(self):
        """Replaces cell.json atomically."""
        record = {
            "folder": str(self.folder),
            "processes": [dataclasses.asdict(it) for it in self.processes],
        }
        file = self.folder / "cell.json"
        temporary = self.folder / "cell.json.new"
        temporary.write_text(json.dumps(record, indent=2) + "\n")
        temporary.replace(file)

    def of_role(self, *roles):
        """Returns the processes with one of the roles."""
        return [it for it in self.processes if it.role in roles]

    def named(self, name):
        """Returns the process with the name. Raises CellError if there is none."""
        for it in self.processes:
            if it.name == name:
                return it
        raise CellError(f"no process is named {name}")

    def start(self):
        """Starts all processes and waits until they are healthy. If one is not
        healthy in time, kills all of them and raises CellError."""
        try:
            for roles in reversed(STOP_ORDER):
                started = self.of_role(*roles)
                for it in started:
                    it.start(self.folder / "logs")
                self.save()
                self.wait_until_healthy(started)
        except CellError:
            for it in self.processes:
                it.kill()
            raise

    def start_again(self, name):
        """Restarts a process that has ended with its recorded command line."""
        process = self.named(name)
        process.start(self.folder / "logs")
        self.save()
        return process

    def wait_until_healthy(self, processes, seconds=START_SECONDS):
        """Waits until the processes pass their health checks. Raises CellError if
        one ends or is not healthy in time."""
        deadline = time.monotonic() + seconds
        waiting = list(processes)
        while waiting:
            waiting = [it for it in waiting if not it.is_healthy()]
            ended = [it for it in waiting if it.find() is None]
            if ended or (waiting and time.monotonic() > deadline):
                failed = ended or waiting
                reason = "ended" if ended else f"unhealthy after {seconds} s"
                raise CellError("\n".join(
                    f"{it.name} {reason}\n{self.log_tail(it)}"
                    for it in failed))
            time.sleep(POLL_SECONDS)

    def log_tail(self, process):
        """Returns the last lines of a process's event file and log, for error
        messages."""
        lines = []
        for file in (self.folder / "events" / f"{process.name}.events",
                     self.folder / "logs" / f"{process.name}.log"):
            if file.exists():
                text = file.read_text(errors="replace")
                lines += text.splitlines()[-LOG_TAIL_LINES:]
        return "\n".join("  " + it for it in lines)

    def stop(self):
        """Stops all processes in order. Returns the names of those that did not
        stop on the first signal in time."""
        killed = []
        for roles in STOP_ORDER:
            killed += self._stop_roles(roles)
        return killed

    def _stop_roles(self, roles):
        running = [it for it in self.of_role(*roles) if it.find() is not None]
        for it in running:
            it.send(signal.SIGTERM)
            it.send(signal.SIGCONT)
        killed = []
        deadline = time.monotonic() + STOP_SECONDS
        for it in running:
            if it.wait_for_end(max(0, deadline - time.monotonic())):
                continue
            it.send(signal.SIGTERM)
            if not it.wait_for_end(SECOND_SIGNAL_SECONDS):
                it.kill()
            killed.append(it.name)
        return killed

    def status(self):
        """Returns the state of every process by name: healthy, unhealthy, paused
        or dead."""
        states = {}
        for it in self.processes:
            if it.find() is None:
                states[it.name] = "dead"
            elif it.is_paused():
                states[it.name] = "paused"
            else:
                states[it.name] = "healthy" if it.is_healthy() else "unhealthy"
        return states
