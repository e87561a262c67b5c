"""A model of how changes are written to the log and followed.

It covers two writers with one change each, other operators, writes that
take effect late or never, lost answers, stale reads, a ring that is
overwritten, snapshots and a follower that may restart. The steps call the
production functions of the daemon; a test may replace one by a faulty
variant. A model checker searches all states within the bounds.
"""

from collections import abc
import dataclasses

import msgspec

from burdockdeal.configuration import log
from burdockdeal.configuration import messages
from burdockdeal.configuration import snapshots
from burdockdeal.configuration import specification_state

RING_SIZE = specification_state.RING_SIZE
WRITERS = specification_state.WRITERS
Phase = specification_state.Phase
Slot = specification_state.Slot
InFlightWrite = specification_state.InFlightWrite
Writer = specification_state.Writer
State = specification_state.State

Steps = abc.Iterator[tuple[str, State]]


@dataclasses.dataclass(frozen=True, slots=True)
class Decisions:
    """The decisions that the steps call, and faults that a test may inject.

    :param last_revision: the highest revision, a bound of the search.
    :param has_follower: whether a follower takes part in the search.
    :param skips_in_doubt: a fault: a writer whose slot is unwritten after a
        write with an unknown outcome starts over at the next revision.
    :param trusts_conflict: a fault: a conflict is taken for the change of
        another writer without reading the slot.
    :param deletes_covered: a fault: a snapshot deletes the slots that it
        covers.
    :param refuses_in_doubt: a fault: a writer reports "refused" while a
        write of it may still take effect.
    """

    classify_slot: abc.Callable[..., log.WriteOutcome] = log.classify_slot
    select_contiguous: abc.Callable[..., tuple[messages.Change, ...]] = (
        log.select_contiguous
    )
    can_overwrite: abc.Callable[..., bool] = log.can_overwrite
    can_replace: abc.Callable[..., bool] = snapshots.can_replace
    last_revision: int = 3
    has_follower: bool = False
    skips_in_doubt: bool = False
    trusts_conflict: bool = False
    deletes_covered: bool = False
    refuses_in_doubt: bool = False


def make_change(revision: int, change_id: str) -> messages.Change:
    """Make a change as it is stored in the log."""
    return messages.Change(
        revision=revision,
        change_id=change_id,
        operator="",
        at_ms=0,
        action=messages.Action.DELETE,
        kind="Service",
        name="",
        previous_generation=0,
        spec=msgspec.Raw(b"null"),
    )


def _stored_change(slot: Slot) -> messages.Change | None:
    if not slot.revision:
        return None
    return make_change(slot.revision, slot.change_id)


def _with_writer(state: State, index: int, writer: Writer) -> State:
    writers = list(state.writers)
    writers[index] = writer
    return dataclasses.replace(state, writers=tuple(writers))


def _possible_reads(state: State, revision: int) -> abc.Iterator[Slot]:
    """Yield what a read of a slot may return, including stale content."""
    slot_number = log.slot_index(revision, RING_SIZE)
    current = state.slots[slot_number]
    yield current
    for earlier in range(current.revision - RING_SIZE, -RING_SIZE, -RING_SIZE):
        if earlier > 0:
            # A version that was overwritten: a compare-and-swap on it fails.
            yield Slot(earlier, state.history[earlier - 1], -earlier)
        else:
            yield Slot()
            return


def _commit(state: State, revision: int, change_id: str) -> State:
    """Write a change to the slot of its revision.

    Writes in flight that expect the slot's former version can no longer
    take effect and are dropped.
    """
    version = state.version + 1
    slots = list(state.slots)
    slot_number = log.slot_index(revision, RING_SIZE)
    slots[slot_number] = Slot(revision, change_id, version)
    in_flight = frozenset(
        write
        for write in state.in_flight
        if log.slot_index(write.revision, RING_SIZE) != slot_number
        or not write.version
    )
    in_order = revision == len(state.history) + 1
    return dataclasses.replace(
        state,
        slots=tuple(slots),
        version=version,
        in_flight=in_flight,
        history=(*state.history, change_id) if in_order else state.history,
        is_out_of_order=state.is_out_of_order or not in_order,
    )


