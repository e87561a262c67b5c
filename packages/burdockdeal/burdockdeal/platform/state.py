"""The state of the client of the platform's store."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """The limit that a token bucket enforces.

    :param calls_per_s: the rate at which tokens are added, one per call.
    :param burst: the maximum number of tokens in the bucket.
    """

    calls_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class TokenBucket:
    """A token bucket.

    :param tokens: the calls that may be made at once; if negative, calls
        are already waiting for tokens.
    :param refilled_at: when tokens were last added, in seconds of the
        monotonic clock.
    """

    tokens: float
    refilled_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallCounts:
    """Counters of calls to the store, by kind; a watch counts as one call.

    The names of the fields become part of metric names.

    :param failed: calls that the store did not answer as expected.
    :param refused_by_budget: calls that were not sent because the daemon's
        own rate limit was exhausted.
    """

    reads: int = 0
    writes: int = 0
    watches: int = 0
    leases: int = 0
    failed: int = 0
    refused_by_budget: int = 0

    @property
    def total(self) -> int:
        """The number of calls that this daemon has sent."""
        return self.reads + self.writes + self.watches + self.leases


class EraOutcome(enum.Enum):
    """How the era of a response compares with the newest one known."""

    SAME = "SAME"
    #: The store was restored from an old copy since.
    RISEN = "RISEN"
    #: The response is from before the latest restore.
    OUTDATED = "OUTDATED"


@dataclasses.dataclass(frozen=True, slots=True)
class FailureStreak:
    """The current run of consecutive failed calls to the store.

    :param failures: the number of consecutive failed calls; 0 while the
        store answers.
    :param since: when the first of them failed, in seconds of the
        monotonic clock; None while the store answers.
    """

    failures: int = 0
    since: float | None = None
