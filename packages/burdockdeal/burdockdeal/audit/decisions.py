"""Decisions of the audit trail: what is retained, written and returned."""

from collections import abc
import dataclasses
import re

from burdockdeal.audit import messages
from burdockdeal.audit import state
from burdockdeal.configuration import messages as configuration
from burdockdeal.core import codec

#: Number of segments in the store; a new one overwrites the oldest.
SEGMENT_COUNT = 64
#: Maximum size of a segment in bytes.
MAX_SEGMENT_BYTES = 250_000
#: Maximum number of records that a daemon holds until they are written.
MAX_PENDING_RECORDS = 2000

_MAX_DETAIL_CHARS = 300
_MAX_RESOURCE_CHARS = 140
_MIN_DELAY_S = 1.0
_MAX_DELAY_S = 30.0
_CURSOR = re.compile(r"^(\d+|-)\.(\d+|-)\.(\d+|-)$")


def truncate_record(record: messages.Record) -> messages.Record:
    """Truncate the fields of a record whose content comes from outside."""
    return dataclasses.replace(
        record,
        resource=record.resource[:_MAX_RESOURCE_CHARS],
        detail=record.detail[:_MAX_DETAIL_CHARS],
    )


def add_record(
    pending: state.PendingRecords,
    record: messages.Record,
    *,
    limit: int = MAX_PENDING_RECORDS,
) -> state.PendingRecords:
    """Add a record; beyond the limit the oldest is dropped and counted."""
    records = (*pending.records, truncate_record(record))
    excess = max(0, len(records) - limit)
    return state.PendingRecords(
        records[excess:], pending.dropped_count + excess
    )


def remove_written(
    pending: state.PendingRecords, written: state.PendingRecords
) -> state.PendingRecords:
    """Remove the records that were written to the store."""
    done = set(written.records)
    remaining = tuple(r for r in pending.records if r not in done)
    return state.PendingRecords(
        remaining, pending.dropped_count - written.dropped_count
    )


def fill_segment(
    segment: messages.Segment,
    batch: state.PendingRecords,
    *,
    limit_bytes: int = MAX_SEGMENT_BYTES,
) -> tuple[messages.Segment, state.PendingRecords]:
    """Add as many records of a batch to a segment as fit.

    Records that the segment already holds, because the response to an
    earlier write was lost, are not added again.

    :param limit_bytes: maximum size of the segment in bytes.
    :returns: the segment, and the part of the batch that it holds, which is
        empty if the segment is full.
    """
    present = {_identify(record) for record in segment.records}
    size = len(codec.encode(segment))
    added: list[messages.Record] = []
    covered = 0
    for record in batch.records:
        if _identify(record) not in present:
            size += len(codec.encode(record)) + 1
            if size > limit_bytes:
                break
            added.append(record)
        covered += 1
    if batch.records and not covered:
        return segment, state.PendingRecords()
    filled = dataclasses.replace(
        segment,
        records=(*segment.records, *added),
        lost=segment.lost + batch.dropped_count,
    )
    return filled, state.PendingRecords(
        batch.records[:covered], batch.dropped_count
    )


def _identify(record: messages.Record) -> tuple[str, str]:
    return record.change_id, record.outcome


def build_segment_key(sequence: int) -> str:
    """Build the store key of a segment.

    Segments whose sequence numbers differ by SEGMENT_COUNT share a key.
    """
    return f"{messages.SEGMENT_PREFIX}{sequence % SEGMENT_COUNT:04d}"


def choose_flush_delay(delay_s: float, idle_s: float) -> float:
    """Choose for how long to batch records before the next write.

    The delay doubles while records keep coming, so that a flood of refusals
    causes at most two writes a minute from each daemon.

    :param delay_s: the previous delay in seconds.
    :param idle_s: seconds since the last write.
    """
    if idle_s > _MAX_DELAY_S:
        return _MIN_DELAY_S
    return min(_MAX_DELAY_S, max(_MIN_DELAY_S, delay_s * 2))


def build_accepted_record(change: configuration.Change) -> messages.Record:
    """Build the record of an accepted change."""
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


def matches(query: state.Query, record: messages.Record) -> bool:
    """Return whether a record matches the filter of a query."""
    pairs = (
        (query.operator, record.operator),
        (query.resource, record.resource),
        (query.outcome, record.outcome),
        (query.change_id, record.change_id),
    )
    return all(not wanted or wanted == actual for wanted, actual in pairs)


def format_cursor(cursor: state.Cursor) -> str:
    """Format a cursor as text."""
    parts = (cursor.revision, cursor.sequence, cursor.index)
    return ".".join("-" if part is None else str(part) for part in parts)


def parse_cursor(text: str) -> state.Cursor | None:
    """Parse a cursor.

    :returns: the cursor, None if the text is not one; an empty text is the
        cursor of the newest page.
    """
    if not text:
        return state.Cursor()
    match = _CURSOR.match(text)
    if match is None:
        return None
    return state.Cursor(
        *(None if part == "-" else int(part) for part in match.groups())
    )


def merge_page(
    query: state.Query,
    accepted: abc.Sequence[state.LocatedRecord],
    others: abc.Sequence[state.LocatedRecord],
    *,
    more_accepted: bool,
    more_others: bool,
) -> tuple[tuple[messages.Record, ...], state.Cursor, bool]:
    """Merge accepted changes and other records into one page, by time.

    :param accepted: records of accepted changes, the newest first.
    :param others: the other records, the newest first.
    :param more_accepted: whether there are accepted changes that are older
        than those given.
    :param more_others: whether there are other records that are older than
        those given.
    :returns: the records that match the query, the oldest first; the cursor
        of the next page; and whether there is a next page.
    """
    queues = [list(reversed(accepted)), list(reversed(others))]
    more = [more_accepted, more_others]
    cursor = query.cursor
    records: list[messages.Record] = []
    while len(records) < query.limit:
        # A queue that ran empty may continue with records that are newer
        # than the next one of the other queue.
        if any(not q and m for q, m in zip(queues, more, strict=True)):
            break
        nonempty = [queue for queue in queues if queue]
        if not nonempty:
            break
        newest = max(nonempty, key=lambda queue: queue[-1].record.at_ms).pop()
        cursor = _advance(cursor, newest.cursor)
        if matches(query, newest.record):
            records.append(newest.record)
    has_next_page = any(queues) or any(more)
    return tuple(reversed(records)), cursor, has_next_page


def _advance(cursor: state.Cursor, passed: state.Cursor) -> state.Cursor:
    if passed.revision is not None:
        return dataclasses.replace(cursor, revision=passed.revision)
    return dataclasses.replace(
        cursor, sequence=passed.sequence, index=passed.index
    )
