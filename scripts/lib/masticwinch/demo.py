"""The demonstration of a cell: its steps and the results that they check."""

import json
import subprocess
import time
import urllib.error
import urllib.request

from masticwinch.cell import Cell, CellError
from masticwinch.layout import CellSize

WAIT_SECONDS = 20
POLL_SECONDS = 0.1

LOOKUP = {"requests": {"work_class": "URGENT", "deadline_ms": 2000,
                       "max_attempts": 3, "repeatable": True}}
SHEET = {"tasks": {"kind": "BATCH", "work_class": "PATIENT",
                   "repeatable": True, "expected_run_time_ms": 500,
                   "resources": {"milli_processors": 2000, "memory_mib": 512}}}
RENDER = {"tasks": {"kind": "GANG", "work_class": "PATIENT",
                    "repeatable": True, "expected_run_time_ms": 500,
                    "resources": {"milli_processors": 8000, "memory_mib": 1024}}}
SHEET_TASKS = 6
RENDER_TASKS = 4


class DemoFailure(Exception):
    """A step of the demonstration did not give the expected result."""


def require(condition, what):
    """Raises DemoFailure unless the condition holds."""
    if not condition:
        raise DemoFailure(what)


def wait_until(condition, what):
    """Waits until a condition holds. Raises DemoFailure after the timeout."""
    deadline = time.monotonic() + WAIT_SECONDS
    while not condition():
        require(time.monotonic() < deadline, f"not seen in time: {what}")
        time.sleep(POLL_SECONDS)


