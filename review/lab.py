"""A small deployment for the scripts of the third review.

The daemons and the store run as separate processes: the daemons with the
command of deploy/system.toml and settings filled in from its template, the
store from the project's stand-ins. Workers, clients, the operator and the
platform are small stand-ins in the script's own process. Each machine has a
loopback address of its own, and all machines use the same ports.
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
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPS = ROOT / "target" / "deps"
STANDINS = ROOT / "target" / "review-3"
HOST = "hulo84.example"
STORE_HOST = "127.0.9.1"

#: Bounds of the small deployment (colyn-mesh).
BOUNDS = {
    "contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6,
    "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250,
    "maxStretchMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
    "budgetMinRetries": 56, "recoverS": 15, "probesPerS": 60,
}


class CannotRun(Exception):
    """The case could not be set up."""


# ---- the platform's template -------------------------------------------


def _look_up(scopes, path):
    if path == ".":
        return scopes[-1]
    first, *rest = path.split(".")
    for scope in reversed(scopes):
        if isinstance(scope, dict) and first in scope:
            value = scope[first]
            break
    else:
        return None
    for part in rest:
        if isinstance(value, list) and part.isdecimal():
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


_SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)
_FIELD = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


def render(template, fields):
    """Fill in a template as DEPLOY.md says."""

    def section(match):
        value = _look_up([fields], match[2])
        shown = bool(value) if match[1] == "#" else not value
        return match[3] if shown else ""

    def field(match):
        value = _look_up([fields], match[1])
        if match[2]:
            return json.dumps(value)
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(map(str, value))
        return str(value)

    return _FIELD.sub(field, _SECTION.sub(section, template))


# ---- machines -----------------------------------------------------------


def find_ports(hosts, count):
    """Find ports that are free on all hosts, and reserve none of them.

    They lie below those that connections get, so that none is taken while
    a daemon is away.
    """
    found = []
    while len(found) < count:
        port = random.randrange(15_000, 30_000)
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


@dataclasses.dataclass
class Machine:
    name: str
    zone: str
    service: str
    ip: str
    settings: pathlib.Path
    log: pathlib.Path
    fields: dict
    process: asyncio.subprocess.Process | None = None
    worker: "Worker | None" = None

    def port(self, key):
        return int(self.fields["listen"][key].rpartition(":")[2])


class Lab:
    """Starts and ends the processes of a deployment."""

    def __init__(self, record, bounds=None):
        self.record = record
        self.bounds = BOUNDS | (bounds or {})
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.machines = {}
        self.processes = []
        self.tasks = []
        self.servers = []
        self.started_at = time.monotonic()
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self.role = tomllib.load(file)["roles"]["daemon"]
        self.template = (ROOT / self.role["template"]).read_text()
        self.store_port = 0
        self.config_revision = 0
        self._index = 0
        self._ports = {}

    async def __aenter__(self):
        if not (DEPS / "burdockdeal").is_dir() or not STANDINS.is_dir():
            raise CannotRun("run deploy/build.sh and review/build-3.sh first")
        hosts = [f"127.0.8.{n}" for n in range(1, 21)] + [STORE_HOST]
        names = ("inbound", "outbound", "ready", "control", "app", "metrics")
        free = find_ports(hosts, len(names) + 1)
        self._ports = dict(zip(names, free))
        self.store_port = free[-1]
        await self.start_store()
        return self

    async def __aexit__(self, *exc_info):
        for task in self.tasks:
            task.cancel()
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self.processes:
            await process.wait()
        for server in self.servers:
            server.close()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.note("all processes ended")
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def now(self):
        return time.monotonic() - self.started_at

    def note(self, text):
        self.record.write(f"{self.now():8.3f} {text}\n")
        self.record.flush()

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def start_store(self):
        environment = self._environment(DEPS, STANDINS)
        log = (self.folder / "store.log").open("ab")
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "burdockdeal_standins.store",
            f"--host={STORE_HOST}", f"--port={self.store_port}",
            env=environment, cwd=ROOT, stdout=log, stderr=log,
        )
        self.processes.append(process)
        await self.wait_for_port(STORE_HOST, self.store_port)

    def _environment(self, *path):
        return {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": ":".join(map(str, path)),
            "PYTHONDONTWRITEBYTECODE": "1",
            # Machines run one daemon with one core; a few keep the same seed.
            "TMPDIR": str(self.folder),
        }

    def add_machine(self, name, zone, service, **fields):
        """Describe a machine; nothing is started yet."""
        self._index += 1
        ip = f"127.0.8.{self._index}"
        ports = self._ports
        own = {
            "nodeName": name, "zone": zone, "region": "deeside", "ip": ip,
            "service": service, "appAddr": f"{ip}:{ports['app']}",
            "internalPortRange": [ports["metrics"], ports["metrics"]],
            "listen": {
                key: f"{ip}:{ports[key]}"
                for key in ("inbound", "outbound", "ready", "control")
            },
            "platform": {"address": f"{STORE_HOST}:{self.store_port}"},
            "bounds": self.bounds,
        } | fields
        folder = self.folder / name
        folder.mkdir()
        machine = Machine(
            name, zone, service, ip, folder / "settings.conf",
            folder / "daemon.log", own,
        )
        self.machines[name] = machine
        self.write_settings(machine)
        return machine

    def write_settings(self, machine, extra=""):
        text = render(self.template, machine.fields)
        if extra:
            text = text.rstrip().removesuffix("}") + extra + "}\n"
        machine.settings.write_text(text)

    async def start_daemon(self, machine, wait=True):
        """Start a machine's daemon with the command of the deploy file."""
        words = self.role["run"].split()
        words = [
            word.replace("/etc/burdockdeal/settings.conf",
                         str(machine.settings))
            for word in words
        ]
        if words[0] == "python3":
            words[0] = sys.executable
        environment = self._environment(DEPS) | self.role.get("env", {})
        environment["BURDOCKDEAL_BOOT"] = str(machine.settings)
        log = machine.log.open("ab")
        machine.process = await asyncio.create_subprocess_exec(
            *words, env=environment, cwd=ROOT, stdout=log, stderr=log
        )
        self.processes.append(machine.process)
        self.note(f"{machine.name}: daemon started")
        if wait:
            await self.wait_for_port(machine.ip, machine.port("outbound"))

    async def wait_for_port(self, host, port, within_s=15.0):
        ends_at = time.monotonic() + within_s
        while time.monotonic() < ends_at:
            try:
                _, writer = await asyncio.open_connection(host, port)
            except OSError:
                await asyncio.sleep(0.02)
                continue
            writer.close()
            return
        raise CannotRun(f"nothing listens at {host}:{port}")

    # ---- the operator ----

    async def configure(self, version, routes, services, **more):
        document = {
            "version": f"r{version}", "routes": routes, "services": services,
            "limits": {
                "maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
            },
        } | more
        value = base64.b64encode(json.dumps(document).encode()).decode()
        body = {
            "expected": [{"key": "op/config",
                          "revision": self.config_revision}],
            "puts": [{"key": "op/config", "value": value}],
        }
        status, _, reply = await call(
            STORE_HOST, self.store_port, "POST", "/api/kv-txn",
            body=json.dumps(body).encode(),
        )
        if status != 200:
            raise CannotRun(f"the store answered {status} to the operator")
        self.config_revision = json.loads(reply)["revision"]
        self.note(f"operator: r{version} acknowledged")

    async def is_ready(self, machine):
        try:
            status, _, _ = await asyncio.wait_for(
                call(machine.ip, machine.port("ready"), "GET",
                     "/api/readiness"), 1.0)
        except (OSError, asyncio.TimeoutError, EOFError):
            return False
        return status == 200


