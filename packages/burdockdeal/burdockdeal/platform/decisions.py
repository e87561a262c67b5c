"""Decisions of the store's client: the call budget and its pauses."""

import dataclasses
import random

from burdockdeal.platform import state


def reserve(
    bucket: state.Bucket,
    rate: state.Rate,
    now: float,
    *,
    patience_s: float = 0.0,
) -> tuple[state.Bucket, float | None]:
    """Reserve a call.

    :param patience_s: how long it may wait for its turn, in seconds.
    :returns: the bucket as of now, and how long to wait before the call,
        in seconds; None if it is refused.
    """
    elapsed = max(0.0, now - bucket.filled_at)
    tokens = min(rate.burst, bucket.tokens + elapsed * rate.calls_per_s)
    at = max(now, bucket.filled_at)
    wait_s = 0.0
    if tokens < 1.0:
        wait_s = (1.0 - tokens) / rate.calls_per_s
    if wait_s > patience_s:
        return state.Bucket(tokens, at), None
    # Below nothing, the tokens are calls that wait for their turn.
    return state.Bucket(tokens - 1.0, at), wait_s


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
