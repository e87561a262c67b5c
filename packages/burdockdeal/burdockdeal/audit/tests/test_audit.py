"""The audit trail: what is kept, written and shown."""

import asyncio
import itertools

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from burdockdeal.audit import decisions
from burdockdeal.audit import ledger
from burdockdeal.audit import messages
from burdockdeal.audit import state
from burdockdeal.configuration import active_configuration
from burdockdeal.configuration import repository
from burdockdeal.core import errors
from burdockdeal_standins import memory_store

Fate = memory_store.CallOutcome


def make_record(
    number: int, outcome: str = "REFUSED", detail: str = ""
) -> messages.Record:
    return messages.Record(
        at_ms=number,
        operator="ada",
        resource="Service/a",
        action="PUT",
        from_generation=0,
        to_generation=0,
        outcome=outcome,
        detail=detail,
        change_id=f"c{number}",
    )


def make_ledger(store: memory_store.MemoryStore) -> ledger.Ledger:
    in_force = active_configuration.ActiveConfiguration()
    log = repository.Repository(store, in_force, lambda: "x")
    return ledger.Ledger(store, store, log, in_force, clock=lambda: 0.0)


def read_all(records: ledger.Ledger, limit: int) -> list[str]:
    found: list[messages.Record] = []
    cursor = state.Cursor()
    while True:
        query = state.Query(limit=limit, cursor=cursor)
        trail = asyncio.run(records.read(query))
        found = [*trail.records, *found]
        if not trail.older:
            return [record.change_id for record in found]
        cursor = decisions.parse_cursor(trail.older)


@settings(derandomize=True)
@given(strategies.lists(strategies.integers(0, 9)), strategies.integers(1, 9))
def test_what_is_dropped_is_counted(numbers: list[int], limit: int) -> None:
    pending = state.Pending()
    for number in numbers:
        pending = decisions.add(pending, make_record(number), limit=limit)
    assert len(pending.records) + pending.lost == len(numbers)
    assert len(pending.records) <= limit


def test_a_record_is_bounded() -> None:
    record = decisions.trim(make_record(1, detail="x" * 9000))
    assert len(record.detail) == 300


def test_a_flood_costs_two_writes_a_minute() -> None:
    pause_s, elapsed, writes = 0.0, 0.0, 0
    while elapsed < 600:
        pause_s = decisions.choose_pause(pause_s, pause_s if writes else 99.0)
        elapsed += pause_s
        writes += 1
    assert writes <= 5 + 600 / 30


@pytest.mark.parametrize("fate", [Fate.LOST, Fate.LATE, Fate.TWICE])
def test_an_unknown_write_leaves_each_record_once(fate: Fate) -> None:
    left = [fate]
    store = memory_store.MemoryStore(
        lambda method, key: (
            left.pop() if method == "put" and left else Fate.GOOD
        )
    )
    records = make_ledger(store)
    for number in range(3):
        records.note(make_record(number))
    try:
        asyncio.run(records.flush())
    except errors.PlatformError:
        asyncio.run(records.flush())
    store.apply_late_writes()
    assert read_all(records, 10) == ["c0", "c1", "c2"]


def test_segments_go_round_and_the_oldest_is_dropped(monkeypatch) -> None:
    monkeypatch.setattr(decisions, "SEGMENTS", 3)
    monkeypatch.setattr(
        decisions.fill, "__kwdefaults__", {"limit_bytes": 1000}
    )
    store = memory_store.MemoryStore()
    first, second = make_ledger(store), make_ledger(store)
    for number, records in zip(
        range(40), itertools.cycle([first, second]), strict=False
    ):
        records.note(make_record(number))
        asyncio.run(records.flush())
    segments = [key for key in store.entries if "segment" in key]
    assert len(segments) == 3
    for limit in (1, 3, 100):
        found = read_all(first, limit)
        assert found == [f"c{n}" for n in range(40 - len(found), 40)]
        assert len(found) > 6
    newcomer = make_ledger(store)
    newcomer.note(make_record(40))
    assert read_all(newcomer, 100)[-1] == "c40"


def test_an_outage_keeps_what_waits() -> None:
    store = memory_store.MemoryStore(lambda method, key: Fate.DOWN)
    records = make_ledger(store)
    records.note(make_record(1))
    trail = asyncio.run(records.read(state.Query()))
    assert not trail.complete
    assert [record.change_id for record in trail.records] == ["c1"]
    store.decide = lambda method, key: Fate.GOOD
    trail = asyncio.run(records.read(state.Query()))
    assert trail.complete
    assert [record.change_id for record in trail.records] == ["c1"]


def test_what_cannot_be_read_ends_no_daemon() -> None:
    store = memory_store.MemoryStore()
    records = make_ledger(store)
    records.note(make_record(1))
    asyncio.run(store.put(decisions.segment_key(0), "{", version=0))
    with pytest.raises(errors.PlatformError):
        asyncio.run(records.flush())
    assert records.waiting == 1


def found_at(at_ms: int, accepted: bool) -> state.Found:
    cursor = (
        state.Cursor(revision=at_ms)
        if accepted
        else state.Cursor(sequence=0, index=at_ms)
    )
    return state.Found(make_record(at_ms), cursor)


@settings(derandomize=True)
@given(
    strategies.sets(strategies.integers(0, 50)),
    strategies.sets(strategies.integers(0, 50)),
    strategies.integers(1, 20),
)
def test_pages_hold_everything_once(
    accepted: set[int], others: set[int], limit: int
) -> None:
    cursor, pages, more = state.Cursor(), [], True
    while more:
        below = 99 if cursor.revision is None else cursor.revision
        under = 99 if cursor.index is None else cursor.index
        records, cursor, more = decisions.merge(
            state.Query(limit=limit, cursor=cursor),
            [found_at(n, True) for n in sorted(accepted)[::-1] if n < below],
            [found_at(n, False) for n in sorted(others)[::-1] if n < under],
            more_accepted=False,
            more_others=False,
        )
        assert len(records) <= limit
        pages = [*records, *pages]
        assert decisions.parse_cursor(decisions.format_cursor(cursor))
    times = [record.at_ms for record in pages]
    assert times == sorted([*accepted, *others])


def test_a_cursor_that_is_none() -> None:
    assert decisions.parse_cursor("nonsense") is None
    assert decisions.parse_cursor("") == state.Cursor()
