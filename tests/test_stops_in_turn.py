"""Planned stops of the first, the last and the only daemon of a fleet.

What a daemon does on behalf of all moves on at each stop, and the last one
has nobody left to choose from. A daemon ended by itself when the others left.
"""

import asyncio
import signal

import conftest
import pytest

from burdockdeal_standins import fleet as standins

_CALLERS = 4
_WORK_MS = 300.0
#: Seconds between two stops, in which the roster is compared with peers.
_GAP_S = 1.0

_NAMES = ("d1", "d2", "d3")
_DOMAINS = ("shotton", "queensferry", "sealand")


async def _book(fleet: standins.Fleet, node: standins.Node) -> list[int]:
    """Send one request after another until the daemon is gone."""
    statuses = []
    while node.daemon.returncode is None:
        try:
            async with fleet.session.post(
                f"{node.caller_url}/b",
                headers={"Burdockdeal-Deadline-Ms": "3000"},
            ) as response:
                statuses.append(response.status)
                await response.read()
        except OSError:
            # The daemon no longer listens, or has closed an idle connection.
            await asyncio.sleep(0.05)
    return statuses


async def _stop(fleet: standins.Fleet, node: standins.Node) -> None:
    """Stop a daemon under load: each request gets an answer."""
    callers = [
        asyncio.ensure_future(_book(fleet, node)) for _ in range(_CALLERS)
    ]
    await asyncio.sleep(_WORK_MS / 2000)
    node.daemon.send_signal(signal.SIGTERM)
    assert await asyncio.wait_for(node.daemon.wait(), 15) == 0
    statuses = await asyncio.gather(*callers)
    # What ran is answered; later requests are refused or served elsewhere.
    assert {each[0] for each in statuses} == {200}
    assert {status for each in statuses for status in each} <= {200, 503}
    assert "event=daemon_crashed" not in fleet.read_log(node.spec.name)


def _make_spec(name: str, domain: str) -> standins.NodeSpec:
    return standins.NodeSpec(name, domain, "bookings", service_ms=_WORK_MS)


@pytest.mark.parametrize("order", [_NAMES, _NAMES[::-1]], ids=["up", "down"])
async def test_daemons_that_stop_in_turn_answer_all_they_run(
    fleet: standins.Fleet, order: tuple[str, ...]
) -> None:
    """The first to stop speaks to the store for all; the last is alone."""
    await fleet.add_nodes(map(_make_spec, _NAMES, _DOMAINS))
    await conftest.declare_basic_resources(fleet, fleet.nodes["d1"])
    for name in order:
        await _stop(fleet, fleet.nodes[name])
        await asyncio.sleep(_GAP_S)


async def test_the_only_daemon_stops_and_answers_all_it_runs(
    fleet: standins.Fleet,
) -> None:
    await fleet.add_node(_make_spec("d1", "shotton"))
    await conftest.declare_basic_resources(fleet, fleet.nodes["d1"])
    await _stop(fleet, fleet.nodes["d1"])
