"""Daemons whose store comes back from an old copy."""

import asyncio

from burdockdeal.configuration import resources
from burdockdeal_standins import fleet as standins
from burdockdeal_standins import platform_fleet
from burdockdeal_standins import ports


async def test_daemons_survive_a_restore_of_the_store(
    fleet: standins.Fleet,
) -> None:
    """Guards against a configuration that goes back and lost contacts.

    The copy holds the first configuration and no contact. A daemon that
    starts after the restore must find the others and apply what they do.
    """
    async with platform_fleet.PlatformFleet(fleet) as platform:
        await platform.configure(1)
        await platform.copy_store()
        for name, domain in (("a1", "a"), ("b1", "b")):
            await platform.add(name, domain)
            await platform.send_heartbeat(name, 1)
        for name in platform.places:
            await platform.wait_until_served(name)
        await platform.configure(2)
        await wait_until_logged(fleet, ("a1", "b1"), "revision=2")
        await platform.restore_store()

        async def has_contacts() -> bool:
            found = [
                await platform.has_entry(f"op-members/{domain}")
                for domain in "ab"
            ]
            logged = fleet.read_log("a1") + fleet.read_log("b1")
            return all(found) and "event=records_rewritten" in logged

        await fleet.wait_until(has_contacts, "the contacts are back")
        for name in platform.places:
            status, _ = await platform.ask(name, f"restored-{name}")
            assert status == 200
        logged = fleet.read_log("a1") + fleet.read_log("b1")
        assert "event=store_era_risen old=0 new=1" in logged
        assert "event=configuration_lost_by_store in_force=2" in logged
        await platform.add("a2", "a")
        await wait_until_logged(fleet, ("a2",), "revision=2")
        await platform.configure(3)
        await wait_until_logged(fleet, ("a1", "b1", "a2"), "revision=3")
        for name in platform.places:
            assert list_active_revisions(fleet, name) == sorted(
                list_active_revisions(fleet, name)
            )


def list_active_revisions(fleet: standins.Fleet, name: str) -> list[str]:
    """List the revisions that a daemon has activated, in order."""
    return [
        line.split("revision=")[1].split()[0]
        for line in fleet.read_log(name).splitlines()
        if "configuration_activated" in line
    ]


async def wait_until_logged(
    fleet: standins.Fleet, names: tuple[str, ...], text: str
) -> None:
    """Wait until the daemons have logged an activation with a text."""

    async def have_logged() -> bool:
        return all(
            text.removeprefix("revision=")
            in list_active_revisions(fleet, name)
            for name in names
        )

    await fleet.wait_until(have_logged, f"{names} log {text}")


async def administer_store(fleet: standins.Fleet, action: str) -> None:
    url = f"http://{ports.HOST}:{fleet.store_port}/admin/{action}"
    async with fleet.session.post(url) as response:
        assert response.status == 200


async def test_lost_changes_are_in_the_log_again(
    small_fleet: standins.Fleet,
) -> None:
    """Guards against a gap in the log, and watches that return at once.

    A restored store has discarded its history, so that a watch from an
    entry's version lists everything.
    """
    fleet, node = small_fleet, small_fleet.nodes["d1"]
    # The log's newest entry is older than the history that is discarded.
    store_url = f"http://{ports.HOST}:{fleet.store_port}/api/kv-txn"
    unrelated = b'{"puts":[{"key":"unrelated","value":""}]}'
    async with fleet.session.post(store_url, data=unrelated) as response:
        assert response.status == 200
    await administer_store(fleet, "copy")
    await administer_store(fleet, "restore")
    before = await fleet.read_store_counts()
    await asyncio.sleep(3.0)
    after = await fleet.read_store_counts()
    # Three relays, whose watches end after 5 s without news.
    assert after.watches - before.watches <= 2 * len(fleet.nodes)
    lost = await fleet.declare(node, "Service", "lost", resources.Service())
    await administer_store(fleet, "restore")

    async def is_written_again() -> bool:
        return any(
            "kind=changes revisions=1" in fleet.read_log(name)
            for name in fleet.nodes
        )

    await fleet.wait_until(is_written_again, "the change is written again")
    following = await fleet.declare(
        node, "Service", "next", resources.Service()
    )
    assert following == lost + 1
