"""A cell of the two daemons of the deploy file, with simulated runners, clients and
an operator, for the cases of the second review. Standard library only; all traffic
stays on loopback addresses."""

import http.client
import http.server
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse
import uuid

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent

# Bounds of sites/coulee-prairie.toml, in milliseconds.
CONTACT_MS = 3000
HEARTBEAT_MS = 1500
VISIBLE_MS = 3000
DRAIN_MS = 2000
MAX_HOLD_MS = 10000
# After this time a runner closes a connection on which no call comes.
IDLE_SECONDS = 60

HOST = "nony24.example"
PREFIX = "/lohu930/"
SERVICE = "pricewire"


def configuration(version=7, **route):
    """Returns a configuration with one queue without advice."""
    return {
        "version": version,
        "routes": [{"name": "r-3hwrr6x", "host": HOST, "path_prefix": PREFIX,
                    "kind": "non_idempotent", "timeout_ms": 3000,
                    "target_latency_ms": 3000, "priority": 1, "service": SERVICE,
                    "max_attempts": 4, "stretch": 4.0} | route],
        "services": [{"name": SERVICE, "health_path": "/health",
                      "max_connections": 64, "protocol": "h1", "tls": False,
                      "admission_control": False, "spare": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


class Unusable(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def write(self, kind, **fields):
        """Adds a line."""
        at = time.monotonic() - self.began
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self.lock:
            self.file.write(f"{at:8.3f} {kind} {text}".rstrip() + "\n")
            self.file.flush()


TAKEN_PORTS = set()


def free_port(host):
    """Returns a port that is free on a loopback address and that this process has
    not chosen before."""
    while True:
        with socket.socket() as it:
            it.bind((host, 0))
            port = it.getsockname()[1]
        if port not in TAKEN_PORTS:
            TAKEN_PORTS.add(port)
            return port


def call(method, address, path, body=None, headers=None, timeout=1.0):
    """Makes one call on a new connection; returns the status, the headers and the
    parsed body. The status is None if there was no complete answer."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        text = None if body is None else json.dumps(body)
        more = {"Content-Type": "application/json"} if text else {}
        connection.request(method, path, text, more | (headers or {}))
        answer = connection.getresponse()
        raw = answer.read()
        return answer.status, dict(answer.getheaders()), (
            json.loads(raw) if raw else None)
    except (OSError, http.client.HTTPException, ValueError):
        return None, {}, None
    finally:
        connection.close()


class QuietServer(http.server.ThreadingHTTPServer):
    """An HTTP server that reports no broken connections. It closes connections beyond
    a number, and those that have been idle for long."""

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, address, handler, max_connections=None):
        self.max_connections = max_connections
        self.open = set()
        self.refused = 0
        super().__init__(address, handler)

    def verify_request(self, request, client_address):
        """Accepts a connection if there is room for it."""
        if self.max_connections and len(self.open) >= self.max_connections:
            self.refused += 1
            return False
        self.open.add(request)
        return True

    def shutdown_request(self, request):
        """Closes a connection."""
        self.open.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        """Reports all errors but broken connections."""
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)


class Daemon:
    """A process of one role of the deploy file."""

    def __init__(self, role, folder, settings):
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            command = tomllib.load(file)["roles"][role]["run"].split()
        self.name = settings["name"]
        self.settings = settings
        self.file = folder / f"{self.name.replace(':', '-')}.json"
        self.log = self.file.with_suffix(".log")
        self.command = [str(ROOT / command[0])] + [
            str(self.file) if it == "/etc/masticwinch/settings.yaml" else it
            for it in command[1:]]
        self.process = None
        self.expected_to_run = True
        self.link = None

    def start(self):
        """Starts the process."""
        self.file.write_text(json.dumps(self.settings))
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(self.command, stdout=log, stderr=log,
                                            cwd=ROOT)

    def is_running(self):
        """Returns whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        """Sends a signal to the process."""
        self.process.send_signal(number)

    def end(self):
        """Ends the process."""
        if self.is_running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Cell:
    """Five control VMs and two entry VMs, each on a loopback address of its own. If
    `link` is given, other daemons reach each control VM through one: it takes the
    address, that of the daemon, and the record."""

    def __init__(self, record, controls=5, entries=2, link=None):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="masticwinch-review-"))
        generator = random.SystemRandom()
        self.network = f"127.{generator.randint(2, 250)}.{generator.randint(1, 250)}"
        first = f"{self.network}.1"
        control_port, internal_port = free_port(first), free_port(first)
        control_metrics, entry_metrics = free_port(first), free_port(first)
        callers, readiness = free_port(first), free_port(first)
        self.advice = f"{self.network}.200:{free_port(f'{self.network}.200')}"
        addresses = [f"{self.network}.{i}" for i in range(1, controls + 1)]
        self.control_addresses = [f"{it}:{control_port}" for it in addresses]
        seeds = [{"control_address": it} for it in self.control_addresses[:3]]

        def shared(name, ip, zone, metrics):
            return {"cluster": "masticwinch", "name": name, "data_center": zone,
                    "events_file": "-",
                    "internal_address": f"tcp://{ip}:{internal_port}",
                    "metrics_address": f"{ip}:{metrics}",
                    "advice_address": self.advice, "link_mbps": 1000.0,
                    "seed_internal_port": internal_port, "seeds": seeds}

        self.controls = []
        for i, ip in enumerate(addresses):
            data = self.folder / f"data-{i}"
            data.mkdir()
            settings = shared(self.control_addresses[i], ip, f"z{i % 3}",
                              control_metrics)
            settings |= {"control_address": self.control_addresses[i],
                         "data_folder": str(data), "shared_data_folder": True,
                         "set_damaged_folder_aside": True, "first_start": True,
                         "longest_lease_ms": MAX_HOLD_MS}
            control = Daemon("control", self.folder, settings)
            if link:
                own = f"{ip}:{free_port(ip)}"
                settings |= {"announced_address": settings["internal_address"],
                             "internal_address": f"tcp://{own}"}
                control.link = link(f"{ip}:{internal_port}", own, record)
            self.controls.append(control)
        self.entries = []
        for i in range(entries):
            ip = f"{self.network}.{100 + i}"
            settings = shared(f"frontend-{i}", ip, f"z{i % 3}", entry_metrics)
            settings |= {"callers_address": f"{ip}:{callers}",
                         "readiness_address": f"{ip}:{readiness}"}
            self.entries.append(Daemon("entry", self.folder, settings))
        for it in self.daemons():
            if not pathlib.Path(it.command[0]).exists():
                shutil.rmtree(self.folder, ignore_errors=True)
                raise Unusable(f"{pathlib.Path(it.command[0]).name} isn't built")
        for it in self.daemons():
            it.start()

    def daemons(self):
        """Returns all daemons."""
        return self.controls + self.entries

    def close(self):
        """Ends all processes."""
        for it in self.daemons():
            it.end()
        shutil.rmtree(self.folder, ignore_errors=True)

    def runner_address(self, i):
        """Returns a free address for a runner."""
        ip = f"{self.network}.{201 + i}"
        return f"{ip}:{free_port(ip)}"

    def to_leader(self, method, path, body=None, timeout=1.0):
        """Makes an operator's call; follows a redirect to the leader."""
        for address in self.control_addresses:
            status, headers, reply = call(method, address, path, body,
                                          timeout=timeout)
            if status == 307:
                leader = urllib.parse.urlsplit(headers["Location"]).netloc
                status, _, reply = call(method, leader, path, body, timeout=timeout)
            if status not in (None, 307, 500, 503):
                return status, reply
        return None, None

    def configure(self, body, within=30):
        """Sends a configuration until it is acknowledged."""
        def sent():
            status, _ = self.to_leader("POST", "/-/Configuration.Replace", body)
            self.record.write("operator", sent=f"version-{body['version']}",
                              answered=status)
            return status == 200
        wait_until(sent, "the configuration is acknowledged", within, 0.25)

    def leader(self):
        """Returns the control VM that leads, or None."""
        for it in self.controls:
            if it.is_running() and call(
                    "GET", it.name, "/-/Configuration.Read", timeout=0.5)[0] == 200:
                return it
        return None

    def request(self, method, path, body=None, entry=0, timeout=3.0, record=True):
        """Sends a caller's request; returns the status and the body."""
        address = self.entries[entry].settings["callers_address"]
        headers = {"Host": HOST, "X-Deadline-Ms": str(int(timeout * 1000))}
        status, _, reply = call(method, address, PREFIX + path, body, headers,
                                timeout)
        if record:
            self.record.write("client", method=method, path=PREFIX + path,
                              entry=entry, answered=status,
                              body=json.dumps(reply, separators=(",", ":")))
        return status, reply

    def submit(self, steps, specification, within=20):
        """Submits a job until it is accepted; returns its id and when it was."""
        job = uuid.uuid4().hex[:16]
        body = {"specification": specification, "steps": steps}
        end = time.monotonic() + within
        i = 0
        while time.monotonic() < end:
            if self.request("POST", job, body, i % len(self.entries))[0] == 200:
                return job, time.monotonic()
            i += 1
            time.sleep(0.1)
        raise Unusable(f"{job} isn't accepted")


def wait_until(condition, what, within=30, interval=0.05):
    """Waits until a condition holds."""
    end = time.monotonic() + within
    while not condition():
        if time.monotonic() > end:
            raise Unusable(f"in {within} s it didn't happen that {what}")
        time.sleep(interval)


class Run:
    """A run of a task; its specification is the work in seconds."""

    def __init__(self, number, cpu, seconds):
        self.number = number
        self.cpu = cpu
        self.seconds = seconds
        self.ends_at = time.monotonic() + seconds


class Runner:
    """A runner as PROTOCOL.md describes it. `cpu_of` tells what a task requests."""

    def __init__(self, record, name, address, controls, cpu=32000, labels=("a", "r1"),
                 cpu_of=lambda task: 0, on_start=lambda runner, task, run: None,
                 max_connections=None, start_seconds=0.0):
        self.record = record
        self.base = name
        self.name = name
        self.address = address
        self.controls = list(controls)
        self.cpu = cpu
        self.labels = list(labels)
        self.cpu_of = cpu_of
        self.on_start = on_start
        # How long it takes to start a run, before the order is answered.
        self.start_seconds = start_seconds
        # If set, start orders get no answer and are carried out this much later.
        self.late_seconds = None
        self.on_late = lambda runner: None
        self.lock = threading.Condition()
        self.life = 0
        self.state = "ready"
        # Whether the runner has no power: it says nothing.
        self.dark = False
        # Whether nothing passes between it and the system; what is on its way
        # arrives when the cut ends.
        self.is_cut = False
        self.target = None
        self.next_control = 0
        self.acknowledged_at = None
        self.holds = 0
        # How the runs of all its lives have ended.
        self.all_ends = []
        self.begin_life()
        outer = self

        class Handler(http.server.BaseHTTPRequestHandler):
            """Answers orders."""

            protocol_version = "HTTP/1.1"
            timeout = IDLE_SECONDS

            def do_GET(self):
                """Answers a health check."""
                self.reply(200, {})

            def do_POST(self):
                """Answers an order."""
                length = int(self.headers.get("Content-Length", 0))
                body = json.loads(self.rfile.read(length) or b"{}")
                life = outer.life
                if not outer.passes(life):
                    self.close_connection = True
                    return
                if self.path == "/-/run-start" and outer.late_seconds is not None:
                    outer.carry_out_late(body)
                    while outer.life == life:
                        time.sleep(0.01)
                    self.close_connection = True
                    return
                status, reply = outer.carry_out(
                    self.path, body, self.headers.get("X-Expected-Instance"))
                if self.path == "/-/run-start":
                    time.sleep(outer.start_seconds)
                if not outer.passes(life):
                    self.close_connection = True
                    return
                self.reply(status, reply)

            def reply(self, status, body):
                """Sends an answer."""
                raw = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(raw)))
                self.end_headers()
                self.wfile.write(raw)

            def log_message(self, *_):
                """Writes no access log."""

        host, port = address.split(":")
        self.server = QuietServer((host, int(port)), Handler, max_connections)
        self.threads = [threading.Thread(target=it, daemon=True) for it in (
            lambda: self.server.serve_forever(0.05), self.work, self.report)]
        for it in self.threads:
            it.start()

    def begin_life(self):
        """Begins a life that knows nothing of a former one."""
        self.life += 1
        self.name = self.base if self.life == 1 else f"{self.base}x{self.life}"
        self.born_at = time.monotonic()
        self.born = int(time.time() * 1000)
        self.token = 0
        self.running = {}
        self.highest = {}
        self.ended = []
        self.ends = 0
        self.until = 0
        self.sequence = 0
        self.state = "ready"

    def passes(self, life):
        """Waits while the runner is cut off. Returns False if it has no power or its
        life is over, so that an order or an answer is lost."""
        while self.is_cut and self.life == life:
            time.sleep(0.01)
        while self.dark and self.life == life:
            time.sleep(0.01)
        return self.life == life

    def clock_ms(self):
        """Returns the time of the runner's clock."""
        return int((time.monotonic() - self.born_at) * 1000) + 1

    def lose_power(self):
        """Ends the life; nothing answers until `restart`."""
        with self.lock:
            self.dark = True
            for task, run in self.running.items():
                self.record.write("lost", runner=self.name, task=task, run=run.number)
            self.running.clear()
            self.lock.notify_all()
        self.record.write("power-off", runner=self.name)

    def restart(self, same_name=False):
        """Begins the next life, under a new name or the one that it had."""
        with self.lock:
            name = self.name
            self.begin_life()
            self.name = name if same_name else self.name
            self.dark = False
        self.record.write("power-on", runner=self.name)

    def used(self):
        """Returns the cpu of all that runs or is being stopped."""
        return sum(it.cpu for it in self.running.values())

    def work(self):
        """Ends runs whose work is done or whose lease has lapsed."""
        while True:
            time.sleep(0.01)
            with self.lock:
                lapsed = self.clock_ms() > self.until
                now = time.monotonic()
                for task, run in list(self.running.items()):
                    if lapsed:
                        self.end(task, "lapsed")
                    elif run.ends_at <= now:
                        self.end(task, "done")

    def end(self, task, how):
        """Ends a run."""
        run = self.running.pop(task)
        self.ends += 1
        self.ended.append([self.ends, task, run.number, how, ""])
        self.all_ends.append(how)
        self.record.write("end", runner=self.name, task=task, run=run.number, how=how)
        self.lock.notify_all()

    def heartbeat_body(self):
        """Returns the next heartbeat."""
        with self.lock:
            self.sequence += 1
            return {"service": SERVICE, "address": self.address, "zone": "z0",
                    "version": "v1", "slots": 8, "state": self.state,
                    "cold_remaining_ms": 0, "sequence": self.sequence,
                    "capacity": {"cpu": self.cpu, "memory_limit_mb": 131072,
                                 "gpus": 0},
                    "labels": self.labels, "clock_ms": self.clock_ms(),
                    "born": self.born}

    def report(self):
        """Sends heartbeats."""
        while True:
            if not self.dark:
                self.heartbeat()
            time.sleep(HEARTBEAT_MS / 1000)

    def heartbeat(self):
        """Sends a heartbeat to the address of the last answer, else to the next
        daemon, until it is acknowledged; gives up after a round."""
        for _ in range(len(self.controls) + 1):
            if self.dark:
                return
            address = self.target
            if address is None:
                address = self.controls[self.next_control % len(self.controls)]
                self.next_control += 1
            if self.beat(address):
                return

    def beat(self, address):
        """Sends one heartbeat; returns whether it was acknowledged."""
        body = self.heartbeat_body()
        path = f"/-/Instances.Heartbeat/{self.name}"
        if self.is_cut:
            time.sleep(1.0)
            status, reply = None, None
        else:
            status, headers, reply = call("POST", address, path, body)
            for _ in range(2):
                if status != 307:
                    break
                address = urllib.parse.urlsplit(headers["Location"]).netloc
                status, headers, reply = call("POST", address, path, body)
        self.record.write("heartbeat", runner=self.name, to=address,
                          sequence=body["sequence"], state=body["state"],
                          cpu=body["capacity"]["cpu"], answered=status)
        if status is not None and 200 <= status < 300:
            self.target = (reply or {}).get("heartbeat_address", self.target)
            self.acknowledged_at = time.monotonic()
            return True
        self.target = None
        return False

    def carry_out(self, path, body, instance):
        """Carries out an order; returns the status and the answer."""
        with self.lock:
            if instance is not None and instance != self.name:
                return 421, {"clock_ms": self.clock_ms()}
            token = body.get("fencing_token", 0)
            if token < self.token:
                return 409, {"reason": "fence", "clock_ms": self.clock_ms()}
            self.token = token
            deadline = min(body.get("deadline_ms", 0), self.clock_ms() + MAX_HOLD_MS)
            self.until = max(self.until, deadline)
            if path == "/-/run-start":
                status, reply = self.start(body)
            elif path == "/-/run-stop":
                status, reply = self.stop(body)
            elif path == "/-/hold":
                status, reply = self.hold(body)
            else:
                status, reply = 400, {}
            return status, reply | {"clock_ms": self.clock_ms(), "born": self.born}

    def carry_out_late(self, body):
        """Carries out a start order later, also if another life has begun."""
        self.record.write("order-left-unanswered", runner=self.name,
                          task=body["task"], run=body["run"])
        self.on_late(self)

        def carry_out():
            if not self.dark:
                self.carry_out("/-/run-start", body, self.name)

        timer = threading.Timer(self.late_seconds, carry_out)
        timer.daemon = True
        timer.start()

    def start(self, body):
        """Starts a run."""
        task, number = body["task"], body["run"]
        if task in self.running and self.running[task].number == number:
            return 200, {}
        if number <= self.highest.get(task, 0):
            return 409, {"reason": "old"}
        if body.get("deadline_ms", 0) <= self.clock_ms():
            return 409, {"reason": "late"}
        self.highest[task] = number
        self.running[task] = Run(number, self.cpu_of(task),
                                 float(body["specification"]))
        self.record.write("start", runner=self.name, task=task, run=number,
                          used=self.used(), cpu=self.cpu)
        self.on_start(self, task, number)
        return 200, {}

    def stop(self, body):
        """Stops a run."""
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        if task in self.running and self.running[task].number <= number:
            self.end(task, "stopped")
        return 200, {}

    def hold(self, body):
        """Lists running and ended runs; waits for an end if asked to."""
        self.holds += 1
        cursor = body.get("ack_cursor", 0)
        self.ended = [it for it in self.ended if it[0] > cursor]
        if not self.ended and body.get("wait_ms", 0) > 0:
            self.lock.wait_for(lambda: self.ended,
                               body["wait_ms"] / 1000)
        running = [[task, it.number, "", 100, it.cpu]
                   for task, it in self.running.items()]
        return 200, {"running": running, "ended": self.ended[:500]}


