"""Answers that come while an upload is still being written."""

import asyncio
import contextlib

import pytest

from burdockdeal_standins import raw_http
from burdockdeal_standins import scripted_upstream

_PART = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart"
_BARE_PART = b"HTTP/1.1 200 OK\r\n\r\npart"
_OLD_PART = b"HTTP/1.0 200 OK\r\n\r\npart"
_HEAD = b"POST /b HTTP/1.1\r\nHost: h\r\n"

#: Longer than what is buffered for another send, and than all buffers.
_UPLOAD_BYTES = 16_000_000
_CHUNK = bytes(100_000)

_UPLOADS = {
    "length": (_HEAD + b"Content-Length: %d\r\n\r\n" % _UPLOAD_BYTES, _CHUNK),
    "chunks": (
        _HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"%x\r\n%s\r\n" % (len(_CHUNK), _CHUNK),
    ),
}


#: Seconds after the part of the answer, and what then ends the connection.
#: A socket that is closed with unread bytes resets its connection.
_ENDINGS = {
    "reset at once": (0.0, scripted_upstream.reset_connection),
    "reset soon": (0.002, scripted_upstream.reset_connection),
    "reset later": (0.05, scripted_upstream.reset_connection),
    "closed unread": (0.05, lambda writer: writer.transport.abort()),
}


async def _upload(writer: asyncio.StreamWriter, piece: bytes) -> None:
    with contextlib.suppress(ConnectionError):
        # The last piece is left out, so that the upload is never whole.
        for _ in range(_UPLOAD_BYTES // len(_CHUNK) - 1):
            writer.write(piece)
            await writer.drain()


async def _receive(connection: raw_http.CallerConnection) -> bytes:
    received = b""
    with contextlib.suppress(ConnectionError, TimeoutError):
        async with asyncio.timeout(5):
            while chunk := await connection.reader.read(65_536):
                received += chunk
                if received.endswith((b"}", b"0\r\n\r\n")):
                    break
    return received


@pytest.mark.parametrize("ending", _ENDINGS)
@pytest.mark.parametrize(
    "part", [_PART, _BARE_PART, _OLD_PART], ids=["close", "bare", "1.0"]
)
@pytest.mark.parametrize("framing", _UPLOADS)
@pytest.mark.parametrize("node", ["d1", "d2"])
async def test_an_early_answer_that_is_reset_is_not_whole(
    harness: raw_http.Harness,
    node: str,
    framing: str,
    part: bytes,
    ending: str,
) -> None:
    """On another system the caller got a part of an answer as a whole one.

    The reset can meet the daemon while it writes the upload.
    """

    async def handle(reader, writer) -> None:
        await scripted_upstream.read_head(reader)
        await reader.read(70_000)
        writer.write(part)
        await writer.drain()
        delay_s, end = _ENDINGS[ending]
        await asyncio.sleep(delay_s)
        end(writer)

    harness.upstream.handler = handle
    head, piece = _UPLOADS[framing]
    async with harness.connect(head, node) as connection:
        uploading = asyncio.create_task(_upload(connection.writer, piece))
        received = await _receive(connection)
        uploading.cancel()
    if b" 200 OK" in received:
        assert not received.endswith(b"0\r\n\r\n")
        assert b"Content-Length: 4" not in received
    else:
        assert not received or b'"reason":"BROKEN_CONNECTION"' in received
        assert b'"verdict":"NOT_RUN"' not in received
    await harness.check_still_serves()


@pytest.mark.parametrize(
    "status",
    ["000", "0", "42", "099", "600", "999", "1000", "2000"],
)
@pytest.mark.parametrize("node", ["d1", "d2"])
async def test_a_status_out_of_range_is_a_broken_response(
    harness: raw_http.Harness, node: str, status: str
) -> None:
    """A caller got a status that is none as an answer."""
    raw = f"HTTP/1.1 {status} Odd\r\nContent-Length: 2\r\n\r\nno"
    harness.respond_to_all(raw.encode())
    post = _HEAD + b"Content-Length: 0\r\n\r\n"
    async with harness.connect(post, node) as connection:
        refusal = await connection.read_refusal()
    assert refusal == ("502", "MAY_HAVE_RUN", "BROKEN_CONNECTION")
    await harness.check_still_serves()
