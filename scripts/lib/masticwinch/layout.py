"""Assigns names and ports to the processes of a cell and writes their settings."""

import dataclasses
import json
import pathlib

from masticwinch.ports import free_ports
from masticwinch.process import Process

LOOPBACK = "127.0.0.1"
DATA_CENTERS = 3
WORKERS_PER_RACK = 8
PORTS_PER_PROCESS = 3

FOLDERS = ("settings", "events", "logs", "data", "runners", "workers")


@dataclasses.dataclass
class CellSize:
    """Number of processes of each role in a cell."""

    controls: int = 3
    entries: int = 3
    runners: int = 4
    workers: int = 6

    def total(self):
        """Returns the total number of processes."""
        return self.controls + self.entries + self.runners + self.workers


@dataclasses.dataclass
class Place:
    """Role, name, data centre and ports of a process."""

    role: str
    name: str
    data_center: str
    main_port: int
    operators_port: int
    internal_port: int

    @property
    def internal_address(self):
        """Address for messages between control and entry processes."""
        return f"tcp://{LOOPBACK}:{self.internal_port}"

    @property
    def main_url(self):
        """Base URL of the port for callers, requests or leases."""
        return f"http://{LOOPBACK}:{self.main_port}"

    @property
    def operators_url(self):
        """Base URL of the port for operators."""
        return f"http://{LOOPBACK}:{self.operators_port}"


class Layout:
    """Folder, processes and settings of a cell."""

    def __init__(self, folder, build, size, overrides=None):
        self.folder = pathlib.Path(folder).resolve()
        self.build = pathlib.Path(build).resolve()
        self.overrides = overrides or {}
        ports = iter(free_ports(PORTS_PER_PROCESS * size.total()))
        self.controls = self._places("control", size.controls, ports)
        self.entries = self._places("entry", size.entries, ports)
        self.runners = self._places("runner", size.runners, ports)
        self.workers = self._places("worker", size.workers, ports)

    @staticmethod
    def _places(role, count, ports):
        return [
            Place(role, f"{role}-{i + 1}", f"dc-{i % DATA_CENTERS + 1}",
                  next(ports), next(ports), next(ports))
            for i in range(count)
        ]

    def write(self):
        """Creates the folders and settings files. Returns the processes in start
        order."""
        for name in FOLDERS:
            (self.folder / name).mkdir(parents=True, exist_ok=True)
        return ([self._write(it, self._control) for it in self.controls] +
                [self._write(it, self._entry) for it in self.entries] +
                [self._write(it, self._runner) for it in self.runners] +
                [self._write(it, self._worker) for it in self.workers])

    def _write(self, place, settings_of):
        """Writes the settings of a process and returns the process."""
        settings = settings_of(place)
        settings.update(self.overrides.get(place.role, {}))
        settings.update(self.overrides.get(place.name, {}))
        file = self.folder / "settings" / f"{place.name}.json"
        file.write_text(json.dumps(settings, indent=2) + "\n")
        program = self.build / program_of(place.role)
        return Process(place.role, place.name, place.data_center,
                       [str(program), "--settings", str(file)],
                       urls_of(place),
                       place.internal_address
                       if place.role in ("control", "entry") else "")

    def _daemon(self, place):
        """Returns the settings that control and entry processes share."""
        return {
            "cluster": "local",
            "name": place.name,
            "data_center": place.data_center,
            "events_file": self._file("events", place, "events"),
            "internal_address": place.internal_address,
            "operators": listen(place.operators_port),
        }

    def _control(self, place):
        data = self.folder / "data" / place.name
        data.mkdir(parents=True, exist_ok=True)
        return {
            **self._daemon(place),
            "data_folder": str(data),
            "members": peers(self.controls),
        }

    def _entry(self, place):
        return {
            **self._daemon(place),
            "controls": peers(self.controls),
            "callers": listen(place.main_port),
        }

    def _stand_in(self, place, rack):
        """Returns the settings that runner and worker stand-ins share."""
        return {
            "name": place.name,
            "data_center": place.data_center,
            "rack": f"{place.data_center}-rack-{rack}",
            "events_file": self._file("events", place, "events"),
            "listen": listen(place.main_port),
            "operators": listen(place.operators_port),
            "entries": [{"url": it.main_url} for it in self.entries],
        }

    def _runner(self, place):
        return {
            **self._stand_in(place, rack=1),
            "service": "prices",
            "executions_file": self._file("runners", place, "executions"),
        }

    def _worker(self, place):
        in_data_center = self.workers.index(place) // DATA_CENTERS
        return {
            **self._stand_in(place, in_data_center // WORKERS_PER_RACK + 1),
            "milli_processors": 32000,
            "memory_mib": 131072,
            "accelerators": 0,
            "tasks_file": self._file("workers", place, "tasks"),
        }

    def _file(self, folder, place, suffix):
        return str(self.folder / folder / f"{place.name}.{suffix}")


def listen(port):
    """Returns the settings of an HTTP server on a port."""
    return {"address": LOOPBACK, "port": port}


def peers(places):
    """Returns the settings that list processes with their internal addresses."""
    return [{"name": it.name, "address": it.internal_address} for it in places]


def program_of(role):
    """Returns the file name of the program for a role."""
    stand_in = "-stand-in" if role in ("runner", "worker") else ""
    return f"masticwinch-{role}{stand_in}"


def urls_of(place):
    """Returns the URLs of a process by purpose."""
    urls = {
        "operators": place.operators_url,
        "health": f"{place.operators_url}/health",
    }
    if place.role in ("control", "entry"):
        urls["metrics"] = f"{place.operators_url}/metrics"
    if place.role == "entry":
        urls["callers"] = place.main_url
    if place.role in ("runner", "worker"):
        urls["listen"] = place.main_url
        urls["stats"] = f"{place.operators_url}/stand-in/stats"
    return urls
