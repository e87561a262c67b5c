"""Estimates the round-trip time to each failure domain from responses."""

import dataclasses

#: Round-trip times assumed before the first sample, in seconds.
DEFAULT_LOCAL_S = 0.0005
DEFAULT_REMOTE_S = 0.005

#: Length of the window of the minimum filter, in seconds. An old minimum
#: expires, so that a link that has become slower is noticed.
_WINDOW_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class MinRoundTrip:
    """The minimum round-trip times of the current and the previous window.

    :param min_s: minimum of the current window, in seconds.
    :param previous_min_s: minimum of the previous window, in seconds.
    :param window_start: monotonic time at which the current window began,
        in seconds.
    """

    min_s: float
    previous_min_s: float
    window_start: float

    @property
    def round_trip_s(self) -> float:
        """The round-trip time without queueing and service time."""
        return min(self.min_s, self.previous_min_s)


def update_minimum(
    minimum: MinRoundTrip | None, sample_s: float, now: float
) -> MinRoundTrip:
    """Add a sample to the minimum filter.

    :param minimum: the filter so far, None before the first sample.
    :param sample_s: the round trip less the time that the receiving daemon
        held the call, in seconds.
    :param now: monotonic time in seconds.
    """
    if minimum is None:
        return MinRoundTrip(sample_s, sample_s, now)
    if now - minimum.window_start > _WINDOW_S:
        return MinRoundTrip(sample_s, minimum.min_s, now)
    if sample_s >= minimum.min_s:
        return minimum
    return dataclasses.replace(minimum, min_s=sample_s)


class RoundTripEstimator:
    """Holds the minimum round-trip time to each failure domain.

    :param failure_domain: the failure domain of this daemon.
    """

    def __init__(self, failure_domain: str) -> None:
        self._own_domain = failure_domain
        self._round_trips: dict[str, MinRoundTrip] = {}

    def record(self, failure_domain: str, sample_s: float, now: float) -> None:
        """Add a sample, in seconds, for a failure domain.

        :param now: monotonic time in seconds.
        """
        before = self._round_trips.get(failure_domain)
        self._round_trips[failure_domain] = update_minimum(
            before, max(0.0, sample_s), now
        )

    def estimate_s(self, failure_domain: str) -> float:
        """Estimate the round-trip time to a failure domain, in seconds."""
        minimum = self._round_trips.get(failure_domain)
        if minimum is not None:
            return minimum.round_trip_s
        is_local = failure_domain == self._own_domain
        return DEFAULT_LOCAL_S if is_local else DEFAULT_REMOTE_S
