"""Queries that keep the known load of the upstream up to date.

The speed of a machine changes several times a second, and a call keeps the
speed at which it starts. So the upstream is queried just before a call
starts, unless its last report is recent enough.
"""

import asyncio
from collections import abc

from burdockdeal.measurement import meter
from burdockdeal.measurement import state

#: Age in seconds up to which a report is used without a new query.
MAX_AGE_S = 0.015

#: The longest time that a call waits for the response to a query, in
#: seconds.
MAX_WAIT_S = 0.03

#: Seconds between two queries while calls wait for a slow machine.
POLL_INTERVAL_S = 0.015

#: The rate limit on queries, as a token bucket; the upstream's own limit is
#: 60 a second over a day.
QUERIES_PER_S = 40.0
QUERY_BURST = 40.0

#: Query the upstream for its load; None if it does not answer.
QueryLoad = abc.Callable[[], abc.Awaitable[state.UpstreamLoad | None]]


class LoadRefresher:
    """Queries the upstream for its load when a recent value is needed.

    :param times: records the load that the upstream reports.
    :param query_load: queries the upstream.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        times: meter.Meter,
        query_load: QueryLoad,
        clock: abc.Callable[[], float],
    ) -> None:
        self._times = times
        self._query_load = query_load
        self._clock = clock
        self._query: asyncio.Task[None] | None = None
        self._poll: asyncio.Task[None] | None = None
        self._tokens = QUERY_BURST
        self._filled_at = clock()
        self.queries = 0

    async def __aenter__(self) -> "LoadRefresher":
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in filter(None, (self._query, self._poll)):
            task.cancel()

    async def refresh(self) -> None:
        """Query the upstream unless its last report is recent.

        Concurrent callers share one query. Returns without a new report if
        the rate limit is reached or the response takes too long.
        """
        if self._times.upstream_load_age_s <= MAX_AGE_S:
            return
        if self._query is None and not self._take_token():
            return
        if self._query is None:
            self._query = asyncio.ensure_future(self._run_query())
        await asyncio.wait({self._query}, timeout=MAX_WAIT_S)

    def poll_while(self, is_needed: abc.Callable[[], bool]) -> None:
        """Query the upstream repeatedly until a condition is false.

        Does nothing while such polling is already under way.
        """
        if self._poll is None:
            self._poll = asyncio.ensure_future(
                self._poll_until_unneeded(is_needed)
            )

    def _take_token(self) -> bool:
        now = self._clock()
        gained = (now - self._filled_at) * QUERIES_PER_S
        self._tokens = min(QUERY_BURST, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    async def _run_query(self) -> None:
        self.queries += 1
        try:
            self._times.record_upstream_load(await self._query_load())
        finally:
            self._query = None

    async def _poll_until_unneeded(
        self, is_needed: abc.Callable[[], bool]
    ) -> None:
        try:
            while is_needed():
                await asyncio.sleep(POLL_INTERVAL_S)
                await self.refresh()
        finally:
            self._poll = None
