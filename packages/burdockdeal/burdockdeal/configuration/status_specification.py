"""A model of what the status of a resource may claim.

Three daemons in two failure domains apply revisions, are cut off and
reconnected, end, are believed dead, leave and restart. The daemon that is
queried computes the status by the production functions; a test may replace
one by a faulty variant.
"""

from collections import abc
import dataclasses
import enum

from burdockdeal.configuration import messages
from burdockdeal.configuration import tree
from burdockdeal.membership import messages as membership
from burdockdeal.settings import model

#: Names and failure domains; the first daemon is the one that is queried.
DAEMONS = (("a", "near"), ("b", "near"), ("c", "far"))
LAST_REVISION = 2

#: Longer than a daemon believed dead counts as unreached.
_DEAD_LONG_S = tree.DEAD_GRACE_PERIOD_S + 1


class ActualState(enum.StrEnum):
    """The actual state of a daemon."""

    RUNS = "RUNS"
    CUT = "CUT"
    ENDED = "ENDED"


class Belief(enum.StrEnum):
    """What the queried daemon believes of a daemon."""

    ALIVE = "ALIVE"
    DEAD = "DEAD"
    DEAD_LONG = "DEAD_LONG"
    LEFT = "LEFT"
    FORGOTTEN = "FORGOTTEN"


@dataclasses.dataclass(frozen=True, slots=True)
class Daemon:
    """A daemon, and what the queried daemon believes of it."""

    revision: int = 1
    actual: ActualState = ActualState.RUNS
    belief: Belief = Belief.ALIVE


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """The fleet.

    :param accepted: the newest accepted revision.
    """

    daemons: tuple[Daemon, ...] = (Daemon(),) * len(DAEMONS)
    accepted: int = 1


#: Groups (members, remembered domains, seconds dead) by failure domain.
GroupByDomain = abc.Callable[..., tuple[tree.Domain, ...]]
Aggregate = abc.Callable[..., messages.Applied]


@dataclasses.dataclass(frozen=True, slots=True)
class Decisions:
    """The decisions by which a status is computed."""

    group_by_domain: GroupByDomain = tree.group_by_domain
    aggregate: Aggregate = tree.aggregate
    evaluate_status: abc.Callable[..., messages.Status] = tree.evaluate_status


def _member(index: int, daemon: Daemon) -> membership.Member:
    name, domain = DAEMONS[index]
    health = {
        Belief.ALIVE: membership.Health.ALIVE,
        Belief.LEFT: membership.Health.LEFT,
    }.get(daemon.belief, membership.Health.DEAD)
    return membership.Member(
        daemon=name,
        failure_domain=domain,
        region="r",
        peer=model.Address("127.0.0.1", index + 1),
        incarnation=1,
        health=health,
    )


def query_status(decisions: Decisions, state: State) -> messages.Status:
    """Return the status of the newest accepted revision."""
    members = [
        _member(index, daemon)
        for index, daemon in enumerate(state.daemons)
        if daemon.belief is not Belief.FORGOTTEN
    ]
    dead_s = {
        DAEMONS[index][0]: _DEAD_LONG_S
        for index, daemon in enumerate(state.daemons)
        if daemon.belief is Belief.DEAD_LONG
    }
    remembered = {
        domain
        for (_, domain), daemon in zip(DAEMONS, state.daemons, strict=True)
        if daemon.belief is Belief.FORGOTTEN
    }
    by_name = {
        name: daemon
        for (name, _), daemon in zip(DAEMONS, state.daemons, strict=True)
    }

    def answer(name: str, domain: str) -> messages.Applied:
        daemon = by_name[name]
        if daemon.actual is ActualState.RUNS:
            return messages.Applied(domain, daemon.revision, 1, 0)
        return messages.Applied(domain, 0, 0, 1)

    applied = [
        decisions.aggregate(
            domain.name,
            (
                *(answer(name, domain.name) for name in domain.reachable),
                messages.Applied(
                    domain.name, 0, 0, domain.missing, domain.lost
                ),
            ),
        )
        for domain in decisions.group_by_domain(
            members, sorted(remembered), dead_s
        )
    ]
    return decisions.evaluate_status(state.accepted, applied)


