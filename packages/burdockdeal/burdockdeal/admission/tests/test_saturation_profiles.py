"""What owners learned of a service outlives a restart of all of them."""

import random

from burdockdeal.admission import saturation
from burdockdeal.admission import saturation_profiles
from burdockdeal.platform import messages as platform
from burdockdeal_standins import memory_store
from burdockdeal_standins import virtual_time

KEY = "op-profiles"
SLOWED = saturation.Evidence(saturation.MIN_CROWDED_CALLS, 1.7)
STEADY = saturation.Evidence(saturation.MIN_CROWDED_CALLS, 1.0)
TOO_LITTLE = saturation.Evidence(saturation.MIN_CROWDED_CALLS - 1, 1.7)


class Daemon:
    """A daemon with its own evidence."""

    def __init__(self, store: memory_store.MemoryStore) -> None:
        self.evidence: dict[str, saturation.Evidence] = {}
        self.profiles = saturation_profiles.SaturationProfiles(
            KEY, store, lambda: self.evidence, lambda: True, random.Random(1)
        )
        self.profiles.apply_listing(virtual_time.run(store.list("op")))

    def review(self) -> bool:
        return virtual_time.run(self.profiles.review())


def test_a_daemon_that_starts_knows_what_others_have_learned() -> None:
    store = memory_store.MemoryStore()
    first = Daemon(store)
    assert not first.profiles.is_saturating("orders")
    first.evidence = {"orders": SLOWED, "bookings": STEADY}
    assert first.review()
    restarted = Daemon(store)
    assert restarted.profiles.is_saturating("orders")
    assert not restarted.profiles.is_saturating("bookings")


def test_too_little_evidence_changes_nothing() -> None:
    store = memory_store.MemoryStore()
    first = Daemon(store)
    first.evidence = {"orders": SLOWED}
    first.review()
    restarted = Daemon(store)
    restarted.evidence = {"bookings": TOO_LITTLE}
    before = len(store.calls)
    assert not restarted.review()
    assert len(store.calls) == before
    assert Daemon(store).profiles.is_saturating("orders")


def test_a_service_that_no_longer_slows_down_is_dropped() -> None:
    store = memory_store.MemoryStore()
    first = Daemon(store)
    first.evidence = {"orders": SLOWED}
    first.review()
    first.evidence = {"orders": STEADY}
    first.review()
    assert not Daemon(store).profiles.is_saturating("orders")


def test_two_writers_lose_nothing() -> None:
    store = memory_store.MemoryStore()
    first, second = Daemon(store), Daemon(store)
    first.evidence = {"orders": SLOWED}
    second.evidence = {"bookings": SLOWED}
    first.review()
    second.review()
    second.review()
    restarted = Daemon(store)
    assert restarted.profiles.is_saturating("orders")
    assert restarted.profiles.is_saturating("bookings")


def test_an_unreadable_entry_is_replaced() -> None:
    store = memory_store.MemoryStore()
    virtual_time.run(store.put(KEY, "novelty", version=platform.ABSENT))
    first = Daemon(store)
    first.evidence = {"orders": SLOWED}
    first.review()
    assert Daemon(store).profiles.is_saturating("orders")


def test_profiles_are_written_again_after_a_restore() -> None:
    """Guards against profiles that stay lost although a daemon knows them."""
    store = memory_store.MemoryStore()
    first = Daemon(store)
    first.evidence = {"orders": SLOWED}
    first.review()
    store.restore({})
    virtual_time.run(first.profiles.rewrite())
    assert Daemon(store).profiles.is_saturating("orders")
    first.evidence = {"bookings": SLOWED}
    assert first.review()
    assert Daemon(store).profiles.is_saturating("bookings")
