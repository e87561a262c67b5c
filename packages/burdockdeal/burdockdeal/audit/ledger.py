"""The ledger: records kept in the store, within its limits.

Accepted changes are the change log itself. The others are gathered and
written to segments, a ring of keys that is written over from the oldest.
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

_TRIES = 5
_SCAN_CHANGES = 1000
_SCAN_SEGMENTS = 4


class Ledger(mode.Service):
    """Gathers records, writes them to the store and reads them back.

    :param written: the lane that records are written in.
    :param asked: the lane for what an operator asks to read.
    :param log: the change log in the store.
    :param in_force: the latest changes, for when the store is away.
    :param clock: returns monotonic seconds.
    """

    def __init__(
        self,
        written: store.StoreClient,
        asked: store.StoreClient,
        log: repository.Repository,
        in_force: active_configuration.ActiveConfiguration,
        *,
        clock: abc.Callable[[], float],
    ) -> None:
        super().__init__()
        self._store = written
        self._asked = asked
        self._log = log
        self._standing = in_force
        self._clock = clock
        self._pending = state.Pending()
        self._due = asyncio.Event()
        self._writing = asyncio.Lock()
        self._sequence = 0
        #: Records dropped since the start.
        self.lost = 0

    @property
    def waiting(self) -> int:
        """Records that are not in the store yet."""
        return len(self._pending.records)

    def note(self, record: messages.Record) -> None:
        """Take in a record; it is written a little later."""
        before = self._pending.lost
        self._pending = decisions.add(self._pending, record)
        self.lost += self._pending.lost - before
        self._due.set()

    @mode.Service.task
    async def _flush_forever(self) -> None:
        pause_s, flushed_at = 0.0, -1e9
        while not self.should_stop:
            await self._due.wait()
            quiet_s = self._clock() - flushed_at
            pause_s = decisions.choose_pause(pause_s, quiet_s)
            await self.sleep(pause_s)
            try:
                await self.flush()
            except errors.PlatformError as error:
                event_log.warn(
                    "audit_unwritten", waiting=self.waiting, error=error
                )
            flushed_at = self._clock()

    async def on_stop(self) -> None:
        """Write what is left."""
        try:
            await self.flush()
        except errors.PlatformError as error:
            event_log.warn("audit_lost", records=self.waiting, error=error)

    async def flush(self) -> None:
        """Write what waits.

        :raises PlatformError: if some of it still waits.
        """
        async with self._writing:
            tries = 0
            while self._pending.records:
                try:
                    await self._write()
                except errors.StoreConflictError:
                    tries += 1
                    if tries >= _TRIES:
                        raise
            self._due.clear()

    async def _write(self) -> None:
        batch = self._pending
        segment, version = await self._read(self._sequence)
        filled, written = decisions.fill(segment, batch)
        if written.records:
            await self._store.put(
                decisions.segment_key(filled.sequence),
                codec.encode(filled).decode(),
                version=version,
            )
            self._pending = decisions.drop_written(self._pending, written)
            return
        await self._move_on(segment.sequence + 1)

    async def _move_on(self, sequence: int) -> None:
        """Go on in a further segment, the newest that there is."""
        head, version = await self._read_head()
        if head >= sequence:
            self._sequence = head
            return
        await self._store.put(
            messages.HEAD_KEY,
            codec.encode(messages.Head(sequence)).decode(),
            version=version,
        )
        self._sequence = sequence

    async def _read_head(
        self, lane: store.StoreClient | None = None
    ) -> tuple[int, int]:
        entry = await (lane or self._store).get(messages.HEAD_KEY)
        if entry is None:
            return 0, 0
        return _decode(entry, messages.Head).sequence, entry.version

    async def _read(self, sequence: int) -> tuple[messages.Segment, int]:
        """Read the segment to write to, the given one or a later one."""
        entry = await self._store.get(decisions.segment_key(sequence))
        if entry is None:
            return messages.Segment(sequence), 0
        segment = _decode(entry, messages.Segment)
        if segment.sequence > sequence:
            self._sequence, _ = await self._read_head()
            raise errors.StoreConflictError(entry.key, entry.version)
        if segment.sequence < sequence:
            return messages.Segment(sequence), entry.version
        return segment, entry.version

    async def _read_old(self, sequence: int) -> messages.Segment:
        """Read a segment; empty if it has been written over."""
        entry = await self._asked.get(decisions.segment_key(sequence))
        if entry is not None:
            segment = _decode(entry, messages.Segment)
            if segment.sequence == sequence:
                return segment
        return messages.Segment(sequence)

    async def _try_flush(self) -> bool:
        try:
            await self.flush()
        except errors.PlatformError as error:
            event_log.debug("audit_unwritten", error=error)
        return not self.waiting

    async def read(self, query: state.Query) -> messages.Trail:
        """Read a page of the trail."""
        complete = await self._try_flush()
        try:
            accepted, more_accepted = await self._read_accepted(query.cursor)
            others, more_others = await self._read_others(query.cursor)
        except errors.PlatformError as error:
            event_log.warn("audit_incomplete", error=error)
            return self._read_held(query)
        records, cursor, more = decisions.merge(
            query,
            accepted,
            others,
            more_accepted=more_accepted,
            more_others=more_others,
        )
        older = decisions.format_cursor(cursor) if more else ""
        return messages.Trail(records, complete, older, self.lost)

    def _read_held(self, query: state.Query) -> messages.Trail:
        held = [*map(decisions.describe, self._standing.recent_changes)]
        held += self._pending.records
        held.sort(key=lambda record: record.at_ms)
        fitting = [r for r in held if decisions.fits(query, r)]
        records = tuple(fitting[-query.limit :])
        return messages.Trail(records, False, "", self.lost)

    async def _read_accepted(
        self, cursor: state.Cursor
    ) -> tuple[list[state.Found], bool]:
        end = self._standing.revision + 1
        if cursor.revision is not None:
            end = min(end, cursor.revision)
        first = max(1, end - _SCAN_CHANGES)
        changes = await self._log.read_range(first, end)
        found = [_find(change) for change in reversed(changes)]
        complete = bool(changes) and changes[0].revision == first
        return found, complete and first > 1

    async def _read_others(
        self, cursor: state.Cursor
    ) -> tuple[list[state.Found], bool]:
        newest, _ = await self._read_head(self._asked)
        sequence = newest if cursor.sequence is None else cursor.sequence
        index = cursor.index
        oldest = max(0, newest - decisions.SEGMENTS + 1)
        found: list[state.Found] = []
        for _ in range(_SCAN_SEGMENTS):
            if sequence < oldest:
                break
            found += _list(await self._read_old(sequence), index)
            sequence, index = sequence - 1, None
        return found, sequence >= oldest


def _decode(entry: platform.Entry, kind: type[codec.T]) -> codec.T:
    try:
        return codec.decode(entry.value, kind)
    except codec.MalformedError as error:
        detail = f"{entry.key}: {error}"
        raise errors.StoreUncertainError(detail) from error


def _find(change: configuration.Change) -> state.Found:
    return state.Found(
        decisions.describe(change), state.Cursor(revision=change.revision)
    )


def _list(segment: messages.Segment, index: int | None) -> list[state.Found]:
    records = segment.records[:index]
    return [
        state.Found(
            records[position],
            state.Cursor(sequence=segment.sequence, index=position),
        )
        for position in reversed(range(len(records)))
    ]
