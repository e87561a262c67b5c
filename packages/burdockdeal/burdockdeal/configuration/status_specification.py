"""A small specification of what a status may claim.

Three daemons in two failure domains apply revisions, are cut off, heal,
die, are believed dead, leave, restart. The one that is asked answers as
the daemon does, by the functions that the daemon runs.
"""

from collections import abc
import dataclasses
import enum

from burdockdeal.configuration import messages
from burdockdeal.configuration import tree
from burdockdeal.membership import messages as membership
from burdockdeal.settings import model

#: The asker is the first.
DAEMONS = (("a", "near"), ("b", "near"), ("c", "far"))
LAST_REVISION = 2

#: Longer than a daemon believed dead counts as not reached.
_LONG_S = tree.DEAD_GRACE_PERIOD_S + 1


class Life(enum.StrEnum):
    """What a daemon really does."""

    RUNS = "RUNS"
    CUT = "CUT"
    ENDED = "ENDED"


class Belief(enum.StrEnum):
    """What the asker believes of a daemon."""

    ALIVE = "ALIVE"
    DEAD = "DEAD"
    DEAD_LONG = "DEAD_LONG"
    LEFT = "LEFT"
    FORGOTTEN = "FORGOTTEN"


@dataclasses.dataclass(frozen=True, slots=True)
class Daemon:
    """A daemon, and what the asker believes of it."""

    revision: int = 1
    life: Life = Life.RUNS
    belief: Belief = Belief.ALIVE


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """The fleet.

    :param accepted: the revision that was accepted last.
    """

    daemons: tuple[Daemon, ...] = (Daemon(),) * len(DAEMONS)
    accepted: int = 1


#: Judge from (members, remembered domains, seconds dead) and an asker.
Survey = abc.Callable[..., tuple[tree.Domain, ...]]
Combine = abc.Callable[..., messages.Applied]


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The decisions that a status rests on."""

    survey: Survey = tree.group_by_domain
    combine: Combine = tree.aggregate
    judge: abc.Callable[..., messages.Status] = tree.evaluate_status


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


def ask(rules: Rules, state: State) -> messages.Status:
    """Answer whether the revision accepted last is in force everywhere."""
    members = [
        _member(index, daemon)
        for index, daemon in enumerate(state.daemons)
        if daemon.belief is not Belief.FORGOTTEN
    ]
    dead_s = {
        DAEMONS[index][0]: _LONG_S
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
        if daemon.life is Life.RUNS:
            return messages.Applied(domain, daemon.revision, 1, 0)
        return messages.Applied(domain, 0, 0, 1)

    applied = [
        rules.combine(
            domain.name,
            (
                *(answer(name, domain.name) for name in domain.reachable),
                messages.Applied(
                    domain.name, 0, 0, domain.missing, domain.lost
                ),
            ),
        )
        for domain in rules.survey(members, sorted(remembered), dead_s)
    ]
    return rules.judge(state.accepted, applied)


_BELIEFS = {
    Belief.ALIVE: (Belief.DEAD,),
    Belief.DEAD: (Belief.DEAD_LONG, Belief.ALIVE),
    Belief.DEAD_LONG: (Belief.FORGOTTEN, Belief.ALIVE),
}


def _fates(state: State, daemon: Daemon) -> abc.Iterator[tuple[str, Daemon]]:
    """List what may become of a daemon other than the asker."""
    change = dataclasses.replace
    if daemon.life is Life.RUNS:
        yield "cut", change(daemon, life=Life.CUT)
        yield "killed", change(daemon, life=Life.ENDED)
        yield "leaves", change(daemon, life=Life.ENDED, belief=Belief.LEFT)
        if daemon.revision < state.accepted:
            yield "applies", change(daemon, revision=daemon.revision + 1)
    if daemon.life is Life.CUT:
        yield "healed", change(daemon, life=Life.RUNS)
    if daemon.life is Life.ENDED:
        yield (
            "replaced",
            Daemon(revision=1, life=Life.RUNS, belief=Belief.ALIVE),
        )
    for belief in _BELIEFS.get(daemon.belief, ()):
        back = belief is Belief.ALIVE
        if back == (daemon.life is Life.RUNS):
            yield f"believed {belief}", change(daemon, belief=belief)


def transitions(vector: tuple[State]) -> list[tuple[str, tuple[State]]]:
    """List the steps out of a state."""
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
        for label, fate in _fates(state, state.daemons[index]):
            daemons = list(state.daemons)
            daemons[index] = fate
            following = dataclasses.replace(state, daemons=tuple(daemons))
            steps.append((f"{DAEMONS[index][0]}: {label}", (following,)))
    return steps


def claims_no_more_than_holds(rules: Rules, state: State) -> bool:
    """Hold that "in force everywhere" is true of all that may serve.

    A daemon that is long believed dead, or forgotten, in a domain of
    which others answer is excepted: the status then names the lost, or
    it has been out of reach for longer than membership remembers.
    """
    status = ask(rules, state)
    everywhere = status.conditions[1]
    if not everywhere.status:
        return True
    for (_, domain), daemon in zip(DAEMONS, state.daemons, strict=True):
        serves = daemon.life is not Life.ENDED
        if not serves or daemon.revision >= state.accepted:
            continue
        answered = any(
            applied.failure_domain == domain and applied.daemons
            for applied in status.domains
        )
        named = everywhere.reason == "AllReachable"
        excepted = answered and (
            (daemon.belief is Belief.DEAD_LONG and named)
            or daemon.belief is Belief.FORGOTTEN
        )
        if not excepted:
            return False
    return True


def domains_never_vanish(rules: Rules, state: State) -> bool:
    """Hold that a domain with a daemon that did not leave is shown."""
    shown = {applied.failure_domain for applied in ask(rules, state).domains}
    return all(
        domain in shown
        for (_, domain), daemon in zip(DAEMONS, state.daemons, strict=True)
        if daemon.belief is not Belief.LEFT
    )
