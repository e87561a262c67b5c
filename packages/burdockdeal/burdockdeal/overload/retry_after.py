"""When a caller whose request was refused for lack of capacity may return.

Nobody knows how long a flood will last. The longer it has lasted, the longer
it is expected to go on, so callers are asked to return later, spread so that
they don't come all at once. They are not sent away for as long again: what
they ask for is worth little to them once it is late.
"""

import dataclasses
import random

#: Bounds of the time after which a caller may return, in seconds.
MIN_RETRY_AFTER_S = 0.15
MAX_RETRY_AFTER_S = 1.5

#: The time as a share of the time that the flood has lasted.
_FLOOD_SHARE = 0.5

#: Seconds without a refusal after which a flood is over.
FLOOD_GAP_S = 0.5

#: The time is varied by up to this share.
_SPREAD_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Flood:
    """A time in which requests are refused for lack of capacity.

    :param since: its first refusal, monotonic time in seconds.
    :param refused_at: its latest refusal, monotonic time in seconds.
    """

    since: float
    refused_at: float


def record_refusal(flood: Flood | None, now: float) -> Flood:
    """Return the flood that a refusal belongs to.

    :param flood: the latest flood, None if there was none.
    :param now: monotonic time in seconds.
    """
    if flood is None or now - flood.refused_at > FLOOD_GAP_S:
        return Flood(now, now)
    return dataclasses.replace(flood, refused_at=now)


def choose_retry_after(flood: Flood, now: float, rng: random.Random) -> float:
    """Choose after how many seconds a refused caller may return.

    :param now: monotonic time in seconds.
    """
    expected_s = min(
        MAX_RETRY_AFTER_S,
        max(MIN_RETRY_AFTER_S, _FLOOD_SHARE * (now - flood.since)),
    )
    spread = rng.uniform(1 - _SPREAD_SHARE, 1 + _SPREAD_SHARE)
    return expected_s * spread
