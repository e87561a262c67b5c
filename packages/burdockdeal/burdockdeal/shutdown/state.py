"""State and timeouts of a daemon's shutdown."""

import dataclasses
import enum


class Phase(enum.StrEnum):
    """Lifecycle phase of the daemon."""

    RUNNING = "RUNNING"
    #: The fleet has been notified. Callers' connections are still accepted,
    #: for callers that have not yet learned of the shutdown.
    LEAVING = "LEAVING"
    #: No new connections are accepted; work in progress is completed.
    FINISHING = "FINISHING"
    #: All work is complete.
    ENDED = "ENDED"
    #: Work still in progress is aborted.
    CUT = "CUT"


@dataclasses.dataclass(frozen=True, slots=True)
class Shutdown:
    """State of a daemon's shutdown.

    :param requested_at: monotonic time, in seconds, at which the shutdown
        began; without meaning while the daemon is RUNNING.
    :param is_requested: whether it was requested from outside.
    :param has_failed: whether a part of the daemon has failed.
    """

    phase: Phase = Phase.RUNNING
    requested_at: float = 0.0
    is_requested: bool = False
    has_failed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Timeouts:
    """Timeouts of a shutdown, both counted from its request.

    :param linger_s: seconds for which new connections are still accepted.
    :param stop_s: seconds after which work still in progress is aborted.
    """

    linger_s: float
    stop_s: float
