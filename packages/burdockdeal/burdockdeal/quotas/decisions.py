"""Decides what is lent, held, refused and returned of a workspace's credit."""

from collections import abc
import dataclasses
import math

from burdockdeal.configuration import resources
from burdockdeal.quotas import messages
from burdockdeal.quotas import state
from burdockdeal.settings import fleet_terms

#: Seconds for which credit can be used.
TTL_S = 0.5

#: Seconds before its expiry at which unused credit is returned.
RETURN_MARGIN_S = 0.1

#: Seconds for which an entry refuses at most without asking again.
MAX_REFUSAL_S = 5.0

#: Seconds for which it does so at least, so that it can't spin on a lender
#: that always answers that credit is about to be available.
_MIN_REFUSAL_S = 0.005

#: Seconds over which the times of refused entries are spread at most.
_MAX_SPREAD_S = 1.0

#: Seconds until an entry that reached no lender asks again, at least and at
#: most.
_NO_LENDER_S = 0.2
_MAX_NO_LENDER_S = 1.0

#: Seconds over which an entry measures its demand.
_DEMAND_S = 1.0

#: The longest time that a refused caller is told, in seconds.
_MAX_RETRY_AFTER_S = 86_400.0

#: What rounding may take from the level of a bucket.
_ROUNDING = 1e-6

#: The part of the slack for lending that can't be coordinated with the
#: lender; the entries' own allowance has the other half.
_SLACK_SHARE = 0.5

#: The most by which the share of the fleet that a lender reaches rises with
#: a sample.
_SHARE_STEP = 0.25

#: Minimum seconds between two requests of one entry on its own allowance.
_MIN_OWN_INTERVAL_S = 1.0


def find_limit(workspace: resources.Workspace) -> state.Limit | None:
    """Return the quota of a workspace, None if it has none."""
    if workspace.requests_per_s <= 0:
        return None
    return state.Limit(workspace.requests_per_s, workspace.burst)


def compute_capacity(limit: state.Limit) -> float:
    """Compute the most credits that a bucket holds.

    A burst below 1 would never lend a whole credit.
    """
    return max(1.0, limit.burst)


def open_bucket(
    limit: state.Limit, rate: float, since: float, now: float
) -> state.Bucket:
    """Make the bucket of a lender that has not lent to a workspace yet.

    :param rate: credits per second.
    :param since: since when this daemon is its lender. The bucket was empty
        at that time, so that two successive lenders don't lend a burst twice.
    """
    level = min(compute_capacity(limit), max(0.0, now - since) * rate)
    return state.Bucket(level, rate, now, now)


def refill(
    bucket: state.Bucket, limit: state.Limit, rate: float, now: float
) -> state.Bucket:
    """Fill a bucket for the time since its last use.

    Answers a change of the limit while it is in use: a lower burst cuts the
    level immediately, and a higher rate does not apply to the past, nor do
    the times that refused entries were told by the lower one.
    """
    elapsed_s = max(0.0, now - bucket.updated_at)
    filled = bucket.level + elapsed_s * min(rate, bucket.rate)
    return dataclasses.replace(
        bucket,
        level=min(compute_capacity(limit), filled),
        rate=rate,
        updated_at=now,
        promised_until=0.0 if rate > bucket.rate else bucket.promised_until,
    )


def lend(
    bucket: state.Bucket,
    limit: state.Limit,
    request: messages.CreditRequest,
    now: float,
) -> tuple[state.Bucket, messages.CreditReply]:
    """Decide what a request for credit gets from a bucket filled up to now.

    Answers a workspace at several times its quota at all entries: the times
    told to refused entries are spaced by the rate, so that they don't all
    return for the same credit.
    """
    capacity = compute_capacity(limit)
    level = min(capacity, bucket.level + max(0, request.returned))
    granted = max(0, min(request.wanted, int(level + _ROUNDING)))
    left = max(0.0, level - granted)
    changed = dataclasses.replace(bucket, level=left, asked_at=now)
    if granted >= request.wanted:
        return changed, messages.CreditReply(granted, TTL_S)
    base_s = _compute_wait_s(left, bucket.rate)
    retry_at = min(
        max(now + base_s, bucket.promised_until),
        now + max(base_s, _MAX_SPREAD_S),
    )
    changed = dataclasses.replace(
        changed,
        promised_until=retry_at + _compute_wait_s(0.0, bucket.rate),
    )
    return changed, messages.CreditReply(granted, TTL_S, retry_at - now)


def _compute_wait_s(level: float, rate: float) -> float:
    if rate <= 0:
        return _MAX_RETRY_AFTER_S
    return min(_MAX_RETRY_AFTER_S, max(0.0, 1 - level) / rate)


def is_disposable(
    bucket: state.Bucket, limit: state.Limit | None, now: float, idle_s: float
) -> bool:
    """Return whether a bucket would be the same if it were opened anew.

    :param limit: the workspace's quota, None if it has none any more.
    """
    if limit is None:
        return True
    is_full = refill(
        bucket, limit, bucket.rate, now
    ).level >= compute_capacity(limit)
    return is_full and now - bucket.asked_at >= idle_s


