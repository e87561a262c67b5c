"""Writing into the log, with the fate of every call of the store given."""

import asyncio
import dataclasses
import itertools
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from burdockdeal.configuration import archive
from burdockdeal.configuration import log
from burdockdeal.configuration import messages
from burdockdeal.configuration import resources
from burdockdeal.configuration import standing
from burdockdeal.configuration import state
from burdockdeal.configuration import writer
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal_standins import memory_store

RING = 4
Fate = memory_store.CallOutcome


@dataclasses.dataclass(frozen=True)
class Site:
    """A daemon as far as writing goes."""

    standing: standing.Standing
    archive: archive.Archive

    def begin(self, request: writer.Request) -> writer._Write:
        return writer._Write(self.archive, self.standing, request, lambda: 7)


def make_site(store: memory_store.MemoryStore, name: str = "x") -> Site:
    in_force = standing.Standing()
    ids = itertools.count()
    entries = archive.Archive(
        store, in_force, lambda: f"{name}{next(ids)}", ring=RING
    )
    return Site(in_force, entries)


def make_request(
    change_id: str,
    *,
    name: str = "bookings",
    queue_limit: int = 1,
    expected: int | None = None,
    operator: str = "ada",
) -> writer.Request:
    return writer.Request(
        change_id,
        operator,
        state.Key("Service", name),
        resources.Service(queue_limit=queue_limit),
        expected,
    )


def read_log(store: memory_store.MemoryStore) -> dict[int, str]:
    changes = [
        codec.decode(entry.value, messages.Change)
        for key, entry in store.entries.items()
        if key.startswith(messages.LOG_PREFIX)
    ]
    return {change.revision: change.change_id for change in changes}


def advance(write: writer._Write) -> writer.Accepted | str | None:
    """Do one step: accepted, refused, or None to go on."""
    try:
        return asyncio.run(write.step())
    except writer.ChangeUncertainError:
        return "UNCERTAIN"
    except (errors.ConflictError, writer.AbsentError):
        return "REFUSED"
    except errors.PlatformError:
        return None


fates = strategies.sampled_from(
    [Fate.GOOD, Fate.GOOD, *(fate for fate in Fate)]
)


@settings(derandomize=True, max_examples=1500, deadline=None)
@given(
    strategies.lists(fates, max_size=40),
    strategies.lists(strategies.integers(0, 4), min_size=5, max_size=40),
)
def test_whatever_the_store_does(plan: list, schedule: list) -> None:
    coming = iter(plan)
    store = memory_store.MemoryStore(
        lambda method, key: next(coming, Fate.GOOD)
    )
    plainly, store.decide = store.decide, lambda method, key: Fate.GOOD
    settle(make_site(store), make_request("c", name="gone"))
    store.decide = plainly
    sites = [make_site(store, name) for name in "abc"]
    deletion = dataclasses.replace(
        make_request("c2", name="gone", expected=1), spec=None, is_put=False
    )
    requests = [
        make_request("c0", name="s0", expected=0),
        make_request("c1", name="s1", expected=0),
        deletion,
    ]
    writes = [
        site.begin(request)
        for site, request in zip(sites, requests, strict=True)
    ]
    ended: dict[int, object] = {}
    history: dict[int, str] = {}
    for turn in schedule:
        if turn > 2:
            store.apply_late_writes()
        elif turn not in ended:
            result = advance(writes[turn])
            if result is not None:
                ended[turn] = result
        history |= read_log(store)
    store.apply_late_writes()
    history |= read_log(store)
    landed = [history[revision] for revision in sorted(history)]
    assert sorted(history) == list(range(1, len(history) + 1))
    assert len(set(landed)) == len(landed)
    for turn, result in ended.items():
        if isinstance(result, writer.Accepted):
            assert history[result.generation] == f"c{turn}"
        if result == "REFUSED":
            assert f"c{turn}" not in landed
    for site in sites:
        applied = [change.change_id for change in site.standing.changes]
        assert applied == landed[: len(applied)]


def settle(site: Site, request: writer.Request, clock=None) -> writer.Accepted:
    ticks = itertools.count()
    append = writer.make_append(
        site.archive,
        site.standing,
        random.Random(1),
        wall_ms=lambda: 7,
        clock=clock or (lambda: next(ticks) * 0.2),
        pass_on=lambda changes: None,
    )
    return asyncio.run(append(request))


def fail_first(method: str, *fates: Fate) -> memory_store.DecideOutcome:
    left = list(fates)

    def decide(given: str, key: str) -> Fate:
        return left.pop(0) if given == method and left else Fate.GOOD

    return decide


@pytest.mark.parametrize("fate", [Fate.LOST, Fate.LATE, Fate.TWICE])
def test_an_unknown_fate_is_settled(fate: Fate) -> None:
    store = memory_store.MemoryStore(fail_first("put", fate))
    accepted = settle(make_site(store), make_request("c1"))
    store.apply_late_writes()
    assert accepted == writer.Accepted(1, 0)
    assert read_log(store) == {1: "c1"}


def test_unknown_to_the_end_is_uncertain_with_its_id() -> None:
    store = memory_store.MemoryStore(
        lambda method, key: Fate.LATE if method == "put" else Fate.GOOD
    )
    with pytest.raises(writer.ChangeUncertainError) as raised:
        settle(make_site(store), make_request("c1"))
    assert raised.value.change_id == "c1"
    store.apply_late_writes()
    assert read_log(store) == {1: "c1"}


