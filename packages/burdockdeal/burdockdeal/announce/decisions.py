"""State transitions of the local upstream's lifecycle."""

from collections import abc
import dataclasses
import math

from burdockdeal.announce import messages
from burdockdeal.announce import state

#: Seconds between two heartbeats of the upstream.
HEARTBEAT_S = 0.5

#: Seconds without calls after a failed connection attempt to an upstream
#: whose heartbeats still arrive.
UNREACHABLE_BACKOFF_S = 0.5

Phase = state.Phase


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Lets a lapsed lease take effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """A connection attempt to the upstream's address failed."""


@dataclasses.dataclass(frozen=True, slots=True)
class ColdReport:
    """A health response says for how long the upstream is still cold.

    :param cold_ms: milliseconds, 0 if it is warm.
    """

    incarnation: int
    cold_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class ColdUnknown:
    """What the upstream has reported on being cold is no longer valid."""


Event = (
    messages.Announce
    | messages.Heartbeat
    | messages.Drain
    | Unreachable
    | Tick
    | ColdReport
    | ColdUnknown
)


def _get_lease_s(upstream: state.Upstream) -> float:
    return upstream.announce.lease_s if upstream.announce else 0.0


def _announce(
    upstream: state.Upstream, event: messages.Announce, now: float
) -> state.Upstream:
    if event.incarnation < upstream.incarnation:
        return upstream
    if event.incarnation == upstream.incarnation:
        return dataclasses.replace(upstream, announce=event)
    # The upstream serves only from its first heartbeat on. An announcement
    # may be stale, for example after a pause of this process, and carries
    # nothing that shows its age; a heartbeat does (Heartbeat.echo).
    return state.Upstream(phase=Phase.LAPSED, announce=event, announced_at=now)


def _renew_lease(
    upstream: state.Upstream, event: messages.Heartbeat, now: float
) -> state.Upstream:
    if event.incarnation != upstream.incarnation:
        return upstream
    last_alive_at = max(upstream.last_alive_at, min(now, event.echo))
    phase = Phase.SERVING
    if event.draining or upstream.phase is Phase.DRAINING:
        phase = Phase.DRAINING
    elif now - last_alive_at > _get_lease_s(upstream):
        phase = Phase.LAPSED
    return dataclasses.replace(
        upstream,
        phase=phase,
        last_alive_at=last_alive_at,
        reported_in_flight=event.in_flight,
        reported_healthy=event.healthy,
        cold_until=upstream.cold_until
        if event.cold_ms is None
        else _find_cold_end(event.cold_ms, now),
    )


def _find_cold_end(cold_ms: float, now: float) -> float:
    return now + max(0.0, cold_ms) / 1000


def _report_cold(
    upstream: state.Upstream, event: ColdReport, now: float
) -> state.Upstream:
    if event.incarnation != upstream.incarnation:
        return upstream
    return dataclasses.replace(
        upstream, cold_until=_find_cold_end(event.cold_ms, now)
    )


def _forget_cold(
    upstream: state.Upstream, event: ColdUnknown, now: float
) -> state.Upstream:
    return dataclasses.replace(upstream, cold_until=None)


def _drain(
    upstream: state.Upstream, event: messages.Drain, now: float
) -> state.Upstream:
    if event.incarnation != upstream.incarnation:
        return upstream
    return dataclasses.replace(upstream, phase=Phase.DRAINING)


def _back_off(
    upstream: state.Upstream, event: Unreachable, now: float
) -> state.Upstream:
    return dataclasses.replace(
        upstream, backoff_until=now + UNREACHABLE_BACKOFF_S
    )


def _check_lease(
    upstream: state.Upstream, event: Tick, now: float
) -> state.Upstream:
    is_serving = upstream.phase is Phase.SERVING
    if not is_serving or now - upstream.last_alive_at <= _get_lease_s(
        upstream
    ):
        return upstream
    return dataclasses.replace(upstream, phase=Phase.LAPSED)


_TRANSITIONS: dict[type, abc.Callable[..., state.Upstream]] = {
    messages.Announce: _announce,
    messages.Heartbeat: _renew_lease,
    messages.Drain: _drain,
    Unreachable: _back_off,
    Tick: _check_lease,
    ColdReport: _report_cold,
    ColdUnknown: _forget_cold,
}


def step(upstream: state.Upstream, event: Event, now: float) -> state.Upstream:
    """Compute the upstream's state after an event.

    :param now: monotonic time in seconds.
    :returns: the new state. Messages of an older incarnation leave it
        unchanged, and of a newer one only an announcement changes it.
    """
    return _TRANSITIONS[type(event)](upstream, event, now)


def may_start_call(upstream: state.Upstream, now: float) -> bool:
    """Return whether a new call may start on the upstream.

    The lease is compared with the clock on every call instead of by a timer,
    so that a daemon resuming from a pause starts no call on a lapsed lease
    even before its timers have run.

    :param now: monotonic time in seconds.
    """
    return (
        upstream.phase is Phase.SERVING
        and now - upstream.last_alive_at <= _get_lease_s(upstream)
        and now >= upstream.backoff_until
    )


def find_cold_end(upstream: state.Upstream) -> float:
    """Find when the upstream stops being cold.

    Handles a restart of the daemon under load: until the upstream has
    reported, it counts as cold.

    :returns: monotonic time in seconds, infinite if it isn't known.
    """
    return math.inf if upstream.cold_until is None else upstream.cold_until


def compute_warm_up_share(upstream: state.Upstream, now: float) -> float:
    """Compute the share of its slots that a warming upstream may use.

    The share grows linearly with the time since the announcement.

    :param now: monotonic time in seconds.
    :returns: a share from 0.1 to 1; always 1 without a warm-up period.
    """
    warm_up_s = upstream.announce.warm_up_s if upstream.announce else 0.0
    if warm_up_s <= 0:
        return 1.0
    return min(1.0, max(0.1, (now - upstream.announced_at) / warm_up_s))
