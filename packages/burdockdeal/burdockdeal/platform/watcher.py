"""Watching the configuration in the platform's store."""

import asyncio
from collections import abc
import random

import mode

from burdockdeal.configuration import active_configuration
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.platform import configuration
from burdockdeal.platform import decisions
from burdockdeal.platform import messages
from burdockdeal.platform import store

#: Maximum duration of one watch, in seconds. The store ends a watch after
#: at most 30 s.
WATCH_TIMEOUT_S = 25.0

#: Minimum interval between two watches, in seconds, so that a burst of
#: changes costs only a few calls.
MIN_WATCH_INTERVAL_S = 0.2

#: Bounds of the exponential backoff after a failed call, in seconds.
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.5

#: Interval in seconds at which a daemon that does not watch checks whether
#: it has become a watcher.
_ROLE_CHECK_INTERVAL_S = 0.5


class Watcher(mode.Service):
    """Puts the latest configuration of the store in force.

    A watch can miss a change without any indication, so one daemon per
    failure domain also polls the store. Daemons that neither watch nor poll
    learn of a newer configuration from their peers. A daemon that has no
    configuration yet always watches.

    :param platform: the client of the store.
    :param in_force: holds the configuration in force in this daemon.
    :param rng: draws the jitter of the backoff.
    :param is_watcher: tells whether this daemon watches the store for its
        failure domain.
    :param is_poller: tells whether this daemon polls the store for its
        failure domain.
    :param poll_interval_s: seconds between two polls.
    """

    def __init__(
        self,
        platform: store.StoreClient,
        in_force: active_configuration.ActiveConfiguration,
        rng: random.Random,
        *,
        is_watcher: abc.Callable[[], bool],
        is_poller: abc.Callable[[], bool],
        poll_interval_s: float,
    ) -> None:
        super().__init__()
        self._store = platform
        self._standing = in_force
        self._rng = rng
        self._is_watcher = is_watcher
        self._is_poller = is_poller
        self._poll_interval_s = poll_interval_s
        self._failures = 0
        self._is_stopping = False
        self._pending_watch: asyncio.Future[messages.Listing] | None = None

    async def on_stop(self) -> None:
        """Cancel the pending watch."""
        self._is_stopping = True
        if self._pending_watch is not None:
            self._pending_watch.cancel()

    @mode.Service.task
    async def _watch_forever(self) -> None:
        known_revision: int | None = None
        while not self._is_stopping:
            if self._standing.revision and not self._is_watcher():
                known_revision = None
                await self.sleep(_ROLE_CHECK_INTERVAL_S)
                continue
            try:
                known_revision = await self._read_or_watch(known_revision)
                self._record_recovery()
            except errors.PlatformError as error:
                known_revision = None
                await self._back_off(error)

    @mode.Service.task
    async def _poll_forever(self) -> None:
        while not self.should_stop:
            await self.sleep(self._poll_interval_s)
            if not self._standing.revision or not self._is_poller():
                continue
            try:
                entry = await self._store.get(configuration.KEY)
            except errors.PlatformError as error:
                event_log.debug("configuration_poll_failed", error=error)
                continue
            if entry is not None:
                self._apply(entry)

    async def _read_or_watch(self, known_revision: int | None) -> int | None:
        """Read the current configuration, or wait for a newer one.

        A watch that ends without an event does not prove that nothing
        changed: the store may have discarded the history with the event.
        The current configuration is therefore read after such a watch.

        :param known_revision: the store's revision up to which changes
            have been applied, None if it isn't known.
        :returns: the updated revision, None to read the configuration next.
        """
        if known_revision is None:
            entry = await self._store.get(configuration.KEY)
            if entry is None:
                # No configuration exists yet: any revision is newer.
                return await self._watch(0)
            self._apply(entry)
            return entry.version
        await self.sleep(MIN_WATCH_INTERVAL_S)
        return (
            known_revision
            if self._is_stopping
            else await self._watch(known_revision)
        )

    async def _watch(self, known_revision: int) -> int | None:
        pending_watch = asyncio.ensure_future(
            self._store.watch(
                configuration.KEY, after=known_revision, wait_s=WATCH_TIMEOUT_S
            )
        )
        self._pending_watch = pending_watch
        try:
            listing = await pending_watch
        except asyncio.CancelledError:
            if self._is_stopping:
                return known_revision
            raise
        for entry in listing.entries:
            if entry.key == configuration.KEY:
                self._apply(entry)
        return listing.revision if listing.entries else None

    def _apply(self, entry: messages.Entry) -> None:
        try:
            self._standing.apply_snapshot(configuration.parse(entry.value))
        except codec.MalformedError as error:
            event_log.warn(
                "configuration_unreadable",
                store_revision=entry.version,
                error=error,
            )

    def _record_recovery(self) -> None:
        if self._failures:
            event_log.record("store_recovered", failures=self._failures)
        self._failures = 0

    async def _back_off(self, error: errors.PlatformError) -> None:
        self._failures += 1
        if self._failures == 1:
            event_log.warn("store_unreachable", error=error)
        await self.sleep(
            decisions.choose_backoff(
                self._failures,
                self._rng,
                initial_s=INITIAL_BACKOFF_S,
                max_s=MAX_BACKOFF_S,
            )
        )
