"""Sends in flight, each in its own task, for hedging."""

import asyncio
from collections import abc
import contextlib

from burdockdeal.retry import decisions
from burdockdeal.serving import messages

ResponseContext = contextlib.AbstractAsyncContextManager[messages.Response]


class PendingSend:
    """A send whose response is awaited in a task.

    :param context: opens and closes the response.
    """

    def __init__(self, context: ResponseContext) -> None:
        self.context = context
        self.task: asyncio.Task[messages.Response] = asyncio.create_task(
            context.__aenter__()
        )

    @property
    def responded(self) -> bool:
        """Whether a response has begun."""
        task = self.task
        ended = task.done() and not task.cancelled()
        return ended and task.exception() is None

    @property
    def succeeded(self) -> bool:
        """Whether a response has begun that is not worth a retry."""
        if not self.responded:
            return False
        return not decisions.is_retriable_status(self.task.result().status)

    async def close(self) -> None:
        """Cancel the send or close its response, ending its run upstream."""
        if not self.task.done():
            self.task.cancel()
            await asyncio.wait({self.task})
        if self.responded:
            await self.context.__aexit__(None, None, None)


async def race(
    sends: abc.Sequence[PendingSend], timeout_s: float | None = None
) -> PendingSend | None:
    """Wait for the first send that succeeds.

    :param timeout_s: maximum wait in seconds, None to wait without limit.
    :returns: the send that succeeded; if none does, one that got a response,
        else the last that failed; None on a time-out.
    """
    pending = {send.task for send in sends}
    last = sends[-1]
    while pending:
        done, pending = await asyncio.wait(
            pending,
            timeout=timeout_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not done:
            return None
        ended = [send for send in sends if send.task in done]
        last = max((last, *ended), key=lambda send: send.responded)
        for send in ended:
            if send.succeeded:
                return send
    return last
