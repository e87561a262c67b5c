"""Following the configuration in the platform's store."""

import asyncio
from collections import abc
import random

import mode

from burdockdeal.configuration import standing
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.platform import configuration
from burdockdeal.platform import decisions
from burdockdeal.platform import messages
from burdockdeal.platform import store

#: Seconds that a watch waits; the store waits 30 s at most.
WATCH_S = 25.0

#: Seconds between two watches at least, so that a series of changes costs
#: few calls.
GAP_S = 0.2

#: Pauses after a failure, in seconds.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.5

#: Seconds between two looks whether this daemon is to watch.
_IDLE_S = 0.5


class Watcher(mode.Service):
    """Puts the newest configuration of the store in force.

    A watch may miss a change without a sign of it, so one daemon of a
    failure domain also reads now and then. The others hear of a newer
    configuration from each other.

    :param is_watcher: whether this daemon watches for its failure domain.
    :param is_reader: whether this daemon reads for its failure domain.
    :param read_s: seconds between two reads.
    """

    def __init__(
        self,
        platform: store.StoreClient,
        in_force: standing.Standing,
        chance: random.Random,
        *,
        is_watcher: abc.Callable[[], bool],
        is_reader: abc.Callable[[], bool],
        read_s: float,
    ) -> None:
        super().__init__()
        self._store = platform
        self._standing = in_force
        self._chance = chance
        self._is_watcher = is_watcher
        self._is_reader = is_reader
        self._read_s = read_s
        self._failures = 0
        self._is_ending = False
        self._watching: asyncio.Future[messages.Listing] | None = None

    async def on_stop(self) -> None:
        """End the watch that waits."""
        self._is_ending = True
        if self._watching is not None:
            self._watching.cancel()

    @mode.Service.task
    async def _follow_forever(self) -> None:
        seen: int | None = None
        while not self._is_ending:
            if self._standing.revision and not self._is_watcher():
                seen = None
                await self.sleep(_IDLE_S)
                continue
            try:
                seen = await self._follow(seen)
                self._note_answer()
            except errors.PlatformError as error:
                seen = None
                await self._pause(error)

    @mode.Service.task
    async def _read_forever(self) -> None:
        while not self.should_stop:
            await self.sleep(self._read_s)
            if not self._standing.revision or not self._is_reader():
                continue
            try:
                entry = await self._store.get(configuration.KEY)
            except errors.PlatformError as error:
                event_log.debug("read_failed", error=error)
                continue
            if entry is not None:
                self._take(entry)

    async def _follow(self, seen: int | None) -> int | None:
        """Take in what stands, or what is new.

        A watch that ends without an event proves nothing: the store may
        have dropped the history that held one. So what stands is read.

        :param seen: the store's revision of what was taken in, None if it
            isn't known.
        :returns: the same, as of now.
        """
        if seen is None:
            entry = await self._store.get(configuration.KEY)
            if entry is None:
                # Nothing was written yet: any revision is newer.
                return await self._watch(0)
            self._take(entry)
            return entry.version
        await self.sleep(GAP_S)
        return seen if self._is_ending else await self._watch(seen)

    async def _watch(self, seen: int) -> int | None:
        watching = asyncio.ensure_future(
            self._store.watch(configuration.KEY, after=seen, wait_s=WATCH_S)
        )
        self._watching = watching
        try:
            listing = await watching
        except asyncio.CancelledError:
            if self._is_ending:
                return seen
            raise
        for entry in listing.entries:
            if entry.key == configuration.KEY:
                self._take(entry)
        return listing.revision if listing.entries else None

    def _take(self, entry: messages.Entry) -> None:
        try:
            self._standing.take_snapshot(configuration.read(entry.value))
        except codec.MalformedError as error:
            event_log.warn(
                "configuration_unreadable",
                store_revision=entry.version,
                error=error,
            )

    def _note_answer(self) -> None:
        if self._failures:
            event_log.record("store_regained", failures=self._failures)
        self._failures = 0

    async def _pause(self, error: errors.PlatformError) -> None:
        self._failures += 1
        if self._failures == 1:
            event_log.warn("store_lost", error=error)
        await self.sleep(
            decisions.choose_backoff(
                self._failures,
                self._chance,
                initial_s=FIRST_PAUSE_S,
                max_s=LONGEST_PAUSE_S,
            )
        )
