"""Learning whether an upstream slows down when it is nearly full.

Some upstreams do: what starts when most slots are taken is slower to its
end, so that fewer calls at once get more done. Whether this one does shows
in how long calls hold their slots, against calls of the same rank that
started with room to spare.
"""

import math

#: Share of the slots beyond which an upstream is nearly full.
FULL_SHARE = 0.8

#: Calls of a rank that must have started with room to spare, and calls that
#: started without, before the two are compared.
LEAST_USUAL = 10
LEAST_CROWDED = 20

#: How many times as long as usual a crowded start takes, at the mean, from
#: which on the upstream is not filled.
SLOWER_FACTOR = 1.35

#: Seconds after which it is filled again, to see whether that still holds.
TRIAL_S = 30.0

#: Seconds for which what the owners of the same service found is believed.
TOLD_S = 60.0

_SMOOTHING = 0.1
_LEAST_SHARE = 0.02
_MOST_RATIO = 4.0


def is_crowded(running: int, slots: int) -> bool:
    """Tell whether a call starts on an upstream that is nearly full.

    :param running: calls in flight, the one that starts among them.
    """
    return running > FULL_SHARE * slots


class Knee:
    """Holds what was learned of one upstream."""

    def __init__(self) -> None:
        self._usual_s: dict[str, float] = {}
        self._usual_calls: dict[str, int] = {}
        self._crowded_calls = 0
        self._ratio = 1.0
        self._found_at: float | None = None
        self._trying = False

    @property
    def found(self) -> bool:
        """Whether this upstream was seen to slow down when nearly full."""
        return self._found_at is not None

    def note(
        self, rank: str, held_s: float, now: float, *, crowded: bool
    ) -> None:
        """Take in how long a call held its slot.

        :param crowded: whether it started on a nearly full upstream.
        """
        if not crowded:
            before = self._usual_s.get(rank, held_s)
            self._usual_s[rank] = before + _SMOOTHING * (held_s - before)
            self._usual_calls[rank] = self._usual_calls.get(rank, 0) + 1
            return
        if self._usual_calls.get(rank, 0) < LEAST_USUAL:
            return
        ratio = min(_MOST_RATIO, held_s / max(1e-6, self._usual_s[rank]))
        self._crowded_calls += 1
        share = max(1 / self._crowded_calls, _LEAST_SHARE)
        self._ratio += share * (ratio - self._ratio)
        found = (
            self._crowded_calls >= LEAST_CROWDED
            and self._ratio >= SLOWER_FACTOR
        )
        if found and self._found_at is None:
            self._found_at = now
            self._trying = False

    def bound(self, slots: int, now: float, told_s: float = math.inf) -> int:
        """Tell how many of the slots to use.

        :param told_s: seconds since the owner of another upstream of the
            service told that its own slows down; believed until this one
            has been tried.
        """
        if self._found_at is None:
            if told_s > TOLD_S or self._trying:
                return slots
            return max(1, int(FULL_SHARE * slots))
        if now - self._found_at > TRIAL_S:
            self._trying = True
            self._found_at = None
            self._crowded_calls = 0
            self._ratio = 1.0
            return slots
        return max(1, int(FULL_SHARE * slots))
