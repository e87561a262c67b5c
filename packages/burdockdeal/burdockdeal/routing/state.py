"""What an entry knows of the instances it may choose from."""

import dataclasses

from burdockdeal.membership import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The load that an owner puts on each answer.

    :param in_flight: calls in flight to its upstream, its own count.
    :param waiting: calls that wait at its gate.
    :param service_ms: recent median service time, in milliseconds.
    """

    in_flight: int
    waiting: int
    slots: int
    service_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """One instance as a policy sees it.

    :param local: whether it is in the entry's failure domain.
    :param sent: calls that this entry has in flight to it.
    :param report: the newest report, None before the first.
    :param report_age_s: seconds since the report arrived.
    :param latency_s: smoothed time to the answer's head, in seconds.
    """

    member: messages.Member
    local: bool
    sent: int
    report: Report | None
    report_age_s: float
    latency_s: float
