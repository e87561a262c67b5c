"""Decisions on a daemon's stop, as a state table."""

from collections import abc
import dataclasses

from burdockdeal.shutdown import messages
from burdockdeal.shutdown import state

Phase = state.Phase
Event = messages.Asked | messages.Superseded | messages.Tick


def _begin(
    stop: state.Stop, event: Event, terms: state.Terms, now: float
) -> state.Stop:
    return state.Stop(Phase.LEAVING, now)


def _cut(
    stop: state.Stop, event: Event, terms: state.Terms, now: float
) -> state.Stop:
    return dataclasses.replace(stop, phase=Phase.CUT)


def _linger(
    stop: state.Stop, event: Event, terms: state.Terms, now: float
) -> state.Stop:
    if now - stop.since >= terms.limit_s:
        return _cut(stop, event, terms, now)
    if now - stop.since < terms.linger_s:
        return stop
    return dataclasses.replace(stop, phase=Phase.FINISHING)


def _finish(
    stop: state.Stop, event: messages.Tick, terms: state.Terms, now: float
) -> state.Stop:
    if not event.busy:
        return dataclasses.replace(stop, phase=Phase.ENDED)
    if now - stop.since >= terms.limit_s:
        return _cut(stop, event, terms, now)
    return stop


_TABLE: dict[tuple[Phase, type], abc.Callable[..., state.Stop]] = {
    (Phase.RUNNING, messages.Asked): _begin,
    (Phase.RUNNING, messages.Superseded): _begin,
    (Phase.LEAVING, messages.Asked): _cut,
    (Phase.LEAVING, messages.Tick): _linger,
    (Phase.FINISHING, messages.Asked): _cut,
    (Phase.FINISHING, messages.Tick): _finish,
}


def step(
    stop: state.Stop, event: Event, terms: state.Terms, now: float
) -> state.Stop:
    """Take an event into account.

    :param now: monotonic time in seconds.
    :returns: the stop as it is after the event.
    """
    decide = _TABLE.get((stop.phase, type(event)))
    return decide(stop, event, terms, now) if decide else stop
