"""Membership between real daemons: pauses, cuts and newcomers."""

import signal

import conftest

from burdockdeal_standins import fleet as standins
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
    fleet: standins.Fleet, seen_by: str, daemon: str, wanted: set[str]
) -> None:
    async def holds() -> bool:
        health = await read_health(fleet, fleet.nodes[seen_by])
        return health.get(daemon) in wanted

    await fleet.wait_until(holds, f"{seen_by} sees {daemon} as {wanted}")


async def test_a_false_death_under_a_pause_is_refuted(
    small: standins.Fleet,
) -> None:
    paused = small.nodes["d3"].daemon
    paused.send_signal(signal.SIGSTOP)
    await wait_for_health(small, "d1", "d3", {"DEAD"})
    await wait_for_health(small, "d2", "d3", {"DEAD"})
    paused.send_signal(signal.SIGCONT)
    for seen_by in ("d1", "d2"):
        await wait_for_health(small, seen_by, "d3", {"ALIVE"})
    health = await read_health(small, small.nodes["d3"])
    assert set(health) == {"d1", "d2", "d3"}
    assert health["d3"] == "ALIVE"


async def test_a_newcomer_finds_the_fleet_while_the_store_is_down(
    small: standins.Fleet,
) -> None:
    assert small.store is not None
    small.store.kill()
    await small.store.wait()
    known = small.nodes["d1"].settings.listen.peer
    place = standins.NodeSpec("d4", "shotton", "bookings")
    newcomer = await small.add_node(place, peers=(known,))
    await small.wait_until_ready()
    async with small.session.get(f"{newcomer.caller_url}/jobs/1") as answer:
        assert answer.status == 200
    for seen_by in ("d2", "d3"):
        await wait_for_health(small, seen_by, "d4", {"ALIVE"})


async def test_a_daemon_that_was_killed_is_found_dead_and_replaced(
    small: standins.Fleet,
) -> None:
    node = small.nodes["d3"]
    node.daemon.kill()
    await node.daemon.wait()
    await wait_for_health(small, "d1", "d3", {"DEAD"})
    await small.start_daemon(node.settings)
    for seen_by in ("d1", "d2"):
        await wait_for_health(small, seen_by, "d3", {"ALIVE"})


async def test_a_daemon_gives_way_to_one_of_its_name(
    small: standins.Fleet,
) -> None:
    old = small.nodes["d3"]
    successor = await small.add_node(old.spec)
    assert await old.daemon.wait() == 0
    await small.wait_until_ready()
    for seen_by in ("d1", "d2"):
        await wait_for_health(small, seen_by, "d3", {"ALIVE"})
    health = await read_health(small, successor)
    assert health == {"d1": "ALIVE", "d2": "ALIVE", "d3": "ALIVE"}


async def test_a_cut_heals_to_one_view(fleet: standins.Fleet) -> None:
    names = ("a1", "a2", "b1", "b2")
    links = []
    for number, own in ((1, names[:2]), (2, names[2:])):
        places = [standins.NodeSpec(name, f"domain-{number}") for name in own]
        links.append(await fleet.add_domain(number, places))
    await conftest.declare_basic_resources(fleet, fleet.nodes["a1"])
    for link in links:
        await link.set_behaviour(relay.Behaviour(cut=True, near=link.near))
    for seen_by, lost in (("a1", "b1"), ("a2", "b2"), ("b2", "a2")):
        await wait_for_health(fleet, seen_by, lost, {"SUSPECT", "DEAD"})
    for link in links:
        await link.set_behaviour(relay.Behaviour(near=link.near))
    for seen_by in names:
        for daemon in names:
            await wait_for_health(fleet, seen_by, daemon, {"ALIVE"})
