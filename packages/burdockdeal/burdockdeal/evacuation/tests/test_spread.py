"""Evacuations that reach every daemon, in virtual time.

Guards against a daemon that still sends requests to a failure domain 5 s
after the store has acknowledged its evacuation, or for good.
"""

import asyncio

from burdockdeal.evacuation import active
from burdockdeal.evacuation import messages
from burdockdeal.platform import messages as store_messages
from burdockdeal_standins import evacuation_fleet
from burdockdeal_standins import virtual_time

BOUND_S = 5.0


def play(scenario) -> None:
    async def run() -> None:
        async with evacuation_fleet.Fleet() as fleet:
            await scenario(fleet)

    virtual_time.run(run())


def test_an_evacuation_reaches_all_and_is_taken_back() -> None:
    async def scenario(fleet: evacuation_fleet.Fleet) -> None:
        await fleet.evacuate("b")
        await asyncio.sleep(BOUND_S)
        assert fleet.find_sets() == {("b",)}
        # Nobody polls, and the watches report another key only.
        first = fleet.daemons[0].roster.choose_store_readers(1)
        for daemon in fleet.daemons:
            daemon.is_store_down = daemon.name in first
        await fleet.take_back("b")
        await fleet.store.put("op/config", "{}", version=store_messages.ABSENT)
        await asyncio.sleep(BOUND_S)
        assert fleet.find_sets() == {()}

    play(scenario)


def test_a_newer_set_is_pushed_ahead_of_the_next_probes() -> None:
    async def scenario(fleet: evacuation_fleet.Fleet) -> None:
        fleet.daemons[0].evacuations.apply(
            messages.EvacuatedDomains(("b",), 10), source="store"
        )
        await asyncio.sleep(0.2)
        assert fleet.find_sets() == {("b",)}

    play(scenario)


def test_the_readers_are_lost_during_an_evacuation() -> None:
    """The set stays in force, and its end is learned from the next readers."""

    async def scenario(fleet: evacuation_fleet.Fleet) -> None:
        await fleet.evacuate("b")
        await asyncio.sleep(BOUND_S)
        readers = fleet.daemons[0].roster.choose_store_readers(3)
        fleet.killed |= set(readers)
        await asyncio.sleep(1.0)
        await fleet.take_back("b")
        assert fleet.find_sets() == {("b",)}
        await asyncio.sleep(60)
        assert fleet.find_sets() == {()}

    play(scenario)


def test_the_set_stays_in_force_while_the_store_is_lost() -> None:
    async def scenario(fleet: evacuation_fleet.Fleet) -> None:
        await fleet.evacuate("b")
        await asyncio.sleep(BOUND_S)
        for daemon in fleet.daemons:
            daemon.is_store_down = True
        await asyncio.sleep(60)
        assert fleet.find_sets() == {("b",)}

    play(scenario)


def test_two_domains_that_are_cut_off_from_each_other_agree() -> None:
    """A third reaches both; the only reader left is in one of the two."""

    async def scenario(fleet: evacuation_fleet.Fleet) -> None:
        fleet.cut_domains = frozenset({"a", "b"})
        for daemon in fleet.daemons:
            daemon.is_store_down = daemon.domain != "a"
        await fleet.evacuate("b")
        await asyncio.sleep(BOUND_S)
        assert fleet.find_sets() == {("b",)}

    play(scenario)


def test_a_daemon_that_starts_learns_the_set_from_its_first_ping() -> None:
    async def scenario(fleet: evacuation_fleet.Fleet) -> None:
        await fleet.evacuate("b")
        await asyncio.sleep(BOUND_S)
        daemon = evacuation_fleet.Daemon("b9", fleet)
        daemon.is_store_down = True
        fleet.daemons.append(daemon)
        await fleet.start(daemon)
        await asyncio.sleep(0.1)
        assert daemon.evacuations.is_evacuated("b")

    play(scenario)


def test_the_same_set_at_a_higher_revision_is_not_pushed() -> None:
    """It still replaces a set that was read in between."""
    applied = active.ActiveEvacuation(is_enabled=True)
    changes = []
    applied.on_change(changes.append)
    for domains, revision in [(("b",), 10), (("b",), 20), ((), 15)]:
        applied.apply(
            messages.EvacuatedDomains(domains, revision), source="test"
        )
    assert applied.current == messages.EvacuatedDomains(("b",), 20)
    assert [change.started for change in changes] == [{"b"}]


def test_a_set_of_a_restored_store_replaces_one_of_an_earlier_era() -> None:
    """A store that is restored from an old copy issues its revisions again."""
    applied = active.ActiveEvacuation(is_enabled=True)
    for domains, revision, era in [
        (("a",), 90, 0),
        ((), 40, 1),
        (("b",), 95, 0),
    ]:
        applied.apply(
            messages.EvacuatedDomains(domains, revision, era), source="test"
        )
    assert applied.current.version == (1, 40)
    assert not applied.is_evacuated("a")
    assert not applied.is_evacuated("b")


def test_a_deployment_without_evacuations_ignores_them() -> None:
    applied = active.ActiveEvacuation(is_enabled=False)
    applied.apply(messages.EvacuatedDomains(("b",), 10), source="test")
    assert applied.current == messages.NONE_KNOWN
