"""The configuration service: relays follow the log in the store."""

from collections import abc
import random

import mode

from burdockdeal.configuration import archive
from burdockdeal.configuration import messages
from burdockdeal.configuration import snapshots
from burdockdeal.configuration import standing
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.platform import decisions as platform

_WATCH_S = 5.0
_IDLE_S = 0.5
_FIRST_PAUSE_S = 0.25
_MOST_PAUSE_S = 3.0
_COMPACTION_JITTER_S = 15.0


class Follower(mode.Service):
    """Follows the change log in the store while this daemon is a relay.

    :param log: the change log in the store.
    :param in_force: takes in what was read.
    :param is_relay: tells whether this daemon watches the store for its
        failure domain.
    :param pass_on: sends changes on to the daemons of the domain.
    """

    def __init__(
        self,
        log: archive.Archive,
        in_force: standing.Standing,
        chance: random.Random,
        *,
        is_relay: abc.Callable[[], bool],
        pass_on: abc.Callable[[tuple[messages.Change, ...]], None],
    ) -> None:
        super().__init__()
        self._log = log
        self._standing = in_force
        self._chance = chance
        self._is_relay = is_relay
        self._pass_on = pass_on

    @mode.Service.task
    async def _watch_forever(self) -> None:
        failures = 0
        seen: int | None = None
        while not self.should_stop:
            if not self._is_relay():
                seen = None
                await self.sleep(_IDLE_S)
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
                        self._chance,
                        initial_s=_FIRST_PAUSE_S,
                        max_s=_MOST_PAUSE_S,
                    )
                )

    async def _follow(self, seen: int | None) -> int:
        """Take in what is new.

        :param seen: the version of the newest entry that was taken in,
            None if it isn't known.
        :returns: the same, as of now.
        """
        before = self._standing.revision
        if seen is None:
            await self._log.catch_up()
            slot = await self._log.read_slot(self._standing.revision)
            self._pass_on_after(before)
            return slot.version if self._standing.revision else 0
        listing = await self._log.watch(seen, _WATCH_S)
        changes = tuple(map(archive.read_change, listing.entries))
        self._standing.take(changes)
        if any(
            change.revision > self._standing.revision for change in changes
        ):
            # Something between was missed.
            await self._log.catch_up()
            if self._standing.revision == before:
                # It can't be read, and the watch would end at once again.
                await self.sleep(_MOST_PAUSE_S)
        self._pass_on_after(before)
        return max(
            (
                entry.version
                for entry, change in zip(listing.entries, changes, strict=True)
                if change.revision <= self._standing.revision
            ),
            default=seen,
        )

    def _pass_on_after(self, revision: int) -> None:
        if self._standing.revision > revision:
            self._pass_on(self._standing.page(revision).changes)

    @mode.Service.task
    async def _compact_forever(self) -> None:
        while not self.should_stop:
            await self.sleep(self._chance.uniform(0, _COMPACTION_JITTER_S))
            if not self._is_relay() or not self._is_due():
                continue
            try:
                await self._log.compact()
            except errors.PlatformError as error:
                event_log.warn("compaction_failed", error=error)

    def _is_due(self) -> bool:
        return snapshots.is_due(self._standing.revision, self._log.snapshot)
