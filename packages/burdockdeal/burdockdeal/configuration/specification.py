"""A small specification of how a change gets into the log and is followed.

Two writers with one change each, other operators, writes that land late
or never, lost answers, stale reads, a ring that is written over, snapshots
and a follower that may restart. The steps call the functions that the
daemon runs; a test may put a broken one in their place.
"""

from collections import abc
import dataclasses
import enum

import msgspec

from burdockdeal.configuration import log
from burdockdeal.configuration import messages
from burdockdeal.configuration import snapshots

#: Slots of the ring.
RING = 2
WRITERS = ("a", "b")
#: Writes of one writer that may be on their way at once.
FLIGHTS_PER_WRITER = 2


class Phase(enum.StrEnum):
    """Where a writer's request is."""

    PROPOSE = "PROPOSE"
    READ = "READ"
    SEND = "SEND"
    ACCEPTED = "ACCEPTED"
    REFUSED = "REFUSED"
    UNCERTAIN = "UNCERTAIN"


ENDED = frozenset({Phase.ACCEPTED, Phase.REFUSED, Phase.UNCERTAIN})


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """A slot of the store: a revision and its change, and the version."""

    revision: int = 0
    change_id: str = ""
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Flight:
    """A write on its way, which may land at any time or never."""

    writer: str
    revision: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Writer:
    """A writer's request.

    :param known: the revision that it caught up with.
    :param revision: the revision that its change is meant for.
    :param version: what it read from the slot.
    :param open: a write of it may still land.
    """

    phase: Phase = Phase.PROPOSE
    known: int = 0
    revision: int = 0
    version: int = 0
    open: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """The store, the writers and a follower.

    :param history: every change that landed, in the order of revisions.
    :param misplaced: a write landed out of order.
    :param applied: the changes that the follower has put in force.
    """

    slots: tuple[Slot, ...] = (Slot(),) * RING
    version: int = 0
    history: tuple[str, ...] = ()
    misplaced: bool = False
    manifest: int = 0
    writers: tuple[Writer, ...] = ()
    flights: frozenset[Flight] = frozenset()
    applied: tuple[str, ...] = ()


