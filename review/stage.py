"""A small deployment on loopback addresses, for the cases 6 to 10.

The daemons run as separate processes, with the command of the deploy file,
its settings template and what its build has put into target/deps. The store
is the project's own stand-in, also a separate process. Workers and clients
are small stand-ins in the script's process. Python's standard library is all
that is used.

The file of an earlier review, harness.py, is not used.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}.1"
CALLER_HOST = "mesh.example"
ZONES = ("shotton", "queensferry", "sealand")
HELD, BROKEN, CANNOT_RUN = 0, 1, 2

#: Bounds of colyn-mesh, in seconds.
CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0
DRAIN_S = 2.0
HEARTBEAT_S = 1.5
BOUNDS = {
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetMinRetries": 56,
    "graceS": 6,
}


class CannotRun(Exception):
    """The case could not be set up."""


def find_port():
    """Return a TCP port below the ephemeral range that is free now."""
    while True:
        port = random.randint(11_000, 31_000)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return port


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def render(template, fields):
    """Fill in the placeholders and sections of deploy/settings.json5."""

    def look_up(path):
        value = fields
        for part in path.split("."):
            if value is None:
                return None
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part)
        return value

    def replace_section(match):
        return match.group(2) if look_up(match.group(1)) else ""

    def replace_value(match):
        value = look_up(match.group(1))
        if match.group(2):
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
        replace_section,
        template,
        flags=re.S,
    )
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", replace_value, text)


async def read_message(reader):
    """Read a head; return the start line and the fields in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    start, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return start, fields


async def read_body(reader, fields):
    """Read a body that has a length or comes in chunks."""
    if "chunked" not in fields.get("transfer-encoding", "").lower():
        return await reader.readexactly(int(fields.get("content-length", 0)))
    body = b""
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        body += (await reader.readexactly(size + 2))[:-2]
        if not size:
            return body


async def exchange(port, method, target, *, value=None, timeout_s=3.0):
    """Send a request with a JSON body on a connection of its own."""
    body = b"" if value is None else json.dumps(value).encode()
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.write(
                f"{method} {target} HTTP/1.1\r\nHost: {HOST}:{port}\r\n"
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode() + body
            )
            start, fields = await read_message(reader)
            return int(start.split()[1]), await read_body(reader, fields)
        finally:
            writer.close()


