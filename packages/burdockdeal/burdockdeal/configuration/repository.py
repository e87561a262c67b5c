"""Reading and writing the change log and the snapshots in the store."""

import asyncio
from collections import abc
import dataclasses

from burdockdeal.configuration import active_configuration
from burdockdeal.configuration import log
from burdockdeal.configuration import messages
from burdockdeal.configuration import snapshots
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.platform import messages as platform
from burdockdeal.platform import store

#: Entries of the first page when reading the log, and of the largest one.
_FIRST_PAGE_SIZE = 8
_MAX_PAGE_SIZE = 512
#: Factor by which each page is larger than the one before.
_PAGE_GROWTH = 4
_SNAPSHOT_READ_ATTEMPTS = 3
_SNAPSHOT_KEYS_PAGE_SIZE = 8


class SnapshotSupersededError(errors.PlatformError):
    """A newer snapshot replaced the one that was being read."""


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """The content of a slot of the log.

    :param change: the change, None if the slot was never written.
    :param version: the store's version of the slot, for compare-and-swap.
    """

    change: messages.Change | None
    version: platform.Version


def read_change(entry: platform.Entry) -> messages.Change:
    """Decode a change from its entry in the store.

    :raises StoreUncertainError: if the entry does not hold a change.
    """
    try:
        return codec.decode(entry.value, messages.Change)
    except codec.MalformedError as error:
        detail = f"{entry.key}: {error}"
        raise errors.StoreUncertainError(detail) from error


