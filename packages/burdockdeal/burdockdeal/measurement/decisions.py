"""Decisions on which probes to send and what they may cost."""

from collections import abc
import dataclasses

from burdockdeal.configuration import resources
from burdockdeal.configuration import state as configuration
from burdockdeal.measurement import state

#: Seconds after which a probe is cancelled.
PROBE_TIMEOUT_S = 0.3

#: Seconds for which a cost counts. The bytes of a probe may be on the link
#: until its time-out, and the event loop may be late, so a cost counts for
#: longer than a second to keep the budget in every second on the link.
WINDOW_S = 1.0 + PROBE_TIMEOUT_S + 0.2

#: Routine probes that each answered call allows, and the most that may be
#: saved up.
PROBES_PER_ANSWER = 0.05
MAX_CREDIT = 4.0

#: Seconds between two probes of one instance.
MIN_INTERVAL_S = 0.2

_BUDGET = configuration.Key("Budget", resources.BUDGET_NAME)


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeCandidate:
    """An instance that may be probed.

    :param name: names the instance.
    :param is_suspect: whether the instance is suspected of a fault.
    :param age_s: seconds since its newest report or probe.
    """

    name: str
    is_suspect: bool
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ProbePlan:
    """The probes to send now.

    :param names: the instances, the most urgent first.
    :param window: the costs, including those of the planned probes.
    :param credit: routine probes that may still be sent.
    """

    names: tuple[str, ...]
    window: state.CostWindow
    credit: float


def get_budget(current: configuration.Configuration) -> resources.Budget:
    """Return the declared budget, or the default one if there is none.

    :param current: the configuration in force.
    """
    declared = current.resources.get(_BUDGET)
    return declared.spec if declared else resources.Budget()


def get_sender_limits(budget: resources.Budget) -> state.ProbeLimits:
    """Return the limits on the probes that one daemon sends."""
    return state.ProbeLimits(budget.probes_per_second, budget.bytes_per_second)


def get_receiver_limits(budget: resources.Budget) -> state.ProbeLimits:
    """Return the limits on the probes that one upstream receives."""
    return state.ProbeLimits(
        budget.upstream_probes_per_second, budget.upstream_bytes_per_second
    )


def try_spend(
    window: state.CostWindow, limits: state.ProbeLimits, size: int, now: float
) -> state.SpendResult:
    """Add the cost of one probe to the window if the limits allow it.

    :param size: bytes of the probe and its response.
    :param now: monotonic time in seconds.
    """
    kept = tuple(
        each for each in window.costs if now - each.spent_at <= WINDOW_S
    )
    spent = sum(each.size for each in kept)
    allowed = (
        len(kept) < limits.probes_per_second
        and spent + size <= limits.bytes_per_second
    )
    if allowed:
        kept = (*kept, state.ProbeCost(now, size))
    return state.SpendResult(allowed, state.CostWindow(kept))


def add_credit(credit: float, answers: int) -> float:
    """Add the routine probes that newly answered calls allow.

    :param answers: calls answered since the last time.
    """
    return min(MAX_CREDIT, credit + answers * PROBES_PER_ANSWER)


def plan_probes(
    candidates: abc.Iterable[ProbeCandidate],
    window: state.CostWindow,
    limits: state.ProbeLimits,
    size: int,
    now: float,
    *,
    credit: float,
) -> ProbePlan:
    """Choose the probes to send now.

    Suspect instances go first and need no credit; of the others, those with
    the oldest reports go first. The limits hold for all.

    :param size: bytes of one probe and its response.
    :param now: monotonic time in seconds.
    :param credit: routine probes that may be sent.
    """
    names: list[str] = []
    for candidate in sorted(
        candidates, key=lambda each: (not each.is_suspect, -each.age_s)
    ):
        if candidate.age_s < MIN_INTERVAL_S or (
            not candidate.is_suspect and credit < 1
        ):
            continue
        result = try_spend(window, limits, size, now)
        window = result.window
        if not result.allowed:
            break
        names.append(candidate.name)
        credit -= 0 if candidate.is_suspect else 1
    return ProbePlan(tuple(names), window, credit)
