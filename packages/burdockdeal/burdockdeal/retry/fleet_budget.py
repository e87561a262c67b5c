"""This daemon's part of the fleet-wide retry budget.

The retries and hedges that all daemons together send to a service in any
window are bounded by a share of the first sends plus a fixed slack. There is
no central count: each daemon keeps to the share of its own first sends and
to its equal part of the slack. The sum therefore keeps to the bound whatever
fails and even if daemons are partitioned from each other.
"""

import collections
from collections import abc
import dataclasses

from burdockdeal.settings import model

#: Number of buckets in which the counts of a window are kept.
BUCKETS = 20

#: The share of the fleet's budget that is used. The rest is a margin, since
#: the windows of different daemons and upstreams are not aligned.
USABLE_SHARE = 0.7

#: The part of it that is left to the most urgent calls of a service.
URGENT_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Bucket:
    """The sends to a service in one bucket of the window.

    :param number: the bucket's position in time.
    :param first_sends: first sends of a call.
    :param retries: retries and hedges. A first send counts as a fraction of
        one if only the probability that it serves a retry is known.
    """

    number: int
    first_sends: int = 0
    retries: float = 0.0


def may_retry(
    buckets: abc.Iterable[Bucket],
    terms: model.FleetRetryBudget,
    members: int,
    usable_share: float = USABLE_SHARE,
) -> bool:
    """Return whether one more retry stays within this daemon's part.

    :param buckets: the buckets of the window that ends now.
    :param terms: the fleet-wide bound.
    :param members: the number of daemons that share the slack.
    :param usable_share: the share of the part that may be used.
    """
    first_sends, retries = 0, 0.0
    for bucket in buckets:
        first_sends += bucket.first_sends
        retries += bucket.retries
    allowed = terms.share * first_sends + terms.slack / max(1, members)
    return retries + 1 <= usable_share * allowed


class FleetBudget:
    """Counts the first sends and retries of this daemon, by service.

    :param terms: returns the fleet-wide bound.
    :param members: returns the number of daemons in the fleet.
    :param clock: returns monotonic time in seconds.
    :param retry_share: returns the estimated share of the calls made by
        this daemon's upstream that serve a retry.
    """

    def __init__(
        self,
        terms: abc.Callable[[], model.FleetRetryBudget],
        members: abc.Callable[[], int],
        clock: abc.Callable[[], float],
        retry_share: abc.Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._terms = terms
        self._members = members
        self._clock = clock
        self._retry_share = retry_share
        self._max_members = 1
        self._buckets: dict[str, collections.deque[Bucket]] = {}

    def record_send(self, service: str, *, first: bool) -> None:
        """Count a send that may have reached an upstream.

        :param first: whether it is the first send of its call.
        """
        buckets = self._advance(service)
        last = buckets[-1]
        retries = self._retry_share() if first else 1.0
        buckets[-1] = Bucket(
            last.number, last.first_sends + first, last.retries + retries
        )

    def refund(self, service: str) -> None:
        """Take back a retry that has reached no upstream."""
        last = self._advance(service)[-1]
        self._buckets[service][-1] = dataclasses.replace(
            last, retries=max(0.0, last.retries - 1)
        )

    def may_retry(self, service: str, *, is_most_urgent: bool = True) -> bool:
        """Return whether one more retry to a service is allowed.

        :param is_most_urgent: whether no more urgent calls are sent to it.
        """
        # The part never grows: in a network partition the fleet only looks
        # smaller.
        self._max_members = max(self._max_members, self._members())
        buckets = self._advance(service)
        usable_share = USABLE_SHARE
        if not is_most_urgent:
            usable_share *= 1 - URGENT_SHARE
        return may_retry(
            buckets, self._terms(), self._max_members, usable_share
        )

    def _advance(self, service: str) -> collections.deque[Bucket]:
        number = int(self._clock() * BUCKETS / self._terms().window_s)
        buckets = self._buckets.setdefault(service, collections.deque())
        if not buckets or buckets[-1].number != number:
            buckets.append(Bucket(number))
        while buckets[0].number < number - BUCKETS:
            buckets.popleft()
        return buckets
