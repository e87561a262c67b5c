"""The pace of starts on an upstream that is cold."""

from collections import abc
import math

from burdockdeal.admission import cold_start
from burdockdeal.admission import state
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.core import verdict


class Pacer:
    """Counts the starts on the upstream and those that are reserved.

    A call reserves a start with its slot, since it may wait between the two,
    for a claim in the store for example.

    :param clock: returns monotonic time in seconds.
    :param get_pace: returns the current pace, None if there is none.
    """

    def __init__(
        self,
        clock: abc.Callable[[], float],
        get_pace: abc.Callable[[], state.Pace | None],
    ) -> None:
        self._clock = clock
        self._get_pace = get_pace
        self._times: tuple[float, ...] = ()
        self._reserved: set[int] = set()
        self._was_cold = False

    def get_starts(self, pace: state.Pace | None) -> state.Starts:
        """Return the recent starts.

        :param pace: the current pace, None if there is none.
        """
        return state.Starts(pace, self._times, len(self._reserved))

    def reserve(self, number: int) -> None:
        """Reserve a start for a call that gets a slot."""
        self._reserved.add(number)

    def release(self, number: int) -> None:
        """Release the start of a call that ends, if it has not started."""
        self._reserved.discard(number)

    def start(self, number: int) -> None:
        """Record that a call starts.

        :raises NotRunError: if the upstream has turned cold since the call
            got its slot, and too many calls have started.
        """
        self.release(number)
        pace, now = self._get_pace(), self._clock()
        if pace is None:
            return
        if not cold_start.may_start(state.Starts(pace, self._times), now):
            raise errors.NotRunError(verdict.Reason.COLD)
        self._times = cold_start.record_start(self._times, pace, now)

    def log_change(self) -> None:
        """Log whether the upstream has become cold or warm."""
        pace, now = self._get_pace(), self._clock()
        is_cold = pace is not None and pace.is_cold(now)
        if is_cold is self._was_cold:
            return
        self._was_cold = is_cold
        if not is_cold:
            event_log.record("upstream_warm")
            return
        remaining_s = pace.cold_until - now
        event_log.record(
            "upstream_cold",
            remaining_ms=round(remaining_s * 1000)
            if math.isfinite(remaining_s)
            else None,
            starts_per_s=pace.starts_per_s,
        )
