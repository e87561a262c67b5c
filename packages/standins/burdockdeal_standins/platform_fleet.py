"""Daemons that run as on the users' platform, with workers beside them.

The store holds the configuration, each worker sends heartbeats to the daemon
beside it, and clients identify their requests as the platform's do.
"""

import asyncio
import base64
from collections import abc
import contextlib
import dataclasses
import signal

from burdockdeal.core import codec
from burdockdeal.settings import fleet_terms
from burdockdeal.settings import model
from burdockdeal_standins import fleet as fleets
from burdockdeal_standins import ports
from burdockdeal_standins import raw_upstream
from burdockdeal_standins import scripted_upstream

SERVICE = "orders"
HOST = "shop.example"
_CONFIG_KEY = "op/config"
_RUN_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that a worker has run.

    :param at: the event loop's time at its start, in seconds.
    """

    head: scripted_upstream.Head
    at: float

    @property
    def attempt_id(self) -> str:
        """The id that the client gave the request."""
        return self.head.values("Attempt-Id")[0]


class Worker:
    """A worker beside a daemon, with a scripted health check.

    :param name: its id.
    :param server: accepts its connections.
    """

    def __init__(self, name: str, server: raw_upstream.RawUpstream) -> None:
        self.name = name
        self.server = server
        self.is_healthy = True
        #: Milliseconds for which its health check reports it as cold.
        self.cold_ms = 0
        self.runs: list[Run] = []
        server.handler = self._handle

    async def _handle(self, reader, writer) -> None:
        while True:
            head = await scripted_upstream.read_head(reader)
            if head.start_line.startswith("GET /health "):
                status = "200 OK" if self.is_healthy else "503 Leaving"
                writer.write(
                    f"HTTP/1.1 {status}\r\nInstance-Id: {self.name}\r\n"
                    "Server-Load: 0,0,4,100\r\nContent-Length: 0\r\n"
                    f"Cold-Ms: {self.cold_ms}\r\n"
                    "\r\n".encode()
                )
                continue
            run = Run(head, asyncio.get_running_loop().time())
            self.runs.append(run)
            await asyncio.sleep(_RUN_S)
            body = self.name
            writer.write(
                f"HTTP/1.1 200 OK\r\nAttempt-Id: {run.attempt_id}\r\n"
                f"Response-Signature: {self.name}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
            )


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """A daemon and the worker beside it."""

    settings: model.Settings
    worker: Worker

    @property
    def caller(self) -> model.Address:
        """The address for clients."""
        return self.settings.listen.caller


class PlatformFleet:
    """Runs the daemons and workers, and acts as operator and platform.

    :param fleet: starts the processes.
    """

    def __init__(self, fleet: fleets.Fleet) -> None:
        self.fleet = fleet
        self.places: dict[str, Place] = {}
        self._stack = contextlib.AsyncExitStack()
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._config_revision = 0
        self._copied_revision = 0
        #: The entries of the configuration's "tenants".
        self.tenants: tuple[dict[str, object], ...] = ()
        #: Fields of the configuration's only service besides the usual ones.
        self.service_terms: dict[str, object] = {}
        #: The service of all workers, and the only one configured.
        self.service = SERVICE
        self.has_evacuations = False
        #: How closely the daemons that are added keep quotas.
        self.quotas: fleet_terms.QuotaTerms | None = None

    async def __aenter__(self) -> "PlatformFleet":
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    async def add(self, name: str, failure_domain: str) -> Place:
        """Start a daemon and a worker beside it."""
        server = await self._stack.enter_async_context(
            raw_upstream.run_upstream()
        )
        settings = self.fleet.make_settings(
            fleets.NodeSpec(name, failure_domain),
            deployment=model.Deployment(
                service=self.service,
                upstream=model.Address("127.0.0.1", server.port),
                metrics=model.Address("127.0.0.1", ports.free_port()),
                has_evacuations=self.has_evacuations,
            ),
            quotas=self.quotas,
        )
        place = Place(settings, Worker(f"i-{name}", server))
        self.places[name] = place
        await self.start_daemon(name)
        return place

    async def start_daemon(self, name: str) -> None:
        """Start a place's daemon, for the first time or again."""
        self._processes[name] = await self.fleet.start_daemon(
            self.places[name].settings
        )

    async def kill_daemon(self, name: str) -> None:
        """Kill a place's daemon."""
        self._processes[name].kill()
        await self._processes[name].wait()

    @contextlib.contextmanager
    def pause_daemon(self, name: str) -> abc.Iterator[None]:
        """Pause a place's daemon while in use."""
        self._processes[name].send_signal(signal.SIGSTOP)
        try:
            yield
        finally:
            self._processes[name].send_signal(signal.SIGCONT)

    async def configure(self, version: int, **changed: object) -> None:
        """Write the configuration, as the operator does.

        :param changed: fields of its only route that differ.
        """
        route = {
            "name": "all",
            "host": HOST,
            "pathPrefix": "/shop/",
            "kind": "unsafe",
            "timeoutMs": 3000,
            "targetLatencyMs": 500,
            "maxAttempts": 2,
            "priority": 1,
            "service": self.service,
        }
        document = {
            "version": f"r{version}",
            "routes": [{**route, **changed}],
            "services": [
                {"name": self.service, "healthPath": "/health"}
                | self.service_terms
            ],
            "tenants": self.tenants,
        }
        self._config_revision = await self.write_entry(
            _CONFIG_KEY, codec.encode(document), self._config_revision
        )

    async def write_entry(
        self, key: str, value: bytes, revision: int = 0
    ) -> int:
        """Write a key of the store.

        :param revision: the store's revision of its last change, 0 for none.
        :returns: the store's revision of this change.
        """
        put = {"key": key, "value": base64.b64encode(value).decode()}
        return await self._commit(key, revision, puts=[put])

    async def delete_entry(self, key: str, revision: int) -> int:
        """Delete a key of the store.

        :param revision: the store's revision of its last change.
        :returns: the store's revision of this change.
        """
        return await self._commit(key, revision, remove=[key])

    async def _commit(self, key: str, revision: int, **changes: object) -> int:
        transaction = {
            "expected": [{"key": key, "revision": revision}],
            **changes,
        }
        async with self.fleet.session.post(
            f"http://{ports.HOST}:{self.fleet.store_port}/api/kv-txn",
            data=codec.encode(transaction),
        ) as response:
            assert response.status == 200, await response.text()
            return (await response.json())["revision"]

    async def copy_store(self) -> None:
        """Take a copy from which the store can be restored."""
        await self._administer_store("copy")
        self._copied_revision = self._config_revision

    async def restore_store(self) -> None:
        """Let the store come back from the latest copy."""
        await self._administer_store("restore")
        self._config_revision = self._copied_revision

    async def _administer_store(self, action: str) -> None:
        url = f"http://{ports.HOST}:{self.fleet.store_port}/admin/{action}"
        async with self.fleet.session.post(url) as response:
            assert response.status == 200

    async def has_entry(self, key: str) -> bool:
        """Return whether the store has a key."""
        url = f"http://{ports.HOST}:{self.fleet.store_port}/api/kv-key"
        async with self.fleet.session.get(url, params={"key": key}) as found:
            return found.status == 200

    async def send_heartbeat(
        self, name: str, sequence: int, state: str = "ready"
    ) -> int:
        """Send a heartbeat of a place's worker.

        :returns: the status of the response.
        """
        place = self.places[name]
        heartbeat = {
            "service": self.service,
            "address": str(place.settings.deployment.upstream),
            "zone": place.settings.failure_domain,
            "version": "v1",
            "slots": 4,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": sequence,
            "born": 1_000,
        }
        async with self.fleet.session.put(
            self._build_instance_url(name), json=heartbeat
        ) as response:
            return response.status

    async def deregister(self, name: str) -> int:
        """Deregister a place's worker; return the status of the response."""
        async with self.fleet.session.delete(
            self._build_instance_url(name)
        ) as response:
            return response.status

    def _build_instance_url(self, name: str) -> str:
        place = self.places[name]
        address = place.settings.listen.upstream
        return f"http://{address}/api/instances/{place.worker.name}"

    async def ask(
        self, name: str, attempt_id: str, **request_headers: str
    ) -> tuple[int, str]:
        """Send a request to a place's daemon.

        :returns: the status and the body of the response.
        """
        async with self.fleet.session.post(
            f"http://{self.places[name].caller}/shop/1",
            headers={
                "Host": HOST,
                "Attempt-Id": attempt_id,
                "Deadline-Ms": "3000",
                **{
                    key.replace("_", "-"): value
                    for key, value in request_headers.items()
                },
            },
        ) as response:
            return response.status, await response.text()

    async def wait_until_served(self, name: str) -> None:
        """Wait until a place's daemon answers requests."""
        number = 0

        async def is_served() -> bool:
            nonlocal number
            number += 1
            status, _ = await self.ask(name, f"warm-{name}-{number}")
            return status == 200

        await self.fleet.wait_until(is_served, f"{name} serves")
