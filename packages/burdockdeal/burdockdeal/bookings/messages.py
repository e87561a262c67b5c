"""Messages between daemons, and stored values, of at-most-once execution."""

import dataclasses
import enum


class Fate(enum.StrEnum):
    """Outcome of one send, as its owner daemon knows it."""

    #: It did not start and never will.
    NOT_RUN = "NOT_RUN"
    #: It started.
    STARTED = "STARTED"
    #: The daemon can't tell whether it started.
    UNKNOWN = "UNKNOWN"


@dataclasses.dataclass(frozen=True, slots=True)
class Fence:
    """Asks for the outcome of a send whose response was lost.

    If the send has not started, it must never start from now on.

    :param request_id: id of the call.
    :param attempt: number of the send, from 1.
    :param incarnation: incarnation of the daemon that the send was
        addressed to.
    :param deadline: deadline of the send on that daemon's monotonic clock,
        in seconds.
    """

    request_id: str
    attempt: int
    incarnation: int
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class Fenced:
    """Response to a Fence."""

    fate: Fate


@dataclasses.dataclass(frozen=True, slots=True)
class Clock:
    """A reading of a daemon's clock.

    :param incarnation: incarnation of that daemon.
    :param now: its monotonic time in seconds.
    """

    incarnation: int
    now: float


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """The only daemon that may run the calls of an idempotency key.

    :param daemon: name of the daemon.
    :param incarnation: its incarnation; a restarted daemon is another
        holder, since it has lost what it knew of the key.
    """

    daemon: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The claim of an idempotency key that a caller chose, as it is stored.

    :param holder: the daemon that claimed the key.
    :param claim_id: unique for each claim that is written.
    """

    holder: Holder
    claim_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class OpenEra:
    """The latest era of the store in which callers' keys may be claimed.

    It is stored, so that a daemon which starts later need not wait.
    """

    era: int


@dataclasses.dataclass(frozen=True, slots=True)
class IssuedKey:
    """An idempotency key that a daemon issued.

    Its holder is chosen in advance, so it needs no claim in the store.

    :param service: the only service that the key may be used for.
    :param holder: the daemon that may run its calls.
    :param issued_at: lower bound of the holder's monotonic time when the
        key was issued, in seconds.
    :param nonce: makes the key unique.
    """

    service: str
    holder: Holder
    issued_at: float
    nonce: str


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """The response to a caller that asked for an idempotency key.

    :param key: the value for the Idempotency-Key header.
    :param service: the service that the key may be used for.
    :param expires_s: seconds for which the key can be used.
    """

    key: str
    service: str
    expires_s: float
