"""Sends that are under way, each in a task of its own."""

import asyncio
from collections import abc
import contextlib

from burdockdeal.retry import decisions
from burdockdeal.serving import messages

Opened = contextlib.AbstractAsyncContextManager[messages.Response]


class Opening:
    """A send whose answer is being opened.

    :param opened: opens the answer.
    """

    def __init__(self, opened: Opened) -> None:
        self.opened = opened
        self.task: asyncio.Task[messages.Response] = asyncio.create_task(
            opened.__aenter__()
        )

    @property
    def answered(self) -> bool:
        """Whether an answer has begun."""
        task = self.task
        ended = task.done() and not task.cancelled()
        return ended and task.exception() is None

    @property
    def served(self) -> bool:
        """Whether an answer has begun that a repeat could not better."""
        if not self.answered:
            return False
        return not decisions.is_failure(self.task.result().status)

    async def close(self) -> None:
        """End it, and with it what runs for it upstream."""
        if not self.task.done():
            self.task.cancel()
            await asyncio.wait({self.task})
        if self.answered:
            await self.opened.__aexit__(None, None, None)


async def race(
    openings: abc.Sequence[Opening], timeout_s: float | None = None
) -> Opening | None:
    """Wait for the first send that is served.

    :param timeout_s: seconds to wait at most, None without an end.
    :returns: the send that is served; if none is, one that was answered,
        else the last that failed; None if the time is over.
    """
    pending = {opening.task for opening in openings}
    last = openings[-1]
    while pending:
        done, pending = await asyncio.wait(
            pending,
            timeout=timeout_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not done:
            return None
        ended = [opening for opening in openings if opening.task in done]
        last = max((last, *ended), key=lambda opening: opening.answered)
        for opening in ended:
            if opening.served:
                return opening
    return last
