"""Requests that are read ahead on one connection, answered in order."""

import asyncio
from collections import abc
import contextlib

from aiohttp import web

from burdockdeal.serving import http_server
from burdockdeal.serving import pipelined_server

_HOST = "127.0.0.1"


class Callers:
    """A server whose answers the test lets go one by one."""

    def __init__(self) -> None:
        self.begun: list[str] = []
        self.cancelled: list[str] = []
        self.gates: dict[str, asyncio.Event] = {}

    def let(self, path: str) -> None:
        self.gates.setdefault(path, asyncio.Event()).set()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        path = request.path
        self.begun.append(path)
        try:
            await self.gates.setdefault(path, asyncio.Event()).wait()
        except asyncio.CancelledError:
            self.cancelled.append(path)
            raise
        if path == "/long":
            return web.Response(text="x" * 2_000_000)
        if path == "/early":
            return web.Response(status=503, text="early")
        if path == "/cut":
            response = web.StreamResponse(headers={"Content-Length": "100"})
            await response.prepare(request)
            await response.write(b"half")
            raise RuntimeError("the upstream broke off")
        body = await request.read()
        return web.Response(text=f"{path}:{len(body)}")


@contextlib.asynccontextmanager
async def serve(
    callers: Callers, *, idle_s: float = 60.0
) -> abc.AsyncIterator[tuple[pipelined_server.PipelinedServer, int]]:
    handler: http_server.Handler = callers.handle
    served = pipelined_server.PipelinedServer(
        handler, header_bytes=4096, idle_s=lambda: idle_s
    )
    loop = asyncio.get_running_loop()
    async with served:
        server = await loop.create_server(served, _HOST, 0)
        try:
            yield served, server.sockets[0].getsockname()[1]
        finally:
            server.close()


def ask(path: str, method: str = "GET", body: bytes = b"") -> bytes:
    head = f"{method} {path} HTTP/1.1\r\nHost: h\r\n"
    length = f"Content-Length: {len(body)}\r\n\r\n" if body else "\r\n"
    return (head + length).encode() + body


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    status = int(head.split()[1])
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    return status, await reader.readexactly(length)


async def until(is_so: abc.Callable[[], bool]) -> None:
    async with asyncio.timeout(5):
        while not is_so():  # noqa: ASYNC110
            await asyncio.sleep(0.005)


async def test_requests_are_handled_at_once_and_answered_in_order() -> None:
    callers = Callers()
    async with serve(callers) as (_, port):
        reader, writer = await asyncio.open_connection(_HOST, port)
        writer.write(ask("/1") + ask("/2") + ask("/3"))
        await until(lambda: len(callers.begun) == 3)
        for path in ("/3", "/2", "/1"):
            callers.let(path)
        async with asyncio.timeout(5):
            answers = [await read_answer(reader) for _ in range(3)]
        assert answers == [(200, b"/1:0"), (200, b"/2:0"), (200, b"/3:0")]
        writer.close()


async def test_an_unsafe_request_waits_for_its_turn() -> None:
    callers = Callers()
    async with serve(callers) as (_, port):
        reader, writer = await asyncio.open_connection(_HOST, port)
        writer.write(ask("/1") + ask("/2", "POST", b"body"))
        await until(lambda: bool(callers.begun))
        await asyncio.sleep(0.05)
        assert callers.begun == ["/1"]
        callers.let("/1")
        callers.let("/2")
        async with asyncio.timeout(5):
            assert await read_answer(reader) == (200, b"/1:0")
            assert await read_answer(reader) == (200, b"/2:4")
        writer.close()


async def test_a_large_answer_that_waits_for_its_turn_is_whole() -> None:
    callers = Callers()
    async with serve(callers) as (_, port):
        reader, writer = await asyncio.open_connection(_HOST, port)
        writer.write(ask("/1") + ask("/long") + ask("/3"))
        callers.let("/long")
        callers.let("/3")
        await asyncio.sleep(0.05)
        callers.let("/1")
        async with asyncio.timeout(5):
            assert await read_answer(reader) == (200, b"/1:0")
            assert len((await read_answer(reader))[1]) == 2_000_000
            assert await read_answer(reader) == (200, b"/3:0")
        writer.close()


