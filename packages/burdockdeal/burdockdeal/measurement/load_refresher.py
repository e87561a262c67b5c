"""Keeping what is known of the upstream's load fresh.

How long work takes on a machine changes several times in a second, and is
decided when it starts. So the upstream is asked just before, unless its
last answer is fresh enough.
"""

import asyncio
from collections import abc

from burdockdeal.measurement import meter
from burdockdeal.measurement import state

#: Seconds for which what the upstream told is taken as it stands.
FRESH_S = 0.015

#: Seconds that a call waits at most for the upstream to tell its load.
PATIENCE_S = 0.03

#: Seconds between two questions while calls wait for a slow machine.
WATCH_S = 0.015

#: Questions in a second, and how many may be saved up; the upstream's own
#: bound is 60 a second over a day.
ASKS_PER_S = 40.0
ASKS_BURST = 40.0

#: Ask the upstream for its load; None without an answer.
QueryLoad = abc.Callable[[], abc.Awaitable[state.UpstreamLoad | None]]


class LoadRefresher:
    """Asks the upstream for its load when that is needed.

    :param times: takes what it tells.
    :param ask: asks it.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        times: meter.Meter,
        ask: QueryLoad,
        clock: abc.Callable[[], float],
    ) -> None:
        self._times = times
        self._ask = ask
        self._clock = clock
        self._asking: asyncio.Task[None] | None = None
        self._watching: asyncio.Task[None] | None = None
        self._tokens = ASKS_BURST
        self._filled_at = clock()
        self.asked = 0

    async def __aenter__(self) -> "LoadRefresher":
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in filter(None, (self._asking, self._watching)):
            task.cancel()

    async def refresh(self) -> None:
        """Ask the upstream, unless what is known is fresh."""
        if self._times.upstream_load_age_s <= FRESH_S:
            return
        if self._asking is None and not self._pay():
            return
        if self._asking is None:
            self._asking = asyncio.ensure_future(self._ask_once())
        await asyncio.wait({self._asking}, timeout=PATIENCE_S)

    def poll_while(self, is_needed: abc.Callable[[], bool]) -> None:
        """Ask again and again while that is needed."""
        if self._watching is None:
            self._watching = asyncio.ensure_future(self._watch(is_needed))

    def _pay(self) -> bool:
        now = self._clock()
        gained = (now - self._filled_at) * ASKS_PER_S
        self._tokens = min(ASKS_BURST, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    async def _ask_once(self) -> None:
        self.asked += 1
        try:
            self._times.record_upstream_load(await self._ask())
        finally:
            self._asking = None

    async def _watch(self, is_needed: abc.Callable[[], bool]) -> None:
        try:
            while is_needed():
                await asyncio.sleep(WATCH_S)
                await self.refresh()
        finally:
            self._watching = None
