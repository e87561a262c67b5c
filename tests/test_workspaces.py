"""Workspaces and their keys, through daemons as on the users' platform."""

import asyncio
from collections import abc

import pytest
import pytest_asyncio

from burdockdeal_standins import fleet as standins
from burdockdeal_standins import platform_fleet

_FIRST = {"name": "first", "apiKeys": ["key-1", "key-2"]}
_SECOND = {"name": "second", "apiKeys": ["key-3"]}


@pytest_asyncio.fixture
async def platform(
    fleet: standins.Fleet,
) -> abc.AsyncIterator[platform_fleet.PlatformFleet]:
    async with platform_fleet.PlatformFleet(fleet) as running:
        running.tenants = (_FIRST, _SECOND)
        await running.configure(1, allowAnonymous=True)
        for name, domain in (("a1", "a"), ("b1", "b")):
            await running.add(name, domain)
            await running.send_heartbeat(name, 1)
        for name in running.places:
            await running.wait_until_served(name)
        await running.configure(2)
        await wait_for_status(running, 401, Authorization="Bearer none")
        yield running


async def wait_for_status(
    platform: platform_fleet.PlatformFleet, expected: int, **headers: str
) -> None:
    """Wait until all daemons answer requests with a status."""
    number = 0

    async def has_status() -> bool:
        nonlocal number
        number += 1
        statuses = {
            (await platform.ask(name, f"wait-{number}-{name}", **headers))[0]
            for name in platform.places
        }
        return statuses == {expected}

    await platform.fleet.wait_until(has_status, f"all answer {expected}")


@pytest.mark.parametrize(
    ("key", "workspace"), [("key-2", "first"), ("key-3", "second")]
)
async def test_an_upstream_gets_the_workspace_and_never_the_key(
    platform: platform_fleet.PlatformFleet, key: str, workspace: str
) -> None:
    """A key that reached an upstream could be used in the caller's name."""
    status, _ = await platform.ask(
        "a1", "own", Authorization=f"Bearer {key}", Tenant="forged"
    )
    assert status == 200
    (head,) = (
        run.head
        for place in platform.places.values()
        for run in place.worker.runs
        if run.attempt_id == "own"
    )
    assert head.values("Tenant") == [workspace]
    assert not head.values("Authorization")
    assert key not in str(head)


@pytest.mark.parametrize(
    "value", ["", "Bearer", "Bearer none", "Basic key-1", "key-1"]
)
async def test_a_request_without_a_known_key_does_not_run(
    platform: platform_fleet.PlatformFleet, value: str
) -> None:
    status, _ = await platform.ask("a1", "unknown", Authorization=value)
    assert status == 401
    assert not any(
        run.attempt_id == "unknown"
        for place in platform.places.values()
        for run in place.worker.runs
    )


async def test_a_withdrawn_key_stops_on_a_kept_connection(
    platform: platform_fleet.PlatformFleet,
) -> None:
    """The client of this test keeps its connections open."""
    headers = {"Authorization": "Bearer key-1"}
    assert (await platform.ask("a1", "before", **headers))[0] == 200
    platform.tenants = ({**_FIRST, "apiKeys": ["key-2"]}, _SECOND)
    await platform.configure(3)
    await wait_for_status(platform, 401, **headers)
    status, _ = await platform.ask("a1", "left", Authorization="Bearer key-2")
    assert status == 200


async def test_no_log_line_contains_a_key(
    platform: platform_fleet.PlatformFleet,
) -> None:
    await platform.ask("a1", "logged", Authorization="Bearer key-1")
    await platform.ask("a1", "refused", Authorization="Bearer key-unknown")
    # The parser's error quotes the malformed line.
    caller = platform.places["a1"].caller
    reader, writer = await asyncio.open_connection(caller.host, caller.port)
    writer.write(
        b"GET /shop/1 HTTP/1.1\r\nHost: shop.example\r\n"
        b"Authorization: Bearer key-\x001 key-unknown\r\n\r\n"
    )
    assert b" 400 " in await reader.readline()
    writer.close()
    assert "logged" in platform.fleet.read_log("a1")
    for name in platform.places:
        assert "key-1" not in platform.fleet.read_log(name)
        assert "key-unknown" not in platform.fleet.read_log(name)
