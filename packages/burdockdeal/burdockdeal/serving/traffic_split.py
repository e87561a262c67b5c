"""Traffic split: distributes a rule's requests by service weight."""

import dataclasses

from burdockdeal.configuration import resources

#: Maximum number of splits with state; beyond it, all start over.
_MAX_RULES = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class RoundRobinState:
    """State of the smooth weighted round robin over a rule's services.

    :param credits: how far each service's share of requests lags behind
        its weight; they add up to 0.
    """

    credits: tuple[float, ...]


def choose_next(
    state: RoundRobinState, split: tuple[resources.WeightedService, ...]
) -> tuple[RoundRobinState, str]:
    """Choose the service for the next request.

    Smooth weighted round robin keeps the shares close to the weights over
    any run of consecutive requests.

    :param split: the services and their weights.
    :returns: the state after the choice, and the service.
    """
    updated = [
        credit + portion.weight
        for credit, portion in zip(state.credits, split, strict=True)
    ]
    chosen = max(range(len(split)), key=updated.__getitem__)
    updated[chosen] -= sum(portion.weight for portion in split)
    return RoundRobinState(tuple(updated)), split[chosen].service


class TrafficSplitter:
    """Holds the round-robin state of each rule that splits its requests."""

    def __init__(self) -> None:
        self._states: dict[
            tuple[resources.WeightedService, ...], RoundRobinState
        ] = {}

    def choose_service(self, rule: resources.Rule) -> str:
        """Choose the service for the next request of a rule."""
        if not rule.split:
            return rule.service
        if len(self._states) > _MAX_RULES:
            self._states.clear()
        previous = self._states.get(rule.split)
        state = previous or RoundRobinState((0.0,) * len(rule.split))
        self._states[rule.split], service = choose_next(state, rule.split)
        return service
