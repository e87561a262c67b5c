"""The state that routing keeps of instances and services."""

import dataclasses

from burdockdeal.core import load_report
from burdockdeal.membership import messages


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceHealth:
    """The failures, slow calls and ejections of an instance.

    :param consecutive_failures: failures in a row.
    :param consecutive_slow: calls in a row that were far too slow.
    :param ejections: ejections in a row, each longer than the last.
    :param ejected_until: monotonic time in seconds, 0 if never ejected.
    :param readmission_limit: maximum number of calls that this daemon may
        have in flight to an instance that is being readmitted; None
        without a limit.
    """

    consecutive_failures: int = 0
    consecutive_slow: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    readmission_limit: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Baseline:
    """The usual times and utilization of the instances of a service.

    :param service_s: usual service time of a call at an upstream, in
        seconds.
    :param utilization: usual number of calls running or waiting, as a
        share of the slots.
    :param response_s: usual time to the response headers without the round
        trip, in seconds; 0 before the first.
    :param deviation_s: mean deviation from response_s, in seconds.
    """

    service_s: float = 0.005
    utilization: float = 0.0
    response_s: float = 0.0
    deviation_s: float = 0.0025


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """A snapshot of one instance, as a routing policy sees it.

    :param member: its membership record.
    :param is_local: whether it is in this daemon's failure domain.
    :param is_in_region: whether it is in this daemon's region.
    :param outstanding: calls that this daemon has in flight to it.
    :param report: the latest load report, None before the first.
    :param report_age_s: seconds since the report arrived.
    :param latency_s: smoothed time to the response headers, in seconds.
    :param round_trip_s: round-trip time to its failure domain, in seconds.
    :param unanswered_s: seconds that the oldest call has waited without
        any response since; see InstanceStats.get_unanswered_s.
    :param unanswered: number of timed calls that wait for a response.
    :param sent_since_report: calls sent to it since the report arrived.
    :param failure_penalty: penalty for recent failures, as calls in flight.
    :param health: its failures and ejections.
    :param calls_since_ejection: calls to the service since it was ejected.
    """

    member: messages.Member
    is_local: bool
    outstanding: int
    report: load_report.LoadReport | None
    report_age_s: float
    latency_s: float
    round_trip_s: float = 0.0
    unanswered_s: float = 0.0
    unanswered: int = 0
    sent_since_report: int = 0
    failure_penalty: float = 0.0
    health: InstanceHealth = InstanceHealth()
    calls_since_ejection: int = 0
    is_in_region: bool = True
