"""Detection of upstreams that slow down when they are nearly full.

On such an upstream, a call that starts while most slots are taken is slower
until it ends, so a lower concurrency limit gives a higher throughput. The
detector compares how long these calls hold their slots with calls of the
same rank that started on a busy upstream with some slots free.

A daemon that has just started has no calls to compare, and those that piled
up meanwhile fill all slots at once: an upstream that slows down would then
stay slow for as long as they keep coming. So slots stay free from the start
where the service is known to slow down; see saturation_profiles.
"""

from collections import abc
import dataclasses

from burdockdeal.core import event_log

#: Share of the slots above which an upstream is nearly full.
FULL_SHARE = 0.8

#: Share of the slots above which calls count towards the baseline. Calls on
#: an upstream that is less busy are left out: the calls that the upstream
#: itself makes are faster then as well, whether it slows down or not.
BUSY_SHARE = 0.5

#: Calls of a rank that must have started on a busy upstream, and calls that
#: must have started on a nearly full one, before the two are compared.
MIN_BASELINE_CALLS = 10
MIN_CROWDED_CALLS = 30

#: The mean ratio of the time of a call on a nearly full upstream to the
#: baseline from which the number of slots in use is limited.
SATURATION_RATIO = 1.35

#: Seconds after which all slots are used again, to find out whether the
#: upstream still slows down.
RETEST_INTERVAL_S = 30.0

_SMOOTHING = 0.1
_MIN_SMOOTHING = 0.02
_MAX_WEIGHT = 50
_MAX_RATIO = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """How much slower calls are that started on nearly full upstreams.

    :param calls: how many such calls were seen.
    :param ratio: the mean of their time in relation to the baseline.
    """

    calls: int = 0
    ratio: float = 1.0


def combine(all_evidence: abc.Iterable[Evidence]) -> Evidence:
    """Combine the evidence of the owners of one service's upstreams.

    The weight of each owner is its number of calls, up to a limit.
    """
    calls, taken = 0, 0.0
    for evidence in all_evidence:
        weight = min(evidence.calls, _MAX_WEIGHT)
        calls += weight
        taken += weight * evidence.ratio
    return Evidence(calls, taken / calls) if calls else Evidence()


def shows_saturation(evidence: Evidence) -> bool:
    """Return whether upstreams slow down when they are nearly full."""
    enough = evidence.calls >= MIN_CROWDED_CALLS
    return enough and evidence.ratio >= SATURATION_RATIO


def limit(slots: int) -> int:
    """Return how many slots of an upstream that slows down are used."""
    return max(1, int(FULL_SHARE * slots))


class SaturationDetector:
    """Learns whether one upstream slows down when it is nearly full."""

    def __init__(self) -> None:
        self._baseline_s: dict[str, float] = {}
        self._baseline_calls: dict[str, int] = {}
        self._limited_since: float | None = None
        self._is_retesting = False
        self.evidence = Evidence()

    def record(
        self, rank: str, held_s: float, now: float, *, fill: float
    ) -> None:
        """Record how long a call held its slot.

        :param held_s: seconds.
        :param now: monotonic time in seconds.
        :param fill: the share of the slots that were taken when the call
            started, including its own.
        """
        if fill <= BUSY_SHARE:
            return
        if fill <= FULL_SHARE:
            before = self._baseline_s.get(rank, held_s)
            self._baseline_s[rank] = before + _SMOOTHING * (held_s - before)
            self._baseline_calls[rank] = self._baseline_calls.get(rank, 0) + 1
            return
        if self._baseline_calls.get(rank, 0) < MIN_BASELINE_CALLS:
            return
        ratio = min(_MAX_RATIO, held_s / max(1e-6, self._baseline_s[rank]))
        calls = self.evidence.calls + 1
        share = max(1 / calls, _MIN_SMOOTHING)
        before = self.evidence.ratio
        self.evidence = Evidence(calls, before + share * (ratio - before))

    def limit_slots(
        self,
        slots: int,
        now: float,
        others: abc.Iterable[Evidence] = (),
        *,
        presumes: bool = False,
    ) -> int:
        """Return how many of the slots to use.

        :param now: monotonic time in seconds.
        :param others: the evidence of the owners of the service's other
            upstreams; ignored during a retest of this one.
        :param presumes: whether the upstream is taken to slow down as long
            as there is too little evidence.
        """
        shared = () if self._is_retesting else others
        evidence = combine((self.evidence, *shared))
        is_presumed = (
            presumes
            and not self._is_retesting
            and evidence.calls < MIN_CROWDED_CALLS
        )
        if not is_presumed and not shows_saturation(evidence):
            self._limited_since = None
            return slots
        if self._limited_since is None:
            self._start_limiting(now)
        elif now - self._limited_since > RETEST_INTERVAL_S:
            self._start_retest()
            return slots
        return limit(slots)

    def _start_limiting(self, now: float) -> None:
        self._limited_since = now
        self._is_retesting = False
        event_log.record(
            "upstream_saturated",
            calls=self.evidence.calls,
            ratio=round(self.evidence.ratio, 2),
        )

    def _start_retest(self) -> None:
        self._limited_since = None
        self._is_retesting = True
        self.evidence = Evidence()
        event_log.record("upstream_saturation_retest")
