"""A path of two daemons, driven and answered byte by byte."""

import asyncio
from collections import abc
import contextlib
import json

from burdockdeal_standins import fleet as fleets
from burdockdeal_standins import scripted

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

#: Seconds in which bytes surely arrive before their connection is reset.
_ARRIVAL_S = 0.05

GET = b"GET /jobs/1 HTTP/1.1\r\nHost: here\r\n\r\n"


class Line:
    """A caller that writes the bytes it is told to."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def read_all(self) -> bytes:
        """Read until the other side closes."""
        return await asyncio.wait_for(self.reader.read(), 10)

    async def read_head(self) -> scripted.Head:
        """Read the head of an answer."""
        return await asyncio.wait_for(scripted.read_head(self.reader), 10)

    async def read_answer(self) -> tuple[scripted.Head, bytes]:
        """Read an answer with a Content-Length."""
        head = await self.read_head()
        length = int(head.values("Content-Length")[0])
        return head, await self.reader.readexactly(length)

    async def read_refusal(self) -> tuple[str, str, str]:
        """Read status, verdict and reason, which head and body share."""
        head, body = await self.read_answer()
        told = json.loads(body)
        assert head.values("Burdockdeal-Verdict") == [told["verdict"]]
        assert head.values("Burdockdeal-Reason") == [told["reason"]]
        return head.first.split()[1], told["verdict"], told["reason"]


class Stage:
    """A fleet with one scripted upstream, reached by one or two hops."""

    def __init__(
        self, fleet: fleets.Fleet, upstream: scripted.Scripted
    ) -> None:
        self.fleet = fleet
        self.upstream = upstream
        self.raw = b""

    @contextlib.asynccontextmanager
    async def call(
        self, raw: bytes, node: str = "d1", port: str = "caller"
    ) -> abc.AsyncIterator[Line]:
        """Connect to a daemon and write bytes."""
        listen = self.fleet.nodes[node].settings.listen
        address = getattr(listen, port)
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        writer.write(raw)
        try:
            yield Line(reader, writer)
        finally:
            writer.close()

    def answer(self, raw: bytes) -> list[scripted.Head]:
        """Answer every request without a body with the same bytes."""
        self.raw = raw
        heads: list[scripted.Head] = []

        async def talk(reader, writer) -> None:
            while True:
                heads.append(await scripted.read_head(reader))
                writer.write(self.raw)

        self.upstream.talk = talk
        return heads

    def answer_once(self, raw: bytes, *, reset: bool = False) -> None:
        """Answer one request of each connection, then end it.

        :param reset: whether it is reset, not closed.
        """

        async def talk(reader, writer) -> None:
            await scripted.read_head(reader)
            writer.write(raw)
            await writer.drain()
            if reset:
                await asyncio.sleep(_ARRIVAL_S)
                scripted.reset(writer)

        self.upstream.talk = talk

    async def check_cut(self, node: str) -> None:
        """Check that the answer to a booking is not taken for whole."""
        post = (
            b"POST /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        async with self.call(post, node) as line:
            try:
                told = await line.read_all()
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
        self.answer(OK)
        async with self.call(GET) as line:
            assert (await line.read_answer())[1] == b"ok"
