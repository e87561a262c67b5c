"""State transitions of a daemon's shutdown."""

from collections import abc
import dataclasses

from burdockdeal.shutdown import messages
from burdockdeal.shutdown import state

Phase = state.Phase
#: Seconds before the end of a stop by which requests get their final
#: responses.
RESPONSE_S = 0.3

Event = (
    messages.StopRequested
    | messages.Superseded
    | messages.Failed
    | messages.Tick
)


def _start_leaving(
    shutdown: state.Shutdown,
    event: Event,
    timeouts: state.Timeouts,
    now: float,
) -> state.Shutdown:
    return state.Shutdown(
        Phase.LEAVING,
        now,
        is_requested=isinstance(event, messages.StopRequested),
        has_failed=isinstance(event, messages.Failed),
    )


def _request_again(
    shutdown: state.Shutdown,
    event: Event,
    timeouts: state.Timeouts,
    now: float,
) -> state.Shutdown:
    """Abort at the second request, not at one that follows a failure."""
    if shutdown.is_requested:
        return _abort(shutdown, event, timeouts, now)
    return dataclasses.replace(shutdown, is_requested=True)


def _record_failure(
    shutdown: state.Shutdown,
    event: Event,
    timeouts: state.Timeouts,
    now: float,
) -> state.Shutdown:
    return dataclasses.replace(shutdown, has_failed=True)


def _abort(
    shutdown: state.Shutdown,
    event: Event,
    timeouts: state.Timeouts,
    now: float,
) -> state.Shutdown:
    return dataclasses.replace(shutdown, phase=Phase.CUT)


def _check_linger(
    shutdown: state.Shutdown,
    event: Event,
    timeouts: state.Timeouts,
    now: float,
) -> state.Shutdown:
    if now - shutdown.requested_at >= timeouts.stop_s:
        return _abort(shutdown, event, timeouts, now)
    if now - shutdown.requested_at < timeouts.linger_s:
        return shutdown
    return dataclasses.replace(shutdown, phase=Phase.FINISHING)


def _check_completion(
    shutdown: state.Shutdown,
    event: messages.Tick,
    timeouts: state.Timeouts,
    now: float,
) -> state.Shutdown:
    if not event.busy:
        return dataclasses.replace(shutdown, phase=Phase.ENDED)
    if now - shutdown.requested_at >= timeouts.stop_s:
        return _abort(shutdown, event, timeouts, now)
    return shutdown


_TRANSITIONS: dict[tuple[Phase, type], abc.Callable[..., state.Shutdown]] = {
    (Phase.RUNNING, messages.StopRequested): _start_leaving,
    (Phase.RUNNING, messages.Superseded): _start_leaving,
    (Phase.RUNNING, messages.Failed): _start_leaving,
    (Phase.LEAVING, messages.StopRequested): _request_again,
    (Phase.LEAVING, messages.Failed): _record_failure,
    (Phase.LEAVING, messages.Tick): _check_linger,
    (Phase.FINISHING, messages.StopRequested): _request_again,
    (Phase.FINISHING, messages.Failed): _record_failure,
    (Phase.FINISHING, messages.Tick): _check_completion,
}


def limit_deadline(
    shutdown: state.Shutdown, timeouts: state.Timeouts, deadline: float
) -> float:
    """Limit the deadline of a request that arrives during a stop.

    It gets its final response before the work still in progress is aborted.

    :param deadline: monotonic time in seconds.
    """
    if shutdown.phase is state.Phase.RUNNING:
        return deadline
    stops_at = shutdown.requested_at + timeouts.stop_s
    return min(deadline, stops_at - RESPONSE_S)


def step(
    shutdown: state.Shutdown,
    event: Event,
    timeouts: state.Timeouts,
    now: float,
) -> state.Shutdown:
    """Compute the state of the shutdown after an event.

    A second `StopRequested` aborts work in progress at once. A failure does
    not: it ends the daemon as a request to stop does.

    :param now: monotonic time in seconds.
    :returns: the new state; unchanged by an event that does not matter in
        the current phase.
    """
    transition = _TRANSITIONS.get((shutdown.phase, type(event)))
    return (
        transition(shutdown, event, timeouts, now) if transition else shutdown
    )
