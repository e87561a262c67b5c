"""Health checks whose response has no end.

A daemon sends a health check up to 40 times a second. If it buffers what a
faulty upstream sends until the check times out, it exceeds its memory limit,
and again after each restart.
"""

import asyncio

import aiohttp
import pytest

from burdockdeal.platform import discovery
from burdockdeal.serving import connection_guard
from burdockdeal.settings import model
from burdockdeal_standins import raw_upstream

_HEAD = b"HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nServer-Load: 1,0,4\r\n"
_BODY = b"x" * 65_536

#: Bytes that the socket buffers of both sides may hold besides what the
#: daemon has read, on a loopback connection.
_SOCKET_BUFFER_BYTES = 16 * 1024 * 1024


class EndlessUpstream:
    """Sends a head and then the same bytes until the connection closes."""

    def __init__(self, head: bytes, repeated: bytes) -> None:
        self._head = head
        self._repeated = repeated
        self.sent_bytes = 0
        self.has_closed = asyncio.Event()

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self._head)
        try:
            while True:
                writer.write(self._repeated)
                await writer.drain()
                self.sent_bytes += len(self._repeated)
        finally:
            self.has_closed.set()


@pytest.mark.parametrize(
    ("head", "repeated"),
    [
        (_HEAD + b"\r\n", _BODY),
        (_HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n" * 8192),
        (_HEAD, b"X-Field: 1\r\n" * 4096),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048),
    ],
    ids=["body", "chunks", "header", "interim"],
)
async def test_a_response_without_end_is_not_buffered(
    monkeypatch: pytest.MonkeyPatch, head: bytes, repeated: bytes
) -> None:
    # Long enough for a daemon that buffers all of it to exceed the bound.
    monkeypatch.setattr(discovery, "TIMEOUT_S", 3.0)
    endless = EndlessUpstream(head, repeated)
    async with raw_upstream.run_upstream() as upstream:
        upstream.handler = endless.handle
        connector = aiohttp.TCPConnector()
        connection_guard.guard_connections(connector)
        async with aiohttp.ClientSession(connector=connector) as session:
            health = await discovery.check_health(
                session, model.Address("127.0.0.1", upstream.port), "/health"
            )
            async with asyncio.timeout(20):
                await endless.has_closed.wait()
    assert health is None
    assert endless.sent_bytes < _SOCKET_BUFFER_BYTES


async def test_a_short_body_keeps_the_connection_for_the_next_check() -> None:
    """A check that closes its connection costs the upstream a new one."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(_HEAD + b"Content-Length: 2\r\n\r\nok")

    async with raw_upstream.run_upstream() as upstream:
        upstream.handler = handle
        address = model.Address("127.0.0.1", upstream.port)
        async with aiohttp.ClientSession() as session:
            for _ in range(2):
                health = await discovery.check_health(
                    session, address, "/health"
                )
                assert health is not None
                assert health.name == "i-1"
        assert upstream.connections == 1
