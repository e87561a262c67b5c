"""A harness that drives both ends of the request path byte by byte."""

import asyncio
from collections import abc
import contextlib
import json

from burdockdeal_standins import fleet as fleets
from burdockdeal_standins import scripted_upstream

OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

#: Seconds to wait so that bytes arrive before their connection is reset.
_ARRIVAL_S = 0.05

GET_REQUEST = b"GET /jobs/1 HTTP/1.1\r\nHost: here\r\n\r\n"


class CallerConnection:
    """A raw connection of a caller to a daemon."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def read_all(self) -> bytes:
        """Read until the daemon closes the connection."""
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
        """Read a refusal and check that head and body agree.

        :returns: status, verdict and reason.
        """
        head, body = await self.read_response()
        refusal = json.loads(body)
        assert head.values("Burdockdeal-Verdict") == [refusal["verdict"]]
        assert head.values("Burdockdeal-Reason") == [refusal["reason"]]
        return (
            head.start_line.split()[1],
            refusal["verdict"],
            refusal["reason"],
        )


class Harness:
    """A fleet with one scripted upstream, one or two hops from the caller."""

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
        """Connect to a daemon and write bytes.

        :param port: name of the listen setting to connect to.
        """
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
        """Respond to every request without a body with the same bytes.

        :returns: the heads of the requests, filled in as they arrive.
        """
        self.raw = raw
        heads: list[scripted_upstream.Head] = []

        async def handle(reader, writer) -> None:
            while True:
                heads.append(await scripted_upstream.read_head(reader))
                writer.write(self.raw)

        self.upstream.handler = handle
        return heads

    def respond_once(self, raw: bytes, *, reset: bool = False) -> None:
        """Respond to one request of each connection, then end it.

        :param reset: reset the connection instead of closing it.
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
        """Check that a truncated response never looks complete."""
        post = (
            b"POST /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        async with self.connect(post, node) as connection:
            try:
                received = await connection.read_all()
            except ConnectionError:
                received = b""
        if b"200 OK" in received:
            assert not received.endswith(b"0\r\n\r\n")
            assert b"Content-Length: 4\r\n" not in received
        elif received:
            assert b'"reason":"BROKEN_CONNECTION"' in received
            assert b'"verdict":"NOT_RUN"' not in received

    async def check_still_serves(self) -> None:
        """Check that the next request is served normally."""
        self.respond_to_all(OK_RESPONSE)
        async with self.connect(GET_REQUEST) as connection:
            assert (await connection.read_response())[1] == b"ok"
