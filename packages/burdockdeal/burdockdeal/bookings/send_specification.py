"""State machine of a call without an idempotency key, for model checking.

The call is not idempotent. Its entry daemon sends it to one owner daemon,
then perhaps to a second. Messages may be lost or arrive at any time, owner
daemons may restart, and time passes. The transitions call the production
decisions; the tests replace one decision at a time by a faulty variant to
show that an invariant depends on it.
"""

from collections import abc
import dataclasses
import enum

from burdockdeal.bookings import decisions
from burdockdeal.bookings import messages
from burdockdeal.bookings import state
from burdockdeal.core import call
from burdockdeal.core import verdict
from burdockdeal.retry import decisions as retry
from burdockdeal.retry import state as retry_state

_DEADLINE = 1.0

#: The distinguished points in time: before the deadline, at the deadline, and
#: when the owner daemons' records of the sends expire.
_TIMES = (0.0, _DEADLINE, _DEADLINE + decisions.SEND_RETENTION_S)

_CALL = call.Call("r", "s", "k", _DEADLINE)


class MessageState(enum.Enum):
    """Progress of a message."""

    NOT_SENT = "NOT_SENT"
    IN_TRANSIT = "IN_TRANSIT"
    DELIVERED = "DELIVERED"


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """One owner daemon and the messages to and from it.

    :param restarted: whether the process that sends are addressed to has
        been replaced.
    :param recorded: what the daemon recorded of the send.
    :param run_count: number of times that its upstream ran the call.
    :param send: progress of the send.
    :param response: verdict of its response to the send, if it responded.
    :param fence: progress of the fence.
    :param fate: its response to the fence, if it responded.
    """

    restarted: bool = False
    recorded: state.SendState | None = None
    run_count: int = 0
    send: MessageState = MessageState.NOT_SENT
    response: verdict.Verdict | None = None
    fence: MessageState = MessageState.NOT_SENT
    fate: messages.Fate | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """State of the whole system.

    :param owners: the owner daemons, in the order in which they are sent to.
    :param attempt: number of the send that the entry daemon waits for, 0
        before the first.
    :param awaits_fate: whether the entry daemon waits for the send's fate.
    :param outcome: the verdict that the caller received.
    :param time: index in _TIMES.
    """

    owners: tuple[Owner, Owner] = (Owner(), Owner())
    attempt: int = 0
    awaits_fate: bool = False
    outcome: verdict.Verdict | None = None
    time: int = 0

    @property
    def run_count(self) -> int:
        """Number of times that the call ran."""
        return sum(owner.run_count for owner in self.owners)


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The decisions, each replaceable by a faulty variant.

    :param fences: whether an owner daemon records the fence when it reports
        NOT_RUN.
    """

    decide_start: abc.Callable[..., verdict.Reason | None] = (
        decisions.decide_start
    )
    decide_fate: abc.Callable[..., messages.Fate] = decisions.decide_fate
    may_resend: abc.Callable[..., bool] = retry.may_resend
    fences: bool = True


Transition = tuple[str, State]


def _update_owner(system: State, index: int, **fields: object) -> State:
    owners = list(system.owners)
    owners[index] = dataclasses.replace(owners[index], **fields)
    return dataclasses.replace(system, owners=(owners[0], owners[1]))


def _send(system: State) -> State:
    index = system.attempt
    sending = dataclasses.replace(system, attempt=index + 1, awaits_fate=False)
    return _update_owner(sending, index, send=MessageState.IN_TRANSIT)


def _end_send(system: State, outcome: verdict.Verdict, rules: Rules) -> State:
    """End a send at the entry daemon: send again, or answer the caller."""
    progress = retry.record_failure(
        retry_state.Progress(sends_left=1 + retry.LAYER_TOKENS), outcome, None
    )
    may_resend = system.attempt < len(system.owners) and rules.may_resend(
        _CALL,
        progress,
        replayable=True,
        now=_TIMES[system.time],
    )
    if may_resend:
        return _send(system)
    return dataclasses.replace(system, outcome=outcome, awaits_fate=False)


def _deliver_send(system: State, index: int, rules: Rules) -> State:
    owner = system.owners[index]
    reason = rules.decide_start(
        owner.recorded,
        same_incarnation=not owner.restarted,
        deadline=_DEADLINE,
        now=_TIMES[system.time],
    )
    if reason is not None:
        return _update_owner(
            system,
            index,
            send=MessageState.DELIVERED,
            response=verdict.Verdict.NOT_RUN,
        )
    return _update_owner(
        system,
        index,
        send=MessageState.DELIVERED,
        response=verdict.Verdict.RAN,
        recorded=state.SendState.STARTED,
        run_count=owner.run_count + 1,
    )


def _deliver_fence(system: State, index: int, rules: Rules) -> State:
    owner = system.owners[index]
    fate = rules.decide_fate(
        owner.recorded,
        same_incarnation=not owner.restarted,
        deadline=_DEADLINE,
        now=_TIMES[system.time],
    )
    recorded = owner.recorded
    if fate is messages.Fate.NOT_RUN and rules.fences:
        recorded = state.SendState.FENCED
    return _update_owner(
        system,
        index,
        fence=MessageState.DELIVERED,
        fate=fate,
        recorded=recorded,
    )


_FATE_OUTCOMES = {
    messages.Fate.NOT_RUN: verdict.Verdict.NOT_RUN,
    messages.Fate.STARTED: verdict.Verdict.MAY_HAVE_RUN,
    messages.Fate.UNKNOWN: verdict.Verdict.MAY_HAVE_RUN,
}


def _list_entry_transitions(
    system: State, rules: Rules
) -> abc.Iterator[Transition]:
    if system.outcome is not None:
        return
    if not system.attempt:
        yield "send", _send(system)
        return
    index = system.attempt - 1
    owner = system.owners[index]
    if system.awaits_fate:
        unknown_outcome = verdict.Verdict.MAY_HAVE_RUN
        yield "fate lost", _end_send(system, unknown_outcome, rules)
        if owner.fate is not None:
            yield "fate", _end_send(system, _FATE_OUTCOMES[owner.fate], rules)
        return
    if owner.response is not None:
        yield "response", _end_send(system, owner.response, rules)
    awaiting_fate = dataclasses.replace(system, awaits_fate=True)
    yield (
        "response lost",
        _update_owner(awaiting_fate, index, fence=MessageState.IN_TRANSIT),
    )


def _list_owner_transitions(
    system: State, index: int, rules: Rules
) -> abc.Iterator[Transition]:
    owner = system.owners[index]
    if owner.send is MessageState.IN_TRANSIT:
        yield f"deliver send {index}", _deliver_send(system, index, rules)
    if owner.fence is MessageState.IN_TRANSIT:
        yield f"deliver fence {index}", _deliver_fence(system, index, rules)
    if not owner.restarted:
        restarted = _update_owner(system, index, restarted=True, recorded=None)
        yield f"restart {index}", restarted


def _list_time_transitions(system: State) -> abc.Iterator[Transition]:
    if system.time + 1 == len(_TIMES):
        return
    later = dataclasses.replace(system, time=system.time + 1)
    if later.time == len(_TIMES) - 1:
        for index in range(len(later.owners)):
            later = _update_owner(later, index, recorded=None)
    yield "time passes", later


def transitions(system: State, rules: Rules) -> abc.Iterator[Transition]:
    """Yield the possible transitions.

    :returns: the name of each transition and the state after it.
    """
    yield from _list_entry_transitions(system, rules)
    for index in range(len(system.owners)):
        yield from _list_owner_transitions(system, index, rules)
    yield from _list_time_transitions(system)


#: Conditions that must hold in every reachable state.
INVARIANTS: dict[str, abc.Callable[[State], bool]] = {
    "a call runs at most once": lambda system: system.run_count <= 1,
    "a call reported as NOT_RUN never runs": lambda system: (
        system.outcome is not verdict.Verdict.NOT_RUN or system.run_count == 0
    ),
    "a call reported as RAN ran once": lambda system: (
        system.outcome is not verdict.Verdict.RAN or system.run_count == 1
    ),
}
