"""Decisions on the audit trail: what is kept, written and shown."""

from collections import abc
import dataclasses
import re

from burdockdeal.audit import messages
from burdockdeal.audit import state
from burdockdeal.configuration import messages as configuration
from burdockdeal.core import codec

#: Segments that the store keeps; the oldest is written over.
SEGMENTS = 64
#: Bytes of one segment at most.
SEGMENT_BYTES = 250_000
#: Records that a daemon holds until they are written.
PENDING_RECORDS = 2000

_DETAIL_CHARS = 300
_RESOURCE_CHARS = 140
_FIRST_PAUSE_S = 1.0
_MOST_PAUSE_S = 30.0
_CURSOR = re.compile(r"^(\d+|-)\.(\d+|-)\.(\d+|-)$")


def trim(record: messages.Record) -> messages.Record:
    """Bound the parts of a record that come from outside."""
    return dataclasses.replace(
        record,
        resource=record.resource[:_RESOURCE_CHARS],
        detail=record.detail[:_DETAIL_CHARS],
    )


def add(
    pending: state.Pending,
    record: messages.Record,
    *,
    limit: int = PENDING_RECORDS,
) -> state.Pending:
    """Add a record; past the limit the oldest is dropped and counted."""
    records = (*pending.records, trim(record))
    excess = max(0, len(records) - limit)
    return state.Pending(records[excess:], pending.lost + excess)


def drop_written(
    pending: state.Pending, written: state.Pending
) -> state.Pending:
    """Leave what was added since a batch was taken to be written."""
    done = set(written.records)
    left = tuple(r for r in pending.records if r not in done)
    return state.Pending(left, pending.lost - written.lost)


def fill(
    segment: messages.Segment,
    batch: state.Pending,
    *,
    limit_bytes: int = SEGMENT_BYTES,
) -> tuple[messages.Segment, state.Pending]:
    """Put as many records of a batch into a segment as fit.

    Records that are there already, as after a lost answer, are not put
    there again.

    :returns: the segment, and what of the batch is in it; nothing if
        the segment is full.
    """
    there = {_identify(record) for record in segment.records}
    size = len(codec.encode(segment))
    chosen: list[messages.Record] = []
    covered = 0
    for record in batch.records:
        if _identify(record) not in there:
            size += len(codec.encode(record)) + 1
            if size > limit_bytes:
                break
            chosen.append(record)
        covered += 1
    if batch.records and not covered:
        return segment, state.Pending()
    filled = dataclasses.replace(
        segment,
        records=(*segment.records, *chosen),
        lost=segment.lost + batch.lost,
    )
    return filled, state.Pending(batch.records[:covered], batch.lost)


def _identify(record: messages.Record) -> tuple[str, str]:
    return record.change_id, record.outcome


def segment_key(sequence: int) -> str:
    """Name the store's key of a segment."""
    return f"{messages.SEGMENT_PREFIX}{sequence % SEGMENTS:04d}"


def choose_pause(pause_s: float, quiet_s: float) -> float:
    """Choose how long to gather records before they are written.

    It grows while records keep coming, so that a flood of refusals costs
    the store no more than two writes a minute from one daemon.

    :param pause_s: the pause before, in seconds.
    :param quiet_s: how long nothing was written, in seconds.
    """
    if quiet_s > _MOST_PAUSE_S:
        return _FIRST_PAUSE_S
    return min(_MOST_PAUSE_S, max(_FIRST_PAUSE_S, pause_s * 2))


def describe(change: configuration.Change) -> messages.Record:
    """Describe a change that was accepted."""
    return messages.Record(
        at_ms=change.at_ms,
        operator=change.operator,
        resource=f"{change.kind}/{change.name}",
        action=change.action,
        from_generation=change.previous_generation,
        to_generation=change.revision,
        outcome=messages.Outcome.ACCEPTED,
        change_id=change.change_id,
    )


def fits(query: state.Query, record: messages.Record) -> bool:
    """Tell whether a record is asked for."""
    pairs = (
        (query.operator, record.operator),
        (query.resource, record.resource),
        (query.outcome, record.outcome),
        (query.change_id, record.change_id),
    )
    return all(not wanted or wanted == given for wanted, given in pairs)


def format_cursor(cursor: state.Cursor) -> str:
    """Write a cursor as text."""
    parts = (cursor.revision, cursor.sequence, cursor.index)
    return ".".join("-" if part is None else str(part) for part in parts)


def parse_cursor(text: str) -> state.Cursor | None:
    """Read a cursor; None if it is not one."""
    if not text:
        return state.Cursor()
    found = _CURSOR.match(text)
    if found is None:
        return None
    return state.Cursor(
        *(None if part == "-" else int(part) for part in found.groups())
    )


def merge(
    query: state.Query,
    accepted: abc.Sequence[state.Found],
    others: abc.Sequence[state.Found],
    *,
    more_accepted: bool,
    more_others: bool,
) -> tuple[tuple[messages.Record, ...], state.Cursor, bool]:
    """Merge two stretches of records, each the newest first.

    :param more_accepted: whether older accepted changes remain beyond.
    :param more_others: whether older other records remain beyond.
    :returns: the records, the oldest first, where to go on, and whether
        there is more.
    """
    queues = [list(reversed(accepted)), list(reversed(others))]
    more = [more_accepted, more_others]
    cursor = query.cursor
    records: list[messages.Record] = []
    while len(records) < query.limit:
        if any(not q and m for q, m in zip(queues, more, strict=True)):
            break
        full = [queue for queue in queues if queue]
        if not full:
            break
        found = max(full, key=lambda queue: queue[-1].record.at_ms).pop()
        cursor = _advance(cursor, found.cursor)
        if fits(query, found.record):
            records.append(found.record)
    left = any(queues) or any(more)
    return tuple(reversed(records)), cursor, left


def _advance(cursor: state.Cursor, passed: state.Cursor) -> state.Cursor:
    if passed.revision is not None:
        return dataclasses.replace(cursor, revision=passed.revision)
    return dataclasses.replace(
        cursor, sequence=passed.sequence, index=passed.index
    )