# ---- HTTP, as little as is needed ----------------------------------------


async def read_head(reader):
    """Read a head; return its first line and its fields, names lowered."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1")[:-4].split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(reader, fields, *, to_end=False):
    if "chunked" in fields.get("transfer-encoding", ""):
        body = bytearray()
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return bytes(body)
            body += chunk[:-2]
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if to_end else b""


async def read_response(reader):
    """Read a final response: status, fields and whole body."""
    while True:
        first, fields = await read_head(reader)
        status = int(first.split(" ")[1])
        if status >= 200:
            break
    body = await read_body(reader, fields, to_end=status not in (204, 304))
    return status, fields, body


async def call(host, port, method, target, fields=None, body=b""):
    """Send one request on a connection of its own."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        given = {"Host": f"{host}:{port}"} | (fields or {})
        if body or method in ("POST", "PUT"):
            given["Content-Length"] = str(len(body))
        lines += [f"{name}: {value}" for name, value in given.items()]
        writer.write("\r\n".join((*lines, "", "")).encode() + body)
        return await read_response(reader)
    finally:
        writer.close()


# ---- workers ---------------------------------------------------------------


@dataclasses.dataclass
class Run:
    attempt: str
    first: str
    fields: dict
    started: float
    body: bytes = b""
    ended: str = "running"


