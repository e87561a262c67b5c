"""Fetching the configuration from a peer while it changes."""

from collections import abc
import contextlib
import types

import aiohttp
from aiohttp import web
import pytest

from burdockdeal.configuration import active_configuration
from burdockdeal.configuration import peers
from burdockdeal.configuration import resources
from burdockdeal.configuration import state
from burdockdeal.settings import model
from burdockdeal_standins import ports

#: Enough for a snapshot of several parts.
_LARGE = 3000

Hook = abc.Callable[[str], abc.Awaitable[None]]


def build_configuration(
    revision: int, count: int = _LARGE
) -> state.Configuration:
    return state.Configuration(
        revision,
        types.MappingProxyType(
            {
                state.Key("Service", f"service-{number}"): resources.Resource(
                    kind="Service",
                    name=f"service-{number}",
                    generation=revision,
                    spec=resources.Service(),
                    changed_by="test",
                    changed_at_ms=0,
                )
                for number in range(count)
            }
        ),
    )


class Peer:
    """A peer whose configuration the test changes.

    :param session: the HTTP session for requests to other daemons.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.active = active_configuration.ActiveConfiguration()
        self.address = model.Address("127.0.0.1", ports.free_port())
        #: Called before each request is handled.
        self.before_request: Hook | None = None
        #: Called after a response is built, before it is sent.
        self.after_request: Hook | None = None
        settings = types.SimpleNamespace(peer_token="token-of-the-fleet")
        self.sync = peers.PeerSync(settings, self.active, session)

    @contextlib.asynccontextmanager
    async def serve(self) -> abc.AsyncIterator[None]:
        """Serve other daemons while in use."""
        handlers = {
            peers.CHANGES_PATH: self.sync.handle_changes,
            peers.SNAPSHOT_PATH: self.sync.handle_snapshot,
        }

        async def handle(request: web.Request) -> web.Response:
            if self.before_request is not None:
                await self.before_request(request.path_qs)
            response = await handlers[request.path](request)
            if self.after_request is not None:
                await self.after_request(request.path_qs)
            return response

        app = web.Application()
        app.router.add_get("/{path:.*}", handle)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, self.address.host, self.address.port).start()
        try:
            yield
        finally:
            await runner.cleanup()


@pytest.fixture
async def pair() -> abc.AsyncIterator[tuple[Peer, Peer]]:
    """Return a peer that serves and one that fetches from it."""
    async with aiohttp.ClientSession() as session:
        source, follower = Peer(session), Peer(session)
        async with source.serve(), follower.sync:
            yield source, follower


async def wait_for_revision(peer: Peer, revision: int) -> None:
    # Less than the time for which snapshots were kept.
    await peer.active.wait_for_revision(revision - 1, 2.0)
    assert peer.active.revision == revision


async def test_each_change_of_a_large_configuration_is_served_at_once(
    pair: tuple[Peer, Peer],
) -> None:
    """Guards against a change that arrives seconds late.

    A snapshot of several parts was kept for all peers for seconds, so that
    they got the older revision although they had been told of a newer one.
    """
    source, follower = pair
    for revision in (1, 2, 5, 6):
        source.active.apply_snapshot(build_configuration(revision))
        follower.sync.pull_from(source.address)
        await wait_for_revision(follower, revision)


async def test_a_snapshot_is_fetched_whole_while_newer_ones_are_served(
    pair: tuple[Peer, Peer],
) -> None:
    """The peer that is half-way through gets the parts of one revision."""
    source, follower = pair
    source.active.apply_snapshot(build_configuration(1))
    other = Peer(follower.sync._session)

    async def change(path: str) -> None:
        if path.startswith(peers.SNAPSHOT_PATH) and "position=1" in path:
            source.before_request = None
            source.active.apply_snapshot(build_configuration(2))
            async with other.sync:
                other.sync.pull_from(source.address)
                await wait_for_revision(other, 2)

    source.before_request = change
    follower.sync.pull_from(source.address)
    await wait_for_revision(follower, 1)


async def test_a_fetch_starts_over_if_its_snapshot_is_not_retained(
    pair: tuple[Peer, Peer],
) -> None:
    """The configuration changes faster than a peer fetches it."""
    source, follower = pair
    source.active.apply_snapshot(build_configuration(1))

    async def change(path: str) -> None:
        if path.startswith(peers.SNAPSHOT_PATH) and "position=1" in path:
            source.before_request = None
            for revision in range(2, 8):
                source.active.apply_snapshot(build_configuration(revision))
                source.sync._retain_snapshot()

    source.before_request = change
    follower.sync.pull_from(source.address)
    await wait_for_revision(follower, 7)


async def test_what_is_reported_during_a_fetch_is_fetched_after_it(
    pair: tuple[Peer, Peer],
) -> None:
    """Guards against a report of a newer revision that is forgotten."""
    source, follower = pair
    source.active.apply_snapshot(build_configuration(1, count=3))

    async def change(path: str) -> None:
        if path.startswith(peers.SNAPSHOT_PATH):
            source.after_request = None
            source.active.apply_snapshot(build_configuration(2, count=3))
            follower.sync.pull_from(source.address)

    source.after_request = change
    follower.sync.pull_from(source.address)
    await wait_for_revision(follower, 2)