Steps = abc.Iterator[tuple[str, State]]


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The decisions that the steps call.

    :param last_revision: revisions at most, a bound of the search.
    :param follows: whether a follower takes part in the search.
    :param gives_up_open: whether a writer whose slot is open after a
        write of unknown fate begins anew at the next revision.
    :param trusts_conflict: whether a conflict is taken for another's
        change without a look at the slot.
    :param deletes: whether a snapshot deletes the slots that it covers.
    :param refuses_open: whether a writer says "refused" while a write of
        it may still land.
    """

    classify_slot: abc.Callable[..., log.WriteOutcome] = log.classify_slot
    select_contiguous: abc.Callable[..., tuple[messages.Change, ...]] = (
        log.select_contiguous
    )
    can_overwrite: abc.Callable[..., bool] = log.can_overwrite
    can_replace: abc.Callable[..., bool] = snapshots.can_replace
    last_revision: int = 3
    follows: bool = False
    gives_up_open: bool = False
    trusts_conflict: bool = False
    deletes: bool = False
    refuses_open: bool = False


def make_change(revision: int, change_id: str) -> messages.Change:
    """Make the message of a change."""
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


def _stands(slot: Slot) -> messages.Change | None:
    if not slot.revision:
        return None
    return make_change(slot.revision, slot.change_id)


def _put_writer(state: State, index: int, writer: Writer) -> State:
    writers = list(state.writers)
    writers[index] = writer
    return dataclasses.replace(state, writers=tuple(writers))


def _past(state: State, revision: int) -> abc.Iterator[Slot]:
    """List what a read of a slot may return: it may be stale."""
    place = log.slot_index(revision, RING)
    now = state.slots[place]
    yield now
    for earlier in range(now.revision - RING, -RING, -RING):
        if earlier > 0:
            # A version that no longer stands: a swap on it must fail.
            yield Slot(earlier, state.history[earlier - 1], -earlier)
        else:
            yield Slot()
            return


def _store(state: State, revision: int, change_id: str) -> State:
    """Write a slot."""
    version = state.version + 1
    slots = list(state.slots)
    place = log.slot_index(revision, RING)
    slots[place] = Slot(revision, change_id, version)
    flights = frozenset(
        flight
        for flight in state.flights
        if log.slot_index(flight.revision, RING) != place or not flight.version
    )
    in_order = revision == len(state.history) + 1
    return dataclasses.replace(
        state,
        slots=tuple(slots),
        version=version,
        flights=flights,
        history=(*state.history, change_id) if in_order else state.history,
        misplaced=state.misplaced or not in_order,
    )


def _land(state: State, flight: Flight) -> tuple[State, bool]:
    """Let a write reach the store.

    :returns: the state, and whether the swap was made.
    """
    state = dataclasses.replace(state, flights=state.flights - {flight})
    slot = state.slots[log.slot_index(flight.revision, RING)]
    if slot.version != flight.version:
        return state, False
    return _store(state, flight.revision, flight.writer), True


def _propose(rules: Rules, state: State, index: int) -> Steps:
    writer = state.writers[index]
    for known in range(writer.known, len(state.history) + 1):
        if known < rules.last_revision and rules.can_overwrite(
            known + 1, state.manifest, RING
        ):
            proposed = dataclasses.replace(
                writer, phase=Phase.READ, known=known, revision=known + 1
            )
            yield f"propose {known + 1}", _put_writer(state, index, proposed)


def _read(rules: Rules, state: State, index: int) -> Steps:
    writer = state.writers[index]
    anew = Writer(known=writer.known)
    further = Writer(known=writer.revision)
    ended = Writer(phase=Phase.UNCERTAIN)
    for slot in _past(state, writer.revision):
        resend = dataclasses.replace(
            writer, phase=Phase.SEND, version=slot.version
        )
        given_up = further if rules.gives_up_open and writer.open else resend
        fate = rules.classify_slot(
            writer.revision, WRITERS[index], _stands(slot)
        )
        table = {
            log.WriteOutcome.UNWRITTEN: given_up,
            log.WriteOutcome.COMMITTED: Writer(phase=Phase.ACCEPTED),
            log.WriteOutcome.CONFLICTING: further,
            log.WriteOutcome.OVERWRITTEN: ended if writer.open else anew,
        }
        yield f"read {fate}", _put_writer(state, index, table[fate])


def _send(rules: Rules, state: State, index: int) -> Steps:
    writer = state.writers[index]
    name = WRITERS[index]
    flight = Flight(name, writer.revision, writer.version)
    slot = state.slots[log.slot_index(writer.revision, RING)]
    # A version that was written over never stands again.
    may_land = flight.version == slot.version or (
        rules.deletes and not flight.version
    )
    kept = state.flights | {flight} if may_land else state.flights
    sent = dataclasses.replace(state, flights=kept)
    waiting = dataclasses.replace(
        writer, phase=Phase.READ, version=0, open=True
    )
    in_flight = [one for one in sent.flights if one.writer == name]
    if len(in_flight) <= FLIGHTS_PER_WRITER:
        yield "answer lost", _put_writer(sent, index, waiting)
    landed, swapped = _land(sent, flight)
    if swapped:
        accepted = Writer(phase=Phase.ACCEPTED)
        yield "answer 200", _put_writer(landed, index, accepted)
        return
    if rules.trusts_conflict:
        waiting = Writer(known=writer.revision)
    yield "answer 409", _put_writer(landed, index, waiting)


def _give_up(rules: Rules, state: State, index: int) -> Steps:
    writer = state.writers[index]
    phase = Phase.UNCERTAIN if writer.open else Phase.REFUSED
    if rules.refuses_open:
        phase = Phase.REFUSED
    ended = Writer(phase=phase)
    yield "time is over", _put_writer(state, index, ended)


_WRITER_STEPS = {
    Phase.PROPOSE: _propose,
    Phase.READ: _read,
    Phase.SEND: _send,
}


def _write_others(rules: Rules, state: State) -> Steps:
    """Let another operator's change land."""
    revision = len(state.history) + 1
    if revision <= rules.last_revision and rules.can_overwrite(
        revision, state.manifest, RING
    ):
        yield "other change", _store(state, revision, f"other-{revision}")


