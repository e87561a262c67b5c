"""What a daemon knows of its own load."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """Counts of one kind of work, each fading with time.

    :param arrived: calls that came in.
    :param sent: calls that were sent on to an instance.
    :param refused: of those, the ones that met no room.
    :param at: when they were brought up to date, monotonic seconds.
    """

    arrived: float = 0.0
    sent: float = 0.0
    refused: float = 0.0
    at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """One rank's part in this entry's work.

    :param worth: what one answer in time is worth.
    :param floor: the share of the work that the rank keeps.
    :param in_progress: its requests that are not yet answered.
    """

    worth: float
    floor: float
    in_progress: int


@dataclasses.dataclass(frozen=True, slots=True)
class AdaptiveLimit:
    """How far the loop is behind, and what it may therefore take on.

    :param allowed: requests in progress at most.
    :param lag_s: how late the last tick ran, in seconds.
    """

    allowed: float
    lag_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Flow:
    """How fast a body comes.

    :param size: bytes that came.
    :param waited_s: seconds in which the reader waited for bytes.
    """

    size: int = 0
    waited_s: float = 0.0
