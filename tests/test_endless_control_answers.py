"""Answers without end at the address of the store, or of another daemon.

A daemon kept what it read until its message timed out, and ran out of memory.
It has to live, to stay within the memory of its machine, and to answer the
callers whose requests need neither.
"""

import asyncio

import conftest
import pytest

from burdockdeal_standins import fleet as fleets
from burdockdeal_standins import floods
from burdockdeal_standins import memory_bounds
from burdockdeal_standins import ports

#: Seconds of floods: several calls to the store, and of the other daemon.
_FLOOD_S = 6.0

_SERVE_S = 20.0

_FLOODS = (
    "line ends before a status line",
    "header lines",
    "interim responses",
    "body with a length",
    "chunks",
)


async def _is_served(fleet: fleets.Fleet, node: fleets.Node) -> bool:
    async with fleet.session.get(f"{node.caller_url}/jobs/1") as response:
        return response.status == 200


@pytest.mark.parametrize("flood", _FLOODS)
@pytest.mark.parametrize("flooding", ["store", "daemon"])
async def test_endless_answers_leave_a_daemon_serving(
    fleet: fleets.Fleet, flooding: str, flood: str
) -> None:
    await fleet.add_nodes(
        [
            fleets.NodeSpec("d1", "shotton", "bookings"),
            fleets.NodeSpec("d2", "queensferry", "bookings"),
        ]
    )
    nodes = fleet.nodes
    await conftest.declare_basic_resources(fleet, nodes["d1"])
    (bound,) = memory_bounds.measure_bounds([nodes["d1"]])
    ended, port = {
        "store": (fleet.store, fleet.store_port),
        "daemon": (nodes["d2"].daemon, nodes["d2"].settings.listen.peer.port),
    }[flooding]
    ended.kill()
    await ended.wait()
    async with floods.run_flooding_server(
        ports.HOST, port, floods.FLOODS[flood]
    ) as server:
        await asyncio.sleep(_FLOOD_S)
        await fleet.wait_until(
            lambda: _is_served(fleet, nodes["d1"]),
            "d1 serves",
            within_s=_SERVE_S,
        )
        bound.check()
    assert server.floods
