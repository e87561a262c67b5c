"""The routing policies, as closures in one table."""

from collections import abc
import itertools
import random

from burdockdeal.core import call
from burdockdeal.membership import messages
from burdockdeal.routing import decisions
from burdockdeal.routing import state
from burdockdeal.routing import tracking

Members = abc.Sequence[messages.Member]

#: Choose an instance for a call, not among the daemons tried.
Policy = abc.Callable[
    [call.Call, Members, frozenset[str]], messages.Member | None
]

#: Tell how long an ejected instance is spared from a call.
Patience = abc.Callable[[call.Call], float]

#: Make a policy: from chance, the board and the patience.
Make = abc.Callable[
    [random.Random, tracking.InstanceTracker, Patience], Policy
]


def _among(pick: abc.Callable[[Members], messages.Member]) -> Policy:
    """Make a policy that picks among all the instances not yet tried."""

    def choose(
        work: call.Call, members: Members, tried: frozenset[str]
    ) -> messages.Member | None:
        if tried:
            members = [
                member for member in members if member.daemon not in tried
            ]
        return pick(members) if members else None

    return choose


def make_random(
    chance: random.Random,
    tracker: tracking.InstanceTracker,
    patience: Patience,
) -> Policy:
    """Choose any instance."""
    return _among(chance.choice)


def make_round_robin(
    chance: random.Random,
    tracker: tracking.InstanceTracker,
    patience: Patience,
) -> Policy:
    """Choose the instances in turn."""
    turns = itertools.count(chance.randrange(1 << 16))
    return _among(lambda members: members[next(turns) % len(members)])


def make_least_reported(
    chance: random.Random,
    tracker: tracking.InstanceTracker,
    patience: Patience,
) -> Policy:
    """Choose the instance whose last report is the lowest."""

    def rank(member: messages.Member) -> tuple[int, float]:
        report = tracker.view(member).report
        return (report.in_flight if report else 0, chance.random())

    return _among(lambda members: min(members, key=rank))


def _load(view: state.View) -> tuple[float, int]:
    report = view.report
    reported = report.in_flight + report.waiting if report else 0
    return (max(reported, view.sent), view.sent)


def make_two_choices(
    chance: random.Random,
    tracker: tracking.InstanceTracker,
    patience: Patience,
) -> Policy:
    """Choose the less loaded of two instances taken at random."""

    def pick(members: Members) -> messages.Member:
        pair = chance.sample(members, min(2, len(members)))
        return min(pair, key=lambda member: _load(tracker.view(member)))

    return _among(pick)


def make_hot_cold(
    chance: random.Random,
    tracker: tracking.InstanceTracker,
    patience: Patience,
) -> Policy:
    """Choose the instance whose answer is expected first."""

    def choose(
        work: call.Call, members: Members, tried: frozenset[str]
    ) -> messages.Member | None:
        group = tracker.groups[work.service]
        drawn = group.sample(tried, chance)
        if not drawn:
            return None
        views = [tracker.evaluate(member) for member in drawn]
        chosen = decisions.choose(
            views,
            group.norm,
            tracker.clock(),
            chance,
            patience=patience(work),
            remote_s=decisions.find_remote_cost(work.body_bytes),
        )
        return chosen.member

    return choose


POLICIES: dict[str, Make] = {
    "random": make_random,
    "round_robin": make_round_robin,
    "least_reported": make_least_reported,
    "two_choices": make_two_choices,
    "hot_cold": make_hot_cold,
}
