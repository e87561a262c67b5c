"""Responses whose head breaks off, or that are cut at any byte."""

import asyncio

import aiohttp
import multidict
import pytest

from burdockdeal.core import errors
from burdockdeal.serving import bodies
from burdockdeal.serving import forwarding
from burdockdeal.serving import messages
from burdockdeal.settings import model
from burdockdeal_standins import raw_upstream

_BODY = b"whole answer"
_RESPONSES = {
    "length": (
        b"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n"
        b"Content-Length: 12\r\n\r\n" + _BODY
    ),
    "chunks": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"5;a=b\r\nwhole\r\n7\r\n answer\r\n0\r\nTrailer: t\r\n\r\n"
    ),
    "interim": (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
        b"Link: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n" + _BODY
    ),
    "close": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + _BODY,
}


async def receive(port: int, method: str = "GET") -> bytes:
    """Send a request; return the body of a complete response."""
    outbound = messages.OutboundRequest(
        method,
        "/",
        multidict.CIMultiDict(),
        bodies.Body(None, b"", model.Limits()),
    )
    received = b""
    async with (
        forwarding.build_session(8192) as session,
        forwarding.open_response(
            session,
            f"127.0.0.1:{port}",
            outbound,
            {},
            remaining_s=5.0,
            expect=False,
        ) as response,
    ):
        while chunk := await response.content.readany():
            received += chunk
    return received


async def list_taken_for_whole(raw: bytes, *, resets: bool) -> list[bytes]:
    """Cut a response at each byte; list the parts that looked complete."""
    part = b""

    async def handle(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(part)
        await writer.drain()
        if resets:
            await asyncio.sleep(0.005)
            writer.transport.abort()

    taken = []
    async with raw_upstream.run_upstream() as upstream:
        upstream.handler = handle
        for size in range(len(raw)):
            part = raw[:size]
            try:
                await receive(upstream.port)
            except (errors.CallError, OSError, aiohttp.ClientError):
                continue
            taken.append(part)
        part = raw
        assert await receive(upstream.port) == _BODY
    return taken


@pytest.mark.parametrize("framing", ["length", "chunks", "interim"])
@pytest.mark.parametrize("resets", [False, True])
async def test_a_response_cut_at_any_byte_is_never_whole(
    framing: str, resets: bool
) -> None:
    """Guards against a success with an empty or short body.

    An upstream that stops in the middle of its head and closes has not
    said how its body is framed.
    """
    assert not await list_taken_for_whole(_RESPONSES[framing], resets=resets)


async def test_a_head_cut_before_a_body_that_ends_with_its_connection() -> (
    None
):
    """Only what comes after the whole head may be taken for a body."""
    raw = _RESPONSES["close"]
    taken = await list_taken_for_whole(raw, resets=False)
    head_size = raw.index(b"\r\n\r\n") + 4
    assert taken == [raw[:size] for size in range(head_size, len(raw))]
