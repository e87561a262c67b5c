"""Synchronising the configuration between peers, without the store."""

import asyncio
from collections import abc

import aiohttp
from aiohttp import web
import mode

from burdockdeal.configuration import active_configuration
from burdockdeal.configuration import messages
from burdockdeal.configuration import snapshots
from burdockdeal.core import codec
from burdockdeal.core import event_log
from burdockdeal.core import headers
from burdockdeal.settings import model

CHANGES_PATH = "/v1/peer/changes"
SNAPSHOT_PATH = "/v1/peer/snapshot"

_REQUEST_TIMEOUT_S = 2.0
#: Maximum bytes of one part that is served to peers.
_MAX_PART_BYTES = 200_000
#: Pages of changes fetched from one peer in a row at most.
_MAX_PAGES = 4096
#: Seconds for which the parts handed out stay those of one revision.
_SNAPSHOT_PIN_S = 5.0

_FAILURES = (
    aiohttp.ClientError,
    asyncio.TimeoutError,
    codec.MalformedError,
    OSError,
)


class PeerSync(mode.Service):
    """Fetches changes and snapshots from peers, and serves them to peers.

    :param settings: the daemon's settings.
    :param active: the active configuration, to which changes are applied.
    :param session: the HTTP session for requests to peers.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        settings: model.Settings,
        active: active_configuration.ActiveConfiguration,
        session: aiohttp.ClientSession,
        *,
        clock: abc.Callable[[], float],
    ) -> None:
        super().__init__()
        self._settings = settings
        self._active = active
        self._session = session
        self._pulling: set[model.Address] = set()
        self._clock = clock
        self._pinned: tuple[messages.Part, ...] = ()
        self._pinned_at = -_SNAPSHOT_PIN_S

    def pull_from(self, peer: model.Address) -> None:
        """Fetch newer changes from a peer, in the background.

        Does nothing while an earlier fetch from the same peer is in
        progress.
        """
        if peer not in self._pulling:
            self._pulling.add(peer)
            self.add_future(self._pull(peer))

    async def _pull(self, peer: model.Address) -> None:
        try:
            await self._pull_all(peer)
        except _FAILURES as error:
            event_log.warn("pull_failed", peer=peer, error=repr(error))
        finally:
            self._pulling.discard(peer)

    async def _pull_all(self, peer: model.Address) -> None:
        for _ in range(_MAX_PAGES):
            before = self._active.revision
            page = await self._fetch(
                peer, f"{CHANGES_PATH}?after={before}", messages.Changes
            )
            if page.needs_snapshot:
                await self._pull_snapshot(peer)
            else:
                self._active.apply(page.changes)
            done = self._active.revision >= page.revision
            if done or self._active.revision == before:
                return

    async def _pull_snapshot(self, peer: model.Address) -> None:
        first = await self._fetch(
            peer, f"{SNAPSHOT_PATH}?position=0", messages.Part
        )
        parts = [first]
        for position in range(1, first.parts):
            query = f"position={position}&revision={first.revision}"
            parts.append(
                await self._fetch(
                    peer, f"{SNAPSHOT_PATH}?{query}", messages.Part
                )
            )
        self._active.apply_snapshot(snapshots.join(parts))

    async def _fetch(
        self, peer: model.Address, path: str, kind: type[codec.T]
    ) -> codec.T:
        async with self._session.get(
            f"http://{peer}{path}",
            headers={headers.PEER_TOKEN: self._settings.peer_token},
            timeout=aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S),
        ) as response:
            response.raise_for_status()
            return codec.decode(await response.read(), kind)

    async def handle_changes(self, request: web.BaseRequest) -> web.Response:
        """Serve the changes after a revision to a peer that is behind."""
        after = _read_number(request, "after")
        return _reply(self._active.list_changes(after))

    async def handle_snapshot(self, request: web.BaseRequest) -> web.Response:
        """Serve one part of a snapshot to a peer.

        The parts stay those of one revision for a few seconds, so that a
        peer can fetch all of them while the configuration changes.
        """
        position = _read_number(request, "position")
        if not position:
            self._pin_snapshot()
        if position >= len(self._pinned):
            return web.Response(status=404)
        part = self._pinned[position]
        if position and part.revision != _read_number(request, "revision"):
            return web.Response(status=409)
        return _reply(part)

    def _pin_snapshot(self) -> None:
        now = self._clock()
        revision = self._pinned[0].revision if self._pinned else 0
        is_outdated = len(self._pinned) <= 1 and (
            revision != self._active.revision
        )
        if is_outdated or now - self._pinned_at >= _SNAPSHOT_PIN_S:
            self._pinned_at = now
            self._pinned = snapshots.split(
                self._active.configuration, part_bytes=_MAX_PART_BYTES
            )


def _read_number(request: web.BaseRequest, name: str) -> int:
    try:
        return max(0, int(request.query.get(name, "0")))
    except ValueError:
        return 0


def _reply(message: object) -> web.Response:
    response = web.Response(
        body=codec.encode(message), content_type="application/json"
    )
    response.enable_compression()
    return response
