"""The choice of an instance, as the path of requests asks for it."""

from collections import abc
import random

from burdockdeal.configuration import resources
from burdockdeal.core import call
from burdockdeal.membership import messages
from burdockdeal.routing import policies
from burdockdeal.routing import tracking

#: Choose an instance for a call, not among those tried.
Chooser = abc.Callable[[call.Call, frozenset[str]], messages.Member | None]

#: Patience of work that is risked last, second and first on a trial.
_PATIENCE_ONCE = 2.0
_PATIENCE_URGENT = 1.0
_PATIENCE_FIRST = 0.0


def weigh_patience(
    work: call.Call, ranks: abc.Mapping[str, resources.Rank]
) -> float:
    """Tell how long an ejected instance is spared from a call.

    Lesser work that is idempotent is risked first, work that may run only
    once is risked last.
    """
    if not work.idempotent:
        return _PATIENCE_ONCE
    own = ranks.get(work.rank)
    lesser = own is not None and any(
        rank.urgency < own.urgency for rank in ranks.values()
    )
    return _PATIENCE_FIRST if lesser else _PATIENCE_URGENT


def make_chooser(
    policy: str,
    chance: random.Random,
    tracker: tracking.InstanceTracker,
    *,
    list_serving: abc.Callable[[str], tuple[messages.Member, ...]],
    services: abc.Callable[[], abc.Mapping[str, resources.Service]],
    ranks: abc.Callable[[], abc.Mapping[str, resources.Rank]],
) -> Chooser:
    """Make the function that chooses an instance for each call.

    :param policy: its name.
    :param serving: lists the instances of a service; the same tuple while
        nothing has changed.
    :param services: returns the services as configured now.
    :param ranks: returns the ranks as configured now.
    """
    pick = policies.POLICIES[policy](
        chance, tracker, lambda work: weigh_patience(work, ranks())
    )
    usual = resources.Service()

    def choose(
        work: call.Call, tried: frozenset[str]
    ) -> messages.Member | None:
        members = list_serving(work.service)
        share = services().get(work.service, usual).max_ejected_share
        group = tracker.update_members(work.service, members, share)
        group.last_call_at = tracker.clock()
        group.calls += 1
        chosen = pick(work, members, tried)
        if chosen is not None:
            tracker.ensure_stats(chosen)
        return chosen

    return choose
