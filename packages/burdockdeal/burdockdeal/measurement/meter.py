"""Measurement of the upstream beside this daemon from the calls to it."""

from collections import abc
import contextlib
import itertools
import math
import statistics

from burdockdeal.measurement import decisions
from burdockdeal.measurement import state

_SERVER_ERROR = 500
_SMOOTHING = 0.2

#: The time constant, in seconds, with which the weight of the next answer
#: rises towards 1 while no answer arrives.
_IDLE_WEIGHT_S = 1.0


#: Record that the head of a response arrived, with its HTTP status.
RecordStatus = abc.Callable[[int], None]


class Meter:
    """Measures the service time and failures of one upstream.

    The time a call waits for its slot is left out. The meter also holds the
    load that the upstream last reported of itself.

    :param clock: returns monotonic time in seconds.
    """

    def __init__(self, clock: abc.Callable[[], float]) -> None:
        self._clock = clock
        self._numbers = itertools.count()
        self._unanswered: dict[int, float] = {}
        self._smoothed_s = 0.0
        self._answered_at = 0.0
        self._failed_share = 0.0
        self._upstream_load: state.UpstreamLoad | None = None
        self._upstream_load_at = -math.inf
        self._slow_since: float | None = None
        self._listeners: list[abc.Callable[[], None]] = []

    def record_upstream_load(self, load: state.UpstreamLoad | None) -> None:
        """Record the load that the upstream reported.

        :param load: None if a response or a query brought no report.
        """
        if load is None:
            return
        now = self._clock()
        if load.slowdown < decisions.SLOW_FACTOR:
            self._slow_since = None
        elif self._slow_since is None:
            self._slow_since = now
        self._upstream_load = load
        self._upstream_load_at = now
        for listener in self._listeners:
            listener()

    def on_upstream_load(self, listener: abc.Callable[[], None]) -> None:
        """Call a function after each report of the upstream's load."""
        self._listeners.append(listener)

    @property
    def is_slow(self) -> bool:
        """Whether the upstream's machine became slow only a short time ago."""
        return decisions.is_briefly_slow(
            self._slow_since, self.upstream_load_age_s, self._clock()
        )

    @property
    def upstream_load(self) -> state.UpstreamLoad | None:
        """The load last reported, None before the first report."""
        return self._upstream_load

    @property
    def upstream_load_age_s(self) -> float:
        """Seconds since the last report; infinite before the first."""
        return self._clock() - self._upstream_load_at

    @contextlib.contextmanager
    def track_call(self, *, timed: bool) -> abc.Iterator[RecordStatus]:
        """Track a call from its start to the head of its response.

        :param timed: whether the time measures the upstream. It doesn't if
            the upstream waits for a body that the caller still sends.
        :returns: the function to call with the status when the head of the
            response has arrived.
        """
        number = next(self._numbers)
        if timed:
            self._unanswered[number] = self._clock()

        def record_status(status: int) -> None:
            started = self._unanswered.pop(number, None)
            failed = status >= _SERVER_ERROR
            weight = self._compute_weight()
            self._failed_share += weight * (failed - self._failed_share)
            if started is not None and not failed:
                self._record_duration(started, weight)
            self._answered_at = self._clock()

        try:
            yield record_status
        finally:
            self._unanswered.pop(number, None)

    def _compute_weight(self) -> float:
        idle_s = self._clock() - self._answered_at
        return max(_SMOOTHING, 1 - math.exp(-idle_s / _IDLE_WEIGHT_S))

    def _record_duration(self, started: float, weight: float) -> None:
        spent_s = self._clock() - started
        before = self._smoothed_s or spent_s
        self._smoothed_s = before + weight * (spent_s - before)

    @property
    def failed_share(self) -> float:
        """The share of recent responses that were server errors."""
        return round(self._failed_share, 3)

    def service_ms(self) -> float:
        """Estimate the service time of a call, in milliseconds.

        If two or more calls are unanswered, the estimate is at least their
        median age, so that a sudden slowdown shows before the first slow
        response. A single one is ignored: it may just be a long call.
        """
        if len(self._unanswered) < 2:
            return round(self._smoothed_s * 1000, 3)
        median_start = statistics.median_high(self._unanswered.values())
        age_s = self._clock() - median_start
        return round(max(self._smoothed_s, age_s) * 1000, 3)
