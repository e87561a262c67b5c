"""The configuration in force in this daemon, and its latest changes."""

import asyncio
import collections
from collections import abc

from burdockdeal.configuration import decisions
from burdockdeal.configuration import log
from burdockdeal.configuration import messages
from burdockdeal.configuration import state
from burdockdeal.core import codec
from burdockdeal.core import event_log

#: Changes that a daemon keeps for peers that are behind.
WINDOW_CHANGES = 1024
#: Bytes of changes that a daemon keeps.
WINDOW_BYTES = 4_000_000
#: Bytes of changes in one answer to a peer or an operator.
PAGE_BYTES = 256_000

_OVERHEAD_BYTES = 256


def _size(change: messages.Change) -> int:
    return len(bytes(change.spec)) + _OVERHEAD_BYTES


class Standing:
    """Holds the configuration in force here.

    Its revision only grows, whatever arrives in whatever order.
    """

    def __init__(self) -> None:
        self.configuration = state.Configuration()
        self._changes: collections.deque[messages.Change] = collections.deque()
        self._bytes = 0
        self._listeners: list[abc.Callable[[], None]] = []

    @property
    def revision(self) -> int:
        """The revision in force here, 0 before the first."""
        return self.configuration.revision

    @property
    def changes(self) -> tuple[messages.Change, ...]:
        """The latest changes, without a gap, the oldest first."""
        return tuple(self._changes)

    def on_change(self, listener: abc.Callable[[], None]) -> None:
        """Call a function whenever a newer revision is in force."""
        self._listeners.append(listener)

    def take(
        self, changes: abc.Iterable[messages.Change]
    ) -> tuple[messages.Change, ...]:
        """Put the changes that come next in force.

        :returns: those that did.
        """
        following = log.choose_next(changes, self.revision)
        if not following:
            return ()
        try:
            taken = decisions.apply_all(self.configuration, following)
        except codec.MalformedError as error:
            event_log.warn(
                "change_unreadable",
                revision=following[0].revision,
                error=error,
            )
            return ()
        for change in following:
            self._keep(change)
        self._put_in_force(taken)
        return following

    def take_snapshot(self, snapshot: state.Configuration) -> bool:
        """Put a snapshot in force if it is newer.

        :returns: whether it was.
        """
        if snapshot.revision <= self.revision:
            return False
        self._changes.clear()
        self._bytes = 0
        self._put_in_force(snapshot)
        return True

    def find(self, revision: int) -> messages.Change | None:
        """Find a change among the latest."""
        for change in reversed(self._changes):
            if change.revision == revision:
                return change
        return None

    def page(
        self, after: int, *, limit_bytes: int = PAGE_BYTES
    ) -> messages.Changes:
        """List the changes after a revision, as many as fit one answer."""
        oldest = self._changes[0].revision if self._changes else None
        if after < self.revision and (oldest is None or after + 1 < oldest):
            return messages.Changes((), self.revision, True)
        chosen = []
        size = 0
        for change in self._changes:
            if change.revision <= after:
                continue
            size += _size(change)
            if chosen and size > limit_bytes:
                break
            chosen.append(change)
        return messages.Changes(tuple(chosen), self.revision)

    async def wait(self, after: int, wait_s: float) -> None:
        """Wait until a revision is passed, or the time is over."""
        passed = asyncio.Event()

        def look() -> None:
            if self.revision > after:
                passed.set()

        self._listeners.append(look)
        look()
        try:
            await asyncio.wait_for(passed.wait(), wait_s)
        except TimeoutError:
            pass
        finally:
            self._listeners.remove(look)

    def _keep(self, change: messages.Change) -> None:
        self._changes.append(change)
        self._bytes += _size(change)
        while (
            len(self._changes) > WINDOW_CHANGES or self._bytes > WINDOW_BYTES
        ):
            self._bytes -= _size(self._changes.popleft())

    def _put_in_force(self, configuration: state.Configuration) -> None:
        self.configuration = configuration
        event_log.record("configuration_in_force", revision=self.revision)
        for listener in tuple(self._listeners):
            listener()
