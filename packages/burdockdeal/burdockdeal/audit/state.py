"""The state of the audit trail."""

import dataclasses

from burdockdeal.audit import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """Records that wait to be written.

    :param lost: records dropped since the last that was written.
    """

    records: tuple[messages.Record, ...] = ()
    lost: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Cursor:
    """Where a page ends.

    :param revision: accepted changes before it are to come; None for
        all.
    :param sequence: the segment to go on in; None for the newest.
    :param index: records of that segment before it are to come; None
        for all.
    """

    revision: int | None = None
    sequence: int | None = None
    index: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """A record and the cursor that goes on before it."""

    record: messages.Record
    cursor: Cursor


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """Which records to show; an empty field fits all."""

    operator: str = ""
    resource: str = ""
    outcome: str = ""
    change_id: str = ""
    limit: int = 200
    cursor: Cursor = Cursor()
