"""A small deployment on loopback: daemons, workers, clients and a store.

Only the standard library is used here. The daemons run as separate processes
with the command and the settings template of the deploy file; the store is
the project's own stand-in, also a separate process. Workers, clients and the
operator are in the script's own process.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
#: A loopback address of its own, so that runs beside each other don't take
#: each other's ports.
HOST = f"127.{random.randint(1, 250)}.{random.randint(0, 250)}.1"
SERVICE_HOST = "shop.example"
ZONES = ("shotton", "queensferry", "sealand")
HEARTBEAT_S = 1.5
DRAIN_S = 2.0
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be set up."""


#: Below the range from which the kernel takes ports of outgoing connections.
_PORTS = random.sample(range(12_000, 30_000), 2_000)


def free_port():
    """Return a TCP port that is free on loopback, each only once."""
    while True:
        port = _PORTS.pop()
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return port


@dataclasses.dataclass(frozen=True)
class Run:
    """A request that a worker began to work on."""

    at: float
    attempt: str
    start_line: str
    body: bytes


@dataclasses.dataclass(frozen=True)
class Answer:
    """What a client got for a request; status 0 without an answer."""

    status: int
    body: bytes
    sent_at: float
    ended_at: float


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._started = time.monotonic()

    def now(self):
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._started

    def write(self, text):
        """Write one line with the time."""
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()


def _look_up(fields, path):
    value = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        else:
            value = value.get(part)
        if value is None:
            return None
    return value


def fill_template(text, fields):
    """Fill in the placeholders that deploy/settings.json5 uses."""

    def replace(match):
        path, as_json = match.group(1), match.group(2)
        value = _look_up(fields, path)
        if as_json:
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", replace, text)


class Worker:
    """A worker as the pages describe it, beside one daemon."""

    def __init__(self, record, name, service, *, work_s=0.05, slots=9):
        self.record = record
        self.name = name
        self.service = service
        self.work_s = work_s
        self.slots = slots
        self.port = free_port()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.is_leaving = False
        self.runs = []
        self._running = 0
        self._server = None
        self._connections = set()

    async def start(self):
        """Accept connections."""
        self._server = await asyncio.start_server(
            self._accept, HOST, self.port
        )

    async def stop(self):
        """Stop accepting and close all connections."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        for writer in tuple(self._connections):
            writer.close()

    async def _accept(self, reader, writer):
        self._connections.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                start, fields = parse_head(head)
                body = await read_body(reader, fields)
                if not await self._answer(reader, writer, start, fields, body):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    def _load(self):
        return f"Server-Load: {self._running},0,{self.slots},100\r\n"

    async def _answer(self, reader, writer, start, fields, body):
        target = start.split(" ")[1]
        if target == "/health":
            status = "503 Leaving" if self.is_leaving else "200 OK"
            writer.write(
                f"HTTP/1.1 {status}\r\nInstance-Id: {self.name}\r\n"
                f"{self._load()}Content-Length: 0\r\n\r\n".encode()
            )
            return True
        attempt = fields.get("attempt-id", "")
        wanted = fields.get("target-instance", self.name)
        if wanted != self.name:
            writer.write(
                f"HTTP/1.1 421 Misdirected\r\nAttempt-Id: {attempt}\r\n"
                f"Instance-Id: {self.name}\r\nNot-Executed: 1\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        self.record.write(f"worker {self.name} runs {attempt} {start}")
        self.runs.append(Run(self.record.now(), attempt, start, body))
        self._running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self._running -= 1
        text = f"{self.name} {self.service} {attempt}"
        writer.write(
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n"
            f"Response-Signature: sig-{self.name}\r\n{self._load()}"
            f"Content-Length: {len(text)}\r\n\r\n{text}".encode()
        )
        await writer.drain()
        return True

    def make_heartbeat(self, zone, state="ready"):
        """Make the next heartbeat, which may be sent now or later."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }


