"""Decisions on sending a call again, beside another send, or not.

Two bounds hold together. The tokens that a call carries bound the sends
of one chain of calls: each layer takes its own share out of them and
passes the rest on, and nothing below a repeated call is sent again. The
account of an entry bounds their sum: first sends earn a share of a token,
every other send costs one. That holds for the sends below a repeated call
too, so that repeats above can't outrun what the layers below have earned.
"""

import dataclasses

from burdockdeal.core import call
from burdockdeal.core import verdict
from burdockdeal.retry import state

#: Sends that one layer may add to a call's first.
LAYER_TOKENS = 2

#: Tokens that a first send earns. With what the accounts hold at the
#: start, all sends stay within 1.1 times the first ones.
EARNED_SHARE = 0.08

#: Tokens that an account holds at most.
MOST_TOKENS = 10.0

#: Tokens that must be in the account for a hedge, which costs one.
HEDGE_TOKENS = 1.0

#: Seconds for which a service is taken for full once a call was refused
#: by two of its instances.
FULL_S = 0.1

#: The shortest wait before a hedge, in seconds.
LEAST_HEDGE_S = 0.002

_HEDGE_FACTOR = 1.2
_RISE = 0.095
_FALL = 0.005

#: Refusals by an instance that has no room.
FULL_REASONS = frozenset(
    {
        verdict.Reason.QUEUE_FULL,
        verdict.Reason.SHED,
        verdict.Reason.TARGET_MISSED,
        verdict.Reason.OVERLOADED,
    }
)

#: Refusals by an instance that is no longer there for the call.
GONE_REASONS = frozenset(
    {
        verdict.Reason.DRAINING,
        verdict.Reason.STALE_INSTANCE,
        verdict.Reason.UNREACHABLE,
    }
)

#: Sends of one call at most, those included that reach no upstream.
MOST_SENDS = 10

#: Refusals by an instance that can't start a call at that moment.
KNOCK_REASONS = frozenset(
    {verdict.Reason.SLOWED, verdict.Reason.BUSY, verdict.Reason.FAILING}
)

#: Refusals at once, by which nothing has reached an upstream and nothing
#: has waited: the call goes elsewhere at no cost.
PASSING_REASONS = GONE_REASONS | KNOCK_REASONS

#: Instances that a call asks in turn while none can start it at that
#: moment; it then waits at one.
MOST_KNOCKS = 4

#: Bytes of a body from which on a call rather waits where it is than goes
#: on to another instance.
PATIENT_BODY_BYTES = 16_384

#: Seconds for which an entry passes over an instance that was gone, unless
#: there is no other; the membership has then caught up.
GONE_S = 1.0

#: Statuses of answers that a repeated call may better.
FAILED_STATUSES = frozenset({500, 502, 503, 504})


def is_failure(status: int) -> bool:
    """Tell whether a repeated call may better an answer."""
    return status in FAILED_STATUSES


def find_allowance(depth: int) -> int:
    """Find the most tokens that a call may carry.

    :param depth: how many calls it is nested in.
    """
    return LAYER_TOKENS * max(0, call.MAX_DEPTH - depth)


def grant(depth: int, given: int | None) -> int:
    """Grant tokens to a call as it comes in.

    :param given: what it carries, None for nothing: it then gets all that
        its depth allows, since an upstream that doesn't pass the tokens on
        is not to be told from a caller.
    """
    allowance = find_allowance(depth)
    return allowance if given is None else min(given, allowance)


def is_first(work: call.Call) -> bool:
    """Tell whether a call stands below no repeated call."""
    return work.depth == 0 or work.retry_tokens > 0


def begin(work: call.Call) -> state.Progress:
    """Begin a call at its entry."""
    return state.Progress(
        left=1 + min(LAYER_TOKENS, work.retry_tokens, work.max_sends - 1),
        patient=work.body_bytes >= PATIENT_BODY_BYTES,
    )


def hand_down(work: call.Call, progress: state.Progress) -> call.Call:
    """Make the call that a send carries, with the tokens for below.

    :param progress: before the send.
    """
    left = max(0, work.retry_tokens - LAYER_TOKENS)
    tokens = 0 if progress.exposed else left
    return dataclasses.replace(
        work, retry_tokens=tokens, repeated=progress.reached
    )


