"""What measuring has cost of late."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """What measuring may cost in any second."""

    probes_per_second: int
    bytes_per_second: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """What an upstream tells of its own load; true when it was written.

    :param slots: calls that it runs at once.
    :param slowdown: how many times as long as usual work takes on its
        machine at that moment.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Charge:
    """The cost of one probe.

    :param at: monotonic time in seconds.
    :param size: bytes of request and answer, their headers included.
    """

    at: float
    size: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ledger:
    """The charges that still count, the oldest first."""

    charges: tuple[Charge, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Ruling:
    """Whether a probe is allowed, and the ledger after it."""

    allowed: bool
    ledger: Ledger
