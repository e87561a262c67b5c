"""What an owner remembers of sends and of keys."""

import dataclasses
import enum


class SendState(enum.StrEnum):
    """What is known of one send."""

    FENCED = "FENCED"
    STARTED = "STARTED"


@dataclasses.dataclass(frozen=True, slots=True)
class SendId:
    """Names one send of a call."""

    request_id: str
    attempt: int


class KeyState(enum.StrEnum):
    """What is known of the one run of a key."""

    #: Nothing ran. The key may be claimed in the store by this daemon.
    IDLE = "IDLE"
    #: A run is under way, or is about to be.
    RUNNING = "RUNNING"
    #: It ran, and its answer is kept.
    KEPT = "KEPT"
    #: It ran, and its answer is not kept.
    GONE = "GONE"
    #: It may have run.
    UNSURE = "UNSURE"


class KeyAction(enum.StrEnum):
    """What is done with a request that carries a key."""

    RUN = "RUN"
    JOIN = "JOIN"
    REPLAY = "REPLAY"
    TELL_GONE = "TELL_GONE"
    TELL_UNSURE = "TELL_UNSURE"
    REFUSE_CONFLICT = "REFUSE_CONFLICT"


class ClaimAction(enum.StrEnum):
    """What a claim in the store means for the daemon that wants to run."""

    RUN = "RUN"
    REFUSE = "REFUSE"
    SEND_TO_HOLDER = "SEND_TO_HOLDER"
    TELL_UNSURE = "TELL_UNSURE"
