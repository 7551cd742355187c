"""A small cell of real processes on loopback, for benchmarks.

Free ports are chosen at startup. `stop` terminates only the processes that this
module started.
"""

import json
import pathlib
import re
import sys
import resource
import signal
import subprocess
import time
import urllib.error
import urllib.request

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "scripts" / "lib"))

from masticwinch.ports import free_ports  # noqa: E402

START_TIMEOUT_SECONDS = 20
STOP_TIMEOUT_SECONDS = 20
SAMPLE = re.compile(r"^([a-z_]+)(?:\{[^}]*\})? (\S+)$", re.MULTILINE)


def call(method, url, body=None, timeout=5):
    """Returns status and body of an HTTP request; status 0 if there is no response."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except OSError:
        return 0, ""


def wait_for(condition, what):
    """Waits until the condition holds; raises RuntimeError on a time-out."""
    deadline = time.monotonic() + START_TIMEOUT_SECONDS
    while not condition():
        if time.monotonic() > deadline:
            raise RuntimeError(f"timed out waiting for {what}")
        time.sleep(0.05)


class Process:
    """A running process with its operators' port."""

    def __init__(self, name, command, operators_port):
        self.name = name
        self.operators = f"http://127.0.0.1:{operators_port}"
        self.child = subprocess.Popen(command)

    def metrics(self):
        """Returns the unlabelled metrics by name."""
        _, text = call("GET", self.operators + "/metrics")
        return {name: float(value) for name, value in SAMPLE.findall(text)}

    def healthy(self):
        return call("GET", self.operators + "/health")[0] == 200


class Cell:
    """A cell whose control VMs, entry VMs and runners are processes."""

    def __init__(self, build, folder, controls=1):
        self.build = pathlib.Path(build)
        self.folder = pathlib.Path(folder)
        self.controls = []
        self.entries = []
        self.runners = []
        self.callers = []
        ports = free_ports(2 * controls)
        self.members = [{"name": f"control-{i + 1}",
                         "address": f"tcp://127.0.0.1:{ports[2 * i]}"}
                        for i in range(controls)]
        for i, member in enumerate(self.members):
            data = self.folder / f"{member['name']}.data"
            data.mkdir(parents=True)
            self.controls.append(self._start("masticwinch-control", {
                "cluster": "bench", "name": member["name"],
                "data_center": f"dc-{i % 3}",
                "internal_address": member["address"],
                "data_folder": str(data), "members": self.members,
                "operators": {"port": ports[2 * i + 1]}}))
        wait_for(lambda: any(it.healthy() for it in self.controls), "election")

    def _start(self, program, settings):
        name = settings["name"]
        settings["events_file"] = str(self.folder / f"{name}.events")
        file = self.folder / f"{name}.json"
        file.write_text(json.dumps(settings, indent=2))
        return Process(name, [str(self.build / program), "--settings",
                              str(file)], settings["operators"]["port"])

    def add_entries(self, count):
        """Starts entry VMs and waits until they serve."""
        for _ in range(count):
            internal, callers, operators = free_ports(3)
            number = len(self.entries) + 1
            self.entries.append(self._start("masticwinch-entry", {
                "cluster": "bench", "name": f"entry-{number}",
                "data_center": f"dc-{number % 3}",
                "internal_address": f"tcp://127.0.0.1:{internal}",
                "controls": self.members, "callers": {"port": callers},
                "operators": {"port": operators}}))
            self.callers.append(f"http://127.0.0.1:{callers}")
        wait_for(lambda: all(it.healthy() for it in self.entries), "serving")

    def add_runners(self, count, service="phrases"):
        """Starts runners and waits until they are announced."""
        for _ in range(count):
            listen, operators = free_ports(2)
            number = len(self.runners) + 1
            self.runners.append(self._start("masticwinch-runner-stand-in", {
                "name": f"runner-{number}", "service": service,
                "data_center": f"dc-{number % 3}", "rack": f"rack-{number}",
                "listen": {"port": listen}, "operators": {"port": operators},
                "entries": [{"url": it} for it in self.callers],
                "executions_file":
                    str(self.folder / f"runner-{number}.executions")}))
        wanted = len(self.runners)
        wait_for(lambda: len(self._upstreams()) == wanted, "announcements")

    def add_worker(self):
        """Starts a worker stand-in; returns the process and its lease URL."""
        listen, operators = free_ports(2)
        worker = self._start("masticwinch-worker-stand-in", {
            "name": "worker-1", "data_center": "dc-1", "rack": "rack-1",
            "listen": {"port": listen}, "operators": {"port": operators},
            "entries": [{"url": it} for it in self.callers],
            "milli_processors": 32000, "memory_mib": 131072,
            "tasks_file": str(self.folder / "worker-1.tasks")})
        self.runners.append(worker)
        url = f"http://127.0.0.1:{listen}/v1/lease"
        wait_for(lambda: call("PUT", url, {})[0] != 0, "the worker's start")
        return url

    def run_load(self, plan, targets):
        """Runs a load plan; returns its result and the processor seconds used."""
        file = self.folder / "plan.json"
        file.write_text(json.dumps(plan))
        result = self.folder / "load.json"
        before = resource.getrusage(resource.RUSAGE_CHILDREN)
        subprocess.run([str(self.build / "masticwinch-load"), "--plan",
                        str(file), "--targets", ",".join(targets), "--json",
                        str(result)], check=True, stdout=subprocess.DEVNULL)
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
        used = (after.ru_utime + after.ru_stime
                - before.ru_utime - before.ru_stime)
        return json.loads(result.read_text()), used

    def _upstreams(self):
        status, text = call("GET", self.entries[0].operators + "/v1/upstreams")
        return json.loads(text).get("items", []) if status == 200 else []

    def put_profile(self, name, spec):
        """Puts a profile; returns the revision that contains it."""
        status, text = call(
            "PUT", f"{self.entries[0].operators}/v1/profiles/{name}", spec)
        if status != 200:
            raise RuntimeError(f"profile {name}: {status} {text}")
        return int(json.loads(text)["revision"])

    def stop(self):
        """Stops all processes in the order runners, entry VMs, control VMs."""
        for group in (self.runners, self.entries, self.controls):
            for it in group:
                it.child.send_signal(signal.SIGTERM)
            for it in group:
                try:
                    it.child.wait(STOP_TIMEOUT_SECONDS)
                except subprocess.TimeoutExpired:
                    it.child.kill()
                    it.child.wait()