class Demo:
    """Runs the demonstration with the programs of a build and a cell in a folder."""

    def __init__(self, folder, build):
        self.build = build
        # One runner refuses all requests, to show that a refused request is
        # retried at another runner.
        self.cell = Cell.create(folder, build, CellSize(),
                                {"runner-1": {"behavior": "refuse"}})
        self.request = "demo-lookup-1"

    def run(self):
        """Runs all steps. Stops the cell even if a step fails."""
        try:
            self.cell.start()
        except CellError as error:
            raise DemoFailure(str(error)) from error
        print(f"A cell of {len(self.cell.processes)} processes runs.")
        try:
            self.put_profiles()
            self.look_up()
            sheet = self.run_sheet()
            self.run_gang()
            self.change_profile()
            self.drain_vm()
            self.show_timeline("request", self.request)
            self.show_timeline("job", sheet)
        finally:
            killed = self.cell.stop()
        require(not killed, f"processes had to be killed: {killed}")
        print("All processes stopped in order.")

    def ctl(self, *words, body=None):
        """Runs masticwinchctl and returns its JSON answer."""
        servers = ",".join(it.urls["operators"]
                           for it in self.cell.of_role("entry", "control"))
        command = [str(self.build / "masticwinchctl"), "--servers", servers,
                   "--operator", "demo", *words]
        run = subprocess.run(command, input=json.dumps(body) if body else "",
                             capture_output=True, text=True, check=False)
        require(run.returncode == 0,
                f"{' '.join(words)}: exit {run.returncode}: "
                f"{run.stdout}{run.stderr}")
        return json.JSONDecoder().raw_decode(run.stdout)[0]

    def put_profiles(self):
        """Creates the profiles and waits until they are in force."""
        for name, spec in (("lookup", LOOKUP), ("sheet", SHEET),
                           ("render", RENDER)):
            self.ctl("--wait", "profile", "put", name, "-", body=spec)
        print("Profiles lookup, sheet and render are in force.")

    def look_up(self):
        """Sends lookups until one is retried after a refusal."""
        entries = self.cell.of_role("entry")
        for i in range(50):
            self.request = f"demo-lookup-{i + 1}"
            attempts = self.look_up_once(entries[i % len(entries)])
            if attempts > 1:
                print(f"Request {self.request} was refused by one runner and "
                      f"answered by another, attempts={attempts}.")
                return
        raise DemoFailure("no request was seen to be retried")

    def look_up_once(self, entry):
        """Sends a lookup and returns its number of attempts."""
        body = f"price of oats {self.request}".encode()
        request = urllib.request.Request(
            f"{entry.urls['callers']}/v1/services/prices/quote", data=body,
            headers={"Masticwinch-Profile": "lookup",
                     "Masticwinch-Caller": "trader",
                     "Masticwinch-Request-Id": self.request})
        try:
            with urllib.request.urlopen(request, timeout=WAIT_SECONDS) as reply:
                require(reply.headers["Masticwinch-Outcome"] == "answered",
                        "the lookup is answered")
                require(body in reply.read(), "the answer is the caller's own")
                return int(reply.headers["Masticwinch-Attempts"])
        except urllib.error.HTTPError as error:
            raise DemoFailure(f"the lookup failed: {error.status} "
                              f"{error.read().decode()}") from error

    def submit(self, profile, tasks, run_ms):
        """Submits a job and returns its id."""
        job = {"name": f"demo-{profile}", "profile": profile, "tasks": tasks,
               "payload": json.dumps({"run_ms": run_ms})}
        return self.ctl("job", "submit", "-", body=job)["job"]

    def has_finished(self, job, tasks):
        """Whether a job has ended with all its tasks finished."""
        status = self.ctl("job", "show", job)["jobs"][0]
        return status["state"] == "ended" and status["finished"] == tasks

    def task_events(self, job):
        """Returns the lines of the workers' tasks files that concern a job."""
        events = []
        for it in self.cell.of_role("worker"):
            file = self.cell.folder / "workers" / f"{it.name}.tasks"
            lines = file.read_text().splitlines() if file.exists() else []
            events += [{"worker": it.name, **dict(pair.split("=", 1)
                                                  for pair in line.split())}
                       for line in lines if f"task={job}" in line]
        return events

    def run_sheet(self):
        """Runs a batch job and checks that each task starts once."""
        job = self.submit("sheet", SHEET_TASKS, run_ms=300)
        wait_until(lambda: self.has_finished(job, SHEET_TASKS),
                   "the batch job finishes")
        starts = [it for it in self.task_events(job) if it["event"] == "start"]
        tasks = {it["task"] for it in starts}
        require(len(starts) == SHEET_TASKS and len(tasks) == SHEET_TASKS,
                f"each of {SHEET_TASKS} tasks starts once: {starts}")
        print(f"Batch {job}: {SHEET_TASKS} tasks ran once each on "
              f"{len({it['worker'] for it in starts})} workers.")
        return job

    def run_gang(self):
        """Runs a gang and checks that all its tasks run at the same time."""
        job = self.submit("render", RENDER_TASKS, run_ms=2000)
        wait_until(lambda: self.has_finished(job, RENDER_TASKS),
                   "the gang finishes")
        events = self.task_events(job)
        last_start = max(float(it["time"]) for it in events
                         if it["event"] == "start")
        first_stop = min(float(it["time"]) for it in events
                         if it["event"] != "start")
        starts = [it for it in events if it["event"] == "start"]
        require(len(starts) == RENDER_TASKS and last_start < first_stop,
                f"the gang runs whole: {events}")
        print(f"Gang {job}: {RENDER_TASKS} tasks ran together.")

    def change_profile(self):
        """Changes a profile and checks that it is in force on every entry VM."""
        changed = {"requests": {**LOOKUP["requests"], "weight": 7}}
        answer = self.ctl("--wait", "--expect_version", "1", "profile", "put",
                          "lookup", "-", body=changed)
        in_force = self.ctl("in-force")
        entries = [it["name"] for it in in_force["entries"]
                   if int(it["revision"]) >= int(answer["revision"])]
        require(len(entries) == len(self.cell.of_role("entry")),
                f"the change is in use on every entry VM: {in_force}")
        print(f"Profile lookup version {answer['version']} is in force on "
              f"{', '.join(entries)}.")

    def drain_vm(self):
        """Drains a worker VM and checks that it gets no tasks."""
        self.ctl("--wait", "vm", "drain", "worker-1")
        job = self.submit("sheet", 2 * SHEET_TASKS, run_ms=100)
        wait_until(lambda: self.has_finished(job, 2 * SHEET_TASKS),
                   "a job beside the drained VM finishes")
        used = {it["worker"] for it in self.task_events(job)}
        require("worker-1" not in used, "a drained VM gets no task")
        print(f"VM worker-1 is drained; {job} ran on {', '.join(sorted(used))}.")

    def show_timeline(self, kind, value):
        """Prints the merged timeline of a request or job."""
        run = subprocess.run(
            [str(self.build / "masticwinch-timeline"), f"--{kind}", value,
             str(self.cell.folder / "events")],
            capture_output=True, text=True, check=False)
        require(run.returncode == 0 and value in run.stdout,
                f"the time line of {kind} {value}: {run.stderr}")
        print(f"\nTime line of {kind} {value}:\n{run.stdout}")