class Worker:
    """A sound worker beside a daemon, unless `answer` is replaced.

    :param work_s: seconds that a request takes.
    """

    def __init__(self, lab, machine, *, work_s=0.02, slots=9, ident=None):
        self.lab = lab
        self.machine = machine
        self.work_s = work_s
        self.slots = slots
        self.ident = ident or f"i-{machine.name}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.runs = []
        self.answer = self.answer_well
        self.server = None
        machine.worker = self

    async def start(self, beats=True):
        host, _, port = self.machine.fields["appAddr"].rpartition(":")
        self.server = await asyncio.start_server(
            self._serve, host, int(port), limit=1 << 20
        )
        self.lab.servers.append(self.server)
        if beats:
            self.lab.spawn(self._beat_forever())

    async def _beat_forever(self):
        while True:
            await self.beat()
            await asyncio.sleep(1.5)

    async def beat(self, **changed):
        self.sequence += 1
        message = {
            "service": self.machine.service,
            "address": self.machine.fields["appAddr"],
            "zone": self.machine.zone, "version": "v1", "slots": self.slots,
            "state": self.state, "coldRemainingMs": 0,
            "sequence": self.sequence, "born": self.born,
        } | changed
        try:
            status, _, _ = await asyncio.wait_for(
                call(self.machine.ip, self.machine.port("control"), "PUT",
                     f"/api/instances/{self.ident}",
                     {"Content-Type": "application/json"},
                     json.dumps(message).encode()), 1.0)
        except (OSError, EOFError, asyncio.TimeoutError):
            return 0
        return status

    def load(self):
        return f"{self.running},0,{self.slots},100"

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while True:
                first, fields = await read_head(reader)
                if first.startswith("GET /health "):
                    status = ("200 OK" if self.state == "ready"
                              else "503 Leaving")
                    writer.write(
                        f"HTTP/1.1 {status}\r\nInstance-Id: {self.ident}\r\n"
                        f"Server-Load: {self.load()}\r\n"
                        "Content-Length: 0\r\n\r\n".encode())
                    continue
                if not await self._run(first, fields, reader, writer):
                    break
        writer.close()

    async def _run(self, first, fields, reader, writer):
        if fields.get("target-instance", self.ident) != self.ident:
            await read_body(reader, fields)
            writer.write(
                "HTTP/1.1 421 Misdirected Request\r\n"
                f"Attempt-Id: {fields.get('attempt-id', '')}\r\n"
                f"Instance-Id: {self.ident}\r\nContent-Length: 0\r\n\r\n"
                .encode())
            return True
        run = Run(fields.get("attempt-id", ""), first, fields,
                  self.lab.now())
        self.runs.append(run)
        self.running += 1
        try:
            return await self.answer(run, reader, writer)
        finally:
            self.running -= 1

    def head(self, run, length, status="200 OK", **more):
        lines = [
            f"HTTP/1.1 {status}", f"Attempt-Id: {run.attempt}",
            f"Response-Signature: {self.ident}.{run.attempt}",
            f"Server-Load: {self.load()}", f"Content-Length: {length}",
        ]
        lines += [f"{key.replace('_', '-')}: {value}"
                  for key, value in more.items()]
        return "\r\n".join((*lines, "", "")).encode()

    async def answer_well(self, run, reader, writer, body=None):
        run.body = await read_body(reader, run.fields)
        await asyncio.sleep(self.work_s)
        body = body if body is not None else run.attempt.encode()
        writer.write(self.head(run, len(body)) + body)
        await writer.drain()
        run.ended = "answered"
        return True


# ---- scripts -----------------------------------------------------------------


def main(script, folder):
    """Run a script; return 0 if the rule held, 1 if not, 2 otherwise."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with (pathlib.Path(folder) / "record.txt").open("w") as record:
        record.write(f"TROUBLE={int(trouble)}\n")

        async def run():
            async with asyncio.timeout(115):
                return await script(record, trouble)

        try:
            broken = asyncio.run(run())
        except (CannotRun, OSError, asyncio.TimeoutError) as error:
            record.write(f"the case could not run: {error!r}\n")
            print(f"the case could not run: {error!r}")
            return 2
        text = "the rule was broken" if broken else "the rule held"
        record.write(text + "\n")
        print(text)
        return 1 if broken else 0
