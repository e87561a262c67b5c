"""Answers of other daemons that have no end.

A daemon read them whole until the message timed out. The address of a daemon
that has left may belong to anything.
"""

from collections import abc
import time

import aiohttp
import pytest

from burdockdeal.bookings import fencing
from burdockdeal.bookings import messages as bookings
from burdockdeal.membership import messages
from burdockdeal.membership import transport
from burdockdeal.overload import body_io
from burdockdeal.serving import connection_guard
from burdockdeal.settings import model
from burdockdeal_standins import floods
from burdockdeal_standins import ports

#: Bytes that the socket buffers of both sides may hold besides what the
#: daemon has read, on a loopback connection.
_SOCKET_BUFFER_BYTES = 16 * 1024 * 1024

#: Long enough for a daemon that reads all of it to exceed the bound.
_TIMEOUT_S = 3.0

#: Sends a message to the daemon at an address.
Send = abc.Callable[
    [aiohttp.ClientSession, model.Address], abc.Awaitable[object]
]


async def _post(session: aiohttp.ClientSession, address: model.Address):
    post = transport.make_post(session, "token")
    request = messages.PingRequest("d2")
    return await post(address, "/x", request, messages.PingResult, _TIMEOUT_S)


async def _query_clock(session: aiohttp.ClientSession, address: model.Address):
    query, _ = fencing.make_peer_queries(session, "token", time.monotonic)
    return await query(address, _TIMEOUT_S)


async def _query_fate(session: aiohttp.ClientSession, address: model.Address):
    _, query = fencing.make_peer_queries(session, "token", time.monotonic)
    fate = await query(address, bookings.Fence("r1", 1, 1, 1e9), _TIMEOUT_S)
    return None if fate is bookings.Fate.UNKNOWN else fate


@pytest.mark.parametrize("send", [_post, _query_clock, _query_fate])
@pytest.mark.parametrize("flood", floods.FLOODS)
async def test_an_answer_without_end_is_not_kept(
    flood: str, send: Send
) -> None:
    port = ports.free_port()
    connector = aiohttp.TCPConnector()
    connection_guard.guard_connections(connector)
    async with (
        floods.run_flooding_server(
            ports.HOST, port, floods.FLOODS[flood]
        ) as server,
        aiohttp.ClientSession(connector=connector) as session,
    ):
        assert await send(session, model.Address(ports.HOST, port)) is None
        await server.wait_until_closed()
    answers = server.floods
    limit = body_io.MAX_PEER_RESPONSE_BYTES + _SOCKET_BUFFER_BYTES
    assert server.kept_bytes < answers * limit
