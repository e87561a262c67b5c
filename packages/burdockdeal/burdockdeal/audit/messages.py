"""Responses and stored values of the audit trail."""

import dataclasses
import enum

#: Prefix of the store keys of segments.
SEGMENT_PREFIX = "audit/segment/"

#: Store key of the sequence number of the newest segment.
HEAD_KEY = "audit/head"


class Outcome(enum.StrEnum):
    """Outcome of a change that an operator requested.

    SUPERSEDED means that a concurrent change was accepted first. UNCERTAIN
    means that the store's response was lost; an ACCEPTED record with the same
    change id shows that the change was accepted after all.
    """

    ACCEPTED = "ACCEPTED"
    REFUSED = "REFUSED"
    SUPERSEDED = "SUPERSEDED"
    UNCERTAIN = "UNCERTAIN"


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One change that an operator requested.

    :param at_ms: wall-clock time in milliseconds.
    :param operator: name of the operator.
    :param resource: kind and name of the resource.
    :param action: the action that was requested.
    :param from_generation: generation of the resource before the change, 0
        if it did not exist.
    :param to_generation: generation that the change created, 0 if it was not
        accepted.
    :param outcome: one of Outcome.
    :param detail: why the change was not accepted.
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

    :param complete: False if the store could not be read or written; the
        page may then hold only the records in this daemon's memory.
    :param older: cursor of the next, older page; empty if there is none.
    :param lost: number of records that this daemon has dropped since it
        started.
    """

    records: tuple[Record, ...]
    complete: bool = True
    older: str = ""
    lost: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Segment:
    """Records of changes that were not accepted, as they are stored.

    :param sequence: sequence number, one more than the previous segment's.
    :param lost: number of records that daemons dropped before they wrote to
        this segment.
    """

    sequence: int
    records: tuple[Record, ...] = ()
    lost: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Stored value that identifies the newest segment.

    :param sequence: sequence number of that segment.
    """

    sequence: int
