"""Decides whether a call is retried or hedged.

Two bounds hold together. The retry tokens that a call carries bound the
sends of one chain of nested calls: each layer takes its own share and passes
the rest on, and calls nested in a retry are not retried. The account of a
daemon bounds the total: a first send earns a fraction of a token, every
other send costs one. First sends of calls nested in a retry cost a token
too, so that retries in the layers above can't exceed what the layers below
have earned.
"""

import dataclasses

from burdockdeal.core import call
from burdockdeal.core import verdict
from burdockdeal.retry import state

#: Maximum number of retries and hedges of a call in one layer.
LAYER_TOKENS = 2

#: Tokens that a first send earns. Together with the initial tokens of the
#: accounts, this keeps all sends within 1.1 times the first sends.
TOKENS_PER_FIRST_SEND = 0.08

#: Maximum number of tokens in an account.
MAX_TOKENS = 10.0

#: Minimum number of tokens in the account for a hedge, which costs one.
MIN_HEDGE_TOKENS = 1.0

#: Seconds for which a service counts as saturated after two of its instances
#: refused the same call because they were overloaded.
SATURATION_S = 0.1

#: Minimum delay before a hedge, in seconds.
MIN_HEDGE_DELAY_S = 0.002

_HEDGE_FACTOR = 1.2
_P95_STEP_UP = 0.095
_P95_STEP_DOWN = 0.005

#: Failures of an instance that is no longer available.
UNAVAILABLE_REASONS = frozenset(
    {
        verdict.Reason.DRAINING,
        verdict.Reason.EVACUATED,
        verdict.Reason.STALE_INSTANCE,
        verdict.Reason.UNREACHABLE,
    }
)

#: Maximum number of sends of one call, including those that reach no
#: upstream.
MAX_SENDS = 10

#: Refusals by an instance that can't start a call at once.
BUSY_REASONS = frozenset(
    {
        verdict.Reason.SLOWED,
        verdict.Reason.BUSY,
        verdict.Reason.COLD,
        verdict.Reason.FAILING,
    }
)

#: Those by an instance that has no room for another call.
FULL_REASONS = frozenset({verdict.Reason.BUSY, verdict.Reason.COLD})

#: Reasons for which a call neither reached an upstream nor queued for it.
NOT_SENT_REASONS = BUSY_REASONS | {verdict.Reason.UNREACHABLE}

#: Refusals that do not say whether an instance has a free slot.
NO_SLOT_INFO = frozenset(
    {
        *UNAVAILABLE_REASONS,
        verdict.Reason.SLOWED,
        verdict.Reason.FAILING,
    }
)

#: Immediate refusals: the call has neither reached an upstream nor queued, so
#: that trying another instance costs no token.
FREE_RETRY_REASONS = UNAVAILABLE_REASONS | BUSY_REASONS

#: Number of busy refusals after which a call queues at an instance instead of
#: trying another one.
MAX_BUSY_REFUSALS = 4

#: Number of instances without a free slot after which a call queues, by the
#: share of such instances up to which it applies. Where nearly all are full,
#: further round trips only delay the call.
_MAX_FULL_REFUSALS = ((0.5, MAX_BUSY_REFUSALS), (0.8, 2), (1.0, 1))
_FULL_SMOOTHING = 0.1

#: Body size in bytes from which on a call queues at the first instance rather
#: than being sent to another one.
QUEUEING_BODY_BYTES = 16_384

#: Seconds for which an unavailable instance is excluded, unless there is no
#: other; by then the membership has caught up.
EXCLUSION_S = 1.0

#: Response statuses for which a retry may succeed.
RETRIABLE_STATUSES = frozenset({500, 502, 503, 504})


def is_retriable_status(status: int) -> bool:
    """Return whether a retry may succeed after a response status."""
    return status in RETRIABLE_STATUSES


def find_max_tokens(depth: int) -> int:
    """Return the maximum number of tokens that a call may carry.

    :param depth: the number of calls that it is nested in.
    """
    return LAYER_TOKENS * max(0, call.MAX_DEPTH - depth)


def grant_tokens(depth: int, given: int | None) -> int:
    """Return the retry tokens of an incoming call.

    :param depth: the number of calls that it is nested in.
    :param given: the tokens that it carries, None if it carries none. It
        then gets the maximum of its depth, since an upstream that doesn't
        pass the tokens on can't be told from a caller.
    """
    max_tokens = find_max_tokens(depth)
    return max_tokens if given is None else min(given, max_tokens)


def is_original(work: call.Call) -> bool:
    """Return whether a call is not made on behalf of a retry."""
    return work.depth == 0 or work.retry_tokens > 0


def start_progress(work: call.Call) -> state.Progress:
    """Return the progress of a call before its first send."""
    return state.Progress(
        sends_left=1
        + min(LAYER_TOKENS, work.retry_tokens, work.max_sends - 1),
        may_queue=work.body_bytes >= QUEUEING_BODY_BYTES,
    )


def prepare_send(work: call.Call, progress: state.Progress) -> call.Call:
    """Return the call as the next send carries it.

    It has the tokens left for nested calls: none if an earlier send may have
    run, since a nested call is then made on behalf of a retry.

    :param progress: the progress before the send.
    """
    remaining = max(0, work.retry_tokens - LAYER_TOKENS)
    tokens = 0 if progress.may_have_run else remaining
    return dataclasses.replace(
        work, retry_tokens=tokens, repeated=progress.reached_upstream
    )


