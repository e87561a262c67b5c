"""The owner's own measure of how long its upstream takes."""

from collections import abc
import contextlib
import itertools
import math
import statistics

from burdockdeal.measurement import decisions
from burdockdeal.measurement import state

_SERVER_ERROR = 500
_SMOOTHING = 0.2

#: Seconds without an answer after which the next one counts in full.
_MEMORY_S = 1.0


#: Take in the head of an answer, with its HTTP status.
Answered = abc.Callable[[int], None]


class Meter:
    """Measures the time of calls at the upstream, waits left out.

    :param clock: returns monotonic time in seconds.
    """

    def __init__(self, clock: abc.Callable[[], float]) -> None:
        self._clock = clock
        self._numbers = itertools.count()
        self._unanswered: dict[int, float] = {}
        self._usual_s = 0.0
        self._answered_at = 0.0
        self._failed_share = 0.0
        self._told: state.UpstreamLoad | None = None
        self._told_at = -math.inf
        self._slow_since: float | None = None
        self._listeners: list[abc.Callable[[], None]] = []

    def record_upstream_load(self, told: state.UpstreamLoad | None) -> None:
        """Take in what the upstream tells of its load, None for nothing."""
        if told is None:
            return
        now = self._clock()
        if told.slowdown < decisions.SLOW_FACTOR:
            self._slow_since = None
        elif self._slow_since is None:
            self._slow_since = now
        self._told = told
        self._told_at = now
        for listener in self._listeners:
            listener()

    def on_upstream_load(self, listener: abc.Callable[[], None]) -> None:
        """Call a function whenever the upstream tells its load."""
        self._listeners.append(listener)

    @property
    def is_slow(self) -> bool:
        """Whether its machine is slow at this moment, but not for long."""
        return decisions.is_slow_spell(
            self._slow_since, self.upstream_load_age_s, self._clock()
        )

    @property
    def upstream_load(self) -> state.UpstreamLoad | None:
        """What the upstream told last, None before the first time."""
        return self._told

    @property
    def upstream_load_age_s(self) -> float:
        """Seconds since the upstream last told its load."""
        return self._clock() - self._told_at

    @contextlib.contextmanager
    def track_call(self, *, timed: bool) -> abc.Iterator[Answered]:
        """Watch a call from its slot to the head of its answer.

        :param timed: whether the time tells something of the upstream;
            not if the caller's own body is awaited.
        :returns: the function to call with the status when the head has
            arrived.
        """
        number = next(self._numbers)
        if timed:
            self._unanswered[number] = self._clock()

        def answered(status: int) -> None:
            started = self._unanswered.pop(number, None)
            failed = status >= _SERVER_ERROR
            share = self._weigh()
            self._failed_share += share * (failed - self._failed_share)
            if started is not None and not failed:
                self._take(started, share)
            self._answered_at = self._clock()

        try:
            yield answered
        finally:
            self._unanswered.pop(number, None)

    def _weigh(self) -> float:
        quiet_s = self._clock() - self._answered_at
        return max(_SMOOTHING, 1 - math.exp(-quiet_s / _MEMORY_S))

    def _take(self, started: float, share: float) -> None:
        spent_s = self._clock() - started
        before = self._usual_s or spent_s
        self._usual_s = before + share * (spent_s - before)

    @property
    def failed_share(self) -> float:
        """The share of recent answers that were server errors."""
        return round(self._failed_share, 3)

    def service_ms(self) -> float:
        """Tell the time of a call at the upstream, in milliseconds.

        Two or more that are unanswered count with their age, so that a
        sudden slowdown shows before the first slow answer; one alone may
        be a long one.
        """
        if len(self._unanswered) < 2:
            return round(self._usual_s * 1000, 3)
        middle = statistics.median_high(self._unanswered.values())
        age_s = self._clock() - middle
        return round(max(self._usual_s, age_s) * 1000, 3)
