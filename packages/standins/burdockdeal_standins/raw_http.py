"""A path of two daemons, driven and answered byte by byte."""

import asyncio
from collections import abc
import contextlib
import json

from burdockdeal_standins import fleet as fleets
from burdockdeal_standins import scripted_upstream

OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

#: Seconds in which bytes surely arrive before their connection is reset.
_ARRIVAL_S = 0.05

GET_REQUEST = b"GET /jobs/1 HTTP/1.1\r\nHost: here\r\n\r\n"


class CallerConnection:
    """A caller that writes the bytes it is told to."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def read_all(self) -> bytes:
        """Read until the other side closes."""
        return await asyncio.wait_for(self.reader.read(), 10)

    async def read_head(self) -> scripted_upstream.Head:
        """Read the head of a response."""
        return await asyncio.wait_for(
            scripted_upstream.read_head(self.reader), 10
        )

    async def read_response(self) -> tuple[scripted_upstream.Head, bytes]:
        """Read a response with a Content-Length."""
        head = await self.read_head()
        length = int(head.values("Content-Length")[0])
        return head, await self.reader.readexactly(length)

    async def read_refusal(self) -> tuple[str, str, str]:
        """Read status, verdict and reason, which head and body share."""
        head, body = await self.read_response()
        told = json.loads(body)
        assert head.values("Burdockdeal-Verdict") == [told["verdict"]]
        assert head.values("Burdockdeal-Reason") == [told["reason"]]
        return head.start_line.split()[1], told["verdict"], told["reason"]


class Harness:
    """A fleet with one scripted upstream, reached by one or two hops."""

    def __init__(
        self, fleet: fleets.Fleet, upstream: scripted_upstream.ScriptedUpstream
    ) -> None:
        self.fleet = fleet
        self.upstream = upstream
        self.raw = b""

    @contextlib.asynccontextmanager
    async def connect(
        self, raw: bytes, node: str = "d1", port: str = "caller"
    ) -> abc.AsyncIterator[CallerConnection]:
        """Connect to a daemon and write bytes."""
        listen = self.fleet.nodes[node].settings.listen
        address = getattr(listen, port)
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        writer.write(raw)
        try:
            yield CallerConnection(reader, writer)
        finally:
            writer.close()

    def respond_to_all(self, raw: bytes) -> list[scripted_upstream.Head]:
        """Answer every request without a body with the same bytes."""
        self.raw = raw
        heads: list[scripted_upstream.Head] = []

        async def handle(reader, writer) -> None:
            while True:
                heads.append(await scripted_upstream.read_head(reader))
                writer.write(self.raw)

        self.upstream.handler = handle
        return heads

    def respond_once(self, raw: bytes, *, reset: bool = False) -> None:
        """Answer one request of each connection, then end it.

        :param reset: whether it is reset, not closed.
        """

        async def handle(reader, writer) -> None:
            await scripted_upstream.read_head(reader)
            writer.write(raw)
            await writer.drain()
            if reset:
                await asyncio.sleep(_ARRIVAL_S)
                scripted_upstream.reset_connection(writer)

        self.upstream.handler = handle

    async def check_truncated_response(self, node: str) -> None:
        """Check that the response to a booking is not taken for whole."""
        post = (
            b"POST /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        async with self.connect(post, node) as connection:
            try:
                told = await connection.read_all()
            except ConnectionError:
                told = b""
        if b"200 OK" in told:
            assert not told.endswith(b"0\r\n\r\n")
            assert b"Content-Length: 4\r\n" not in told
        elif told:
            assert b'"reason":"BROKEN_CONNECTION"' in told
            assert b'"verdict":"NOT_RUN"' not in told

    async def check_still_serves(self) -> None:
        """Check that the next request is answered as ever."""
        self.respond_to_all(OK_RESPONSE)
        async with self.connect(GET_REQUEST) as connection:
            assert (await connection.read_response())[1] == b"ok"
