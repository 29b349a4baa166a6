"""Stand-ins for the cases of review/: the project's programs as processes, clients, executors, the platform's
interface for machines, and a proxy. Standard library only; all addresses are loopback addresses.

The programs are started with the commands of deploy/system.toml. Everything else follows PROTOCOL.md.
"""

import asyncio
import json
import logging
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]

# The bounds of the small installations (SYSTEM.md).
BOUNDS = {"graceS": 6, "leaseMs": 3000, "maxHoldMs": 10000, "drainMs": 2000, "stopMs": 200, "contactMs": 3000,
          "gangTimeoutMs": 3000, "ackMs": 4000}
HEARTBEAT_S = 1.5


class CannotRun(Exception):
    """The case could not be set up."""


def now_ms():
    return int(time.time() * 1000)


class Record:
    """Writes what was sent, answered and run, one line each, to record.txt."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def write(self, who, what):
        line = f"{time.monotonic() - self.begin:8.3f} {who}: {what}"
        self.file.write(line + "\n")
        self.file.flush()

    def seconds(self):
        return time.monotonic() - self.begin


# ---------------------------------------------------------------------------------------------------------- HTTP

async def read_message(reader):
    """Returns (first line, headers, body) or None at the end of the channel."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0") or 0)
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


class Channel:
    """A channel to one address that is kept open between requests."""

    def __init__(self, address):
        self.address = address
        self.reader = None
        self.writer = None

    async def request(self, method, path, body=b"", headers=None, timeout=1.0):
        """Returns (status, headers, body). Raises OSError or asyncio.TimeoutError; the channel is closed then."""
        try:
            return await asyncio.wait_for(self._request(method, path, body, headers or {}), timeout)
        except (OSError, EOFError, asyncio.TimeoutError):
            self.close()
            raise

    async def _request(self, method, path, body, headers):
        if self.writer is None:
            host, port = self.address.rsplit(":", 1)
            self.reader, self.writer = await asyncio.open_connection(host, int(port))
        lines = {"Host": self.address, "Content-Type": "application/json", "Content-Length": str(len(body)), **headers}
        text = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in lines.items()) + "\r\n"
        self.writer.write(text.encode("latin-1") + body)
        await self.writer.drain()
        line, answered, content = await read_message(self.reader)
        if answered.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ")[1]), answered, content

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def call(address, method, path, body=b"", headers=None, timeout=1.0):
    """One request over a channel of its own. Returns (status, headers, body), or (0, {}, b"") without an answer."""
    channel = Channel(address)
    try:
        return await channel.request(method, path, body, headers, timeout)
    except (OSError, EOFError, asyncio.TimeoutError):
        return 0, {}, b""
    finally:
        channel.close()


class Server:
    """An HTTP server; handle(method, path, headers, body) returns (status, JSON object) or None for no answer."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()
        self.address = ""

    async def listen(self, host, port=0):
        self.server = await asyncio.start_server(self._serve, host, port)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self.address

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, path, _ = line.split(" ", 2)
                answer = await self.handle(method, path, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, content = answer
                data = json.dumps(content).encode() if content is not None else b""
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, EOFError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        """As the end of the process: nothing listens any more, and open channels are reset."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.server = None


