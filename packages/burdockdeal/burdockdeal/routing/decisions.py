"""The hot/cold rule: ranks instances by estimated response time.

The estimate works on load reports that may be stale. The estimated wait at
an instance is a smooth function of its requests in flight. For a cold
instance, one with free slots, it is close to zero, so that latency and
round-trip time decide. For a hot one it is the length of the queue in
service times, so that the requests in flight decide. Prequal's rule (NSDI
2024) switches between the two at a hard threshold; here both are in
seconds, so that a busy instance near by can be compared with an idle one
far away.
"""

from collections import abc
import dataclasses
import math
import random

from burdockdeal.routing import ejection
from burdockdeal.routing import state

#: Half-life of a load report, in seconds. As a report ages, the usual
#: utilization of the service replaces it.
REPORT_HALF_LIFE_S = 0.5

#: Half-life of a reported service time, in seconds.
SERVICE_HALF_LIFE_S = 1.0

#: Calls sent since one report, as a share of the slots, after which the
#: report is ignored; the calls sent since it still count.
REPORT_REUSE_SHARE = 1.0

#: Maximum number of slots assumed before the first report of an instance.
UNREPORTED_SLOTS = 2

#: Uncertainty of the estimated requests in flight, as a share of the slots.
LOAD_UNCERTAINTY_SHARE = 0.2

#: Load penalty of a failure, as a multiple of the slots.
FAILURE_FACTOR = 2.0

#: Reported share of server errors from which on an instance is taken to be
#: failing, so that a single failure is enough to eject it.
FAILING_SHARE = 0.5

#: Calls to the service between two trial calls to an ejected instance,
#: while another instance has a free slot.
CALLS_PER_TRIAL = 100

#: Seconds after the end of an ejection from which on a trial call no longer
#: depends on the number of calls to the service.
MAX_TRIAL_WAIT_S = 8.0

#: Seconds after which a reported slowdown of a machine is ignored.
SLOWDOWN_TTL_S = 0.1

#: A reported service time within this factor of the baseline is taken to be
#: the baseline.
SERVICE_TIME_TOLERANCE = 1.5

#: Time without a response counts as delay from four deviations past the
#: expected response on, as in TCP's retransmission timer. An instance is too
#: slow from twice as many deviations, plus a margin in seconds, on.
WAIT_PENALTY_DEVIATIONS = 4.0
SLOW_DEVIATIONS = 8.0
SLOW_MARGIN_S = 0.01

#: Usual utilization of a service from which on a long wait says nothing
#: about a single instance.
SATURATED_UTILIZATION = 0.9

#: Smoothing factor for the usual response time and its deviation, the
#: maximum distance of a single sample from the mean in deviations, and the
#: minimum deviation.
_SMOOTHING = 0.1
_MAX_DEVIATIONS = 4.0
_MIN_DEVIATION_S = 0.0005

_JITTER_SHARE = 0.02

#: Penalty for a call to another failure domain, in seconds of waiting.
REMOTE_PENALTY_S = 0.015
REMOTE_PENALTY_S_PER_BYTE = 5e-6

#: Factor of that penalty for a call to another region. All calls between two
#: regions share one link, so that a body on it delays the others.
FAR_PENALTY_FACTOR = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """The expected load and response time of a call sent to an instance now.

    :param load: calls at the instance, with failure penalties as calls.
    :param slots: calls that the instance may run at once.
    :param wait_s: seconds until the call gets a slot.
    :param total_s: seconds until the response headers arrive.
    """

    load: float
    slots: int
    wait_s: float
    total_s: float

    @property
    def is_hot(self) -> bool:
        """Whether the instance has no free slot."""
        return self.load >= self.slots


def _weigh_report(view: state.View) -> float:
    report = view.report
    if report is None or not report.slots:
        return 0.0
    if view.sent_since_report >= max(1.0, report.slots * REPORT_REUSE_SHARE):
        return 0.0
    return 0.5 ** (view.report_age_s / REPORT_HALF_LIFE_S)


