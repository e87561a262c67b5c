"""Link times between failure domains, learned from answers."""

import dataclasses

#: Link times assumed before the first answer, in seconds.
LOCAL_LINK_S = 0.0005
REMOTE_LINK_S = 0.005

#: Seconds after which an old lowest round trip is forgotten, so that a
#: link that became slower is noticed.
_SPAN_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Link:
    """The lowest round trips of the span that runs and of the one before.

    :param since: monotonic time at which the running span began.
    """

    lowest_s: float
    before_s: float
    since: float

    @property
    def round_trip_s(self) -> float:
        """The round trip without queues and work."""
        return min(self.lowest_s, self.before_s)


def learn(link: Link | None, sample_s: float, now: float) -> Link:
    """Take a round trip into account.

    :param sample_s: the round trip less the owner's own time, in seconds.
    :param now: monotonic time in seconds.
    """
    if link is None:
        return Link(sample_s, sample_s, now)
    if now - link.since > _SPAN_S:
        return Link(sample_s, link.lowest_s, now)
    if sample_s >= link.lowest_s:
        return link
    return dataclasses.replace(link, lowest_s=sample_s)


class Links:
    """Holds the link time to each failure domain.

    :param failure_domain: the entry's own.
    """

    def __init__(self, failure_domain: str) -> None:
        self._own = failure_domain
        self._links: dict[str, Link] = {}

    def note(self, failure_domain: str, sample_s: float, now: float) -> None:
        """Take a round trip into account."""
        before = self._links.get(failure_domain)
        self._links[failure_domain] = learn(before, max(0.0, sample_s), now)

    def round_trip_s(self, failure_domain: str) -> float:
        """Tell the round trip to a failure domain, in seconds."""
        link = self._links.get(failure_domain)
        if link is not None:
            return link.round_trip_s
        local = failure_domain == self._own
        return LOCAL_LINK_S if local else REMOTE_LINK_S
