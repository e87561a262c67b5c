"""Bytes that are no answer, without end, from the upstream of a daemon.

The daemon that had called such an upstream kept them all and ran out of
memory, and the requests of other callers ended with it. The upstream here
sends until its connection is closed, to callers who stay connected. The
daemons of both hops live, stay within the memory of their machine, and answer
other callers meanwhile.
"""

import asyncio
from collections import abc
import contextlib

import conftest
import pytest
import pytest_asyncio

from burdockdeal.settings import model
from burdockdeal_standins import crowd
from burdockdeal_standins import fleet as fleets
from burdockdeal_standins import floods
from burdockdeal_standins import memory_bounds
from burdockdeal_standins import ports
from burdockdeal_standins import raw_http
from burdockdeal_standins import scripted_upstream

#: Limits lower than the defaults, as deployments have them.
LIMITS = model.Limits(connections=400, caller_idle_s=15.0, answer_idle_s=10.0)

#: Calls that run at the same time, and the slots of the upstream.
CALLS = 32
SLOTS = 64

#: Seconds for which the upstream floods before another caller is answered.
FLOOD_S = 3.0
ORDINARY_TIMEOUT_S = 20.0

_CALL = (
    b"GET /endless HTTP/1.1\r\nHost: h\r\nBurdockdeal-Deadline-Ms: 20000\r\n"
    b"\r\n"
)
_UPLOAD = (
    b"POST /endless HTTP/1.1\r\nHost: h\r\nBurdockdeal-Deadline-Ms: 20000\r\n"
    b"Content-Length: 1000000\r\n\r\n" + b"x" * 100_000
)
#: What callers send, and the daemon that they call.
CALLERS = {
    "two hops": ("d1", _CALL),
    "one hop": ("d2", _CALL),
    "uploads": ("d1", _UPLOAD),
}


@pytest_asyncio.fixture
async def harness(
    fleet: fleets.Fleet,
) -> abc.AsyncIterator[raw_http.Harness]:
    """Start an entry, and an owner whose upstream has many slots."""
    for name, domain in (("d1", "shotton"), ("d2", "queensferry")):
        await fleet.add_node(fleets.NodeSpec(name, domain), limits=LIMITS)
    async with scripted_upstream.run_scripted_upstream(
        "bookings",
        str(fleet.nodes["d2"].settings.listen.upstream),
        ports.free_port(),
        slots=SLOTS,
    ) as upstream:
        await conftest.declare_basic_resources(fleet, fleet.nodes["d1"])
        yield raw_http.Harness(fleet, upstream)


async def _ask(harness: raw_http.Harness, node: str) -> bool:
    """Return whether an ordinary request is answered by the upstream."""
    async with harness.connect(raw_http.GET_REQUEST, node) as connection:
        head, body = await connection.read_response()
    return head.start_line.split()[1] == "200" and body == b"ok"


async def _check_serving(harness: raw_http.Harness, node: str) -> None:
    """Check that an ordinary request is served, maybe after refusals."""
    await harness.fleet.wait_until(
        lambda: _ask(harness, node),
        f"{node} serves",
        within_s=ORDINARY_TIMEOUT_S,
    )


async def _read_on(address: model.Address, request: bytes) -> None:
    """Send a request, and read whatever comes until the connection ends."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        writer.write(request)
        with contextlib.suppress(ConnectionError):
            while await reader.read(65_536):
                pass
    finally:
        writer.transport.abort()


@pytest.mark.parametrize("callers", CALLERS)
@pytest.mark.parametrize("flood", floods.FLOODS)
async def test_callers_who_read_nothing_stay_connected(
    harness: raw_http.Harness, flood: str, callers: str
) -> None:
    """What is not relayed must not be kept."""
    node, request = CALLERS[callers]
    upstream = floods.FloodingUpstream(floods.FLOODS[flood])
    harness.upstream.handler = upstream.handle
    await _check_serving(harness, node)
    bounds = memory_bounds.measure_bounds(harness.fleet.nodes.values())
    async with crowd.connect_crowd(
        harness.fleet.nodes[node].settings.listen.caller,
        lambda: (request,),
        size=CALLS,
        within_s=FLOOD_S,
    ):
        await asyncio.sleep(FLOOD_S)
        for name in harness.fleet.nodes:
            await _check_serving(harness, name)
        for bound in bounds:
            bound.check()
    assert upstream.floods


@pytest.mark.parametrize("flood", floods.FLOODS)
async def test_callers_who_read_all_stay_connected(
    harness: raw_http.Harness, flood: str
) -> None:
    """What is relayed must not be kept either."""
    upstream = floods.FloodingUpstream(floods.FLOODS[flood])
    harness.upstream.handler = upstream.handle
    await _check_serving(harness, "d1")
    bounds = memory_bounds.measure_bounds(harness.fleet.nodes.values())
    address = harness.fleet.nodes["d1"].settings.listen.caller
    readers = [
        asyncio.create_task(_read_on(address, _CALL)) for _ in range(CALLS)
    ]
    try:
        await asyncio.sleep(FLOOD_S)
        for name in harness.fleet.nodes:
            await _check_serving(harness, name)
        for bound in bounds:
            bound.check()
    finally:
        for task in readers:
            task.cancel()
        await asyncio.gather(*readers, return_exceptions=True)
    assert upstream.floods