def compute_held_rate(terms: fleet_terms.QuotaTerms, rate: float) -> float:
    """Compute the rate while the lender may still be lending elsewhere.

    Answers a network partition in its first seconds, in which both sides
    take all daemons to be alive: what the second lender lends is charged
    against the slack.

    :param rate: credits per second at other times.
    """
    return min(rate, _SLACK_SHARE * terms.slack / terms.window_s)


def update_reached_share(
    share: float, answered: abc.Collection[bool]
) -> float:
    """Update the share of the fleet that a lender reaches by a sample.

    Answers a network partition: what the lenders of its sides lend adds up to
    the rate. The share falls at once and rises slowly, since a daemon that has
    lent in this one's place takes a moment to notice that it is back.

    :param answered: whether each daemon of the sample has answered.
    """
    if not answered:
        return 1.0
    reached = sum(answered) / len(answered)
    return min(reached, share + _SHARE_STEP)


def compute_own_interval_s(
    terms: fleet_terms.QuotaTerms, daemon_count: int
) -> float:
    """Compute the seconds between two requests on an entry's own allowance.

    Answers the loss of a lender in a large fleet: all entries together stay
    within their part of the slack.
    """
    allowed = _SLACK_SHARE * terms.slack
    if allowed <= 0:
        return math.inf
    return max(_MIN_OWN_INTERVAL_S, daemon_count * terms.window_s / allowed)


def record_demand(holding: state.Holding, now: float) -> state.Holding:
    """Count a request of the workspace at this entry."""
    return dataclasses.replace(
        holding, demand=_decay_demand(holding, now) + 1, demanded_at=now
    )


def _decay_demand(holding: state.Holding, now: float) -> float:
    age_s = max(0.0, now - holding.demanded_at)
    return holding.demand * math.exp(-age_s / _DEMAND_S)


def choose_wanted(holding: state.Holding, waiting: int, now: float) -> int:
    """Choose how many credits to ask for.

    One standard deviation less than the demand expected during their life:
    credits that expire unused are lost to the workspace.

    :param waiting: the number of requests that wait for credit.
    """
    expected = _decay_demand(holding, now) / _DEMAND_S * TTL_S
    return max(1, waiting, int(expected - math.sqrt(expected)))


def count_usable(holding: state.Holding, now: float) -> int:
    """Count the credits that have not expired."""
    return holding.held if now < holding.expires_at else 0


def take(holding: state.Holding, now: float) -> state.Holding | None:
    """Take one credit; None if the entry holds none."""
    if not count_usable(holding, now):
        return None
    return dataclasses.replace(holding, held=holding.held - 1)


def take_own(
    holding: state.Holding, interval_s: float, now: float
) -> state.Holding | None:
    """Use the entry's own allowance; None if it is used up.

    :param interval_s: seconds between two requests on the allowance.
    """
    if holding.lender or holding.own_at is None or now < holding.own_at:
        return None
    return dataclasses.replace(holding, own_at=now + interval_s)


def give_back(
    holding: state.Holding, expires_at: float, now: float
) -> state.Holding:
    """Return the credit of a request that did not run, unless it expired.

    :param expires_at: when the credit expires.
    """
    if now >= expires_at:
        return holding
    return _add_credit(holding, 1, expires_at, now)


def _add_credit(
    holding: state.Holding, count: int, expires_at: float, now: float
) -> state.Holding:
    """Add credits; all that are held expire with the first of them."""
    usable = count_usable(holding, now)
    if usable:
        expires_at = min(expires_at, holding.expires_at)
    return dataclasses.replace(
        holding, held=usable + count, expires_at=expires_at
    )


def apply_reply(
    holding: state.Holding,
    reply: messages.CreditReply | None,
    lender: str,
    asked_at: float,
    now: float,
) -> state.Holding:
    """Apply what a lender answered.

    Credit counts from the sending of the question, so that an entry that was
    paused before it read the reply does not use credit of the past.

    :param reply: the reply, None if no daemon answered.
    :param lender: the daemon that answered.
    :param asked_at: when the question was sent.
    """
    if reply is None or reply.unavailable:
        wait_s = max(_NO_LENDER_S, reply.retry_after_s if reply else 0.0)
        return dataclasses.replace(
            holding,
            lender="",
            refused_until=now + min(_MAX_NO_LENDER_S, wait_s),
            retry_at=now + wait_s,
        )
    least_s = 0.0 if reply.granted > 0 else _MIN_REFUSAL_S
    retry_s = max(least_s, reply.retry_after_s)
    expires_at = asked_at + min(TTL_S, reply.ttl_s)
    return dataclasses.replace(
        _add_credit(holding, max(0, reply.granted), expires_at, now),
        lender=lender,
        refused_until=now + min(MAX_REFUSAL_S, retry_s),
        retry_at=now + retry_s,
    )
