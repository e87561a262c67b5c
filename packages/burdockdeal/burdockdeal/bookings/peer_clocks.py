"""What the clocks of other daemons show, as lower bounds."""

from collections import abc
import dataclasses

from burdockdeal.bookings import decisions

#: Daemons whose clocks are remembered; the oldest goes first.
_LIMIT = 5000

#: Seconds after which an offset is too loose to be used.
MAX_AGE_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Offset:
    """How far another clock is ahead, at the least.

    :param seconds: the other clock less the own.
    :param at: the own clock when it was learned, in seconds.
    """

    seconds: float
    at: float


class PeerClocks:
    """Holds the offsets of other daemons' clocks.

    :param clock: returns the own monotonic time in seconds.
    """

    def __init__(self, clock: abc.Callable[[], float]) -> None:
        self._clock = clock
        self._offsets: dict[tuple[str, int], Offset] = {}

    def record(self, daemon: str, incarnation: int, theirs: float) -> None:
        """Take in what another daemon's clock showed when it answered."""
        now = self._clock()
        name = (daemon, incarnation)
        known = self._offsets.pop(name, None)
        best = decisions.better_offset(
            known.seconds if known else None,
            now - known.at if known else 0.0,
            theirs - now,
        )
        self._offsets[name] = Offset(best, now)
        if len(self._offsets) > _LIMIT:
            del self._offsets[next(iter(self._offsets))]

    def estimate(self, daemon: str, incarnation: int) -> float | None:
        """Tell what another daemon's clock shows now, at the least.

        :returns: seconds, None if that clock was not heard of late.
        """
        now = self._clock()
        offset = self._offsets.get((daemon, incarnation))
        if offset is None or now - offset.at > MAX_AGE_S:
            return None
        return now + offset.seconds - decisions.DRIFT * (now - offset.at)
