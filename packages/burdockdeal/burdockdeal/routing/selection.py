"""Chooses an instance for each call with the configured policy."""

from collections import abc
import random

from burdockdeal.configuration import resources
from burdockdeal.core import call
from burdockdeal.membership import messages
from burdockdeal.routing import policies
from burdockdeal.routing import tracking

#: Chooses an instance for a call, except those of the daemons tried.
Chooser = abc.Callable[[call.Call, frozenset[str]], messages.Member | None]

#: How long a call is kept off an ejected instance, as a multiple of the
#: length of the ejection: last, second and first choice for a trial call.
_DELAY_NOT_IDEMPOTENT = 2.0
_DELAY_MOST_URGENT = 1.0
_DELAY_LESS_URGENT = 0.0


def find_trial_delay_factor(
    work: call.Call, ranks: abc.Mapping[str, resources.Rank]
) -> float:
    """Return how long a call is kept off an ejected instance.

    An idempotent call below the most urgent rank is the first choice for a
    trial call; a call that is not idempotent is the last, since it can't be
    sent again if it fails.

    :returns: a multiple of the length of the ejection.
    """
    if not work.idempotent:
        return _DELAY_NOT_IDEMPOTENT
    own = ranks.get(work.rank)
    less_urgent = own is not None and any(
        rank.urgency < own.urgency for rank in ranks.values()
    )
    return _DELAY_LESS_URGENT if less_urgent else _DELAY_MOST_URGENT


def make_instance_check(
    list_serving: abc.Callable[[str], tuple[messages.Member, ...]],
) -> abc.Callable[[call.Call], bool]:
    """Make the check whether a call has an instance in its regions.

    :param list_serving: lists the serving instances of a service; must
        return the same tuple as long as nothing has changed.
    """
    known: dict[str, tuple[object, frozenset[str]]] = {}

    def has_instance(work: call.Call) -> bool:
        members = list_serving(work.service)
        if not work.regions:
            return bool(members)
        listed, regions = known.get(work.service, (None, frozenset()))
        if listed is not members:
            regions = frozenset(member.region for member in members)
            known[work.service] = (members, regions)
        return not work.regions.isdisjoint(regions)

    return has_instance


def make_chooser(
    policy: str,
    rng: random.Random,
    tracker: tracking.InstanceTracker,
    *,
    list_serving: abc.Callable[[str], tuple[messages.Member, ...]],
    services: abc.Callable[[], abc.Mapping[str, resources.Service]],
    ranks: abc.Callable[[], abc.Mapping[str, resources.Rank]],
) -> Chooser:
    """Make the function that chooses an instance for each call.

    :param policy: the name of the routing policy.
    :param rng: the random generator of the policy.
    :param list_serving: lists the serving instances of a service; must
        return the same tuple as long as nothing has changed.
    :param services: returns the current configuration of the services.
    :param ranks: returns the current configuration of the ranks.
    """
    pick = policies.POLICIES[policy](
        rng, tracker, lambda work: find_trial_delay_factor(work, ranks())
    )
    default = resources.Service()

    def choose(
        work: call.Call, tried: frozenset[str]
    ) -> messages.Member | None:
        members = list_serving(work.service)
        share = services().get(work.service, default).max_ejected_share
        group = tracker.update_members(work.service, members, share)
        group.last_call_at = tracker.clock()
        group.calls += 1
        chosen = pick(work, group.list_members(work.regions), tried)
        if chosen is not None:
            tracker.ensure_stats(chosen)
        return chosen

    return choose
