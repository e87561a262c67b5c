"""The bytes that a call costs between two daemons."""

import asyncio

from aiohttp import web
import multidict
import pytest

from burdockdeal.core import headers
from burdockdeal.serving import forwarding
from burdockdeal.serving import http_server
from burdockdeal.serving import peer_responses
from burdockdeal.settings import model

_REQUEST = b"GET / HTTP/1.1\r\nHost: d2\r\n\r\n"


class _Content:
    """A body that has arrived."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    async def readany(self) -> bytes:
        body, self._body = self._body, b""
        return body

    def at_eof(self) -> bool:
        return not self._body


async def read_response(handler) -> bytes:
    server = http_server.PeerServer(handler, header_bytes=4096, idle_s=5.0)
    runner = web.ServerRunner(server)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(_REQUEST)
    raw = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    await runner.cleanup()
    return raw


async def test_a_refusal_carries_its_report_and_little_else() -> None:
    async def refuse(request: web.BaseRequest) -> web.StreamResponse:
        return peer_responses.PeerResponse(
            status=503, headers={headers.REPORT: "[]"}
        )

    raw = await read_response(refuse)
    assert raw.split(b"\r\n") == [
        b"HTTP/1.1 503 Service Unavailable",
        b"Burdockdeal-Report: []",
        b"Content-Length: 0",
        b"",
        b"",
    ]


@pytest.mark.parametrize("date", ["", "Fri, 04 Dec 2026 22:00:00 GMT"])
async def test_the_headers_of_the_upstream_are_kept(date: str) -> None:
    upstream_headers = multidict.CIMultiDict({"Server-Load": "1,0,4"})
    if date:
        upstream_headers["Date"] = date

    async def relay(request: web.BaseRequest) -> web.StreamResponse:
        response = forwarding.messages.Response(
            200, "OK", upstream_headers, _Content(b"ok")
        )
        return await forwarding.relay_response(
            request,
            response,
            {},
            model.Limits(),
            remaining_s=1.0,
            to_peer=True,
        )

    raw = await read_response(relay)
    assert b"Server-Load: 1,0,4\r\n" in raw
    assert raw.count(b"Date: ") == bool(date)
    assert b"aiohttp" not in raw
