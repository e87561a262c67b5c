"""Decisions on the upstream's life, as a state table."""

from collections import abc
import dataclasses

from burdockdeal.announce import messages
from burdockdeal.announce import state

#: Seconds between two heartbeats.
HEARTBEAT_S = 0.5

#: Seconds between two tries to reach an upstream that still announces.
UNREACHABLE_BACKOFF_S = 0.5

Phase = state.Phase


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """Its address took no connection."""


Event = (
    messages.Announce
    | messages.Heartbeat
    | messages.Drain
    | Unreachable
    | Tick
)


def _lease_s(upstream: state.Upstream) -> float:
    return upstream.announce.lease_s if upstream.announce else 0.0


def _announce(
    upstream: state.Upstream, event: messages.Announce, now: float
) -> state.Upstream:
    if event.incarnation < upstream.incarnation:
        return upstream
    if event.incarnation == upstream.incarnation:
        return dataclasses.replace(upstream, announce=event)
    # It serves from its first heartbeat on: an announce may be old, as
    # after a pause of this process, and a heartbeat shows its age.
    return state.Upstream(phase=Phase.LAPSED, announce=event, since=now)


def _beat(
    upstream: state.Upstream, event: messages.Heartbeat, now: float
) -> state.Upstream:
    if event.incarnation != upstream.incarnation:
        return upstream
    heard_at = max(upstream.heard_at, min(now, event.echo))
    phase = Phase.SERVING
    if event.draining or upstream.phase is Phase.DRAINING:
        phase = Phase.DRAINING
    elif now - heard_at > _lease_s(upstream):
        phase = Phase.LAPSED
    return dataclasses.replace(
        upstream,
        phase=phase,
        heard_at=heard_at,
        reported_in_flight=event.in_flight,
        reported_healthy=event.healthy,
    )


def _drain(
    upstream: state.Upstream, event: messages.Drain, now: float
) -> state.Upstream:
    if event.incarnation != upstream.incarnation:
        return upstream
    return dataclasses.replace(upstream, phase=Phase.DRAINING)


def _bar(
    upstream: state.Upstream, event: Unreachable, now: float
) -> state.Upstream:
    return dataclasses.replace(
        upstream, barred_until=now + UNREACHABLE_BACKOFF_S
    )


def _tick(upstream: state.Upstream, event: Tick, now: float) -> state.Upstream:
    lapses = upstream.phase is Phase.SERVING
    if not lapses or now - upstream.heard_at <= _lease_s(upstream):
        return upstream
    return dataclasses.replace(upstream, phase=Phase.LAPSED)


_TABLE: dict[type, abc.Callable[..., state.Upstream]] = {
    messages.Announce: _announce,
    messages.Heartbeat: _beat,
    messages.Drain: _drain,
    Unreachable: _bar,
    Tick: _tick,
}


def step(upstream: state.Upstream, event: Event, now: float) -> state.Upstream:
    """Take an event into account.

    :param now: monotonic time in seconds.
    :returns: the upstream as it is known after the event; unchanged by a
        message of another incarnation.
    """
    return _TABLE[type(event)](upstream, event, now)


def may_start_call(upstream: state.Upstream, now: float) -> bool:
    """Tell whether a new call may start on the upstream.

    The lease is compared with the clock here and not left to a timer, so
    that a daemon that was paused gives up before anything else runs.
    """
    return (
        upstream.phase is Phase.SERVING
        and now - upstream.heard_at <= _lease_s(upstream)
        and now >= upstream.barred_until
    )


def compute_warm_up_share(upstream: state.Upstream, now: float) -> float:
    """Tell which share of its slots a cold upstream may use.

    :returns: a share from 0.1 to 1.
    """
    warm_up_s = upstream.announce.warm_up_s if upstream.announce else 0.0
    if warm_up_s <= 0:
        return 1.0
    return min(1.0, max(0.1, (now - upstream.since) / warm_up_s))
