"""Finding the worker beside a daemon that was started anew."""

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

#: Names the worker that answers, on its health path.
_NAME = "Instance-Id"

#: Seconds between two questions, and until one is given up.
PAUSE_S = 0.2
TIMEOUT_S = 0.5

_DEFAULT_SLOTS = 9


@dataclasses.dataclass(frozen=True, slots=True)
class Health:
    """What a worker tells on its health path.

    :param name: its id.
    :param healthy: what it says of itself; it may be wrong.
    :param told: its load, None if it does not tell.
    """

    name: str
    healthy: bool
    told: measurement.UpstreamLoad | None


async def check_health(
    session: aiohttp.ClientSession, address: model.Address, path: str
) -> Health | None:
    """Ask a worker's health path.

    :returns: None without an answer in time.
    """
    try:
        async with session.get(
            f"http://{address}{path}",
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
        ) as response:
            await response.read()
            return Health(
                name=response.headers.get(_NAME, ""),
                healthy=response.status == 200,
                told=headers.read_load(response.headers),
            )
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
        event_log.debug("upstream_silent", error=repr(error))
        return None


class UpstreamDiscovery(mode.Service):
    """Asks the upstream's health path until the worker is known.

    A daemon may be started while its worker goes on; the next heartbeat
    can be seconds away.

    :param health_path: returns the path, empty while it isn't known.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: model.Address,
        beats: heartbeats.Heartbeats,
        health_path: abc.Callable[[], str],
    ) -> None:
        super().__init__()
        self._session = session
        self._address = address
        self._beats = beats
        self._health_path = health_path
        self._path_known = asyncio.Event()

    def look(self) -> None:
        """Ask at once if the path has become known."""
        if self._health_path():
            self._path_known.set()

    @mode.Service.task
    async def _ask_until_known(self) -> None:
        await self._path_known.wait()
        while not self.should_stop and not self._beats.heard:
            await self._ask(self._health_path())
            await self.sleep(PAUSE_S)

    async def _ask(self, path: str) -> None:
        health = await check_health(self._session, self._address, path)
        if health is None or not health.healthy or not health.name:
            return
        if not self._beats.heard:
            told = health.told
            slots = told.slots if told else _DEFAULT_SLOTS
            self._beats.learn(health.name, slots)
