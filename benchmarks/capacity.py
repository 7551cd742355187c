#!/usr/bin/env python3
"""Measures the resource usage of real processes at three or more sizes each.

Prints `figure=NAME_at_SIZE value=… unit=…` for each size and
`figure=NAME_slope` for the growth by least squares.
"""

import argparse
import json
import tempfile
import time

from bench_cell import Cell, call, wait_for

IDLE_SECONDS = 4
ENTRY_COUNTS = [2, 4, 8, 16]
RUNNER_COUNTS = [4, 12, 36]
CHANGE_RATES = [4, 8, 16]
PROFILE_COUNTS = [500, 1500, 4500]
REQUEST_RATES = [50, 100, 200]
TASK_COUNTS = [1, 5, 25]
RECEIVED = "masticwinch_messages_received_bytes_total"
SENT = "masticwinch_messages_sent_bytes_total"
PROCESSOR = "process_cpu_seconds_total"
RESIDENT = "process_resident_memory_bytes"
REVISION = "masticwinch_configuration_revision"


def figure(name, value, unit):
    print(f"figure={name} value={value:.6g} unit={unit}", flush=True)


def slope(points):
    """Slope of the value over the size, by least squares."""
    sizes = sum(x for x, _ in points) / len(points)
    values = sum(y for _, y in points) / len(points)
    products = sum((x - sizes) * (y - values) for x, y in points)
    return products / sum((x - sizes) ** 2 for x, _ in points)


def report(name, points, unit, per):
    for size, value in points:
        figure(f"{name}_at_{size}", value, unit)
    figure(f"{name}_slope", slope(points), f"{unit}/{per}")


class Rates:
    """Rates of a process's counters over a period."""

    def __init__(self, process):
        self.process = process
        self.begin = process.metrics()
        self.started = time.monotonic()

    def end(self):
        seconds = time.monotonic() - self.started
        last = self.process.metrics()
        return {key: (last[key] - self.begin[key]) / seconds
                for key in (RECEIVED, SENT, PROCESSOR)}


def leader_of(cell):
    """The control VM that is the leader."""
    return next(it for it in cell.controls
                if it.metrics()["masticwinch_leader"] == 1)


def measure_idle(cell):
    """Rates of the leader and of one entry VM while the cell is idle."""
    leader, entry = Rates(leader_of(cell)), Rates(cell.entries[0])
    time.sleep(IDLE_SECONDS)
    return leader.end(), entry.end()


def measure_entries(cell):
    """Resource usage of an idle cell by number of entry VMs."""
    leader_bytes, leader_time, entry_bytes = [], [], []
    for count in ENTRY_COUNTS:
        cell.add_entries(count - len(cell.entries))
        leader, entry = measure_idle(cell)
        leader_bytes.append((count, leader[SENT] + leader[RECEIVED]))
        leader_time.append((count, leader[PROCESSOR] * 100))
        entry_bytes.append((count, entry[SENT] + entry[RECEIVED]))
    report("idle_leader_messages", leader_bytes, "bytes/s", "entry")
    report("idle_leader_processor", leader_time, "percent", "entry")
    report("idle_entry_messages", entry_bytes, "bytes/s", "entry")


def change_profiles(cell, rate, seconds):
    """Changes one profile at a rate; returns the number of changes and the
    revision of the last one."""
    begin = time.monotonic()
    count = int(rate * seconds)
    revision = 0
    for i in range(count):
        time.sleep(max(0, begin + i / rate - time.monotonic()))
        revision = cell.put_profile("changed", {"requests": {
            "deadline_ms": 1000 + i, "weight": 1 + i % 100}})
    return count, revision


def in_force_everywhere(cell, revision):
    return all(it.metrics()[REVISION] >= revision for it in cell.entries)


def measure_changes(cell):
    """Resource usage by rate of configuration changes, and the time until they
    are in force."""
    leader_bytes, leader_time, entry_bytes = [], [], []
    for rate in CHANGE_RATES:
        leader, entry = Rates(leader_of(cell)), Rates(cell.entries[-1])
        count, revision = change_profiles(cell, rate, IDLE_SECONDS)
        began = time.monotonic()
        wait_for(lambda: in_force_everywhere(cell, revision), "in force")
        figure(f"change_in_force_seconds_at_{rate}", time.monotonic() - began,
               "s")
        leader, entry = leader.end(), entry.end()
        made = count / IDLE_SECONDS
        leader_bytes.append((made, leader[SENT] + leader[RECEIVED]))
        leader_time.append((made, leader[PROCESSOR] * 1e6))
        entry_bytes.append((made, entry[SENT] + entry[RECEIVED]))
    entries = len(cell.entries)
    report(f"change_leader_messages_{entries}_entries", leader_bytes,
           "bytes/s", "change/s")
    report(f"change_leader_processor_{entries}_entries", leader_time, "us/s",
           "change/s")
    report(f"change_entry_messages_{entries}_entries", entry_bytes, "bytes/s",
           "change/s")


