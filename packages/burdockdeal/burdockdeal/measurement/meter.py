"""Measurement of the upstream beside this daemon from the calls to it."""

import collections
from collections import abc
import contextlib
import dataclasses
import itertools
import math
import statistics

from burdockdeal.measurement import slowness
from burdockdeal.measurement import state

_SERVER_ERROR = 500
_SMOOTHING = 0.2

#: Seconds for which the load that an upstream reported is used to decide
#: whether its machine is slow.
UPSTREAM_LOAD_TTL_S = 0.06

#: The weight of the next answer in the usual time of a rank, and the maximum
#: number of ranks whose usual time is kept.
_USUAL_SMOOTHING = 0.02
_MAX_RANKS = 1000

#: The number of latest answers whose median is reported, so that a single
#: long call changes nothing, and the seconds for which an answer counts.
_RECENT_ANSWERS = 5
_RECENT_S = 2.0

#: The time constant, in seconds, with which the weight of the next answer
#: rises towards 1 while no answer arrives.
_IDLE_WEIGHT_S = 1.0


#: Record that the head of a response arrived, with its HTTP status.
RecordStatus = abc.Callable[[int], None]


@dataclasses.dataclass(frozen=True, slots=True)
class UsualTime:
    """The usual service time of a kind of call.

    :param calls: the number of calls that were measured.
    :param mean_s: their smoothed mean, in seconds.
    """

    calls: int = 0
    mean_s: float = 0.0


def record_usual(usual: UsualTime, spent_s: float) -> UsualTime:
    """Return the usual time after one more call."""
    calls = usual.calls + 1
    weight = max(1 / calls, _USUAL_SMOOTHING)
    return UsualTime(calls, usual.mean_s + weight * (spent_s - usual.mean_s))


@dataclasses.dataclass(frozen=True, slots=True)
class _Comparison:
    """How many times as long as usual for its rank a call took."""

    at: float
    factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Unanswered:
    rank: str
    started: float


class Meter:
    """Measures the service time and failures of one upstream.

    The time a call waits for its slot is left out. The meter also holds the
    load that the upstream last reported of itself.

    The calls of one service may differ widely in the time that they take, so
    each is compared with the usual time of its rank. Otherwise an instance
    that has just run a long kind of call would look slower than the others.

    :param clock: returns monotonic time in seconds.
    """

    def __init__(self, clock: abc.Callable[[], float]) -> None:
        self._clock = clock
        self._numbers = itertools.count()
        self._unanswered: dict[int, _Unanswered] = {}
        self._usual_by_rank: dict[str, UsualTime] = {}
        self._usual = UsualTime()
        self._recent: collections.deque[_Comparison] = collections.deque(
            maxlen=_RECENT_ANSWERS
        )
        self._answered_at = 0.0
        self._failed_share = 0.0
        self._upstream_load: state.UpstreamLoad | None = None
        self._upstream_load_at = -math.inf
        self._speeds: tuple[slowness.Observation, ...] = ()
        self._listeners: list[abc.Callable[[], None]] = []

    def record_upstream_load(self, load: state.UpstreamLoad | None) -> None:
        """Record the load that the upstream reported.

        :param load: None if a response or a query brought no report.
        """
        if load is None:
            return
        now = self._clock()
        self._speeds = slowness.record(self._speeds, load.slowdown, now)
        self._upstream_load = load
        self._upstream_load_at = now
        for listener in self._listeners:
            listener()

    def on_upstream_load(self, listener: abc.Callable[[], None]) -> None:
        """Call a function after each report of the upstream's load."""
        self._listeners.append(listener)

    @property
    def is_slow(self) -> bool:
        """Whether the upstream's machine is slow for a moment."""
        load = self._upstream_load
        if load is None or self.upstream_load_age_s > UPSTREAM_LOAD_TTL_S:
            return False
        return slowness.is_slow(self._speeds, load.slowdown)

    @property
    def upstream_load(self) -> state.UpstreamLoad | None:
        """The load last reported, None before the first report."""
        return self._upstream_load

    @property
    def upstream_load_age_s(self) -> float:
        """Seconds since the last report; infinite before the first."""
        return self._clock() - self._upstream_load_at

    @contextlib.contextmanager
    def track_call(
        self, *, timed: bool, rank: str = ""
    ) -> abc.Iterator[RecordStatus]:
        """Track a call from its start to the head of its response.

        :param timed: whether the time measures the upstream. It doesn't if
            the upstream waits for a body that the caller still sends.
        :param rank: the call's rank.
        :returns: the function to call with the status when the head of the
            response has arrived.
        """
        number = next(self._numbers)
        if timed:
            self._unanswered[number] = _Unanswered(rank, self._clock())

        def record_status(status: int) -> None:
            timed_call = self._unanswered.pop(number, None)
            failed = status >= _SERVER_ERROR
            weight = self._compute_weight()
            self._failed_share += weight * (failed - self._failed_share)
            if timed_call is not None and not failed:
                self._record_duration(timed_call)
            self._answered_at = self._clock()

        try:
            yield record_status
        finally:
            self._unanswered.pop(number, None)

    def _compute_weight(self) -> float:
        idle_s = self._clock() - self._answered_at
        return max(_SMOOTHING, 1 - math.exp(-idle_s / _IDLE_WEIGHT_S))

    def _record_duration(self, answered: _Unanswered) -> None:
        now = self._clock()
        spent_s = now - answered.started
        if len(self._usual_by_rank) > _MAX_RANKS:
            self._usual_by_rank.clear()
        known = self._usual_by_rank.get(answered.rank, UsualTime())
        self._usual_by_rank[answered.rank] = record_usual(known, spent_s)
        self._usual = record_usual(self._usual, spent_s)
        while self._recent and now - self._recent[0].at > _RECENT_S:
            self._recent.popleft()
        self._recent.append(
            _Comparison(now, self._compare(answered.rank, spent_s))
        )

    def _compare(self, rank: str, spent_s: float) -> float:
        """Compare a time with the usual time of a rank."""
        usual = self._usual_by_rank.get(rank, self._usual)
        return spent_s / (usual.mean_s or 1.0)

    @property
    def failed_share(self) -> float:
        """The share of recent responses that were server errors."""
        return round(self._failed_share, 3)

    def service_ms(self) -> float:
        """Estimate the service time of a usual call, in milliseconds.

        If two or more calls are unanswered, the estimate is at least what
        the median of their ages suggests, so that a sudden slowdown shows
        before the first slow response. A single one is ignored: it may just
        be a long call.
        """
        factor = statistics.median_low(
            [each.factor for each in self._recent] or [0.0]
        )
        # Before the first answer, the age itself is all that is known.
        usual_s = self._usual.mean_s or 1.0
        if len(self._unanswered) >= 2:
            now = self._clock()
            overdue = statistics.median_low(
                self._compare(waiting.rank, now - waiting.started)
                for waiting in self._unanswered.values()
            )
            factor = max(factor, overdue)
        return round(factor * usual_s * 1000, 3)
