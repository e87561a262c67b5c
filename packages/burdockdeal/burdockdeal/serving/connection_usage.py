"""What a connection holds, and since when it has made no progress."""

import asyncio
from collections import abc
import math

from burdockdeal.overload import state
from burdockdeal.serving import held_memory
from burdockdeal.serving import response_channels

#: Bytes that count as progress, so that a client that sends or takes a byte
#: now and then makes none.
PROGRESS_BYTES = 4096


class ConnectionUsage:
    """Measures one connection.

    :param now: monotonic time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._progress_at = now
        self._responses = 0
        self._written_bytes = 0
        self._sent_before = 0
        self._unread_since = math.inf
        #: Responses, sent bytes and consumed bytes at the last progress.
        self._seen = (0, 0, 0)

    @property
    def unread_since(self) -> float:
        """When the client last took a part of what is left to send to it.

        Infinite if nothing is left.
        """
        return self._unread_since

    def record_response(self) -> None:
        """Record that a response has ended."""
        self._responses += 1

    def record_write(self, size: int) -> None:
        """Record that bytes of a response were written or buffered."""
        self._written_bytes += size

    def measure(
        self,
        channels: abc.Iterable[response_channels.ResponseChannel],
        transport: asyncio.WriteTransport | None,
        *,
        unparsed_bytes: int,
        replay_bytes: int,
        now: float,
    ) -> state.Holding:
        """Measure what the connection holds, and its progress.

        :param channels: of the requests that are not answered.
        :param unparsed_bytes: bytes that are held outside of bodies.
        :param replay_bytes: the size up to which a body is buffered.
        :param now: monotonic time in seconds.
        """
        unsent = transport.get_write_buffer_size() if transport else 0
        requests = sum(channel.measure(replay_bytes) for channel in channels)
        waiting = sum(channel.buffered_bytes for channel in channels)
        sent_bytes = self._written_bytes - unsent - waiting
        if not unsent:
            self._unread_since = math.inf
        elif (
            self._unread_since > now
            or sent_bytes - self._sent_before >= PROGRESS_BYTES
        ):
            self._unread_since = now
            self._sent_before = sent_bytes
        self._update_progress(
            now,
            sent_bytes=sent_bytes,
            consumed_bytes=sum(
                held_memory.count_consumed_bytes(channel.payload)
                for channel in channels
            ),
        )
        return state.Holding(
            held_memory.CONNECTION_BYTES + unparsed_bytes + unsent + requests,
            now - self._progress_at,
        )

    def _update_progress(
        self, now: float, *, sent_bytes: int, consumed_bytes: int
    ) -> None:
        responses, sent_before, consumed_before = self._seen
        if (
            self._responses > responses
            or sent_bytes - sent_before >= PROGRESS_BYTES
            or consumed_bytes - consumed_before >= PROGRESS_BYTES
        ):
            self._seen = (self._responses, sent_bytes, consumed_bytes)
            self._progress_at = now