class HeldLink:
    """The link between a runner and a control VM while it is cut: it holds what is
    sent until the cut ends, and delivers it then."""

    def __init__(self, address, target, record):
        self.address = address
        self.target = target
        self.record = record
        self.released = threading.Event()
        host, port = address.split(":")
        self.listener = socket.create_server((host, int(port)), backlog=64)
        threading.Thread(target=self.accept, daemon=True).start()

    def release(self):
        """Ends the cut."""
        self.released.set()
        self.record.write("cut-ends", link=self.address, to=self.target)

    def accept(self):
        """Accepts connections."""
        while True:
            caller, _ = self.listener.accept()
            threading.Thread(target=self.hold, args=(caller,), daemon=True).start()

    def hold(self, caller):
        """Holds what one caller sends, then delivers it and returns the answer."""
        held = b""
        caller.settimeout(0.02)
        while not self.released.is_set():
            try:
                data = caller.recv(65536)
            except TimeoutError:
                continue
            except OSError:
                break
            if not data:
                break
            held += data
        self.released.wait()
        try:
            host, port = self.target.split(":")
            with socket.create_connection((host, int(port)), timeout=1) as server:
                server.sendall(held)
                answer = server.recv(65536)
            self.record.write("delivered", to=self.target, bytes=len(held),
                              answered=answer.split(b"\r\n")[0].decode())
            caller.sendall(answer)
        except OSError:
            # The runner has given the call up, or the control VM is gone.
            pass
        caller.close()


