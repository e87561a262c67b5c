"""The daemon's view of the local upstream."""

import dataclasses
import enum

from burdockdeal.announce import messages


class Phase(enum.StrEnum):
    """Lifecycle phase of the upstream.

    An upstream that never announced itself is ABSENT. LAPSED means that its
    lease ran out, or that it announced itself and sent no heartbeat yet.
    """

    ABSENT = "ABSENT"
    SERVING = "SERVING"
    DRAINING = "DRAINING"
    LAPSED = "LAPSED"


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """State of the local upstream.

    :param announce: the latest announcement, None before the first.
    :param last_alive_at: latest monotonic time, in seconds, at which the
        upstream is known to have been alive.
    :param backoff_until: monotonic time, in seconds, before which no call is
        sent because a connection attempt failed.
    :param announced_at: monotonic time, in seconds, at which this
        incarnation announced itself.
    :param reported_in_flight: number of running calls that the upstream
        reported; a hint.
    :param reported_healthy: health that the upstream reported; a hint.
    :param cold_until: monotonic time, in seconds, at which the upstream
        stops being cold; None if it has not reported that.
    """

    phase: Phase = Phase.ABSENT
    announce: messages.Announce | None = None
    last_alive_at: float = 0.0
    backoff_until: float = 0.0
    announced_at: float = 0.0
    reported_in_flight: int = 0
    reported_healthy: bool = True
    cold_until: float | None = None

    @property
    def incarnation(self) -> int:
        """The incarnation last announced, 0 if none was."""
        return self.announce.incarnation if self.announce else 0