async def test_a_client_that_goes_away_ends_all_its_work() -> None:
    callers = Callers()
    async with serve(callers) as (_, port):
        _, writer = await asyncio.open_connection(_HOST, port)
        writer.write(ask("/1") + ask("/2"))
        await until(lambda: len(callers.begun) == 2)
        writer.transport.abort()
        await until(lambda: len(callers.cancelled) == 2)


async def test_an_answer_that_breaks_off_does_not_look_whole() -> None:
    callers = Callers()
    async with serve(callers) as (_, port):
        reader, writer = await asyncio.open_connection(_HOST, port)
        writer.write(ask("/cut") + ask("/2"))
        callers.let("/cut")
        callers.let("/2")
        got = b""
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(5):
                while part := await reader.read(65536):
                    got += part
        assert b"/2:0" not in got
        assert got.count(b"HTTP/1.1") <= 1
        writer.close()


async def test_a_half_closed_client_still_gets_its_answers() -> None:
    callers = Callers()
    async with serve(callers) as (_, port):
        reader, writer = await asyncio.open_connection(_HOST, port)
        writer.write(ask("/1") + ask("/2"))
        writer.write_eof()
        await until(lambda: len(callers.begun) == 2)
        callers.let("/1")
        callers.let("/2")
        async with asyncio.timeout(5):
            got = await reader.read()
        finals = [
            part
            for part in got.split(b"HTTP/1.1 ")
            if part and not part.startswith(b"100")
        ]
        assert [part[-4:] for part in finals] == [b"/1:0", b"/2:0"]
        writer.close()


async def test_an_answer_before_the_body_is_read_keeps_the_rest_apart() -> (
    None
):
    callers = Callers()
    async with serve(callers) as (_, port):
        reader, writer = await asyncio.open_connection(_HOST, port)
        body = b"GET /smuggled HTTP/1.1\r\n\r\n" * 4000
        callers.let("/early")
        callers.let("/2")
        writer.write(ask("/early", "POST", body) + ask("/2"))
        async with asyncio.timeout(5):
            assert await read_answer(reader) == (503, b"early")
            assert await read_answer(reader) == (200, b"/2:0")
        assert "/smuggled" not in callers.begun
        writer.close()


async def test_what_was_read_is_answered_when_the_server_closes() -> None:
    callers = Callers()
    async with serve(callers) as (served, port):
        reader, writer = await asyncio.open_connection(_HOST, port)
        writer.write(ask("/1") + ask("/2"))
        await until(lambda: len(callers.begun) == 2)
        served.closing = True
        callers.let("/1")
        callers.let("/2")
        async with asyncio.timeout(5):
            got = await reader.read()
        assert got.count(b"HTTP/1.1 200") == 2
        assert got.lower().count(b"connection: close") == 1
        assert got.endswith(b"/2:0")
        writer.close()


async def test_bytes_that_are_no_request_are_refused_in_their_turn() -> None:
    callers = Callers()
    async with serve(callers) as (_, port):
        reader, writer = await asyncio.open_connection(_HOST, port)
        writer.write(ask("/1"))
        await until(lambda: bool(callers.begun))
        writer.write(b"\x00\x01 no request\r\n\r\n")
        await asyncio.sleep(0.05)
        callers.let("/1")
        async with asyncio.timeout(5):
            assert await read_answer(reader) == (200, b"/1:0")
            status, _ = await read_answer(reader)
            assert status == 400
            assert await reader.read() == b""
        writer.close()


async def test_a_request_is_answered_though_its_segment_ends_in_noise() -> (
    None
):
    callers = Callers()
    async with serve(callers) as (_, port):
        reader, writer = await asyncio.open_connection(_HOST, port)
        writer.write(ask("/1") + b"\x00\x01 no request\r\n\r\n")
        await until(lambda: bool(callers.begun))
        callers.let("/1")
        async with asyncio.timeout(5):
            assert await read_answer(reader) == (200, b"/1:0")
            status, _ = await read_answer(reader)
            assert status == 400
            assert await reader.read() == b""
        writer.close()


async def test_an_idle_connection_is_ended() -> None:
    callers = Callers()
    async with serve(callers, idle_s=0.1) as (_, port):
        reader, writer = await asyncio.open_connection(_HOST, port)
        callers.let("/1")
        writer.write(ask("/1"))
        async with asyncio.timeout(5):
            assert await read_answer(reader) == (200, b"/1:0")
            assert await reader.read() == b""
        writer.close()
