"""The specification of membership: one daemon and two that watch it.

The network keeps every record that was ever sent and may deliver each at
any time, twice, late or never. The watchers suspect and bury the daemon
whenever they like, which stands for pauses, cuts and lost probes. The
daemon may be restarted with a clock that ran backwards. The functions of
`decisions` are the production ones; a broken variant can take the place
of each.
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
    """The part of a member's record that decides."""

    incarnation: int
    serial: int
    health: Health


_FIRST = Record(2, 0, Health.ALIVE)


@functools.cache
def to_member(record: Record) -> messages.Member:
    """Make the member that a record stands for."""
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
    """Make the claim that a record stands for."""
    return decisions.make_claim(to_member(record))


def to_record(member: messages.Member) -> Record:
    """Keep the part of a member that decides."""
    return Record(member.incarnation, member.serial, member.health)


#: Incarnations that a restart may take from the wall clock.
_INCARNATIONS = (1, 3)


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The decisions under check."""

    merge: abc.Callable[..., messages.Member] = decisions.merge
    weigh_claim: abc.Callable[..., messages.Member] = decisions.weigh_claim
    defend: abc.Callable[..., decisions.Self] = decisions.defend


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """How far the check goes.

    :param watchers: daemons that watch.
    :param serial: the highest serial.
    :param restarts: restarts of the daemon.
    """

    watchers: int = 1
    serial: int = 1
    restarts: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """One state of the fleet.

    :param own: the daemon's own record.
    :param joined: whether it has joined in this life.
    :param superseded: whether it gave way.
    :param views: what each watcher believes.
    :param went_back: whether a watcher ever returned to what it had
        left behind.
    :param sent: every record that was ever sent.
    :param unheard: those that the daemon has not heard in this life, as
        far as they would stand above its own.
    """

    own: Record = _FIRST
    joined: bool = True
    superseded: bool = False
    restarts: int = 0
    views: tuple[Record, ...] = (_FIRST,)
    went_back: bool = False
    sent: frozenset[Record] = frozenset({_FIRST})
    unheard: frozenset[Record] = frozenset()


Step = tuple[str, State]


def _above(own: Record, records: abc.Iterable[Record]) -> frozenset[Record]:
    """Keep what the daemon has to answer; the rest changes nothing."""
    least = decisions.precedence(own)
    return frozenset(
        record for record in records if decisions.precedence(record) > least
    )


def _send(state: State, record: Record) -> State:
    if record in state.sent:
        return state
    return dataclasses.replace(
        state,
        sent=state.sent | {record},
        unheard=_above(state.own, state.unheard | {record}),
    )


def _look(state: State, watcher: int, view: Record) -> State:
    known = state.views[watcher]
    back = decisions.precedence(view) < decisions.precedence(known)
    views = list(state.views)
    views[watcher] = view
    return dataclasses.replace(
        state, views=tuple(views), went_back=state.went_back or back
    )


def _watch(state: State, rules: Rules) -> abc.Iterator[Step]:
    """Let the watchers hear, suspect and bury."""
    followers = {Health.ALIVE: Health.SUSPECT, Health.SUSPECT: Health.DEAD}
    for watcher, view in enumerate(state.views):
        for record in state.sent:
            known = to_member(view)
            merged = to_record(rules.merge(known, to_member(record)))
            yield f"w{watcher} hears", _look(state, watcher, merged)
            weighed = to_record(rules.weigh_claim(known, to_claim(record)))
            yield f"w{watcher} hears a claim", _look(state, watcher, weighed)
        health = followers.get(view.health)
        if health is not None:
            worse = dataclasses.replace(view, health=health)
            after = _send(_look(state, watcher, worse), worse)
            yield f"w{watcher} believes {health}", after


def _live(state: State, rules: Rules, bounds: Bounds) -> abc.Iterator[Step]:
    """Let the daemon hear of itself, declare and restart."""
    if state.superseded:
        return
    for record in state.unheard:
        answer = rules.defend(
            to_member(state.own), to_member(record), joined=state.joined
        )
        own = to_record(answer.own)
        heard = dataclasses.replace(
            state,
            own=own,
            superseded=answer.superseded,
            unheard=_above(own, state.unheard - {record}),
        )
        if own.serial <= bounds.serial:
            yield "d1 hears of itself", _send(heard, own)
    if not state.joined:
        yield "d1 joins", dataclasses.replace(state, joined=True)
    if state.own.serial < bounds.serial:
        own = dataclasses.replace(state.own, serial=state.own.serial + 1)
        unheard = _above(own, state.unheard)
        declared = dataclasses.replace(state, own=own, unheard=unheard)
        yield "d1 declares", _send(declared, own)
    if state.restarts < bounds.restarts:
        for incarnation in _INCARNATIONS:
            own = dataclasses.replace(_FIRST, incarnation=incarnation)
            restarted = dataclasses.replace(
                state,
                own=own,
                joined=False,
                restarts=state.restarts + 1,
                unheard=_above(own, state.sent),
            )
            yield f"d1 restarts as {incarnation}", _send(restarted, own)


def make_transitions(
    rules: Rules, bounds: Bounds
) -> abc.Callable[[State], list[Step]]:
    """Make the function that lists what may happen next."""

    def transitions(state: State) -> list[Step]:
        steps = [*_watch(state, rules), *_live(state, rules, bounds)]
        return [(label, after) for label, after in steps if after != state]

    return transitions


def make_initial(bounds: Bounds) -> State:
    """Make the state in which all know the daemon as alive."""
    return State(views=(_FIRST,) * bounds.watchers)


def never_goes_back(state: State) -> bool:
    """Check that no watcher returned to what it had left behind."""
    return not state.went_back


def can_be_refuted(state: State) -> bool:
    """Check that a daemon that heard all about itself stands as alive.

    Whoever hears everything that was sent then believes it alive, unless
    it gave way to a successor.
    """
    if state.unheard or state.superseded:
        return True
    stands = max(state.sent, key=decisions.precedence)
    return stands == state.own and stands.health is Health.ALIVE


INVARIANTS: dict[str, abc.Callable[[State], bool]] = {
    "never_goes_back": never_goes_back,
    "can_be_refuted": can_be_refuted,
}
