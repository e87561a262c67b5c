"""State machine of a daemon and a store that is restored, for model checking.

The store has two keys that others write together; it may be restored, at any
time, to its initial state in a new era. The daemon reads, writes once, lists
both keys page by page and watches. Its calls take effect and are answered in
separate steps, so that a restore and other calls may come in between. The
steps call the production decisions; a test may replace one.
"""

from collections import abc
import dataclasses
import enum

from burdockdeal.platform import decisions
from burdockdeal.platform import messages
from burdockdeal.platform import state as client_state

Version = messages.Version

#: Bounds of the search.
LAST_ERA = 2
LAST_REVISION = 2

#: The revision and value to which the store is restored.
_COPY = (1, "copied")
_INITIAL_VERSION = Version(0, _COPY[0])
_OWN_VALUE = "own"


class Outcome(enum.Enum):
    """What the daemon makes of its write."""

    PENDING = "PENDING"
    SUCCEEDED = "SUCCEEDED"
    REFUSED = "REFUSED"
    UNCERTAIN = "UNCERTAIN"


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The decisions, each replaceable by a faulty variant."""

    judge_era: abc.Callable[..., client_state.EraOutcome] = decisions.judge_era
    may_use_version: abc.Callable[..., bool] = decisions.may_use_version
    can_continue: abc.Callable[..., bool] = decisions.can_continue
    is_result: abc.Callable[..., bool] = decisions.is_result
    unanswered: Outcome = Outcome.UNCERTAIN


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """A version of the keys and their value."""

    version: Version
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """State of the store and of the daemon.

    :param known: the newest era that the daemon knows.
    :param late: a read whose response is still on its way.
    :param view: what the daemon has read; a watch continues from it.
    :param base: what was read before the write.
    :param is_sent: whether the write is on its way to the store.
    :param known_when_sent: the newest era known when the write was sent.
    :param answer: the era of the write's response, and whether the write
        took effect; None if there is none on its way.
    :param replaced: the value that the write replaced, empty for none.
    :param first_page: the version of a listing's first page.
    :param listed: the eras of the pages of a complete listing.
    :param took_outdated: whether a result was taken from an older era than
        the newest known.
    """

    version: Version = _INITIAL_VERSION
    value: str = _COPY[1]
    known: int | None = None
    late: Read | None = None
    view: Read | None = None
    base: Read | None = None
    is_sent: bool = False
    known_when_sent: int = 0
    answer: tuple[int, bool] | None = None
    outcome: Outcome = Outcome.PENDING
    replaced: str = ""
    first_page: Version | None = None
    listed: tuple[int, ...] = ()
    took_outdated: bool = False


Transition = tuple[str, State]


def _receive(
    system: State,
    answered: int,
    rules: Rules,
    *,
    written_on: Version | None = None,
) -> tuple[State, bool]:
    """Let a response arrive.

    :returns: the state, and whether the response is a result.
    """
    outcome = rules.judge_era(system.known, answered)
    if outcome is not client_state.EraOutcome.OUTDATED:
        system = dataclasses.replace(
            system, known=max(system.known or 0, answered)
        )
    is_result = rules.is_result(
        outcome, answered=answered, written_on=written_on
    )
    if is_result and answered < (system.known or 0):
        system = dataclasses.replace(system, took_outdated=True)
    return system, is_result


def _list_store_transitions(system: State) -> abc.Iterator[Transition]:
    version = system.version
    if version.revision < LAST_REVISION:
        written = Version(version.era, version.revision + 1)
        value = f"other {written}"
        yield (
            "other write",
            dataclasses.replace(system, version=written, value=value),
        )
    if version.era < LAST_ERA:
        revision, value = _COPY
        restored = Version(version.era + 1, revision)
        yield (
            "restore",
            dataclasses.replace(system, version=restored, value=value),
        )


def _list_read_transitions(
    system: State, rules: Rules
) -> abc.Iterator[Transition]:
    if system.late is None:
        late = Read(system.version, system.value)
        yield "read", dataclasses.replace(system, late=late)
    else:
        received, is_result = _receive(system, system.late.version.era, rules)
        view = system.late if is_result else system.view
        yield (
            "read answered",
            dataclasses.replace(received, late=None, view=view),
        )
    if system.view is not None:
        yield "watch", _watch(system, system.view, rules)


def _watch(system: State, view: Read, rules: Rules) -> State:
    """Watch from the view's version, and list anew where that is needed."""
    current = Read(system.version, system.value)
    after = view.version
    if not rules.may_use_version(after, system.known):
        received, _ = _receive(system, system.version.era, rules)
        return dataclasses.replace(received, view=current)
    received, _ = _receive(system, system.version.era, rules)
    is_gone = not _COPY[0] <= after.revision <= system.version.revision
    if is_gone or not rules.can_continue(after, system.version.era):
        return dataclasses.replace(received, view=current)
    if system.version.revision > after.revision:
        return dataclasses.replace(received, view=current)
    # Nothing is newer: the position is taken over with the view as it is.
    return dataclasses.replace(received, view=Read(system.version, view.value))


