"""Watching the configuration in the platform's store."""

import asyncio
from collections import abc
import random

import mode

from burdockdeal.configuration import active_configuration
from burdockdeal.configuration import confirmation as confirmations
from burdockdeal.configuration import state
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.platform import configuration
from burdockdeal.platform import decisions
from burdockdeal.platform import evacuations
from burdockdeal.platform import messages
from burdockdeal.platform import store

#: Maximum duration of one watch, in seconds. The store ends a watch after
#: at most 30 s.
WATCH_TIMEOUT_S = 25.0

#: Minimum interval between two watches, in seconds, so that a burst of
#: changes costs only a few calls.
MIN_WATCH_INTERVAL_S = 0.2

#: Bounds of the exponential backoff after a failed call, in seconds. A daemon
#: without a configuration serves nothing, so it retries sooner.
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
MAX_UNCONFIGURED_BACKOFF_S = 0.5

#: Seconds after the start for which a daemon leaves reading to others. It has
#: then read the store once and received the roster from a peer, so that it
#: knows whether it is one of the readers.
SETTLING_S = 2.0

#: Interval in seconds at which a daemon that does not watch checks whether
#: it has become a watcher.
_ROLE_CHECK_INTERVAL_S = 1.0

#: Maximum number of the operator's keys that are read. It only bounds a
#: listing that never ends.
_MAX_OPERATOR_KEYS = 100_000

#: Timeout of a poll in seconds, after which other daemons are asked to read.
POLL_TIMEOUT_S = 0.3


