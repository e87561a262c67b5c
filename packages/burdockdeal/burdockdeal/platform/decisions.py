"""Decisions of the store's client: rate limiting, backoff and counters."""

import dataclasses
import random

from burdockdeal.platform import messages
from burdockdeal.platform import state

#: Seconds over which daemons spread what they write again after the store
#: was restored from an old copy.
REWRITE_SPREAD_S = 5.0


def reserve(
    bucket: state.TokenBucket,
    rate: state.RateLimit,
    now: float,
    *,
    max_wait_s: float = 0.0,
) -> tuple[state.TokenBucket, float | None]:
    """Take a token for one call, in advance if none is left.

    :param now: monotonic time in seconds.
    :param max_wait_s: the maximum time that the call may wait for its
        token, in seconds.
    :returns: the updated bucket, and the seconds to wait before the call;
        None in place of the seconds if the call is refused.
    """
    elapsed = max(0.0, now - bucket.refilled_at)
    tokens = min(rate.burst, bucket.tokens + elapsed * rate.calls_per_s)
    refilled_at = max(now, bucket.refilled_at)
    wait_s = 0.0
    if tokens < 1.0:
        wait_s = (1.0 - tokens) / rate.calls_per_s
    if wait_s > max_wait_s:
        return state.TokenBucket(tokens, refilled_at), None
    # A negative balance stands for calls that wait for their tokens.
    return state.TokenBucket(tokens - 1.0, refilled_at), wait_s


def choose_backoff(
    attempt: int, rng: random.Random, *, initial_s: float, max_s: float
) -> float:
    """Choose an exponential backoff with jitter.

    :param attempt: the number of consecutive failures, from 1.
    :param initial_s: half of the upper bound after the first failure, in
        seconds; the bound doubles with each further failure.
    :param max_s: the maximum of that bound, in seconds.
    :returns: the delay before the next attempt, in seconds. It is at least
        half of initial_s, so that a caller never retries in a busy loop.
    """
    upper_s = min(max_s, initial_s * 2.0 ** min(attempt, 16))
    return rng.uniform(initial_s / 2, upper_s)


def record_answer(
    streak: state.FailureStreak, answered: bool, now: float
) -> state.FailureStreak:
    """Update the run of consecutive failures with the outcome of a call."""
    if answered:
        return state.FailureStreak()
    since = now if streak.since is None else streak.since
    return state.FailureStreak(streak.failures + 1, since)


def judge_era(known: int | None, answered: int) -> state.EraOutcome:
    """Compare the era of a response with the newest one known.

    :param known: the newest era known, None before the first response.
    """
    if known is None or answered == known:
        return state.EraOutcome.SAME
    return (
        state.EraOutcome.RISEN
        if answered > known
        else state.EraOutcome.OUTDATED
    )


def may_use_version(version: messages.Version, known: int | None) -> bool:
    """Return whether a version of the store still means the same.

    :param known: the newest era known, None before the first response.
    """
    return version.era == (known or 0)


def can_continue(version: messages.Version, answered: int) -> bool:
    """Return whether a response continues what was read before.

    :param version: the position of a watch, or that of a listing's first
        page.
    :param answered: the era of the response.
    """
    return version.era == answered


def is_result(
    outcome: state.EraOutcome,
    *,
    answered: int,
    written_on: messages.Version | None,
) -> bool:
    """Return whether a response is the result of its call.

    A response of an older era is not. Nor is that of a write if the store
    was restored while the write was on its way: it may have replaced a value
    that nobody has read.

    :param outcome: how the era of the response compares with the one known.
    :param answered: the era of the response.
    :param written_on: the version that a write was conditional on, None for
        other calls.
    """
    if outcome is state.EraOutcome.OUTDATED:
        return False
    return written_on is None or answered == written_on.era


def increment(counts: state.CallCounts, field: str) -> state.CallCounts:
    """Increment one counter.

    :param field: the name of the field of CallCounts.
    """
    return dataclasses.replace(counts, **{field: getattr(counts, field) + 1})