def note_send(progress: state.Progress, daemon: str) -> state.Progress:
    """Take in that a call is sent."""
    return dataclasses.replace(
        progress,
        left=progress.left - 1,
        sends=progress.sends + 1,
        tried=progress.tried | {daemon},
    )


def has_arrived(
    outcome: verdict.Verdict, reason: verdict.Reason | None
) -> bool:
    """Tell whether a send that failed may have reached an upstream.

    :param reason: None for an upstream's own answer.
    """
    ran = outcome is not verdict.Verdict.NOT_RUN
    return ran or reason is verdict.Reason.UPSTREAM_REFUSED


def note_failure(
    progress: state.Progress,
    outcome: verdict.Verdict,
    reason: verdict.Reason | None,
) -> state.Progress:
    """Take in that a send failed.

    :param reason: None for an upstream's own answer.
    """
    return dataclasses.replace(
        progress,
        exposed=progress.exposed or outcome is not verdict.Verdict.NOT_RUN,
        reached=progress.reached or has_arrived(outcome, reason),
        refused=progress.refused or reason in FULL_REASONS,
    )


def note_unreached(
    progress: state.Progress, reason: verdict.Reason
) -> state.Progress:
    """Take in that a send did not reach an upstream, so counts as none."""
    return dataclasses.replace(
        progress,
        left=progress.left + 1,
        knocks=progress.knocks + (reason in KNOCK_REASONS),
    )


def wait_for_turn(progress: state.Progress) -> state.Progress:
    """Let a call wait at any instance, as none could start it at once."""
    return dataclasses.replace(progress, patient=True, tried=frozenset())


def may_resend(
    work: call.Call,
    progress: state.Progress,
    *,
    replayable: bool,
    now: float,
) -> bool:
    """Tell whether a call whose sends failed may be sent again.

    :param progress: after the failure.
    :param replayable: whether the body can be sent from its start.
    :param now: monotonic time in seconds.
    """
    return (
        (work.idempotent or not progress.exposed)
        and replayable
        and progress.left > 0
        and progress.sends < MOST_SENDS
        and now < work.deadline
    )


def earn(account: state.Account, share: float = EARNED_SHARE) -> state.Account:
    """Take in a first send.

    :param share: the tokens that it earns.
    """
    tokens = min(MOST_TOKENS, account.tokens + share)
    return dataclasses.replace(account, tokens=tokens)


def pay(account: state.Account) -> state.Account | None:
    """Pay for a send that is not a first one.

    :returns: the account after it, None if it can't pay.
    """
    if account.tokens < 1:
        return None
    return dataclasses.replace(account, tokens=account.tokens - 1)


def is_full(account: state.Account, now: float) -> bool:
    """Tell whether a whole service is taken for full."""
    return now < account.full_until


def note_full(account: state.Account, now: float) -> state.Account:
    """Take in that a second instance refused a call for want of room."""
    return dataclasses.replace(account, full_until=now + FULL_S)


def note_latency(account: state.Account, latency_s: float) -> state.Account:
    """Take in how long an answer's head took, or at least took.

    The estimate rises nineteen times as far as it falls, so that it comes
    to rest where 19 in 20 answers are faster.
    """
    before = account.usual_s or 2 * latency_s
    step = _RISE if latency_s > before else -_FALL
    return dataclasses.replace(account, usual_s=before * (1 + step))


def find_hedge_delay(
    work: call.Call,
    progress: state.Progress,
    account: state.Account,
    *,
    replayable: bool,
    now: float,
) -> float | None:
    """Find how long to wait for an answer before a hedge is sent.

    :returns: seconds, None if no hedge may be sent.
    """
    allowed = (
        work.idempotent
        and replayable
        and progress.left > 1
        and account.usual_s > 0
        and account.tokens >= HEDGE_TOKENS
        and not is_full(account, now)
    )
    if not allowed:
        return None
    delay_s = max(LEAST_HEDGE_S, account.usual_s * _HEDGE_FACTOR)
    return delay_s if now + delay_s < work.deadline else None