class Repository:
    """Reads and writes the change log and the snapshots in the store.

    :param platform: the client for the store, with its own call budget.
    :param active: the active configuration, to which reads are applied.
    :param new_id: makes the ids of snapshots.
    :param ring_size: the number of slots, and so of changes that the log
        keeps.
    """

    def __init__(
        self,
        platform: store.StoreClient,
        active: active_configuration.ActiveConfiguration,
        new_id: abc.Callable[[], str],
        *,
        ring_size: int = log.RING_SIZE,
    ) -> None:
        self._store = platform
        self._active = active
        self._new_id = new_id
        self._ring_size = ring_size
        #: The revision of the newest snapshot known to be in the store.
        self.snapshot_revision = 0
        #: Whether the store was restored from an old copy, and the log has
        #: not been compared with the retained changes since.
        self.is_restored = False
        platform.on_new_era(self._expect_loss)

    def _expect_loss(self, era: int) -> None:
        """Read anew what a store that was restored may have lost."""
        self.snapshot_revision = 0
        self.is_restored = True

    async def catch_up(self) -> None:
        """Apply all that the store holds beyond the active revision.

        Loads the snapshot first if nothing is active yet, and also if the
        log no longer holds the next revision.

        :raises PlatformError: if the store did not answer, or what it holds
            can't be read.
        """
        if not self._active.revision:
            await self.load_snapshot()
        limit = _FIRST_PAGE_SIZE
        while True:
            revision = self._active.revision
            listing = await self._store.list(
                messages.LOG_PREFIX,
                after=log.preceding_key(revision + 1, self._ring_size),
                limit=limit,
            )
            changes = tuple(map(read_change, listing.entries))
            if log.is_overwritten(changes, revision, self._ring_size):
                if not await self.load_snapshot():
                    return
                continue
            applied = self._active.apply(changes)
            at_end = (
                log.slot_index(self._active.revision + 1, self._ring_size) == 0
            )
            if not applied or (len(applied) < limit and not at_end):
                return
            limit = min(limit * _PAGE_GROWTH, _MAX_PAGE_SIZE)

    async def read_slot(self, revision: int) -> Slot:
        """Read the slot of a revision, whichever revision it holds now."""
        entry = await self._store.get(log.log_key(revision, self._ring_size))
        if entry is None:
            return Slot(None, self._store.absent_version)
        return Slot(read_change(entry), entry.version)

    async def write_slot(
        self, change: messages.Change, version: platform.Version
    ) -> None:
        """Write a change to the slot of its revision.

        If the change that would be overwritten is not covered by a known
        snapshot, a snapshot is written first.

        :param version: the slot's version that was read, for
            compare-and-swap.
        :raises StoreConflictError: if the slot has another version by now.
        :raises StoreUncertainError: if the write may have taken effect.
        :raises StoreUnavailableError: if the change that would be
            overwritten is still in no snapshot, or the log holds another
            change at a revision that is applied.
        """
        await self._check_previous(change.revision - 1)
        if not log.can_overwrite(
            change.revision, self.snapshot_revision, self._ring_size
        ):
            await self._ensure_overwritable(change.revision)
        await self._store.put(
            log.log_key(change.revision, self._ring_size),
            codec.encode(change).decode(),
            version=version,
        )

    async def rewrite_lost(self) -> None:
        """Write the retained changes again that a restored store has lost.

        Each write is conditional on the slot that was read, so that several
        daemons may do so at once.

        :raises StoreUnavailableError: if the log holds another change at a
            revision that is applied; nothing is written then.
        """
        if not self.is_restored:
            return
        era = self._store.era
        await self._rewrite_lost()
        # The store may have been restored again meanwhile.
        self.is_restored = self._store.era != era

    async def _check_previous(self, revision: int) -> None:
        """Ensure that the next write follows the change that is applied.

        After a restore this daemon may also have received a change from a
        peer that the store has lost.
        """
        await self.rewrite_lost()
        applied = self._active.find_change(revision)
        if self._store.era and applied is not None:
            slot = await self.read_slot(revision)
            outcome = log.classify_slot(
                revision, applied.change_id, slot.change
            )
            if outcome is not log.WriteOutcome.COMMITTED:
                await self._rewrite_lost()

    async def _rewrite_lost(self) -> None:
        retained = self._active.recent_changes
        if not retained:
            return
        stored = await self.read_range(
            retained[0].revision, retained[-1].revision + 1
        )
        if log.find_replaced(retained, stored):
            self._active.apply(stored)
            raise errors.StoreUnavailableError(
                "the log holds other changes than this daemon applies"
            )
        held = {change.revision for change in stored}
        written = 0
        for change in retained:
            if change.revision not in held:
                written += await self._rewrite(change)
        event_log.record(
            "records_rewritten", kind="changes", revisions=written
        )

    async def _rewrite(self, change: messages.Change) -> bool:
        slot = await self.read_slot(change.revision)
        outcome = log.classify_slot(
            change.revision, change.change_id, slot.change
        )
        if outcome is not log.WriteOutcome.UNWRITTEN:
            # Another daemon was faster, or a later lap covers the change.
            return False
        await self._store.put(
            log.log_key(change.revision, self._ring_size),
            codec.encode(change).decode(),
            version=slot.version,
        )
        return True

    async def watch(
        self, after: platform.Version, wait_s: float
    ) -> platform.Listing:
        """Wait for log entries newer than a version.

        :param after: the store's version of the newest known entry.
        :param wait_s: seconds after which the store answers without entries.
        """
        return await self._store.watch(
            messages.LOG_PREFIX, after=after, wait_s=wait_s
        )

    async def read_range(
        self, first: int, end: int
    ) -> tuple[messages.Change, ...]:
        """Read those changes of a range that the log still holds.

        :param first: the first revision, inclusive.
        :param end: the revision at which the range ends, exclusive.
        :returns: the changes, in the order of their revisions.
        """
        changes_read: list[messages.Change] = []
        revision = first
        while revision < end:
            slots_to_end = self._ring_size - log.slot_index(
                revision, self._ring_size
            )
            limit = min(end - revision, slots_to_end, _MAX_PAGE_SIZE)
            listing = await self._store.list(
                messages.LOG_PREFIX,
                after=log.preceding_key(revision, self._ring_size),
                limit=limit,
            )
            changes_read += map(read_change, listing.entries)
            revision += limit
        return tuple(
            sorted(
                (
                    change
                    for change in changes_read
                    if first <= change.revision < end
                ),
                key=lambda change: change.revision,
            )
        )

    async def load_snapshot(self) -> bool:
        """Read the current snapshot and activate it if it is newer.

        Retries if the snapshot is replaced while its parts are being read.

        :returns: whether it was newer than the active configuration.
        :raises PlatformError: if it could not be read.
        """
        for _ in range(_SNAPSHOT_READ_ATTEMPTS):
            manifest, _ = await self._read_manifest()
            if manifest is None:
                return False
            if manifest.revision <= self._active.revision:
                return False
            try:
                parts = await self._read_parts(manifest)
                return self._active.apply_snapshot(snapshots.join(parts))
            except (SnapshotSupersededError, codec.MalformedError) as error:
                event_log.warn("snapshot_unreadable", error=error)
        raise SnapshotSupersededError("the snapshot could not be read")

    async def compact(self) -> bool:
        """Write a snapshot of the active configuration if it is newer.

        Safe if several daemons do so at once: each writes parts in a folder
        of its own, and only one succeeds in swapping the manifest.

        :returns: whether this daemon's snapshot is the current one now.
        :raises PlatformError: if the store did not answer.
        """
        configuration = self._active.configuration
        current, version = await self._read_manifest()
        if not snapshots.can_replace(current, configuration.revision):
            return False
        folder = snapshots.name_folder(configuration.revision, self._new_id())
        parts = snapshots.split(configuration)
        for part in parts:
            await self._store.put(
                snapshots.part_key(folder, part.position),
                codec.encode(part).decode(),
                version=self._store.absent_version,
            )
        manifest = messages.Manifest(
            configuration.revision, folder, len(parts)
        )
        is_current = await self._swap_manifest(manifest, version)
        event_log.record(
            "snapshot_written" if is_current else "snapshot_superseded",
            revision=manifest.revision,
            parts=manifest.parts,
        )
        await self._delete_obsolete_parts()
        return is_current

    async def _ensure_overwritable(self, revision: int) -> None:
        await self._read_manifest()
        if not log.can_overwrite(
            revision, self.snapshot_revision, self._ring_size
        ):
            await self.compact()
        if not log.can_overwrite(
            revision, self.snapshot_revision, self._ring_size
        ):
            raise errors.StoreUnavailableError("the log has no room")

    async def _read_manifest(
        self,
    ) -> tuple[messages.Manifest | None, platform.Version]:
        entry = await self._store.get(messages.MANIFEST_KEY)
        if entry is None:
            return None, self._store.absent_version
        try:
            manifest = codec.decode(entry.value, messages.Manifest)
        except codec.MalformedError as error:
            raise errors.StoreUncertainError(str(error)) from error
        self.snapshot_revision = max(self.snapshot_revision, manifest.revision)
        return manifest, entry.version

    async def _read_parts(
        self, manifest: messages.Manifest
    ) -> tuple[messages.Part, ...]:
        parts = []
        for position in range(manifest.parts):
            entry = await self._store.get(
                snapshots.part_key(manifest.snapshot, position)
            )
            if entry is None:
                raise SnapshotSupersededError(manifest.snapshot)
            parts.append(codec.decode(entry.value, messages.Part))
            await asyncio.sleep(0)
        return tuple(parts)

    async def _swap_manifest(
        self, manifest: messages.Manifest, version: platform.Version
    ) -> bool:
        try:
            await self._store.put(
                messages.MANIFEST_KEY,
                codec.encode(manifest).decode(),
                version=version,
            )
        except (errors.StoreConflictError, errors.StoreUncertainError):
            current, _ = await self._read_manifest()
            return current == manifest
        self.snapshot_revision = max(self.snapshot_revision, manifest.revision)
        return True

    async def _delete_obsolete_parts(self) -> None:
        """Delete the parts of snapshots that can no longer become current."""
        manifest, _ = await self._read_manifest()
        after = ""
        while manifest is not None:
            listing = await self._store.list(
                messages.SNAPSHOT_PREFIX,
                after=after,
                limit=_SNAPSHOT_KEYS_PAGE_SIZE,
            )
            for entry in listing.entries:
                if snapshots.is_obsolete(entry.key, manifest):
                    await self._delete(entry)
            if len(listing.entries) < _SNAPSHOT_KEYS_PAGE_SIZE:
                return
            after = listing.entries[-1].key

    async def _delete(self, entry: platform.Entry) -> None:
        try:
            await self._store.delete(entry.key, version=entry.version)
        except errors.StoreConflictError:
            event_log.debug("snapshot_part_already_deleted", key=entry.key)
