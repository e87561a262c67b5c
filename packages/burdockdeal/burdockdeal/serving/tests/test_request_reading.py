"""What a connection accepts of heads, chunks and pipelined requests."""

import asyncio
import contextlib

import pytest

from burdockdeal.serving import pipelined_connection
from burdockdeal.serving import request_intake
from burdockdeal.serving.tests import pipelining
from burdockdeal.settings import model

_LIMITS = model.Limits(header_bytes=1000, head_s=0.2, answer_idle_s=1.0)
_CHUNKED = b"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
_FIELDS = b"".join(b"X-%03d: %s\r\n" % (n, b"v" * 90) for n in range(20))

#: A request of each framing, and the one behind it.
_PIPELINED = (
    b"\r\n"
    + _CHUNKED
    + b"3;e=f\r\nab\r\r\n4\r\n\r\n\r\n\r\n0\r\nA: b\r\n\r\n"
    + pipelining.build_request("/b", "PUT", b"ab\r\n\r\ncd")
    + b"\r\n\r\n"
    + pipelining.build_request("/b")
)


class Served:
    """A server that answers at once, and a raw connection to it."""

    def __init__(self, reader, writer, blocking, server) -> None:
        self.reader = reader
        self.writer = writer
        self.blocking = blocking
        self.server = server

    async def read(self) -> tuple[int, bytes]:
        async with asyncio.timeout(5):
            return await pipelining.read_response(self.reader)


@contextlib.asynccontextmanager
async def connect(limits: model.Limits = _LIMITS):
    blocking = pipelining.BlockingHandler()
    blocking.release("/b")
    async with pipelining.serve(blocking, limits=limits) as (server, port):
        reader, writer = await asyncio.open_connection(pipelining.HOST, port)
        try:
            yield Served(reader, writer, blocking, server)
        finally:
            writer.close()


@pytest.mark.parametrize(
    "raw",
    [
        b"POST /b HTTP/1.1\r\n" + _FIELDS,
        b"\r\n" * 600,
        b"GET /" + b"a" * 1500,
    ],
    ids=["fields", "empty lines", "line"],
)
async def test_a_head_over_the_limit_is_refused(raw: bytes) -> None:
    """Only each line had a limit, so that a head could take 2 MB."""
    async with connect() as served:
        served.writer.write(raw)
        status, body = await served.read()
        assert status == 431
        assert b"NOT_RUN" in body
        assert not served.blocking.started


async def test_a_head_of_the_greatest_length_is_served() -> None:
    """The empty lines before a head and the one after it count."""
    head = b"\r\nGET /b HTTP/1.1\r\nHost: h\r\nX: %s\r\n\r\n"
    filler = b"v" * (_LIMITS.header_bytes - len(head) + 2)
    async with connect() as served:
        served.writer.write(head % filler)
        assert await served.read() == (200, b"/b:0")


async def test_requests_are_parsed_however_they_are_cut() -> None:
    """A head, a body or a blank line may end anywhere in what is read."""
    for cut in range(1, len(_PIPELINED)):
        async with connect() as served:
            served.writer.write(_PIPELINED[:cut])
            await asyncio.sleep(0.002)
            served.writer.write(_PIPELINED[cut:])
            for expected in (b"/b:7", b"/b:8", b"/b:0"):
                assert await served.read() == (200, expected), cut


async def test_a_slow_head_is_refused_also_on_a_used_connection() -> None:
    """Only the first head of a connection had a time limit."""
    async with connect() as served:
        served.writer.write(pipelining.build_request("/b"))
        assert await served.read() == (200, b"/b:0")
        served.writer.write(b"GET /b HTTP/1.1\r\n")
        status, body = await served.read()
        assert status == 408
        assert b"NOT_RUN" in body


@pytest.mark.parametrize(
    "raw",
    [b"0\r\n" + _FIELDS, b"1;" + b"e" * 2000],
    ids=["trailers", "extension"],
)
async def test_a_body_with_endless_framing_breaks_off(raw: bytes) -> None:
    """Trailers could take 2 MB of a connection, extensions no end."""
    async with connect() as served:
        served.writer.write(_CHUNKED + b"1\r\nx\r\n")
        await asyncio.sleep(0.05)
        served.writer.write(raw)
        status, body = await served.read()
        assert status == 431
        assert b"NOT_RUN" in body


