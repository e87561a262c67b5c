"""The owner's own measure of how long its upstream takes."""

from collections import abc
import contextlib
import itertools
import math
import statistics

_SMOOTHING = 0.2

#: Seconds without an answer after which the next one counts in full.
_MEMORY_S = 1.0


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

    @contextlib.contextmanager
    def watch(self, *, timed: bool) -> abc.Iterator[abc.Callable[[], None]]:
        """Watch a call from its slot to the head of its answer.

        :param timed: whether the time tells something of the upstream;
            not if the caller's own body is awaited.
        :returns: the function to call when the head has arrived.
        """
        number = next(self._numbers)
        if timed:
            self._unanswered[number] = self._clock()

        def answered() -> None:
            started = self._unanswered.pop(number, None)
            if started is not None:
                self._take(started)

        try:
            yield answered
        finally:
            self._unanswered.pop(number, None)

    def _take(self, started: float) -> None:
        now = self._clock()
        spent_s = now - started
        quiet_s = now - self._answered_at
        share = max(_SMOOTHING, 1 - math.exp(-quiet_s / _MEMORY_S))
        before = self._usual_s or spent_s
        self._usual_s = before + share * (spent_s - before)
        self._answered_at = now

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
