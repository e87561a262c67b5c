"""The configuration service: following the log and passing it on."""

import asyncio
from collections import abc

import aiohttp
from aiohttp import web
import mode

from burdockdeal.configuration import decisions
from burdockdeal.configuration import messages
from burdockdeal.configuration import state
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import headers
from burdockdeal.core import journal
from burdockdeal.platform import store
from burdockdeal.settings import model

_WATCH_S = 5.0
_RETRY_S = 0.5
_PEER_TIMEOUT_S = 2.0


class Standing:
    """Holds the configuration in force here, and its changes."""

    def __init__(self) -> None:
        self.configuration = state.Configuration()
        self.changes: tuple[messages.Change, ...] = ()
        self._listeners: list[abc.Callable[[], None]] = []

    @property
    def revision(self) -> int:
        """The revision in force here, 0 before the first."""
        return self.configuration.revision

    def on_change(self, listener: abc.Callable[[], None]) -> None:
        """Call a function whenever a newer revision is in force."""
        self._listeners.append(listener)

    def take(self, changes: abc.Iterable[messages.Change]) -> None:
        """Put the changes that come next in force."""
        before = self.configuration
        for change in sorted(changes, key=lambda change: change.revision):
            following = decisions.apply(self.configuration, change)
            if following is not self.configuration:
                self.configuration = following
                self.changes = (*self.changes, change)
        if self.configuration is before:
            return
        journal.record("configuration_in_force", revision=self.revision)
        for listener in self._listeners:
            listener()


class Follower(mode.Service):
    """Follows the change log, in the store or at peers.

    :param is_relay: tells whether this daemon watches the store for its
        failure domain.
    """

    def __init__(
        self,
        settings: model.Settings,
        standing: Standing,
        platform: store.Store,
        session: aiohttp.ClientSession,
        *,
        is_relay: abc.Callable[[], bool],
    ) -> None:
        super().__init__()
        self._settings = settings
        self._standing = standing
        self._store = platform
        self._session = session
        self._is_relay = is_relay
        self._pulling: set[model.Address] = set()

    @mode.Service.task
    async def _watch_forever(self) -> None:
        seen = 0
        while not self.should_stop:
            if not self._is_relay():
                seen = 0
                await self.sleep(_RETRY_S)
                continue
            try:
                seen = await self._watch(seen)
            except errors.PlatformError as error:
                journal.warn("store_unavailable", error=error)
                seen = 0
                await self.sleep(_RETRY_S)

    async def _watch(self, seen: int) -> int:
        if not seen:
            await self.catch_up()
        listing = await self._store.watch(
            messages.LOG_PREFIX, after=seen, wait_s=_WATCH_S
        )
        self._standing.take(
            codec.decode(entry.value, messages.Change)
            for entry in listing.entries
        )
        return listing.revision

    async def catch_up(self) -> None:
        """Read what the store holds beyond the revision in force.

        :raises PlatformError: if the store did not answer.
        """
        start = decisions.log_key(self._standing.revision + 1)
        listing = await self._store.list(messages.LOG_PREFIX, start=start)
        while listing.entries:
            self._standing.take(
                codec.decode(entry.value, messages.Change)
                for entry in listing.entries
            )
            start = decisions.log_key(self._standing.revision + 1)
            listing = await self._store.list(messages.LOG_PREFIX, start=start)

    def pull_from(self, peer: model.Address) -> None:
        """Fetch newer changes from a peer, in the background."""
        if peer not in self._pulling:
            self._pulling.add(peer)
            self.add_future(self._pull(peer))

    async def _pull(self, peer: model.Address) -> None:
        after = self._standing.revision
        try:
            async with self._session.get(
                f"http://{peer}/v1/peer/changes?after={after}",
                headers={headers.PEER_TOKEN: self._settings.peer_token},
                timeout=aiohttp.ClientTimeout(total=_PEER_TIMEOUT_S),
            ) as response:
                response.raise_for_status()
                raw = await response.read()
            self._standing.take(codec.decode(raw, messages.Changes).changes)
        except (
            aiohttp.ClientError,
            asyncio.TimeoutError,
            codec.MalformedError,
            OSError,
        ) as error:
            journal.debug("pull_failed", peer=peer, error=repr(error))
        finally:
            self._pulling.discard(peer)

    async def handle_changes(self, request: web.BaseRequest) -> web.Response:
        """Answer a peer that is behind."""
        after = int(request.query.get("after", "0"))
        newer = tuple(
            change
            for change in self._standing.changes
            if change.revision > after
        )
        return web.Response(
            body=codec.encode(messages.Changes(newer)),
            content_type="application/json",
        )

    async def handle_applied(self, request: web.BaseRequest) -> web.Response:
        """Tell which revision is in force here."""
        applied = messages.Applied(
            self._settings.failure_domain, self._standing.revision, 1, 0
        )
        return web.Response(
            body=codec.encode(applied), content_type="application/json"
        )
