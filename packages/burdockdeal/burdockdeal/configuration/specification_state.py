"""State of the model of the log: the store, its writers and a follower."""

import dataclasses
import enum

#: Slots of the ring.
RING_SIZE = 2
WRITERS = ("a", "b")
#: Maximum number of writes of one writer that are in flight at once.
MAX_IN_FLIGHT_PER_WRITER = 2


class Phase(enum.StrEnum):
    """The phase that a writer's request is in."""

    PROPOSE = "PROPOSE"
    READ = "READ"
    SEND = "SEND"
    ACCEPTED = "ACCEPTED"
    REFUSED = "REFUSED"
    UNCERTAIN = "UNCERTAIN"


FINAL_PHASES = frozenset({Phase.ACCEPTED, Phase.REFUSED, Phase.UNCERTAIN})


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """A slot of the store: a revision, its change and the store's version."""

    revision: int = 0
    change_id: str = ""
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class InFlightWrite:
    """A write in flight, which may take effect at any time or never."""

    writer: str
    revision: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Writer:
    """A writer and its request.

    :param known: the revision up to which it has read the log.
    :param revision: the revision at which it tries to write its change.
    :param version: the version that it read from the slot.
    :param is_in_doubt: whether a write of it may still take effect.
    """

    phase: Phase = Phase.PROPOSE
    known: int = 0
    revision: int = 0
    version: int = 0
    is_in_doubt: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """The store, the writers and a follower.

    :param slots: the slots of the ring.
    :param version: the store's latest version.
    :param history: the ids of the changes that took effect, in the order of
        their revisions.
    :param is_out_of_order: whether a write took effect out of order.
    :param manifest: the revision of the current snapshot, 0 for none.
    :param in_flight: the writes in flight.
    :param applied: the ids of the changes that the follower has applied.
    """

    slots: tuple[Slot, ...] = (Slot(),) * RING_SIZE
    version: int = 0
    history: tuple[str, ...] = ()
    is_out_of_order: bool = False
    manifest: int = 0
    writers: tuple[Writer, ...] = ()
    in_flight: frozenset[InFlightWrite] = frozenset()
    applied: tuple[str, ...] = ()