def measure_runners(cell):
    """Resource usage of an idle cell by number of upstreams that renew."""
    leader_bytes, leader_time = [], []
    for count in RUNNER_COUNTS:
        cell.add_runners(count - len(cell.runners))
        leader, _ = measure_idle(cell)
        leader_bytes.append((count, leader[SENT] + leader[RECEIVED]))
        leader_time.append((count, leader[PROCESSOR] * 100))
    report("upstream_leader_messages", leader_bytes, "bytes/s", "upstream")
    report("upstream_leader_processor", leader_time, "percent", "upstream")


def measure_profiles(cell):
    """Memory by number of profiles."""
    leader_memory, entry_memory = [], []
    made = 0
    for count in PROFILE_COUNTS:
        revision = 0
        for i in range(made, count):
            revision = cell.put_profile(f"profile-{i}", {"team": f"team-{i}"})
        made = count
        wait_for(lambda: in_force_everywhere(cell, revision), "in force")
        leader_memory.append((count, leader_of(cell).metrics()[RESIDENT]))
        entry_memory.append((count, cell.entries[0].metrics()[RESIDENT]))
    report("profile_leader_memory", leader_memory, "bytes", "profile")
    report("profile_entry_memory", entry_memory, "bytes", "profile")


def request_plan(rate, service):
    """A constant rate of small requests."""
    return {"name": "constant", "streams": [{
        "name": "requests", "path": f"/v1/services/{service}/echo",
        "headers": [{"name": "Masticwinch-Profile", "value": "lookup"},
                    {"name": "Masticwinch-Caller", "value": "bench"}],
        "phases": [{"arrivals": "constant",
                    "milliseconds": IDLE_SECONDS * 1000,
                    "from_per_minute": rate * 60,
                    "to_per_minute": rate * 60}]}]}


def measure_requests(cell):
    """Processor time of one entry VM and of the HTTP client by rate."""
    cell.put_profile("lookup", {})
    entry_time, client_time = [], []
    for rate in REQUEST_RATES:
        entry = Rates(cell.entries[0])
        result, used = cell.run_load(request_plan(rate, "phrases"),
                                     [cell.callers[0]])
        stream = result["streams"][0]
        if stream["answered"] != stream["sent"]:
            raise RuntimeError(f"only {stream['answered']} of {stream['sent']}"
                               " requests were answered")
        entry_time.append((rate, entry.end()[PROCESSOR] * 1e6))
        client_time.append((rate, used / IDLE_SECONDS * 1e6))
    report("request_entry_processor", entry_time, "us/s", "request/s")
    report("http_client_processor", client_time, "us/s", "call/s")


def measure_worker_poll(cell):
    """Bytes of a lease renewal, without HTTP headers, by running tasks."""
    url = cell.add_worker()
    points = []
    started = 0
    sequence = 1
    for count in TASK_COUNTS:
        starts = [{"task": f"job-1234/{i}", "attempt": 4294967296 + i,
                   "milli_processors": 1000, "memory_mib": 4096,
                   "accelerators": 0, "service": True, "payload": "{}",
                   "resume_checkpoint": ""} for i in range(started, count)]
        started = count
        lease = {"epoch": 1, "sequence": sequence, "lease_ms": 60000,
                 "start": starts}
        status, text = call("PUT", url, lease)
        if status != 200:
            raise RuntimeError(f"lease: {status} {text}")
        renewal = {"epoch": 1, "sequence": sequence + 1, "lease_ms": 60000,
                   "incarnation": json.loads(text)["incarnation"],
                   "clock_ms": json.loads(text)["clock_ms"]}
        sequence += 2
        _, text = call("PUT", url, renewal)
        points.append((count, len(json.dumps(renewal)) + len(text)))
    report("worker_poll_message", points, "bytes", "task")


def run_requests(build, controls):
    """Measures requests through one entry VM, and a worker's lease."""
    with tempfile.TemporaryDirectory(prefix="bench-cell-") as folder:
        cell = Cell(build, folder, controls)
        try:
            cell.add_entries(1)
            cell.add_runners(4)
            measure_requests(cell)
            measure_worker_poll(cell)
        finally:
            cell.stop()


def run(build, controls):
    with tempfile.TemporaryDirectory(prefix="bench-cell-") as folder:
        cell = Cell(build, folder, controls)
        try:
            figure("controls", controls, "processes")
            measure_entries(cell)
            measure_changes(cell)
            measure_runners(cell)
            measure_profiles(cell)
        finally:
            cell.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True)
    parser.add_argument("--controls", type=int, default=1)
    args = parser.parse_args()
    run_requests(args.build, args.controls)
    run(args.build, args.controls)


if __name__ == "__main__":
    main()
