"""The specification of two requests that carry the same key.

The second may be a resend or ask for something else. Each reaches any of
two owners, which claim the key in the store, run it, are replaced once or
forget it. A write to the store may take effect late or lose its answer.
The claim's lease does not lapse: resends come within the retention time.
"""

from collections import abc
import dataclasses
import enum

from burdockdeal.bookings import decisions
from burdockdeal.bookings import messages
from burdockdeal.bookings import state
from burdockdeal.core import verdict

KeyState = state.KeyState
KeyAction = state.KeyAction
ClaimAction = state.ClaimAction
Verdict = verdict.Verdict


class Phase(enum.Enum):
    """Where a request is."""

    NEW = "NEW"
    ARRIVED = "ARRIVED"
    CLAIMING = "CLAIMING"
    STARTING = "STARTING"
    RUNNING = "RUNNING"
    JOINED = "JOINED"
    REFUSED = "REFUSED"
    TOLD = "TOLD"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request.

    :param mark: what it asks for.
    :param owner: the owner where it is.
    :param pinned: whether it was sent to the key's holder.
    :param answer: the mark of the request that the answer is to.
    :param ran_before: runs of the key when the caller was told.
    """

    mark: int = 0
    phase: Phase = Phase.NEW
    owner: int = 0
    pinned: bool = False
    told: Verdict | None = None
    answer: int | None = None
    ran_before: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """One owner, and what it knows of the key.

    :param made: how often it began to remember the key.
    :param late: a write to the store that may yet take effect.
    """

    incarnation: int = 1
    stage: KeyState | None = None
    mark: int = 0
    made: int = 0
    late: messages.Claim | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """The whole system.

    :param sequential: whether the second request came after the caller
        was told about the first.
    """

    requests: tuple[Request, Request] = (Request(), Request())
    owners: tuple[Owner, Owner] = (Owner(), Owner())
    claim: messages.Claim | None = None
    ran: tuple[int, ...] = ()
    sequential: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The decisions, so that broken ones can take their places.

    :param reviews: whether a refusal is reviewed by the key's claim.
    """

    decide_key_action: abc.Callable[..., KeyAction] = (
        decisions.decide_key_action
    )
    decide_claim_action: abc.Callable[..., ClaimAction] = (
        decisions.decide_claim_action
    )
    reviews: bool = True


Step = tuple[str, State]


def _owner(whole: State, index: int, **fields: object) -> State:
    owners = list(whole.owners)
    owners[index] = dataclasses.replace(owners[index], **fields)
    return dataclasses.replace(whole, owners=tuple(owners))


def _request(whole: State, number: int, **fields: object) -> State:
    requests = list(whole.requests)
    requests[number] = dataclasses.replace(requests[number], **fields)
    return dataclasses.replace(whole, requests=tuple(requests))


def _tell(
    whole: State, number: int, told: Verdict, answer: int | None = None
) -> State:
    return _request(
        whole,
        number,
        phase=Phase.TOLD,
        told=told,
        answer=answer,
        ran_before=len(whole.ran),
    )


def _holder(whole: State, index: int) -> messages.Holder:
    return messages.Holder(str(index), whole.owners[index].incarnation)


def _go_to_holder(whole: State, number: int, claim: messages.Claim) -> State:
    index = int(claim.holder.daemon)
    if claim.holder != _holder(whole, index):
        return _tell(whole, number, Verdict.MAY_HAVE_RUN)
    return _request(
        whole, number, phase=Phase.ARRIVED, owner=index, pinned=True
    )


def _arrive(whole: State, number: int, rules: Rules) -> State:
    request = whole.requests[number]
    owner = whole.owners[request.owner]
    step = rules.decide_key_action(
        owner.stage, same_request=owner.mark == request.mark
    )
    match step:
        case KeyAction.RUN:
            taken = _owner(
                whole,
                request.owner,
                stage=KeyState.RUNNING,
                made=owner.made + (owner.stage is None),
                mark=request.mark,
            )
            return _request(taken, number, phase=Phase.CLAIMING)
        case KeyAction.JOIN:
            return _request(whole, number, phase=Phase.JOINED)
        case KeyAction.REPLAY:
            return _tell(whole, number, Verdict.RAN, owner.mark)
        case KeyAction.REPORT_RAN:
            return _tell(whole, number, Verdict.RAN)
        case KeyAction.REJECT_CONFLICT:
            return _tell(whole, number, Verdict.NOT_RUN)
    return _tell(whole, number, Verdict.MAY_HAVE_RUN)


def _see_claim(
    whole: State,
    number: int,
    claim_id: str,
    standing: messages.Claim | None,
    rules: Rules,
) -> State:
    index = whole.requests[number].owner
    step = rules.decide_claim_action(
        standing,
        own=_holder(whole, index),
        claim_id=claim_id,
    )
    match step:
        case ClaimAction.RUN:
            return _request(whole, number, phase=Phase.STARTING)
        case ClaimAction.REDIRECT:
            assert standing is not None
            whole = _owner(whole, index, stage=None)
            return _go_to_holder(whole, number, standing)
        case ClaimAction.REPORT_UNKNOWN:
            whole = _owner(whole, index, stage=KeyState.UNKNOWN)
            return _tell(whole, number, Verdict.MAY_HAVE_RUN)
    whole = _owner(whole, index, stage=KeyState.IDLE)
    return _request(whole, number, phase=Phase.REFUSED)


