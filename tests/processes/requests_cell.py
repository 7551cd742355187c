"""A small cell of real processes on the loopback address, for request tests."""

import http.client
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time

import support  # adds scripts/lib to the module search path
from masticwinch.ports import free_ports

START_TIMEOUT_SECONDS = 30


def free_port():
    """Returns a free port below the range that the system uses for outgoing
    connections."""
    return free_ports(1)[0]


def wait_until(condition, description, seconds=START_TIMEOUT_SECONDS):
    """Polls a condition until it holds. Raises AssertionError after the timeout."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.02)
    raise AssertionError(f"timed out waiting for {description}")


class Reply:
    """An HTTP response. Header names are in lower case."""

    def __init__(self, response):
        self.status = response.status
        self.headers = {k.lower(): v for k, v in response.getheaders()}
        self.body = response.read().decode()

    @property
    def outcome(self):
        return self.headers.get("masticwinch-outcome")


def call(port, method, path, body="", headers=None, timeout=30):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        return Reply(connection.getresponse())
    finally:
        connection.close()


class Process:
    """A process of the cell with its settings file."""

    def __init__(self, program, folder, settings):
        self.program = program
        self.folder = folder
        self.settings = settings
        self.name = settings["name"]
        self.handle = None

    def start(self):
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        log = open(self.folder / f"{self.name}.log", "ab")
        self.handle = subprocess.Popen(
            [self.program, "--settings", str(path)], stdout=log, stderr=log
        )
        log.close()

    def send(self, signal_number):
        self.handle.send_signal(signal_number)

    def kill(self):
        self.handle.kill()
        self.handle.wait()

    def terminate(self):
        """Sends SIGTERM, waits for the process to end and returns the exit code."""
        self.send(signal.SIGTERM)
        return self.handle.wait(timeout=60)


class Cell:
    """Context manager for a cell of one control process, entries and runners."""

    def __init__(self, build, entries=2, runners=2):
        self.build = pathlib.Path(build)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.control = self.make_control()
        self.entries = [self.make_entry(n) for n in range(entries)]
        self.runners = [self.make_runner(n) for n in range(runners)]

    def make_process(self, program, settings):
        settings["events_file"] = str(self.folder / f"{settings['name']}.events")
        return Process(self.build / f"masticwinch-{program}", self.folder, settings)

    def internal_settings(self, name):
        return {
            "cluster": "test",
            "name": name,
            "data_center": "dc-1",
            "internal_address": f"tcp://127.0.0.1:{free_port()}",
            "operators": {"port": free_port()},
        }

    def make_control(self):
        settings = self.internal_settings("control-0")
        settings["data_folder"] = str(self.folder / "data")
        os.makedirs(settings["data_folder"])
        settings["members"] = [
            {"name": "control-0", "address": settings["internal_address"]}
        ]
        return self.make_process("control", settings)

    def make_entry(self, number):
        settings = self.internal_settings(f"entry-{number}")
        settings["controls"] = self.control.settings["members"]
        settings["callers"] = {"port": free_port()}
        settings["balancer_delay_ms"] = 200
        return self.make_process("entry", settings)

    def make_runner(self, number):
        name = f"runner-{number}"
        settings = {
            "name": name,
            "service": "prices",
            "data_center": "dc-1",
            "rack": "rack-1",
            "listen": {"port": free_port()},
            "operators": {"port": free_port()},
            "entries": [
                {"url": f"http://127.0.0.1:{self.callers_port(it)}"}
                for it in self.entries
            ],
            "executions_file": str(self.folder / f"{name}.executions"),
        }
        return self.make_process("runner-stand-in", settings)

    @staticmethod
    def callers_port(entry):
        return entry.settings["callers"]["port"]

    @staticmethod
    def is_healthy(process):
        try:
            port = process.settings["operators"]["port"]
            return call(port, "GET", "/health").status == 200
        except OSError:
            return False

    def put_profile(self, name, requests):
        port = self.entries[0].settings["operators"]["port"]
        body = json.dumps({"requests": requests})
        headers = {"Masticwinch-Operator": "test", "Content-Type": "application/json"}
        reply = call(port, "PUT", f"/v1/profiles/{name}?expect_version=0", body, headers)
        assert reply.status in (200, 201), (reply.status, reply.body)

    def send(self, entry, profile, headers=None, body="", path="/quote"):
        all_headers = {"Masticwinch-Profile": profile, "Masticwinch-Caller": "test"}
        all_headers.update(headers or {})
        port = self.callers_port(self.entries[entry])
        return call(port, "POST", f"/v1/services/prices{path}", body, all_headers)

    def executions(self):
        """Returns the fields of all lines in the executions files."""
        lines = []
        for it in self.runners:
            path = pathlib.Path(it.settings["executions_file"])
            if path.exists():
                lines += path.read_text().splitlines()
        return [dict(p.split("=", 1) for p in it.split() if "=" in p) for it in lines]

    def __enter__(self):
        try:
            self.control.start()
            for it in self.entries:
                it.start()
            for it in self.entries:
                wait_until(
                    lambda it=it: self.is_healthy(it), f"{it.name} to be healthy"
                )
            self.put_profile("billed", {"work_class": "URGENT", "deadline_ms": 3000})
            self.put_profile(
                "lookup",
                {"work_class": "URGENT", "deadline_ms": 3000, "repeatable": True},
            )
            for it in self.runners:
                it.start()
            for n in range(len(self.entries)):
                wait_until(
                    lambda n=n: self.send(n, "lookup").outcome == "answered",
                    f"the first answer of {self.entries[n].name}",
                )
        except BaseException:
            self.print_logs()
            self.__exit__(None, None, None)
            raise
        return self

    def print_logs(self):
        for it in sorted(self.folder.glob("*.log")):
            print(f"--- {it.name}\n{it.read_text()[-2000:]}")
        for it in sorted(self.folder.glob("*.events")):
            print(f"--- {it.name}\n{it.read_text()[-2000:]}")

    def __exit__(self, kind, *rest):
        if kind is not None:
            self.print_logs()
        for it in [self.control, *self.entries, *self.runners]:
            if it.handle is not None and it.handle.poll() is None:
                it.send(signal.SIGCONT)
                it.kill()
        self.temporary.cleanup()