def record_send(progress: state.Progress, daemon: str) -> state.Progress:
    """Return the progress after a send to a daemon."""
    return dataclasses.replace(
        progress,
        sends_left=progress.sends_left - 1,
        sends=progress.sends + 1,
        tried=progress.tried | {daemon},
    )


def may_have_arrived(
    outcome: verdict.Verdict, reason: verdict.Reason | None
) -> bool:
    """Return whether a failed send may have reached an upstream.

    :param outcome: whether the call ran.
    :param reason: None if the upstream responded with an error.
    """
    ran = outcome is not verdict.Verdict.NOT_RUN
    return ran or reason is verdict.Reason.UPSTREAM_REFUSED


def record_failure(
    progress: state.Progress,
    outcome: verdict.Verdict,
    reason: verdict.Reason | None,
) -> state.Progress:
    """Return the progress after a failed send.

    :param outcome: whether the call ran.
    :param reason: None if the upstream responded with an error.
    """
    return dataclasses.replace(
        progress,
        may_have_run=progress.may_have_run
        or outcome is not verdict.Verdict.NOT_RUN,
        reached_upstream=progress.reached_upstream
        or may_have_arrived(outcome, reason),
        overload_refused=progress.overload_refused
        or reason in verdict.OVERLOAD_REASONS,
    )


def refund_send(
    progress: state.Progress, reason: verdict.Reason
) -> state.Progress:
    """Return the progress after a send that does not count.

    It was refused at once, before it could reach an upstream.
    """
    return dataclasses.replace(
        progress,
        sends_left=progress.sends_left + 1,
        busy_refusals=progress.busy_refusals + (reason in BUSY_REASONS),
        full_refusals=progress.full_refusals + (reason in FULL_REASONS),
    )


def may_ask_another(progress: state.Progress, account: state.Account) -> bool:
    """Return whether another instance is asked to start a call at once.

    Otherwise the call queues at an instance, or is refused there. Answers
    bursts in which some instances still have free slots, and floods in which
    none has.
    """
    max_full = next(
        limit
        for share, limit in _MAX_FULL_REFUSALS
        if account.full_share <= share
    )
    return (
        progress.busy_refusals < MAX_BUSY_REFUSALS
        and progress.full_refusals < max_full
    )


def record_ask(account: state.Account, *, is_full: bool) -> state.Account:
    """Return the account after an instance was asked to start a call.

    :param is_full: whether it had no free slot.
    """
    change = _FULL_SMOOTHING * (is_full - account.full_share)
    return dataclasses.replace(account, full_share=account.full_share + change)


def allow_queueing(progress: state.Progress) -> state.Progress:
    """Let the next send queue at any instance, those tried included."""
    return dataclasses.replace(progress, may_queue=True, tried=frozenset())


def may_resend(
    work: call.Call,
    progress: state.Progress,
    *,
    replayable: bool,
    now: float,
) -> bool:
    """Return whether a call may be sent again after a failure.

    :param progress: the progress after the failure.
    :param replayable: whether the body can be sent from its start.
    :param now: monotonic time in seconds.
    """
    return (
        (work.idempotent or not progress.may_have_run)
        and replayable
        and progress.sends_left > 0
        and progress.sends < MAX_SENDS
        and now < work.deadline
    )


def add_tokens(
    account: state.Account, share: float = TOKENS_PER_FIRST_SEND
) -> state.Account:
    """Return the account after a first send.

    :param share: the tokens that the send earns.
    """
    tokens = min(MAX_TOKENS, account.tokens + share)
    return dataclasses.replace(account, tokens=tokens)


def spend(account: state.Account) -> state.Account:
    """Pay one token for a retry or hedge."""
    return dataclasses.replace(account, tokens=account.tokens - 1)


def is_saturated(account: state.Account, now: float) -> bool:
    """Return whether the whole service counts as saturated."""
    return now < account.saturated_until


def record_saturation(account: state.Account, now: float) -> state.Account:
    """Mark the service as saturated after a second overload refusal."""
    return dataclasses.replace(account, saturated_until=now + SATURATION_S)


def record_latency(account: state.Account, latency_s: float) -> state.Account:
    """Update the estimated 95th percentile of the latency with a sample.

    A step up is 19 times as large as a step down, so that the estimate
    settles where 19 in 20 responses are faster.

    :param latency_s: seconds to the response headers; a lower bound if a
        hedge was answered first.
    """
    before = account.p95_latency_s or 2 * latency_s
    step = _P95_STEP_UP if latency_s > before else -_P95_STEP_DOWN
    return dataclasses.replace(account, p95_latency_s=before * (1 + step))


def find_hedge_delay(
    work: call.Call,
    progress: state.Progress,
    account: state.Account,
    *,
    replayable: bool,
    now: float,
) -> float | None:
    """Return how long to wait for a response before a hedge is sent.

    :param replayable: whether the body can be sent a second time.
    :param now: monotonic time in seconds.
    :returns: seconds, None if no hedge may be sent.
    """
    allowed = (
        work.idempotent
        and replayable
        and progress.sends_left > 1
        and account.p95_latency_s > 0
        and account.tokens >= MIN_HEDGE_TOKENS
        and not is_saturated(account, now)
    )
    if not allowed:
        return None
    delay_s = max(MIN_HEDGE_DELAY_S, account.p95_latency_s * _HEDGE_FACTOR)
    return delay_s if now + delay_s < work.deadline else None
