"""The store's client, tested against a stand-in with fault injection."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import socket

from aiohttp import test_utils
from aiohttp import web
import pytest

from burdockdeal.core import errors
from burdockdeal.daemon import sockets
from burdockdeal.platform import messages
from burdockdeal.platform import store
from burdockdeal.settings import model
from burdockdeal_standins import store as standin


@contextlib.asynccontextmanager
async def connect(
    app: web.Application,
) -> abc.AsyncIterator[store.StoreClient]:
    async with test_utils.TestServer(app) as server:
        address = model.Address("127.0.0.1", server.port)
        async with store.StoreClient(address) as client:
            yield client


@contextlib.asynccontextmanager
async def run_store() -> abc.AsyncIterator[
    tuple[store.StoreClient, standin.StoreState]
]:
    data = standin.StoreState()
    async with connect(standin.build_app(data)) as client:
        yield client, data


def set_faults(data: standin.StoreState, **faults: object) -> None:
    data.faults = dataclasses.replace(standin.Faults(), **faults)


async def test_a_written_key_is_read_and_deleted_by_version() -> None:
    async with run_store() as (client, _):
        assert await client.get("a/b") is None
        version = await client.put("a/b", "é", version=messages.ABSENT)
        entry = await client.get("a/b")
        assert (entry.value, entry.version) == ("é", version)
        await client.delete("a/b", version=version)
        assert await client.get("a/b") is None


async def test_a_conflict_reports_the_current_version() -> None:
    async with run_store() as (client, _):
        version = await client.put("a", "1", version=messages.ABSENT)
        with pytest.raises(errors.StoreConflictError) as raised:
            await client.put("a", "2", version=messages.ABSENT)
        assert raised.value.version == version
        with pytest.raises(errors.StoreConflictError) as raised:
            await client.put("b", "2", version=version)
        assert raised.value.version == messages.ABSENT


async def test_a_write_whose_answer_is_lost_is_uncertain() -> None:
    async with run_store() as (client, data):
        set_faults(data, lose_answers=1)
        with pytest.raises(errors.StoreUncertainError):
            await client.put("a", "1", version=messages.ABSENT)
        assert (await client.get("a")).value == "1"


async def test_a_write_during_an_outage_has_no_effect() -> None:
    async with run_store() as (client, data):
        set_faults(data, outage=True)
        with pytest.raises(errors.StoreUnavailableError):
            await client.put("a", "1", version=messages.ABSENT)
        set_faults(data)
        assert await client.get("a") is None
        assert client.failure_streak.since is None


@pytest.mark.parametrize("status", [429, 503])
async def test_a_refused_call_is_reported_as_unavailable(
    status: int,
) -> None:
    async def refuse(request: web.Request) -> web.Response:
        return web.Response(status=status)

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", refuse)
    async with connect(app) as client:
        with pytest.raises(errors.StoreUnavailableError):
            await client.put("a", "1", version=messages.ABSENT)
        with pytest.raises(errors.StoreUnavailableError):
            await client.watch("a", after=messages.Version(0, 1), wait_s=0.1)


async def test_an_invalid_answer_is_uncertain() -> None:
    async def send_invalid_json(request: web.Request) -> web.Response:
        return web.Response(text="{")

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", send_invalid_json)
    async with connect(app) as client:
        with pytest.raises(errors.StoreUncertainError):
            await client.get("a")


async def test_a_watch_returns_newer_entries() -> None:
    async with run_store() as (client, _):
        version = await client.put("a/1", "1", version=messages.ABSENT)
        pending_watch = asyncio.ensure_future(
            client.watch("a/", after=version, wait_s=5)
        )
        await asyncio.sleep(0.05)
        await client.put("b/1", "other", version=messages.ABSENT)
        await client.put("a/2", "2", version=messages.ABSENT)
        listing = await pending_watch
        assert [entry.key for entry in listing.entries] == ["a/2"]
        empty = await client.watch("a/", after=listing.version, wait_s=0.1)
        assert not empty.entries


async def test_a_watch_past_the_history_lists_the_current_entries() -> None:
    async with run_store() as (client, data):
        version = await client.put("a/1", "1", version=messages.ABSENT)
        await client.put("a/1", "2", version=version)
        data.compact()
        listing = await client.watch("a/", after=version, wait_s=0.1)
        assert [entry.value for entry in listing.entries] == ["2"]


async def test_a_listing_is_read_page_by_page() -> None:
    async with run_store() as (client, _):
        keys = [f"a/{number:04d}" for number in range(620)]
        for key in keys:
            await client.put(key, "x", version=messages.ABSENT)
        listing = await client.list("a/")
        assert [entry.key for entry in listing.entries] == keys
        rest = await client.list("a/", after="a/0616", limit=2)
        assert [entry.key for entry in rest.entries] == ["a/0617", "a/0618"]


@pytest.mark.parametrize(
    "items",
    [
        [],
        [{"key": "a/1", "revision": 1}],
        [{"key": "a/1", "revision": 1}, {"key": "a/0", "revision": 1}],
    ],
)
async def test_a_listing_whose_pages_lead_nowhere_is_refused(
    items: list[dict[str, object]],
) -> None:
    """An empty page that announces another one ended the daemon.

    One that announces the same page again was read for ever.
    """

    async def handle(request: web.Request) -> web.Response:
        assert request.query.get("after", "") in ("", "a/1", "a/0")
        return web.json_response(
            {"storeRevision": 1, "items": items, "morePages": True}
        )

    app = web.Application()
    app.router.add_get("/api/kv-range", handle)
    async with connect(app) as client, asyncio.timeout(5):
        with pytest.raises(errors.StoreUncertainError):
            await client.list("a/")


async def test_a_key_expires_with_its_lease() -> None:
    async with run_store() as (client, _):
        lease = await client.grant(0.2)
        await client.put(
            "a", "1", version=messages.ABSENT, lease=lease.lease_id
        )
        assert await client.renew(lease.lease_id)
        await asyncio.sleep(0.4)
        assert await client.get("a") is None
        assert not await client.renew(lease.lease_id)
        with pytest.raises(errors.StoreLeaseError):
            await client.put(
                "a", "1", version=messages.ABSENT, lease=lease.lease_id
            )


async def test_values_that_are_not_base64_or_utf8_are_still_listed() -> None:
    async with run_store() as (client, data):
        data.commit(
            standin.wire.Transaction(
                puts=(
                    standin.wire.Put("a", "//8="),
                    standin.wire.Put("b", "no base64"),
                )
            )
        )
        listing = await client.list("")
        assert [entry.key for entry in listing.entries] == ["a", "b"]


async def test_a_watch_on_a_silent_connection_is_noticed() -> None:
    """A connection may go silent without a reset while new ones work.

    A watch on it would wait for its whole time. The kernel notices if the
    connection is kept alive.
    """
    watched = asyncio.Event()

    async def stay_silent(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        watched.set()
        await reader.read()

    server = await asyncio.start_server(stay_silent, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    created: list[socket.socket] = []
    make_socket = sockets.make_socket_factory("127.0.0.1")

    def create_socket(info: tuple) -> socket.socket:
        created.append(make_socket(info))
        return created[-1]

    client = store.StoreClient(
        model.Address("127.0.0.1", port), socket_factory=create_socket
    )
    async with client:
        watch = asyncio.ensure_future(
            client.watch(
                "op/config", after=messages.Version(0, 1), wait_s=25.0
            )
        )
        await asyncio.wait_for(watched.wait(), 5)
        (used,) = created
        assert used.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
        probes = used.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT)
        interval_s = used.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
        idle_s = used.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
        assert idle_s + probes * interval_s <= 5
        watch.cancel()
    server.close()
