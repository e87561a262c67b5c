"""The gate beside an upstream: what runs and what waits."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RankTerms:
    """What a rank of work is promised.

    :param target_s: the wait past which an answer is late, in seconds.
    :param floor: the share of slots that it keeps.
    """

    name: str
    urgency: int
    worth: float
    target_s: float
    floor: float


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A call at the gate.

    :param arrived: monotonic time in seconds.
    :param deadline: monotonic time in seconds.
    """

    number: int
    terms: RankTerms
    arrived: float
    deadline: float
