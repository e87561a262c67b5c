"""A model of a change log that a restore of the store cuts short.

Two daemons write changes, follow the log, take changes from each other and
learn of the store's new era at any time. The store is restored once, to any
shorter log. The steps call the production functions; a test may replace one
by a faulty variant.
"""

from collections import abc
import dataclasses

from burdockdeal.configuration import log
from burdockdeal.configuration import messages
from burdockdeal.configuration import specification

#: The revisions of the search, and the number of daemons.
LAST_REVISION = 3
DAEMONS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Decisions:
    """The decisions that the steps call, and faults that a test may inject.

    :param rewrites: whether lost changes are written again.
    :param checks_previous: whether a writer reads the slot before its own.
    """

    find_replaced: abc.Callable[..., tuple] = log.find_replaced
    select_contiguous: abc.Callable[..., tuple[messages.Change, ...]] = (
        log.select_contiguous
    )
    rewrites: bool = True
    checks_previous: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Daemon:
    """A daemon: what it applies, and whether it knows of the restore.

    :param has_compared: whether it has compared its changes with the log
        since it knows of the restore.
    :param has_reported: whether it has reported a replaced change.
    """

    applied: tuple[str, ...] = ()
    knows_era: bool = False
    has_compared: bool = False
    has_reported: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """The log, with an empty text for an unwritten slot, and the daemons.

    :param is_extended_wrongly: whether a write in a known era came after a
        slot that does not hold the last change that its writer applied.
    :param went_back: whether a daemon applies another change than before.
    """

    slots: tuple[str, ...] = ("",) * LAST_REVISION
    is_restored: bool = False
    writes: int = 0
    daemons: tuple[Daemon, ...] = (Daemon(),) * DAEMONS
    is_extended_wrongly: bool = False
    went_back: bool = False


Steps = abc.Iterator[tuple[str, State]]


def _make_changes(ids: tuple[str, ...]) -> tuple[messages.Change, ...]:
    return tuple(
        specification.make_change(revision, change_id)
        for revision, change_id in enumerate(ids, 1)
        if change_id
    )


def _with_daemon(state: State, index: int, **fields: object) -> State:
    daemons = list(state.daemons)
    daemons[index] = dataclasses.replace(daemons[index], **fields)
    return dataclasses.replace(state, daemons=tuple(daemons))


def _receive(
    decisions: Decisions, state: State, index: int, ids: tuple[str, ...]
) -> State:
    """Apply received changes, and report those that are replaced."""
    daemon = state.daemons[index]
    received = _make_changes(ids)
    replaced = decisions.find_replaced(_make_changes(daemon.applied), received)
    following = decisions.select_contiguous(received, len(daemon.applied))
    applied = list(daemon.applied)
    for change in following:
        applied[change.revision - 1 :] = [change.change_id]
    state = _with_daemon(
        state,
        index,
        applied=tuple(applied),
        has_reported=daemon.has_reported or bool(replaced),
    )
    went_back = tuple(applied[: len(daemon.applied)]) != daemon.applied
    return dataclasses.replace(state, went_back=state.went_back or went_back)


def _compare(
    decisions: Decisions, state: State, index: int
) -> tuple[State, bool]:
    """Compare a daemon's changes with the log, and fill the log's gaps.

    :returns: the state, and whether the daemon may write.
    """
    daemon = state.daemons[index]
    state = _with_daemon(state, index, has_compared=True)
    if decisions.find_replaced(
        _make_changes(daemon.applied), _make_changes(state.slots)
    ):
        return _with_daemon(
            state, index, has_compared=False, has_reported=True
        ), False
    if not decisions.rewrites:
        return state, True
    slots = list(state.slots)
    for change in _make_changes(daemon.applied):
        slots[change.revision - 1] = change.change_id
    return dataclasses.replace(state, slots=tuple(slots)), True


def _write(decisions: Decisions, state: State, index: int) -> Steps:
    daemon = state.daemons[index]
    revision = len(daemon.applied) + 1
    if revision > LAST_REVISION:
        return
    if daemon.knows_era:
        previous = state.slots[revision - 2 : revision - 1]
        is_suspect = decisions.checks_previous and (
            previous != daemon.applied[-1:]
        )
        if is_suspect or not daemon.has_compared:
            state, may_write = _compare(decisions, state, index)
            if not may_write:
                yield "is refused", state
                return
    slot = state.slots[revision - 1]
    stored = specification.make_change(revision, slot) if slot else None
    change_id = f"{index}.{state.writes}"
    outcome = log.classify_slot(revision, change_id, stored)
    if outcome is not log.WriteOutcome.UNWRITTEN:
        return
    slots = list(state.slots)
    slots[revision - 1] = change_id
    is_wrong = daemon.knows_era and (
        state.slots[revision - 2 : revision - 1] != daemon.applied[-1:]
    )
    written = dataclasses.replace(
        state,
        slots=tuple(slots),
        writes=state.writes + 1,
        is_extended_wrongly=state.is_extended_wrongly or is_wrong,
    )
    # A write that was sent in the old era is answered in the new one.
    yield (
        f"writes {revision}",
        _with_daemon(
            written,
            index,
            applied=(*daemon.applied, change_id),
            knows_era=state.is_restored,
        ),
    )


def _list_daemon_steps(
    decisions: Decisions, state: State, index: int
) -> Steps:
    daemon = state.daemons[index]
    yield from _write(decisions, state, index)
    if state.is_restored and not daemon.knows_era:
        yield "sees the era", _with_daemon(state, index, knows_era=True)
    if daemon.knows_era and not daemon.has_compared:
        yield "compares", _compare(decisions, state, index)[0]
    yield "follows", _receive(decisions, state, index, state.slots)
    for other in state.daemons:
        if other.applied != daemon.applied:
            yield "pulls", _receive(decisions, state, index, other.applied)


def make_transitions(
    decisions: Decisions,
) -> abc.Callable[[tuple[State]], list[tuple[str, tuple[State]]]]:
    """Make the function that lists the transitions from a state."""

    def steps(state: State) -> Steps:
        if not state.is_restored:
            for length in range(LAST_REVISION):
                kept = state.slots[:length]
                slots = (*kept, *("",) * (LAST_REVISION - length))
                yield (
                    f"restore {length}",
                    dataclasses.replace(state, slots=slots, is_restored=True),
                )
        for index in range(DAEMONS):
            for label, after in _list_daemon_steps(decisions, state, index):
                yield f"{index} {label}", after

    def transitions(vector: tuple[State]) -> list[tuple[str, tuple[State]]]:
        return [
            (label, (after,))
            for label, after in steps(vector[0])
            if after != vector[0]
        ]

    return transitions


def active_never_goes_back(state: State) -> bool:
    """Return whether every daemon kept what it had applied."""
    return not state.went_back


def writes_extend_applied_log(state: State) -> bool:
    """Return whether no write in a known era follows another change."""
    return not state.is_extended_wrongly


def replaced_is_reported(state: State) -> bool:
    """Return whether whoever has compared applies the log, or has reported.

    A daemon that took a lost change from another one after it had compared
    is covered by that one's report.
    """
    return all(
        daemon.has_reported
        or not daemon.has_compared
        or not any(
            slot and slot != change_id
            for slot, change_id in zip(
                state.slots, daemon.applied, strict=False
            )
        )
        or any(
            not other.has_compared or other.has_reported
            for other in state.daemons
        )
        for daemon in state.daemons
    )


INVARIANTS = (
    active_never_goes_back,
    writes_extend_applied_log,
    replaced_is_reported,
)
