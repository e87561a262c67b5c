"""What an entry knows of the instances it may choose from."""

import dataclasses

from burdockdeal.membership import messages


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that an owner puts on each answer.

    :param in_flight: calls in flight to its upstream, its own count.
    :param waiting: calls that wait at its gate.
    :param slots: calls that the upstream may run at once now.
    :param service_ms: recent time of one call at the upstream, in
        milliseconds, calls that are still unanswered included; 0 before
        the first.
    :param spent_ms: time that the owner held the call that this report
        answers, in milliseconds.
    :param failed_share: share of the upstream's recent answers that were
        server errors.
    :param slowdown: how many times as long as usual work takes on its
        machine, as it was last told.
    :param slowdown_age_ms: milliseconds since that was told.
    :param crowded_calls: calls that its owner saw start on it while it was
        nearly full.
    :param crowded_ratio: how many times as long as usual they took.
    """

    in_flight: int
    waiting: int
    slots: int
    service_ms: float = 0.0
    spent_ms: float = 0.0
    failed_share: float = 0.0
    slowdown: float = 1.0
    slowdown_age_ms: float = 60_000.0
    crowded_calls: int = 0
    crowded_ratio: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceHealth:
    """What is held against an instance.

    :param streak: failures in a row.
    :param lags: calls in a row that took far too long.
    :param ejections: ejections in a row, each longer than the last.
    :param ejected_until: monotonic time in seconds, 0 if never ejected.
    :param allowance: calls that this entry may have in flight to it while
        it is let back, None without a bound.
    """

    streak: int = 0
    lags: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    allowance: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Norm:
    """What is usual among the instances of a service.

    :param service_s: usual time of one call at an upstream, in seconds.
    :param fill: usual share of the slots that are taken.
    :param answer_s: usual time to an answer without the link, in seconds;
        0 before the first.
    :param deviation_s: how far answers are from that, in seconds.
    """

    service_s: float = 0.005
    fill: float = 0.0
    answer_s: float = 0.0
    deviation_s: float = 0.0025


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """One instance as a policy sees it.

    :param local: whether it is in the entry's failure domain.
    :param sent: calls that this entry has in flight to it.
    :param report: the newest report, None before the first.
    :param report_age_s: seconds since the report arrived.
    :param latency_s: smoothed time to the answer's head, in seconds.
    :param link_s: round trip to its failure domain, in seconds.
    :param silent_s: seconds that calls have waited without any answer.
    :param unanswered: how many calls wait so.
    :param sent_since: calls sent to it since the report arrived.
    :param failure_load: recent failures, as calls in flight.
    :param spared: calls to the service since it was ejected.
    """

    member: messages.Member
    local: bool
    sent: int
    report: LoadReport | None
    report_age_s: float
    latency_s: float
    link_s: float = 0.0
    silent_s: float = 0.0
    unanswered: int = 0
    sent_since: int = 0
    failure_load: float = 0.0
    health: InstanceHealth = InstanceHealth()
    spared: int = 0
