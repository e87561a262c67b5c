"""What daemons tell each other, and the store, about bookings."""

import dataclasses
import enum


class Fate(enum.StrEnum):
    """What became of one send of a call."""

    #: It did not start, and never will.
    NOT_RUN = "NOT_RUN"
    #: It started.
    STARTED = "STARTED"
    #: The daemon can't know.
    UNKNOWN = "UNKNOWN"


@dataclasses.dataclass(frozen=True, slots=True)
class Fence:
    """Ask that a send whose answer was lost never starts from now on.

    :param incarnation: of the daemon that the send was addressed to.
    :param deadline: the send's, on the addressed daemon's clock, in
        seconds.
    """

    request_id: str
    attempt: int
    incarnation: int
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class Fenced:
    """The answer to a Fence."""

    fate: Fate


@dataclasses.dataclass(frozen=True, slots=True)
class Clock:
    """A daemon's own clock.

    :param now: its monotonic time in seconds.
    """

    incarnation: int
    now: float


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """The one daemon that may run the calls of a key."""

    daemon: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A caller's own key, as it stands in the store.

    :param claim_id: unique for each claim that is written.
    """

    holder: Holder
    claim_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class IssuedKey:
    """A key that a daemon issued ahead.

    :param issued_at: the holder's monotonic time in seconds, at the most.
    """

    service: str
    holder: Holder
    issued_at: float
    nonce: str


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """An issued key, as a caller gets it.

    :param key: the value for the Idempotency-Key header.
    :param expires_s: seconds for which it can be used.
    """

    key: str
    service: str
    expires_s: float