class Worker:
    """A sound worker: it runs what it gets, and answers it whole.

    A case overrides `respond`.
    """

    def __init__(self, record, name, service, work_s=0.05, slots=9):
        self.record = record
        self.name = name
        self.service = service
        self.work_s = work_s
        self.slots = slots
        self.port = find_port()
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.is_leaving = False
        self.running = 0
        self.runs = []
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.accept, HOST, self.port, limit=2**22
        )

    async def accept(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await self.serve(reader, writer):
                await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()

    async def serve(self, reader, writer):
        """Serve one request; return whether to keep the connection."""
        start, fields = await read_message(reader)
        target = start.split()[1]
        load = f"Server-Load: {self.running},0,{self.slots},100"
        if target == "/health":
            status = "503 Leaving" if self.is_leaving else "200 OK"
            writer.write(
                f"HTTP/1.1 {status}\r\nInstance-Id: {self.name}\r\n{load}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        attempt = fields.get("attempt-id", "")
        wanted = fields.get("target-instance", self.name)
        if wanted != self.name:
            await read_body(reader, fields)
            writer.write(
                f"HTTP/1.1 421 Misdirected\r\nAttempt-Id: {attempt}\r\n"
                "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return True
        return await self.respond(reader, writer, start, fields, attempt)

    def note_run(self, attempt, start):
        """Record that work on a request begins."""
        self.runs.append((self.record.now(), attempt, start))
        self.record.write(f"worker {self.name} ({self.service}) runs "
                          f"{attempt}: {start}")

    def build_answer(self, attempt, text, status="200 OK"):
        return (
            f"HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\n"
            f"Response-Signature: sig-{self.name}-{attempt}\r\n"
            f"Server-Load: {self.running},0,{self.slots},100\r\n"
            f"Content-Length: {len(text)}\r\n\r\n"
        ).encode() + text

    async def respond(self, reader, writer, start, fields, attempt):
        await read_body(reader, fields)
        self.note_run(attempt, start)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        text = f"{self.service} {self.name} {attempt}".encode()
        writer.write(self.build_answer(attempt, text))
        return True


class Machine:
    """A daemon process and the worker beside it."""

    def __init__(self, stage, name, zone, worker):
        self.stage = stage
        self.record = stage.record
        self.name = name
        self.zone = zone
        self.worker = worker
        self.ports = {
            part: find_port()
            for part in ("inbound", "outbound", "ready", "control", "free")
        }
        self.path = stage.folder / f"{name}.conf"
        self.log = stage.folder / f"{name}.log"
        self.process = None
        self.beating = None

    async def start(self):
        """Start the daemon as the deploy file says."""
        names = ("inbound", "outbound", "ready", "control")
        fields = {
            "nodeName": self.name,
            "zone": self.zone,
            "region": "deeside",
            "ip": HOST,
            "listen": {part: f"{HOST}:{self.ports[part]}" for part in names},
            "service": self.worker.service,
            "appAddr": f"{HOST}:{self.worker.port}",
            "internalPortRange": [self.ports["free"]],
            "platform": {"address": f"{HOST}:{self.stage.store_port}"},
            "bounds": BOUNDS,
        }
        template = (ROOT / "deploy/settings.json5").read_text("utf-8")
        self.path.write_text(render(template, fields), "utf-8")
        with self.log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "-m", "burdockdeal.daemon",
                f"--settings={self.path}",
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "SSL_CERT_FILE": "/dev/null",
                    "SSL_CERT_DIR": "/dev/null",
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.stage.processes.append(self.process)
        self.record.write(f"daemon {self.name} starts")

    async def kill(self):
        """End the daemon as a loss of power does."""
        self.record.write(f"daemon {self.name} is killed")
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
        await self.process.wait()

    async def is_ready(self):
        with contextlib.suppress(
            OSError, TimeoutError, asyncio.IncompleteReadError
        ):
            status, _ = await exchange(
                self.ports["ready"], "GET", "/api/readiness", timeout_s=1.0
            )
            return status == 200
        return False

    async def beat_once(self, state="ready"):
        """Send one heartbeat; return whether it was acknowledged."""
        worker = self.worker
        worker.sequence += 1
        value = {
            "service": worker.service,
            "address": f"{HOST}:{worker.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": worker.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": worker.sequence,
            "born": worker.born,
        }
        with contextlib.suppress(
            OSError, TimeoutError, asyncio.IncompleteReadError
        ):
            status, _ = await exchange(
                self.ports["control"],
                "PUT",
                f"/api/instances/{worker.name}",
                value=value,
                timeout_s=1.0,
            )
            return 200 <= status < 300
        return False

    def start_beating(self):
        async def beat():
            while True:
                await self.beat_once()
                await asyncio.sleep(HEARTBEAT_S)

        self.beating = asyncio.ensure_future(beat())


class Stage:
    """The deployment; ends every process that it started."""

    def __init__(self, record):
        self.record = record
        self.processes = []
        self.machines = []
        self.store_port = find_port()
        self.config_revision = 0
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)

    async def __aenter__(self):
        paths = (ROOT / "target/deps", ROOT / "packages/standins")
        with (self.folder / "store.log").open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                "python3", "-m", "burdockdeal_standins.store",
                f"--host={HOST}", f"--port={self.store_port}",
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": os.pathsep.join(map(str, paths)),
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.processes.append(process)
        await self.wait_until(self.is_store_there, "the store")
        return self

    async def __aexit__(self, *exc_info):
        for machine in self.machines:
            if machine.beating is not None:
                machine.beating.cancel()
            if machine.worker.server is not None:
                machine.worker.server.close()
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self.processes:
            await process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for log in self.folder.glob("*.log"):
                pathlib.Path(keep, log.name).write_bytes(log.read_bytes())
        self.temporary.cleanup()

    async def is_store_there(self):
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(HOST, self.store_port)
            writer.close()
            return True
        return False

    async def wait_until(self, condition, what, timeout_s=40.0):
        ends_at = time.monotonic() + timeout_s
        while not await condition():
            if time.monotonic() > ends_at:
                raise CannotRun(f"timed out waiting for {what}")
            await asyncio.sleep(0.1)

    async def add(self, name, zone, worker):
        """Start a worker, its heartbeats and the daemon beside it."""
        await worker.start()
        machine = Machine(self, name, zone, worker)
        self.machines.append(machine)
        await machine.start()
        machine.start_beating()
        return machine

    async def wait_until_ready(self):
        for machine in self.machines:
            await self.wait_until(machine.is_ready, f"{machine.name}")

    async def configure(self, version, routes, services):
        """Write a configuration; return when it was acknowledged."""
        document = {
            "version": f"r{version}",
            "routes": routes,
            "services": [
                {"name": name, "healthPath": "/health", "maxConnections": 220}
                for name in services
            ],
            "limits": {
                "maxHeaderBytes": 16_384,
                "maxBodyBytes": 67_108_864,
                "headerTimeoutMs": 3_000,
                "idleTimeoutMs": 15_000,
            },
        }
        value = base64.b64encode(json.dumps(document).encode()).decode()
        status, body = await exchange(
            self.store_port,
            "POST",
            "/api/kv-txn",
            value={
                "expected": [
                    {"key": "op/config", "revision": self.config_revision}
                ],
                "puts": [{"key": "op/config", "value": value, "lease": 0}],
                "remove": [],
            },
        )
        if status != 200:
            raise CannotRun(f"the store refused a configuration: {status}")
        self.config_revision = json.loads(body)["revision"]
        acknowledged_at = self.record.now()
        self.record.write(f"configuration r{version} is acknowledged")
        return acknowledged_at


def make_route(name, prefix, service, kind="safe", **terms):
    """Make a route as the operator writes it."""
    return {
        "name": name,
        "host": CALLER_HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 1_500,
        "targetLatencyMs": 600,
        "maxAttempts": 2,
        "priority": 1,
        "service": service,
    } | terms


def build_request(method, target, attempt, deadline_ms, length=None):
    """Build the head of a client's request."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {CALLER_HOST}",
        f"Attempt-Id: {attempt}",
        f"Deadline-Ms: {deadline_ms}",
    ]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return "\r\n".join([*lines, "", ""]).encode()


async def ask(machine, target, attempt, *, deadline_ms=1_500):
    """Send a GET as a client of a machine; return its status and body."""
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(
                HOST, machine.ports["outbound"]
            )
            try:
                writer.write(
                    build_request("GET", target, attempt, deadline_ms)
                )
                start, fields = await read_message(reader)
                body = await read_body(reader, fields)
                return int(start.split()[1]), body
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return 0, repr(error).encode()


def run(main, path, has_trouble):
    """Run a case and exit with 0 (held), 1 (broken) or 2 (cannot run)."""
    record = Record(pathlib.Path(path).resolve().parent / "record.txt")
    record.write("with the disruption" if has_trouble else "TROUBLE=0")

    async def run_case():
        async with asyncio.timeout(110):
            async with Stage(record) as stage:
                return await main(stage, has_trouble)

    try:
        result = asyncio.run(run_case())
    except (CannotRun, TimeoutError, OSError) as error:
        record.write(f"cannot run: {error!r}")
        result = CANNOT_RUN
    text = {HELD: "held", BROKEN: "BROKEN", CANNOT_RUN: "cannot run"}[result]
    record.write(f"result: {text}")
    print(text)
    sys.exit(result)
