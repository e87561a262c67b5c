"""Synchronising the configuration between peers, without the store."""

import asyncio
import http

import aiohttp
from aiohttp import web
import mode

from burdockdeal.configuration import active_configuration
from burdockdeal.configuration import messages
from burdockdeal.configuration import snapshots
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.core import headers
from burdockdeal.overload import body_io
from burdockdeal.settings import model

CHANGES_PATH = "/v1/peer/changes"
SNAPSHOT_PATH = "/v1/peer/snapshot"

_REQUEST_TIMEOUT_S = 2.0
#: Maximum bytes of one part that is served to peers.
_MAX_PART_BYTES = 200_000
#: Pages of changes fetched from one peer in a row at most.
_MAX_PAGES = 4096
#: Revisions whose parts are kept for peers that have begun to fetch them.
_RETAINED_SNAPSHOTS = 3

_FAILURES = (
    aiohttp.ClientError,
    asyncio.TimeoutError,
    codec.MalformedError,
    OSError,
)


class _SnapshotReplacedError(errors.BurdockdealError):
    """The peer does not retain the snapshot any more, but a newer one."""


class PeerSync(mode.Service):
    """Fetches changes and snapshots from peers, and serves them to peers.

    :param settings: the daemon's settings.
    :param active: the active configuration, to which changes are applied.
    :param session: the HTTP session for requests to peers.
    """

    def __init__(
        self,
        settings: model.Settings,
        active: active_configuration.ActiveConfiguration,
        session: aiohttp.ClientSession,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._active = active
        self._session = session
        self._pulling: set[model.Address] = set()
        #: Peers that have reported a newer revision since their last fetch
        #: began.
        self._requested: set[model.Address] = set()
        #: The parts of the snapshots served last, by revision, oldest first.
        self._snapshots: dict[int, tuple[messages.Part, ...]] = {}

    def pull_from(self, peer: model.Address) -> None:
        """Fetch newer changes from a peer, in the background.

        While an earlier fetch from the same peer is in progress, another one
        follows it.
        """
        self._requested.add(peer)
        if peer not in self._pulling:
            self._pulling.add(peer)
            self.add_future(self._pull(peer))

    async def _pull(self, peer: model.Address) -> None:
        try:
            while peer in self._requested:
                self._requested.discard(peer)
                await self._pull_all(peer)
        except _FAILURES as error:
            event_log.warn("pull_failed", peer=peer, error=repr(error))
        finally:
            self._pulling.discard(peer)
            self._requested.discard(peer)

    async def _pull_all(self, peer: model.Address) -> None:
        for _ in range(_MAX_PAGES):
            before = self._active.revision
            page = await self._fetch(
                peer, f"{CHANGES_PATH}?after={before}", messages.Changes
            )
            if page.needs_snapshot:
                try:
                    await self._pull_snapshot(peer)
                except _SnapshotReplacedError:
                    continue
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
            if response.status == http.HTTPStatus.CONFLICT:
                raise _SnapshotReplacedError(path)
            response.raise_for_status()
            return codec.decode(
                await body_io.read_whole_response(response), kind
            )

    async def handle_changes(self, request: web.BaseRequest) -> web.Response:
        """Serve the changes after a revision to a peer that is behind."""
        after = _read_number(request, "after")
        return _reply(self._active.list_changes(after))

    async def handle_snapshot(self, request: web.BaseRequest) -> web.Response:
        """Serve one part of a snapshot to a peer.

        The first part is always that of the active revision. The others are
        retained for a few revisions, so that a peer can fetch all of them
        while the configuration changes.
        """
        position = _read_number(request, "position")
        if position:
            revision = _read_number(request, "revision")
            parts = self._snapshots.get(revision, ())
        else:
            parts = self._retain_snapshot()
        if not parts:
            return web.Response(status=http.HTTPStatus.CONFLICT)
        if position >= len(parts):
            return web.Response(status=http.HTTPStatus.NOT_FOUND)
        return _reply(parts[position])

    def _retain_snapshot(self) -> tuple[messages.Part, ...]:
        """Return the parts of the active revision, and retain them."""
        revision = self._active.revision
        if revision not in self._snapshots:
            self._snapshots[revision] = snapshots.split(
                self._active.configuration, part_bytes=_MAX_PART_BYTES
            )
        while len(self._snapshots) > _RETAINED_SNAPSHOTS:
            del self._snapshots[next(iter(self._snapshots))]
        return self._snapshots[revision]


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
