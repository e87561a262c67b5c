"""The routing policies, as closures in one table.

The keys of the table are the names that the settings use.
"""

from collections import abc
import itertools
import random

from burdockdeal.core import call
from burdockdeal.membership import messages
from burdockdeal.routing import decisions
from burdockdeal.routing import state
from burdockdeal.routing import tracking

Members = abc.Sequence[messages.Member]

#: Chooses an instance for a call, except those of the daemons tried.
Policy = abc.Callable[
    [call.Call, Members, frozenset[str]], messages.Member | None
]

#: Returns how long a call is kept off an ejected instance, as a multiple of
#: the length of the ejection.
TrialDelay = abc.Callable[[call.Call], float]

#: Makes a policy from a random generator, the tracker and the trial delay.
PolicyFactory = abc.Callable[
    [random.Random, tracking.InstanceTracker, TrialDelay], Policy
]


def _make_untried_policy(
    pick: abc.Callable[[Members], messages.Member],
) -> Policy:
    """Make a policy that picks among all instances not yet tried."""

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
    rng: random.Random,
    tracker: tracking.InstanceTracker,
    trial_delay_factor: TrialDelay,
) -> Policy:
    """Make a policy that chooses an instance at random."""
    return _make_untried_policy(rng.choice)


def make_round_robin(
    rng: random.Random,
    tracker: tracking.InstanceTracker,
    trial_delay_factor: TrialDelay,
) -> Policy:
    """Make a policy that chooses the instances in turn.

    The turn starts at a random instance.
    """
    turns = itertools.count(rng.randrange(1 << 16))
    return _make_untried_policy(
        lambda members: members[next(turns) % len(members)]
    )


def make_least_reported(
    rng: random.Random,
    tracker: tracking.InstanceTracker,
    trial_delay_factor: TrialDelay,
) -> Policy:
    """Make a policy that chooses the instance with the lowest report.

    It compares the reported calls in flight; ties are broken at random.
    """

    def sort_key(member: messages.Member) -> tuple[int, float]:
        report = tracker.view(member).report
        return (report.in_flight if report else 0, rng.random())

    return _make_untried_policy(lambda members: min(members, key=sort_key))


def _find_load(view: state.View) -> tuple[float, int]:
    report = view.report
    reported = report.in_flight + report.waiting if report else 0
    return (max(reported, view.outstanding), view.outstanding)


def make_two_choices(
    rng: random.Random,
    tracker: tracking.InstanceTracker,
    trial_delay_factor: TrialDelay,
) -> Policy:
    """Make a policy that chooses the less loaded of two random instances."""

    def pick(members: Members) -> messages.Member:
        pair = rng.sample(members, min(2, len(members)))
        return min(pair, key=lambda member: _find_load(tracker.view(member)))

    return _make_untried_policy(pick)


def make_hot_cold(
    rng: random.Random,
    tracker: tracking.InstanceTracker,
    trial_delay_factor: TrialDelay,
) -> Policy:
    """Make a policy that chooses by the estimated response time.

    The tracker must know the service: selection updates it before.
    """

    def choose(
        work: call.Call, members: Members, tried: frozenset[str]
    ) -> messages.Member | None:
        group = tracker.groups[work.service]
        candidates = group.sample(tried, rng, work.regions)
        if not candidates:
            return None
        views = [tracker.evaluate(member) for member in candidates]
        chosen = decisions.choose(
            views,
            group.baseline,
            tracker.clock(),
            rng,
            trial_delay_factor=trial_delay_factor(work),
            remote_penalty_s=decisions.find_remote_penalty(
                work.body_bytes + tracker.response_sizes.estimate(work)
            ),
        )
        return chosen.member

    return choose


POLICIES: dict[str, PolicyFactory] = {
    "random": make_random,
    "round_robin": make_round_robin,
    "least_reported": make_least_reported,
    "two_choices": make_two_choices,
    "hot_cold": make_hot_cold,
}
