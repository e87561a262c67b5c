"""Finding the worker beside a daemon that was started anew."""

import asyncio
from collections import abc

import aiohttp
import mode

from burdockdeal.core import journal
from burdockdeal.platform import headers
from burdockdeal.platform import heartbeats
from burdockdeal.settings import model

#: Names the worker that answers, on its health path.
_NAME = "Instance-Id"

#: Seconds between two questions, and until one is given up.
PAUSE_S = 0.2
TIMEOUT_S = 0.5

_DEFAULT_SLOTS = 9


class Finder(mode.Service):
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

    @mode.Service.task
    async def _ask_until_known(self) -> None:
        while not self.should_stop and not self._beats.heard:
            path = self._health_path()
            if path:
                await self._ask(path)
            await self.sleep(PAUSE_S)

    async def _ask(self, path: str) -> None:
        try:
            async with self._session.get(
                f"http://{self._address}{path}",
                timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
            ) as response:
                name = response.headers.get(_NAME)
                told = headers.read_load(response.headers)
                good = response.status == 200
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            journal.debug("upstream_silent", error=repr(error))
            return
        if good and name and not self._beats.heard:
            self._beats.learn(name, told.slots if told else _DEFAULT_SLOTS)
