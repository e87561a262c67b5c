"""The state of retries: budgets, counters and the progress of a call."""

import dataclasses

#: Tokens of a new account, so that a service's rank may retry before it has
#: earned any.
INITIAL_TOKENS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """The retry budget of one rank at one service, a token bucket.

    :param tokens: number of retries and hedges that can be paid for.
    :param saturated_until: monotonic time in seconds until which the whole
        service counts as saturated.
    :param p95_latency_s: estimated 95th percentile of the time to the
        response headers, in seconds; 0 before the first.
    :param full_share: smoothed share of the instances that were asked to
        start a call at once and had no free slot.
    """

    tokens: float = INITIAL_TOKENS
    saturated_until: float = 0.0
    p95_latency_s: float = 0.0
    full_share: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class SendCounters:
    """Counts of the sends of this daemon since its start, for metrics.

    :param sends: all sends that reached a daemon or an upstream, except
        those refused at once because the instance was busy.
    :param first_sends: first sends of calls that are not made on behalf of
        a retry.
    :param hedges: sends made while an earlier one was still in flight.
    :param denied: retries and hedges that only the budget forbade.
    """

    sends: int = 0
    first_sends: int = 0
    hedges: int = 0
    denied: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """The progress of one call at the daemon that received it.

    :param sends_left: sends that may still reach an upstream.
    :param sends: sends so far.
    :param tried: names of the daemons that it was sent to.
    :param may_have_run: whether an earlier send may have run.
    :param reached_upstream: whether an earlier send may have reached an
        upstream.
    :param overload_refused: whether an instance refused an earlier send
        because it was overloaded.
    :param busy_refusals: instances that refused it since they could not
        start it at once.
    :param full_refusals: those of them that had no free slot.
    :param may_queue: whether it may wait in the queue of the instance that
        it is sent to next.
    """

    sends_left: int
    sends: int = 0
    tried: frozenset[str] = frozenset()
    may_have_run: bool = False
    reached_upstream: bool = False
    overload_refused: bool = False
    busy_refusals: int = 0
    full_refusals: int = 0
    may_queue: bool = False
