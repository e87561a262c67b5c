"""The hot/cold rule over requests in flight and latency, on stale reports.

The wait at an instance is a smooth function of its requests in flight:
next to nothing while it is cold, so that latency and link time decide,
and the queue's length in service times once it is hot, so that requests
in flight decide. Prequal's rule (NSDI 2024) has a hard bound in between;
here the two are in one unit, seconds, so that a busy instance near by
and an idle one far away can be compared.
"""

from collections import abc
import dataclasses
import math
import random

from burdockdeal.routing import ejection
from burdockdeal.routing import state

#: Seconds after which a report counts for half; the usual fill replaces
#: what it loses.
REPORT_HALF_LIFE_S = 0.5

#: Seconds after which a reported time at the upstream counts for half.
SERVICE_HALF_LIFE_S = 1.0

#: Calls sent on one report, as a share of the slots, after which it
#: counts for nothing but the calls that were sent on it.
REPORT_REUSE_SHARE = 1.0

#: Slots that an instance is credited with before its first report.
UNREPORTED_SLOTS = 2

#: How far the requests in flight may be from what is believed, as a share
#: of the slots.
SPREAD_SHARE = 0.2

#: A failure counts for this many times the slots, as calls in flight.
FAILURE_FACTOR = 2.0

#: Share of an owner's answers that makes a failure its upstream's.
FAILING_SHARE = 0.5

#: Calls to a service for each that is risked on an ejected instance,
#: while another has room.
SPARED_CALLS = 100

#: Seconds past an ejection after which a call is risked in any case.
SPARED_S = 8.0

#: Seconds for which what was told of a machine's slowness is believed.
SLOWDOWN_MEMORY_S = 0.1

#: A time at the upstream within this factor of the usual is the usual.
SAME_FACTOR = 1.5

#: Silence counts from this many deviations past what is expected on, as
#: with TCP's retransmission timer; twice that is far too long.
SILENCE_DEVIATIONS = 4.0
LAG_DEVIATIONS = 8.0
LAG_S = 0.01

#: Usual fill of a service from which on a wait says nothing of an
#: instance.
FULL_FILL = 0.9

#: A single answer moves the usual time and its deviation by this share,
#: and counts as at most this many deviations off.
_SMOOTHING = 0.1
_MOST_DEVIATIONS = 4.0
_LEAST_DEVIATION_S = 0.0005

_JITTER_SHARE = 0.02

#: What a call to another failure domain costs, as seconds of waiting.
REMOTE_S = 0.01
REMOTE_S_PER_BYTE = 5e-6


@dataclasses.dataclass(frozen=True, slots=True)
class Expected:
    """What is expected of a call sent to an instance now.

    :param load: calls at the instance, failures counted as calls.
    :param wait_s: seconds until it gets a slot.
    :param total_s: seconds until its answer begins.
    """

    load: float
    slots: int
    wait_s: float
    total_s: float

    @property
    def hot(self) -> bool:
        """Whether a call would have to wait."""
        return self.load >= self.slots


def _weigh_report(view: state.View) -> float:
    report = view.report
    if report is None or not report.slots:
        return 0.0
    if view.sent_since >= max(1.0, report.slots * REPORT_REUSE_SHARE):
        return 0.0
    return 0.5 ** (view.report_age_s / REPORT_HALF_LIFE_S)


def _failing_load(view: state.View, slots: int) -> float:
    if view.report is None:
        return 0.0
    return view.report.failed_share * slots * FAILURE_FACTOR


def _estimate_load(view: state.View, norm: state.Norm, slots: int) -> float:
    weight = _weigh_report(view)
    usual = norm.fill * slots
    reported = 0.0
    if view.report is not None:
        reported = view.report.in_flight + view.report.waiting
    blended = weight * reported + (1 - weight) * usual + view.sent_since
    failures = max(view.failure_load, weight * _failing_load(view, slots))
    return max(blended, view.sent) + failures


def _estimate_service(view: state.View, norm: state.Norm) -> float:
    if view.report is None or not view.report.service_ms:
        return norm.service_s
    reported = view.report.service_ms / 1000
    ratio = reported / norm.service_s
    if 1 / SAME_FACTOR <= ratio <= SAME_FACTOR:
        return norm.service_s
    weight = 0.5 ** (view.report_age_s / SERVICE_HALF_LIFE_S)
    return norm.service_s + weight * (reported - norm.service_s)


def _estimate_slowdown(view: state.View) -> float:
    """Estimate how much longer than usual work takes on a machine now.

    What was told holds for a fraction of a second.
    """
    report = view.report
    if report is None:
        return 1.0
    age_s = view.report_age_s + report.slowdown_age_ms / 1000
    if age_s > SLOWDOWN_MEMORY_S:
        return 1.0
    return max(1.0, report.slowdown)


