"""The lookup of a newer configuration, before a key is refused."""

import asyncio

from burdockdeal.configuration import active_configuration
from burdockdeal.configuration import newer_lookup
from burdockdeal.configuration import state


class Fleet:
    """Other daemons that have some revision, and count the lookups."""

    def __init__(self, revision: int) -> None:
        self.active = active_configuration.ActiveConfiguration()
        self.active.apply_snapshot(state.Configuration(1))
        self.revision = revision
        self.now = 100.0
        self.lookups = 0
        self.lookup = newer_lookup.NewerLookup(
            self.active, self._find_revision, lambda: 60, lambda: self.now
        )

    async def _find_revision(self) -> int:
        self.lookups += 1
        await asyncio.sleep(0)
        self.active.apply_snapshot(state.Configuration(self.revision))
        return self.revision


async def test_all_waiting_requests_share_one_lookup() -> None:
    fleet = Fleet(revision=2)
    found = await asyncio.gather(
        *(fleet.lookup.find_newer_than(1) for _ in range(50))
    )
    assert all(found)
    assert fleet.lookups == 1


async def test_a_request_that_leaves_does_not_end_the_lookup() -> None:
    fleet = Fleet(revision=2)
    leaving = asyncio.ensure_future(fleet.lookup.find_newer_than(1))
    staying = asyncio.ensure_future(fleet.lookup.find_newer_than(1))
    await asyncio.sleep(0)
    leaving.cancel()
    assert await staying


async def test_unknown_keys_cause_a_bounded_number_of_lookups() -> None:
    """A flood of unknown keys must not become a flood of pings."""
    fleet = Fleet(revision=1)
    for _ in range(1000):
        assert not await fleet.lookup.find_newer_than(1)
    assert fleet.lookups == 1
    fleet.now += newer_lookup.choose_interval_s(60)
    assert not await fleet.lookup.find_newer_than(1)
    assert fleet.lookups == 2


async def test_lookups_of_a_fleet_do_not_grow_with_it() -> None:
    for daemons in (60, 1_000, 23_000):
        interval_s = newer_lookup.choose_interval_s(daemons)
        most = max(
            daemons / newer_lookup.MIN_INTERVAL_S
            if interval_s == newer_lookup.MIN_INTERVAL_S
            else 0,
            newer_lookup.FLEET_LOOKUPS_PER_S,
        )
        assert daemons / interval_s <= most


async def test_an_active_newer_configuration_needs_no_lookup() -> None:
    fleet = Fleet(revision=1)
    assert await fleet.lookup.find_newer_than(0)
    assert fleet.lookups == 0
