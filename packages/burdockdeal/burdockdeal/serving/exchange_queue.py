"""The requests of a connection that are not answered yet, in their order."""

import asyncio
import collections
from collections import abc

from burdockdeal.serving import connection_end
from burdockdeal.serving import response_channels

#: Called with a channel whose turn has come and whose request has ended, and
#: with whether the connection can be used for another request.
Complete = abc.Callable[[response_channels.ResponseChannel, bool], None]

#: Handles a request, and returns whether the connection can be used for
#: another one. It is not called if the connection is lost before.
Work = abc.Callable[[], abc.Awaitable[bool]]


class ExchangeQueue:
    """Runs the work of requests, and ends each in its turn.

    :param loop: the running event loop.
    :param report_error: reports an error that the work did not handle.
    :param complete: called at the end of each request in its turn.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        report_error: abc.Callable[[Exception], object],
        complete: Complete,
    ) -> None:
        self._loop = loop
        self._report_error = report_error
        self._complete = complete
        self._channels: collections.deque[
            response_channels.ResponseChannel
        ] = collections.deque()
        self._tasks: dict[
            response_channels.ResponseChannel, asyncio.Task[None]
        ] = {}

    def __len__(self) -> int:
        return len(self._channels)

    def __iter__(self) -> abc.Iterator[response_channels.ResponseChannel]:
        return iter(self._channels)

    @property
    def first(self) -> response_channels.ResponseChannel | None:
        """The channel whose turn it is."""
        return self._channels[0] if self._channels else None

    @property
    def last(self) -> response_channels.ResponseChannel | None:
        """The channel of the request that was read last."""
        return self._channels[-1] if self._channels else None

    @property
    def has_open_body(self) -> bool:
        """Whether a request's body is still being received."""
        return any(
            not channel.payload.is_eof()
            and channel.payload.exception() is None
            for channel in self._channels
        )

    def add(
        self, channel: response_channels.ResponseChannel, work: Work
    ) -> None:
        """Start the work of a request behind the others."""
        self._channels.append(channel)
        if len(self._channels) == 1:
            channel.start_turn()
        self._tasks[channel] = self._loop.create_task(self._run(channel, work))

    def remove_first(self) -> None:
        """Remove the request that has ended."""
        self._channels.popleft()

    def start_next(self) -> None:
        """Start the turn of the request that is first now, if any."""
        if self._channels:
            self._channels[0].start_turn()

    def cancel(self, cause: connection_end.Cause) -> None:
        """Cancel the work of all requests, as their connection has ended."""
        for channel in self._channels:
            channel.mark_lost()
        for task in self._tasks.values():
            task.cancel(cause)

    def abandon(self, cause: connection_end.Cause) -> None:
        """Cancel the work of all requests, and remove them."""
        self.cancel(cause)
        self._channels.clear()

    async def _run(
        self, channel: response_channels.ResponseChannel, work: Work
    ) -> None:
        try:
            is_reusable = await self._work_in_turn(channel, work)
        finally:
            self._tasks.pop(channel, None)
        if self._channels:
            self._complete(channel, is_reusable)

    async def _work_in_turn(
        self, channel: response_channels.ResponseChannel, work: Work
    ) -> bool:
        """Do a request's work until its turn has come, however it ends."""
        is_reusable = False
        try:
            is_reusable = await work()
        except Exception as error:
            # Nobody awaits this task, so it has to report the error itself.
            self._report_error(error)
            channel.abort()
        await channel.wait_turn()
        return is_reusable
