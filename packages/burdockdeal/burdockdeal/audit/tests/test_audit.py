"""The audit trail: bounds, writes to the store, and pages."""

import asyncio
import itertools

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from burdockdeal.audit import audit_log
from burdockdeal.audit import decisions
from burdockdeal.audit import messages
from burdockdeal.audit import state
from burdockdeal.configuration import active_configuration
from burdockdeal.configuration import repository
from burdockdeal.core import errors
from burdockdeal.platform import messages as platform
from burdockdeal_standins import memory_store

CallOutcome = memory_store.CallOutcome


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


def make_audit_log(store: memory_store.MemoryStore) -> audit_log.AuditLog:
    active = active_configuration.ActiveConfiguration()
    changes = repository.Repository(store, active, lambda: "x")
    return audit_log.AuditLog(store, store, changes, active, clock=lambda: 0.0)


def read_change_ids(trail: audit_log.AuditLog, limit: int) -> list[str]:
    records: list[messages.Record] = []
    cursor = state.Cursor()
    while True:
        query = state.Query(limit=limit, cursor=cursor)
        page = asyncio.run(trail.read_page(query))
        records = [*page.records, *records]
        if not page.older:
            return [record.change_id for record in records]
        cursor = decisions.parse_cursor(page.older)


@settings(derandomize=True)
@given(strategies.lists(strategies.integers(0, 9)), strategies.integers(1, 9))
def test_dropped_records_are_counted(numbers: list[int], limit: int) -> None:
    pending = state.PendingRecords()
    for number in numbers:
        pending = decisions.add_record(
            pending, make_record(number), limit=limit
        )
    assert len(pending.records) + pending.dropped_count == len(numbers)
    assert len(pending.records) <= limit


def test_long_details_are_truncated() -> None:
    record = decisions.truncate_record(make_record(1, detail="x" * 9000))
    assert len(record.detail) == 300


def test_a_flood_causes_at_most_two_writes_a_minute() -> None:
    delay_s, elapsed, writes = 0.0, 0.0, 0
    while elapsed < 600:
        delay_s = decisions.choose_flush_delay(
            delay_s, delay_s if writes else 99.0
        )
        elapsed += delay_s
        writes += 1
    assert writes <= 5 + 600 / 30


@pytest.mark.parametrize(
    "fate", [CallOutcome.LOST, CallOutcome.LATE, CallOutcome.TWICE]
)
def test_a_write_with_a_lost_response_duplicates_no_record(
    fate: CallOutcome,
) -> None:
    """The daemon can't tell whether the write took effect, and repeats it."""
    remaining = [fate]
    store = memory_store.MemoryStore(
        lambda method, key: (
            remaining.pop()
            if method == "put" and remaining
            else CallOutcome.GOOD
        )
    )
    trail = make_audit_log(store)
    for number in range(3):
        trail.record(make_record(number))
    try:
        asyncio.run(trail.flush())
    except errors.PlatformError:
        asyncio.run(trail.flush())
    store.apply_late_writes()
    assert read_change_ids(trail, 10) == ["c0", "c1", "c2"]


def test_the_newest_segment_overwrites_the_oldest(monkeypatch) -> None:
    monkeypatch.setattr(decisions, "SEGMENT_COUNT", 3)
    monkeypatch.setattr(
        decisions.fill_segment, "__kwdefaults__", {"limit_bytes": 1000}
    )
    store = memory_store.MemoryStore()
    first, second = make_audit_log(store), make_audit_log(store)
    for number, trail in zip(
        range(40), itertools.cycle([first, second]), strict=False
    ):
        trail.record(make_record(number))
        asyncio.run(trail.flush())
    segments = [key for key in store.entries if "segment" in key]
    assert len(segments) == 3
    for limit in (1, 3, 100):
        found = read_change_ids(first, limit)
        assert found == [f"c{n}" for n in range(40 - len(found), 40)]
        assert len(found) > 6
    third = make_audit_log(store)
    third.record(make_record(40))
    assert read_change_ids(third, 100)[-1] == "c40"


def test_pending_records_survive_an_outage() -> None:
    store = memory_store.MemoryStore(lambda method, key: CallOutcome.DOWN)
    trail = make_audit_log(store)
    trail.record(make_record(1))
    page = asyncio.run(trail.read_page(state.Query()))
    assert not page.complete
    assert [record.change_id for record in page.records] == ["c1"]
    store.decide = lambda method, key: CallOutcome.GOOD
    page = asyncio.run(trail.read_page(state.Query()))
    assert page.complete
    assert [record.change_id for record in page.records] == ["c1"]


def test_an_undecodable_segment_raises_a_platform_error() -> None:
    """Any other error would end the flush task and with it the daemon."""
    store = memory_store.MemoryStore()
    trail = make_audit_log(store)
    trail.record(make_record(1))
    asyncio.run(
        store.put(decisions.build_segment_key(0), "{", version=platform.ABSENT)
    )
    with pytest.raises(errors.PlatformError):
        asyncio.run(trail.flush())
    assert trail.pending_count == 1


def make_located_record(at_ms: int, accepted: bool) -> state.LocatedRecord:
    cursor = (
        state.Cursor(revision=at_ms)
        if accepted
        else state.Cursor(sequence=0, index=at_ms)
    )
    return state.LocatedRecord(make_record(at_ms), cursor)


@settings(derandomize=True)
@given(
    strategies.sets(strategies.integers(0, 50)),
    strategies.sets(strategies.integers(0, 50)),
    strategies.integers(1, 20),
)
def test_pages_hold_each_record_once(
    accepted: set[int], others: set[int], limit: int
) -> None:
    cursor, pages, more = state.Cursor(), [], True
    while more:
        before_revision = 99 if cursor.revision is None else cursor.revision
        before_index = 99 if cursor.index is None else cursor.index
        records, cursor, more = decisions.merge_page(
            state.Query(limit=limit, cursor=cursor),
            [
                make_located_record(n, True)
                for n in sorted(accepted)[::-1]
                if n < before_revision
            ],
            [
                make_located_record(n, False)
                for n in sorted(others)[::-1]
                if n < before_index
            ],
            more_accepted=False,
            more_others=False,
        )
        assert len(records) <= limit
        pages = [*records, *pages]
        assert decisions.parse_cursor(decisions.format_cursor(cursor))
    times = [record.at_ms for record in pages]
    assert times == sorted([*accepted, *others])


def test_cursor_parsing() -> None:
    assert decisions.parse_cursor("nonsense") is None
    assert decisions.parse_cursor("") == state.Cursor()
