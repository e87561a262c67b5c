"""Odd messages must not advance the order of those that follow.

A heartbeat without a field was taken, and its sequence with it. The later
ones of the true upstream then counted as outdated, among them that it drains,
though each was acknowledged.
"""

import asyncio
import copy
import json
import typing

from aiohttp import test_utils
from aiohttp import web
import hypothesis
from hypothesis import strategies
import pytest

from burdockdeal.announce import api as announce
from burdockdeal.announce import state as announce_state
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.platform import configuration
from burdockdeal.platform import heartbeats
from burdockdeal.platform import store
from burdockdeal.platform import wire
from burdockdeal.settings import model
from burdockdeal_standins import clocks

_ADDRESS = model.Address("10.0.0.1", 80)
_DEPLOYMENT = model.Deployment(
    service="orders", upstream=_ADDRESS, metrics=model.Address("10.0.0.1", 81)
)
_HEARTBEAT = {
    "service": "orders",
    "address": "10.0.0.1:80",
    "zone": "here",
    "version": "v1",
    "slots": 9,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 4,
    "born": 1000,
}
_ODD_SEQUENCE = 400

#: Values of which at most one kind fits a field.
_ODD_VALUES = (None, True, "odd", 1.5, [], {}, [1], {"a": 1})

#: Seeded, so that CI always runs the same cases.
_SETTINGS = hypothesis.settings(derandomize=True, deadline=None)


def _fits(value: object, odd: object) -> bool:
    """Return whether a value has the type of another one in JSON."""
    if isinstance(value, bool) or isinstance(odd, bool):
        return type(value) is type(odd)
    if isinstance(value, int | float):
        return isinstance(odd, int | float)
    return type(value) is type(odd)


@strategies.composite
def odd_messages(
    draw: strategies.DrawFn, valid: dict[str, typing.Any]
) -> dict[str, typing.Any]:
    """Draw a message in which a field is missing or has another type.

    It has a further field, which a later version may add.
    """
    message = {**copy.deepcopy(valid), "added": draw(strategies.booleans())}
    name = draw(strategies.sampled_from(sorted(valid)))
    if draw(strategies.booleans()):
        del message[name]
        return message
    message[name] = draw(
        strategies.sampled_from(
            [odd for odd in _ODD_VALUES if not _fits(valid[name], odd)]
        )
    )
    return message


async def _play_heartbeats(odd: dict[str, typing.Any], name: str) -> None:
    tracker = announce.UpstreamTracker(clocks.Clock(50.0))
    receiver = heartbeats.HeartbeatReceiver(
        tracker, _DEPLOYMENT, is_confirmed=True
    )
    server = test_utils.TestServer(heartbeats.build_app(receiver))
    async with test_utils.TestClient(server) as client:

        async def put(sender: str, message: dict[str, typing.Any]) -> int:
            response = await client.put(
                f"/api/instances/{sender}", json=message
            )
            return response.status

        assert await put("i-1", _HEARTBEAT) == 200
        before = tracker.upstream
        assert await put(name, odd) == 400
        assert tracker.upstream == before
        assert await put("i-1", {**_HEARTBEAT, "sequence": 5}) == 200
        leaving = {**_HEARTBEAT, "sequence": 6, "state": "draining"}
        assert await put("i-1", leaving) == 200
        assert tracker.upstream.phase is announce_state.Phase.DRAINING


@_SETTINGS
@hypothesis.given(
    odd=odd_messages({**_HEARTBEAT, "sequence": _ODD_SEQUENCE}),
    name=strategies.sampled_from(["i-1", "i-2"]),
)
def test_an_odd_heartbeat_changes_nothing(
    odd: dict[str, typing.Any], name: str
) -> None:
    """It is refused, and the upstream drains when it says so."""
    asyncio.run(_play_heartbeats(odd, name))


_ROUTE = {
    "name": "all",
    "host": "shop.example",
    "pathPrefix": "/",
    "kind": "safe",
    "timeoutMs": 3000,
}
_DOCUMENT = {"version": "r9", "routes": [_ROUTE], "services": []}


@_SETTINGS
@hypothesis.given(odd_messages(_DOCUMENT))
def test_an_odd_configuration_has_no_version(
    odd: dict[str, typing.Any],
) -> None:
    """A version without routes would drop all of them."""
    with pytest.raises(codec.MalformedError):
        configuration.parse(json.dumps(odd))


@_SETTINGS
@hypothesis.given(odd_messages({**_ROUTE, "service": "orders"}))
def test_an_odd_route_has_no_version(odd: dict[str, typing.Any]) -> None:
    document = {**_DOCUMENT, "routes": [odd]}
    with pytest.raises(codec.MalformedError):
        configuration.parse(json.dumps(document))


_RESPONSES = {
    "get": {"key": "a", "revision": 4},
    "list": {"storeRevision": 4, "items": [], "morePages": False},
    "watch": {"storeRevision": 4, "events": []},
    "put": {"revision": 4},
}


async def _play_store(call: str, odd: dict[str, typing.Any]) -> None:
    async def respond(request: web.Request) -> web.Response:
        return web.json_response(odd, headers={wire.ERA_HEADER: "7"})

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", respond)
    eras: list[int] = []
    async with test_utils.TestServer(app) as server:
        address = model.Address("127.0.0.1", server.port)
        async with store.StoreClient(address) as client:
            client.on_new_era(eras.append)
            calls = {
                "get": lambda: client.get("a"),
                "list": lambda: client.list("a"),
                "watch": lambda: client.watch(
                    "a", after=client.absent_version, wait_s=1.0
                ),
                "put": lambda: client.put(
                    "a", "", version=client.absent_version
                ),
            }
            with pytest.raises(errors.PlatformError):
                await calls[call]()
            assert client.era == 0
    assert not eras


@pytest.mark.parametrize("call", _RESPONSES)
@_SETTINGS
@hypothesis.given(data=strategies.data())
def test_an_odd_response_of_the_store_has_no_era(
    call: str, data: strategies.DataObject
) -> None:
    """A new era makes the whole fleet write its records again."""
    odd = data.draw(odd_messages(_RESPONSES[call]))
    asyncio.run(_play_store(call, odd))
