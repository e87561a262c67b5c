"""What the test double of the platform's store holds."""

import bisect
import collections
import dataclasses
import itertools
import time

from burdockdeal.platform import wire

#: Number of changes kept for watches.
MAX_HISTORY_EVENTS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease on keys.

    :param expires_at: monotonic time at which it expires, in seconds.
    :param ttl_s: time to live after each renewal, in seconds.
    """

    expires_at: float
    ttl_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """What a copy of the store holds; leases are not part of it."""

    items: dict[str, wire.Item] = dataclasses.field(default_factory=dict)
    revision: int = 0


class StoreData:
    """The keys, leases and change history of one store, and a copy of it.

    :ivar era: the value of the header Store-Era, None to send none.
    """

    def __init__(self) -> None:
        self.items: dict[str, wire.Item] = {}
        self.keys: list[str] = []
        self.leases: dict[int, Lease] = {}
        self.previous_items: dict[str, wire.Item] = {}
        self.history: collections.deque[wire.Item] = collections.deque(
            maxlen=MAX_HISTORY_EVENTS
        )
        #: The newest revision that the history no longer holds.
        self.compacted = 0
        self.revision = 0
        self.lease_ids = itertools.count(1)
        self.era: int | None = None
        self.copy = Copy()

    def take_copy(self) -> None:
        """Take a copy from which the store can be restored."""
        items = {
            key: item for key, item in self.items.items() if not item.lease
        }
        self.copy = Copy(items, self.revision)

    def restore(self) -> None:
        """Come back from the latest copy, in a new era.

        Later changes are lost, their revisions are issued again, and no
        lease is left, whose ids are issued again too.
        """
        self.items = dict(self.copy.items)
        self.keys = sorted(self.items)
        self.previous_items = {}
        self.revision = self.copy.revision
        self.leases = {}
        self.lease_ids = itertools.count(1)
        self.compact()
        self.era = (self.era or 0) + 1

    def has_history(self, revision: int) -> bool:
        """Return whether a watch after a revision misses no change."""
        return self.compacted <= revision <= self.revision

    def find_version(self, key: str) -> int:
        """Return the current version of a key, 0 if there is none."""
        item = self.items.get(key)
        return item.revision if item else 0

    def commit(self, change: wire.Transaction) -> int:
        """Apply all writes of a transaction at one new revision."""
        self.revision += 1
        for put in change.puts:
            self._put(put)
        for key in change.remove:
            if key in self.items:
                self._remove(key)
        return self.revision

    def compact(self) -> None:
        """Discard the change history."""
        self.history.clear()
        self.compacted = self.revision

    def list_changes(
        self, prefix: str, revision: int
    ) -> tuple[wire.Item, ...]:
        """List the changes after a revision to keys with a prefix."""
        return tuple(
            item
            for item in self.history
            if item.revision > revision and item.key.startswith(prefix)
        )

    def list_items(
        self, prefix: str, after: str, items: dict[str, wire.Item]
    ) -> list[wire.Item]:
        """List the items with a prefix whose keys sort after a key.

        :param items: the items to read, current or stale.
        """
        position = bisect.bisect_right(self.keys, after)
        position = max(position, bisect.bisect_left(self.keys, prefix))
        found = itertools.takewhile(
            lambda key: key.startswith(prefix), self.keys[position:]
        )
        return [items[key] for key in found if key in items]

    def expire_leases(self) -> None:
        """Remove the expired leases and the keys attached to them."""
        now = time.monotonic()
        expired = {
            lease_id
            for lease_id, lease in self.leases.items()
            if lease.expires_at < now
        }
        for lease_id in expired:
            del self.leases[lease_id]
        expired_keys = tuple(
            key for key, item in self.items.items() if item.lease in expired
        )
        if expired_keys:
            self.commit(wire.Transaction(remove=expired_keys))

    def _put(self, put: wire.Put) -> None:
        if put.key in self.items:
            self.previous_items[put.key] = self.items[put.key]
        else:
            bisect.insort(self.keys, put.key)
        item = wire.Item(put.key, put.value, self.revision, put.lease)
        self.items[put.key] = item
        self._append_history(item)

    def _remove(self, key: str) -> None:
        del self.items[key]
        self.previous_items.pop(key, None)
        self.keys.remove(key)
        self._append_history(
            wire.Item(key, revision=self.revision, tombstone=True)
        )

    def _append_history(self, item: wire.Item) -> None:
        if len(self.history) == self.history.maxlen:
            self.compacted = self.history[0].revision
        self.history.append(item)
