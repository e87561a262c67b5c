"""Responses of unknown length, which are relayed as they come.

The head and the first message of a stream arrived half a second late, since a
short response was read whole before any of it was relayed.
"""

import asyncio
from collections import abc
import contextlib

import pytest

from burdockdeal_standins import raw_http
from burdockdeal_standins import scripted_upstream

_HEADS = {
    "chunks": b"Transfer-Encoding: chunked\r\n",
    "no length": b"",
    "gzip": b"Transfer-Encoding: chunked\r\nContent-Encoding: gzip\r\n",
}

_GET_STREAM = (
    b"GET /jobs/stream HTTP/1.1\r\nHost: here\r\n"
    b"Burdockdeal-Deadline-Ms: 8000\r\n\r\n"
)


class _Stream:
    """An upstream that streams, and answers all other requests at once."""

    def __init__(self, framing: str) -> None:
        self._framing = framing
        self.runs: list[str] = []
        self.messages: asyncio.Queue[bytes | None] = asyncio.Queue()

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handle the requests of one connection."""
        while True:
            head = await scripted_upstream.read_head(reader)
            path = head.start_line.split()[1]
            self.runs.append(path)
            if path != "/jobs/stream":
                writer.write(raw_http.OK_RESPONSE)
            elif not await self._stream(writer):
                return

    async def _stream(self, writer: asyncio.StreamWriter) -> bool:
        """Stream messages; return whether the connection can go on."""
        fields = _HEADS[self._framing]
        is_chunked = b"chunked" in fields
        writer.write(b"HTTP/1.1 200 OK\r\n" + fields + b"\r\n")
        while (message := await self.messages.get()) is not None:
            size = b"%x\r\n" % len(message) if is_chunked else b""
            end = b"\r\n" if is_chunked else b""
            writer.write(size + message + end)
        if is_chunked:
            writer.write(b"0\r\n\r\n")
        return is_chunked


@contextlib.asynccontextmanager
async def _open_stream(
    harness: raw_http.Harness, framing: str, node: str
) -> abc.AsyncIterator[tuple[_Stream, raw_http.CallerConnection]]:
    stream = _Stream(framing)
    harness.upstream.handler = stream.handle
    async with harness.connect(_GET_STREAM, node) as connection:
        yield stream, connection


async def _read_until(
    connection: raw_http.CallerConnection, end: bytes
) -> bytes:
    return await asyncio.wait_for(connection.reader.readuntil(end), 5)


@pytest.mark.parametrize("node", ["d1", "d2"])
@pytest.mark.parametrize("framing", _HEADS)
async def test_a_head_arrives_before_the_first_message(
    harness: raw_http.Harness, framing: str, node: str
) -> None:
    """The upstream sends the first message only after that."""
    async with _open_stream(harness, framing, node) as (stream, connection):
        await connection.read_head()
        stream.messages.put_nowait(b"first")
        await _read_until(connection, b"first\r\n")
        stream.messages.put_nowait(None)
        await _read_until(connection, b"0\r\n\r\n")


@pytest.mark.parametrize("node", ["d1", "d2"])
@pytest.mark.parametrize("framing", _HEADS)
async def test_a_first_message_is_not_held_back(
    harness: raw_http.Harness, framing: str, node: str
) -> None:
    """It comes with the head, and nothing after it.

    That nothing is waited for is in `serving/tests/test_short_responses.py`.
    """
    async with _open_stream(harness, framing, node) as (stream, connection):
        stream.messages.put_nowait(b"first")
        await connection.read_head()
        await _read_until(connection, b"first\r\n")


@pytest.mark.parametrize("node", ["d1", "d2"])
async def test_a_request_behind_a_stream_waits_for_its_end(
    harness: raw_http.Harness, node: str
) -> None:
    async with _open_stream(harness, "chunks", node) as (stream, connection):
        await connection.read_head()
        connection.writer.write(raw_http.GET_REQUEST * 2)
        stream.messages.put_nowait(b"first")
        await _read_until(connection, b"first\r\n")
        await asyncio.sleep(0.1)
        assert stream.runs == ["/jobs/stream"]
        stream.messages.put_nowait(None)
        await _read_until(connection, b"0\r\n\r\n")
        for _ in range(2):
            assert (await connection.read_response())[1] == b"ok"


@pytest.mark.parametrize("node", ["d1", "d2"])
async def test_a_request_behind_a_stream_that_breaks_off_is_not_run(
    harness: raw_http.Harness, node: str
) -> None:
    """Its connection ends, and it may be sent again."""
    async with _open_stream(harness, "no length", node) as (
        stream,
        connection,
    ):
        await connection.read_head()
        connection.writer.write(raw_http.GET_REQUEST)
        stream.messages.put_nowait(b"first")
        await _read_until(connection, b"first\r\n")
        for task in asyncio.all_tasks():
            if "ScriptedUpstream.accept" in repr(task.get_coro()):
                task.cancel()
        with contextlib.suppress(ConnectionError):
            assert not (await connection.read_all()).endswith(b"0\r\n\r\n")
        assert stream.runs == ["/jobs/stream"]
