#!/usr/bin/env python3
"""Measures requests through entry VMs: added latency, the cost of claims,
waiting under patient work, goodput under overload, and promises under faults.

The load is open-loop, by masticwinch-load; latency counts from the planned time.
"""

import argparse
import collections
import json
import pathlib
import subprocess
import tempfile
import time

from bench_cell import Cell, call

SERVICE_PATH = "/v1/services/phrases/lookups"
SEED = 20261203
STEADY_SECONDS = 6
OVERLOAD_SECONDS = 5
FAULT_SECONDS = 12
DELAY_MS = 40
SLOTS = 8
WARM_UP_SECONDS = 3

PROFILES = {
    "lookup": {"work_class": "URGENT", "deadline_ms": 2000, "repeatable": True},
    "billed": {"work_class": "URGENT", "deadline_ms": 2000},
    "render": {"work_class": "PATIENT", "deadline_ms": 4000, "repeatable": True},
    "first-come": {"work_class": "PATIENT", "deadline_ms": 4000,
                   "repeatable": True},
}


def figure(name, value, unit):
    print(f"figure={name} value={value:.6g} unit={unit}", flush=True)


def stream(name, profile, per_second, seconds, behavior="", **more):
    """One stream of a load plan with Poisson arrivals."""
    headers = [{"name": "Masticwinch-Profile", "value": profile},
               {"name": "Masticwinch-Caller", "value": name}]
    if behavior:
        headers.append({"name": "Stand-In-Behavior", "value": behavior})
    phase = {"arrivals": "poisson", "milliseconds": int(seconds * 1000),
             "from_per_minute": int(per_second * 60),
             "to_per_minute": int(per_second * 60)}
    return {"name": name, "path": SERVICE_PATH, "headers": headers,
            "timeout_ms": 10000, "phases": [phase], **more}


class Bench:
    """A cell with the programs that put load on it."""

    def __init__(self, build, folder, entries, runners, announced_at=None):
        self.build = pathlib.Path(build)
        self.folder = pathlib.Path(folder)
        self.folder.mkdir()
        self.cell = Cell(build, self.folder)
        self.cell.add_entries(entries)
        for name, requests in PROFILES.items():
            self.cell.put_profile(f"{name}?expect_version=0",
                                  {"requests": requests})
        callers = self.cell.callers
        self.cell.callers = callers[:announced_at]
        self.cell.add_runners(runners)
        self.cell.callers = callers
        self.plans = 0
        self.load([stream("warm-up", "lookup", 50, WARM_UP_SECONDS)])

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.cell.stop()

    def start_load(self, streams, targets=None):
        self.plans += 1
        plan = self.folder / f"plan-{self.plans}.json"
        result = self.folder / f"result-{self.plans}.json"
        plan.write_text(json.dumps({"name": f"plan-{self.plans}", "seed": SEED,
                                    "streams": streams}))
        command = [str(self.build / "masticwinch-load"), "--plan", str(plan),
                   "--targets", ",".join(targets or self.cell.callers),
                   "--json", str(result)]
        return subprocess.Popen(command, stdout=subprocess.DEVNULL), result

    def finish_load(self, running):
        """Results of a load by stream."""
        process, result = running
        if process.wait() != 0:
            raise RuntimeError(f"load ended with {process.returncode}")
        return {it["name"]: it for it in json.loads(result.read_text())["streams"]}

    def load(self, streams, targets=None):
        return self.finish_load(self.start_load(streams, targets))

    def runner_urls(self):
        urls = []
        for it in self.cell.runners:
            settings = json.loads((self.folder / f"{it.name}.json").read_text())
            urls.append(f"http://127.0.0.1:{settings['listen']['port']}")
        return urls

    def executions(self):
        """One dictionary for each execution at any runner."""
        lines = []
        for it in self.cell.runners:
            file = self.folder / f"{it.name}.executions"
            lines += file.read_text().splitlines() if file.exists() else []
        return [dict(p.split("=", 1) for p in it.split()) for it in lines]




def measure_latency(bench):
    """Added latency through one entry VM, and what a claim adds."""
    rate = 200
    entry = [bench.cell.callers[0]]
    runs = {
        "direct": ([stream("direct", "lookup", rate, STEADY_SECONDS)],
                   bench.runner_urls()),
        "through": ([stream("through", "lookup", rate, STEADY_SECONDS)], entry),
        "billed": ([stream("billed", "billed", rate, STEADY_SECONDS)], entry),
        "claimed": ([stream("claimed", "billed", rate, STEADY_SECONDS,
                            idempotency_key=True)], entry),
    }
    found = {name: bench.load(streams, targets)[name]["latency_seconds"]
             for name, (streams, targets) in runs.items()}
    for quantile in ("p50", "p99", "p999"):
        millis = {name: it[quantile] * 1000 for name, it in found.items()}
        figure(f"direct_latency_{quantile}", millis["direct"], "ms")
        figure(f"added_latency_{quantile}", millis["through"] - millis["direct"],
               "ms")
        figure(f"added_latency_by_claim_{quantile}",
               millis["claimed"] - millis["billed"], "ms")


def measure_throughput(bench):
    """Answers a second of one entry VM when more is offered, without delay at
    the runners."""
    for name, more in (("plain", {}), ("claimed", {"idempotency_key": True})):
        result = bench.load([stream(name, "billed", 4000, 3, **more)],
                            [bench.cell.callers[0]])[name]
        figure(f"throughput_one_entry_{name}", result["answered_per_second"], "/s")
        figure(f"throughput_generator_lag_{name}",
               result["max_generator_lag_seconds"] * 1000, "ms")