class Watcher(mode.Service):
    """Puts the latest configuration of the store in force.

    A few daemons of the fleet watch the store on behalf of all; the others
    learn of a newer configuration from their peers. A watch can miss a change
    without any indication, so one of the watchers also polls the store. If
    its poll fails, it asks other daemons to read, since the store may be out
    of reach or refuse calls from this daemon alone.

    :param platform: the client of the store.
    :param in_force: holds the configuration in force in this daemon.
    :param rng: draws the jitter of the backoff.
    :param is_watcher: returns whether this daemon watches the store for the
        fleet.
    :param is_poller: returns whether this daemon polls the store for the
        fleet.
    :param ask_to_read: asks other daemons to read the configuration.
    :param poll_interval_s: seconds between two polls.
    :param settling_s: seconds before this daemon first reads by itself.
    :param confirmation: told of each read that succeeds.
    :param confirm_interval_s: seconds between two reads that only confirm the
        configuration of this daemon; None if none are needed.
    :param apply_operator_keys: applies a listing of the operator's other
        keys, all of which are then read and watched with the configuration;
        None if there are none.
    """

    def __init__(
        self,
        platform: store.StoreClient,
        in_force: active_configuration.ActiveConfiguration,
        rng: random.Random,
        *,
        is_watcher: abc.Callable[[], bool],
        is_poller: abc.Callable[[], bool],
        ask_to_read: abc.Callable[[], abc.Awaitable[None]],
        poll_interval_s: float,
        confirmation: confirmations.Confirmation | None = None,
        confirm_interval_s: float | None = None,
        settling_s: float = SETTLING_S,
        apply_operator_keys: abc.Callable[[messages.Listing], None]
        | None = None,
    ) -> None:
        super().__init__()
        self._store = platform
        self._in_force = in_force
        self._rng = rng
        self._is_watcher = is_watcher
        self._is_poller = is_poller
        self._ask_to_read = ask_to_read
        self._poll_interval_s = poll_interval_s
        self._settling_s = settling_s
        self._confirmation = confirmation
        self._confirm_interval_s = confirm_interval_s
        self._apply_operator_keys = apply_operator_keys
        self._failures = 0
        self._parsed_entry: messages.Entry | None = None
        self._parsed = state.Configuration()
        self._reported_era = 0
        self._is_stopping = False
        self._pending_watch: asyncio.Future[messages.Listing] | None = None

    async def on_stop(self) -> None:
        """Cancel the pending watch."""
        self._is_stopping = True
        if self._pending_watch is not None:
            self._pending_watch.cancel()

    @mode.Service.task
    async def _watch_forever(self) -> None:
        known_version: messages.Version | None = None
        await self.sleep(self._settling_s)
        while not self._is_stopping:
            if not self._is_watcher():
                known_version = None
                await self.sleep(_ROLE_CHECK_INTERVAL_S)
                continue
            try:
                known_version = await self._read_or_watch(known_version)
                self._record_recovery()
            except errors.PlatformError as error:
                known_version = None
                await self._back_off(error)

    @mode.Service.task
    async def _poll_forever(self) -> None:
        await self.sleep(self._settling_s)
        while not self.should_stop:
            await self.sleep(self._poll_interval_s)
            if self._is_poller():
                self.add_future(self.poll())

    @mode.Service.task
    async def _confirm_forever(self) -> None:
        if self._confirm_interval_s is None:
            return
        while not self.should_stop:
            try:
                await self.read(POLL_TIMEOUT_S)
            except errors.PlatformError as error:
                event_log.debug("configuration_not_confirmed", error=error)
            await self.sleep(self._confirm_interval_s)

    async def poll(self) -> None:
        """Read the configuration now, through other daemons if need be."""
        try:
            await self.read(POLL_TIMEOUT_S)
        except errors.PlatformError as error:
            event_log.debug("configuration_poll_failed", error=error)
            await self._ask_to_read()

    async def read(self, timeout_s: float | None = None) -> None:
        """Read the configuration once and put it in force if it is newer.

        :param timeout_s: seconds to wait for the store, None for the default.
        :raises PlatformError: if the store did not answer.
        """
        record = self._confirmation.begin() if self._confirmation else None
        if self._apply_operator_keys is not None:
            await self._read_operator_keys(timeout_s)
        else:
            await self._read_configuration(timeout_s)
        if record is not None:
            record()

    async def _read_configuration(self, timeout_s: float | None) -> None:
        entry = await self._store.get(configuration.KEY, timeout_s=timeout_s)
        if entry is None:
            self._report_lost("")
        else:
            self._apply(entry)

    async def _read_operator_keys(
        self, timeout_s: float | None = None
    ) -> messages.Version:
        """Read and apply all keys of the operator; return the version."""
        listing = await self._store.list(
            evacuations.OPERATOR_PREFIX,
            limit=_MAX_OPERATOR_KEYS,
            timeout_s=timeout_s,
        )
        self.apply_listing(listing)
        if all(entry.key != configuration.KEY for entry in listing.entries):
            self._report_lost("")
        self._apply_operator_keys(listing)
        return listing.version

    def apply_listing(self, listing: messages.Listing) -> None:
        """Put the configuration in force that a listing contains."""
        for entry in listing.entries:
            if entry.key == configuration.KEY:
                self._apply(entry)

    async def _read_or_watch(
        self, known_version: messages.Version | None
    ) -> messages.Version | None:
        """Read the current configuration, or wait for a newer one.

        A watch that ends without an event does not prove that nothing
        changed: the store may have discarded the history with the event.
        The current configuration is therefore read after such a watch.

        :param known_version: the store's version up to which changes
            have been applied, None if it isn't known.
        :returns: the updated version, None to read the configuration next.
        """
        if known_version is None and self._apply_operator_keys is not None:
            return await self._read_operator_keys()
        if known_version is None:
            entry = await self._store.get(configuration.KEY)
            if entry is None:
                self._report_lost("")
                # No configuration exists. The history may be discarded, as
                # it is after a restore, so the watch starts from a listing.
                listing = await self._store.list(configuration.KEY)
                self.apply_listing(listing)
                return await self._watch(listing.version)
            self._apply(entry)
            return entry.version
        await self.sleep(MIN_WATCH_INTERVAL_S)
        return (
            known_version
            if self._is_stopping
            else await self._watch(known_version)
        )

    async def _watch(
        self, known_version: messages.Version
    ) -> messages.Version | None:
        reads_all = self._apply_operator_keys is not None
        prefix = (
            evacuations.OPERATOR_PREFIX if reads_all else configuration.KEY
        )
        pending_watch = asyncio.ensure_future(
            self._store.watch(
                prefix, after=known_version, wait_s=WATCH_TIMEOUT_S
            )
        )
        self._pending_watch = pending_watch
        try:
            listing = await pending_watch
        except asyncio.CancelledError:
            if self._is_stopping:
                return known_version
            raise
        self.apply_listing(listing)
        # A watch does not report the deletion of a key.
        is_complete = listing.entries and not reads_all
        return listing.version if is_complete else None

    def _apply(self, entry: messages.Entry) -> None:
        try:
            parsed = self._parse(entry)
            self._in_force.apply_snapshot(parsed)
            if parsed.revision < self._in_force.revision:
                self._report_lost(parsed.revision)
        except codec.MalformedError as error:
            event_log.warn(
                "configuration_unreadable",
                store_revision=entry.version,
                error=error,
            )

    def _parse(self, entry: messages.Entry) -> state.Configuration:
        """Parse an entry, unless it is the one that was parsed last."""
        if entry != self._parsed_entry:
            self._parsed = configuration.parse(entry.value)
            self._parsed_entry = entry
        return self._parsed

    def _report_lost(self, stored: object) -> None:
        """Report once an era that the store lacks what is in force."""
        era = self._store.era
        if not self._in_force.revision or era == self._reported_era:
            return
        self._reported_era = era
        event_log.warn(
            "configuration_lost_by_store",
            in_force=self._in_force.revision,
            stored=stored,
            era=era,
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
                max_s=MAX_BACKOFF_S
                if self._in_force.revision
                else MAX_UNCONFIGURED_BACKOFF_S,
            )
        )
