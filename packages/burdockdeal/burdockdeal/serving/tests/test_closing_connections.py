"""How connections with pipelined requests end, in a planned stop and else."""

import asyncio
from collections import abc
import contextlib

from burdockdeal.serving import pipelined_connection
from burdockdeal.serving.tests import pipelining
from burdockdeal_standins import scripted_upstream

_PATHS = tuple(f"/{number}" for number in range(40))


class PipeliningClient:
    """Sends a request whenever one is answered, so that some always wait.

    :param ahead: requests that are sent before the first answer.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        ahead: int = 3,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._paths = iter(_PATHS)
        self.answered: list[str] = []
        self.was_told_to_close = False
        for _ in range(ahead):
            self.send()

    def send(self) -> None:
        """Send the next request."""
        self._writer.write(pipelining.build_request(next(self._paths)))

    async def run(self) -> None:
        """Send and read until the server says that it closes."""
        while not self.was_told_to_close:
            head = await scripted_upstream.read_head(self._reader)
            length = int(head.values("Content-Length")[0])
            body = await self._reader.readexactly(length)
            self.answered.append(body.decode().split(":")[0])
            self.was_told_to_close = "close" in head.values("Connection")
            self.send()


@contextlib.asynccontextmanager
async def connect(
    port: int,
) -> abc.AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    reader, writer = await asyncio.open_connection(pipelining.HOST, port)
    try:
        yield reader, writer
    finally:
        writer.close()


def release_all(blocking: pipelining.BlockingHandler) -> None:
    for path in _PATHS:
        blocking.release(path)


async def test_a_closing_server_ends_a_connection_that_is_never_idle() -> None:
    """Guards against a stop that cuts off requests which it has started.

    If only the response to the last request that was read closes a
    connection, one on which a further request always waits goes on until
    the stop resets it.
    """
    blocking = pipelining.BlockingHandler()
    async with (
        pipelining.serve(blocking) as (served, port),
        connect(port) as (reader, writer),
    ):
        client = PipeliningClient(reader, writer)
        await pipelining.wait_until(lambda: len(blocking.started) == 3)
        served.begin_closing()
        release_all(blocking)
        async with asyncio.timeout(5):
            await client.run()
            assert await reader.read() == b""
        assert client.answered == ["/0", "/1", "/2"]
        assert blocking.started == ["/0", "/1", "/2"]


async def test_a_connection_carries_one_request_after_a_response_began() -> (
    None
):
    """Its head has promised that the connection goes on."""
    blocking = pipelining.BlockingHandler()
    async with (
        pipelining.serve(blocking) as (served, port),
        connect(port) as (reader, writer),
    ):
        writer.write(pipelining.build_request("/long"))
        blocking.release("/long")
        await scripted_upstream.read_head(reader)
        served.begin_closing()
        writer.write(
            pipelining.build_request("/1") + pipelining.build_request("/2")
        )
        await reader.readexactly(2_000_000)
        release_all(blocking)
        async with asyncio.timeout(5):
            received = await reader.read()
        assert received.lower().count(b"connection: close") == 1
        assert received.endswith(b"/1:0")
        assert blocking.started == ["/long", "/1"]


async def test_nothing_is_read_after_the_listener_has_closed() -> None:
    """Guards against requests that are taken late in a stop, and then cut.

    A response that began before the stop ends after the listener was
    closed, and its connection would take a further request.
    """
    blocking = pipelining.BlockingHandler()
    async with (
        pipelining.serve(blocking) as (served, port),
        connect(port) as (reader, writer),
    ):
        writer.write(pipelining.build_request("/long"))
        blocking.release("/long")
        await scripted_upstream.read_head(reader)
        served.begin_closing()
        served.close_idle()
        await reader.readexactly(2_000_000)
        with contextlib.suppress(ConnectionError):
            writer.write(pipelining.build_request("/1"))
            async with asyncio.timeout(5):
                assert await reader.read() == b""
        assert blocking.started == ["/long"]


async def test_nothing_behind_a_request_that_closes_is_started() -> None:
    """A client that asks for a close gets it after that response."""
    blocking = pipelining.BlockingHandler()
    async with (
        pipelining.serve(blocking) as (_, port),
        connect(port) as (reader, writer),
    ):
        writer.write(
            b"GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
            + pipelining.build_request("/2")
        )
        await pipelining.wait_until(lambda: bool(blocking.started))
        await asyncio.sleep(0.05)
        blocking.release("/1")
        async with asyncio.timeout(5):
            assert (await reader.read()).endswith(b"/1:0")
        assert blocking.started == ["/1"]


async def test_an_error_does_not_end_the_requests_behind_it() -> None:
    """Guards against a failed request that cuts off others which run."""
    blocking = pipelining.BlockingHandler()
    async with (
        pipelining.serve(blocking) as (_, port),
        connect(port) as (reader, writer),
    ):
        writer.write(
            pipelining.build_request("/broken")
            + pipelining.build_request("/2")
        )
        await pipelining.wait_until(lambda: len(blocking.started) == 2)
        blocking.release("/2")
        blocking.release("/broken")
        async with asyncio.timeout(5):
            status, _ = await pipelining.read_response(reader)
            assert status == 500
            assert await pipelining.read_response(reader) == (200, b"/2:0")


async def test_a_client_that_goes_on_sending_gets_the_last_response() -> None:
    """A socket that is closed with unread bytes resets its connection.

    The reset can overtake the response. So the sending side is closed
    first, and what still arrives is read and dropped.
    """
    blocking = pipelining.BlockingHandler()
    async with (
        pipelining.serve(blocking) as (served, port),
        connect(port) as (reader, writer),
    ):
        writer.write(pipelining.build_request("/1"))
        await pipelining.wait_until(lambda: bool(blocking.started))
        served.begin_closing()
        blocking.release("/1")
        async with asyncio.timeout(5):
            assert (await reader.read()).endswith(b"/1:0")
        for path in _PATHS[:10]:
            writer.write(pipelining.build_request(path))
            await writer.drain()
            await asyncio.sleep(0.01)
        assert reader.exception() is None
        assert served.active_count == 1
        writer.close()
        await pipelining.wait_until(lambda: not served.active_count)
        assert blocking.started == ["/1"]


async def test_a_client_that_never_closes_is_not_waited_for(
    monkeypatch,
) -> None:
    monkeypatch.setattr(pipelined_connection, "LINGER_S", 0.1)
    blocking = pipelining.BlockingHandler()
    async with (
        pipelining.serve(blocking) as (served, port),
        connect(port) as (reader, writer),
    ):
        blocking.release("/1")
        served.begin_closing()
        writer.write(pipelining.build_request("/1"))
        async with asyncio.timeout(5):
            await reader.read()
        await pipelining.wait_until(lambda: not served.active_count)