def _soften(surplus: float, spread: float) -> float:
    """Smooth max(0, surplus) over the spread of what is believed."""
    scaled = surplus / spread
    if scaled > 20:
        return surplus
    return spread * math.log1p(math.exp(scaled))


def expect(view: state.View, norm: state.Norm) -> Expected:
    """Estimate what a call to an instance would meet."""
    if view.report is None:
        slots = max(1, min(UNREPORTED_SLOTS, view.member.slots))
    else:
        slots = max(1, view.report.slots)
    load = _estimate_load(view, norm, slots)
    service_s = _estimate_service(view, norm) * _estimate_slowdown(view)
    queue = _soften(load + 1 - slots, slots * SPREAD_SHARE)
    wait_s = queue * service_s / slots
    usual_s = view.link_s + wait_s + service_s
    patience_s = usual_s + SILENCE_DEVIATIONS * norm.deviation_s
    overdue_s = max(0.0, view.silent_s - patience_s)
    return Expected(load, slots, wait_s, usual_s + overdue_s)


def note_time(norm: state.Norm, answer_s: float) -> state.Norm:
    """Take the time to an answer into what is usual.

    :param answer_s: seconds, the link left out.
    """
    if not norm.answer_s:
        return dataclasses.replace(
            norm, answer_s=answer_s, deviation_s=answer_s / 2
        )
    most_s = _MOST_DEVIATIONS * norm.deviation_s
    off_s = max(-most_s, min(most_s, answer_s - norm.answer_s))
    deviation_s = norm.deviation_s + _SMOOTHING * (
        abs(off_s) - norm.deviation_s
    )
    return dataclasses.replace(
        norm,
        answer_s=norm.answer_s + _SMOOTHING * off_s,
        deviation_s=max(_LEAST_DEVIATION_S, deviation_s),
    )


def is_overdue(view: state.View, norm: state.Norm, waited_s: float) -> bool:
    """Tell whether a wait for an answer is far above what is expected.

    Never while the whole service is full: calls then wait for their turn.
    """
    if norm.fill >= FULL_FILL:
        return False
    calm = dataclasses.replace(view, silent_s=0.0)
    late_s = waited_s - expect(calm, norm).total_s
    return late_s > LAG_DEVIATIONS * norm.deviation_s + LAG_S


def is_silent(view: state.View, norm: state.Norm) -> bool:
    """Tell whether an instance has left calls unanswered for too long."""
    return view.silent_s > LAG_S and is_overdue(view, norm, view.silent_s)


def is_slow(service_s: float, norm: state.Norm) -> bool:
    """Tell whether a time at the upstream is far above the usual."""
    late_s = service_s - norm.service_s
    return late_s > LAG_DEVIATIONS * norm.deviation_s + LAG_S


def _may_take(view: state.View, now: float) -> bool:
    health = view.health
    if ejection.is_ejected(health, now) or ejection.awaits_trial(health):
        return False
    return health.allowance is None or view.sent < health.allowance


def find_trial(
    views: abc.Sequence[state.View],
    now: float,
    patience: float,
    *,
    hot: bool = False,
) -> state.View | None:
    """Find an ejected instance that one call may be risked on.

    At most one is on trial at a time.

    :param patience: see ejection.is_trial_due.
    :param hot: whether no other instance has room.
    """
    waiting = [
        view
        for view in views
        if ejection.awaits_trial(view.health)
        and not ejection.is_ejected(view.health, now)
    ]
    if any(view.sent for view in waiting):
        return None
    for view in waiting:
        spared = view.spared >= SPARED_CALLS or hot
        spared |= now >= view.health.ejected_until + SPARED_S
        if spared and ejection.is_trial_due(view.health, now, patience):
            return view
    return None


def find_remote_cost(body_bytes: int) -> float:
    """Find by how much another failure domain must be better, in seconds.

    Bytes between failure domains are dear, those of a body most of all.
    """
    return REMOTE_S + REMOTE_S_PER_BYTE * body_bytes


def choose(
    views: abc.Sequence[state.View],
    norm: state.Norm,
    now: float,
    chance: random.Random,
    *,
    patience: float = 0.0,
    remote_s: float = 0.0,
) -> state.View:
    """Choose the instance for a call.

    :param views: the candidates, at least one.
    :param patience: see ejection.is_trial_due.
    :param remote_s: seconds that another failure domain must be better by.
    """
    able = [view for view in views if _may_take(view, now)] or views
    expected = [expect(view, norm) for view in able]
    if len(able) < len(views):
        hot = all(one.hot for one in expected)
        trial = find_trial(views, now, patience, hot=hot)
        if trial is not None:
            return trial
    costs = [
        one.total_s * (1 + _JITTER_SHARE * chance.random())
        + (0.0 if view.local else remote_s)
        for one, view in zip(expected, able, strict=True)
    ]
    return able[costs.index(min(costs))]
