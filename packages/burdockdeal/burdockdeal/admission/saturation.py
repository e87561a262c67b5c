"""Learning whether an upstream slows down when it is nearly full.

Some upstreams do: what starts when most slots are taken is slower to its
end, so that fewer calls at once get more done. Whether this one does shows
in how long calls hold their slots, against calls of the same rank that
started on a busy upstream with some room left.
"""

from collections import abc
import dataclasses

from burdockdeal.core import event_log

#: Share of the slots beyond which an upstream is nearly full.
FULL_SHARE = 0.8

#: Share of the slots beyond which starts are compared with those on a nearly
#: full upstream. On an idle one, the calls that an upstream itself makes are
#: faster as well, whether it slows down or not.
BUSY_SHARE = 0.5

#: Calls of a rank that must have started on a busy upstream, and calls that
#: started on a nearly full one, before the two are compared.
LEAST_USUAL = 10
LEAST_CROWDED = 30

#: How many times as long as usual a crowded start takes, at the mean, from
#: which on the upstream is not filled.
SLOWER_FACTOR = 1.35

#: Seconds after which it is filled again, to see whether that still holds.
TRIAL_S = 30.0

#: Seconds for which what the owners of the same service found is believed.
TOLD_S = 60.0

_SMOOTHING = 0.1
_LEAST_SHARE = 0.02
_MOST_WEIGHT = 50
_MOST_RATIO = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What calls that started on nearly full upstreams show.

    :param calls: how many they are.
    :param ratio: how many times as long as usual they took, at the mean.
    """

    calls: int = 0
    ratio: float = 1.0


def pool(all_evidence: abc.Iterable[Evidence]) -> Evidence:
    """Pool what the owners of a service's upstreams saw."""
    calls, taken = 0, 0.0
    for evidence in all_evidence:
        weight = min(evidence.calls, _MOST_WEIGHT)
        calls += weight
        taken += weight * evidence.ratio
    return Evidence(calls, taken / calls) if calls else Evidence()


def shows_crowding(evidence: Evidence) -> bool:
    """Tell whether upstreams slow down when they are nearly full."""
    enough = evidence.calls >= LEAST_CROWDED
    return enough and evidence.ratio >= SLOWER_FACTOR


class SaturationDetector:
    """Holds what was learned of one upstream."""

    def __init__(self) -> None:
        self._usual_s: dict[str, float] = {}
        self._usual_calls: dict[str, int] = {}
        self._bound_since: float | None = None
        self._trying = False
        self.evidence = Evidence()

    def note(
        self, rank: str, held_s: float, now: float, *, fill: float
    ) -> None:
        """Take in how long a call held its slot.

        :param fill: the share of the slots that were taken when it started,
            its own among them.
        """
        if fill <= BUSY_SHARE:
            return
        if fill <= FULL_SHARE:
            before = self._usual_s.get(rank, held_s)
            self._usual_s[rank] = before + _SMOOTHING * (held_s - before)
            self._usual_calls[rank] = self._usual_calls.get(rank, 0) + 1
            return
        if self._usual_calls.get(rank, 0) < LEAST_USUAL:
            return
        ratio = min(_MOST_RATIO, held_s / max(1e-6, self._usual_s[rank]))
        calls = self.evidence.calls + 1
        share = max(1 / calls, _LEAST_SHARE)
        before = self.evidence.ratio
        self.evidence = Evidence(calls, before + share * (ratio - before))

    def limit_slots(
        self, slots: int, now: float, others: abc.Iterable[Evidence] = ()
    ) -> int:
        """Tell how many of the slots to use.

        :param others: what the owners of the service's other upstreams saw;
            left out while this one is tried again.
        """
        known = () if self._trying else others
        if not shows_crowding(pool((self.evidence, *known))):
            self._bound_since = None
            return slots
        if self._bound_since is None:
            self._begin(now)
        elif now - self._bound_since > TRIAL_S:
            self._try_again()
            return slots
        return max(1, int(FULL_SHARE * slots))

    def _begin(self, now: float) -> None:
        self._bound_since = now
        self._trying = False
        event_log.record(
            "upstream_crowds",
            calls=self.evidence.calls,
            ratio=round(self.evidence.ratio, 2),
        )

    def _try_again(self) -> None:
        self._bound_since = None
        self._trying = True
        self.evidence = Evidence()
        event_log.record("upstream_crowds_tried_again")