def test_a_store_that_is_down_refuses_for_sure() -> None:
    store = memory_store.MemoryStore(lambda method, key: Fate.DOWN)
    with pytest.raises(errors.StoreUnavailableError):
        settle(make_site(store), make_request("c1"))


def test_a_lost_read_is_no_uncertain_write() -> None:
    store = memory_store.MemoryStore(fail_first("list", Fate.LOST))
    with pytest.raises(errors.StoreUnavailableError):
        settle(make_site(store), make_request("c1"))
    assert read_log(store) == {}


def test_a_paused_writer_loses_against_another() -> None:
    store = memory_store.MemoryStore(fail_first("put", Fate.LATE))
    paused, other = make_site(store, "p"), make_site(store, "o")
    request = make_request("c1", expected=0)
    write = paused.begin(request)
    assert advance(write) is None
    accepted = settle(other, make_request("c2", expected=0, operator="eve"))
    assert accepted.generation == 1
    store.apply_late_writes()
    assert advance(write) is None
    assert advance(write) == "REFUSED"
    assert read_log(store) == {1: "c2"}


def test_a_writer_that_lags_by_laps_is_uncertain_not_wrong() -> None:
    store = memory_store.MemoryStore(fail_first("put", Fate.LATE))
    paused, other = make_site(store, "p"), make_site(store, "o")
    write = paused.begin(make_request("c0", name="late"))
    assert advance(write) is None
    for index in range(2 * RING + 1):
        settle(other, make_request(f"o{index}", name=f"s{index}"))
    store.apply_late_writes()
    assert advance(write) == "UNCERTAIN"
    assert "c0" not in read_log(store).values()


def test_the_same_again_makes_no_revision() -> None:
    store = memory_store.MemoryStore()
    site = make_site(store)
    first = settle(site, make_request("c1", expected=0))
    again = settle(site, make_request("c2", expected=first.generation))
    bare = settle(site, make_request("c3"))
    assert again == bare == writer.Accepted(1, 1, True)
    assert read_log(store) == {1: "c1"}


def test_a_repeat_after_a_lost_answer_gets_its_generation() -> None:
    site = make_site(memory_store.MemoryStore())
    settle(site, make_request("c1"))
    settle(site, make_request("c2", queue_limit=2, expected=1))
    again = make_request("c3", queue_limit=2, expected=1)
    assert settle(site, again).generation == 2
    with pytest.raises(errors.ConflictError):
        settle(site, dataclasses.replace(again, operator="eve"))


def test_many_laps_are_kept_by_snapshots() -> None:
    store = memory_store.MemoryStore()
    site = make_site(store)
    for index in range(5 * RING):
        settle(site, make_request(f"c{index}", name=f"s{index}"))
    newcomer = make_site(store, "n")
    asyncio.run(newcomer.archive.catch_up())
    assert newcomer.standing.configuration == site.standing.configuration
    parts = [key for key in store.entries if "snapshot" in key]
    assert len(parts) == 1


def test_one_far_behind_loads_the_snapshot() -> None:
    store = memory_store.MemoryStore()
    site, laggard = make_site(store, "s"), make_site(store, "l")
    settle(site, make_request("c"))
    asyncio.run(laggard.archive.catch_up())
    for index in range(3 * RING):
        settle(site, make_request(f"c{index}", name=f"s{index}"))
    asyncio.run(laggard.archive.catch_up())
    assert laggard.standing.configuration == site.standing.configuration


def test_racing_snapshots_leave_one() -> None:
    store = memory_store.MemoryStore()
    site = make_site(store, "s")
    settle(site, make_request("c"))
    other = make_site(store, "o")
    asyncio.run(other.archive.catch_up())

    async def race() -> list[bool]:
        return await asyncio.gather(
            site.archive.compact(), other.archive.compact()
        )

    assert asyncio.run(race()).count(True) == 1
    assert sum("snapshot" in key for key in store.entries) == 1


def test_a_paused_compactor_reverts_nothing() -> None:
    store = memory_store.MemoryStore(fail_first("put", Fate.GOOD))
    site = make_site(store, "s")
    settle(site, make_request("c"))
    paused = make_site(store, "p")
    asyncio.run(paused.archive.catch_up())
    left = [Fate.GOOD, Fate.LATE]
    store.decide = lambda method, key: (
        left.pop(0) if method == "put" and left else Fate.GOOD
    )
    assert asyncio.run(paused.archive.compact()) is False
    settle(site, make_request("c2", name="other"))
    assert asyncio.run(site.archive.compact()) is True
    store.apply_late_writes()
    newcomer = make_site(store, "n")
    asyncio.run(newcomer.archive.catch_up())
    assert newcomer.standing.revision == 2
    assert sum("snapshot" in key for key in store.entries) == 1


def test_a_snapshot_that_cannot_be_read_ends_no_daemon() -> None:
    store = memory_store.MemoryStore()
    site = make_site(store, "s")
    settle(site, make_request("c"))
    asyncio.run(site.archive.compact())
    part = next(key for key in store.entries if "snapshot" in key)
    version = store.entries[part].version
    asyncio.run(store.put(part, "{", version=version))
    newcomer = make_site(store, "n")
    with pytest.raises(errors.PlatformError):
        asyncio.run(newcomer.archive.catch_up())
    assert newcomer.standing.revision == 0


def test_the_ring_is_ordered_by_slots() -> None:
    assert log.log_key(log.RING + 1) == log.log_key(1)
