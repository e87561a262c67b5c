"""Decisions of the store's client: the call budget and its pauses."""

import dataclasses
import random

from burdockdeal.platform import state


def spend(
    bucket: state.Bucket, rate: state.Rate, now: float, cost: float = 1.0
) -> tuple[state.Bucket, bool]:
    """Take tokens for a call.

    :returns: the bucket as of now, and whether the call may be made.
    """
    elapsed = max(0.0, now - bucket.filled_at)
    tokens = min(rate.burst, bucket.tokens + elapsed * rate.calls_per_s)
    allowed = tokens >= cost
    left = tokens - cost if allowed else tokens
    return state.Bucket(left, max(now, bucket.filled_at)), allowed


def back_off(
    attempt: int, chance: random.Random, *, first_s: float, most_s: float
) -> float:
    """Choose the pause before another attempt, with full jitter.

    :param attempt: failures in a row, 1 for the first.
    :returns: seconds; at least half of first_s, so that nothing spins.
    """
    ceiling = min(most_s, first_s * 2.0 ** min(attempt, 16))
    return chance.uniform(first_s / 2, ceiling)


def note_answer(
    outage: state.Outage, answered: bool, now: float
) -> state.Outage:
    """Note whether the store answered a call."""
    if answered:
        return state.Outage()
    since = now if outage.since is None else outage.since
    return state.Outage(outage.failures + 1, since)


def count(calls: state.Calls, field: str) -> state.Calls:
    """Count one call.

    :param field: the field of Calls that grows.
    """
    return dataclasses.replace(calls, **{field: getattr(calls, field) + 1})
