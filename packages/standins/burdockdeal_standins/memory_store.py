"""A store in memory with the client's interface, for tests without a loop.

Each call asks a closure what goes wrong with it, so that a test or a
golden session decides the fate of every single call.
"""

from collections import abc
import enum

from burdockdeal.core import errors
from burdockdeal.platform import messages


class CallOutcome(enum.StrEnum):
    """What becomes of a call.

    LOST takes effect and loses its answer; TWICE takes effect and is sent
    again by the client, so that the answer is a conflict; LATE takes
    effect only when the test lets it; STALE reads the state before the
    last write.
    """

    GOOD = "GOOD"
    LOST = "LOST"
    TWICE = "TWICE"
    LATE = "LATE"
    STALE = "STALE"
    DOWN = "DOWN"


#: Decide the fate of a call by its method and key.
DecideOutcome = abc.Callable[[str, str], CallOutcome]


class MemoryStore:
    """Keys, versions and writes that are still on their way.

    :param decide: what becomes of each call.
    """

    def __init__(
        self, decide: DecideOutcome = lambda method, key: CallOutcome.GOOD
    ) -> None:
        self.decide = decide
        self.entries: dict[str, messages.Entry] = {}
        self.previous_entries: dict[str, messages.Entry] = {}
        self.version = 0
        self.late_writes: list[tuple[str, str, int]] = []
        self.calls: list[str] = []

    def _meet(self, method: str, key: str) -> CallOutcome:
        fate = self.decide(method, key)
        self.calls.append(f"{method} {key} {fate}")
        if fate is CallOutcome.DOWN:
            raise errors.StoreUnavailableError("down")
        return fate

    def _see(self, fate: CallOutcome) -> dict[str, messages.Entry]:
        if fate is CallOutcome.LOST:
            raise errors.StoreUncertainError("lost")
        return (
            self.previous_entries
            if fate is CallOutcome.STALE
            else self.entries
        )

    def _write(self, key: str, value: str, version: int) -> int:
        stands = self.entries.get(key)
        standing = stands.version if stands else 0
        if standing != version:
            raise errors.StoreConflictError(key, standing)
        self.previous_entries = dict(self.entries)
        self.version += 1
        self.entries[key] = messages.Entry(key, value, self.version)
        return self.version

    def apply_late_writes(self) -> None:
        """Let the late writes reach the store, the oldest first."""
        while self.late_writes:
            try:
                self._write(*self.late_writes.pop(0))
            except errors.StoreConflictError:
                continue

    async def get(self, key: str) -> messages.Entry | None:
        """Read a key."""
        return self._see(self._meet("get", key)).get(key)

    async def put(
        self, key: str, value: str, *, version: int, lease: int = 0
    ) -> int:
        """Write a key by compare-and-swap."""
        fate = self._meet("put", key)
        if fate is CallOutcome.LATE:
            self.late_writes.append((key, value, version))
            raise errors.StoreUncertainError("late")
        written = self._write(key, value, version)
        if fate is CallOutcome.LOST:
            raise errors.StoreUncertainError("lost")
        if fate is CallOutcome.TWICE:
            raise errors.StoreConflictError(key, written)
        return written

    async def delete(self, key: str, *, version: int) -> None:
        """Delete a key by compare-and-swap."""
        self._meet("delete", key)
        stands = self.entries.get(key)
        if stands is None or stands.version != version:
            raise errors.StoreConflictError(key, version)
        del self.entries[key]

    async def list(
        self,
        prefix: str,
        *,
        after: str = "",
        limit: int = 1000,
        stale: bool = False,
    ) -> messages.Listing:
        """Read the entries below a prefix."""
        seen = self._see(self._meet("list", prefix))
        keys = sorted(
            key for key in seen if key.startswith(prefix) and key > after
        )
        return messages.Listing(
            tuple(seen[key] for key in keys[:limit]), self.version
        )

    async def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> messages.Listing:
        """Read what is newer, without waiting."""
        seen = self._see(self._meet("watch", prefix))
        newer = tuple(
            entry
            for key, entry in sorted(seen.items())
            if key.startswith(prefix) and entry.version > after
        )
        return messages.Listing(newer, self.version)
