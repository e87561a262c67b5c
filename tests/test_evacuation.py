"""Evacuations and slow start, through daemons as on the users' platform."""

import asyncio
from collections import abc
import itertools

import pytest_asyncio

from burdockdeal.core import call
from burdockdeal.core import codec
from burdockdeal.core import headers
from burdockdeal.serving import messages
from burdockdeal_standins import fleet as standins
from burdockdeal_standins import platform_fleet

_BOUND_S = 5.0

#: An attempt's id is never used twice, or it would be refused for that.
_NUMBERS = itertools.count()


@pytest_asyncio.fixture
async def platform(
    fleet: standins.Fleet,
) -> abc.AsyncIterator[platform_fleet.PlatformFleet]:
    async with platform_fleet.PlatformFleet(fleet) as running:
        running.has_evacuations = True
        running.service_terms = {"coldPerS": 5.5}
        await running.configure(1)
        for name, domain in (("a1", "a"), ("b1", "b")):
            await running.add(name, domain)
            await running.send_heartbeat(name, 1)
        for name in running.places:
            await running.wait_until_served(name)
        yield running


async def ask_all(
    platform: platform_fleet.PlatformFleet,
) -> set[tuple[int, str]]:
    """Send requests to each daemon; return statuses and responses."""
    return {
        await platform.ask(name, f"ask-{next(_NUMBERS)}")
        for _ in range(10)
        for name in platform.places
    }


async def wait_for(
    platform: platform_fleet.PlatformFleet,
    label: str,
    expected: set[tuple[int, str]],
) -> None:
    """Wait until requests to each daemon have some results, in the bound."""

    async def has_results() -> bool:
        return await ask_all(platform) == expected

    await platform.fleet.wait_until(has_results, label, within_s=_BOUND_S)


async def send_to_owner(
    platform: platform_fleet.PlatformFleet, name: str
) -> str | None:
    """Send a call as an entry does that doesn't know of an evacuation.

    :returns: the reason of its refusal.
    """
    settings = platform.places[name].settings
    work = call.Call("stale", platform_fleet.SERVICE, "p1-500", 1.0)
    envelope = call.build_envelope(work, name, 1000, 1, 0.0)
    async with platform.fleet.session.post(
        f"http://{settings.listen.peer}/shop/1",
        headers={
            headers.PEER_TOKEN: settings.peer_token,
            headers.ENVELOPE: codec.encode_compact(envelope).decode(),
        },
    ) as response:
        report = response.headers[headers.REPORT]
        return codec.decode_compact(report, messages.OwnerReport).reason


async def test_an_evacuated_domain_gets_no_request(
    platform: platform_fleet.PlatformFleet,
) -> None:
    """Its daemon stays ready, also after a restart, and others serve."""
    from_a, refused = {(200, "i-a1")}, {(503, "NO_INSTANCE\n")}
    first = await platform.write_entry("op/evacuate/b", b"{}")
    await platform.write_entry("op/evacuate/ odd", b"{}")
    await wait_for(platform, "b", from_a)
    assert await ask_all(platform) == from_a
    assert await send_to_owner(platform, "b1") == "EVACUATED"
    operator = platform.places["b1"].settings.listen.operator
    async with platform.fleet.session.get(
        f"http://{operator}/api/readiness"
    ) as response:
        assert response.status == 200
    await platform.kill_daemon("b1")
    await platform.start_daemon("b1")
    await platform.send_heartbeat("b1", 2)
    await platform.wait_until_served("b1")
    assert await ask_all(platform) == from_a
    second = await platform.write_entry("op/evacuate/a", b"{}")
    await wait_for(platform, "last", refused)
    await platform.delete_entry("op/evacuate/b", first)
    await platform.delete_entry("op/evacuate/a", second)
    await wait_for(platform, "both", from_a | {(200, "i-b1")})
    assert "event=evacuations_active" in platform.fleet.read_log("a1")
    assert "event=evacuation_key_ignored" in platform.fleet.read_log("a1") + (
        platform.fleet.read_log("b1")
    )


async def test_a_cold_upstream_is_paced(
    platform: platform_fleet.PlatformFleet,
) -> None:
    """Its health checks say that it is cold, between two heartbeats."""
    for place in platform.places.values():
        place.worker.cold_ms = 60_000
    # Each daemon learns of it from the health check of a request.
    await ask_all(platform)
    for place in platform.places.values():
        place.worker.runs.clear()
    for burst in range(12):
        await asyncio.gather(
            *(
                platform.ask(name, f"cold-{name}-{burst}-{number}")
                for number in range(10)
                for name in platform.places
            )
        )
        await asyncio.sleep(0.25)
    for place in platform.places.values():
        starts = [run.at for run in place.worker.runs]
        assert len(starts) <= 5 * (1 + max(starts) - min(starts))
