"""Lower bounds of the monotonic clocks of other daemons."""

from collections import abc
import dataclasses

from burdockdeal.bookings import decisions

#: Maximum number of remembered clocks; the one recorded least recently is
#: evicted first.
_MAX_CLOCKS = 5000

#: Seconds after which an offset is too inaccurate to be used.
MAX_AGE_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Offset:
    """Lower bound of how far another clock is ahead of this process's.

    :param seconds: the other clock minus this process's clock.
    :param at: time on this process's clock when it was recorded, in seconds.
    """

    seconds: float
    at: float


class PeerClocks:
    """Estimates the clocks of other daemons.

    :param clock: returns this process's monotonic time in seconds.
    """

    def __init__(self, clock: abc.Callable[[], float]) -> None:
        self._clock = clock
        self._offsets: dict[tuple[str, int], Offset] = {}

    def record(self, daemon: str, incarnation: int, reading: float) -> None:
        """Record a reading of another daemon's clock.

        :param daemon: name of that daemon.
        :param incarnation: its incarnation.
        :param reading: its monotonic time when it responded, in seconds.
        """
        now = self._clock()
        key = (daemon, incarnation)
        known = self._offsets.pop(key, None)
        best = decisions.choose_offset(
            known.seconds if known else None,
            now - known.at if known else 0.0,
            reading - now,
        )
        self._offsets[key] = Offset(best, now)
        if len(self._offsets) > _MAX_CLOCKS:
            del self._offsets[next(iter(self._offsets))]

    def estimate(self, daemon: str, incarnation: int) -> float | None:
        """Return a lower bound of another daemon's clock at this moment.

        :returns: seconds, None if the latest reading is older than
            MAX_AGE_S or there is none.
        """
        now = self._clock()
        offset = self._offsets.get((daemon, incarnation))
        if offset is None or now - offset.at > MAX_AGE_S:
            return None
        return (
            now
            + offset.seconds
            - decisions.MAX_CLOCK_DRIFT * (now - offset.at)
        )
