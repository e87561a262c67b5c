"""Decisions on the pace of starts while the upstream is cold."""

from collections import abc
import math

from burdockdeal.admission import state
from burdockdeal.settings import fleet_terms

#: The period over which starts are counted, in seconds. For a rate below one
#: start a second it is the time between two starts.
_WINDOW_S = 1.0

#: Seconds by which the counted period is longer, since the time from a start
#: to the upstream varies. Without it, rounding alone put one start too many
#: into a second.
_MARGIN_S = 0.01


#: Part of the slack that is used. Starts are counted here, and arrivals at the
#: upstream, a varying time later.
_SLACK_SHARE = 0.5


def compute_rate(
    starts_per_s: float, excess: fleet_terms.ColdExcess | None
) -> float:
    """Compute the rate of starts on a cold upstream.

    Answers a whole fleet that comes back cold with all callers: what the
    upstreams bear for a short time is used, not only their lasting rate.

    :param starts_per_s: the rate of the service.
    :param excess: by how much it may be exceeded.
    """
    if excess is None:
        return starts_per_s
    return starts_per_s * excess.factor + _SLACK_SHARE * excess.slack


def _find_window(pace: state.Pace) -> tuple[int, float]:
    """Return how many starts are allowed in how many seconds."""
    window_s = max(_WINDOW_S, 1 / pace.starts_per_s) + _MARGIN_S
    return max(1, math.floor(pace.starts_per_s * _WINDOW_S)), window_s


def record_start(
    starts: tuple[float, ...], pace: state.Pace, now: float
) -> tuple[float, ...]:
    """Return the latest starts after another one, as many as are allowed.

    :param starts: monotonic times in seconds, in order.
    :param now: monotonic time in seconds.
    """
    limit, _ = _find_window(pace)
    return (*starts, now)[-limit:]


def find_start(starts: state.Starts, position: int, now: float) -> float:
    """Find when a call can start by the pace alone.

    Handles a domain that comes back cold under full load, and an upstream
    that turns cold while it runs: the starts before that count, too.

    :param position: the number of calls that start before it.
    :param now: monotonic time in seconds.
    :returns: monotonic time in seconds; ``now`` if it can start at once.
    """
    pace = starts.pace
    if pace is None or not pace.is_cold(now):
        return now
    limit, window_s = _find_window(pace)
    # A call that holds a slot may start at any moment.
    taken = (*starts.times, *[now] * starts.reserved)[-limit:]
    cycles, index = divmod(position, limit)
    missing = limit - len(taken)
    first = taken[index - missing] + window_s if index >= missing else now
    return min(max(now, first) + cycles * window_s, max(now, pace.cold_until))


def may_start(starts: state.Starts, now: float) -> bool:
    """Return whether one more call may start now.

    :param now: monotonic time in seconds.
    """
    return find_start(starts, 0, now) <= now


def estimate_wait_s(
    starts: state.Starts,
    policy: state.RankPolicy,
    total_ahead: int,
    own_ahead: int,
    now: float,
) -> float:
    """Estimate how long the pace makes a call wait.

    :param total_ahead: waiting calls that are at least as urgent.
    :param own_ahead: those of its own rank among them. The rank's floor
        bounds the wait.
    :param now: monotonic time in seconds.
    :returns: seconds, 0 if the upstream is not cold.
    """
    pace = starts.pace
    if pace is None or not pace.is_cold(now):
        return 0.0
    wait_s = find_start(starts, total_ahead, now) - now
    share = policy.floor * pace.starts_per_s
    return min(wait_s, (own_ahead + 1) / share) if share > 0 else wait_s


def _is_hopeless(
    rank: state.RankState,
    waiting: abc.Iterable[state.RankState],
    starts: state.Starts,
    now: float,
) -> bool:
    """Return whether a rank's newest waiting call can't meet its target.

    Even a call that has only just arrived would miss it.
    """
    ahead = sum(
        each.waiting
        for each in waiting
        if each.policy.urgency < rank.policy.urgency
    )
    wait_s = estimate_wait_s(
        starts,
        rank.policy,
        ahead + rank.waiting - 1,
        rank.waiting - 1,
        now,
    )
    return wait_s > rank.policy.target_s


def select_excess(
    ranks: abc.Iterable[state.RankState], starts: state.Starts, now: float
) -> state.RankState | None:
    """Select the rank whose newest waiting call is shed.

    Handles an upstream that turns cold with a full queue, and urgent calls
    that arrive behind less urgent ones: what can't start within its target
    is refused immediately, the calls of least worth first.

    :param now: monotonic time in seconds.
    :returns: None if every waiting call may start within its target.
    """
    pace = starts.pace
    if pace is None or not pace.is_cold(now):
        return None
    waiting = [each for each in ranks if each.waiting]
    hopeless = [
        each for each in waiting if _is_hopeless(each, waiting, starts, now)
    ]
    if not hopeless:
        return None
    most_urgent = min(hopeless, key=lambda each: each.policy.urgency)
    ahead = [
        each
        for each in waiting
        if each.policy.urgency < most_urgent.policy.urgency
    ]
    return min(
        (most_urgent, *ahead),
        key=lambda each: (each.policy.worth, -each.policy.urgency),
    )


def count_busy_slots(pace: state.Pace, service_s: float) -> int:
    """Return how many slots the rate keeps busy, at least one.

    :param service_s: the measured service time in seconds.
    """
    return max(1, math.floor(pace.starts_per_s * service_s))
