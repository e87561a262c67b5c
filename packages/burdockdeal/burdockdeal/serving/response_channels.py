"""Lanes: what each answer of a pipelined connection is written to."""

import asyncio
import typing

from aiohttp import http_writer
from aiohttp import streams

#: Bytes of an answer that are kept until its turn; its writer then waits.
HELD_BYTES = 262_144


class Owner(typing.Protocol):
    """The connection that a lane belongs to."""

    transport: asyncio.Transport | None
    closing: bool
    server_closing: bool

    def is_last(self, lane: "ResponseChannel") -> bool:
        """Tell whether no request was sent behind one."""

    def abort(self) -> None:
        """Reset the connection."""


class ResponseChannel:
    """Holds an answer's bytes until those before it are written.

    It stands in for the protocol and the transport that aiohttp's writer
    expects.

    :param connection: what it belongs to.
    :param payload: the request's body.
    """

    #: As aiohttp's requests ask their protocol for it.
    ssl_context = None

    def __init__(
        self,
        connection: Owner,
        payload: streams.StreamReader,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._connection = connection
        self._held: list[bytes] = []
        self._held_bytes = 0
        self._turn: asyncio.Future[None] = loop.create_future()
        self._broken = False
        self.payload = payload
        self.writer = http_writer.StreamWriter(self, loop)

    @property
    def first(self) -> bool:
        """Whether its bytes are next on the connection."""
        return self._turn.done()

    @property
    def transport(self) -> typing.Optional["ResponseChannel"]:
        """What the writer writes to, None once the connection is lost."""
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
        if not self.first:
            return self._held_bytes > HELD_BYTES
        return self._connection._paused

    def is_closing(self) -> bool:
        """Tell whether nothing more can be written."""
        transport = self._connection.transport
        return self._broken or transport is None or transport.is_closing()

    def get_write_buffer_size(self) -> int:
        """Count the bytes that wait for the client."""
        transport = self._connection.transport
        if not self.first or transport is None:
            return self._held_bytes
        return transport.get_write_buffer_size()

    def write(self, chunk: bytes) -> None:
        """Write bytes, or keep them until the turn has come."""
        if self.first:
            self._connection.transport.write(chunk)
            return
        self._held.append(bytes(chunk))
        self._held_bytes += len(chunk)

    def writelines(self, chunks: typing.Iterable[bytes]) -> None:
        """Write several pieces."""
        self.write(b"".join(chunks))

    def abort(self) -> None:
        """Reset the connection once the turn has come."""
        self._broken = True
        if self.first:
            self._connection.abort()

    def take_turn(self) -> None:
        """Write what was kept; all that follows is written at once."""
        if self._turn.done():
            return
        self._turn.set_result(None)
        if self._broken:
            self._connection.abort()
            return
        if self._held and self._connection.transport is not None:
            self._connection.transport.write(b"".join(self._held))
        self._held.clear()
        self._held_bytes = 0

    def lose(self) -> None:
        """Take in that the connection is lost."""
        self._broken = True
        if not self._turn.done():
            self._turn.cancel()

    async def wait_turn(self) -> None:
        """Wait until the answers before are written."""
        await asyncio.shield(self._turn)

    async def _drain_helper(self) -> None:
        await self.wait_turn()
        if self._connection._paused:
            await self._connection._drain_helper()

    def ends_connection(self, wanted: bool) -> bool:
        """Tell whether the connection is to end with this answer.

        While the server closes, the answer to the last request that was
        read ends it, so that each that was read is answered.

        :param wanted: whether the client wants it.
        """
        connection = self._connection
        last = connection.is_last(self)
        ends = wanted or (last and connection.server_closing)
        if ends:
            connection.closing = True
        return ends
