"""Delay of requests that arrive just after a daemon's start.

A daemon has neither the configuration nor the list of instances when it
starts to listen; both arrive within tens of milliseconds. A request that
arrives before them waits, which is quicker than a refusal and a retry.
"""

import asyncio
from collections import abc

#: Seconds after the start during which requests wait. What is missing later
#: is missing for longer, so requests are then refused at once.
STARTUP_WAIT_S = 0.4


class StartupGate:
    """Makes requests wait during the time just after the daemon's start.

    :param clock: returns monotonic time in seconds.
    """

    def __init__(self, clock: abc.Callable[[], float]) -> None:
        self._clock = clock
        self._ends_at = clock() + STARTUP_WAIT_S
        self._changed = asyncio.Event()

    def notify_change(self) -> None:
        """Make the waiting requests evaluate their conditions again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for(self, is_ready: abc.Callable[[], bool]) -> None:
        """Wait until a condition holds or the startup time is over."""
        while not is_ready():
            remaining_s = self._ends_at - self._clock()
            if remaining_s <= 0:
                return
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                return