_NEXT_BELIEFS = {
    Belief.ALIVE: (Belief.DEAD,),
    Belief.DEAD: (Belief.DEAD_LONG, Belief.ALIVE),
    Belief.DEAD_LONG: (Belief.FORGOTTEN, Belief.ALIVE),
}


def _daemon_steps(
    state: State, daemon: Daemon
) -> abc.Iterator[tuple[str, Daemon]]:
    """Yield the steps of a daemon other than the queried one."""
    replace = dataclasses.replace
    if daemon.actual is ActualState.RUNS:
        yield "cut off", replace(daemon, actual=ActualState.CUT)
        yield "killed", replace(daemon, actual=ActualState.ENDED)
        yield (
            "leaves",
            replace(daemon, actual=ActualState.ENDED, belief=Belief.LEFT),
        )
        if daemon.revision < state.accepted:
            yield "applies", replace(daemon, revision=daemon.revision + 1)
    if daemon.actual is ActualState.CUT:
        yield "reconnected", replace(daemon, actual=ActualState.RUNS)
    if daemon.actual is ActualState.ENDED:
        yield (
            "replaced",
            Daemon(revision=1, actual=ActualState.RUNS, belief=Belief.ALIVE),
        )
    for belief in _NEXT_BELIEFS.get(daemon.belief, ()):
        is_alive = belief is Belief.ALIVE
        if is_alive == (daemon.actual is ActualState.RUNS):
            yield f"believed {belief}", replace(daemon, belief=belief)


def transitions(vector: tuple[State]) -> list[tuple[str, tuple[State]]]:
    """List the transitions from a state."""
    state = vector[0]
    steps = []
    own = state.daemons[0]
    if state.accepted < LAST_REVISION:
        accepted = dataclasses.replace(state, accepted=state.accepted + 1)
        steps.append(("accepted", (accepted,)))
    if own.revision < state.accepted:
        caught_up = dataclasses.replace(own, revision=own.revision + 1)
        daemons = (caught_up, *state.daemons[1:])
        steps.append(
            ("a: applies", (dataclasses.replace(state, daemons=daemons),))
        )
    for index in range(1, len(DAEMONS)):
        for label, changed in _daemon_steps(state, state.daemons[index]):
            daemons = list(state.daemons)
            daemons[index] = changed
            following = dataclasses.replace(state, daemons=tuple(daemons))
            steps.append((f"{DAEMONS[index][0]}: {label}", (following,)))
    return steps


def everywhere_is_never_claimed_falsely(
    decisions: Decisions, state: State
) -> bool:
    """Return whether "in force everywhere" holds for all serving daemons.

    A daemon that has long been believed dead, or was forgotten, is excepted
    if other daemons of its domain answer: either the status mentions lost
    daemons, or the daemon was unreachable for longer than the membership
    keeps its record.
    """
    status = query_status(decisions, state)
    everywhere = status.conditions[1]
    if not everywhere.status:
        return True
    for (_, domain), daemon in zip(DAEMONS, state.daemons, strict=True):
        may_serve = daemon.actual is not ActualState.ENDED
        if not may_serve or daemon.revision >= state.accepted:
            continue
        domain_answers = any(
            applied.failure_domain == domain and applied.daemons
            for applied in status.domains
        )
        mentions_lost = everywhere.reason == "AllReachable"
        excepted = domain_answers and (
            (daemon.belief is Belief.DEAD_LONG and mentions_lost)
            or daemon.belief is Belief.FORGOTTEN
        )
        if not excepted:
            return False
    return True


def domains_are_never_omitted(decisions: Decisions, state: State) -> bool:
    """Return whether each domain with a daemon that has not left is listed."""
    listed = {
        applied.failure_domain
        for applied in query_status(decisions, state).domains
    }
    return all(
        domain in listed
        for (_, domain), daemon in zip(DAEMONS, state.daemons, strict=True)
        if daemon.belief is not Belief.LEFT
    )
