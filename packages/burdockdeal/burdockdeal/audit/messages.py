"""Messages of the audit trail."""

import dataclasses
import enum

#: Where the segments of records stand in the store.
SEGMENT_PREFIX = "audit/segment/"

#: Tells the sequence of the newest segment.
HEAD_KEY = "audit/head"


class Outcome(enum.StrEnum):
    """How a change that an operator asked for ended.

    SUPERSEDED is the loser of a race; of an UNCERTAIN one the store's
    answer was lost: a record ACCEPTED with the same id shows if it was.
    """

    ACCEPTED = "ACCEPTED"
    REFUSED = "REFUSED"
    SUPERSEDED = "SUPERSEDED"
    UNCERTAIN = "UNCERTAIN"


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One change that an operator asked for.

    :param from_generation: what stood, 0 for none.
    :param to_generation: what the change made, 0 if it was not accepted.
    :param outcome: one of Outcome.
    """

    at_ms: int
    operator: str
    resource: str
    action: str
    from_generation: int
    to_generation: int
    outcome: str
    detail: str = ""
    change_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Trail:
    """A page of records, the oldest first.

    :param complete: False while the store is away and only what this
        daemon holds is shown.
    :param older: the cursor of the page before, empty if there is none.
    :param lost: records that this daemon had to drop since it started.
    """

    records: tuple[Record, ...]
    complete: bool = True
    older: str = ""
    lost: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Segment:
    """Records of changes that were not accepted, as the store holds them.

    :param sequence: grows with each segment.
    :param lost: records that daemons dropped before they wrote here.
    """

    sequence: int
    records: tuple[Record, ...] = ()
    lost: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Where the newest segment is."""

    sequence: int
