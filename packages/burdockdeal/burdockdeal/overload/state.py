"""State of a daemon's overload protection."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class DecayedCounts:
    """Exponentially decayed counts of the calls of one service and rank.

    :param arrived: calls that arrived.
    :param sent: calls that were sent on to an instance.
    :param refused: calls among them that no instance had a slot or a place
        in its queue for.
    :param updated_at: when the decay was last applied, monotonic time in
        seconds.
    """

    arrived: float = 0.0
    sent: float = 0.0
    refused: float = 0.0
    updated_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RankUsage:
    """One rank's use of the requests that a daemon may have in progress.

    :param worth: the value of one answer in time.
    :param floor: the share of the limit that is reserved for the rank.
    :param in_progress: its requests that are not yet answered.
    """

    worth: float
    floor: float
    in_progress: int


@dataclasses.dataclass(frozen=True, slots=True)
class AdaptiveLimit:
    """A concurrency limit that follows the lag of the event loop.

    :param max_in_progress: requests that may be in progress.
    :param lag_s: how late the last tick ran, in seconds.
    """

    max_in_progress: float
    lag_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class TransferProgress:
    """How much of a body arrived, and how long the reader waited for it.

    :param received_bytes: bytes that arrived.
    :param waited_s: seconds that the reader spent waiting for bytes.
    """

    received_bytes: int = 0
    waited_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """The memory that one connection holds.

    :param held_bytes: what was read or promised and is not yet used.
    :param stalled_s: seconds since the connection last made progress.
    """

    held_bytes: int
    stalled_s: float
