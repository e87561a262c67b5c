"""A fleet of real processes on loopback, for tests, bench and demo."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import pathlib
import sys
import tempfile
import typing

import aiohttp

from burdockdeal.core import codec
from burdockdeal.settings import model
from burdockdeal_standins import logs
from burdockdeal_standins import ports
from burdockdeal_standins import store
from burdockdeal_standins import upstream

OPERATOR_TOKEN = "operator-token-of-tests"
PEER_TOKEN = "peer-token-of-the-tests"
START_TIMEOUT_S = 20.0

T = typing.TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSpec:
    """The specification of a daemon and the upstream beside it.

    :param name: of the daemon.
    :param service: the upstream's service, empty for no upstream.
    :param slots: calls that the upstream runs at the same time.
    :param connections: connections that the upstream accepts.
    :param service_ms: time of a call at the upstream, in milliseconds.
    :param warm_up_s: warm-up time that the upstream announces, in seconds.
    """

    name: str
    failure_domain: str
    service: str = ""
    slots: int = 9
    connections: int = 200
    service_ms: float = 5.0
    warm_up_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Node:
    """The running processes of a node and their settings."""

    spec: NodeSpec
    settings: model.Settings
    daemon: asyncio.subprocess.Process
    upstream: asyncio.subprocess.Process | None
    upstream_port: int

    @property
    def caller_url(self) -> str:
        """The base URL of the daemon's caller interface."""
        return f"http://{self.settings.listen.caller}"

    @property
    def operator_url(self) -> str:
        """The base URL of the daemon's operator interface."""
        return f"http://{self.settings.listen.operator}"


