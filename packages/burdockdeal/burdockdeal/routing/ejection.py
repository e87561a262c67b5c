"""Decides when an instance is ejected and how it is readmitted.

An ejected instance gets no calls until the ejection ends. It then gets a
single trial call; after each success the limit of calls in flight doubles
until it is lifted.
"""

from collections import abc
import dataclasses

from burdockdeal.routing import state

#: Consecutive failures after which an instance is ejected.
FAILURES_TO_EJECT = 2

#: Consecutive calls that are too slow after which an instance is ejected.
SLOW_CALLS_TO_EJECT = 2

#: Length of the first ejection, in seconds; it doubles with each consecutive
#: ejection up to the maximum.
BASE_EJECTION_S = 0.5
MAX_EJECTION_S = 16.0

#: Seconds after the end of an ejection after which the length starts over.
EJECTION_RESET_S = 30.0

#: Limit of calls in flight to a readmitted instance after which the next
#: success lifts the limit.
MAX_READMISSION_LIMIT = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Succeeded:
    """The instance responded in time and without a server error."""


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """A call failed, or the upstream responded with a server error.

    :param calls: the number of failed calls that the event counts as.
    """

    calls: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class TooSlow:
    """An instance is far slower than usual, or does not respond.

    :param calls: the number of slow calls that the event counts as.
    """

    calls: int = 1


Event = Succeeded | Failed | TooSlow


def get_ejection_length_s(health: state.InstanceHealth) -> float:
    """Return the length of the latest ejection, in seconds."""
    doubled = BASE_EJECTION_S * 2 ** max(0, health.ejections - 1)
    return min(MAX_EJECTION_S, doubled)


def is_ejected(health: state.InstanceHealth, now: float) -> bool:
    """Return whether an instance gets no calls at all.

    :param now: monotonic time in seconds.
    """
    return now < health.ejected_until


def awaits_trial(health: state.InstanceHealth) -> bool:
    """Return whether no trial call has succeeded since the last ejection."""
    return health.readmission_limit == 1


def is_trial_due(
    health: state.InstanceHealth, now: float, trial_delay_factor: float
) -> bool:
    """Return whether an ejected instance may get a trial call.

    :param now: monotonic time in seconds.
    :param trial_delay_factor: how long to wait after the end of the
        ejection, as a multiple of its length; 0 for the calls that are used
        as trial calls first.
    """
    wait_s = trial_delay_factor * get_ejection_length_s(health)
    return awaits_trial(health) and now >= health.ejected_until + wait_s


def _eject(health: state.InstanceHealth, now: float) -> state.InstanceHealth:
    has_reset = now - health.ejected_until > EJECTION_RESET_S
    ejections = 1 if has_reset else health.ejections + 1
    ejected = dataclasses.replace(
        health, ejections=ejections, readmission_limit=1
    )
    return dataclasses.replace(
        ejected,
        consecutive_failures=0,
        consecutive_slow=0,
        ejected_until=now + get_ejection_length_s(ejected),
    )


def _handle_success(
    health: state.InstanceHealth, event: Succeeded, now: float, may_eject: bool
) -> state.InstanceHealth:
    if is_ejected(health, now):
        return health
    readmission_limit = health.readmission_limit
    if readmission_limit is not None:
        readmission_limit = (
            readmission_limit * 2
            if readmission_limit < MAX_READMISSION_LIMIT
            else None
        )
    no_failures = (
        not health.consecutive_failures and not health.consecutive_slow
    )
    if no_failures and readmission_limit == health.readmission_limit:
        return health
    return dataclasses.replace(
        health,
        consecutive_failures=0,
        consecutive_slow=0,
        readmission_limit=readmission_limit,
    )


def _handle_failure(
    health: state.InstanceHealth, event: Failed, now: float, may_eject: bool
) -> state.InstanceHealth:
    if is_ejected(health, now):
        return health
    failed = dataclasses.replace(
        health, consecutive_failures=health.consecutive_failures + event.calls
    )
    readmitting = health.readmission_limit is not None
    should_eject = (
        failed.consecutive_failures >= FAILURES_TO_EJECT or readmitting
    )
    return _eject(failed, now) if should_eject and may_eject else failed


def _handle_slow(
    health: state.InstanceHealth, event: TooSlow, now: float, may_eject: bool
) -> state.InstanceHealth:
    if is_ejected(health, now):
        return health
    slowed = dataclasses.replace(
        health, consecutive_slow=health.consecutive_slow + event.calls
    )
    readmitting = health.readmission_limit is not None
    should_eject = (
        slowed.consecutive_slow >= SLOW_CALLS_TO_EJECT or readmitting
    )
    return _eject(slowed, now) if should_eject and may_eject else slowed


_HANDLERS: dict[type, abc.Callable[..., state.InstanceHealth]] = {
    Succeeded: _handle_success,
    Failed: _handle_failure,
    TooSlow: _handle_slow,
}


def apply_event(
    health: state.InstanceHealth, event: Event, now: float, *, may_eject: bool
) -> state.InstanceHealth:
    """Return the health of an instance after an event.

    :param now: monotonic time in seconds.
    :param may_eject: whether an ejection keeps within the service's cap.
    """
    return _HANDLERS[type(event)](health, event, now, may_eject)


def find_ejection_cap(instances: int, share: float) -> int:
    """Return how many instances of a service may be ejected at once.

    At least one instance always remains, whatever the share.
    """
    return min(int(instances * share + 1e-9), max(0, instances - 1))