def start_runners(cell, count, on_start=lambda runner, task, run: None, **more):
    """Starts runners and waits until the leader has called each. `more` holds
    functions of the runner's number that return further arguments."""
    runners = []
    for i in range(count):
        arguments = {name: function(i) for name, function in more.items()}
        runners.append(Runner(cell.record, f"i-{i}", cell.runner_address(i),
                              cell.control_addresses, on_start=on_start,
                              **arguments))
    return runners


def wait_for_calls(runners):
    """Waits until a leader has called each runner."""
    wait_until(lambda: all(it.token > 0 for it in runners),
               "the leader has called every runner")


def stop_all(*_):
    """Ends the case on SIGTERM, so that its processes end."""
    raise Unusable("ended by a signal")


def run_case(folder, case, link=None):
    """Runs a case: `case` takes a cell and whether there is trouble, and returns what
    broke the rule, nothing if it held. Exits with 1 if the rule was broken, 0 if it
    held, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, stop_all)
    signal.signal(signal.SIGINT, stop_all)
    record = Record(pathlib.Path(folder) / "record.txt")
    cell = None
    try:
        cell = Cell(record, link=link)
        broken = case(cell, trouble)
        for it in cell.daemons():
            if it.expected_to_run and not it.is_running():
                raise Unusable(f"{it.name} has ended by itself")
    except Exception as error:  # pylint: disable=broad-except
        record.write("unusable", reason=repr(error))
        print(f"could not run: {error!r}")
        broken = None
    finally:
        if cell:
            cell.close()
    if broken is None:
        result = 2
    else:
        for it in broken:
            record.write("broken", what=it)
        print("\n".join(broken[:5]) or "the rule held")
        result = 1 if broken else 0
    record.write("result", trouble=int(trouble), exit=result)
    sys.stdout.flush()
    # Threads of the runners may still wait for their peers.
    os._exit(result)