def _step_claim(whole: State, number: int, rules: Rules) -> abc.Iterator[Step]:
    index = whole.requests[number].owner
    owner = whole.owners[index]
    claim_id = f"{index}.{owner.incarnation}.{owner.made}"
    claim = messages.Claim(_holder(whole, index), claim_id)
    written = whole
    if whole.claim is None:
        written = dataclasses.replace(whole, claim=claim)
    seen = _see_claim(written, number, claim_id, written.claim, rules)
    yield f"claim {number}", seen
    # The store is away, or the answer and the reading back are lost.
    away = _see_claim(whole, number, claim_id, None, rules)
    yield f"no store {number}", away
    lost = _see_claim(written, number, claim_id, None, rules)
    yield f"claim lost {number}", lost
    yield f"claim late {number}", _owner(away, index, late=claim)


def _review(whole: State, number: int, rules: Rules) -> abc.Iterator[Step]:
    """Tell a caller of a refusal, or ask the holder first."""
    if not rules.reviews:
        yield "refuse", _tell(whole, number, Verdict.NOT_RUN)
        return
    unknown = _tell(whole, number, Verdict.MAY_HAVE_RUN)
    yield f"no review {number}", unknown
    if whole.requests[number].pinned:
        return
    if whole.claim is None:
        yield f"refuse {number}", _tell(whole, number, Verdict.NOT_RUN)
    else:
        seen = _go_to_holder(whole, number, whole.claim)
        yield f"review {number}", seen


def _step_run(whole: State, number: int) -> abc.Iterator[Step]:
    request = whole.requests[number]
    index = request.owner
    if request.phase is Phase.STARTING:
        begun = _owner(whole, index, stage=KeyState.UNKNOWN)
        begun = dataclasses.replace(begun, ran=(*whole.ran, number))
        yield f"run {number}", _request(begun, number, phase=Phase.RUNNING)
        idle = _owner(whole, index, stage=KeyState.IDLE)
        yield f"too late {number}", _tell(idle, number, Verdict.NOT_RUN)
        return
    kept = _owner(whole, index, stage=KeyState.STORED)
    yield f"end {number}", _tell(kept, number, Verdict.RAN, request.mark)
    yield f"break {number}", _tell(whole, number, Verdict.MAY_HAVE_RUN)


def _step_request(
    whole: State, number: int, rules: Rules
) -> abc.Iterator[Step]:
    request = whole.requests[number]
    match request.phase:
        case Phase.NEW:
            # The owners are alike: the first request comes to the first.
            for index in range(len(whole.owners) if number else 1):
                came = _request(
                    whole, number, phase=Phase.ARRIVED, owner=index
                )
                if number and whole.requests[0].phase is Phase.NEW:
                    # So does the first to come.
                    return
                if number:
                    told = whole.requests[0].phase is Phase.TOLD
                    came = dataclasses.replace(came, sequential=told)
                yield f"come {number} to {index}", came
                if number:
                    other = _request(came, number, mark=1)
                    yield f"come {number} to {index}, other", other
        case Phase.ARRIVED:
            yield f"look {number}", _arrive(whole, number, rules)
            refused = _request(whole, number, phase=Phase.REFUSED)
            yield f"no slot {number}", refused
        case Phase.CLAIMING:
            yield from _step_claim(whole, number, rules)
        case Phase.STARTING | Phase.RUNNING:
            yield from _step_run(whole, number)
        case Phase.JOINED:
            if whole.owners[request.owner].stage is not KeyState.RUNNING:
                again = _request(whole, number, phase=Phase.ARRIVED)
                yield f"joined {number}", again
        case Phase.REFUSED:
            yield from _review(whole, number, rules)


_AT_OWNER = frozenset(
    {
        Phase.ARRIVED,
        Phase.CLAIMING,
        Phase.STARTING,
        Phase.RUNNING,
        Phase.JOINED,
    }
)


def _replace_owner(whole: State, index: int) -> State:
    for number, request in enumerate(whole.requests):
        if request.owner == index and request.phase in _AT_OWNER:
            whole = _tell(whole, number, Verdict.MAY_HAVE_RUN)
    owner = whole.owners[index]
    fresh = Owner(incarnation=owner.incarnation + 1, late=owner.late)
    return _owner(
        whole, index, **{f.name: getattr(fresh, f.name) for f in _FIELDS}
    )


_FIELDS = dataclasses.fields(Owner)


def _step_owner(whole: State, index: int) -> abc.Iterator[Step]:
    owner = whole.owners[index]
    if owner.incarnation == 1:
        yield f"replace {index}", _replace_owner(whole, index)
    if owner.stage is KeyState.STORED:
        yield f"evict {index}", _owner(whole, index, stage=KeyState.NOT_STORED)
        yield f"forget {index}", _owner(whole, index, stage=None)
    if owner.late is not None:
        done = _owner(whole, index, late=None)
        if whole.claim is None:
            done = dataclasses.replace(done, claim=owner.late)
        yield f"late write {index}", done


def steps(whole: State, rules: Rules) -> abc.Iterator[Step]:
    """List what may happen next.

    :returns: the name of each step and the state after it.
    """
    for number in range(len(whole.requests)):
        yield from _step_request(whole, number, rules)
    for index in range(len(whole.owners)):
        yield from _step_owner(whole, index)


def _is_not_run_true(whole: State) -> bool:
    return all(
        request.told is not Verdict.NOT_RUN or number not in whole.ran
        for number, request in enumerate(whole.requests)
    )


def _is_resend_true(whole: State) -> bool:
    first, second = whole.requests
    return (
        not whole.sequential
        or second.mark != first.mark
        or second.told is not Verdict.NOT_RUN
        or second.ran_before == 0
    )


#: What must hold in every state.
INVARIANTS: dict[str, abc.Callable[[State], bool]] = {
    "a key runs at most once": lambda whole: len(whole.ran) <= 1,
    "not run is true": _is_not_run_true,
    "a resend is told not run only if nothing ran": _is_resend_true,
    "an answer is to its own request": lambda whole: all(
        request.answer in (None, request.mark) for request in whole.requests
    ),
}
