"""An event loop on virtual time, so that tests need not wait."""

import asyncio
from collections import abc
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
        if not self._ready and self._scheduled:
            self._now = max(self._now, self._scheduled[0].when())
        super()._run_once()


def run(main: abc.Coroutine[typing.Any, typing.Any, T]) -> T:
    """Run a coroutine to its end on a new virtual-time loop."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