class Proxy:
    """A channel-for-channel proxy to one address. A direction that is cut holds its bytes back, as a silent
    partition does, and lets them through when it heals."""

    def __init__(self, target):
        self.target = target
        self.open_to_target = asyncio.Event()
        self.open_to_client = asyncio.Event()
        self.heal()
        self.silence = asyncio.Event()  # of the channels that are open now
        self.server = None
        self.address = ""
        self.channels = 0

    def silence_open_channels(self):
        """Open channels carry nothing more, without a reset. New ones work."""
        self.silence.set()
        self.silence = asyncio.Event()
        silenced, self.channels = self.channels, 0
        return silenced

    def cut(self, to_target=True, to_client=True):
        if to_target:
            self.open_to_target.clear()
        if to_client:
            self.open_to_client.clear()

    def heal(self):
        self.open_to_target.set()
        self.open_to_client.set()

    async def listen(self, host):
        self.server = await asyncio.start_server(self._serve, host, 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self.address

    async def _serve(self, reader, writer):
        silence = self.silence
        try:
            # The opening of a channel needs both directions.
            await self.open_to_target.wait()
            await self.open_to_client.wait()
            host, port = self.target.rsplit(":", 1)
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
            self.channels += 1
            await asyncio.gather(self._pump(reader, target_writer, self.open_to_target, silence),
                                 self._pump(target_reader, writer, self.open_to_client, silence))
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        if not silence.is_set():
            self.channels -= 1

    @staticmethod
    async def _pump(reader, writer, is_open, silence):
        try:
            while True:
                data = await reader.read(65536)
                await is_open.wait()
                if silence.is_set():
                    return
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()

    def close(self):
        if self.server is not None:
            self.server.close()


# ------------------------------------------------------------------------------------------------- the programs

def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def commands_of_deploy_file():
    """Returns the command of each role, as it stands in the deploy file."""
    text = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
    return dict(re.findall(r'^\[roles\.(\w+)\]\nrun = "([^"]*)"', text, re.MULTILINE))


def lookup(settings, name):
    value = settings
    for part in name.split("."):
        value = value[int(part)] if isinstance(value, list) else value[part]
    if isinstance(value, list):
        return ",".join(str(item) for item in value)
    return str(value).lower() if isinstance(value, bool) else str(value)


class System:
    """Three control nodes and two entry nodes with the commands of the deploy file."""

    CONTROLS = 3
    ENTRIES = 2

    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.net = f"127.{random.randint(20, 200)}.{random.randint(1, 250)}"
        self.commands = commands_of_deploy_file()
        self.processes = {}
        self.platform = None
        self.control_port = free_port(f"{self.net}.1")
        self.front_port = free_port(f"{self.net}.11")
        self.ready_port = free_port(f"{self.net}.11")
        self.internal_port = free_port(f"{self.net}.1")
        self.controls = [f"{self.net}.{n + 1}:{self.control_port}" for n in range(self.CONTROLS)]
        self.fronts = [f"{self.net}.{n + 11}:{self.front_port}" for n in range(self.ENTRIES)]

    def settings(self, node, ip, bootstrap):
        return {
            "node": node, "ip": ip, "seeds": self.controls, "bootstrap": bootstrap,
            "internalPortRange": [self.internal_port, self.internal_port],
            "listen": {"control": f"{ip}:{self.control_port}", "front": f"{ip}:{self.front_port}",
                       "ready": f"{ip}:{self.ready_port}"},
            "dataDir": str(self.folder / f"data-{node}"), "faultTolerance": {"machines": 1},
            "cloudApi": {"address": self.platform}, "bounds": BOUNDS, "limits": {"maxFds": 4096},
        }

    def start(self, node, role, ip, bootstrap):
        settings = self.settings(node, ip, bootstrap)
        words = [re.sub(r"\{\{([\w.]+)\}\}", lambda found: lookup(settings, found[1]), word)
                 for word in self.commands[role].split()]
        if not (ROOT / words[0]).exists():
            raise CannotRun(f"{words[0]} is missing: build the deploy file first")
        log = open(self.folder / f"{node}.log", "ab")
        self.processes[node] = subprocess.Popen(words, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.record.write("script", f"started {node} ({role}) at {ip}")

    async def start_all(self, platform):
        self.platform = platform
        for number in range(self.CONTROLS):
            self.start(f"control-{number + 1}", "control", f"{self.net}.{number + 1}", True)
        for number in range(self.ENTRIES):
            self.start(f"entry-{number + 1}", "entry", f"{self.net}.{number + 11}", True)

    def signal(self, node, number):
        self.processes[node].send_signal(number)
        self.record.write("script", f"{signal.Signals(number).name} to {node}")

    def ended(self):
        return {node: process.poll() for node, process in self.processes.items() if process.poll() is not None}

    async def leader(self):
        """Returns the address of the control node that answers as the leader, or "" if none does."""
        for address in self.controls:
            status, _, _ = await call(address, "GET", "/api/wave-get/999999")
            if status in (200, 404):
                return address
        return ""

    def node_at(self, address):
        return f"control-{self.controls.index(address) + 1}"

    async def put_manifest(self, manifest, wait_s=15):
        """Sends a manifest as the operator does, until it is acknowledged."""
        body = json.dumps(manifest).encode()
        end = time.monotonic() + wait_s
        while time.monotonic() < end:
            for address in self.controls:
                target = address
                for _ in range(3):
                    status, headers, _ = await call(target, "PUT", "/api/config", body)
                    if status != 307:
                        break
                    target = headers["location"].split("/")[2]
                if status == 200:
                    self.record.write("operator", f"manifest {manifest['version']} acknowledged by {target}")
                    return True
            await asyncio.sleep(0.2)
        return False

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            target = pathlib.Path(os.environ["KEEP_LOGS"])
            target.mkdir(parents=True, exist_ok=True)
            for log in self.folder.glob("*.log"):
                shutil.copy(log, target)
        shutil.rmtree(self.folder, ignore_errors=True)


def manifest(version, routes, services):
    """routes: (name, host, prefix, service, maxAttempts)."""
    return {
        "version": version,
        "routes": [{"name": name, "host": host, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000,
                    "targetLatencyMs": 600, "priority": 0, "service": service, "maxAttempts": attempts,
                    "stretch": 1.6} for name, host, prefix, service, attempts in routes],
        "services": [{"name": name, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False,
                      "admissionCheck": False, "standby": False} for name in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    }


# ------------------------------------------------------------------------------------------------------- client

class Client:
    def __init__(self, system, record, host):
        self.system = system
        self.record = record
        self.host = host

    async def send(self, method, path, body=None, timeout=3.0, front=None):
        address = front or random.choice(self.system.fronts)
        data = json.dumps(body).encode() if body is not None else b""
        headers = {"Host": self.host, "Deadline-Ms": str(int(timeout * 1000))}
        status, _, content = await call(address, method, path, data, headers, timeout)
        text = f"{method} {path} -> {status or 'no answer'}"
        if content:
            text += " " + content.decode()
        self.record.write("client", text)
        return status, content

    async def submit(self, path, job, wait_s=10):
        """Sends a job until it is accepted, as clients do after no answer, a 502 or a 504, or later after a 503."""
        end = time.monotonic() + wait_s
        while time.monotonic() < end:
            status, _ = await self.send("POST", path, job)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, path):
        status, content = await self.send("GET", path)
        if status == 200:
            return json.loads(content).get("state", "")
        return f"({status})"


# ----------------------------------------------------------------------------------------------------- executor

class Executor:
    """An executor by PROTOCOL.md, "Running work items" and "Service discovery". The spec of a job gives the run time
    of its work items in milliseconds, 0 for one that lasts."""

    def __init__(self, record, name, service, controls, cpu=16000, rack="r1-1", runs=None):
        self.record = record
        self.name = name
        self.service = service
        self.controls = list(controls)
        self.cpu = cpu
        self.rack = rack
        # All executors of a case share this list of [work item, run, executor, begin, end, how].
        self.runs = runs if runs is not None else []
        self.server = Server(self.handle)
        self.address = ""
        self.routes = {}  # address -> address of a proxy in front of it
        self.channels = {}
        self.state = "ready"
        self.remaining_ms = None
        self.tasks = []
        self.is_up = False

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000)

    async def begin(self, host, port=0, advertise=None):
        self.began = time.monotonic() - random.randint(1, 60)
        self.born = now_ms()
        self.seq = 0
        self.fence = 0
        self.lease_ms = 0
        self.running = {}  # work item -> [run, row of self.runs, timer]
        self.past = {}  # work item -> highest run that was stopped or ended
        self.ended = []
        self.last_end = 0
        self.lapsed_through = 0
        self.noted = []
        self.changed = asyncio.Event()
        self.is_up = True
        await self.server.listen(host, port)
        self.address = advertise or self.server.address
        self.tasks = [asyncio.create_task(self.check_lease()), asyncio.create_task(self.check_in_forever())]
        self.record.write(self.name, f"begins at {self.address}, born {self.born}")

    # ---- runs

    def finish(self, item, how):
        run, row, timer = self.running.pop(item)
        if timer is not None:
            timer.cancel()
        row[4], row[5] = time.monotonic(), how
        self.past[item] = max(self.past.get(item, 0), run)
        self.last_end += 1
        self.ended.append([self.last_end, item, run, how, ""])
        self.record.write(self.name, f"end {self.last_end}: {item} run {run} {how}")
        self.changed.set()

    async def check_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.clock_ms() > self.lease_ms:
                for item in list(self.running):
                    self.finish(item, "lapsed")
                self.lapsed_through = self.last_end

    def extend(self, body):
        deadline = body.get("deadlineMs", 0)
        self.lease_ms = max(self.lease_ms, min(deadline, self.clock_ms() + BOUNDS["maxHoldMs"]))

    async def handle(self, method, path, headers, body):
        if path == "/health":
            return 200, {}
        message = json.loads(body) if body else {}
        if headers.get("expect-instance", self.name) != self.name:
            self.record.write(self.name, f"{path} for {headers['expect-instance']}: 421")
            return 421, {"clockMs": self.clock_ms()}
        if message.get("fence", 0) < self.fence:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.fence = message.get("fence", 0)
        if path == "/api/run-start":
            return self.start(message)
        if path == "/api/run-stop":
            return self.stop(message)
        if path == "/api/hold":
            return await self.hold(message)
        if path == "/api/pace":
            return 200, {"clockMs": self.clock_ms()}
        return 400, {"clockMs": self.clock_ms()}

    def start(self, message):
        item, run = message["task"], message["run"]
        reason = None
        if item in self.running and self.running[item][0] == run:
            return 200, {"clockMs": self.clock_ms()}
        if item in self.running or self.past.get(item, 0) >= run:
            reason = "old"
            self.extend(message)
        elif message.get("deadlineMs", 0) <= self.clock_ms():
            reason = "late"
        if reason:
            self.record.write(self.name, f"start of {item} run {run}: 409 {reason}")
            return 409, {"clockMs": self.clock_ms(), "reason": reason}
        self.extend(message)
        row = [item, run, self.name, time.monotonic(), None, ""]
        self.runs.append(row)
        self.running[item] = [run, row, self.plan_end(item, run, message)]
        self.record.write(self.name, f"start of {item} run {run}")
        return 200, {"clockMs": self.clock_ms()}

    def plan_end(self, item, run, message):
        """Arranges the end of a run by itself. Returns a timer, or None for a run that lasts."""
        work_ms = int(message["spec"].split()[0])
        if work_ms == 0:
            return None
        return asyncio.get_running_loop().call_later(work_ms / 1000, lambda: self.end_by_itself(item, run, "done"))

    def end_by_itself(self, item, run, how):
        if self.is_up and item in self.running and self.running[item][0] == run and self.clock_ms() <= self.lease_ms:
            self.finish(item, how)

    def stop(self, message):
        item, run = message["task"], message["run"]
        self.past[item] = max(self.past.get(item, 0), run)
        self.record.write(self.name, f"stop of {item} run {run}")
        if item in self.running and self.running[item][0] <= run:
            self.finish(item, "stopped")
        return 200, {"clockMs": self.clock_ms()}

    async def hold(self, message):
        self.extend(message)
        cursor = message.get("ackCursor", 0)
        for row in [row for row in self.ended if row[0] <= cursor]:
            self.ended.remove(row)
            if row[0] > self.lapsed_through:
                self.noted.append(row)
            self.record.write(self.name, f"end {row[0]} taken note of")
        wait_s = min(message.get("waitMs", 0), 2000) / 1000
        if wait_s > 0 and not self.ended:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        running = [[item, run, "", 100, 0] for item, (run, _, _) in self.running.items()]
        return 200, {"clockMs": self.clock_ms(), "born": self.born, "running": running, "ended": self.ended[:500]}

    # ---- check-ins

    def report(self):
        self.seq += 1
        body = {"service": self.service, "address": self.address, "zone": "z1", "version": "v1", "slots": 8,
                "state": self.state, "coldLeftMs": 0, "capacity": {"cpu": self.cpu, "memMb": 262144, "gpu": 0},
                "labels": ["a", self.rack], "clockMs": self.clock_ms(), "seq": self.seq, "born": self.born}
        if self.state == "draining":
            body["remainingMs"] = BOUNDS["drainMs"]
        return body

    def channel(self, address):
        if address not in self.channels:
            self.channels[address] = Channel(self.routes.get(address, address))
        return self.channels[address]

    async def tell(self, method, body):
        """Sends a check-in or a leave, to the next node if it has no answer within a second. Follows a 307 twice."""
        data = json.dumps(body).encode() if body is not None else b""
        path = f"/api/instances/{self.name}"
        for _ in range(len(self.controls)):
            address = self.controls[0]
            status = 0
            try:
                for _ in range(3):
                    status, headers, content = await self.channel(address).request(
                        method, path, data, {"Host": address})
                    if status != 307:
                        break
                    address = headers["location"].split("/")[2]
            except (OSError, EOFError, asyncio.TimeoutError):
                status = 0
            if 200 <= status < 300:
                named = json.loads(content).get("heartbeatAddr") if content else None
                if named and named in self.controls:
                    self.controls.remove(named)
                    self.controls.insert(0, named)
                return address
            self.record.write(self.name, f"{method} at {address}: {status or 'no answer'}")
            self.controls.append(self.controls.pop(0))
        return None

    async def check_in_forever(self):
        while True:
            await self.tell("PUT", self.report())
            await asyncio.sleep(HEARTBEAT_S)

    async def drain(self):
        """Reports that it drains until that is acknowledged."""
        self.state = "draining"
        while not (acknowledged := await self.tell("PUT", self.report())):
            await asyncio.sleep(0.1)
        self.record.write(self.name, f"draining, acknowledged by {acknowledged}")
        return acknowledged

    def end_process(self, why):
        """The process ends: everything on it ends too, and nothing listens any more."""
        if not self.is_up:
            return
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        for item in list(self.running):
            _, row, timer = self.running.pop(item)
            if timer is not None:
                timer.cancel()
            row[4], row[5] = time.monotonic(), why
        self.server.close()
        for channel in self.channels.values():
            channel.close()
        self.record.write(self.name, f"ends ({why})")


class Machines:
    """The platform's interface for machines: lists the executors, one machine each, and carries out nothing."""

    def __init__(self, record, executors):
        self.record = record
        self.executors = executors
        self.server = Server(self.handle)

    async def listen(self, host):
        return await self.server.listen(host)

    async def handle(self, method, path, headers, body):
        if method == "GET" and path.startswith("/api/machines"):
            rows = [{"machine": f"m-{e.name}", "pool": e.service, "state": "up" if e.is_up else "down", "zone": "z1",
                     "labels": ["a", e.rack], "capacity": {"cpu": e.cpu, "memMb": 262144, "gpu": 0},
                     "id": e.name} for e in self.executors]
            return 200, {"machines": rows, "nextToken": None}
        self.record.write("platform", f"{method} {path} {body.decode()}: 409 busy")
        return 409, {"reason": "busy"}


# ------------------------------------------------------------------------------------------------------- checks

def find_twice(runs, noted=()):
    """Rule TWICE: two runs of one work item at the same time, or a start after a run has ended done."""
    broken = []
    end = time.monotonic()
    for number, first in enumerate(runs):
        for second in runs[number + 1:]:
            if first[0] != second[0]:
                continue
            overlap = min(first[4] or end, second[4] or end) - max(first[3], second[3])
            if overlap > 0:
                broken.append(f"{first[0]}: run {first[1]} on {first[2]} and run {second[1]} on {second[2]} "
                              f"at the same time for {overlap:.3f} s")
    for row in noted:
        for run in runs:
            if run[0] == row[1] and run[1] > row[2] and row[3] == "done":
                broken.append(f"{run[0]}: run {run[1]} started although run {row[2]} ended done, taken note of")
    return broken


def main(folder, play):
    """Runs play(record, trouble), which returns the list of breaks. Exits with 1 for a break, 0 for none, 2 if the
    case could not run."""
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("script", "with the disruption" if trouble else "TROUBLE=0: without the disruption")

    async def limited():
        return await asyncio.wait_for(play(record, trouble), 115)

    try:
        broken = asyncio.run(limited())
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record.write("script", f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    for line in broken:
        record.write("RULE BROKEN", line)
        print("RULE BROKEN:", line)
    if not broken:
        record.write("script", "the rule held")
        print("the rule held")
    sys.exit(1 if broken else 0)
