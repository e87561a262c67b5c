"""Whether the machine of an upstream is slower than it was a moment ago.

A call that starts on a slow machine stays slow until it ends. Most machines
recover within a fraction of a second, so that it is better to start the call
elsewhere or later. A machine that does not recover is used as it is.
"""

import dataclasses

#: How many times as long as before work takes on a slow machine, at least.
SLOW_FACTOR = 2.5

#: Seconds within which the machine's speed is taken to be the same, so that
#: reports that follow each other more closely count as one observation.
MIN_INTERVAL_S = 0.1

#: Number of observations that must show a machine to be slow before that is
#: taken to be its usual speed, and the seconds for which they count.
OBSERVATIONS = 6
OBSERVATION_TTL_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """A machine's speed at one moment.

    :param at: monotonic time in seconds.
    :param slowdown: how many times as long as usual work takes.
    """

    at: float
    slowdown: float


def record(
    observations: tuple[Observation, ...], slowdown: float, now: float
) -> tuple[Observation, ...]:
    """Return the observations, oldest first, after another report.

    :param now: monotonic time in seconds.
    """
    if observations and now - observations[-1].at < MIN_INTERVAL_S:
        last = observations[-1]
        fastest = min(last.slowdown, slowdown)
        return (*observations[:-1], Observation(last.at, fastest))
    kept = [
        each for each in observations if now - each.at <= OBSERVATION_TTL_S
    ]
    return (*kept[1 - OBSERVATIONS :], Observation(now, slowdown))


def find_usual(observations: tuple[Observation, ...]) -> float:
    """Return the slowdown that is usual for a machine at the moment.

    It is the lowest of the latest observations, and 1 until there are enough
    of them: the observations may all have fallen into short slow spells.
    """
    if len(observations) < OBSERVATIONS:
        return 1.0
    return max(1.0, min(each.slowdown for each in observations))


def is_slow(observations: tuple[Observation, ...], slowdown: float) -> bool:
    """Return whether a machine is slow for a short time only.

    :param slowdown: the slowdown last reported.
    """
    return slowdown >= SLOW_FACTOR * find_usual(observations)
