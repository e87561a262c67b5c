"""State of the evacuations that a daemon applies."""

import dataclasses

from burdockdeal.evacuation import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A set of evacuated domains that replaces another one.

    :param started: the domains whose evacuation starts.
    :param ended: those whose evacuation ends.
    """

    current: messages.EvacuatedDomains
    started: frozenset[str]
    ended: frozenset[str]