class Fleet:
    """Starts processes, waits for them, and stops them on exit.

    :param folder: directory for settings and log files.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        #: The program of the daemons.
        self.daemon_module = "burdockdeal.daemon"
        self.session: aiohttp.ClientSession
        self.store_port = ports.free_port()
        self._store_admin = f"http://{ports.HOST}:{self.store_port}/admin"
        self.store: asyncio.subprocess.Process | None = None
        self.nodes: dict[str, Node] = {}
        self._processes: list[asyncio.subprocess.Process] = []

    async def __aenter__(self) -> "Fleet":
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        await self.start_store()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.session.close()
        for process in self._processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
        for process in self._processes:
            await process.wait()

    async def start(
        self, module: str, log: str, **options: object
    ) -> asyncio.subprocess.Process:
        """Start a module as a separate process.

        :param log: name of the log file for its output, without suffix.
        :param options: flags of the process.
        """
        arguments = [f"--{key}={value}" for key, value in options.items()]
        with (self.folder / f"{log}.log").open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                *arguments,
                stdout=output,
                stderr=output,
            )
        self._processes.append(process)
        return process

    async def start_store(self) -> None:
        """Start the test double of the store and wait for its port."""
        self.store = await self.start(
            "burdockdeal_standins.store", "store", port=self.store_port
        )
        await self.wait_for_port(self.store_port, self.store)

    async def wait_for_port(
        self,
        port: int,
        process: asyncio.subprocess.Process,
        host: str = ports.HOST,
    ) -> None:
        """Wait until a port accepts connections.

        :raises AssertionError: if the process ends first.
        """

        async def is_listening() -> bool:
            assert process.returncode is None, self.read_log_tails()
            try:
                _, writer = await asyncio.open_connection(host, port)
            except OSError:
                return False
            writer.close()
            return True

        await self.wait_until(is_listening, f"port {port} is open")

    async def wait_until(
        self,
        condition: abc.Callable[[], abc.Awaitable[bool]],
        description: str,
        *,
        within_s: float = START_TIMEOUT_S,
    ) -> None:
        """Poll a condition until it holds.

        :param description: of the condition, for the error message.
        :raises AssertionError: if it does not hold within the time limit.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + within_s
        while not await condition():
            assert loop.time() < deadline, (
                f"{description}: not within {within_s} s"
            )
            await asyncio.sleep(0.02)

    def make_settings(
        self, spec: NodeSpec, **changes: object
    ) -> model.Settings:
        """Make the settings of a daemon on free loopback ports.

        :param changes: settings that differ from the defaults.
        """
        defaults: dict[str, object] = {
            "daemon": spec.name,
            "failure_domain": spec.failure_domain,
            "listen": model.Listen(
                *(
                    model.Address(ports.HOST, ports.free_port())
                    for _ in range(4)
                )
            ),
            "store": model.Address(ports.HOST, self.store_port),
            "peer_token": PEER_TOKEN,
            "operators": (model.Operator("tests", OPERATOR_TOKEN),),
            "membership": model.Membership(0.2, 0.3, 1.0),
            "seed": 1,
        }
        return model.Settings(**(defaults | changes))

    async def start_daemon(
        self, settings: model.Settings
    ) -> asyncio.subprocess.Process:
        """Start a daemon and wait until it accepts callers."""
        path = self.folder / f"{settings.daemon}.json5"
        path.write_bytes(codec.encode(settings))
        process = await self.start(
            self.daemon_module, settings.daemon, settings=path
        )
        await self.wait_for_port(
            settings.listen.caller.port, process, settings.listen.caller.host
        )
        return process

    async def start_upstream(
        self, spec: NodeSpec, settings: model.Settings, port: int
    ) -> asyncio.subprocess.Process:
        """Start the upstream of a node.

        It records each run that it starts in NAME.ledger in the folder.
        """
        return await self.start(
            "burdockdeal_standins.upstream",
            f"{spec.name}-upstream",
            service=spec.service,
            daemon=settings.listen.upstream,
            port=port,
            slots=spec.slots,
            connections=spec.connections,
            service_ms=spec.service_ms,
            warm_up_s=spec.warm_up_s,
            ledger=self.folder / f"{spec.name}.ledger",
            onward=settings.listen.caller,
        )

    async def add_node(self, spec: NodeSpec, **changes: object) -> Node:
        """Start the daemon and the upstream of a node.

        :param changes: settings that differ from the defaults.
        """
        settings = self.make_settings(spec, **changes)
        daemon = await self.start_daemon(settings)
        port = ports.free_port()
        upstream_process = None
        if spec.service:
            upstream_process = await self.start_upstream(spec, settings, port)
        node = Node(spec, settings, daemon, upstream_process, port)
        self.nodes[spec.name] = node
        return node

    async def add_nodes(self, specs: abc.Iterable[NodeSpec]) -> None:
        """Start the processes of several nodes concurrently."""
        await asyncio.gather(*map(self.add_node, specs))

    async def declare(
        self, node: Node, kind: str, name: str, spec: object
    ) -> int:
        """Declare a resource that must not exist yet.

        :returns: its generation.
        """
        async with self.session.put(
            f"{node.operator_url}/v1/resources/{kind}/{name}",
            data=codec.encode(spec),
            headers=self.operator_headers | {"If-None-Match": "*"},
        ) as response:
            assert response.status == 200, await response.text()
            return int(response.headers["ETag"].strip('"'))

    @property
    def operator_headers(self) -> dict[str, str]:
        """The headers that authenticate an operator."""
        return {"Authorization": f"Bearer {OPERATOR_TOKEN}"}

    async def wait_until_ready(self, revision: int = 1) -> None:
        """Wait until each daemon knows all others and holds a revision."""
        for node in list(self.nodes.values()):
            await self.wait_until(
                lambda node=node: self._is_ready(node, revision),
                f"{node.spec.name} is ready",
            )

    async def _is_ready(self, node: Node, revision: int) -> bool:
        async with self.session.get(
            f"{node.operator_url}/v1/status", headers=self.operator_headers
        ) as response:
            status = await response.json()
        serving = {
            member["daemon"]
            for member in status["members"]
            if member["phase"] == "SERVING"
        }
        expected = {n.spec.name for n in self.nodes.values() if n.upstream}
        return (
            expected <= serving
            and len(status["members"]) >= len(self.nodes)
            and status["revision"] >= revision
        )

    async def set_upstream_behaviour(
        self, node: Node, behaviour: upstream.Behaviour
    ) -> None:
        """Replace the behaviour of a node's upstream."""
        url = f"http://{ports.HOST}:{node.upstream_port}/admin/behaviour"
        await self._put(url, behaviour)

    async def read_upstream_record(self, node: Node) -> upstream.Record:
        """Read the record of runs of a node's upstream."""
        url = f"http://{ports.HOST}:{node.upstream_port}/admin/record"
        return await self._get(url, upstream.Record)

    async def _get(self, url: str, kind: type[T]) -> T:
        async with self.session.get(url) as response:
            return codec.decode(await response.read(), kind)

    async def _put(self, url: str, message: object) -> None:
        async with self.session.put(
            url, data=codec.encode(message)
        ) as response:
            assert response.status == 200

    async def set_store_faults(self, faults: store.Faults) -> None:
        """Replace the faults that the store injects."""
        await self._put(f"{self._store_admin}/faults", faults)

    async def read_store_counts(self) -> store.Counts:
        """Read the store's call counters."""
        return await self._get(f"{self._store_admin}/counts", store.Counts)

    def read_log_tails(self) -> str:
        """Read the last part of each process's log."""
        return logs.read_tails(self.folder)

    def read_log(self, name: str) -> str:
        """Read the whole log of a process."""
        return (self.folder / f"{name}.log").read_text(encoding="utf-8")


@contextlib.asynccontextmanager
async def run_fleet() -> abc.AsyncIterator[Fleet]:
    """Run a fleet in a temporary directory and stop it on exit."""
    with tempfile.TemporaryDirectory(prefix="burdockdeal-") as name:
        async with Fleet(pathlib.Path(name)) as fleet:
            yield fleet
