"""Hedges within a share of the calls that the operator sets.

Answers a few instances that are slow for a short time while others have free
slots: the slowest responses of a kind of call are asked for once more.
"""

from collections import abc
import dataclasses
import typing

from burdockdeal.core import call
from burdockdeal.retry import state

#: Maximum number of hedges that a service may save up.
MAX_TOKENS = 10.0

#: Minimum delay before a hedge, in seconds.
MIN_DELAY_S = 0.002

#: Part of the share that the delay aims at. Slow responses come in groups, for
#: which the rest is saved up.
_AIMED_PART = 0.7

#: Relative step by which the delay follows the response times.
_STEP = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """What an entry has learned and saved up for the hedges of a service.

    :param tokens: number of hedges that may be sent.
    :param delays_s: time to the response headers after which a call of a rank
        is hedged, by rank, in seconds.
    """

    tokens: float = 1.0
    delays_s: abc.Mapping[str, float] = dataclasses.field(default_factory=dict)


def record_first_send(account: Account, share: float) -> Account:
    """Earn the share of a hedge for a first send."""
    tokens = min(MAX_TOKENS, account.tokens + share)
    return dataclasses.replace(account, tokens=tokens)


def record_latency(
    account: Account, rank: str, latency_s: float, share: float
) -> Account:
    """Move the delay of a rank towards the quantile of its response times.

    Steps up and down are in proportion to the aimed part of the share, so
    that the delay settles where that part of the responses is slower.

    :param latency_s: seconds to the response headers; a lower bound if a
        hedge was answered first.
    """
    before = account.delays_s.get(rank) or 2 * latency_s
    aimed = _AIMED_PART * share
    step = 1 - aimed if latency_s > before else -aimed
    delays_s = {**account.delays_s, rank: before * (1 + _STEP * step)}
    return dataclasses.replace(account, delays_s=delays_s)


def find_delay(
    account: Account,
    work: call.Call,
    progress: state.Progress,
    *,
    replayable: bool,
    now: float,
) -> float | None:
    """Return how long to wait for a response before a hedge is sent.

    :param replayable: whether the body can be sent a second time.
    :param now: monotonic time in seconds.
    :returns: seconds, None if no hedge may be sent.
    """
    delay_s = account.delays_s.get(work.rank, 0.0)
    allowed = (
        work.idempotent
        and replayable
        and progress.sends_left > 1
        and delay_s > 0
        and account.tokens >= 1
    )
    if not allowed:
        return None
    delay_s = max(MIN_DELAY_S, delay_s)
    return delay_s if now + delay_s < work.deadline else None


class HedgeLimiter:
    """Holds the accounts of the services, by name.

    :param share: returns the hedges as a share of the first sends of
        idempotent calls.
    """

    def __init__(self, share: abc.Callable[[], float]) -> None:
        self._share = share
        self._accounts: dict[str, Account] = {}

    def find_account(self, work: call.Call) -> Account:
        """Return the account of a call's service."""
        return self._accounts.get(work.service, _NEW)

    def find_delay(
        self, work: call.Call, progress: state.Progress, **terms: typing.Any
    ) -> float | None:
        """Return how long to wait before a hedge of a call; see above."""
        return find_delay(self.find_account(work), work, progress, **terms)

    def has_token(self, work: call.Call) -> bool:
        """Return whether a hedge of a call can be paid for now."""
        return self.find_account(work).tokens >= 1

    def record_first_send(self, work: call.Call) -> None:
        """Count the first send of a call."""
        if work.idempotent:
            self._accounts[work.service] = record_first_send(
                self.find_account(work), self._share()
            )

    def record_latency(self, work: call.Call, latency_s: float) -> None:
        """Record the time to the response headers, in seconds."""
        if work.idempotent:
            self._accounts[work.service] = record_latency(
                self.find_account(work), work.rank, latency_s, self._share()
            )

    def add_tokens(self, work: call.Call, tokens: float) -> None:
        """Pay for a hedge, or get a token back for one that was refused."""
        account = self.find_account(work)
        self._accounts[work.service] = dataclasses.replace(
            account, tokens=account.tokens + tokens
        )


_NEW = Account()
