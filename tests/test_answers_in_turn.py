"""Answers that break off before their turn, behind those of sound upstreams.

The connection of the caller was reset as soon as the answer broke off. The
requests before it were still running, and their answers were lost with it.
"""

import asyncio
from collections import abc
import contextlib
import dataclasses
import itertools
import signal

import pytest

from burdockdeal_standins import raw_http
from burdockdeal_standins import scripted_upstream

#: More than what is read whole before it is relayed, and more than what is
#: buffered before its turn.
_SIZES = (24_000, 480_000)
_BEFORE = (1, 3)

_DEADLINE_MS = 600
#: Seconds for which an answer stalls, longer than its deadline.
_STALL_S = 1.1

#: Log events of requests that end without their upstream's answer.
_ENDED_EVENTS = ("response_truncated", "request_refused")

_OK_HEAD = b"HTTP/1.1 200 OK\r\n"


@dataclasses.dataclass(frozen=True, slots=True)
class _Framing:
    """How an answer is framed.

    :param fields: the header lines, with the body's length filled in.
    :param is_chunked: whether the body is one chunk.
    """

    fields: bytes
    is_chunked: bool = False

    def build(self, size: int) -> bytes:
        """Build an answer."""
        head = _OK_HEAD + self.fields.replace(b"%d", b"%d" % size) + b"\r\n"
        body = b"x" * size
        if not self.is_chunked:
            return head + body
        return head + b"%x\r\n" % size + body + b"\r\n0\r\n\r\n"


_LENGTH = _Framing(b"Content-Length: %d\r\n")
_CHUNKS = _Framing(b"Transfer-Encoding: chunked\r\n", is_chunked=True)
_CLOSED = _Framing(b"")
_GZIP = _Framing(b"Content-Encoding: gzip\r\nContent-Length: %d\r\n")


async def _reset(writer: asyncio.StreamWriter) -> None:
    scripted_upstream.reset_connection(writer)


async def _close(writer: asyncio.StreamWriter) -> None:
    writer.close()


