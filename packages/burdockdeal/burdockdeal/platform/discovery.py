"""Discovery of a running upstream after a restart of the daemon."""

import asyncio
from collections import abc
import dataclasses

import aiohttp
import mode

from burdockdeal.core import event_log
from burdockdeal.measurement import state as measurement
from burdockdeal.platform import headers
from burdockdeal.platform import heartbeats
from burdockdeal.settings import model

#: The header with the id of the upstream, in the response to a health check.
_INSTANCE_ID = "Instance-Id"

#: Interval between two health checks, and the timeout of one, in seconds.
INTERVAL_S = 0.2
TIMEOUT_S = 0.5

#: Maximum size of the body of a health check's response, in bytes. A faulty
#: upstream may send a body without end.
MAX_BODY_BYTES = 65_536

#: Slots assumed for an upstream that does not report its load.
_DEFAULT_SLOTS = 9


@dataclasses.dataclass(frozen=True, slots=True)
class Health:
    """The result of a health check.

    :param name: the id of the upstream, empty if it reports none.
    :param healthy: whether the upstream reports that it is healthy; the
        report can be wrong.
    :param load: the load that it reports, None if it reports none.
    :param cold_ms: milliseconds for which it is still cold, None if it
        doesn't say.
    """

    name: str
    healthy: bool
    load: measurement.UpstreamLoad | None
    cold_ms: float | None = None


async def check_health(
    session: aiohttp.ClientSession, address: model.Address, path: str
) -> Health | None:
    """Send a health check to the upstream.

    :returns: the result, or None if no response arrived in time, or one
        with too long a body.
    """
    try:
        async with session.get(
            f"http://{address}{path}",
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
        ) as response:
            if not await _skip_body(response):
                event_log.warn("health_check_too_long", address=address)
                response.close()
                return None
            return Health(
                name=response.headers.get(_INSTANCE_ID, ""),
                healthy=response.status == 200,
                load=headers.read_load(response.headers),
                cold_ms=headers.read_cold_ms(response.headers),
            )
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
        event_log.debug("health_check_failed", error=repr(error))
        return None


async def _skip_body(response: aiohttp.ClientResponse) -> bool:
    """Read a body to its end, so that the connection can be used again.

    :returns: False if it is longer than the limit.
    """
    size = 0
    while chunk := await response.content.readany():
        size += len(chunk)
        if size > MAX_BODY_BYTES:
            return False
    return True


class UpstreamDiscovery(mode.Service):
    """Sends health checks to the upstream until it is confirmed.

    A daemon can restart while its upstream keeps running, and the next
    heartbeat of the upstream can be seconds away.

    :param session: the HTTP session for the health checks.
    :param address: the address of the upstream.
    :param receiver: told of the upstream once it is discovered.
    :param health_path: returns the path of the health check, empty while
        it isn't known.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: model.Address,
        receiver: heartbeats.HeartbeatReceiver,
        health_path: abc.Callable[[], str],
    ) -> None:
        super().__init__()
        self._session = session
        self._address = address
        self._receiver = receiver
        self._health_path = health_path
        self._path_known = asyncio.Event()

    def check_path(self) -> None:
        """Start the health checks if their path has become known."""
        if self._health_path():
            self._path_known.set()

    @mode.Service.task
    async def _discover_upstream(self) -> None:
        await self._path_known.wait()
        while (
            not self.should_stop and not self._receiver.is_upstream_confirmed
        ):
            await self._check_once(self._health_path())
            await self.sleep(INTERVAL_S)

    async def _check_once(self, path: str) -> None:
        health = await check_health(self._session, self._address, path)
        if health is None or not health.healthy or not health.name:
            return
        slots = health.load.slots if health.load else _DEFAULT_SLOTS
        self._receiver.record_discovered(health.name, slots)
        if health.cold_ms is not None:
            self._receiver.record_cold(health.name, health.cold_ms)
