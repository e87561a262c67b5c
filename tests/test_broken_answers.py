"""Answers that break off, in front of those of sound upstreams.

The connection of the caller was reset with the broken answer. The requests
behind it had run, and their answers were lost with the connection.
"""

import asyncio

import pytest

from burdockdeal.serving import short_responses
from burdockdeal_standins import raw_http
from burdockdeal_standins import scripted_upstream

_BODY = b"x" * 5_000
_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + _BODY
_CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"1388\r\n" + _BODY + b"\r\n0\r\n\r\n"
)
_CLOSED = b"HTTP/1.1 200 OK\r\n\r\n" + _BODY

_ANSWERS = {"length": _LENGTH, "chunks": _CHUNKED, "no length": _CLOSED}

#: Bytes of the answer that are missing.
_MISSING = {"no body": 5_000, "half": 2_500, "the last byte": 1}

#: Seconds for which an answer stalls before its connection ends.
_STALL_S = 0.02

_PIPELINED = b"".join(
    b"GET /jobs/%s HTTP/1.1\r\nHost: here\r\n"
    b"Burdockdeal-Deadline-Ms: 3000\r\n\r\n" % name
    for name in (b"broken", b"1", b"2")
)


def _break_off(harness: raw_http.Harness, answer: bytes) -> None:
    """Break off the answers to some requests, and answer the others."""

    async def handle(reader, writer) -> None:
        while True:
            head = await scripted_upstream.read_head(reader)
            if "/broken " not in head.start_line:
                writer.write(raw_http.OK_RESPONSE)
                continue
            writer.write(answer)
            await writer.drain()
            await asyncio.sleep(_STALL_S)
            scripted_upstream.reset_connection(writer)
            return

    harness.upstream.handler = handle


@pytest.mark.parametrize("node", ["d1", "d2"])
@pytest.mark.parametrize("missing", _MISSING)
@pytest.mark.parametrize("framing", _ANSWERS)
async def test_a_broken_answer_leaves_those_behind_it(
    harness: raw_http.Harness, framing: str, missing: str, node: str
) -> None:
    """The first request gets an error, and the connection goes on."""
    answer = _ANSWERS[framing]
    _break_off(harness, answer[: len(answer) - _MISSING[missing]])
    async with harness.connect(_PIPELINED, node) as connection:
        assert (await connection.read_refusal())[0] in ("502", "503")
        for _ in range(2):
            head, body = await connection.read_response()
            assert head.start_line.split()[1] == "200"
            assert body == b"ok"
        connection.writer.write(raw_http.GET_REQUEST)
        assert (await connection.read_response())[1] == b"ok"


@pytest.mark.parametrize("node", ["d1", "d2"])
async def test_a_long_answer_is_relayed_while_it_arrives(
    harness: raw_http.Harness, node: str
) -> None:
    """A part of it has no end in sight, and nothing is held back."""
    goes_on = asyncio.Event()
    part = b"x" * 1_000
    length = short_responses.MAX_BYTES + len(part)

    async def handle(reader, writer) -> None:
        await scripted_upstream.read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length)
        writer.write(part)
        await goes_on.wait()
        writer.write(b"y" * (length - len(part)))
        await reader.read()

    harness.upstream.handler = handle
    async with harness.connect(raw_http.GET_REQUEST, node) as connection:
        await connection.read_head()
        received = await asyncio.wait_for(
            connection.reader.readexactly(len(part)), 5
        )
        goes_on.set()
        received += await connection.reader.readexactly(length - len(part))
    assert received == part + b"y" * (length - len(part))


@pytest.mark.parametrize("node", ["d1", "d2"])
async def test_a_stream_of_short_messages_is_not_held_back(
    harness: raw_http.Harness, node: str
) -> None:
    """Its length is unknown, and its first message arrives before its end."""
    goes_on = asyncio.Event()

    async def handle(reader, writer) -> None:
        await scripted_upstream.read_head(reader)
        writer.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"5\r\nfirst\r\n"
        )
        await goes_on.wait()
        writer.write(b"4\r\nlast\r\n0\r\n\r\n")
        await reader.read()

    harness.upstream.handler = handle
    async with harness.connect(raw_http.GET_REQUEST, node) as connection:
        received = await asyncio.wait_for(
            connection.reader.readuntil(b"first\r\n"), 5
        )
        assert b"Transfer-Encoding: chunked" in received
        goes_on.set()
        rest = await asyncio.wait_for(
            connection.reader.readuntil(b"0\r\n\r\n"), 5
        )
    assert rest == b"4\r\nlast\r\n0\r\n\r\n"


@pytest.mark.parametrize("node", ["d1", "d2"])
async def test_a_short_answer_in_chunks_gets_its_length(
    harness: raw_http.Harness, node: str
) -> None:
    harness.respond_to_all(_CHUNKED)
    async with harness.connect(raw_http.GET_REQUEST, node) as connection:
        _, body = await connection.read_response()
    assert body == _BODY
