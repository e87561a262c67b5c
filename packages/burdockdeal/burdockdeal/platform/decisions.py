"""Decisions of the store's client: the call budget and its pauses."""

import dataclasses
import random

from burdockdeal.platform import state


def reserve(
    bucket: state.TokenBucket,
    rate: state.RateLimit,
    now: float,
    *,
    max_wait_s: float = 0.0,
) -> tuple[state.TokenBucket, float | None]:
    """Reserve a call.

    :param patience_s: how long it may wait for its turn, in seconds.
    :returns: the bucket as of now, and how long to wait before the call,
        in seconds; None if it is refused.
    """
    elapsed = max(0.0, now - bucket.refilled_at)
    tokens = min(rate.burst, bucket.tokens + elapsed * rate.calls_per_s)
    at = max(now, bucket.refilled_at)
    wait_s = 0.0
    if tokens < 1.0:
        wait_s = (1.0 - tokens) / rate.calls_per_s
    if wait_s > max_wait_s:
        return state.TokenBucket(tokens, at), None
    # Below nothing, the tokens are calls that wait for their turn.
    return state.TokenBucket(tokens - 1.0, at), wait_s


def choose_backoff(
    attempt: int, rng: random.Random, *, initial_s: float, max_s: float
) -> float:
    """Choose the pause before another attempt, with full jitter.

    :param attempt: failures in a row, 1 for the first.
    :returns: seconds; at least half of first_s, so that nothing spins.
    """
    ceiling = min(max_s, initial_s * 2.0 ** min(attempt, 16))
    return rng.uniform(initial_s / 2, ceiling)


def record_answer(
    outage: state.FailureStreak, answered: bool, now: float
) -> state.FailureStreak:
    """Note whether the store answered a call."""
    if answered:
        return state.FailureStreak()
    since = now if outage.since is None else outage.since
    return state.FailureStreak(outage.failures + 1, since)


def increment(calls: state.CallCounts, field: str) -> state.CallCounts:
    """Count one call.

    :param field: the field of Calls that grows.
    """
    return dataclasses.replace(calls, **{field: getattr(calls, field) + 1})
