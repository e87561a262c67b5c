"""Sharing the requests of a rule among its services by weight."""

import dataclasses

from burdockdeal.configuration import resources

#: Rules whose turns are remembered; beyond, all begin anew.
_MOST_RULES = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class RoundRobinState:
    """How far each portion of a rule is ahead of its weight.

    :param credits: one for each portion; they add up to 0.
    """

    credits: tuple[float, ...]


def choose_next(
    turns: RoundRobinState, split: tuple[resources.Portion, ...]
) -> tuple[RoundRobinState, str]:
    """Choose the service of the next request.

    Smooth weighted round robin: any span of requests is shared as closely
    as whole requests can be.

    :returns: the turns after it, and the service.
    """
    earned = [
        credit + portion.weight
        for credit, portion in zip(turns.credits, split, strict=True)
    ]
    chosen = max(range(len(split)), key=earned.__getitem__)
    earned[chosen] -= sum(portion.weight for portion in split)
    return RoundRobinState(tuple(earned)), split[chosen].service


class TrafficSplitter:
    """Holds the turns of each rule that splits its requests."""

    def __init__(self) -> None:
        self._turns: dict[tuple[resources.Portion, ...], RoundRobinState] = {}

    def choose_service(self, rule: resources.Rule) -> str:
        """Choose the service for a request of a rule."""
        if not rule.split:
            return rule.service
        if len(self._turns) > _MOST_RULES:
            self._turns.clear()
        begun = self._turns.get(rule.split)
        turns = begun or RoundRobinState((0.0,) * len(rule.split))
        self._turns[rule.split], service = choose_next(turns, rule.split)
        return service
