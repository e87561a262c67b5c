"""Channels that keep the responses of a pipelined connection in order."""

import asyncio
import typing

from aiohttp import http_writer
from aiohttp import streams

from burdockdeal.serving import held_memory

#: Bytes of a response that are buffered before its turn; further writes wait.
MAX_BUFFERED_BYTES = 262_144


class ConnectionProtocol(typing.Protocol):
    """The connection that a channel belongs to."""

    transport: asyncio.Transport | None
    closing: bool

    def decide_close(self, channel: "ResponseChannel") -> bool:
        """Decide whether the connection closes after a channel's response."""

    def has_followers(self, channel: "ResponseChannel") -> bool:
        """Return whether requests were read behind a channel's request."""

    def record_write(self, size: int) -> None:
        """Record that bytes of a response were written or buffered."""


class ResponseChannel:
    """Buffers a response until the responses before it are written.

    It takes the place of the protocol and the transport that aiohttp's
    writer expects.

    :param connection: the connection that it belongs to.
    :param payload: the request's body.
    :param loop: the running event loop.
    :param body_bytes: the length of the request's body, None if not known.
    :param follows_stream: whether a response before it has begun that has no
        length. The request waits for its end, which may never come.
    """

    #: Read from the protocol by aiohttp's requests.
    ssl_context = None

    def __init__(
        self,
        connection: ConnectionProtocol,
        payload: streams.StreamReader,
        loop: asyncio.AbstractEventLoop,
        body_bytes: int | None = None,
        *,
        follows_stream: bool = False,
    ) -> None:
        self._body_bytes = body_bytes
        self._connection = connection
        self._loop = loop
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0
        self._turn: asyncio.Future[None] = loop.create_future()
        self._has_sent = False
        self._is_aborted = False
        self._is_lost = False
        #: Whether the head of its response is built, and so says whether the
        #: connection closes.
        self.has_head = False
        self.payload = payload
        self.follows_stream = follows_stream
        self.writer = http_writer.StreamWriter(self, loop)

    @property
    def is_current(self) -> bool:
        """Whether its response is the next one on the connection."""
        return self._turn.done()

    @property
    def has_begun(self) -> bool:
        """Whether a part of its response was sent to the client.

        Interim responses are no part of it.
        """
        return self._has_sent and self.writer.output_size > 0

    @property
    def has_output(self) -> bool:
        """Whether a part of its response was written, or it was given up."""
        return self._is_aborted or self.writer.output_size > 0

    @property
    def is_cut(self) -> bool:
        """Whether its response was given up after a part was sent."""
        return self._is_aborted and self.has_begun

    @property
    def has_length(self) -> bool:
        """Whether its response says where it ends, or its chunks do."""
        return self.writer.chunked or self.writer.length is not None

    @property
    def is_stream(self) -> bool:
        """Whether its response is being sent and has no length."""
        return self.has_begun and self.writer.length is None

    @property
    def has_followers(self) -> bool:
        """Whether further requests were read from the connection."""
        return self._connection.has_followers(self)

    @property
    def buffered_bytes(self) -> int:
        """Bytes of its response that wait for its turn."""
        return self._buffered_bytes

    @property
    def transport(self) -> typing.Optional["ResponseChannel"]:
        """The transport for the writer, None once the connection is lost."""
        return None if self._connection.transport is None else self

    @property
    def peername(self) -> typing.Any:
        """The client's address."""
        transport = self._connection.transport
        return transport.get_extra_info("peername") if transport else None

    @property
    def sockname(self) -> typing.Any:
        """The address that the client connected to."""
        transport = self._connection.transport
        return transport.get_extra_info("sockname") if transport else None

    @property
    def _paused(self) -> bool:
        if not self.is_current:
            return self._buffered_bytes > MAX_BUFFERED_BYTES
        return self._connection._paused

    def measure(self, replay_bytes: int) -> int:
        """Return the bytes that the request and its response hold.

        :param replay_bytes: the size up to which its body is buffered.
        """
        relayed = held_memory.WINDOW_BYTES if self._paused else 0
        return (
            held_memory.REQUEST_BYTES
            + self._buffered_bytes
            + relayed
            + held_memory.measure_body(
                self.payload, self._body_bytes, replay_bytes
            )
        )

    def is_closing(self) -> bool:
        """Return whether nothing more can be written."""
        transport = self._connection.transport
        return self._is_aborted or transport is None or transport.is_closing()

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that are not yet sent to the client."""
        transport = self._connection.transport
        if not self.is_current or transport is None:
            return self._buffered_bytes
        return transport.get_write_buffer_size()

    def write(self, chunk: bytes) -> None:
        """Write bytes, or buffer them until the channel's turn."""
        if self.is_current:
            self._has_sent = True
            self._connection.transport.write(chunk)
        else:
            self._buffer.append(bytes(chunk))
            self._buffered_bytes += len(chunk)
        self._connection.record_write(len(chunk))

    def writelines(self, chunks: typing.Iterable[bytes]) -> None:
        """Write several chunks, or buffer them until the channel's turn."""
        self.write(b"".join(chunks))

    def abort(self) -> None:
        """Give up the response; nothing more of it is written.

        The connection ends with it at its turn, and not before, as the
        responses before it have to arrive.
        """
        self._is_aborted = True
        self._drop_buffer()

    def restart(self) -> bool:
        """Drop the response, so that another one can take its place.

        :returns: whether that is possible: nothing of it was sent.
        """
        if self.has_begun or self._is_lost:
            return False
        self._drop_buffer()
        self._is_aborted = self.has_head = False
        self.writer = http_writer.StreamWriter(self, self._loop)
        return True

    def start_turn(self) -> None:
        """Write the buffered bytes; later writes go straight through."""
        if self._turn.done():
            return
        self._turn.set_result(None)
        if self._buffer and self._connection.transport is not None:
            self._has_sent = True
            self._connection.transport.write(b"".join(self._buffer))
        self._drop_buffer()

    def mark_lost(self) -> None:
        """Handle the loss of the connection."""
        self._is_aborted = self._is_lost = True
        self._drop_buffer()
        held_memory.break_off_body(self.payload, ConnectionResetError())
        if not self._turn.done():
            self._turn.cancel()

    async def wait_turn(self) -> None:
        """Wait until the responses before this one are written."""
        await asyncio.shield(self._turn)

    async def _drain_helper(self) -> None:
        await self.wait_turn()
        if self._connection._paused:
            await self._connection._drain_helper()

    def decide_close(self) -> bool:
        """Decide whether the connection closes after this response.

        A connection that reads no further requests closes after the response
        to the last one, so that every request that was read is answered.
        """
        self.has_head = True
        return self._connection.decide_close(self)

    def _drop_buffer(self) -> None:
        self._buffer.clear()
        self._buffered_bytes = 0
