"""Answers of the store that have no end.

A daemon read them whole until the call timed out.
"""

from aiohttp import test_utils
from aiohttp import web
import pytest

from burdockdeal.core import errors
from burdockdeal.platform import messages
from burdockdeal.platform import store
from burdockdeal.platform import store_session
from burdockdeal.settings import model
from burdockdeal_standins import floods
from burdockdeal_standins import ports

#: Bytes that the socket buffers of both sides may hold besides what the
#: client has read, on a loopback connection.
_SOCKET_BUFFER_BYTES = 16 * 1024 * 1024

#: Length of each page of a listing without end.
_PAGE_BYTES = 1_000_000


async def _list(client: store.StoreClient) -> None:
    await client.list("members/")


async def _get(client: store.StoreClient) -> None:
    await client.get("op/config")


async def _put(client: store.StoreClient) -> None:
    await client.put("a", "1", version=messages.ABSENT)


async def _watch(client: store.StoreClient) -> None:
    await client.watch("op/config", after=messages.Version(0, 1), wait_s=25.0)


@pytest.mark.parametrize("call", [_list, _get, _put, _watch])
@pytest.mark.parametrize("flood", floods.FLOODS)
async def test_an_answer_without_end_is_not_kept(flood: str, call) -> None:
    port = ports.free_port()
    address = model.Address(ports.HOST, port)
    async with (
        floods.run_flooding_server(
            ports.HOST, port, floods.FLOODS[flood]
        ) as server,
        store.StoreClient(address) as client,
    ):
        if flood == "responses after the response":
            # The first of them is read as the answer.
            with pytest.raises(errors.PlatformError):
                await call(client)
        else:
            with pytest.raises(errors.StoreUncertainError):
                await call(client)
        await server.wait_until_closed()
    assert server.floods
    limit = store_session.MAX_RESPONSE_BYTES + _SOCKET_BUFFER_BYTES
    assert server.kept_bytes < limit


async def test_a_listing_without_end_is_not_kept() -> None:
    """Each of its pages is valid, and leads to another one."""
    pages = 0

    async def handle(request: web.Request) -> web.Response:
        nonlocal pages
        pages += 1
        item = {
            "key": f"a/{pages:08d}",
            "revision": 1,
            "value": "A" * _PAGE_BYTES,
        }
        return web.json_response(
            {"storeRevision": 1, "items": [item], "morePages": True}
        )

    app = web.Application()
    app.router.add_get("/api/kv-range", handle)
    async with test_utils.TestServer(app) as server:
        address = model.Address("127.0.0.1", server.port)
        async with store.StoreClient(address) as client:
            with pytest.raises(errors.StoreUncertainError):
                await client.list("a/", limit=1_000_000)
    assert pages <= store.MAX_LISTING_BYTES / _PAGE_BYTES + 1