def _deliver(state: State, write: InFlightWrite) -> tuple[State, bool]:
    """Let a write in flight reach the store.

    :returns: the state, and whether the compare-and-swap succeeded.
    """
    state = dataclasses.replace(state, in_flight=state.in_flight - {write})
    slot = state.slots[log.slot_index(write.revision, RING_SIZE)]
    if slot.version != write.version:
        return state, False
    return _commit(state, write.revision, write.writer), True


def _propose(decisions: Decisions, state: State, index: int) -> Steps:
    writer = state.writers[index]
    for known in range(writer.known, len(state.history) + 1):
        if known < decisions.last_revision and decisions.can_overwrite(
            known + 1, state.manifest, RING_SIZE
        ):
            proposed = dataclasses.replace(
                writer, phase=Phase.READ, known=known, revision=known + 1
            )
            yield f"propose {known + 1}", _with_writer(state, index, proposed)


def _read(decisions: Decisions, state: State, index: int) -> Steps:
    writer = state.writers[index]
    restarted = Writer(known=writer.known)
    at_next_revision = Writer(known=writer.revision)
    uncertain = Writer(phase=Phase.UNCERTAIN)
    for slot in _possible_reads(state, writer.revision):
        resend = dataclasses.replace(
            writer, phase=Phase.SEND, version=slot.version
        )
        if_unwritten = (
            at_next_revision
            if decisions.skips_in_doubt and writer.is_in_doubt
            else resend
        )
        outcome = decisions.classify_slot(
            writer.revision, WRITERS[index], _stored_change(slot)
        )
        table = {
            log.WriteOutcome.UNWRITTEN: if_unwritten,
            log.WriteOutcome.COMMITTED: Writer(phase=Phase.ACCEPTED),
            log.WriteOutcome.CONFLICTING: at_next_revision,
            log.WriteOutcome.OVERWRITTEN: uncertain
            if writer.is_in_doubt
            else restarted,
        }
        yield f"read {outcome}", _with_writer(state, index, table[outcome])


def _send(decisions: Decisions, state: State, index: int) -> Steps:
    writer = state.writers[index]
    name = WRITERS[index]
    write = InFlightWrite(name, writer.revision, writer.version)
    slot = state.slots[log.slot_index(writer.revision, RING_SIZE)]
    # The store never reuses a version, so a write that expects an
    # overwritten one can't take effect.
    may_take_effect = write.version == slot.version or (
        decisions.deletes_covered and not write.version
    )
    in_flight = (
        state.in_flight | {write} if may_take_effect else state.in_flight
    )
    sent = dataclasses.replace(state, in_flight=in_flight)
    waiting = dataclasses.replace(
        writer, phase=Phase.READ, version=0, is_in_doubt=True
    )
    own_writes = [one for one in sent.in_flight if one.writer == name]
    if len(own_writes) <= specification_state.MAX_IN_FLIGHT_PER_WRITER:
        yield "answer lost", _with_writer(sent, index, waiting)
    delivered, swapped = _deliver(sent, write)
    if swapped:
        accepted = Writer(phase=Phase.ACCEPTED)
        yield "answer 200", _with_writer(delivered, index, accepted)
        return
    if decisions.trusts_conflict:
        waiting = Writer(known=writer.revision)
    yield "answer 409", _with_writer(delivered, index, waiting)


def _time_out(decisions: Decisions, state: State, index: int) -> Steps:
    writer = state.writers[index]
    phase = Phase.UNCERTAIN if writer.is_in_doubt else Phase.REFUSED
    if decisions.refuses_in_doubt:
        phase = Phase.REFUSED
    ended = Writer(phase=phase)
    yield "times out", _with_writer(state, index, ended)


_WRITER_STEPS = {
    Phase.PROPOSE: _propose,
    Phase.READ: _read,
    Phase.SEND: _send,
}


