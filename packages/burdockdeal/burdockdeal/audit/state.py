"""State of the audit trail."""

import dataclasses

from burdockdeal.audit import messages


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRecords:
    """Records that are not in the store yet, the oldest first.

    :param dropped_count: number of records dropped since the last write to
        the store.
    """

    records: tuple[messages.Record, ...] = ()
    dropped_count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Cursor:
    """Position in the audit trail at which the next, older page begins.

    :param revision: the next page holds accepted changes before this
        revision; None for no limit.
    :param sequence: the segment to read next; None for the newest.
    :param index: the next page holds records of that segment before this
        index; None for no limit.
    """

    revision: int | None = None
    sequence: int | None = None
    index: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LocatedRecord:
    """A record and the cursor of the page that ends before it."""

    record: messages.Record
    cursor: Cursor


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """Filter and page of records; an empty field matches every record.

    :param limit: maximum number of records.
    """

    operator: str = ""
    resource: str = ""
    outcome: str = ""
    change_id: str = ""
    limit: int = 200
    cursor: Cursor = Cursor()
