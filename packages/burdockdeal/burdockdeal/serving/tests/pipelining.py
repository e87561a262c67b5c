"""A pipelined server whose requests end when a test releases them."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import socket

from aiohttp import web

from burdockdeal.configuration import resources
from burdockdeal.overload import memory
from burdockdeal.serving import http_server
from burdockdeal.serving import pipelined_server
from burdockdeal.settings import model

HOST = "127.0.0.1"


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
        if path == "/broken":
            raise RuntimeError("the handler failed")
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
    blocking: BlockingHandler,
    *,
    idle_s: float = 60.0,
    limits: model.Limits | None = None,
    send_buffer_bytes: int | None = None,
) -> abc.AsyncIterator[tuple[pipelined_server.PipelinedServer, int]]:
    handler: http_server.Handler = blocking.handle
    loop = asyncio.get_running_loop()
    limits = dataclasses.replace(
        limits or model.Limits(header_bytes=4096), caller_idle_s=idle_s
    )
    served = pipelined_server.PipelinedServer(
        handler,
        limits=limits,
        caller_limits=lambda: resources.CallerLimits(
            limits.header_bytes, 1_000_000, limits.head_s, idle_s
        ),
        ledger=memory.MemoryLedger(limits.memory_limit_bytes, loop.time),
        record_slow_heads=lambda count: None,
    )
    async with served:
        server = await loop.create_server(served, HOST, 0)
        if send_buffer_bytes is not None:
            # Connections inherit it.
            server.sockets[0].setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer_bytes
            )
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
