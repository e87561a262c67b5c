"""The load of an instance, as daemons tell it to each other."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """The load of an instance, as its daemon reports it with each response.

    :param in_flight: calls in flight from that daemon to its upstream.
    :param waiting: calls that wait for admission.
    :param slots: the current concurrency limit of the upstream.
    :param service_ms: recent service time of a call at the upstream, in
        milliseconds, including calls still unanswered; 0 before the first.
    :param spent_ms: time that the daemon held the call that this report
        was sent with, in milliseconds.
    :param failed_share: share of the upstream's recent responses that were
        server errors.
    :param slowdown: factor by which its machine is slower than usual,
        as last measured.
    :param slowdown_age_ms: milliseconds since that measurement.
    :param crowded_calls: number of calls that started while the upstream
        was close to its concurrency limit.
    :param crowded_ratio: factor by which these calls took longer than
        usual.
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
