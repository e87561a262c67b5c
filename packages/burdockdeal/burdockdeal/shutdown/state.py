"""Where a daemon is in its stop."""

import dataclasses
import enum


class Phase(enum.StrEnum):
    """Where the daemon is in its life."""

    RUNNING = "RUNNING"
    #: The fleet was told; callers' connections are still taken, for the
    #: callers that did not hear of it yet.
    LEAVING = "LEAVING"
    #: No more connections are taken; what runs is finished.
    FINISHING = "FINISHING"
    #: All is done.
    ENDED = "ENDED"
    #: What still ran is cut off.
    CUT = "CUT"


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """The stop of a daemon.

    :param since: monotonic time at which it was asked for, in seconds.
    """

    phase: Phase = Phase.RUNNING
    since: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """How long a stop may take.

    :param linger_s: seconds for which connections are still taken.
    :param limit_s: seconds after which what still runs is cut off.
    """

    linger_s: float
    limit_s: float