def measure_waiting(bench, capacity):
    """Lookups' p99 in an idle cell, under full patient load, and under the same
    load when both are of one profile, that is, first come, first served."""
    behavior = f"delay={DELAY_MS}"
    lookups = lambda profile: stream("lookups", profile, 40, STEADY_SECONDS,
                                     behavior)
    patient = lambda profile: stream("patient", profile, 1.3 * capacity,
                                     STEADY_SECONDS, behavior)
    idle = bench.load([lookups("lookup")])["lookups"]
    full = bench.load([lookups("lookup"), patient("render")])
    fifo = bench.load([lookups("first-come"), patient("first-come")])["lookups"]
    figure("lookup_p99_idle", idle["latency_seconds"]["p99"] * 1000, "ms")
    figure("lookup_p99_under_patient_load",
           full["lookups"]["latency_seconds"]["p99"] * 1000, "ms")
    figure("lookup_p99_first_come_first_served",
           fifo["latency_seconds"]["p99"] * 1000, "ms")
    figure("lookup_p99_under_load_to_idle",
           full["lookups"]["latency_seconds"]["p99"]
           / idle["latency_seconds"]["p99"], "ratio")
    figure("patient_goodput_beside_lookups",
           goodput_of(full["patient"], STEADY_SECONDS) / capacity,
           "of_capacity")


def goodput_of(result, seconds):
    """Answers a second until the last one came."""
    return result["answered"] / (seconds + result["latency_seconds"]["max"])


def measure_overload(bench, capacity):
    """Goodput as a share of what the slots can answer."""
    for times in (1, 1.5, 2, 3):
        result = bench.load([stream("lookups", "lookup", times * capacity,
                                    OVERLOAD_SECONDS, f"delay={DELAY_MS}")])
        figure(f"goodput_at_{times}x",
               goodput_of(result["lookups"], OVERLOAD_SECONDS) / capacity,
               "of_capacity")
    figure("most_executions_at_once_per_runner",
           max(json.loads(call("GET", it.operators + "/stand-in/stats")[1])
               ["most_executing"] for it in bench.cell.runners), "executions")


def measure_faults(bench):
    """Executions of a key and what callers see while an entry VM is killed."""
    running = bench.start_load([
        stream("billed", "billed", 100, FAULT_SECONDS, "delay=20",
               idempotency_key=True, resends=3, resend_after_ms=100)])
    time.sleep(FAULT_SECONDS / 3)
    bench.cell.entries[-1].child.kill()
    result = bench.finish_load(running)["billed"]
    runs = collections.Counter(it["idempotency_key"] for it in bench.executions()
                               if it.get("idempotency_key", '""') != '""')
    figure("executions_per_key_max_with_entry_killed", max(runs.values()), "runs")
    figure("answered_share_with_entry_killed", result["answered"] / result["sent"],
           "ratio")


def wait_for_leave(bench, runner):
    """The time at which the runner has the answer to its leave."""
    events = bench.folder / f"{runner.name}.events"
    while "event=left" not in events.read_text():
        time.sleep(0.01)
    return time.time()


def measure_leaving(bench):
    """From the answer to "leaving" until the last request that reaches the
    runner, the entry VM that answered being killed."""
    running = bench.start_load([stream("lookups", "lookup", 200, 8, "delay=5",
                                       resends=3)], bench.cell.callers[1:])
    time.sleep(2)
    runner = bench.cell.runners[0]
    status, _ = call("POST", runner.operators + "/stand-in/leave", {})
    if status >= 300:
        raise RuntimeError(f"leaving was answered with {status}")
    left_at = wait_for_leave(bench, runner)
    bench.cell.entries[0].child.kill()
    bench.finish_load(running)
    file = bench.folder / f"{runner.name}.executions"
    last = max(float(dict(p.split("=", 1) for p in it.split())["time"])
               for it in file.read_text().splitlines())
    figure("leaving_to_last_new_request", max(0.0, last - left_at), "s")


def measure_rolling_restart(bench):
    """Requests that a rolling restart of all entry VMs interrupts."""
    running = bench.start_load([
        stream("billed", "billed", 100, FAULT_SECONDS, "delay=50",
               idempotency_key=True, resends=5, resend_after_ms=200)])
    time.sleep(1)
    for entry in bench.cell.entries:
        command = entry.child.args
        entry.child.terminate()
        entry.child.wait()
        entry.child = subprocess.Popen(command)
        while not entry.healthy():
            time.sleep(0.05)
    result = bench.finish_load(running)["billed"]
    figure("interrupted_by_rolling_restart",
           result["broken"] + result["timed_out"] + result["error_status"],
           "requests")
    figure("answered_share_over_rolling_restart",
           result["answered"] / result["sent"], "ratio")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True)
    build = parser.parse_args().build
    with tempfile.TemporaryDirectory() as folder:
        root = pathlib.Path(folder)
        with Bench(build, root / "one", entries=1, runners=4) as bench:
            measure_latency(bench)
            measure_throughput(bench)
        runners = 3
        capacity = runners * SLOTS * 1000 / DELAY_MS
        with Bench(build, root / "three", entries=3, runners=runners) as bench:
            measure_waiting(bench, capacity)
            measure_overload(bench, capacity)
            measure_rolling_restart(bench)
            measure_faults(bench)
        with Bench(build, root / "leaving", entries=3, runners=3,
                   announced_at=1) as bench:
            measure_leaving(bench)


if __name__ == "__main__":
    main()
