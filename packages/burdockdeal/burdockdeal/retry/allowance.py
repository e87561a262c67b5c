"""What one entry may add to the sends of the whole fleet.

All entries together may send a service so many requests beyond first sends
in any window. Nobody counts for all: each entry keeps to the share of its
own first sends, and to its part of what is allowed on top, so that the sum
keeps to the bound whatever fails and whoever is cut off.
"""

import collections
from collections import abc
import dataclasses

from burdockdeal.settings import model

#: The counts of a window are kept in so many steps.
STEPS = 20

#: The part of what the fleet may send again that is used: what is counted
#: here and there need not meet in the same window.
USED_SHARE = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """The sends to a service in one step of the window.

    :param number: the step's place in time.
    :param repeats: sends that were repeats; a part of one where only that
        is known.
    """

    number: int
    firsts: int = 0
    repeats: float = 0.0


def may_repeat(
    steps: abc.Iterable[Step], terms: model.FleetRetryBudget, members: int
) -> bool:
    """Tell whether one more send stays within this entry's part.

    :param steps: the steps of the window that ends now.
    :param members: entries that share what is allowed on top.
    """
    firsts, repeats = 0, 0.0
    for step in steps:
        firsts += step.firsts
        repeats += step.repeats
    allowed = terms.share * firsts + terms.slack / max(1, members)
    return repeats + 1 <= USED_SHARE * allowed


class Allowance:
    """Counts the sends of one entry, by service.

    :param terms: returns what the fleet may send.
    :param members: returns how many entries there are.
    :param clock: returns monotonic time in seconds.
    :param repeated_share: returns the share of the calls made beside this
        entry that are made for repeated calls.
    """

    def __init__(
        self,
        terms: abc.Callable[[], model.FleetRetryBudget],
        members: abc.Callable[[], int],
        clock: abc.Callable[[], float],
        repeated_share: abc.Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._terms = terms
        self._members = members
        self._clock = clock
        self._repeated_share = repeated_share
        self._most_members = 1
        self._steps: dict[str, collections.deque[Step]] = {}

    def count(self, service: str, *, first: bool) -> None:
        """Count a send that may have reached an upstream."""
        steps = self._bring_up(service)
        last = steps[-1]
        repeat = self._repeated_share() if first else 1.0
        steps[-1] = Step(
            last.number, last.firsts + first, last.repeats + repeat
        )

    def may_repeat(self, service: str) -> bool:
        """Tell whether one more send beyond the first is allowed."""
        # A fleet that looks smaller, as from behind a cut, allows no more.
        self._most_members = max(self._most_members, self._members())
        steps = self._bring_up(service)
        return may_repeat(steps, self._terms(), self._most_members)

    def _bring_up(self, service: str) -> collections.deque[Step]:
        number = int(self._clock() * STEPS / self._terms().window_s)
        steps = self._steps.setdefault(service, collections.deque())
        if not steps or steps[-1].number != number:
            steps.append(Step(number))
        while steps[0].number < number - STEPS:
            steps.popleft()
        return steps
