"""An event loop whose time is its own, for sessions without waiting."""

import asyncio
from collections import abc
import typing

T = typing.TypeVar("T")


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """A loop whose time jumps to the next timer once all else is done."""

    def __init__(self) -> None:
        super().__init__()
        self._now = 0.0

    def time(self) -> float:
        """Tell the loop's time in seconds."""
        return self._now

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            self._now = max(self._now, self._scheduled[0].when())
        super()._run_once()


def run(main: abc.Coroutine[typing.Any, typing.Any, T]) -> T:
    """Run a coroutine on a loop of its own time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
