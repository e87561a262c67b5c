"""State machine of two requests with the same key, for model checking.

The second request may be a resend of the first or another request. Each
reaches either of two owner daemons, which claim the key in the store, run
the request, restart once or remove their record of the key. A write to the
store may take effect late, or its response may be lost. The claim's lease
does not lapse: resends come within the retention time.
"""

from collections import abc
import dataclasses

from burdockdeal.bookings import decisions
from burdockdeal.bookings import key_specification_state
from burdockdeal.bookings import messages
from burdockdeal.bookings import state
from burdockdeal.core import verdict

KeyState = state.KeyState
KeyAction = state.KeyAction
ClaimAction = state.ClaimAction
Verdict = verdict.Verdict
Phase = key_specification_state.Phase
Owner = key_specification_state.Owner
State = key_specification_state.State


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The decisions, each replaceable by a faulty variant.

    :param checks_claim: whether the key's claim is read before a refusal is
        reported.
    """

    decide_key_action: abc.Callable[..., KeyAction] = (
        decisions.decide_key_action
    )
    decide_claim_action: abc.Callable[..., ClaimAction] = (
        decisions.decide_claim_action
    )
    checks_claim: bool = True


Transition = tuple[str, State]


def _update_owner(system: State, index: int, **fields: object) -> State:
    owners = list(system.owners)
    owners[index] = dataclasses.replace(owners[index], **fields)
    return dataclasses.replace(system, owners=tuple(owners))


def _update_request(system: State, number: int, **fields: object) -> State:
    requests = list(system.requests)
    requests[number] = dataclasses.replace(requests[number], **fields)
    return dataclasses.replace(system, requests=tuple(requests))


def _answer(
    system: State, number: int, outcome: Verdict, response: int | None = None
) -> State:
    return _update_request(
        system,
        number,
        phase=Phase.ANSWERED,
        outcome=outcome,
        response=response,
        run_count=len(system.runs),
    )


def _build_holder(system: State, index: int) -> messages.Holder:
    return messages.Holder(str(index), system.owners[index].incarnation)


def _redirect_to_holder(
    system: State, number: int, claim: messages.Claim
) -> State:
    index = int(claim.holder.daemon)
    if claim.holder != _build_holder(system, index):
        return _answer(system, number, Verdict.MAY_HAVE_RUN)
    return _update_request(
        system, number, phase=Phase.ARRIVED, owner=index, pinned=True
    )


def _handle_request(system: State, number: int, rules: Rules) -> State:
    request = system.requests[number]
    owner = system.owners[request.owner]
    action = rules.decide_key_action(
        owner.key_state,
        same_request=owner.fingerprint == request.fingerprint,
    )
    match action:
        case KeyAction.RUN:
            running = _update_owner(
                system,
                request.owner,
                key_state=KeyState.RUNNING,
                record_count=owner.record_count + (owner.key_state is None),
                fingerprint=request.fingerprint,
            )
            return _update_request(running, number, phase=Phase.CLAIMING)
        case KeyAction.JOIN:
            return _update_request(system, number, phase=Phase.JOINED)
        case KeyAction.REPLAY:
            return _answer(system, number, Verdict.RAN, owner.fingerprint)
        case KeyAction.REPORT_RAN:
            return _answer(system, number, Verdict.RAN)
        case KeyAction.REJECT_CONFLICT:
            return _answer(system, number, Verdict.NOT_RUN)
    return _answer(system, number, Verdict.MAY_HAVE_RUN)


def _handle_claim(
    system: State,
    number: int,
    claim_id: str,
    current: messages.Claim | None,
    rules: Rules,
) -> State:
    index = system.requests[number].owner
    action = rules.decide_claim_action(
        current,
        own=_build_holder(system, index),
        claim_id=claim_id,
    )
    match action:
        case ClaimAction.RUN:
            return _update_request(system, number, phase=Phase.STARTING)
        case ClaimAction.REDIRECT:
            assert current is not None
            system = _update_owner(system, index, key_state=None)
            return _redirect_to_holder(system, number, current)
        case ClaimAction.REPORT_UNKNOWN:
            system = _update_owner(system, index, key_state=KeyState.UNKNOWN)
            return _answer(system, number, Verdict.MAY_HAVE_RUN)
    system = _update_owner(system, index, key_state=KeyState.IDLE)
    return _update_request(system, number, phase=Phase.REFUSED)


def _list_claim_transitions(
    system: State, number: int, rules: Rules
) -> abc.Iterator[Transition]:
    index = system.requests[number].owner
    owner = system.owners[index]
    claim_id = f"{index}.{owner.incarnation}.{owner.record_count}"
    claim = messages.Claim(_build_holder(system, index), claim_id)
    written = system
    if system.claim is None:
        written = dataclasses.replace(system, claim=claim)
    known = _handle_claim(written, number, claim_id, written.claim, rules)
    yield f"claim {number}", known
    # The store is unavailable, or the responses to both the write and the
    # read after it are lost.
    unavailable = _handle_claim(system, number, claim_id, None, rules)
    yield f"store unavailable {number}", unavailable
    lost = _handle_claim(written, number, claim_id, None, rules)
    yield f"claim response lost {number}", lost
    yield (
        f"claim delayed {number}",
        _update_owner(unavailable, index, late_write=claim),
    )


def _list_refusal_transitions(
    system: State, number: int, rules: Rules
) -> abc.Iterator[Transition]:
    """Report a refusal to the caller, or redirect to the holder first."""
    if not rules.checks_claim:
        yield "refuse", _answer(system, number, Verdict.NOT_RUN)
        return
    unknown = _answer(system, number, Verdict.MAY_HAVE_RUN)
    yield f"claim unreadable {number}", unknown
    if system.requests[number].pinned:
        return
    if system.claim is None:
        yield f"refuse {number}", _answer(system, number, Verdict.NOT_RUN)
    else:
        redirected = _redirect_to_holder(system, number, system.claim)
        yield f"redirect {number}", redirected


def _list_run_transitions(
    system: State, number: int
) -> abc.Iterator[Transition]:
    request = system.requests[number]
    index = request.owner
    if request.phase is Phase.STARTING:
        started = _update_owner(system, index, key_state=KeyState.UNKNOWN)
        started = dataclasses.replace(started, runs=(*system.runs, number))
        yield (
            f"run {number}",
            _update_request(started, number, phase=Phase.RUNNING),
        )
        idle = _update_owner(system, index, key_state=KeyState.IDLE)
        yield f"too late {number}", _answer(idle, number, Verdict.NOT_RUN)
        return
    stored = _update_owner(system, index, key_state=KeyState.STORED)
    yield (
        f"end {number}",
        _answer(stored, number, Verdict.RAN, request.fingerprint),
    )
    yield f"break {number}", _answer(system, number, Verdict.MAY_HAVE_RUN)


def _list_request_transitions(
    system: State, number: int, rules: Rules
) -> abc.Iterator[Transition]:
    request = system.requests[number]
    match request.phase:
        case Phase.NEW:
            # The owner daemons are interchangeable, so the first request
            # always goes to the first of them.
            for index in range(len(system.owners) if number else 1):
                arrived = _update_request(
                    system, number, phase=Phase.ARRIVED, owner=index
                )
                if number and system.requests[0].phase is Phase.NEW:
                    # For the same reason request 0 always arrives first.
                    return
                if number:
                    answered = system.requests[0].phase is Phase.ANSWERED
                    arrived = dataclasses.replace(arrived, sequential=answered)
                yield f"arrive {number} at {index}", arrived
                if number:
                    other = _update_request(arrived, number, fingerprint=1)
                    yield f"arrive {number} at {index}, other", other
        case Phase.ARRIVED:
            yield f"handle {number}", _handle_request(system, number, rules)
            refused = _update_request(system, number, phase=Phase.REFUSED)
            yield f"no slot {number}", refused
        case Phase.CLAIMING:
            yield from _list_claim_transitions(system, number, rules)
        case Phase.STARTING | Phase.RUNNING:
            yield from _list_run_transitions(system, number)
        case Phase.JOINED:
            if system.owners[request.owner].key_state is not KeyState.RUNNING:
                again = _update_request(system, number, phase=Phase.ARRIVED)
                yield f"joined {number}", again
        case Phase.REFUSED:
            yield from _list_refusal_transitions(system, number, rules)


_AT_OWNER = frozenset(
    {
        Phase.ARRIVED,
        Phase.CLAIMING,
        Phase.STARTING,
        Phase.RUNNING,
        Phase.JOINED,
    }
)


def _restart_owner(system: State, index: int) -> State:
    for number, request in enumerate(system.requests):
        if request.owner == index and request.phase in _AT_OWNER:
            system = _answer(system, number, Verdict.MAY_HAVE_RUN)
    owner = system.owners[index]
    restarted = Owner(
        incarnation=owner.incarnation + 1, late_write=owner.late_write
    )
    return _update_owner(
        system,
        index,
        **{f.name: getattr(restarted, f.name) for f in _OWNER_FIELDS},
    )


_OWNER_FIELDS = dataclasses.fields(Owner)


def _list_owner_transitions(
    system: State, index: int
) -> abc.Iterator[Transition]:
    owner = system.owners[index]
    if owner.incarnation == 1:
        yield f"restart {index}", _restart_owner(system, index)
    if owner.key_state is KeyState.STORED:
        yield (
            f"evict {index}",
            _update_owner(system, index, key_state=KeyState.NOT_STORED),
        )
        yield f"expire {index}", _update_owner(system, index, key_state=None)
    if owner.late_write is not None:
        done = _update_owner(system, index, late_write=None)
        if system.claim is None:
            done = dataclasses.replace(done, claim=owner.late_write)
        yield f"late write {index}", done


def transitions(system: State, rules: Rules) -> abc.Iterator[Transition]:
    """Yield the possible transitions.

    :returns: the name of each transition and the state after it.
    """
    for number in range(len(system.requests)):
        yield from _list_request_transitions(system, number, rules)
    for index in range(len(system.owners)):
        yield from _list_owner_transitions(system, index)


def _is_not_run_correct(system: State) -> bool:
    return all(
        request.outcome is not Verdict.NOT_RUN or number not in system.runs
        for number, request in enumerate(system.requests)
    )


def _is_resend_outcome_correct(system: State) -> bool:
    first, second = system.requests
    return (
        not system.sequential
        or second.fingerprint != first.fingerprint
        or second.outcome is not Verdict.NOT_RUN
        or second.run_count == 0
    )


#: Conditions that must hold in every reachable state.
INVARIANTS: dict[str, abc.Callable[[State], bool]] = {
    "a key runs at most once": lambda system: len(system.runs) <= 1,
    "a request reported as NOT_RUN never runs": _is_not_run_correct,
    "a resend is reported as NOT_RUN only if nothing ran": (
        _is_resend_outcome_correct
    ),
    "a response belongs to its own request": lambda system: all(
        request.response in (None, request.fingerprint)
        for request in system.requests
    ),
}
