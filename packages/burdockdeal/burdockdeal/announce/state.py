"""What the daemon knows of the upstream beside it."""

import dataclasses
import enum

from burdockdeal.announce import messages


class Phase(enum.StrEnum):
    """Where the upstream is in its life."""

    ABSENT = "ABSENT"
    SERVING = "SERVING"
    DRAINING = "DRAINING"
    LAPSED = "LAPSED"


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """The upstream beside this daemon.

    :param heard_at: monotonic time at which it surely lived, in seconds.
    :param barred_until: no call is tried before, since its address took
        no connection.
    :param since: monotonic time at which it announced itself.
    :param reported_in_flight: what it said itself, a hint.
    """

    phase: Phase = Phase.ABSENT
    announce: messages.Announce | None = None
    heard_at: float = 0.0
    barred_until: float = 0.0
    since: float = 0.0
    reported_in_flight: int = 0
    reported_healthy: bool = True

    @property
    def incarnation(self) -> int:
        """The incarnation last announced, 0 if none was."""
        return self.announce.incarnation if self.announce else 0
