"""Decisions on which requests to shed and which senders are too slow."""

from collections import abc
import dataclasses
import math

from burdockdeal.overload import state

#: The time constant of the decayed counts: they fall to 1/e in this many
#: seconds.
DECAY_S = 1.0

#: Calls sent on for each one that was accepted, with and without notable
#: refusals. The ratio is more than 1 so that capacity which becomes free is
#: discovered.
PROBE_RATIO = 1.25
UNREFUSED_PROBE_RATIO = 3.0

#: The share of refusals above which the instances count as overloaded.
MIN_REFUSED_SHARE = 0.1

#: Recent arrivals below which no call is shed.
MIN_ARRIVALS = 20.0

#: How late the loop may run its ticks, in seconds.
LAG_TARGET_S = 0.02

#: Seconds added to the time without progress, so that of connections that
#: have just made some, those that hold the most come first.
_STALL_OFFSET_S = 0.1

#: Requests that may be in progress however late the loop runs.
MIN_LIMIT = 16.0

_INCREASE_FACTOR = 1.05
_DECREASE_FACTOR = 0.9

#: The part of the requests beyond all floors that the rank with the least
#: worth leaves free.
_LOWEST_RANK_RESERVE = 0.5

#: The part of the allowed requests in progress from which on workspaces get
#: equal parts of them.
_CONTENDED_SHARE = 0.7

#: Decayed number of requests below which their counts say nothing.
_NEGLIGIBLE_CALLS = 0.1


def decay(counts: state.DecayedCounts, now: float) -> state.DecayedCounts:
    """Apply the decay since the last update.

    :param now: monotonic time in seconds.
    """
    left = math.exp(-max(0.0, now - counts.updated_at) / DECAY_S)
    return state.DecayedCounts(
        arrived=counts.arrived * left,
        sent=counts.sent * left,
        refused=counts.refused * left,
        updated_at=now,
    )


def record_arrival(
    counts: state.DecayedCounts, now: float, *, sent: bool
) -> state.DecayedCounts:
    """Record that a call arrived.

    :param now: monotonic time in seconds.
    :param sent: whether it is sent on.
    """
    decayed = decay(counts, now)
    return dataclasses.replace(
        decayed, arrived=decayed.arrived + 1, sent=decayed.sent + sent
    )


def record_refusal(
    counts: state.DecayedCounts, now: float
) -> state.DecayedCounts:
    """Record that a call that was sent on was refused for lack of capacity.

    :param now: monotonic time in seconds.
    """
    decayed = decay(counts, now)
    return dataclasses.replace(decayed, refused=decayed.refused + 1)


def compute_shed_share(counts: state.DecayedCounts, now: float) -> float:
    """Compute the share of calls to shed before they are sent on.

    The rate of calls sent on follows the rate of those accepted, so that a
    flood of one rank costs the owners of the upstreams little more than the
    work that they do for it.

    :param now: monotonic time in seconds.
    :returns: a share from 0 to 1.
    """
    decayed = decay(counts, now)
    if decayed.arrived < MIN_ARRIVALS:
        return 0.0
    overloaded = decayed.refused > MIN_REFUSED_SHARE * decayed.sent
    ratio = PROBE_RATIO if overloaded else UNREFUSED_PROBE_RATIO
    allowed = ratio * max(0.0, decayed.sent - decayed.refused)
    return min(1.0, max(0.0, 1 - (allowed + 1) / decayed.arrived))


def adjust_limit(
    adaptive_limit: state.AdaptiveLimit,
    lag_s: float,
    *,
    in_progress: int,
    limit: int,
) -> state.AdaptiveLimit:
    """Adjust the limit on requests in progress to the lag of the loop.

    While the loop is late the limit is set below the requests in progress;
    otherwise it rises up to the configured one. It has a lower bound, since
    a loop that is kept busy by the requests it refuses would otherwise stop
    serving.

    :param lag_s: how late the last tick ran, in seconds.
    :param in_progress: requests that are not yet answered.
    :param limit: the configured limit on requests in progress.
    """
    allowed = adaptive_limit.max_in_progress
    if lag_s > LAG_TARGET_S:
        allowed = min(allowed, max(MIN_LIMIT, in_progress * _DECREASE_FACTOR))
    else:
        allowed *= _INCREASE_FACTOR
    return state.AdaptiveLimit(min(float(limit), allowed), lag_s)


