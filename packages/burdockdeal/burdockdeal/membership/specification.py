"""Model of the membership protocol: one daemon and its watchers.

A watcher is another daemon that tracks the health of the first one. The
network keeps every record that was ever sent and may deliver each of them at
any time, repeatedly, late or never. The watchers may suspect the daemon and
declare it dead at any time, which models pauses, network partitions and lost
probes. The daemon may restart with a clock that has gone backwards. The
model runs the production functions of `decisions`; tests replace each of
them with a broken variant.
"""

from collections import abc
import dataclasses
import functools

from burdockdeal.membership import decisions
from burdockdeal.membership import messages
from burdockdeal.settings import model

Health = messages.Health


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """The fields of a member's record that determine its precedence."""

    incarnation: int
    serial: int
    health: Health


_FIRST = Record(2, 0, Health.ALIVE)


@functools.cache
def to_member(record: Record) -> messages.Member:
    """Make a member with a record's fields."""
    return messages.Member(
        daemon="d1",
        failure_domain="f1",
        region="r1",
        peer=model.Address("127.0.0.1", 1),
        incarnation=record.incarnation,
        serial=record.serial,
        health=record.health,
    )


@functools.cache
def to_claim(record: Record) -> messages.Claim:
    """Make a claim with a record's fields."""
    return decisions.make_claim(to_member(record))


def to_record(member: messages.Member) -> Record:
    """Extract the fields of a member that determine its precedence."""
    return Record(member.incarnation, member.serial, member.health)


#: Incarnations that a restart may take from the wall clock: one below and
#: one above the first.
_INCARNATIONS = (1, 3)


@dataclasses.dataclass(frozen=True, slots=True)
class Functions:
    """The decision functions being checked."""

    merge: abc.Callable[..., messages.Member] = decisions.merge
    apply_claim: abc.Callable[..., messages.Member] = decisions.apply_claim
    refute: abc.Callable[..., decisions.SelfUpdate] = decisions.refute


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of the state space.

    :param watchers: number of watchers.
    :param serial: maximum serial of the daemon's record.
    :param restarts: maximum number of restarts of the daemon.
    """

    watchers: int = 1
    serial: int = 1
    restarts: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """One state of the model.

    :param own: the daemon's own record.
    :param has_joined: whether it has joined the fleet since its last start.
    :param superseded: whether it has been superseded by a successor.
    :param restarts: number of restarts so far.
    :param views: the record that each watcher holds.
    :param has_regressed: whether a watcher ever replaced a record by one of
        lower precedence.
    :param sent: every record that was ever sent.
    :param unreceived: sent records that the daemon has not received since
        its last start and whose precedence is above its own record's.
    """

    own: Record = _FIRST
    has_joined: bool = True
    superseded: bool = False
    restarts: int = 0
    views: tuple[Record, ...] = (_FIRST,)
    has_regressed: bool = False
    sent: frozenset[Record] = frozenset({_FIRST})
    unreceived: frozenset[Record] = frozenset()


Step = tuple[str, State]


def _keep_superior(
    own: Record, records: abc.Iterable[Record]
) -> frozenset[Record]:
    """Keep the records that the daemon has to react to.

    Records of the same or lower precedence change nothing.
    """
    own_precedence = decisions.get_precedence(own)
    return frozenset(
        record
        for record in records
        if decisions.get_precedence(record) > own_precedence
    )


def _send(state: State, record: Record) -> State:
    if record in state.sent:
        return state
    return dataclasses.replace(
        state,
        sent=state.sent | {record},
        unreceived=_keep_superior(state.own, state.unreceived | {record}),
    )


def _set_view(state: State, watcher: int, view: Record) -> State:
    known = state.views[watcher]
    is_regression = decisions.get_precedence(view) < decisions.get_precedence(
        known
    )
    views = list(state.views)
    views[watcher] = view
    return dataclasses.replace(
        state,
        views=tuple(views),
        has_regressed=state.has_regressed or is_regression,
    )


def _list_watcher_steps(
    state: State, functions: Functions
) -> abc.Iterator[Step]:
    """List the steps of the watchers: receive, suspect and declare dead."""
    next_health = {Health.ALIVE: Health.SUSPECT, Health.SUSPECT: Health.DEAD}
    for watcher, view in enumerate(state.views):
        for record in state.sent:
            known = to_member(view)
            merged = to_record(functions.merge(known, to_member(record)))
            yield (
                f"w{watcher} receives a record",
                _set_view(state, watcher, merged),
            )
            claimed = to_record(functions.apply_claim(known, to_claim(record)))
            yield (
                f"w{watcher} receives a claim",
                _set_view(state, watcher, claimed),
            )
        health = next_health.get(view.health)
        if health is not None:
            worsened = dataclasses.replace(view, health=health)
            after = _send(_set_view(state, watcher, worsened), worsened)
            yield f"w{watcher} marks d1 as {health}", after


def _list_daemon_steps(
    state: State, functions: Functions, bounds: Bounds
) -> abc.Iterator[Step]:
    """List the steps of the daemon: react, join, update and restart."""
    if state.superseded:
        return
    for record in state.unreceived:
        update = functions.refute(
            to_member(state.own),
            to_member(record),
            has_joined=state.has_joined,
        )
        own = to_record(update.own)
        informed = dataclasses.replace(
            state,
            own=own,
            superseded=update.superseded,
            unreceived=_keep_superior(own, state.unreceived - {record}),
        )
        if own.serial <= bounds.serial:
            yield "d1 receives a report about itself", _send(informed, own)
    if not state.has_joined:
        yield "d1 joins", dataclasses.replace(state, has_joined=True)
    if state.own.serial < bounds.serial:
        own = dataclasses.replace(state.own, serial=state.own.serial + 1)
        unreceived = _keep_superior(own, state.unreceived)
        updated = dataclasses.replace(state, own=own, unreceived=unreceived)
        yield "d1 updates its record", _send(updated, own)
    if state.restarts < bounds.restarts:
        for incarnation in _INCARNATIONS:
            own = dataclasses.replace(_FIRST, incarnation=incarnation)
            restarted = dataclasses.replace(
                state,
                own=own,
                has_joined=False,
                restarts=state.restarts + 1,
                unreceived=_keep_superior(own, state.sent),
            )
            yield f"d1 restarts as {incarnation}", _send(restarted, own)


def make_transitions(
    functions: Functions, bounds: Bounds
) -> abc.Callable[[State], list[Step]]:
    """Make the function that lists the steps possible from a state."""

    def transitions(state: State) -> list[Step]:
        steps = [
            *_list_watcher_steps(state, functions),
            *_list_daemon_steps(state, functions, bounds),
        ]
        return [(label, after) for label, after in steps if after != state]

    return transitions


def make_initial(bounds: Bounds) -> State:
    """Make the state in which every watcher knows the daemon as alive."""
    return State(views=(_FIRST,) * bounds.watchers)


def never_regresses(state: State) -> bool:
    """Check that no watcher ever took a record of lower precedence."""
    return not state.has_regressed


def can_be_refuted(state: State) -> bool:
    """Check that a daemon can refute everything reported about it.

    Once it has received every report about itself, its own record has the
    highest precedence and says that it is alive, so a watcher that receives
    every record considers it alive. A superseded daemon is exempt.
    """
    if state.unreceived or state.superseded:
        return True
    newest = max(state.sent, key=decisions.get_precedence)
    return newest == state.own and newest.health is Health.ALIVE


INVARIANTS: dict[str, abc.Callable[[State], bool]] = {
    "never_regresses": never_regresses,
    "can_be_refuted": can_be_refuted,
}
