"""An event loop on virtual time, so that tests need not wait."""

import asyncio
from collections import abc
import heapq
import typing

T = typing.TypeVar("T")


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """A loop whose time jumps to the next timer when nothing else is ready."""

    def __init__(self) -> None:
        super().__init__()
        self._now = 0.0

    def time(self) -> float:
        """Return the loop's virtual time in seconds."""
        return self._now

    def _run_once(self) -> None:
        # A cancelled timer at the front would hide the next one, for which
        # the loop would then wait in real time.
        while self._scheduled and self._scheduled[0].cancelled():
            self._timer_cancelled_count -= 1
            heapq.heappop(self._scheduled)._scheduled = False
        if not self._ready and self._scheduled:
            self._now = max(self._now, self._scheduled[0].when())
        super()._run_once()


def run(main: abc.Coroutine[typing.Any, typing.Any, T]) -> T:
    """Run a coroutine to its end on a new virtual-time loop."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
