"""State machine of a key whose claim a restored store loses, for checking.

Requests with the same key reach two owner daemons, which claim it, run it,
restart, and see the store's era. The store may be restored once, with or
without the claim. A claim's write takes effect and is answered in separate
steps. Time advances by half of the retention time, while no claim is on
its way: calls to the store time out much sooner.
"""

from collections import abc
import dataclasses
import enum

from burdockdeal.bookings import decisions
from burdockdeal.bookings import messages
from burdockdeal.bookings import state
from burdockdeal.platform import decisions as platform
from burdockdeal.platform import messages as platform_messages

ClaimAction = state.ClaimAction
ClaimWindow = state.ClaimWindow

#: Steps of time in one retention time, and in the search.
RETENTION = 2
LAST_TIME = 4


class Phase(enum.Enum):
    """Progress of an owner's claim."""

    IDLE = "IDLE"
    SENT = "SENT"
    ANSWERED = "ANSWERED"


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The decisions, each replaceable by a faulty variant.

    :param checks_after_answer: whether claims must still be open when the
        store has answered.
    """

    enter_era: abc.Callable[..., ClaimWindow] = decisions.enter_era
    accept_open_era: abc.Callable[..., ClaimWindow] = decisions.accept_open_era
    may_claim: abc.Callable[..., bool] = decisions.may_claim
    is_result: abc.Callable[..., bool] = platform.is_result
    checks_after_answer: bool = True


_OPEN = ClaimWindow()


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """One owner daemon.

    :param known: the newest era of the store that it knows.
    :param has_run: whether it has run the key, so that it answers resends.
    :param claimed_at: when it claimed the key that it has run.
    :param sent_in: the era that it knew when it sent the claim.
    :param answer: the era of the response, and the claim in the store.
    """

    incarnation: int = 1
    known: int | None = None
    window: ClaimWindow = _OPEN
    has_run: bool = False
    claimed_at: int = 0
    phase: Phase = Phase.IDLE
    sent_in: int = 0
    answer: tuple[int, messages.Claim] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """State of the whole system.

    :param open_era: the era that the store says is open.
    :param runs: the times of the runs, in order.
    :param is_misreported: whether a request was reported as not run within
        the retention time of a run.
    """

    now: int = 0
    era: int = 0
    claim: messages.Claim | None = None
    open_era: int = 0
    owners: tuple[Owner, Owner] = (Owner(), Owner())
    runs: tuple[int, ...] = ()
    is_misreported: bool = False


Transition = tuple[str, State]


def _update_owner(system: State, index: int, **fields: object) -> State:
    owners = list(system.owners)
    owners[index] = dataclasses.replace(owners[index], **fields)
    return dataclasses.replace(system, owners=tuple(owners))


def _make_claim(owner: Owner, index: int) -> messages.Claim:
    holder = messages.Holder(str(index), owner.incarnation)
    return messages.Claim(holder, f"{index}.{owner.incarnation}")


def _learn_era(system: State, index: int, era: int, rules: Rules) -> State:
    """Let a response show an era to an owner."""
    owner = system.owners[index]
    known = max(owner.known or 0, era)
    window = rules.enter_era(
        owner.window, era=known, now=system.now, retention_s=RETENTION
    )
    return _update_owner(system, index, known=known, window=window)


def _may_claim(system: State, index: int, rules: Rules) -> bool:
    owner = system.owners[index]
    return rules.may_claim(owner.window, era=owner.known or 0, now=system.now)


def _read_open_era(system: State, index: int, rules: Rules) -> State:
    learned = _learn_era(system, index, system.era, rules)
    window = rules.accept_open_era(
        learned.owners[index].window, system.open_era, system.now
    )
    return _update_owner(learned, index, window=window)


def _list_claim_transitions(
    system: State, index: int, rules: Rules
) -> abc.Iterator[Transition]:
    owner = system.owners[index]
    match owner.phase:
        case Phase.IDLE:
            if owner.has_run:
                return
            if _may_claim(system, index, rules):
                yield (
                    f"claim {index}",
                    _update_owner(
                        system,
                        index,
                        phase=Phase.SENT,
                        sent_in=owner.known or 0,
                    ),
                )
            else:
                yield (
                    f"read open era {index}",
                    _read_open_era(system, index, rules),
                )
        case Phase.SENT:
            claim = system.claim or _make_claim(owner, index)
            claimed = dataclasses.replace(system, claim=claim)
            yield (
                f"claim {index} takes effect",
                _update_owner(
                    claimed,
                    index,
                    phase=Phase.ANSWERED,
                    answer=(system.era, claim),
                ),
            )
        case Phase.ANSWERED:
            yield f"answer {index}", _handle_answer(system, index, rules)


def _handle_answer(system: State, index: int, rules: Rules) -> State:
    owner = system.owners[index]
    assert owner.answer is not None
    era, current = owner.answer
    outcome = platform.judge_era(owner.known, era)
    system = _update_owner(system, index, phase=Phase.IDLE, answer=None)
    system = _learn_era(system, index, era, rules)
    if not rules.is_result(
        outcome,
        answered=era,
        written_on=platform_messages.Version(owner.sent_in, 0),
    ):
        # An uncertain write is followed by a read.
        system = _learn_era(system, index, system.era, rules)
        if system.claim is None:
            return system
        current = system.claim
    if rules.checks_after_answer and not _may_claim(system, index, rules):
        return system
    claim = _make_claim(owner, index)
    action = decisions.decide_claim_action(
        current, own=claim.holder, claim_id=claim.claim_id
    )
    if action is not ClaimAction.RUN:
        return system
    system = _update_owner(system, index, has_run=True, claimed_at=system.now)
    return dataclasses.replace(system, runs=(*system.runs, system.now))


def _list_owner_transitions(
    system: State, index: int, rules: Rules
) -> abc.Iterator[Transition]:
    owner = system.owners[index]
    if owner.known != system.era:
        learned = _learn_era(system, index, system.era, rules)
        yield f"another call {index}", learned
    if owner.incarnation == 1:
        yield (
            f"restart {index}",
            _update_owner(
                system,
                index,
                **dataclasses.asdict(Owner(incarnation=2)) | {"window": _OPEN},
            ),
        )
    window = owner.window
    if (
        window.era == system.era > system.open_era
        and owner.known == system.era
        and _may_claim(system, index, rules)
    ):
        opened = dataclasses.replace(system, open_era=window.era)
        yield f"write open era {index}", opened
    is_live = owner.has_run and system.now - owner.claimed_at < RETENTION
    if is_live and owner.known == system.era > 0 and system.claim is None:
        claim = _make_claim(owner, index)
        yield f"reassert {index}", dataclasses.replace(system, claim=claim)
    yield f"report {index}", _report(system, index, rules)


def _report(system: State, index: int, rules: Rules) -> State:
    """Read the claim as an entry daemon, to report a refused request."""
    read = _learn_era(system, index, system.era, rules)
    if system.claim is not None or not _may_claim(read, index, rules):
        return read
    has_run = bool(system.runs) and system.now - system.runs[-1] < RETENTION
    return dataclasses.replace(
        read, is_misreported=read.is_misreported or has_run
    )


def transitions(system: State, rules: Rules) -> abc.Iterator[Transition]:
    """Yield the possible transitions.

    :returns: the name of each transition and the state after it.
    """
    is_idle = all(owner.phase is Phase.IDLE for owner in system.owners)
    if is_idle and system.now < LAST_TIME:
        yield "time", dataclasses.replace(system, now=system.now + 1)
    if not system.era:
        restored = dataclasses.replace(system, era=1)
        yield "restore", restored
        lost = dataclasses.replace(restored, claim=None)
        yield "restore without the claim", lost
    for index in range(len(system.owners)):
        yield from _list_claim_transitions(system, index, rules)
        yield from _list_owner_transitions(system, index, rules)


#: Conditions that must hold in every reachable state.
INVARIANTS: dict[str, abc.Callable[[State], bool]] = {
    "a key runs once within the retention time": lambda system: all(
        second - first >= RETENTION
        for first, second in zip(system.runs, system.runs[1:], strict=False)
    ),
    "no request is reported as not run after a run": lambda system: (
        not system.is_misreported
    ),
}