async def _stall(writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(_STALL_S)
    writer.close()


async def _write_bad_chunk(writer: asyncio.StreamWriter) -> None:
    # It ends the chunk that was begun, and what follows is no length.
    writer.write(b"x" * 2_000 + b"\r\nno length\r\n")
    await asyncio.sleep(_STALL_S)
    writer.close()


#: Ways in which an answer breaks off: its framing, and what comes after all
#: of the answer but its last 2,000 bytes.
_ENDINGS: dict[str, tuple[_Framing, abc.Callable]] = {
    "length, reset": (_LENGTH, _reset),
    "length, closed": (_LENGTH, _close),
    "length, stalled": (_LENGTH, _stall),
    "chunks, reset": (_CHUNKS, _reset),
    "chunks, closed": (_CHUNKS, _close),
    "chunks, stalled": (_CHUNKS, _stall),
    "chunks, no length of a chunk": (_CHUNKS, _write_bad_chunk),
    "no length, reset": (_CLOSED, _reset),
    "no length, stalled": (_CLOSED, _stall),
    "gzip, closed": (_GZIP, _close),
    "gzip, reset": (_GZIP, _reset),
}


class _Upstream:
    """Answers requests by their path, and counts them.

    :param end: ends the connection after an answer that breaks off.
    """

    def __init__(self, end: abc.Callable) -> None:
        self._end = end
        self.break_off_after(b"")

    def break_off_after(self, beginning: bytes) -> None:
        """Start anew, and break off the answer for `/jobs/broken`."""
        self._beginning = beginning
        self.runs: list[str] = []
        self.released = asyncio.Event()
        self.has_broken = asyncio.Event()

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handle the requests of one connection."""
        while True:
            head = await scripted_upstream.read_head(reader)
            path = head.start_line.split()[1]
            self.runs.append(path)
            if path == "/jobs/broken":
                writer.write(self._beginning)
                self.has_broken.set()
                await self._end(writer)
                return
            if "before" in path:
                await self.released.wait()
            writer.write(raw_http.OK_RESPONSE)


def _build_request(name: str, deadline_ms: int = 8_000) -> bytes:
    return (
        f"GET /jobs/{name} HTTP/1.1\r\nHost: here\r\n"
        f"Burdockdeal-Deadline-Ms: {deadline_ms}\r\n\r\n"
    ).encode()


def _build_pipeline(before: int) -> bytes:
    return b"".join(
        [
            *(_build_request(f"before{number}") for number in range(before)),
            _build_request("broken", _DEADLINE_MS),
            _build_request("behind"),
        ]
    )


async def _read_broken(connection: raw_http.CallerConnection) -> bool:
    """Read the answer that breaks off, and check that it isn't whole.

    :returns: whether the connection goes on.
    """
    head = await connection.read_head()
    status = head.start_line.split()[1]
    if status != "200":
        assert status in {"502", "504"}
        length = int(head.values("Content-Length")[0])
        await connection.reader.readexactly(length)
        return True
    rest = b""
    with contextlib.suppress(ConnectionError):
        rest = await connection.read_all()
    assert not rest.endswith(b"0\r\n\r\n")
    for length in head.values("Content-Length"):
        assert len(rest) < int(length)
    return False


async def _check_answers(
    connection: raw_http.CallerConnection,
    upstream: _Upstream,
    before: int,
    *,
    may_end: bool,
) -> None:
    upstream.released.set()
    for _ in range(before):
        assert (await connection.read_response())[1] == b"ok"
    goes_on = await _read_broken(connection)
    assert goes_on or may_end
    if goes_on:
        assert (await connection.read_response())[1] == b"ok"
    assert upstream.runs.count("/jobs/behind") <= 1


def _count_ended(harness: raw_http.Harness, node: str) -> int:
    """Count the requests that have ended without their upstream's answer."""
    log = harness.fleet.read_log(node)
    return sum(log.count(f"event={event} ") for event in _ENDED_EVENTS)


async def _check_pipeline(
    harness: raw_http.Harness,
    upstream: _Upstream,
    node: str,
    *,
    size: int,
    before: int,
) -> None:
    ended = _count_ended(harness, node)
    async with harness.connect(_build_pipeline(before), node) as connection:
        await asyncio.wait_for(upstream.has_broken.wait(), 5)
        is_buffered = size == _SIZES[0]
        if is_buffered:
            await _wait_until_ended(harness, node, ended + 1)
        else:
            await asyncio.sleep(_STALL_S)
        await _check_answers(
            connection, upstream, before, may_end=not is_buffered
        )


async def _wait_until_ended(
    harness: raw_http.Harness, node: str, count: int
) -> None:
    async def has_ended() -> bool:
        return _count_ended(harness, node) >= count

    await harness.fleet.wait_until(has_ended, "the answer has broken off")


@pytest.mark.parametrize("node", ["d1", "d2"])
@pytest.mark.parametrize("ending", _ENDINGS)
async def test_an_answer_that_breaks_off_before_its_turn_leaves_the_others(
    harness: raw_http.Harness, ending: str, node: str
) -> None:
    """Those before it arrive whole, and its caller gets an error.

    One beyond the buffer may end the connection in its turn.
    """
    framing, end = _ENDINGS[ending]
    upstream = _Upstream(end)
    harness.upstream.handler = upstream.handle
    for size, before in itertools.product(_SIZES, _BEFORE):
        upstream.break_off_after(framing.build(size)[:-2_000])
        await _check_pipeline(
            harness, upstream, node, size=size, before=before
        )
    log = harness.fleet.read_log(node)
    assert "event=caller_gone" not in log
    assert "event=response_truncated" in log


@pytest.mark.parametrize("node", ["d1", "d2"])
async def test_an_answer_that_breaks_off_in_a_planned_stop_leaves_the_others(
    harness: raw_http.Harness, node: str
) -> None:
    """All that was read is answered, and then the connection closes."""
    upstream = _Upstream(_reset)
    harness.upstream.handler = upstream.handle
    upstream.break_off_after(_LENGTH.build(_SIZES[0])[:-2_000])
    async with harness.connect(_build_pipeline(3), node) as connection:
        await asyncio.wait_for(upstream.has_broken.wait(), 5)
        harness.fleet.nodes[node].daemon.send_signal(signal.SIGTERM)
        await _wait_until_ended(harness, node, 1)
        await _check_answers(connection, upstream, 3, may_end=False)
        assert await connection.read_all() == b""