def has_capacity(
    rank: str, usage: abc.Mapping[str, state.RankUsage], limit: float
) -> bool:
    """Return whether a daemon may accept one more request of a rank.

    The floor of each rank is a share of the limit reserved for it. Of the
    remainder, the rank with the least worth leaves a half free, the one
    with the greatest worth nothing.

    :param usage: by the rank's name.
    :param limit: requests that may be in progress.
    """
    reserved = {
        name: int(each.floor * limit) - each.in_progress
        for name, each in usage.items()
    }
    if reserved[rank] > 0:
        return True
    in_progress = sum(each.in_progress for each in usage.values())
    free = limit - in_progress - sum(filter(_is_positive, reserved.values()))
    shared = limit - sum(int(each.floor * limit) for each in usage.values())
    worth = usage[rank].worth
    ranks_above = sum(each.worth > worth for each in usage.values())
    position = ranks_above / max(1, len(usage) - 1)
    return free > position * _LOWEST_RANK_RESERVE * shared


def has_fair_share(
    in_progress: abc.Mapping[str, int], workspace: str, allowed: float
) -> bool:
    """Return whether a workspace may have one more request in progress.

    Answers a workspace whose requests pile up at an entry that is short of
    processor time: while most of the allowed requests are in progress, it may
    have at most an equal part of them.

    :param in_progress: the requests in progress of each workspace that has
        any.
    :param allowed: the requests that may be in progress in all.
    """
    own = in_progress.get(workspace, 0)
    if sum(in_progress.values()) < _CONTENDED_SHARE * allowed:
        return True
    competing = len(in_progress) + (own == 0)
    return own < max(1.0, allowed / competing)


def is_decayed(counts: state.DecayedCounts, now: float) -> bool:
    """Return whether nothing recent is left of decayed counts."""
    return decay(counts, now).arrived < _NEGLIGIBLE_CALLS


def _is_positive(number: int) -> bool:
    return number > 0


def record_bytes(
    progress: state.TransferProgress, size: int, waited_s: float
) -> state.TransferProgress:
    """Record that a part of a body arrived.

    :param size: its bytes.
    :param waited_s: how long the reader waited for it, in seconds.
    """
    return state.TransferProgress(
        progress.received_bytes + size, progress.waited_s + waited_s
    )


def is_too_slow(
    progress: state.TransferProgress, *, bytes_per_s: float, grace_s: float
) -> bool:
    """Return whether a body arrives below the minimum rate.

    Only the time spent waiting for the sender counts, so that a sender is
    not blamed for a slow reader.

    :param bytes_per_s: the minimum rate.
    :param grace_s: seconds of waiting that are not counted.
    """
    return progress.received_bytes < bytes_per_s * (
        progress.waited_s - grace_s
    )


def choose_evictions(
    holdings: abc.Sequence[state.Holding], excess_bytes: float
) -> list[int]:
    """Choose the connections to reset so that enough memory is free.

    Handles crowds of clients that send most of a request, or take none of
    their responses, and stay connected: those that hold the most and have
    made the least progress go first, so that ordinary callers, who hold
    little for a moment, go on.

    :param excess_bytes: what must be freed at least.
    :returns: positions in the holdings, the first to reset first.
    """

    def rank(position: int) -> float:
        holding = holdings[position]
        return holding.held_bytes * (_STALL_OFFSET_S + holding.stalled_s)

    chosen = []
    for position in sorted(range(len(holdings)), key=rank, reverse=True):
        if excess_bytes <= 0:
            break
        chosen.append(position)
        excess_bytes -= holdings[position].held_bytes
    return chosen
