"""What an owner daemon records of sends and of idempotency keys."""

import dataclasses
import enum


class SendState(enum.StrEnum):
    """What the owner daemon recorded of one send."""

    #: The send has not started and must never start.
    FENCED = "FENCED"
    #: The send was passed to the upstream.
    STARTED = "STARTED"


@dataclasses.dataclass(frozen=True, slots=True)
class SendId:
    """Identifies one send of a call.

    :param request_id: id of the call.
    :param attempt: number of the send, from 1.
    """

    request_id: str
    attempt: int


class KeyState(enum.StrEnum):
    """State of the only run of an idempotency key."""

    #: Nothing ran. This daemon may have claimed the key in the store.
    IDLE = "IDLE"
    #: A run is in progress or about to start.
    RUNNING = "RUNNING"
    #: It ran, and its response is stored.
    STORED = "STORED"
    #: It ran, and its response is too large to store or was evicted.
    NOT_STORED = "NOT_STORED"
    #: It may have run.
    UNKNOWN = "UNKNOWN"


class KeyAction(enum.StrEnum):
    """How to handle a request that carries an idempotency key."""

    #: Run the request.
    RUN = "RUN"
    #: Wait for the run in progress.
    JOIN = "JOIN"
    #: Return the stored response.
    REPLAY = "REPLAY"
    #: Report that it ran and that its response is not available.
    REPORT_RAN = "REPORT_RAN"
    #: Report that it may have run.
    REPORT_UNKNOWN = "REPORT_UNKNOWN"
    #: Reject it, since the key was first used for another request.
    REJECT_CONFLICT = "REJECT_CONFLICT"


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimWindow:
    """From when on a daemon claims callers' keys in an era of the store.

    :param era: the store's era.
    :param opens_at: monotonic time in seconds.
    """

    era: int = 0
    opens_at: float = 0.0


class ClaimAction(enum.StrEnum):
    """How to go on after an attempt to claim an idempotency key."""

    #: This daemon holds the key: run the request.
    RUN = "RUN"
    #: It is not known who holds the key: reject the request.
    REJECT = "REJECT"
    #: Another daemon holds the key: redirect the request to it.
    REDIRECT = "REDIRECT"
    #: Report that a request with the key may have run.
    REPORT_UNKNOWN = "REPORT_UNKNOWN"
