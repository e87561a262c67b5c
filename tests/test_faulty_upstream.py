"""Late copies of refusals, and bodies without end, through daemons.

A faulty upstream writes a refusal once more on a kept connection. If a later
request took the copy for its own response, its caller would be told that it
did not run, or it would run at a second upstream, although it runs here.
"""

import asyncio
import contextlib

import pytest

from burdockdeal_standins import raw_http
from burdockdeal_standins import scripted_upstream

_REFUSAL = (
    b"HTTP/1.1 503 Busy\r\nBurdockdeal-Verdict: NOT_RUN\r\n"
    b"Content-Length: 0\r\n\r\n"
)
_POST = (
    b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
    b"Burdockdeal-Deadline-Ms: 3000\r\n\r\n"
)

#: Seconds by which a copy arrives after the next request's head, while that
#: request runs.
_RUN_S = 0.2


@pytest.mark.parametrize("node", ["d1", "d2"])
@pytest.mark.parametrize("copy_when", ["idle", "running"])
async def test_a_copied_refusal_is_not_believed(
    harness: raw_http.Harness, node: str, copy_when: str
) -> None:
    """The second request is answered, through one hop and through two."""
    connections = 0

    async def serve(reader, writer) -> None:
        await scripted_upstream.read_head(reader)
        await asyncio.sleep(_RUN_S)
        writer.write(raw_http.OK_RESPONSE)

    async def refuse_then_serve(reader, writer) -> None:
        await scripted_upstream.read_head(reader)
        writer.write(_REFUSAL)
        if copy_when == "idle":
            await asyncio.sleep(_RUN_S / 4)
            writer.write(_REFUSAL)
        await scripted_upstream.read_head(reader)
        writer.write(_REFUSAL)
        await asyncio.sleep(_RUN_S)
        writer.write(raw_http.OK_RESPONSE)

    async def handle(reader, writer) -> None:
        nonlocal connections
        connections += 1
        if connections == 1:
            await refuse_then_serve(reader, writer)
        while True:
            await serve(reader, writer)

    harness.upstream.handler = handle
    async with harness.connect(_POST, node) as connection:
        refused = await connection.read_refusal()
        assert refused == ("503", "NOT_RUN", "UPSTREAM_REFUSED")
        await asyncio.sleep(_RUN_S)
        connection.writer.write(_POST)
        head, body = await connection.read_response()
        assert head.start_line.split()[1] == "200"
        assert body == b"ok"


@pytest.mark.parametrize("node", ["d1", "d2"])
@pytest.mark.parametrize(
    "part",
    [b"1\r\nx\r\n", b"4000\r\n" + b"x" * 0x4000 + b"\r\n"],
    ids=["drips", "floods"],
)
async def test_a_body_without_end_is_broken_off_at_the_deadline(
    harness: raw_http.Harness, node: str, part: bytes
) -> None:
    """A body that drips, or floods, never looks complete."""

    async def handle(reader, writer) -> None:
        await scripted_upstream.read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while True:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.02)

    harness.upstream.handler = handle
    request = _POST.replace(b"3000", b"1000")
    loop = asyncio.get_running_loop()
    started = loop.time()
    async with harness.connect(request, node) as connection:
        received = b""
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(5):
                while chunk := await connection.reader.read(65_536):
                    received += chunk
    assert 0.9 < loop.time() - started < 2.0
    assert b"200 OK" in received
    assert not received.endswith(b"0\r\n\r\n")
