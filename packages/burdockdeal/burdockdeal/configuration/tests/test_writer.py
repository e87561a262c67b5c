"""Tests of writing to the log, with a given fault for each store call."""

import asyncio
import dataclasses
import itertools
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from burdockdeal.configuration import active_configuration
from burdockdeal.configuration import log
from burdockdeal.configuration import messages
from burdockdeal.configuration import repository
from burdockdeal.configuration import resources
from burdockdeal.configuration import state
from burdockdeal.configuration import writer
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal_standins import memory_store

RING = 4
CallOutcome = memory_store.CallOutcome


@dataclasses.dataclass(frozen=True)
class Daemon:
    """The part of a daemon that writes changes."""

    active: active_configuration.ActiveConfiguration
    repository: repository.Repository

    def begin(self, request: writer.ChangeRequest) -> writer._PendingWrite:
        return writer._PendingWrite(
            self.repository, self.active, request, lambda: 7
        )


def make_daemon(store: memory_store.MemoryStore, name: str = "x") -> Daemon:
    active = active_configuration.ActiveConfiguration()
    ids = itertools.count()
    log_store = repository.Repository(
        store, active, lambda: f"{name}{next(ids)}", ring_size=RING
    )
    return Daemon(active, log_store)


def make_request(
    change_id: str,
    *,
    name: str = "bookings",
    queue_limit: int = 1,
    expected: int | None = None,
    operator: str = "ada",
) -> writer.ChangeRequest:
    return writer.ChangeRequest(
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


def advance(write: writer._PendingWrite) -> writer.Accepted | str | None:
    """Do one step and return its result, None if a further one is needed."""
    try:
        return asyncio.run(write.step())
    except writer.ChangeUncertainError:
        return "UNCERTAIN"
    except (errors.ConflictError, writer.ResourceNotFoundError):
        return "REFUSED"
    except errors.PlatformError:
        return None


store_fates = strategies.sampled_from(
    [CallOutcome.GOOD, CallOutcome.GOOD, *(fate for fate in CallOutcome)]
)


@settings(derandomize=True, max_examples=1500, deadline=None)
@given(
    strategies.lists(store_fates, max_size=40),
    strategies.lists(strategies.integers(0, 4), min_size=5, max_size=40),
)
def test_invariants_hold_for_any_store_faults(
    plan: list, schedule: list
) -> None:
    planned = iter(plan)
    store = memory_store.MemoryStore(
        lambda method, key: next(planned, CallOutcome.GOOD)
    )
    faulty, store.decide = store.decide, lambda method, key: CallOutcome.GOOD
    append(make_daemon(store), make_request("c", name="gone"))
    store.decide = faulty
    daemons = [make_daemon(store, name) for name in "abc"]
    deletion = dataclasses.replace(
        make_request("c2", name="gone", expected=1), spec=None, is_put=False
    )
    requests = [
        make_request("c0", name="s0", expected=0),
        make_request("c1", name="s1", expected=0),
        deletion,
    ]
    writes = [
        daemon.begin(request)
        for daemon, request in zip(daemons, requests, strict=True)
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
    for daemon in daemons:
        applied = [change.change_id for change in daemon.active.recent_changes]
        assert applied == landed[: len(applied)]


def append(
    daemon: Daemon, request: writer.ChangeRequest, clock=None
) -> writer.Accepted:
    ticks = itertools.count()
    append_change = writer.make_append(
        daemon.repository,
        daemon.active,
        random.Random(1),
        wall_ms=lambda: 7,
        clock=clock or (lambda: next(ticks) * 0.2),
        forward=lambda changes: None,
    )
    return asyncio.run(append_change(request))


def fail_first(method: str, *fates: CallOutcome) -> memory_store.DecideOutcome:
    left = list(fates)

    def decide(given: str, key: str) -> CallOutcome:
        return left.pop(0) if given == method and left else CallOutcome.GOOD

    return decide


@pytest.mark.parametrize(
    "fate", [CallOutcome.LOST, CallOutcome.LATE, CallOutcome.TWICE]
)
def test_unknown_write_outcome_is_resolved(fate: CallOutcome) -> None:
    store = memory_store.MemoryStore(fail_first("put", fate))
    accepted = append(make_daemon(store), make_request("c1"))
    store.apply_late_writes()
    assert accepted == writer.Accepted(1, 0)
    assert read_log(store) == {1: "c1"}


def test_outcome_unknown_at_timeout_reports_change_id() -> None:
    store = memory_store.MemoryStore(
        lambda method, key: (
            CallOutcome.LATE if method == "put" else CallOutcome.GOOD
        )
    )
    with pytest.raises(writer.ChangeUncertainError) as raised:
        append(make_daemon(store), make_request("c1"))
    assert raised.value.change_id == "c1"
    store.apply_late_writes()
    assert read_log(store) == {1: "c1"}


def test_store_that_is_down_refuses_the_change() -> None:
    store = memory_store.MemoryStore(lambda method, key: CallOutcome.DOWN)
    with pytest.raises(errors.StoreUnavailableError):
        append(make_daemon(store), make_request("c1"))


def test_lost_read_is_not_an_uncertain_write() -> None:
    store = memory_store.MemoryStore(fail_first("list", CallOutcome.LOST))
    with pytest.raises(errors.StoreUnavailableError):
        append(make_daemon(store), make_request("c1"))
    assert read_log(store) == {}


def test_paused_writer_is_refused_after_another_change() -> None:
    store = memory_store.MemoryStore(fail_first("put", CallOutcome.LATE))
    paused, other = make_daemon(store, "p"), make_daemon(store, "o")
    request = make_request("c1", expected=0)
    write = paused.begin(request)
    assert advance(write) is None
    accepted = append(other, make_request("c2", expected=0, operator="eve"))
    assert accepted.generation == 1
    store.apply_late_writes()
    assert advance(write) is None
    assert advance(write) == "REFUSED"
    assert read_log(store) == {1: "c2"}


def test_writer_overtaken_by_laps_is_uncertain() -> None:
    store = memory_store.MemoryStore(fail_first("put", CallOutcome.LATE))
    paused, other = make_daemon(store, "p"), make_daemon(store, "o")
    write = paused.begin(make_request("c0", name="late"))
    assert advance(write) is None
    for index in range(2 * RING + 1):
        append(other, make_request(f"o{index}", name=f"s{index}"))
    store.apply_late_writes()
    assert advance(write) == "UNCERTAIN"
    assert "c0" not in read_log(store).values()


def test_repeated_spec_makes_no_revision() -> None:
    store = memory_store.MemoryStore()
    daemon = make_daemon(store)
    first = append(daemon, make_request("c1", expected=0))
    again = append(daemon, make_request("c2", expected=first.generation))
    without_generation = append(daemon, make_request("c3"))
    assert again == without_generation == writer.Accepted(1, 1, True)
    assert read_log(store) == {1: "c1"}


def test_repeat_after_lost_answer_returns_its_generation() -> None:
    daemon = make_daemon(memory_store.MemoryStore())
    append(daemon, make_request("c1"))
    append(daemon, make_request("c2", queue_limit=2, expected=1))
    again = make_request("c3", queue_limit=2, expected=1)
    assert append(daemon, again).generation == 2
    with pytest.raises(errors.ConflictError):
        append(daemon, dataclasses.replace(again, operator="eve"))


def test_snapshots_preserve_overwritten_changes() -> None:
    store = memory_store.MemoryStore()
    daemon = make_daemon(store)
    for index in range(5 * RING):
        append(daemon, make_request(f"c{index}", name=f"s{index}"))
    newcomer = make_daemon(store, "n")
    asyncio.run(newcomer.repository.catch_up())
    assert newcomer.active.configuration == daemon.active.configuration
    parts = [key for key in store.entries if "snapshot" in key]
    assert len(parts) == 1


def test_daemon_far_behind_loads_the_snapshot() -> None:
    store = memory_store.MemoryStore()
    daemon, laggard = make_daemon(store, "s"), make_daemon(store, "l")
    append(daemon, make_request("c"))
    asyncio.run(laggard.repository.catch_up())
    for index in range(3 * RING):
        append(daemon, make_request(f"c{index}", name=f"s{index}"))
    asyncio.run(laggard.repository.catch_up())
    assert laggard.active.configuration == daemon.active.configuration


def test_concurrent_compactions_leave_one_snapshot() -> None:
    store = memory_store.MemoryStore()
    daemon = make_daemon(store, "s")
    append(daemon, make_request("c"))
    other = make_daemon(store, "o")
    asyncio.run(other.repository.catch_up())

    async def race() -> list[bool]:
        return await asyncio.gather(
            daemon.repository.compact(), other.repository.compact()
        )

    assert asyncio.run(race()).count(True) == 1
    assert sum("snapshot" in key for key in store.entries) == 1


def test_delayed_manifest_write_reverts_nothing() -> None:
    store = memory_store.MemoryStore(fail_first("put", CallOutcome.GOOD))
    daemon = make_daemon(store, "s")
    append(daemon, make_request("c"))
    paused = make_daemon(store, "p")
    asyncio.run(paused.repository.catch_up())
    left = [CallOutcome.GOOD, CallOutcome.LATE]
    store.decide = lambda method, key: (
        left.pop(0) if method == "put" and left else CallOutcome.GOOD
    )
    assert asyncio.run(paused.repository.compact()) is False
    append(daemon, make_request("c2", name="other"))
    assert asyncio.run(daemon.repository.compact()) is True
    store.apply_late_writes()
    newcomer = make_daemon(store, "n")
    asyncio.run(newcomer.repository.catch_up())
    assert newcomer.active.revision == 2
    assert sum("snapshot" in key for key in store.entries) == 1


def test_unreadable_snapshot_raises_platform_error() -> None:
    """A malformed part must not end the services of the daemon.

    They retry after a PlatformError; any other error would end them.
    """
    store = memory_store.MemoryStore()
    daemon = make_daemon(store, "s")
    append(daemon, make_request("c"))
    asyncio.run(daemon.repository.compact())
    part = next(key for key in store.entries if "snapshot" in key)
    version = store.entries[part].version
    asyncio.run(store.put(part, "{", version=version))
    newcomer = make_daemon(store, "n")
    with pytest.raises(errors.PlatformError):
        asyncio.run(newcomer.repository.catch_up())
    assert newcomer.active.revision == 0


def test_log_keys_repeat_after_one_lap() -> None:
    assert log.log_key(log.RING_SIZE + 1) == log.log_key(1)


def test_lost_changes_are_written_again_before_the_next() -> None:
    """Guards against a gap in the log, which no new daemon gets past."""
    store = memory_store.MemoryStore()
    daemon = make_daemon(store)
    append(daemon, make_request("c1"))
    copied = dict(store.entries)
    append(daemon, make_request("c2", name="s2"))
    store.restore(copied)
    append(daemon, make_request("c3", name="s3"))
    assert read_log(store) == {1: "c1", 2: "c2", 3: "c3"}


def test_a_lost_change_of_a_peer_is_written_before_the_next() -> None:
    """Guards against a gap if the change arrives after the comparison."""
    store = memory_store.MemoryStore()
    first, second = make_daemon(store, "x"), make_daemon(store, "y")
    append(first, make_request("c1"))
    store.restore({})
    asyncio.run(second.repository.rewrite_lost())
    second.active.apply(first.active.recent_changes)
    append(second, make_request("c2", name="s2"))
    assert read_log(store) == {1: "c1", 2: "c2"}


def test_another_change_at_an_applied_revision_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a revision that stands for two changes unnoticed."""
    warned: list[tuple[str, dict]] = []
    monkeypatch.setattr(
        active_configuration.event_log,
        "warn",
        lambda event, **fields: warned.append((event, fields)),
    )
    store = memory_store.MemoryStore()
    first, second = make_daemon(store, "x"), make_daemon(store, "y")
    append(first, make_request("c1"))
    asyncio.run(second.repository.catch_up())
    copied = dict(store.entries)
    append(first, make_request("c2", name="s2"))
    store.restore(copied)
    append(second, make_request("other", name="s9"))
    before = first.active.configuration
    assert advance(first.begin(make_request("c3", name="s3"))) is None
    assert first.active.configuration is before
    assert read_log(store) == {1: "c1", 2: "other"}
    (_, fields), *_ = warned
    assert fields == {"revision": 2, "applied": "c2", "received": "other"}
