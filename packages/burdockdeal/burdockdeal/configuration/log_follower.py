"""Following the change log in the store, which only relays do."""

from collections import abc
import random

import mode

from burdockdeal.configuration import active_configuration
from burdockdeal.configuration import messages
from burdockdeal.configuration import repository
from burdockdeal.configuration import snapshots
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.platform import decisions as platform
from burdockdeal.platform import messages as store

#: Seconds for which the store holds a watch without news open.
_WATCH_TIMEOUT_S = 5.0
#: Seconds between two checks of whether this daemon has become a relay.
_RELAY_CHECK_INTERVAL_S = 0.5
_INITIAL_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 3.0
#: Maximum seconds between two checks of whether a snapshot is due; the pause
#: is random, so that relays seldom compact at the same time.
_COMPACTION_JITTER_S = 15.0


class LogFollower(mode.Service):
    """Follows the change log in the store while this daemon is a relay.

    A relay watches the store on behalf of its failure domain. It also
    writes a snapshot whenever enough changes have accumulated.

    :param log: reads and writes the change log and snapshots in the store.
    :param active: the active configuration, to which changes are applied.
    :param rng: randomises the pauses between retries and compactions.
    :param is_relay: returns whether this daemon is a relay now.
    :param forward: forwards changes to the other daemons of the failure
        domain.
    """

    def __init__(
        self,
        log: repository.Repository,
        active: active_configuration.ActiveConfiguration,
        rng: random.Random,
        *,
        is_relay: abc.Callable[[], bool],
        forward: abc.Callable[[tuple[messages.Change, ...]], None],
    ) -> None:
        super().__init__()
        self._log = log
        self._active = active
        self._rng = rng
        self._is_relay = is_relay
        self._forward = forward

    @mode.Service.task
    async def _watch_forever(self) -> None:
        failures = 0
        seen: store.Version | None = None
        while not self.should_stop:
            if not self._is_relay():
                seen = None
                await self.sleep(_RELAY_CHECK_INTERVAL_S)
                continue
            try:
                seen = await self._follow(seen)
                failures = 0
            except errors.PlatformError as error:
                seen = None
                failures += 1
                event_log.warn(
                    "store_unavailable", failures=failures, error=error
                )
                await self.sleep(
                    platform.choose_backoff(
                        failures,
                        self._rng,
                        initial_s=_INITIAL_BACKOFF_S,
                        max_s=_MAX_BACKOFF_S,
                    )
                )

    async def _follow(
        self, seen: store.Version | None
    ) -> store.Version | None:
        """Wait for new changes and apply them.

        :param seen: the store's version of the newest applied entry, None
            if it isn't known.
        :returns: the version of the newest entry that is applied now, None
            if the store was restored from an old copy.
        """
        before = self._active.revision
        if seen is None or self._log.is_restored:
            await self._rewrite_lost()
            await self._log.catch_up()
            slot = await self._log.read_slot(self._active.revision)
            self._forward_after(before)
            if self._active.revision:
                return slot.version
            return store.Version(slot.version.era, 0)
        listing = await self._log.watch(seen, _WATCH_TIMEOUT_S)
        if listing.version.era != seen.era:
            return None
        changes = tuple(map(repository.read_change, listing.entries))
        self._active.apply(changes)
        if any(change.revision > self._active.revision for change in changes):
            # The watch missed a change in between.
            await self._log.catch_up()
            if self._active.revision == before:
                # The next change can't be read. Without a pause, the watch
                # would return at once over and over.
                await self.sleep(_MAX_BACKOFF_S)
        self._forward_after(before)
        if changes and all(
            change.revision <= self._active.revision for change in changes
        ):
            # Not the newest entry's version: the store may have discarded
            # the history after it, and would list all entries each time.
            return listing.version
        return max(
            (
                entry.version
                for entry, change in zip(listing.entries, changes, strict=True)
                if change.revision <= self._active.revision
            ),
            default=seen,
        )

    async def _rewrite_lost(self) -> None:
        if self._log.is_restored:
            await self.sleep(self._rng.uniform(0, platform.REWRITE_SPREAD_S))
            await self._log.rewrite_lost()

    def _forward_after(self, revision: int) -> None:
        if self._active.revision > revision:
            self._forward(self._active.list_changes(revision).changes)

    @mode.Service.task
    async def _compact_forever(self) -> None:
        while not self.should_stop:
            await self.sleep(self._rng.uniform(0, _COMPACTION_JITTER_S))
            if not self._is_relay() or not self._is_snapshot_due():
                continue
            try:
                await self._log.compact()
            except errors.PlatformError as error:
                event_log.warn("compaction_failed", error=error)

    def _is_snapshot_due(self) -> bool:
        return snapshots.is_due(
            self._active.revision, self._log.snapshot_revision
        )