def _find_reported_penalty(view: state.View, slots: int) -> float:
    if view.report is None:
        return 0.0
    return view.report.failed_share * slots * FAILURE_FACTOR


def _estimate_load(
    view: state.View, baseline: state.Baseline, slots: int
) -> float:
    weight = _weigh_report(view)
    usual = baseline.utilization * slots
    reported = 0.0
    if view.report is not None:
        reported = view.report.in_flight + view.report.waiting
    blended = weight * reported + (1 - weight) * usual + view.sent_since_report
    failures = max(
        view.failure_penalty, weight * _find_reported_penalty(view, slots)
    )
    return max(blended, view.outstanding) + failures


def _estimate_service(view: state.View, baseline: state.Baseline) -> float:
    if view.report is None or not view.report.service_ms:
        return baseline.service_s
    reported = view.report.service_ms / 1000
    ratio = reported / baseline.service_s
    if 1 / SERVICE_TIME_TOLERANCE <= ratio <= SERVICE_TIME_TOLERANCE:
        return baseline.service_s
    weight = 0.5 ** (view.report_age_s / SERVICE_HALF_LIFE_S)
    return baseline.service_s + weight * (reported - baseline.service_s)


def _estimate_slowdown(view: state.View) -> float:
    """Estimate by which factor a machine is slower than usual now.

    A reported slowdown holds for a fraction of a second, so an older one is
    ignored.
    """
    report = view.report
    if report is None:
        return 1.0
    age_s = view.report_age_s + report.slowdown_age_ms / 1000
    if age_s > SLOWDOWN_TTL_S:
        return 1.0
    return max(1.0, report.slowdown)


def _smooth_excess(excess: float, uncertainty: float) -> float:
    """Return max(0, excess), smoothed over the uncertainty (a softplus)."""
    scaled = excess / uncertainty
    if scaled > 20:
        return excess
    return uncertainty * math.log1p(math.exp(scaled))


def estimate(view: state.View, baseline: state.Baseline) -> Estimate:
    """Estimate the load and response time that a call would meet.

    Time without a response beyond the expected one is added to the response
    time, so that an instance that stops responding loses calls at once.
    """
    if view.report is None:
        slots = max(1, min(UNREPORTED_SLOTS, view.member.slots))
    else:
        slots = max(1, view.report.slots)
    load = _estimate_load(view, baseline, slots)
    service_s = _estimate_service(view, baseline) * _estimate_slowdown(view)
    queue = _smooth_excess(load + 1 - slots, slots * LOAD_UNCERTAINTY_SHARE)
    wait_s = queue * service_s / slots
    usual_s = view.round_trip_s + wait_s + service_s
    expected_s = usual_s + WAIT_PENALTY_DEVIATIONS * baseline.deviation_s
    overdue_s = max(0.0, view.unanswered_s - expected_s)
    return Estimate(load, slots, wait_s, usual_s + overdue_s)


def record_response_time(
    baseline: state.Baseline, response_s: float
) -> state.Baseline:
    """Update the usual response time and its deviation with a sample.

    :param response_s: seconds, without the round trip.
    """
    if not baseline.response_s:
        return dataclasses.replace(
            baseline, response_s=response_s, deviation_s=response_s / 2
        )
    max_offset_s = _MAX_DEVIATIONS * baseline.deviation_s
    off_s = max(
        -max_offset_s, min(max_offset_s, response_s - baseline.response_s)
    )
    deviation_s = baseline.deviation_s + _SMOOTHING * (
        abs(off_s) - baseline.deviation_s
    )
    return dataclasses.replace(
        baseline,
        response_s=baseline.response_s + _SMOOTHING * off_s,
        deviation_s=max(_MIN_DEVIATION_S, deviation_s),
    )


def is_overdue(
    view: state.View, baseline: state.Baseline, waited_s: float
) -> bool:
    """Return whether a wait for a response is far longer than expected.

    Always False while the whole service is saturated, since calls then
    queue at every instance.

    :param waited_s: seconds that the call has waited.
    """
    if baseline.utilization >= SATURATED_UTILIZATION:
        return False
    responsive = dataclasses.replace(view, unanswered_s=0.0)
    late_s = waited_s - estimate(responsive, baseline).total_s
    return late_s > SLOW_DEVIATIONS * baseline.deviation_s + SLOW_MARGIN_S


