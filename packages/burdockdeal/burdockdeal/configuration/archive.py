"""The change log and the snapshots in the store."""

import asyncio
from collections import abc
import dataclasses

from burdockdeal.configuration import log
from burdockdeal.configuration import messages
from burdockdeal.configuration import snapshots
from burdockdeal.configuration import standing
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.platform import messages as platform
from burdockdeal.platform import store

_FIRST_PAGE = 8
_MOST_PER_PAGE = 512
_PAGE_GROWTH = 4
_SNAPSHOT_TRIES = 3
_SWEEP_PAGE = 8


class SnapshotGoneError(errors.PlatformError):
    """A newer snapshot took the place of the one that was being read."""


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """What stands in a slot of the log.

    :param version: to be swapped, 0 if the slot was never written.
    """

    change: messages.Change | None
    version: int


def read_change(entry: platform.Entry) -> messages.Change:
    """Read a change from its entry.

    :raises StoreUncertainError: if it holds something else.
    """
    try:
        return codec.decode(entry.value, messages.Change)
    except codec.MalformedError as error:
        detail = f"{entry.key}: {error}"
        raise errors.StoreUncertainError(detail) from error


class Archive:
    """Reads and writes the configuration in the store.

    :param platform: the lane that its calls go out in.
    :param in_force: takes in what was read.
    :param new_id: makes the ids of snapshots.
    :param ring: changes that the log keeps.
    """

    def __init__(
        self,
        platform: store.StoreClient,
        in_force: standing.Standing,
        new_id: abc.Callable[[], str],
        *,
        ring: int = log.RING,
    ) -> None:
        self._store = platform
        self._standing = in_force
        self._new_id = new_id
        self._ring = ring
        #: The revision of a snapshot known to stand in the store.
        self.snapshot = 0

    async def catch_up(self) -> None:
        """Take in what the store holds beyond the revision in force.

        :raises PlatformError: if the store did not answer.
        """
        if not self._standing.revision:
            await self.load_snapshot()
        limit = _FIRST_PAGE
        while True:
            revision = self._standing.revision
            listing = await self._store.list(
                messages.LOG_PREFIX,
                after=log.key_before(revision + 1, self._ring),
                limit=limit,
            )
            changes = tuple(map(read_change, listing.entries))
            if log.is_lapped(changes, revision, self._ring):
                if not await self.load_snapshot():
                    return
                continue
            taken = self._standing.take(changes)
            at_end = log.slot_of(self._standing.revision + 1, self._ring) == 0
            if not taken or (len(taken) < limit and not at_end):
                return
            limit = min(limit * _PAGE_GROWTH, _MOST_PER_PAGE)

    async def read_slot(self, revision: int) -> Slot:
        """Read the slot of a revision, whatever revision it holds."""
        entry = await self._store.get(log.log_key(revision, self._ring))
        if entry is None:
            return Slot(None, 0)
        return Slot(read_change(entry), entry.version)

    async def write_slot(self, change: messages.Change, version: int) -> None:
        """Write a change into its slot.

        :param version: what stands in the slot.
        :raises StoreConflictError: if something else stands there.
        :raises StoreUncertainError: if it may have taken effect.
        """
        if not log.may_write(change.revision, self.snapshot, self._ring):
            await self._make_room(change.revision)
        await self._store.put(
            log.log_key(change.revision, self._ring),
            codec.encode(change).decode(),
            version=version,
        )

    async def watch(self, after: int, wait_s: float) -> platform.Listing:
        """Wait for entries that are newer than a version."""
        return await self._store.watch(
            messages.LOG_PREFIX, after=after, wait_s=wait_s
        )

    async def read_range(
        self, first: int, end: int
    ) -> tuple[messages.Change, ...]:
        """Read the changes of a range that the log still holds.

        :param first: the first revision.
        :param end: the revision before which the range ends.
        """
        found: list[messages.Change] = []
        revision = first
        while revision < end:
            room = self._ring - log.slot_of(revision, self._ring)
            limit = min(end - revision, room, _MOST_PER_PAGE)
            listing = await self._store.list(
                messages.LOG_PREFIX,
                after=log.key_before(revision, self._ring),
                limit=limit,
            )
            found += map(read_change, listing.entries)
            revision += limit
        return tuple(
            sorted(
                (change for change in found if first <= change.revision < end),
                key=lambda change: change.revision,
            )
        )

    async def load_snapshot(self) -> bool:
        """Read the snapshot that stands and take it in.

        :returns: whether it was newer than what is in force.
        :raises PlatformError: if it could not be read.
        """
        for _ in range(_SNAPSHOT_TRIES):
            manifest, _ = await self._read_manifest()
            if manifest is None:
                return False
            if manifest.revision <= self._standing.revision:
                return False
            try:
                parts = await self._read_parts(manifest)
                return self._standing.take_snapshot(snapshots.join(parts))
            except (SnapshotGoneError, codec.MalformedError) as error:
                event_log.warn("snapshot_unreadable", error=error)
        raise SnapshotGoneError("the snapshot could not be read")

    async def compact(self) -> bool:
        """Write a snapshot of what is in force, unless one as new stands.

        Safe if daemons race: each writes parts of its own, and one swaps
        the manifest.

        :returns: whether this daemon's stands now.
        """
        configuration = self._standing.configuration
        stands, version = await self._read_manifest()
        if not snapshots.may_replace(stands, configuration.revision):
            return False
        folder = snapshots.name_folder(configuration.revision, self._new_id())
        parts = snapshots.split(configuration)
        for part in parts:
            await self._store.put(
                snapshots.part_key(folder, part.position),
                codec.encode(part).decode(),
                version=0,
            )
        manifest = messages.Manifest(
            configuration.revision, folder, len(parts)
        )
        won = await self._swap_manifest(manifest, version)
        event_log.record(
            "snapshot_written" if won else "snapshot_superseded",
            revision=manifest.revision,
            parts=manifest.parts,
        )
        await self._sweep()
        return won

    async def _make_room(self, revision: int) -> None:
        await self._read_manifest()
        if not log.may_write(revision, self.snapshot, self._ring):
            await self.compact()
        if not log.may_write(revision, self.snapshot, self._ring):
            raise errors.StoreUnavailableError("the log has no room")

    async def _read_manifest(self) -> tuple[messages.Manifest | None, int]:
        entry = await self._store.get(messages.MANIFEST_KEY)
        if entry is None:
            return None, 0
        try:
            manifest = codec.decode(entry.value, messages.Manifest)
        except codec.MalformedError as error:
            raise errors.StoreUncertainError(str(error)) from error
        self.snapshot = max(self.snapshot, manifest.revision)
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
                raise SnapshotGoneError(manifest.snapshot)
            parts.append(codec.decode(entry.value, messages.Part))
            await asyncio.sleep(0)
        return tuple(parts)

    async def _swap_manifest(
        self, manifest: messages.Manifest, version: int
    ) -> bool:
        try:
            await self._store.put(
                messages.MANIFEST_KEY,
                codec.encode(manifest).decode(),
                version=version,
            )
        except (errors.StoreConflictError, errors.StoreUncertainError):
            stands, _ = await self._read_manifest()
            return stands == manifest
        self.snapshot = max(self.snapshot, manifest.revision)
        return True

    async def _sweep(self) -> None:
        """Delete the parts of snapshots that can no longer stand."""
        manifest, _ = await self._read_manifest()
        after = ""
        while manifest is not None:
            listing = await self._store.list(
                messages.SNAPSHOT_PREFIX, after=after, limit=_SWEEP_PAGE
            )
            for entry in listing.entries:
                if snapshots.is_left_over(entry.key, manifest):
                    await self._delete(entry)
            if len(listing.entries) < _SWEEP_PAGE:
                return
            after = listing.entries[-1].key

    async def _delete(self, entry: platform.Entry) -> None:
        try:
            await self._store.delete(entry.key, version=entry.version)
        except errors.StoreConflictError:
            event_log.debug("part_gone", key=entry.key)
