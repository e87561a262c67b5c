"""Concurrent handling of pipelined requests, with responses in order."""

import asyncio
from collections import abc
import contextlib

from aiohttp import web

from burdockdeal.serving import http_server
from burdockdeal.serving import pipelined_server

_HOST = "127.0.0.1"


class BlockingHandler:
    """A request handler that waits until the test releases each path."""

    def __init__(self) -> None:
        self.started: list[str] = []
        self.cancelled: list[str] = []
        self.released: dict[str, asyncio.Event] = {}

    def release(self, path: str) -> None:
        self.released.setdefault(path, asyncio.Event()).set()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        path = request.path
        self.started.append(path)
        try:
            await self.released.setdefault(path, asyncio.Event()).wait()
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
            raise RuntimeError("the upstream broke the connection")
        body = await request.read()
        return web.Response(text=f"{path}:{len(body)}")


@contextlib.asynccontextmanager
async def serve(
    blocking: BlockingHandler, *, idle_s: float = 60.0
) -> abc.AsyncIterator[tuple[pipelined_server.PipelinedServer, int]]:
    handler: http_server.Handler = blocking.handle
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


def build_request(path: str, method: str = "GET", body: bytes = b"") -> bytes:
    head = f"{method} {path} HTTP/1.1\r\nHost: h\r\n"
    length = f"Content-Length: {len(body)}\r\n\r\n" if body else "\r\n"
    return (head + length).encode() + body