class Place:
    """One machine: a daemon process and the worker beside it."""

    def __init__(self, deployment, name, zone, worker):
        self.deployment = deployment
        self.record = deployment.record
        self.name = name
        self.zone = zone
        self.worker = worker
        self.ports = {
            part: free_port()
            for part in ("inbound", "outbound", "ready", "control", "metrics")
        }
        self.settings_path = deployment.folder / f"{name}.conf"
        self.log_path = deployment.folder / f"{name}.log"
        self.process = None
        self.started_at = 0.0
        self.beats = None

    def write_settings(self):
        """Write the settings file as the platform does."""
        deployment = self.deployment
        listen = {
            part: f"{HOST}:{self.ports[part]}"
            for part in ("inbound", "outbound", "ready", "control")
        }
        fields = {
            "nodeName": self.name,
            "zone": self.zone,
            "region": "deeside",
            "ip": HOST,
            "listen": listen,
            "service": self.worker.service,
            "appAddr": f"{HOST}:{self.worker.port}",
            "internalPortRange": [self.ports["metrics"]],
            "platform": {"address": f"{HOST}:{deployment.store_port}"},
            "bounds": {
                "retryBudgetRatio": 0.2,
                "budgetMinRetries": 64,
                "budgetWindowS": 10,
            },
        }
        template = (ROOT / "deploy/settings.json5").read_text("utf-8")
        self.settings_path.write_text(fill_template(template, fields), "utf-8")

    async def start(self):
        """Start the daemon."""
        self.write_settings()
        with self.log_path.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "burdockdeal.daemon",
                f"--settings={self.settings_path}",
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "BURDOCKDEAL_BOOT": str(self.settings_path),
                    "SSL_CERT_FILE": "/dev/null",
                    "SSL_CERT_DIR": "/dev/null",
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.started_at = self.record.now()
        self.deployment.processes.append(self.process)
        self.record.write(f"daemon {self.name} started")

    def signal(self, number):
        """Send a signal to the daemon."""
        self.record.write(f"daemon {self.name} gets {number.name}")
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        """Kill the daemon."""
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def is_ready(self):
        """Ask for readiness as the platform does."""
        try:
            status, _, _ = await call(
                self.ports["ready"], "GET", "/api/readiness", timeout_s=1.0
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200

    async def send_heartbeat(self, heartbeat):
        """Send a heartbeat; return whether it was acknowledged."""
        path = f"/api/instances/{self.worker.name}"
        body = json.dumps(heartbeat).encode()
        try:
            status, _, _ = await call(
                self.ports["control"],
                "PUT",
                path,
                body=body,
                fields={"Content-Type": "application/json"},
                timeout_s=1.0,
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            status = 0
        self.record.write(
            f"heartbeat of {self.worker.name}, sequence "
            f"{heartbeat['sequence']}, {heartbeat['state']}: {status}"
        )
        return 200 <= status < 300

    async def send_delete(self):
        """Deregister the worker; return whether it was acknowledged."""
        path = f"/api/instances/{self.worker.name}"
        try:
            status, _, _ = await call(
                self.ports["control"], "DELETE", path, timeout_s=1.0
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            status = 0
        self.record.write(f"DELETE of {self.worker.name}: {status}")
        return 200 <= status < 300

    def start_heartbeats(self):
        """Send heartbeats at the usual interval from now on."""

        async def beat():
            while True:
                heartbeat = self.worker.make_heartbeat(self.zone)
                await self.send_heartbeat(heartbeat)
                await asyncio.sleep(HEARTBEAT_S)

        self.beats = asyncio.ensure_future(beat())

    def stop_heartbeats(self):
        """Send no further heartbeats."""
        if self.beats is not None:
            self.beats.cancel()
            self.beats = None


class Deployment:
    """The whole deployment; ends all its processes on exit."""

    def __init__(self, record):
        self.record = record
        self.processes = []
        self.places = {}
        self.store_port = free_port()
        self._config_revision = 0
        self._temporary = None
        self.folder = None

    async def __aenter__(self):
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        paths = (ROOT / "target/deps", ROOT / "packages/standins")
        with (self.folder / "store.log").open("ab") as output:
            store = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "burdockdeal_standins.store",
                f"--host={HOST}",
                f"--port={self.store_port}",
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
        self.processes.append(store)
        await wait_for(lambda: can_connect(self.store_port), "the store")
        return self

    def _record_failure(self):
        for place in self.places.values():
            code = place.process.returncode if place.process else None
            lines = place.log_path.read_text(errors="replace").splitlines()
            self.record.write(f"{place.name}: exit code {code}, log ends:")
            for line in lines[-4:]:
                self.record.write(f"    {line[:300]}")

    async def __aexit__(self, *exc_info):
        if exc_info[0] is not None:
            self._record_failure()
        for place in self.places.values():
            place.stop_heartbeats()
            await place.worker.stop()
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
        for process in self.processes:
            await process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        self._temporary.cleanup()

    async def add(self, name, zone, service, *, kind=Worker, **options):
        """Start a machine: its worker and its daemon."""
        worker = kind(self.record, f"i-{name}", service, **options)
        await worker.start()
        place = Place(self, name, zone, worker)
        self.places[name] = place
        await place.start()
        return place

    async def wait_until_ready(self):
        """Wait until each daemon says that it is ready."""
        for place in self.places.values():
            await wait_for(place.is_ready, f"readiness of {place.name}")

    async def configure(self, version, routes, services):
        """Write a configuration; return the time of its acknowledgement."""
        document = {
            "version": f"r{version}",
            "routes": routes,
            "services": [
                {"name": name, "healthPath": "/health"} for name in services
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        value = base64.b64encode(json.dumps(document).encode()).decode()
        transaction = {
            "expected": [
                {"key": "op/config", "revision": self._config_revision}
            ],
            "puts": [{"key": "op/config", "value": value, "lease": 0}],
            "remove": [],
        }
        status, _, body = await call(
            self.store_port,
            "POST",
            "/api/kv-txn",
            body=json.dumps(transaction).encode(),
            fields={"Content-Type": "application/json"},
            timeout_s=5.0,
        )
        if status != 200:
            raise CannotRunError(f"configuration refused: {status}")
        self._config_revision = json.loads(body)["revision"]
        self.record.write(
            f"configuration r{version} acknowledged, {len(routes)} routes, "
            f"{len(value)} bytes"
        )
        return self.record.now()


def make_route(name, prefix, service, kind="safe", **changed):
    """Make a route of the configuration."""
    return {
        "name": name,
        "host": SERVICE_HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 1200,
        "targetLatencyMs": 600,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        **changed,
    }


def parse_head(head):
    """Return the start line and the fields, by lower-case name."""
    start, *lines = head.decode("latin-1").strip().split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    return start, {
        name.strip().lower(): value.strip() for name, value in pairs
    }


async def read_body(reader, fields):
    """Read the body of a message that has a length or comes in chunks."""
    if "chunked" in fields.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return body
    return await reader.readexactly(int(fields.get("content-length", 0)))


async def call(port, method, target, *, body=b"", fields=None, timeout_s=5.0):
    """Send a request on a new connection; return status, fields and body."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            lines = [f"{method} {target} HTTP/1.1"]
            given = {"Host": f"{HOST}:{port}", **(fields or {})}
            lines += [f"{name}: {value}" for name, value in given.items()]
            if body or method in ("POST", "PUT"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                start, received = parse_head(head)
                status = int(start.split(" ")[1])
                if status >= 200:
                    break
            return status, received, await read_body(reader, received)
        finally:
            writer.close()


async def ask(
    place, attempt, *, method="GET", target="/shop/1", deadline_s=2.0
):
    """Send a client's request to a machine and record the answer.

    The client waits no longer than its deadline.
    """
    record = place.record
    sent_at = record.now()
    try:
        status, _, body = await call(
            place.ports["outbound"],
            method,
            target,
            body=b"x" * 100 if method == "POST" else b"",
            fields={
                "Host": SERVICE_HOST,
                "Attempt-Id": attempt,
                "Deadline-Ms": str(int(deadline_s * 1000)),
            },
            timeout_s=deadline_s,
        )
        outcome = f"{status} {body.decode(errors='replace').strip()}"
    except TimeoutError:
        status, body, outcome = 0, b"", "no answer by the deadline"
    except (OSError, asyncio.IncompleteReadError) as error:
        status, body, outcome = 0, b"", f"no answer: {error!r}"
    ended_at = record.now()
    record.write(
        f"{attempt} at {place.name}, {method} {target}: {outcome} "
        f"after {ended_at - sent_at:.3f} s"
    )
    return Answer(status, body, sent_at, ended_at)


async def can_connect(port):
    """Return whether a port accepts connections."""
    try:
        _, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return False
    writer.close()
    return True


async def wait_for(condition, what, timeout_s=30.0):
    """Wait until an asynchronous condition holds."""
    deadline = time.monotonic() + timeout_s
    while not await condition():
        if time.monotonic() > deadline:
            raise CannotRunError(f"timed out: {what}")
        await asyncio.sleep(0.1)


def run(main, folder):
    """Run a case, write its record and exit with its result.

    :param main: takes the deployment and whether the disruption happens;
        returns HELD or BROKEN.
    :param folder: the case's folder.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")

    async def run_case():
        async with asyncio.timeout(115):
            async with Deployment(record) as deployment:
                return await main(deployment, has_trouble)

    try:
        result = asyncio.run(run_case())
    except (CannotRunError, TimeoutError, OSError) as error:
        record.write(f"could not run: {error!r}")
        result = NOT_RUN
    names = {HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}
    record.write(f"result: {names[result]}")
    record.close()
    print(names[result])
    sys.exit(result)
