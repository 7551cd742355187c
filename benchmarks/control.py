"""Benchmarks a cell of three control VMs and eight entry VMs, each a process:
time until a change is in force on all entry VMs, time without a leader after
the leader is killed, and resource usage of the idle daemons."""

import argparse
import json
import pathlib
import shutil
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "scripts" / "lib"))
sys.path.insert(0, str(ROOT / "benchmarks"))

from bench_cell import SAMPLE, call, wait_for  # noqa: E402
from masticwinch.cell import Cell  # noqa: E402
from masticwinch.layout import CellSize  # noqa: E402

CHANGES = 60
KILLS = 4
IDLE_SECONDS = 10
POLL_SECONDS = 0.005
PROFILE = {"requests": {"work_class": "URGENT", "deadline_ms": 5000}}


def print_figure(name, value, unit):
    """Prints one figure in the format that scripts/bench parses."""
    print(f"figure={name} value={value:.6g} unit={unit}", flush=True)


def percentile(values, fraction):
    """The value below which the given fraction of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def metrics(process):
    """Returns the unlabelled metrics of a process by name."""
    _, text = call("GET", process.urls["operators"] + "/metrics")
    return {name: float(value) for name, value in SAMPLE.findall(text)}


def put_profile(url, name):
    """Puts a profile; returns whether the cell accepted it."""
    return call("PUT", f"{url}/v1/profiles/{name}", PROFILE, timeout=10)[0] == 200


def measure_propagation(url):
    """Measures the time from submitting a change until all entry VMs apply it."""
    times = []
    for number in range(CHANGES):
        begin = time.monotonic()
        if not put_profile(url, f"change-{number}"):
            raise RuntimeError("a change was not accepted")
        while True:
            status, text = call("GET", f"{url}/v1/in-force")
            reply = json.loads(text) if status == 200 else {}
            accepted = int(reply.get("accepted_revision", 1))
            if int(reply.get("in_force_revision", 0)) >= accepted:
                break
            time.sleep(POLL_SECONDS)
        times.append((time.monotonic() - begin) * 1000)
    print_figure("in_force_everywhere_p50", percentile(times, 0.5), "ms")
    print_figure("in_force_everywhere_p99", percentile(times, 0.99), "ms")


def leader_of(cell):
    """Returns the leading control process, or None."""
    for process in cell.of_role("control"):
        if metrics(process).get("masticwinch_leader") == 1:
            return process
    return None


def measure_failover(cell, url):
    """Measures the time from killing the leader until a change is accepted again."""
    times = []
    for number in range(KILLS):
        wait_for(lambda: leader_of(cell), "a leader")
        leader = leader_of(cell)
        begin = time.monotonic()
        leader.kill()
        while not put_profile(url, f"death-{number}"):
            pass
        times.append(time.monotonic() - begin)
        cell.start_again(leader.name)
        cell.wait_until_healthy([leader])
    print_figure("without_leader_median", percentile(times, 0.5), "s")
    print_figure("without_leader_worst", max(times), "s")


def measure_idle(cell):
    """Measures traffic, processor time and memory of each daemon while idle."""
    processes = cell.of_role("control", "entry")
    before = [metrics(it) for it in processes]
    begin = time.monotonic()
    time.sleep(IDLE_SECONDS)
    after = [metrics(it) for it in processes]
    seconds = time.monotonic() - begin

    def rate(index, *names):
        return sum(after[index].get(it, 0) - before[index].get(it, 0)
                   for it in names) / seconds

    leads = [it.get("masticwinch_leader") == 1 for it in after]
    for role, chosen in (
            ("leader", [i for i, it in enumerate(leads) if it]),
            ("follower", [i for i, it in enumerate(processes)
                          if it.role == "control" and not leads[i]]),
            ("entry", [i for i, it in enumerate(processes)
                       if it.role == "entry"])):
        sent = max(rate(i, "masticwinch_messages_sent_bytes_total")
                   for i in chosen)
        received = max(rate(i, "masticwinch_messages_received_bytes_total")
                       for i in chosen)
        core = max(rate(i, "process_cpu_seconds_total") for i in chosen)
        memory = max(after[i].get("process_resident_memory_bytes", 0)
                     for i in chosen)
        print_figure(f"idle_{role}_sent", sent, "bytes_per_second")
        print_figure(f"idle_{role}_received", received, "bytes_per_second")
        print_figure(f"idle_{role}_core_share", core * 100, "percent")
        print_figure(f"memory_{role}", memory / 2**20, "MiB")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True)
    build = parser.parse_args().build
    folder = tempfile.mkdtemp(prefix="bench-control-", dir=ROOT / "build")
    cell = Cell.create(folder, build, CellSize(3, 8, 0, 0), {})
    try:
        cell.start()
        url = cell.of_role("entry")[0].urls["operators"]
        measure_idle(cell)
        measure_propagation(url)
        measure_failover(cell, url)
    finally:
        cell.stop()
        shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    main()
