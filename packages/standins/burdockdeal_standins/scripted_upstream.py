"""An in-process upstream that tests control byte by byte."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import socket
import struct

from burdockdeal.announce import messages
from burdockdeal_standins import upstream

#: Handles one accepted connection.
Handler = abc.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], abc.Awaitable[None]
]


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The head of a request or response, exactly as received.

    :param start_line: the request line or status line.
    :param field_lines: the header lines, each as it was written.
    """

    start_line: str
    field_lines: tuple[str, ...]

    def values(self, name: str) -> list[str]:
        """List the values of a header in the order received."""
        pairs = [line.split(":", 1) for line in self.field_lines]
        return [
            value.strip()
            for key, value in pairs
            if key.lower() == name.lower()
        ]


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read the head of a request or response.

    :raises IncompleteReadError: if the connection ends first.
    """
    raw = await reader.readuntil(b"\r\n\r\n")
    start_line, *field_lines = raw.decode("latin-1").strip().split("\r\n")
    return Head(start_line, tuple(field_lines))


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Abort a connection with RST instead of closing it with FIN."""
    no_linger = struct.pack("ii", 1, 0)
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    writer.transport.abort()


class ScriptedUpstream:
    """An upstream whose connections are handled by a replaceable function.

    :param daemon: host and port of the daemon's upstream interface.
    """

    def __init__(self, service: str, daemon: str, port: int) -> None:
        self.daemon = daemon
        self.port = port
        self.service = service
        self.handler: Handler | None = None
        self.connections = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Count a connection and pass it to the handler."""
        self.connections += 1
        assert self.handler is not None
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await self.handler(reader, writer)
        writer.close()


@contextlib.asynccontextmanager
async def run_scripted_upstream(
    service: str,
    daemon: str,
    port: int,
    *,
    incarnation: int = 1,
    slots: int = 9,
) -> abc.AsyncIterator[ScriptedUpstream]:
    """Run a scripted upstream and announce it to its daemon while in use.

    :param slots: number of calls that it is sent at the same time.
    """
    scripted = ScriptedUpstream(service, daemon, port)
    server = await asyncio.start_server(scripted.accept, "127.0.0.1", port)
    announce = messages.Announce(
        service=service,
        host="127.0.0.1",
        port=port,
        incarnation=incarnation,
        slots=slots,
    )
    state = upstream.UpstreamState(announce, 1)
    announcing = asyncio.create_task(upstream.announce_forever(state, daemon))
    try:
        yield scripted
    finally:
        announcing.cancel()
        server.close()
