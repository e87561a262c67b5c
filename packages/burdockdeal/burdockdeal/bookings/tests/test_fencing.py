"""Queries of other daemons about a lost send, bounded by its deadline."""

import asyncio
from collections import abc
import contextlib

import aiohttp
import pytest

from burdockdeal.bookings import fencing
from burdockdeal.bookings import messages
from burdockdeal.bookings import peer_clocks
from burdockdeal.core import call
from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.serving import messages as serving
from burdockdeal.settings import model
from burdockdeal_standins import raw_upstream

_TOKEN = "token-of-the-fleet"
#: Seconds beyond its bound that a step may take on a busy machine.
_SLACK_S = 0.15


def read_time() -> float:
    return asyncio.get_running_loop().time()


@pytest.fixture
async def silent_peer() -> abc.AsyncIterator[model.Address]:
    """Return the address of a daemon that accepts and never responds."""

    async def handle(reader, writer) -> None:
        await reader.read()

    async with raw_upstream.run_upstream() as peer:
        peer.handler = handle
        yield model.Address("127.0.0.1", peer.port)


class Fencing:
    """An opener that fences, over a function that loses responses."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.clocks = peer_clocks.PeerClocks(read_time)
        self.sent: list[str] = []
        self.error: errors.CallError | None = None
        queries = fencing.make_peer_queries(session, _TOKEN, read_time)
        self._open = fencing.make_fencing_opener(
            self._lose_response, self.clocks, *queries, read_time
        )

    @contextlib.asynccontextmanager
    async def _lose_response(
        self, send: serving.Send
    ) -> abc.AsyncIterator[serving.Response]:
        self.sent.append(send.request.request_id)
        raise errors.LostResponseError(verdict.Reason.TIMED_OUT)
        yield

    async def send(self, peer: model.Address, remaining_s: float) -> float:
        """Send a call whose response is lost.

        :returns: the seconds until it failed.
        """
        started = read_time()
        send = serving.Send(
            request=call.Call("r1", "bookings", "", started + remaining_s),
            outbound=None,
            daemon="d1",
            peer=peer,
            incarnation=1,
            attempt=1,
            daemon_incarnation=1,
        )
        with pytest.raises(errors.CallError) as failed:
            async with self._open(send):
                pass
        self.error = failed.value
        return read_time() - started


@pytest.fixture
async def opener() -> abc.AsyncIterator[Fencing]:
    async with aiohttp.ClientSession() as session:
        yield Fencing(session)


@pytest.mark.parametrize("remaining_s", [0.0, 0.2])
async def test_a_fate_is_not_awaited_beyond_the_deadline(
    opener: Fencing, silent_peer: model.Address, remaining_s: float
) -> None:
    """Guards against a caller that is held for seconds past its deadline.

    The owner has not answered by the deadline since it stands still; it
    answers no question about the send either.
    """
    opener.clocks.record("d1", 1, read_time())
    spent_s = await opener.send(silent_peer, remaining_s)
    assert opener.sent == ["r1"]
    assert spent_s < remaining_s + fencing.FATE_GRACE_S + _SLACK_S


async def test_a_clock_is_not_awaited_beyond_the_deadline(
    opener: Fencing, silent_peer: model.Address
) -> None:
    """A daemon that has not been heard of is asked for its clock first."""
    spent_s = await opener.send(silent_peer, 0.1)
    assert not opener.sent
    assert spent_s < 0.1 + _SLACK_S


async def test_a_fate_is_asked_again_before_the_deadline(
    opener: Fencing,
) -> None:
    """The first question is lost with its connection."""
    fenced = b'{"fate":"NOT_RUN"}'

    async def handle(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        if peer.connections > 1:
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(fenced)}\r\n\r\n"
            writer.write(head.encode() + fenced)

    async with raw_upstream.run_upstream() as peer:
        peer.handler = handle
        opener.clocks.record("d1", 1, read_time())
        address = model.Address("127.0.0.1", peer.port)
        await opener.send(address, 1.0)
        assert peer.connections == 2
    assert messages.Fate.NOT_RUN in fenced.decode()


@pytest.mark.parametrize("body", [b"", b"[]", b'{"fate":"OTHER"}', b"\xff"])
@pytest.mark.parametrize("asked", ["clock", "fate"])
async def test_a_malformed_answer_is_none(
    opener: Fencing, asked: str, body: bytes
) -> None:
    """The caller of a send that may have run was told that it had not.

    A malformed answer was taken for a malformed request of the caller.
    """

    async def handle(reader, writer) -> None:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)

    async with raw_upstream.run_upstream() as peer:
        peer.handler = handle
        if asked == "fate":
            opener.clocks.record("d1", 1, read_time())
        await opener.send(model.Address("127.0.0.1", peer.port), 0.3)
    assert bool(opener.sent) is (asked == "fate")
    told_not_run = isinstance(opener.error, errors.NotRunError)
    assert told_not_run is (asked == "clock")
