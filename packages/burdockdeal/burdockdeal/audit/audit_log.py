"""The audit log: batches records, writes them to the store, reads them.

Accepted changes are read from the change log of the configuration. The other
records are batched and written to segments, a ring of store keys in which
the newest segment overwrites the oldest.
"""

import asyncio
from collections import abc

import mode

from burdockdeal.audit import decisions
from burdockdeal.audit import messages
from burdockdeal.audit import state
from burdockdeal.configuration import active_configuration
from burdockdeal.configuration import messages as configuration
from burdockdeal.configuration import repository
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.platform import messages as platform
from burdockdeal.platform import store

_MAX_CONFLICTS = 5
#: Maximum number of accepted changes, and of segments, that are read from
#: the store for one page.
_CHANGES_PER_PAGE = 1000
_SEGMENTS_PER_PAGE = 4


class AuditLog(mode.Service):
    """Batches records, writes them to the store and reads them back.

    :param write_store: client of the store for writes, with its own budget.
    :param read_store: client of the store for operators' queries.
    :param changes: the change log in the store.
    :param active: the active configuration, whose recent changes are used
        when the store is unavailable.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        write_store: store.StoreClient,
        read_store: store.StoreClient,
        changes: repository.Repository,
        active: active_configuration.ActiveConfiguration,
        *,
        clock: abc.Callable[[], float],
    ) -> None:
        super().__init__()
        self._write_store = write_store
        self._read_store = read_store
        self._changes = changes
        self._active = active
        self._clock = clock
        self._pending = state.PendingRecords()
        self._has_pending = asyncio.Event()
        self._flush_lock = asyncio.Lock()
        self._sequence = 0
        write_store.on_new_era(self._restart_sequence)
        #: Number of records dropped since the start.
        self.dropped_count = 0

    def _restart_sequence(self, era: int) -> None:
        """Look for the newest segment again: a restored store's is older."""
        self._sequence = 0

    @property
    def pending_count(self) -> int:
        """Number of records that are not in the store yet."""
        return len(self._pending.records)

    def record(self, record: messages.Record) -> None:
        """Add a record to the batch that is written next."""
        before = self._pending.dropped_count
        self._pending = decisions.add_record(self._pending, record)
        self.dropped_count += self._pending.dropped_count - before
        self._has_pending.set()

    @mode.Service.task
    async def _flush_forever(self) -> None:
        delay_s, flushed_at = 0.0, -1e9
        while not self.should_stop:
            await self._has_pending.wait()
            idle_s = self._clock() - flushed_at
            delay_s = decisions.choose_flush_delay(delay_s, idle_s)
            await self.sleep(delay_s)
            try:
                await self.flush()
            except errors.PlatformError as error:
                event_log.warn(
                    "audit_write_failed",
                    pending=self.pending_count,
                    error=error,
                )
            flushed_at = self._clock()

    async def on_stop(self) -> None:
        """Write the pending records before the daemon stops."""
        try:
            await self.flush()
        except errors.PlatformError as error:
            event_log.warn(
                "audit_records_lost", records=self.pending_count, error=error
            )

    async def flush(self) -> None:
        """Write all pending records.

        :raises PlatformError: if some records are still pending.
        """
        async with self._flush_lock:
            conflicts = 0
            while self._pending.records:
                try:
                    await self._write_batch()
                except errors.StoreConflictError:
                    conflicts += 1
                    if conflicts >= _MAX_CONFLICTS:
                        raise
            self._has_pending.clear()

    async def _write_batch(self) -> None:
        batch = self._pending
        segment, version = await self._read_for_write(self._sequence)
        filled, written = decisions.fill_segment(segment, batch)
        if written.records:
            await self._write_store.put(
                decisions.build_segment_key(filled.sequence),
                codec.encode(filled).decode(),
                version=version,
            )
            self._pending = decisions.remove_written(self._pending, written)
            return
        await self._advance_segment(segment.sequence + 1)

    async def _advance_segment(self, sequence: int) -> None:
        """Switch to the newest segment, creating the given one if needed."""
        newest, version = await self._read_head()
        if newest >= sequence:
            self._sequence = newest
            return
        await self._write_store.put(
            messages.HEAD_KEY,
            codec.encode(messages.Head(sequence)).decode(),
            version=version,
        )
        self._sequence = sequence

    async def _read_head(
        self, client: store.StoreClient | None = None
    ) -> tuple[int, platform.Version]:
        entry = await (client or self._write_store).get(messages.HEAD_KEY)
        if entry is None:
            return 0, self._write_store.absent_version
        return _decode(entry, messages.Head).sequence, entry.version

    async def _read_for_write(
        self, sequence: int
    ) -> tuple[messages.Segment, platform.Version]:
        """Read the segment to write to.

        :returns: the segment and the version of its store key.
        :raises StoreConflictError: if a newer segment has overwritten it; the
            next attempt uses the newest segment.
        """
        entry = await self._write_store.get(
            decisions.build_segment_key(sequence)
        )
        if entry is None:
            return messages.Segment(sequence), self._write_store.absent_version
        segment = _decode(entry, messages.Segment)
        if segment.sequence > sequence:
            self._sequence, _ = await self._read_head()
            raise errors.StoreConflictError(entry.key, entry.version)
        if segment.sequence < sequence:
            return messages.Segment(sequence), entry.version
        return segment, entry.version

    async def _read_segment(self, sequence: int) -> messages.Segment:
        """Read a segment; it is empty if it has been overwritten."""
        entry = await self._read_store.get(
            decisions.build_segment_key(sequence)
        )
        if entry is not None:
            segment = _decode(entry, messages.Segment)
            if segment.sequence == sequence:
                return segment
        return messages.Segment(sequence)

    async def _try_flush(self) -> bool:
        try:
            await self.flush()
        except errors.PlatformError as error:
            event_log.debug("audit_write_failed", error=error)
        return not self.pending_count

    async def read_page(self, query: state.Query) -> messages.Trail:
        """Read a page of the audit trail.

        If the store can't be read, the page holds only the records in this
        daemon's memory.
        """
        complete = await self._try_flush()
        try:
            accepted, more_accepted = await self._read_accepted(query.cursor)
            others, more_others = await self._read_others(query.cursor)
        except errors.PlatformError as error:
            event_log.warn("audit_read_failed", error=error)
            return self._read_memory(query)
        records, cursor, has_next_page = decisions.merge_page(
            query,
            accepted,
            others,
            more_accepted=more_accepted,
            more_others=more_others,
        )
        older = decisions.format_cursor(cursor) if has_next_page else ""
        return messages.Trail(records, complete, older, self.dropped_count)

    def _read_memory(self, query: state.Query) -> messages.Trail:
        records = [
            *map(decisions.build_accepted_record, self._active.recent_changes)
        ]
        records += self._pending.records
        records.sort(key=lambda record: record.at_ms)
        matching = [r for r in records if decisions.matches(query, r)]
        page = tuple(matching[-query.limit :])
        return messages.Trail(page, False, "", self.dropped_count)

    async def _read_accepted(
        self, cursor: state.Cursor
    ) -> tuple[list[state.LocatedRecord], bool]:
        end = self._active.revision + 1
        if cursor.revision is not None:
            end = min(end, cursor.revision)
        first = max(1, end - _CHANGES_PER_PAGE)
        changes = await self._changes.read_range(first, end)
        located = [_locate_change(change) for change in reversed(changes)]
        complete = bool(changes) and changes[0].revision == first
        return located, complete and first > 1

    async def _read_others(
        self, cursor: state.Cursor
    ) -> tuple[list[state.LocatedRecord], bool]:
        newest, _ = await self._read_head(self._read_store)
        sequence = newest if cursor.sequence is None else cursor.sequence
        index = cursor.index
        oldest = max(0, newest - decisions.SEGMENT_COUNT + 1)
        located: list[state.LocatedRecord] = []
        for _ in range(_SEGMENTS_PER_PAGE):
            if sequence < oldest:
                break
            located += _list_segment(await self._read_segment(sequence), index)
            sequence, index = sequence - 1, None
        return located, sequence >= oldest


def _decode(entry: platform.Entry, kind: type[codec.T]) -> codec.T:
    try:
        return codec.decode(entry.value, kind)
    except codec.MalformedError as error:
        detail = f"{entry.key}: {error}"
        raise errors.StoreUncertainError(detail) from error


def _locate_change(change: configuration.Change) -> state.LocatedRecord:
    return state.LocatedRecord(
        decisions.build_accepted_record(change),
        state.Cursor(revision=change.revision),
    )


def _list_segment(
    segment: messages.Segment, index: int | None
) -> list[state.LocatedRecord]:
    records = segment.records[:index]
    return [
        state.LocatedRecord(
            records[position],
            state.Cursor(sequence=segment.sequence, index=position),
        )
        for position in reversed(range(len(records)))
    ]
