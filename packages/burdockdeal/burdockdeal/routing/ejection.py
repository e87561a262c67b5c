"""Decisions on leaving an instance out and letting it back."""

from collections import abc
import dataclasses

from burdockdeal.routing import state

#: Failures in a row after which an instance is ejected.
FAILURES_TO_EJECT = 2

#: Calls in a row that take far too long, after which it is ejected.
LAGS_TO_EJECT = 2

#: Seconds of the first ejection; each that follows at once doubles it.
FIRST_EJECTION_S = 0.5
LONGEST_EJECTION_S = 16.0

#: Seconds of good conduct after which ejections are forgotten.
FORGET_S = 30.0

#: Calls in flight to an instance that is let back, before the bound goes.
FULL_ALLOWANCE = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """An answer came as it should."""


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """A call failed, or the upstream answered with a server error.

    :param calls: how many calls show it.
    """

    calls: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Lagged:
    """An instance is far slower than is usual, or silent.

    :param calls: how many calls show it.
    """

    calls: int = 1


Event = Answered | Failed | Lagged


def last_ejection_s(health: state.InstanceHealth) -> float:
    """Tell how long the newest ejection lasts, in seconds."""
    doubled = FIRST_EJECTION_S * 2 ** max(0, health.ejections - 1)
    return min(LONGEST_EJECTION_S, doubled)


def is_ejected(health: state.InstanceHealth, now: float) -> bool:
    """Tell whether an instance gets no calls at all."""
    return now < health.ejected_until


def awaits_trial(health: state.InstanceHealth) -> bool:
    """Tell whether an ejection has not been ended by a good answer."""
    return health.allowance == 1


def is_trial_due(
    health: state.InstanceHealth, now: float, patience: float
) -> bool:
    """Tell whether an ejected instance may be tried with one call.

    :param patience: how many more times the ejection's length to wait;
        0 for the calls that are risked first.
    """
    wait_s = patience * last_ejection_s(health)
    return awaits_trial(health) and now >= health.ejected_until + wait_s


def _eject(health: state.InstanceHealth, now: float) -> state.InstanceHealth:
    lapsed = now - health.ejected_until > FORGET_S
    ejections = 1 if lapsed else health.ejections + 1
    ejected = dataclasses.replace(health, ejections=ejections, allowance=1)
    return dataclasses.replace(
        ejected,
        streak=0,
        lags=0,
        ejected_until=now + last_ejection_s(ejected),
    )


def _answer(
    health: state.InstanceHealth, event: Answered, now: float, may: bool
) -> state.InstanceHealth:
    if is_ejected(health, now):
        return health
    allowance = health.allowance
    if allowance is not None:
        allowance = allowance * 2 if allowance < FULL_ALLOWANCE else None
    calm = not health.streak and not health.lags
    if calm and allowance == health.allowance:
        return health
    return dataclasses.replace(health, streak=0, lags=0, allowance=allowance)


def _fail(
    health: state.InstanceHealth, event: Failed, now: float, may: bool
) -> state.InstanceHealth:
    if is_ejected(health, now):
        return health
    failed = dataclasses.replace(health, streak=health.streak + event.calls)
    let_back = health.allowance is not None
    enough = failed.streak >= FAILURES_TO_EJECT or let_back
    return _eject(failed, now) if enough and may else failed


def _lag(
    health: state.InstanceHealth, event: Lagged, now: float, may: bool
) -> state.InstanceHealth:
    if is_ejected(health, now):
        return health
    lagged = dataclasses.replace(health, lags=health.lags + event.calls)
    let_back = health.allowance is not None
    enough = lagged.lags >= LAGS_TO_EJECT or let_back
    return _eject(lagged, now) if enough and may else lagged


_TABLE: dict[type, abc.Callable[..., state.InstanceHealth]] = {
    Answered: _answer,
    Failed: _fail,
    Lagged: _lag,
}


def step(
    health: state.InstanceHealth, event: Event, now: float, *, may_eject: bool
) -> state.InstanceHealth:
    """Take an event into account.

    :param now: monotonic time in seconds.
    :param may_eject: whether the service's cap leaves room.
    """
    return _TABLE[type(event)](health, event, now, may_eject)


def count_ejectable(instances: int, share: float) -> int:
    """Tell how many instances of a service may be ejected at once.

    One always remains, whatever the share.
    """
    return min(int(instances * share + 1e-9), max(0, instances - 1))
