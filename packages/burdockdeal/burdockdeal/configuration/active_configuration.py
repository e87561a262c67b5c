"""The configuration that this daemon applies, and its recent changes."""

import asyncio
import collections
from collections import abc

from burdockdeal.configuration import decisions
from burdockdeal.configuration import log
from burdockdeal.configuration import messages
from burdockdeal.configuration import state
from burdockdeal.core import codec
from burdockdeal.core import event_log

#: Maximum number of changes that a daemon retains for peers that are behind.
MAX_RETAINED_CHANGES = 1024
#: Maximum bytes of changes that a daemon retains.
MAX_RETAINED_BYTES = 4_000_000
#: Maximum bytes of changes in one answer to a peer or an operator.
MAX_PAGE_BYTES = 256_000

#: Estimated size of a change without its spec.
_OVERHEAD_BYTES = 256


def _estimate_bytes(change: messages.Change) -> int:
    return len(bytes(change.spec)) + _OVERHEAD_BYTES


class ActiveConfiguration:
    """Holds the configuration that this daemon applies.

    Its revision only grows, whatever changes and snapshots arrive and in
    whatever order.
    """

    def __init__(self) -> None:
        self.configuration = state.Configuration()
        self._changes: collections.deque[messages.Change] = collections.deque()
        self._bytes = 0
        self._listeners: list[abc.Callable[[], None]] = []

    @property
    def revision(self) -> int:
        """The active revision, 0 before the first change or snapshot."""
        return self.configuration.revision

    @property
    def recent_changes(self) -> tuple[messages.Change, ...]:
        """The retained changes, without a gap, oldest first."""
        return tuple(self._changes)

    def on_change(self, listener: abc.Callable[[], None]) -> None:
        """Register a function to call whenever a newer revision is active."""
        self._listeners.append(listener)

    def apply(
        self, changes: abc.Iterable[messages.Change]
    ) -> tuple[messages.Change, ...]:
        """Apply the changes that follow the active revision without a gap.

        Changes that can't be decoded are logged and not applied, as are
        those that contradict a retained change of the same revision.

        :returns: the changes that were applied.
        """
        changes = tuple(changes)
        if any(change.revision <= self.revision for change in changes):
            self._report_replaced(changes)
        following = log.select_contiguous(changes, self.revision)
        if not following:
            return ()
        try:
            configuration = decisions.apply_changes(
                self.configuration, following
            )
        except codec.MalformedError as error:
            event_log.warn(
                "change_unreadable",
                revision=following[0].revision,
                error=error,
            )
            return ()
        for change in following:
            self._retain(change)
        self._activate(configuration)
        return following

    def apply_snapshot(self, snapshot: state.Configuration) -> bool:
        """Activate a snapshot if it is newer than the active revision.

        The retained changes are dropped, as they end at an older revision.

        :returns: whether the snapshot was activated.
        """
        if snapshot.revision <= self.revision:
            return False
        self._changes.clear()
        self._bytes = 0
        self._activate(snapshot)
        return True

    def find_change(self, revision: int) -> messages.Change | None:
        """Return a retained change, None if it isn't retained."""
        for change in reversed(self._changes):
            if change.revision == revision:
                return change
        return None

    def list_changes(
        self, after: int, *, limit_bytes: int = MAX_PAGE_BYTES
    ) -> messages.Changes:
        """List the changes after a revision, as many as fit into one answer.

        :param after: the revision that the caller has.
        :param limit_bytes: maximum bytes of changes; at least one change is
            listed however large it is.
        :returns: the changes, or a message with needs_snapshot set if the
            daemon no longer retains the change after the given revision.
        """
        oldest = self._changes[0].revision if self._changes else None
        if after < self.revision and (oldest is None or after + 1 < oldest):
            return messages.Changes((), self.revision, True)
        selected = []
        selected_bytes = 0
        for change in self._changes:
            if change.revision <= after:
                continue
            selected_bytes += _estimate_bytes(change)
            if selected and selected_bytes > limit_bytes:
                break
            selected.append(change)
        return messages.Changes(tuple(selected), self.revision)

    async def wait_for_revision(self, after: int, wait_s: float) -> None:
        """Wait until a revision newer than the given one is active.

        :param after: the revision to pass.
        :param wait_s: seconds after which to return nonetheless.
        """
        passed = asyncio.Event()

        def check() -> None:
            if self.revision > after:
                passed.set()

        self._listeners.append(check)
        check()
        try:
            await asyncio.wait_for(passed.wait(), wait_s)
        except TimeoutError:
            pass
        finally:
            self._listeners.remove(check)

    def _report_replaced(self, received: tuple[messages.Change, ...]) -> None:
        """Report changes that stand for another one at their revision."""
        for applied, other in log.find_replaced(self._changes, received):
            event_log.warn(
                "change_refused_as_replaced",
                revision=applied.revision,
                applied=applied.change_id,
                received=other.change_id,
            )

    def _retain(self, change: messages.Change) -> None:
        self._changes.append(change)
        self._bytes += _estimate_bytes(change)
        while (
            len(self._changes) > MAX_RETAINED_CHANGES
            or self._bytes > MAX_RETAINED_BYTES
        ):
            self._bytes -= _estimate_bytes(self._changes.popleft())

    def _activate(self, configuration: state.Configuration) -> None:
        self.configuration = configuration
        event_log.record("configuration_activated", revision=self.revision)
        for listener in tuple(self._listeners):
            listener()