def is_unresponsive(view: state.View, baseline: state.Baseline) -> bool:
    """Return whether an instance has not responded for far too long."""
    return view.unanswered_s > SLOW_MARGIN_S and is_overdue(
        view, baseline, view.unanswered_s
    )


def is_slow(service_s: float, baseline: state.Baseline) -> bool:
    """Return whether a service time, in seconds, is far above the baseline."""
    late_s = service_s - baseline.service_s
    return late_s > SLOW_DEVIATIONS * baseline.deviation_s + SLOW_MARGIN_S


def _may_receive(view: state.View, now: float) -> bool:
    health = view.health
    if ejection.is_ejected(health, now) or ejection.awaits_trial(health):
        return False
    return (
        health.readmission_limit is None
        or view.outstanding < health.readmission_limit
    )


def find_trial(
    views: abc.Sequence[state.View],
    now: float,
    trial_delay_factor: float,
    *,
    all_hot: bool = False,
) -> state.View | None:
    """Find an ejected instance that is due for a trial call.

    At most one trial call is in flight at a time, so that a broken instance
    fails few calls.

    :param now: monotonic time in seconds.
    :param trial_delay_factor: see ejection.is_trial_due.
    :param all_hot: whether no other instance has a free slot.
    :returns: the instance, None if none is due.
    """
    waiting = [
        view
        for view in views
        if ejection.awaits_trial(view.health)
        and not ejection.is_ejected(view.health, now)
    ]
    if any(view.outstanding for view in waiting):
        return None
    for view in waiting:
        may_try = view.calls_since_ejection >= CALLS_PER_TRIAL or all_hot
        may_try |= now >= view.health.ejected_until + MAX_TRIAL_WAIT_S
        if may_try and ejection.is_trial_due(
            view.health, now, trial_delay_factor
        ):
            return view
    return None


def find_remote_penalty(body_bytes: int) -> float:
    """Return the penalty for another failure domain, in seconds.

    An instance in another failure domain is chosen only if its estimate is
    better by this much: traffic between failure domains is expensive, and
    the bodies make up most of it.

    :param body_bytes: the length of the bodies of request and response.
    """
    return REMOTE_PENALTY_S + REMOTE_PENALTY_S_PER_BYTE * body_bytes


def find_penalty(view: state.View, remote_penalty_s: float) -> float:
    """Return the penalty for the distance of an instance, in seconds.

    Answers demand that moves from region to region: work leaves its region
    only once the wait there exceeds what the way costs.

    :param remote_penalty_s: the penalty for another failure domain of the
        same region.
    """
    if view.is_local:
        return 0.0
    factor = 1.0 if view.is_in_region else FAR_PENALTY_FACTOR
    return factor * remote_penalty_s


def choose(
    views: abc.Sequence[state.View],
    baseline: state.Baseline,
    now: float,
    rng: random.Random,
    *,
    trial_delay_factor: float = 0.0,
    remote_penalty_s: float = 0.0,
) -> state.View:
    """Choose the instance for a call.

    :param views: the candidates, at least one.
    :param now: monotonic time in seconds.
    :param trial_delay_factor: see ejection.is_trial_due.
    :param remote_penalty_s: penalty for an instance in another failure
        domain of the region, in seconds.
    :returns: the instance with the lowest estimate, or one that is due for
        a trial call.
    """
    eligible = [view for view in views if _may_receive(view, now)] or views
    estimates = [estimate(view, baseline) for view in eligible]
    if len(eligible) < len(views):
        all_hot = all(one.is_hot for one in estimates)
        trial = find_trial(views, now, trial_delay_factor, all_hot=all_hot)
        if trial is not None:
            return trial
    costs = [
        one.total_s * (1 + _JITTER_SHARE * rng.random())
        + find_penalty(view, remote_penalty_s)
        for one, view in zip(estimates, eligible, strict=True)
    ]
    return eligible[costs.index(min(costs))]
