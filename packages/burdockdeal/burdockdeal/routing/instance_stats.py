"""Statistics of one instance, as seen by this daemon."""

import itertools

from burdockdeal.core import load_report
from burdockdeal.membership import messages
from burdockdeal.routing import state

_SMOOTHING = 0.2

#: Half-life of the penalty for a failure, in seconds.
FAILURE_HALF_LIFE_S = 1.0


class InstanceStats:
    """Holds the counts, timings and last report of one instance.

    :param member: the instance's membership record when it was first
        chosen; None for statistics that are not stored because the
        instance has departed.
    """

    def __init__(self, member: messages.Member | None) -> None:
        self.member = member
        self.outstanding = 0
        self.sent_since_report = 0
        self.latency_s = 0.0
        self.report: load_report.LoadReport | None = None
        self.reported_at = 0.0
        self.health = state.InstanceHealth()
        self.ejected_at_call = 0
        self._numbers = itertools.count()
        self._unanswered: dict[int, float] = {}
        self._latest_answered_start = 0.0
        self._failure_penalty = 0.0
        self._failed_at = 0.0

    def start_call(self, now: float, timed: bool) -> int:
        """Count a call as in flight.

        :param now: monotonic time in seconds.
        :param timed: whether the time to its response says something
            about the instance.
        :returns: the call's number, for record_response and end_call.
        """
        number = next(self._numbers)
        self.outstanding += 1
        self.sent_since_report += 1
        if timed:
            self._unanswered[number] = now
        return number

    def record_response(self, number: int, elapsed_s: float) -> None:
        """Record that the response headers of a call have arrived.

        :param elapsed_s: seconds since the call was sent.
        """
        started = self._unanswered.pop(number, None)
        if started is None:
            return
        self._latest_answered_start = max(self._latest_answered_start, started)
        before = self.latency_s or elapsed_s
        self.latency_s = before + _SMOOTHING * (elapsed_s - before)

    def end_call(self, number: int) -> None:
        """Count a call as finished."""
        self.outstanding -= 1
        self._unanswered.pop(number, None)

    def record_report(
        self, report: load_report.LoadReport, now: float
    ) -> None:
        """Store the latest load report and when it arrived."""
        self.report = report
        self.reported_at = now
        self.sent_since_report = 0

    def record_failure(self, calls: float, now: float) -> None:
        """Add a failure to the penalty.

        :param calls: the penalty, as a number of calls in flight.
        :param now: monotonic time in seconds.
        """
        self._failure_penalty = self.get_failure_penalty(now) + calls
        self._failed_at = now

    def get_failure_penalty(self, now: float) -> float:
        """Return the penalty left of past failures, as calls in flight."""
        if not self._failure_penalty:
            return 0.0
        half_lives = (now - self._failed_at) / FAILURE_HALF_LIFE_S
        if half_lives > 10:
            self._failure_penalty = 0.0
        return self._failure_penalty * 0.5**half_lives

    @property
    def unanswered(self) -> int:
        """The number of timed calls that still wait for response headers."""
        return len(self._unanswered)

    def get_unanswered_s(self, now: float) -> float:
        """Return for how long the oldest relevant call has had no response.

        Calls sent before a call that has been answered are ignored: the
        instance has responded since, so these are merely long calls.

        :param now: monotonic time in seconds.
        :returns: seconds, 0 if no such call is waiting.
        """
        for started in self._unanswered.values():
            if started > self._latest_answered_start:
                return now - started
        return 0.0
