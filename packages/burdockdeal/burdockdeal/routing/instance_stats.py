"""Counts of one instance, as one entry sees it."""

import itertools

from burdockdeal.membership import messages
from burdockdeal.routing import state

_SMOOTHING = 0.2

#: Seconds after which a failure counts for half.
FAILURE_HALF_LIFE_S = 1.0


class Tally:
    """Holds what an entry knows of one instance.

    :param member: the instance's record when it was first chosen, None
        for an instance that is forgotten.
    """

    def __init__(self, member: messages.Member | None) -> None:
        self.member = member
        self.sent = 0
        self.sent_since = 0
        self.latency_s = 0.0
        self.report: state.LoadReport | None = None
        self.reported_at = 0.0
        self.health = state.InstanceHealth()
        self.ejected_at_call = 0
        self._numbers = itertools.count()
        self._unanswered: dict[int, float] = {}
        self._newest_answered = 0.0
        self._failure_load = 0.0
        self._failed_at = 0.0

    def begin(self, now: float, timed: bool) -> int:
        """Count a call as sent.

        :param timed: whether the time to its answer tells something.
        :returns: its number.
        """
        number = next(self._numbers)
        self.sent += 1
        self.sent_since += 1
        if timed:
            self._unanswered[number] = now
        return number

    def answer(self, number: int, elapsed_s: float) -> None:
        """Take in that the head of an answer has arrived."""
        started = self._unanswered.pop(number, None)
        if started is None:
            return
        self._newest_answered = max(self._newest_answered, started)
        before = self.latency_s or elapsed_s
        self.latency_s = before + _SMOOTHING * (elapsed_s - before)

    def end(self, number: int) -> None:
        """Count a call as no longer in flight."""
        self.sent -= 1
        self._unanswered.pop(number, None)

    def take(self, report: state.LoadReport, now: float) -> None:
        """Take in an owner's report."""
        self.report = report
        self.reported_at = now
        self.sent_since = 0

    def fail(self, calls: float, now: float) -> None:
        """Count a failure as calls in flight."""
        self._failure_load = self.failure_load(now) + calls
        self._failed_at = now

    def failure_load(self, now: float) -> float:
        """Tell what failures still count for, as calls in flight."""
        if not self._failure_load:
            return 0.0
        halves = (now - self._failed_at) / FAILURE_HALF_LIFE_S
        if halves > 10:
            self._failure_load = 0.0
        return self._failure_load * 0.5**halves

    @property
    def unanswered(self) -> int:
        """How many calls wait for the head of an answer."""
        return len(self._unanswered)

    def silent_s(self, now: float) -> float:
        """Tell for how long calls have waited without any answer.

        A call that later ones have overtaken is a long one, and tells
        nothing of the instance.
        """
        for started in self._unanswered.values():
            if started > self._newest_answered:
                return now - started
        return 0.0
