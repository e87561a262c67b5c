"""Waiting for what a daemon learns just after its start.

A daemon knows neither the configuration nor the other instances when it
begins to listen; both come within tens of milliseconds. A request that comes
in between is better off waiting for them than coming again.
"""

import asyncio
from collections import abc

#: Seconds after the start in which a request waits. Later, whatever is
#: missing is away for longer, and the request is refused at once.
STARTUP_WAIT_S = 0.4


class StartupGate:
    """Lets requests wait while the daemon is young.

    :param clock: returns monotonic time in seconds.
    """

    def __init__(self, clock: abc.Callable[[], float]) -> None:
        self._clock = clock
        self._until = clock() + STARTUP_WAIT_S
        self._change = asyncio.Event()

    def notify_change(self) -> None:
        """Let those that wait look again."""
        self._change.set()
        self._change = asyncio.Event()

    async def wait_for(self, is_known: abc.Callable[[], bool]) -> None:
        """Wait until something is known, or the daemon is no longer young."""
        while not is_known():
            left_s = self._until - self._clock()
            if left_s <= 0:
                return
            try:
                async with asyncio.timeout(left_s):
                    await self._change.wait()
            except TimeoutError:
                return
