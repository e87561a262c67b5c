"""The specification of sends that must not run twice.

One call without a key: its entry sends it to one owner, then perhaps to
a second. Messages are lost or arrive at any time, owners are replaced,
time passes. The transitions are driven by the production decisions; a
variant with another decision shows what that decision is good for.
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

#: The times that are told apart: before the deadline, after it, and after
#: the owners have forgotten the call.
_TIMES = (0.0, _DEADLINE, _DEADLINE + decisions.SEND_RETENTION_S)

_CALL = call.Call("r", "s", "k", _DEADLINE)


class Wire(enum.Enum):
    """Where a message is."""

    NONE = "NONE"
    FLYING = "FLYING"
    DONE = "DONE"


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """One owner and what is under way to and from it.

    :param replaced: whether another process stands in its place.
    :param ran: how often the upstream beside it ran the call.
    """

    replaced: bool = False
    known: state.SendState | None = None
    ran: int = 0
    send: Wire = Wire.NONE
    answer: verdict.Verdict | None = None
    fence: Wire = Wire.NONE
    fate: messages.Fate | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """The whole system.

    :param attempt: the number of the send that the entry waits for, 0
        before the first; sends go to the owners in turn.
    :param asking: whether it asks after the send's fate.
    :param told: what the caller was told.
    """

    owners: tuple[Owner, Owner] = (Owner(), Owner())
    attempt: int = 0
    asking: bool = False
    told: verdict.Verdict | None = None
    time: int = 0

    @property
    def ran(self) -> int:
        """How often the call ran."""
        return sum(owner.ran for owner in self.owners)


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The decisions, so that broken ones can take their places.

    :param fences: whether an owner that says NOT_RUN notes it.
    """

    decide_start: abc.Callable[..., verdict.Reason | None] = (
        decisions.decide_start
    )
    decide_fate: abc.Callable[..., messages.Fate] = decisions.decide_fate
    may_resend: abc.Callable[..., bool] = retry.may_resend
    fences: bool = True


Step = tuple[str, State]


def _change(whole: State, index: int, **fields: object) -> State:
    owners = list(whole.owners)
    owners[index] = dataclasses.replace(owners[index], **fields)
    return dataclasses.replace(whole, owners=(owners[0], owners[1]))


def _send(whole: State) -> State:
    index = whole.attempt
    sent = dataclasses.replace(whole, attempt=index + 1, asking=False)
    return _change(sent, index, send=Wire.FLYING)


def _end(whole: State, outcome: verdict.Verdict, rules: Rules) -> State:
    """End a send at the entry: send again, or tell the caller."""
    progress = retry.note_failure(
        retry_state.Progress(left=1 + retry.LAYER_TOKENS), outcome, None
    )
    resend = whole.attempt < len(whole.owners) and rules.may_resend(
        _CALL,
        progress,
        replayable=True,
        now=_TIMES[whole.time],
    )
    if resend:
        return _send(whole)
    return dataclasses.replace(whole, told=outcome, asking=False)


def _deliver_send(whole: State, index: int, rules: Rules) -> State:
    owner = whole.owners[index]
    reason = rules.decide_start(
        owner.known,
        same_incarnation=not owner.replaced,
        deadline=_DEADLINE,
        now=_TIMES[whole.time],
    )
    if reason is not None:
        return _change(
            whole, index, send=Wire.DONE, answer=verdict.Verdict.NOT_RUN
        )
    return _change(
        whole,
        index,
        send=Wire.DONE,
        answer=verdict.Verdict.RAN,
        known=state.SendState.STARTED,
        ran=owner.ran + 1,
    )


def _deliver_fence(whole: State, index: int, rules: Rules) -> State:
    owner = whole.owners[index]
    fate = rules.decide_fate(
        owner.known,
        same_incarnation=not owner.replaced,
        deadline=_DEADLINE,
        now=_TIMES[whole.time],
    )
    known = owner.known
    if fate is messages.Fate.NOT_RUN and rules.fences:
        known = state.SendState.FENCED
    return _change(whole, index, fence=Wire.DONE, fate=fate, known=known)


_OUTCOMES = {
    messages.Fate.NOT_RUN: verdict.Verdict.NOT_RUN,
    messages.Fate.STARTED: verdict.Verdict.MAY_HAVE_RUN,
    messages.Fate.UNKNOWN: verdict.Verdict.MAY_HAVE_RUN,
}


def _step_entry(whole: State, rules: Rules) -> abc.Iterator[Step]:
    if whole.told is not None:
        return
    if not whole.attempt:
        yield "send", _send(whole)
        return
    index = whole.attempt - 1
    owner = whole.owners[index]
    if whole.asking:
        unanswered = verdict.Verdict.MAY_HAVE_RUN
        yield "no fate", _end(whole, unanswered, rules)
        if owner.fate is not None:
            yield "fate", _end(whole, _OUTCOMES[owner.fate], rules)
        return
    if owner.answer is not None:
        yield "answer", _end(whole, owner.answer, rules)
    asking = dataclasses.replace(whole, asking=True)
    yield "lose answer", _change(asking, index, fence=Wire.FLYING)


def _step_owner(whole: State, index: int, rules: Rules) -> abc.Iterator[Step]:
    owner = whole.owners[index]
    if owner.send is Wire.FLYING:
        yield f"deliver send {index}", _deliver_send(whole, index, rules)
    if owner.fence is Wire.FLYING:
        yield f"deliver fence {index}", _deliver_fence(whole, index, rules)
    if not owner.replaced:
        replaced = _change(whole, index, replaced=True, known=None)
        yield f"replace {index}", replaced


def _step_time(whole: State) -> abc.Iterator[Step]:
    if whole.time + 1 == len(_TIMES):
        return
    later = dataclasses.replace(whole, time=whole.time + 1)
    if later.time == len(_TIMES) - 1:
        for index in range(len(later.owners)):
            later = _change(later, index, known=None)
    yield "time passes", later


def steps(whole: State, rules: Rules) -> abc.Iterator[Step]:
    """List what may happen next.

    :returns: the name of each step and the state after it.
    """
    yield from _step_entry(whole, rules)
    for index in range(len(whole.owners)):
        yield from _step_owner(whole, index, rules)
    yield from _step_time(whole)


#: What must hold in every state.
INVARIANTS: dict[str, abc.Callable[[State], bool]] = {
    "runs at most once": lambda whole: whole.ran <= 1,
    "not run is true for ever": lambda whole: (
        whole.told is not verdict.Verdict.NOT_RUN or whole.ran == 0
    ),
    "ran is true": lambda whole: (
        whole.told is not verdict.Verdict.RAN or whole.ran == 1
    ),
}