async def read_response(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    status = int(head.split()[1])
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    return status, await reader.readexactly(length)


async def wait_until(is_true: abc.Callable[[], bool]) -> None:
    async with asyncio.timeout(5):
        while not is_true():  # noqa: ASYNC110
            await asyncio.sleep(0.005)


async def test_requests_are_handled_concurrently_and_answered_in_order() -> (
    None
):
    blocking = BlockingHandler()
    async with serve(blocking) as (_, port):
        reader, writer = await asyncio.open_connection(_HOST, port)
        writer.write(
            build_request("/1") + build_request("/2") + build_request("/3")
        )
        await wait_until(lambda: len(blocking.started) == 3)
        for path in ("/3", "/2", "/1"):
            blocking.release(path)
        async with asyncio.timeout(5):
            responses = [await read_response(reader) for _ in range(3)]
        assert responses == [(200, b"/1:0"), (200, b"/2:0"), (200, b"/3:0")]
        writer.close()


async def test_a_request_with_an_unsafe_method_waits_for_its_turn() -> None:
    blocking = BlockingHandler()
    async with serve(blocking) as (_, port):
        reader, writer = await asyncio.open_connection(_HOST, port)
        writer.write(
            build_request("/1") + build_request("/2", "POST", b"body")
        )
        await wait_until(lambda: bool(blocking.started))
        await asyncio.sleep(0.05)
        assert blocking.started == ["/1"]
        blocking.release("/1")
        blocking.release("/2")
        async with asyncio.timeout(5):
            assert await read_response(reader) == (200, b"/1:0")
            assert await read_response(reader) == (200, b"/2:4")
        writer.close()


async def test_a_large_response_that_waits_for_its_turn_is_complete() -> None:
    blocking = BlockingHandler()
    async with serve(blocking) as (_, port):
        reader, writer = await asyncio.open_connection(_HOST, port)
        writer.write(
            build_request("/1") + build_request("/long") + build_request("/3")
        )
        blocking.release("/long")
        blocking.release("/3")
        await asyncio.sleep(0.05)
        blocking.release("/1")
        async with asyncio.timeout(5):
            assert await read_response(reader) == (200, b"/1:0")
            assert len((await read_response(reader))[1]) == 2_000_000
            assert await read_response(reader) == (200, b"/3:0")
        writer.close()


async def test_a_client_that_disconnects_cancels_all_its_requests() -> None:
    blocking = BlockingHandler()
    async with serve(blocking) as (_, port):
        _, writer = await asyncio.open_connection(_HOST, port)
        writer.write(build_request("/1") + build_request("/2"))
        await wait_until(lambda: len(blocking.started) == 2)
        writer.transport.abort()
        await wait_until(lambda: len(blocking.cancelled) == 2)


async def test_a_truncated_response_does_not_look_complete() -> None:
    blocking = BlockingHandler()
    async with serve(blocking) as (_, port):
        reader, writer = await asyncio.open_connection(_HOST, port)
        writer.write(build_request("/cut") + build_request("/2"))
        blocking.release("/cut")
        blocking.release("/2")
        received = b""
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(5):
                while chunk := await reader.read(65536):
                    received += chunk
        assert b"/2:0" not in received
        assert received.count(b"HTTP/1.1") <= 1
        writer.close()


async def test_a_half_closed_client_still_gets_its_responses() -> None:
    blocking = BlockingHandler()
    async with serve(blocking) as (_, port):
        reader, writer = await asyncio.open_connection(_HOST, port)
        writer.write(build_request("/1") + build_request("/2"))
        writer.write_eof()
        await wait_until(lambda: len(blocking.started) == 2)
        blocking.release("/1")
        blocking.release("/2")
        async with asyncio.timeout(5):
            received = await reader.read()
        final_responses = [
            chunk
            for chunk in received.split(b"HTTP/1.1 ")
            if chunk and not chunk.startswith(b"100")
        ]
        assert [chunk[-4:] for chunk in final_responses] == [b"/1:0", b"/2:0"]
        writer.close()


async def test_an_unread_body_is_not_parsed_as_requests() -> None:
    blocking = BlockingHandler()
    async with serve(blocking) as (_, port):
        reader, writer = await asyncio.open_connection(_HOST, port)
        body = b"GET /smuggled HTTP/1.1\r\n\r\n" * 4000
        blocking.release("/early")
        blocking.release("/2")
        writer.write(
            build_request("/early", "POST", body) + build_request("/2")
        )
        async with asyncio.timeout(5):
            assert await read_response(reader) == (503, b"early")
            assert await read_response(reader) == (200, b"/2:0")
        assert "/smuggled" not in blocking.started
        writer.close()


async def test_pending_requests_are_answered_while_the_server_closes() -> None:
    blocking = BlockingHandler()
    async with serve(blocking) as (served, port):
        reader, writer = await asyncio.open_connection(_HOST, port)
        writer.write(build_request("/1") + build_request("/2"))
        await wait_until(lambda: len(blocking.started) == 2)
        served.closing = True
        blocking.release("/1")
        blocking.release("/2")
        async with asyncio.timeout(5):
            received = await reader.read()
        assert received.count(b"HTTP/1.1 200") == 2
        assert received.lower().count(b"connection: close") == 1
        assert received.endswith(b"/2:0")
        writer.close()


async def test_an_invalid_request_is_refused_in_its_turn() -> None:
    blocking = BlockingHandler()
    async with serve(blocking) as (_, port):
        reader, writer = await asyncio.open_connection(_HOST, port)
        writer.write(build_request("/1"))
        await wait_until(lambda: bool(blocking.started))
        writer.write(b"\x00\x01 no request\r\n\r\n")
        await asyncio.sleep(0.05)
        blocking.release("/1")
        async with asyncio.timeout(5):
            assert await read_response(reader) == (200, b"/1:0")
            status, _ = await read_response(reader)
            assert status == 400
            assert await reader.read() == b""
        writer.close()


async def test_invalid_bytes_after_a_request_do_not_cancel_it() -> None:
    blocking = BlockingHandler()
    async with serve(blocking) as (_, port):
        reader, writer = await asyncio.open_connection(_HOST, port)
        writer.write(build_request("/1") + b"\x00\x01 no request\r\n\r\n")
        await wait_until(lambda: bool(blocking.started))
        blocking.release("/1")
        async with asyncio.timeout(5):
            assert await read_response(reader) == (200, b"/1:0")
            status, _ = await read_response(reader)
            assert status == 400
            assert await reader.read() == b""
        writer.close()


async def test_an_idle_connection_is_closed() -> None:
    blocking = BlockingHandler()
    async with serve(blocking, idle_s=0.1) as (_, port):
        reader, writer = await asyncio.open_connection(_HOST, port)
        blocking.release("/1")
        writer.write(build_request("/1"))
        async with asyncio.timeout(5):
            assert await read_response(reader) == (200, b"/1:0")
            assert await reader.read() == b""
        writer.close()