async def test_a_malformed_body_ends_its_request_at_once() -> None:
    """The handler waited for the rest, and what it held was kept."""
    async with connect() as served:
        served.writer.write(_CHUNKED + b"1\r\nx\r\nno size\r\n")
        status, body = await served.read()
        assert status == 400
        assert b"NOT_RUN" in body
        assert not await served.reader.read()


async def test_a_body_of_many_small_chunks_is_read_to_its_end() -> None:
    """The parser stays paused once if the last chunk of a read paused it."""
    for chunks in (4_096, 4_097, 9_000):
        async with connect() as served:
            served.writer.write(_CHUNKED + b"1\r\nx\r\n" * chunks)
            await asyncio.sleep(0.05)
            served.writer.write(b"1\r\ny\r\n")
            served.writer.write(b"0\r\n\r\n")
            assert await served.read() == (200, b"/b:%d" % (chunks + 1))


async def test_small_chunks_are_not_parsed_again_when_they_are_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each chunk that was read of a body made the parser run once more.

    With many such bodies no other caller got a response.
    """
    calls = []
    receive = pipelined_connection.Connection.data_received

    def count(self, data: bytes) -> None:
        calls.append(len(data))
        receive(self, data)

    monkeypatch.setattr(
        pipelined_connection.Connection, "data_received", count
    )
    async with connect() as served:
        served.writer.write(_CHUNKED + b"1\r\nx\r\n" * 8_000 + b"0\r\n\r\n")
        assert await served.read() == (200, b"/b:8000")
    assert len(calls) < 100


async def test_one_read_starts_a_bounded_number_of_requests() -> None:
    """A single read could start hundreds of requests of one connection."""
    async with connect() as served:
        served.writer.write(pipelining.build_request("/wait") * 300)
        await pipelining.wait_until(lambda: len(served.blocking.started) > 16)
        await asyncio.sleep(0.05)
        assert len(served.blocking.started) == 17
        served.blocking.release("/wait")
        for _ in range(300):
            assert await served.read() == (200, b"/wait:0")


async def test_other_connections_have_their_turn_within_one_read() -> None:
    """A read of many short pieces kept the event loop until its end."""
    # Each chunk holds blank lines, where the parser's input is cut.
    chunk = b"2000\r\n" + b"\r\n\r\n" * 2048 + b"\r\n"
    async with connect() as served:
        turns = 0

        async def count_turns() -> None:
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        counting = asyncio.create_task(count_turns())
        served.writer.write(_CHUNKED + chunk + b"0\r\n\r\n")
        assert await served.read() == (200, b"/b:8192")
        counting.cancel()
        assert turns >= 2048 / request_intake.MAX_PIECES_PER_TURN


async def test_a_turn_ends_after_its_pieces_or_its_time() -> None:
    """With many connections, one turn of the loop took seconds."""
    now = 0.0
    budget = request_intake.TurnBudget(lambda: now)
    taken = 0
    while budget.take():
        taken += 1
    assert taken == request_intake.MAX_PIECES_OF_ALL_PER_TURN
    await asyncio.sleep(0)
    assert budget.take()
    now += 2 * request_intake.MAX_TURN_S
    assert not budget.take()
    served = []
    budget.defer(lambda: served.append(budget.take()))
    await asyncio.sleep(0)
    assert served == [True]
    assert budget.take()


async def test_a_client_that_does_not_read_is_reset() -> None:
    """Closing it waited for what was left to send, without end."""
    limits = model.Limits(answer_idle_s=0.3)
    async with connect(limits) as served:
        served.writer.transport.pause_reading()
        served.writer.write(pipelining.build_request("/long") * 4)
        served.blocking.release("/long")
        server = served.server
        await pipelining.wait_until(lambda: server.active_count > 0)
        await pipelining.wait_until(lambda: not server._connections)
        assert server.ledger.total_bytes == server.ledger.evicted == 0
