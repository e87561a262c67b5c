"""The state of the store's client."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """A pace of calls.

    :param calls_per_s: calls that come due each second.
    :param burst: calls that may be saved up.
    """

    calls_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class TokenBucket:
    """A token bucket.

    :param tokens: calls that may be made at once.
    :param filled_at: when that was worked out, in seconds.
    """

    tokens: float
    refilled_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallCounts:
    """Calls that were sent, by kind; a waiting watch is one."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    leases: int = 0
    failed: int = 0
    refused_by_budget: int = 0

    @property
    def total(self) -> int:
        """Every call that left this daemon."""
        return self.reads + self.writes + self.watches + self.leases


@dataclasses.dataclass(frozen=True, slots=True)
class FailureStreak:
    """How the store has fared.

    :param failures: calls in a row that the store did not answer.
    :param since: when the first of them ended, in seconds; None while
        the store answers.
    """

    failures: int = 0
    since: float | None = None
