"""An in-memory store with the interface of the store's client.

A callback decides the outcome of each call, so that a test can inject a
fault into any single call without a server or real time.
"""

from collections import abc
import enum

from burdockdeal.core import errors
from burdockdeal.platform import messages


class CallOutcome(enum.StrEnum):
    """How a call to the store turns out.

    - GOOD: the call succeeds.
    - LOST: the call takes effect, but its response is lost.
    - TWICE: the call takes effect and is sent again by the client, so that
      the response is a conflict.
    - LATE: the write takes effect only when the test applies it.
    - STALE: the call reads the state before the last write.
    - DOWN: the store is unavailable.
    """

    GOOD = "GOOD"
    LOST = "LOST"
    TWICE = "TWICE"
    LATE = "LATE"
    STALE = "STALE"
    DOWN = "DOWN"


#: Decides the outcome of a call by its method and key.
DecideOutcome = abc.Callable[[str, str], CallOutcome]


class MemoryStore:
    """Holds entries, their versions and the writes still to be applied.

    :param decide: decides the outcome of each call.
    """

    def __init__(
        self, decide: DecideOutcome = lambda method, key: CallOutcome.GOOD
    ) -> None:
        self.decide = decide
        self.entries: dict[str, messages.Entry] = {}
        self.previous_entries: dict[str, messages.Entry] = {}
        self.version = messages.ABSENT
        self.late_writes: list[tuple[str, str, messages.Version]] = []
        self.calls: list[str] = []
        self._listeners: list[abc.Callable[[int], None]] = []

    @property
    def era(self) -> int:
        """How often the store was restored."""
        return self.version.era

    @property
    def absent_version(self) -> messages.Version:
        """The version of an absent key."""
        return messages.Version(self.era, 0)

    def on_new_era(self, listener: abc.Callable[[int], None]) -> None:
        """Register a function to call when the store is restored."""
        self._listeners.append(listener)

    def restore(self, entries: dict[str, messages.Entry]) -> None:
        """Come back from a copy of the entries, in a new era.

        The clients learn of it at once, and no write is on its way.
        """
        era = self.era + 1
        self.entries = {
            key: messages.Entry(
                key, entry.value, messages.Version(era, entry.version.revision)
            )
            for key, entry in entries.items()
        }
        self.previous_entries = dict(self.entries)
        self.version = max(
            (entry.version for entry in self.entries.values()),
            default=messages.Version(era, 0),
        )
        for listener in self._listeners:
            listener(era)

    def _begin_call(self, method: str, key: str) -> CallOutcome:
        outcome = self.decide(method, key)
        self.calls.append(f"{method} {key} {outcome}")
        if outcome is CallOutcome.DOWN:
            raise errors.StoreUnavailableError("store is down")
        return outcome

    def _visible_entries(
        self, outcome: CallOutcome
    ) -> dict[str, messages.Entry]:
        if outcome is CallOutcome.LOST:
            raise errors.StoreUncertainError("response lost")
        return (
            self.previous_entries
            if outcome is CallOutcome.STALE
            else self.entries
        )

    def _write(
        self, key: str, value: str, version: messages.Version
    ) -> messages.Version:
        current = self.entries.get(key)
        current_version = current.version if current else self.absent_version
        if current_version != version:
            raise errors.StoreConflictError(key, current_version)
        self.previous_entries = dict(self.entries)
        self.version = messages.Version(self.era, self.version.revision + 1)
        self.entries[key] = messages.Entry(key, value, self.version)
        return self.version

    def apply_late_writes(self) -> None:
        """Apply the late writes, oldest first; drop those that conflict."""
        while self.late_writes:
            try:
                self._write(*self.late_writes.pop(0))
            except errors.StoreConflictError:
                continue

    async def get(self, key: str) -> messages.Entry | None:
        """Read the entry of a key, None if there is none."""
        return self._visible_entries(self._begin_call("get", key)).get(key)

    async def put(
        self,
        key: str,
        value: str,
        *,
        version: messages.Version,
        lease: int = 0,
    ) -> messages.Version:
        """Write a key if it still has a given version.

        :returns: the new version.
        """
        outcome = self._begin_call("put", key)
        if outcome is CallOutcome.LATE:
            self.late_writes.append((key, value, version))
            raise errors.StoreUncertainError("write delayed")
        written = self._write(key, value, version)
        if outcome is CallOutcome.LOST:
            raise errors.StoreUncertainError("response lost")
        if outcome is CallOutcome.TWICE:
            raise errors.StoreConflictError(key, written)
        return written

    async def delete(self, key: str, *, version: messages.Version) -> None:
        """Delete a key if it still has a given version."""
        self._begin_call("delete", key)
        current = self.entries.get(key)
        if current is None or current.version != version:
            raise errors.StoreConflictError(key, version)
        del self.entries[key]

    async def list(
        self,
        prefix: str,
        *,
        after: str = "",
        limit: int = 1000,
        stale: bool = False,
        timeout_s: float | None = None,
    ) -> messages.Listing:
        """List the entries whose keys start with a prefix."""
        visible = self._visible_entries(self._begin_call("list", prefix))
        keys = sorted(
            key for key in visible if key.startswith(prefix) and key > after
        )
        return messages.Listing(
            tuple(visible[key] for key in keys[:limit]), self.version
        )

    async def watch(
        self, prefix: str, *, after: messages.Version, wait_s: float
    ) -> messages.Listing:
        """List the entries newer than a version, without waiting."""
        visible = self._visible_entries(self._begin_call("watch", prefix))
        newer = tuple(
            entry
            for key, entry in sorted(visible.items())
            if key.startswith(prefix) and entry.version > after
        )
        return messages.Listing(newer, self.version)
