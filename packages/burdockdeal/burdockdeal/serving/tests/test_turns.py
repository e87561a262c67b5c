"""Requests that end before their turn to be answered.

Whatever ended them reset the connection of the caller at once, and the
response before them, to a request that was still running, was lost with it.
"""

import asyncio
from collections import abc
import contextlib
import socket

from aiohttp import web
import pytest

from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.serving import forwarding
from burdockdeal.serving import response_channels
from burdockdeal.serving.tests import pipelining

_TRUNCATED = forwarding.TruncatedResponseError(
    verdict.Reason.TIMED_OUT, "the answer stalled"
)
#: Size of a socket's buffer, which a response of this length overfills.
_SOCKET_BYTES = 4_096
_UNREAD_BYTES = 60_000
_LONG_BYTES = response_channels.MAX_BUFFERED_BYTES + 100_000


async def _begin(request: web.BaseRequest, size: int) -> web.StreamResponse:
    """Write the beginning of a response that is one byte longer."""
    response = web.StreamResponse(headers={"Content-Length": str(size + 1)})
    await response.prepare(request)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(0.05):
            await response.write(b"x" * size)
    return response


async def _fail(request: web.BaseRequest) -> web.StreamResponse:
    raise RuntimeError("nobody foresaw this")


async def _fail_within(request: web.BaseRequest) -> web.StreamResponse:
    await _begin(request, 20_000)
    raise RuntimeError("nobody foresaw this")


async def _truncate(request: web.BaseRequest) -> web.StreamResponse:
    await _begin(request, 20_000)
    request.transport.abort()
    raise _TRUNCATED


async def _truncate_long(request: web.BaseRequest) -> web.StreamResponse:
    await _begin(request, _LONG_BYTES)
    request.transport.abort()
    raise _TRUNCATED


async def _truncate_without_length(
    request: web.BaseRequest,
) -> web.StreamResponse:
    response = web.StreamResponse()
    await response.prepare(request)
    await response.write(b"x" * 20_000)
    request.transport.abort()
    raise _TRUNCATED


async def _replace(request: web.BaseRequest) -> web.StreamResponse:
    await _begin(request, 20_000)
    request.transport.abort()
    return web.Response(status=502, text="replaced")


async def _cancel(request: web.BaseRequest) -> web.StreamResponse:
    awaited = asyncio.get_running_loop().create_future()
    awaited.cancel()
    return await awaited


async def _cancel_within(request: web.BaseRequest) -> web.StreamResponse:
    await _begin(request, 20_000)
    return await _cancel(request)


async def _refuse(request: web.BaseRequest) -> web.StreamResponse:
    raise errors.NotRunError(verdict.Reason.QUEUE_FULL)


async def _pass_deadline(request: web.BaseRequest) -> web.StreamResponse:
    raise errors.MayHaveRunError(verdict.Reason.TIMED_OUT)


async def _build_malformed(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(headers={"X-Note": "a\r\nb"})


#: Ways in which a request ends, and the status that its caller gets.
_ENDINGS: dict[str, tuple[abc.Callable, int]] = {
    "an error before the response": (_fail, 500),
    "an error within the response": (_fail_within, 500),
    "a response that breaks off": (_truncate, 504),
    "a long response that breaks off": (_truncate_long, 504),
    "a response that is replaced": (_replace, 502),
    "a cancelled wait": (_cancel, 500),
    "a cancelled wait within the response": (_cancel_within, 500),
    "a refusal": (_refuse, 503),
    "a deadline": (_pass_deadline, 504),
    "a malformed response": (_build_malformed, 500),
}


class _Handler(pipelining.BlockingHandler):
    """Ends the requests for `/ends` in some way."""

    def __init__(self, end: abc.Callable) -> None:
        super().__init__()
        self._end = end
        self.ended = asyncio.Event()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/unread":
            return web.Response(body=b"x" * _UNREAD_BYTES)
        if request.path != "/ends":
            return await super().handle(request)
        self.started.append(request.path)
        try:
            return await self._end(request)
        finally:
            self.ended.set()


def _build_pipeline(before: int) -> bytes:
    paths = [*(f"/before{n}" for n in range(before)), "/ends", "/behind"]
    return b"".join(map(pipelining.build_request, paths))


@pytest.mark.parametrize("is_stopping", [False, True])
@pytest.mark.parametrize("before", [1, 3])
@pytest.mark.parametrize("ending", _ENDINGS)
async def test_a_request_that_ends_before_its_turn_leaves_the_others(
    ending: str, before: int, is_stopping: bool
) -> None:
    """Its caller gets an error in its turn, and the connection goes on."""
    end, expected_status = _ENDINGS[ending]
    handler = _Handler(end)
    async with pipelining.serve(handler) as (served, port):
        reader, writer = await asyncio.open_connection(pipelining.HOST, port)
        writer.write(_build_pipeline(before))
        await asyncio.wait_for(handler.ended.wait(), 5)
        await asyncio.sleep(0.02)
        if is_stopping:
            served.begin_closing()
        handler.release("/behind")
        for number in range(before):
            handler.release(f"/before{number}")
        async with asyncio.timeout(5):
            for number in range(before):
                response = await pipelining.read_response(reader)
                assert response == (200, f"/before{number}:0".encode())
            status, _ = await pipelining.read_response(reader)
            assert status == expected_status
            assert await pipelining.read_response(reader) == (
                200,
                b"/behind:0",
            )
            if is_stopping:
                assert await reader.read() == b""
        assert handler.started.count("/behind") == 1
        writer.close()


def _connect_slow_reader(port: int) -> socket.socket:
    """Connect a client for which little is buffered below its process."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SOCKET_BYTES)
    client.connect((pipelining.HOST, port))
    return client


@pytest.mark.parametrize("ending", [_truncate, _fail_within, _cancel_within])
async def test_a_response_that_breaks_off_in_its_turn_is_the_last(
    ending: abc.Callable,
) -> None:
    """What was written before it arrives, though the client reads slowly."""
    handler = _Handler(ending)
    async with pipelining.serve(handler, send_buffer_bytes=_SOCKET_BYTES) as (
        _,
        port,
    ):
        client = _connect_slow_reader(port)
        client.sendall(
            pipelining.build_request("/unread")
            + pipelining.build_request("/ends", "POST")
            + pipelining.build_request("/behind")
        )
        handler.release("/behind")
        await asyncio.wait_for(handler.ended.wait(), 5)
        await asyncio.sleep(0.05)
        reader, writer = await asyncio.open_connection(sock=client)
        async with asyncio.timeout(5):
            status, body = await pipelining.read_response(reader)
            assert (status, len(body)) == (200, _UNREAD_BYTES)
            head, _, rest = (await reader.read()).partition(b"\r\n\r\n")
        assert b"Content-Length: 20001" in head
        assert len(rest) <= 20_000
        assert handler.started.count("/behind") <= 1
        writer.close()


@pytest.mark.parametrize(
    "before", [b"", b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"]
)
async def test_a_response_without_a_length_that_breaks_off_is_reset(
    before: bytes,
) -> None:
    """To a client of HTTP/1.0 the end of the connection ends the body."""
    handler = _Handler(_truncate_without_length)
    handler.release("/1")
    async with pipelining.serve(handler) as (_, port):
        reader, writer = await asyncio.open_connection(pipelining.HOST, port)
        writer.write(before + b"POST /ends HTTP/1.0\r\n\r\n")
        async with asyncio.timeout(5):
            if before:
                response = await pipelining.read_response(reader)
                assert response == (200, b"/1:0")
            with pytest.raises(ConnectionResetError):
                await reader.read()
        writer.close()
