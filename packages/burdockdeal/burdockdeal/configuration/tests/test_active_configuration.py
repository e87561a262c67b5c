"""Tests of the active configuration and of snapshots."""

import asyncio

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import msgspec
import pytest

from burdockdeal.configuration import active_configuration
from burdockdeal.configuration import decisions
from burdockdeal.configuration import messages
from burdockdeal.configuration import snapshots
from burdockdeal.configuration import state


def make_change(
    revision: int, *, name: str = "a", kind: str = "Service", spec: str = "{}"
) -> messages.Change:
    return messages.Change(
        revision=revision,
        change_id=f"c{revision}",
        operator="ada",
        at_ms=revision,
        action=messages.Action.PUT,
        kind=kind,
        name=name,
        previous_generation=0,
        spec=msgspec.Raw(spec.encode()),
    )


LOG = [make_change(n, name=f"s{n % 3}") for n in range(1, 9)]


@settings(derandomize=True)
@given(strategies.lists(strategies.lists(strategies.sampled_from(LOG))))
def test_changes_in_any_order_apply_a_prefix_of_the_log(batches: list) -> None:
    active = active_configuration.ActiveConfiguration()
    before = 0
    for batch in batches:
        active.apply(batch)
        assert active.revision >= before
        before = active.revision
    expected = decisions.apply_changes(state.Configuration(), LOG[:before])
    assert active.configuration == expected
    assert list(active.recent_changes) == LOG[:before]


def test_unreadable_change_is_not_applied() -> None:
    active = active_configuration.ActiveConfiguration()
    active.apply([make_change(1), make_change(2, kind="Novelty")])
    assert active.revision == 0
    active.apply([make_change(1)])
    assert active.revision == 1


def test_older_snapshot_is_ignored() -> None:
    active = active_configuration.ActiveConfiguration()
    active.apply(LOG)
    assert not active.apply_snapshot(state.Configuration(3))
    assert active.revision == 8


def test_retained_changes_are_bounded() -> None:
    active = active_configuration.ActiveConfiguration()
    large_spec = '{"queue_limit": 7' + " " * 60_000 + "}"
    active.apply([make_change(n, spec=large_spec) for n in range(1, 200)])
    assert len(active.recent_changes) < 70
    assert active.list_changes(0).needs_snapshot
    page = active.list_changes(195)
    assert [change.revision for change in page.changes] == [196, 197, 198, 199]
    assert len(active.list_changes(150).changes) == 4
    assert active.list_changes(199).changes == ()
    assert not active.list_changes(500).needs_snapshot


@pytest.mark.parametrize("part_bytes", [1, 500, 10_000])
def test_snapshot_survives_split_and_join(part_bytes: int) -> None:
    whole = decisions.apply_changes(state.Configuration(), LOG)
    parts = snapshots.split(whole, part_bytes=part_bytes)
    assert snapshots.join(list(reversed(parts))) == whole
    if len(parts) > 1:
        with pytest.raises(snapshots.IncompleteError):
            snapshots.join(parts[1:])


def test_empty_snapshot_has_one_part() -> None:
    empty = state.Configuration(5)
    assert snapshots.join(snapshots.split(empty)) == empty


def test_obsolete_parts() -> None:
    manifest = messages.Manifest(7, snapshots.name_folder(7, "x"), 1)
    cases = [(6, "y", True), (7, "y", True), (7, "x", False), (8, "y", False)]
    for revision, snapshot_id, obsolete in cases:
        folder = snapshots.name_folder(revision, snapshot_id)
        key = snapshots.part_key(folder, 0)
        assert snapshots.is_obsolete(key, manifest) is obsolete


async def test_wait_ends_with_revision_or_timeout() -> None:
    active = active_configuration.ActiveConfiguration()
    waiting = asyncio.create_task(active.wait_for_revision(0, 60.0))
    await asyncio.sleep(0)
    active.apply(LOG[:1])
    await asyncio.wait_for(waiting, 5)
    await active.wait_for_revision(0, 60.0)
    await active.wait_for_revision(1, 0.01)
