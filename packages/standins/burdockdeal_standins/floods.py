"""Servers that answer with bytes that are no answer, without end."""

import asyncio
from collections import abc
import contextlib
import dataclasses

from burdockdeal_standins import raw_http
from burdockdeal_standins import scripted_upstream


@dataclasses.dataclass(frozen=True, slots=True)
class Flood:
    """What a server sends once, and what it then sends again and again.

    :param body_share: share of the repeated bytes that a client would keep.
    """

    start: bytes
    repeated: bytes
    body_share: float = 1.0


#: Seconds within which a client must have closed a flooded connection.
_CLOSE_TIMEOUT_S = 10.0

_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
_EMPTY = _OK + b"Content-Length: 0\r\n\r\n"

#: Bytes that never become an answer, or never end one, by their kind.
FLOODS = {
    "zeros before a status line": Flood(b"", b"\0" * 65_536),
    "line ends before a status line": Flood(b"", b"\r\n" * 32_768),
    "text before a status line": Flood(b"", b"error: " * 9_362),
    "status line": Flood(b"HTTP/1.1 200 ", b"O" * 65_536),
    "header value": Flood(_OK + b"X-Long: ", b"a" * 65_536),
    "header name": Flood(_OK, b"a" * 65_536),
    "header lines": Flood(_OK, b"X-Line: 1\r\n" * 5_957),
    "interim responses": Flood(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_621),
    "early hints": Flood(
        b"",
        b"HTTP/1.1 103 Early\r\nLink: " + b"l" * 4_000 + b"\r\n\r\n",
    ),
    "switched protocols": Flood(
        b"HTTP/1.1 101 Switching\r\nConnection: upgrade\r\n"
        b"Upgrade: other\r\n\r\n",
        b"x" * 65_536,
    ),
    "body without a length": Flood(_OK + b"\r\n", b"x" * 65_536),
    "body with a length": Flood(
        _OK + b"Content-Length: 999999999999\r\n\r\n",
        b"x" * 65_536,
    ),
    "chunks": Flood(_CHUNKED, b"10000\r\n" + b"x" * 65_536 + b"\r\n"),
    "chunks of one byte": Flood(
        _CHUNKED, b"1\r\nx\r\n" * 10_922, body_share=1 / 6
    ),
    "chunk size": Flood(_CHUNKED, b"0" * 65_536),
    "chunk extension": Flood(_CHUNKED + b"1", b";a=b" * 16_384),
    "trailers": Flood(_CHUNKED + b"0\r\n", b"X-Trailer: 1\r\n" * 4_681),
    "responses after the response": Flood(b"", _EMPTY * 1_724),
    "body of a response without one": Flood(
        b"HTTP/1.1 204 No Content\r\n\r\n",
        b"x" * 65_536,
    ),
}


async def _flood(
    writer: asyncio.StreamWriter, flood: Flood
) -> abc.AsyncIterator[int]:
    """Flood a connection until it is closed; yield the bytes written."""
    writer.write(flood.start)
    while True:
        writer.write(flood.repeated)
        await writer.drain()
        yield len(flood.repeated)


class FloodingUpstream:
    """Floods the connections of some requests, and serves the others."""

    def __init__(self, flood: Flood) -> None:
        self._flood = flood
        self.floods = 0

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handle the requests of a connection."""
        while True:
            head = await scripted_upstream.read_head(reader)
            if "/endless" in head.start_line:
                self.floods += 1
                async for _ in _flood(writer, self._flood):
                    pass
            writer.write(raw_http.OK_RESPONSE)


class FloodingServer:
    """Floods each connection as soon as a request has arrived on it."""

    def __init__(self, flood: Flood) -> None:
        self._flood = flood
        self.floods = 0
        self._sent_bytes = 0
        self._closed = asyncio.Event()

    @property
    def kept_bytes(self) -> float:
        """The bytes that clients have been sent and might have kept."""
        return self._sent_bytes * self._flood.body_share

    async def wait_until_closed(self) -> None:
        """Wait until a client has closed its connection."""
        async with asyncio.timeout(_CLOSE_TIMEOUT_S):
            await self._closed.wait()

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handle a connection."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            self.floods += 1
            async for size in _flood(writer, self._flood):
                self._sent_bytes += size
        self._closed.set()
        writer.close()


@contextlib.asynccontextmanager
async def run_flooding_server(
    host: str, port: int, flood: Flood
) -> abc.AsyncIterator[FloodingServer]:
    """Run a server in place of one that has ended."""
    flooding = FloodingServer(flood)
    server = await asyncio.start_server(flooding.accept, host, port)
    try:
        yield flooding
    finally:
        server.close()