def _commit_other(decisions: Decisions, state: State) -> Steps:
    """Let another operator's change take effect."""
    revision = len(state.history) + 1
    if revision <= decisions.last_revision and decisions.can_overwrite(
        revision, state.manifest, RING_SIZE
    ):
        yield "other change", _commit(state, revision, f"other-{revision}")


def _compact(decisions: Decisions, state: State) -> Steps:
    """Let a relay, which may lag behind, replace the snapshot."""
    current = messages.Manifest(state.manifest, "", 1)
    for revision in range(1, len(state.history) + 1):
        if not decisions.can_replace(current, revision):
            continue
        slots = state.slots
        if decisions.deletes_covered:
            slots = tuple(
                Slot() if slot.revision <= revision else slot for slot in slots
            )
        yield (
            f"snapshot {revision}",
            dataclasses.replace(state, manifest=revision, slots=slots),
        )


def _follow(decisions: Decisions, state: State) -> Steps:
    """Let the follower read the next slot, load the snapshot or restart."""
    revision = len(state.applied)
    for slot in _possible_reads(state, revision + 1):
        change = _stored_change(slot)
        applicable = decisions.select_contiguous(
            [change] if change else [], revision
        )
        if applicable:
            applied = state.applied + tuple(c.change_id for c in applicable)
            yield (
                f"take {slot.revision}",
                dataclasses.replace(state, applied=applied),
            )
    if state.manifest > revision:
        applied = state.history[: state.manifest]
        yield "load snapshot", dataclasses.replace(state, applied=applied)
    if state.applied:
        yield "restart", dataclasses.replace(state, applied=())


def make_transitions(
    decisions: Decisions,
) -> abc.Callable[[tuple[State]], list[tuple[str, tuple[State]]]]:
    """Make the function that lists the transitions from a state."""

    def steps(state: State) -> Steps:
        for index, writer in enumerate(state.writers):
            if writer.phase in specification_state.FINAL_PHASES:
                continue
            name = WRITERS[index]
            for advance in (_WRITER_STEPS[writer.phase], _time_out):
                for label, following in advance(decisions, state, index):
                    yield f"{name}: {label}", following
        for write in sorted(state.in_flight, key=str):
            yield (
                f"{write.writer}: takes effect late",
                _deliver(state, write)[0],
            )
        yield from _commit_other(decisions, state)
        yield from _compact(decisions, state)
        if decisions.has_follower:
            yield from _follow(decisions, state)

    def transitions(
        vector: tuple[State],
    ) -> list[tuple[str, tuple[State]]]:
        return [(label, (after,)) for label, after in steps(vector[0])]

    return transitions


def writes_are_in_order(state: State) -> bool:
    """Return whether every write took effect at the next revision."""
    return not state.is_out_of_order


def applied_at_most_once(state: State) -> bool:
    """Return whether no change took effect twice."""
    return len(set(state.history)) == len(state.history)


def accepted_is_never_lost(state: State) -> bool:
    """Return whether every accepted change is in the history."""
    return all(
        writer.phase is not Phase.ACCEPTED or WRITERS[index] in state.history
        for index, writer in enumerate(state.writers)
    )


def refused_never_applied(state: State) -> bool:
    """Return whether no refused change is in the history."""
    return all(
        writer.phase is not Phase.REFUSED
        or WRITERS[index] not in state.history
        for index, writer in enumerate(state.writers)
    )


def follower_never_reverts(state: State) -> bool:
    """Return whether the follower has applied a prefix of the history."""
    return state.applied == state.history[: len(state.applied)]


def no_change_is_dropped(state: State) -> bool:
    """Return whether the snapshot and the ring hold every change."""
    return all(
        state.slots[log.slot_index(revision, RING_SIZE)].revision == revision
        for revision in range(state.manifest + 1, len(state.history) + 1)
    )


INVARIANTS = (
    writes_are_in_order,
    applied_at_most_once,
    accepted_is_never_lost,
    refused_never_applied,
)
INVARIANTS += (follower_never_reverts, no_change_is_dropped)


def make_initial_state(decisions: Decisions) -> State:
    """Make the initial state of the search."""
    if decisions.has_follower:
        return State()
    return State(writers=(Writer(),) * len(WRITERS))