def _list_listing_transitions(
    system: State, rules: Rules
) -> abc.Iterator[Transition]:
    era = system.version.era
    received, _ = _receive(system, era, rules)
    if system.first_page is None:
        if not system.listed:
            yield (
                "first page",
                dataclasses.replace(received, first_page=system.version),
            )
    elif rules.can_continue(system.first_page, era):
        listed = (system.first_page.era, era)
        yield (
            "second page",
            dataclasses.replace(received, first_page=None, listed=listed),
        )
    else:
        yield (
            "first page again",
            dataclasses.replace(received, first_page=system.version),
        )


def _list_write_transitions(
    system: State, rules: Rules
) -> abc.Iterator[Transition]:
    if system.outcome is not Outcome.PENDING:
        return
    if system.base is None:
        if system.view is not None:
            yield "decide", dataclasses.replace(system, base=system.view)
    elif system.is_sent:
        yield "takes effect", _take_effect(system, system.base)
    elif system.answer is None:
        if rules.may_use_version(system.base.version, system.known):
            yield (
                "send",
                dataclasses.replace(
                    system, is_sent=True, known_when_sent=system.known or 0
                ),
            )
        else:
            refused = dataclasses.replace(system, outcome=Outcome.REFUSED)
            yield "not sent", refused
    else:
        era, has_effect = system.answer
        received, is_result = _receive(
            system, era, rules, written_on=system.base.version
        )
        result = Outcome.SUCCEEDED if has_effect else Outcome.REFUSED
        yield (
            "write answered",
            dataclasses.replace(
                received,
                outcome=result if is_result else rules.unanswered,
            ),
        )


def _take_effect(system: State, base: Read) -> State:
    version = system.version
    arrived = dataclasses.replace(system, is_sent=False)
    if base.version.revision != version.revision:
        return dataclasses.replace(arrived, answer=(version.era, False))
    return dataclasses.replace(
        arrived,
        answer=(version.era, True),
        replaced=system.value,
        version=Version(version.era, version.revision + 1),
        value=_OWN_VALUE,
    )


def transitions(system: State, rules: Rules) -> abc.Iterator[Transition]:
    """Yield the possible transitions.

    :returns: the name of each transition and the state after it.
    """
    yield from _list_store_transitions(system)
    yield from _list_read_transitions(system, rules)
    yield from _list_listing_transitions(system, rules)
    yield from _list_write_transitions(system, rules)


def _is_success_on_read_value(system: State) -> bool:
    if system.outcome is not Outcome.SUCCEEDED:
        return True
    return system.base is not None and system.replaced == system.base.value


def _is_known_era_respected(system: State) -> bool:
    return (
        not system.replaced
        or system.base is None
        or system.replaced == system.base.value
        or system.base.version.era >= system.known_when_sent
    )


def _is_view_current(system: State) -> bool:
    return (
        system.view is None
        or system.view.version != system.version
        or system.view.value == system.value
    )


#: Conditions that must hold in every reachable state.
INVARIANTS: dict[str, abc.Callable[[State], bool]] = {
    "a successful write replaced the value that was read": (
        _is_success_on_read_value
    ),
    "no write in a known era replaces a value that was not read": (
        _is_known_era_respected
    ),
    "a refused write never took effect": lambda system: (
        system.outcome is not Outcome.REFUSED or not system.replaced
    ),
    "a view of the newest version is current": _is_view_current,
    "the pages of a listing are of one era": lambda system: (
        len(set(system.listed)) <= 1
    ),
    "no result is of an older era than is known": lambda system: (
        not system.took_outdated
    ),
}
