"""Late copies of responses, and bytes without end, from a faulty upstream.

The upstream is a raw server, so that a test decides when each byte arrives.
"""

import asyncio
from collections import abc

import aiohttp
import multidict
import pytest

from burdockdeal.core import errors
from burdockdeal.serving import bodies
from burdockdeal.serving import connection_guard
from burdockdeal.serving import forwarding
from burdockdeal.serving import messages
from burdockdeal.settings import model
from burdockdeal_standins import raw_upstream

#: Time in which bytes on the loopback interface arrive, in seconds.
_ARRIVAL_S = 0.05

_CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def build_response(body: bytes, *, status: str = "200 OK") -> bytes:
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def fetch(
    session: aiohttp.ClientSession,
    upstream: raw_upstream.RawUpstream,
    *,
    remaining_s: float = 5.0,
    keeps_connection: abc.Callable[[messages.Response], bool] | None = None,
) -> bytes:
    outbound = messages.OutboundRequest(
        "GET",
        "/",
        multidict.CIMultiDict(),
        bodies.Body(None, b"", model.Limits()),
    )
    async with forwarding.open_response(
        session,
        upstream.authority,
        outbound,
        {},
        remaining_s=remaining_s,
        expect=False,
        keeps_connection=keeps_connection or (lambda response: True),
    ) as response:
        received = b""
        while chunk := await response.content.readany():
            received += chunk
        return received


async def answer_in_turn(
    upstream: raw_upstream.RawUpstream, extra: bytes
) -> None:
    """Answer each request with its number; send extra bytes when idle."""
    numbers = iter(range(1, 100))

    async def handle(reader, writer) -> None:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            number = next(numbers)
            writer.write(build_response(b"%d" % number))
            if number == 1 and extra:
                await asyncio.sleep(_ARRIVAL_S)
                writer.write(extra)

    upstream.handler = handle


@pytest.mark.parametrize(
    "extra",
    [
        build_response(b"1"),
        build_response(b"", status="503 Service Unavailable"),
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP",
        b"\r\n",
    ],
    ids=["answer", "refusal", "interim", "part of a head", "line end"],
)
async def test_bytes_on_an_idle_connection_are_no_response(
    extra: bytes,
) -> None:
    async with (
        raw_upstream.run_upstream() as upstream,
        forwarding.build_session(16_384) as session,
    ):
        await answer_in_turn(upstream, extra)
        assert await fetch(session, upstream) == b"1"
        await asyncio.sleep(3 * _ARRIVAL_S)
        assert await fetch(session, upstream) == b"2"
        assert upstream.connections == 2


async def test_a_copy_in_the_segment_of_the_response_is_no_response() -> None:
    numbers = iter(range(1, 100))

    async def handle(reader, writer) -> None:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(2 * build_response(b"%d" % next(numbers)))

    async with (
        raw_upstream.run_upstream() as upstream,
        forwarding.build_session(16_384) as session,
    ):
        upstream.handler = handle
        for number in range(1, 5):
            assert await fetch(session, upstream) == b"%d" % number
        assert upstream.connections == 4


async def test_a_well_behaved_connection_is_kept() -> None:
    async with (
        raw_upstream.run_upstream() as upstream,
        forwarding.build_session(16_384) as session,
    ):
        await answer_in_turn(upstream, b"")
        for number in range(1, 5):
            assert await fetch(session, upstream) == b"%d" % number
            await asyncio.sleep(0)
        assert upstream.connections == 1


@pytest.mark.parametrize("body", [b"", b"no"], ids=["no body", "body"])
async def test_the_connection_of_a_refusal_is_not_used_again(
    body: bytes,
) -> None:
    """A copy of the refusal arrives after the next request's head."""
    refusal = build_response(body, status="503 Service Unavailable")
    first = True

    async def handle(reader, writer) -> None:
        nonlocal first
        await reader.readuntil(b"\r\n\r\n")
        if first:
            first = False
            writer.write(refusal)
            await reader.readuntil(b"\r\n\r\n")
            writer.write(refusal)
        writer.write(build_response(b"ok"))

    async with (
        raw_upstream.run_upstream() as upstream,
        forwarding.build_session(16_384) as session,
    ):
        upstream.handler = handle
        assert await fetch(session, upstream, keeps_connection=refuse) == body
        assert await fetch(session, upstream) == b"ok"


def refuse(response: messages.Response) -> bool:
    return response.status != 503


async def flood(
    upstream: raw_upstream.RawUpstream, start: bytes, repeated: bytes
) -> asyncio.Future[int]:
    """Write bytes without end in response to each request.

    :returns: the number of bytes written until the client closed.
    """
    sent: asyncio.Future[int] = asyncio.get_running_loop().create_future()

    async def handle(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        size = 0
        try:
            writer.write(start)
            while True:
                writer.write(repeated)
                size += len(repeated)
                await writer.drain()
        except ConnectionError:
            sent.set_result(size)

    upstream.handler = handle
    return sent


@pytest.mark.parametrize(
    ("start", "repeated"),
    [
        (b"HTTP/1.1 200 OK\r\n", b"X-Line: 1\r\n" * 100),
        (b"HTTP/1.1 200 OK\r\nX-Long: ", b"a" * 1000),
        (b"HTTP/1.1 200 ", b"O" * 1000),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 50),
        (_CHUNKED_HEAD + b"1", b";a=b" * 200),
        (_CHUNKED_HEAD + b"0\r\n", b"X-Trailer: 1\r\n" * 100),
        (b"", b"\x00" * 1000),
        (b"", b"\r\n" * 1000),
    ],
    ids=[
        "header lines",
        "header value",
        "status line",
        "interim responses",
        "chunk extension",
        "trailers",
        "zeros",
        "line ends",
    ],
)
async def test_framing_without_end_is_cut_off(
    start: bytes, repeated: bytes
) -> None:
    async with (
        raw_upstream.run_upstream() as upstream,
        forwarding.build_session(16_384) as session,
    ):
        sent = await flood(upstream, start, repeated)
        async with asyncio.timeout(3):
            with pytest.raises((errors.CallError, aiohttp.ClientError)) as got:
                await fetch(session, upstream)
            # The kernel's socket buffers hold what the client did not read.
            assert await sent < connection_guard.MAX_FRAMING_BYTES + 8_000_000
    assert not isinstance(got.value, errors.NotRunError)


async def test_a_head_that_drips_is_cut_off_at_the_deadline() -> None:
    async def handle(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n")
        while True:
            writer.write(b"X: 1\r\n")
            await writer.drain()
            await asyncio.sleep(0.05)

    async with (
        raw_upstream.run_upstream() as upstream,
        forwarding.build_session(16_384) as session,
    ):
        upstream.handler = handle
        async with asyncio.timeout(2):
            with pytest.raises(errors.LostResponseError):
                await fetch(session, upstream, remaining_s=0.3)


async def test_large_bodies_are_not_taken_for_framing() -> None:
    body = b"x" * (4 * connection_guard.MAX_FRAMING_BYTES)
    chunks = b"".join(b"1\r\ny\r\n" for _ in range(60_000))

    async def handle(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(build_response(body))
        await reader.readuntil(b"\r\n\r\n")
        writer.write(_CHUNKED_HEAD + chunks + b"0\r\n\r\n")
        await reader.read()

    async with (
        raw_upstream.run_upstream() as upstream,
        forwarding.build_session(16_384) as session,
    ):
        upstream.handler = handle
        assert await fetch(session, upstream) == body
        assert await fetch(session, upstream) == b"y" * 60_000
