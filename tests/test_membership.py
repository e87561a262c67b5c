"""Membership between real daemons: pauses, partitions and joins."""

import signal

import conftest

from burdockdeal_standins import fleet as standins
from burdockdeal_standins import fleet_relays
from burdockdeal_standins import relay


async def read_health(
    fleet: standins.Fleet, node: standins.Node
) -> dict[str, str]:
    async with fleet.session.get(
        f"{node.operator_url}/v1/status", headers=fleet.operator_headers
    ) as response:
        status = await response.json()
    return {m["daemon"]: m["health"] for m in status["members"]}


async def wait_for_health(
    fleet: standins.Fleet, seen_by: str, daemon: str, expected: set[str]
) -> None:
    async def has_health() -> bool:
        health = await read_health(fleet, fleet.nodes[seen_by])
        return health.get(daemon) in expected

    await fleet.wait_until(
        has_health, f"{seen_by} sees {daemon} as {expected}"
    )


async def test_paused_daemon_refutes_its_death(
    small_fleet: standins.Fleet,
) -> None:
    paused = small_fleet.nodes["d3"].daemon
    paused.send_signal(signal.SIGSTOP)
    await wait_for_health(small_fleet, "d1", "d3", {"DEAD"})
    await wait_for_health(small_fleet, "d2", "d3", {"DEAD"})
    paused.send_signal(signal.SIGCONT)
    for seen_by in ("d1", "d2"):
        await wait_for_health(small_fleet, seen_by, "d3", {"ALIVE"})
    health = await read_health(small_fleet, small_fleet.nodes["d3"])
    assert set(health) == {"d1", "d2", "d3"}
    assert health["d3"] == "ALIVE"


async def test_new_daemon_joins_while_store_is_down(
    small_fleet: standins.Fleet,
) -> None:
    assert small_fleet.store is not None
    small_fleet.store.kill()
    await small_fleet.store.wait()
    known = small_fleet.nodes["d1"].settings.listen.peer
    place = standins.NodeSpec("d4", "shotton", "bookings")
    new_node = await small_fleet.add_node(place, peers=(known,))
    await small_fleet.wait_until_ready()
    async with small_fleet.session.get(
        f"{new_node.caller_url}/jobs/1"
    ) as answer:
        assert answer.status == 200
    for seen_by in ("d2", "d3"):
        await wait_for_health(small_fleet, seen_by, "d4", {"ALIVE"})


async def test_killed_daemon_is_detected_and_replaced(
    small_fleet: standins.Fleet,
) -> None:
    node = small_fleet.nodes["d3"]
    node.daemon.kill()
    await node.daemon.wait()
    await wait_for_health(small_fleet, "d1", "d3", {"DEAD"})
    await small_fleet.start_daemon(node.settings)
    for seen_by in ("d1", "d2"):
        await wait_for_health(small_fleet, seen_by, "d3", {"ALIVE"})


async def test_daemon_stops_for_successor_with_its_name(
    small_fleet: standins.Fleet,
) -> None:
    old = small_fleet.nodes["d3"]
    successor = await small_fleet.add_node(old.spec)
    assert await old.daemon.wait() == 0
    await small_fleet.wait_until_ready()
    for seen_by in ("d1", "d2"):
        await wait_for_health(small_fleet, seen_by, "d3", {"ALIVE"})
    health = await read_health(small_fleet, successor)
    assert health == {"d1": "ALIVE", "d2": "ALIVE", "d3": "ALIVE"}


async def test_views_converge_after_partition(fleet: standins.Fleet) -> None:
    names = ("a1", "a2", "b1", "b2")
    links = []
    for number, domain_names in ((1, names[:2]), (2, names[2:])):
        places = [
            standins.NodeSpec(name, f"domain-{number}")
            for name in domain_names
        ]
        links.append(await fleet_relays.add_domain(fleet, number, places))
    await conftest.declare_basic_resources(fleet, fleet.nodes["a1"])
    for link in links:
        await link.set_behaviour(relay.Behaviour(cut=True, near=link.near))
    for seen_by, unreachable in (("a1", "b1"), ("a2", "b2"), ("b2", "a2")):
        await wait_for_health(fleet, seen_by, unreachable, {"SUSPECT", "DEAD"})
    for link in links:
        await link.set_behaviour(relay.Behaviour(near=link.near))
    for seen_by in names:
        for daemon in names:
            await wait_for_health(fleet, seen_by, daemon, {"ALIVE"})