def _compact(rules: Rules, state: State) -> Steps:
    """Let a relay, which may lag, swap its snapshot in."""
    stands = messages.Manifest(state.manifest, "", 1)
    for revision in range(1, len(state.history) + 1):
        if not rules.can_replace(stands, revision):
            continue
        slots = state.slots
        if rules.deletes:
            slots = tuple(
                Slot() if slot.revision <= revision else slot for slot in slots
            )
        yield (
            f"snapshot {revision}",
            dataclasses.replace(state, manifest=revision, slots=slots),
        )


def _follow(rules: Rules, state: State) -> Steps:
    """Let the follower read the next slot, the snapshot, or restart."""
    revision = len(state.applied)
    for slot in _past(state, revision + 1):
        change = _stands(slot)
        taken = rules.select_contiguous([change] if change else [], revision)
        if taken:
            applied = state.applied + tuple(c.change_id for c in taken)
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
    rules: Rules,
) -> abc.Callable[[tuple[State]], list[tuple[str, tuple[State]]]]:
    """Make the function that lists the steps out of a state."""

    def steps(state: State) -> Steps:
        for index, writer in enumerate(state.writers):
            if writer.phase in ENDED:
                continue
            name = WRITERS[index]
            for advance in (_WRITER_STEPS[writer.phase], _give_up):
                for label, following in advance(rules, state, index):
                    yield f"{name}: {label}", following
        for flight in sorted(state.flights, key=str):
            yield f"{flight.writer}: lands late", _land(state, flight)[0]
        yield from _write_others(rules, state)
        yield from _compact(rules, state)
        if rules.follows:
            yield from _follow(rules, state)

    def transitions(
        vector: tuple[State],
    ) -> list[tuple[str, tuple[State]]]:
        return [(label, (after,)) for label, after in steps(vector[0])]

    return transitions


def in_order(state: State) -> bool:
    """Hold that every write landed at the next revision."""
    return not state.misplaced


def at_most_once(state: State) -> bool:
    """Hold that no change landed twice."""
    return len(set(state.history)) == len(state.history)


def never_lost(state: State) -> bool:
    """Hold that what was accepted stands in the history."""
    return all(
        writer.phase is not Phase.ACCEPTED or WRITERS[index] in state.history
        for index, writer in enumerate(state.writers)
    )


def refused_stays_out(state: State) -> bool:
    """Hold that what was refused never lands."""
    return all(
        writer.phase is not Phase.REFUSED
        or WRITERS[index] not in state.history
        for index, writer in enumerate(state.writers)
    )


def never_reverts(state: State) -> bool:
    """Hold that the follower applies the history's beginning, in order."""
    return state.applied == state.history[: len(state.applied)]


def all_is_kept(state: State) -> bool:
    """Hold that the snapshot and the ring hold every change."""
    return all(
        state.slots[log.slot_index(revision, RING)].revision == revision
        for revision in range(state.manifest + 1, len(state.history) + 1)
    )


INVARIANTS = (in_order, at_most_once, never_lost, refused_stays_out)
INVARIANTS += (never_reverts, all_is_kept)


def begin(rules: Rules) -> State:
    """Make the state from which the search begins."""
    if rules.follows:
        return State()
    return State(writers=(Writer(),) * len(WRITERS))
