"""Decisions on probes: which are sent, and what they may cost."""

from collections import abc
import dataclasses

from burdockdeal.configuration import resources
from burdockdeal.configuration import state as configuration
from burdockdeal.measurement import state

#: Seconds until a probe is given up.
PROBE_TIMEOUT_S = 0.3

#: Seconds that a charge counts. A probe's bytes are on the link until it
#: is given up, and the loop may be late: so that every second on the link
#: keeps the budget, a charge counts for longer than one.
HOLD_S = 1.0 + PROBE_TIMEOUT_S + 0.2

#: Ordinary probes that each answered call allows, and the most saved up.
PROBES_PER_ANSWER = 0.05
MOST_CREDIT = 4.0

#: Seconds between two probes of one instance.
SPACING_S = 0.2

#: Work that takes this many times the usual makes a machine slow.
SLOW_FACTOR = 2.5

#: Seconds for which what an upstream told of its machine is remembered.
TOLD_MEMORY_S = 0.06

#: Seconds of slowness after which no call waits for its end.
LONGEST_SPELL_S = 0.6

_BUDGET = configuration.Key("Budget", resources.BUDGET_NAME)


@dataclasses.dataclass(frozen=True, slots=True)
class Want:
    """A probe that would be of use.

    :param name: names the instance.
    :param suspect: whether the instance is suspected of a fault.
    :param age_s: seconds since its newest report or probe.
    """

    name: str
    suspect: bool
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The probes to send now.

    :param names: the instances, the most pressing first.
    :param credit: what is left for ordinary probes.
    """

    names: tuple[str, ...]
    ledger: state.Ledger
    credit: float


def read_budget(standing: configuration.Configuration) -> resources.Budget:
    """Read the operator's budget, the default one if none is declared."""
    declared = standing.resources.get(_BUDGET)
    return declared.spec if declared else resources.Budget()


def terms_of_sender(budget: resources.Budget) -> state.Terms:
    """Tell what one daemon may spend on the probes that it sends."""
    return state.Terms(budget.probes_per_second, budget.bytes_per_second)


def terms_of_receiver(budget: resources.Budget) -> state.Terms:
    """Tell what the probes of one upstream may cost."""
    return state.Terms(
        budget.upstream_probes_per_second, budget.upstream_bytes_per_second
    )


def charge(
    ledger: state.Ledger, terms: state.Terms, size: int, now: float
) -> state.Ruling:
    """Decide on one probe.

    :param size: bytes of the probe and its answer.
    :param now: monotonic time in seconds.
    """
    kept = tuple(one for one in ledger.charges if now - one.at <= HOLD_S)
    spent = sum(one.size for one in kept)
    allowed = (
        len(kept) < terms.probes_per_second
        and spent + size <= terms.bytes_per_second
    )
    if allowed:
        kept = (*kept, state.Charge(now, size))
    return state.Ruling(allowed, state.Ledger(kept))


def add_credit(credit: float, answers: int) -> float:
    """Let answered calls allow ordinary probes."""
    return min(MOST_CREDIT, credit + answers * PROBES_PER_ANSWER)


def plan(
    wants: abc.Iterable[Want],
    ledger: state.Ledger,
    terms: state.Terms,
    size: int,
    now: float,
    *,
    credit: float,
) -> Plan:
    """Choose the probes to send now: suspects first, then the oldest.

    A suspect needs no credit; nothing goes beyond the budget.
    """
    names: list[str] = []
    for want in sorted(wants, key=lambda one: (not one.suspect, -one.age_s)):
        if want.age_s < SPACING_S or (not want.suspect and credit < 1):
            continue
        ruling = charge(ledger, terms, size, now)
        ledger = ruling.ledger
        if not ruling.allowed:
            break
        names.append(want.name)
        credit -= 0 if want.suspect else 1
    return Plan(tuple(names), ledger, credit)


def is_slow_spell(
    slow_since: float | None, upstream_load_age_s: float, now: float
) -> bool:
    """Tell whether work should rather wait than start.

    What a slow machine starts stays slow to its end, while the machine is
    mostly quick again within a fraction of a second. One that stays slow
    is no longer waited for.

    :param slow_since: when it was first told to be slow, in seconds; None
        if it was quick when last told.
    :param upstream_load_age_s: seconds since it was last told.
    """
    if slow_since is None or upstream_load_age_s > TOLD_MEMORY_S:
        return False
    return now - slow_since < LONGEST_SPELL_S
