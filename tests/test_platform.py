"""Daemons as on the users' platform: routes, origins, restarts, versions."""

import asyncio
from collections import abc

import pytest_asyncio

from burdockdeal_standins import fleet as standins
from burdockdeal_standins import platform_fleet

#: Seconds within which a version is in force at all daemons.
_APPLY_S = 2.0


@pytest_asyncio.fixture
async def platform(
    fleet: standins.Fleet,
) -> abc.AsyncIterator[platform_fleet.PlatformFleet]:
    async with platform_fleet.PlatformFleet(fleet) as running:
        await running.configure(1)
        for name, domain in (("a1", "a"), ("b1", "b")):
            await running.add(name, domain)
            await running.send_heartbeat(name, 1)
        for name in running.places:
            await running.wait_until_served(name)
        yield running


def list_runs(
    platform: platform_fleet.PlatformFleet, prefix: str
) -> list[platform_fleet.Run]:
    """List the runs of requests whose id starts with a prefix."""
    return [
        run
        for place in platform.places.values()
        for run in place.worker.runs
        if run.attempt_id.startswith(prefix)
    ]


async def test_an_upstream_learns_the_true_origin_of_a_request(
    platform: platform_fleet.PlatformFleet,
) -> None:
    """What the client claims about origin and target is not passed on."""
    status, _ = await platform.ask(
        "a1", "forged", Caller_Service="admin", Target_Instance="i-other"
    )
    assert status == 200
    (run,) = list_runs(platform, "forged")
    assert run.head.values("Caller-Service") == [platform_fleet.SERVICE]
    (target,) = run.head.values("Target-Instance")
    assert target in ("i-a1", "i-b1")
    (deadline_ms,) = run.head.values("Deadline-Ms")
    assert 0 < int(deadline_ms) <= 3000
    assert run.head.start_line == "POST /shop/1 HTTP/1.1"


async def test_a_request_runs_only_where_its_route_leads(
    platform: platform_fleet.PlatformFleet,
) -> None:
    """No upstream of the route's new service is known."""
    await platform.configure(2, service="elsewhere")
    number = 0

    async def is_refused() -> bool:
        nonlocal number
        number += 1
        return (await platform.ask("a1", f"probe-{number}"))[0] != 200

    await platform.fleet.wait_until(is_refused, "the new route is in force")
    status, _ = await platform.ask("a1", "routed")
    assert status in (404, 503)
    assert not list_runs(platform, "routed")


async def test_an_upstream_that_left_is_not_used_after_a_restart(
    platform: platform_fleet.PlatformFleet,
) -> None:
    """Its last heartbeat before the departure arrives late.

    The daemon that acknowledged the departure was killed meanwhile. The
    other upstream serves all requests.
    """
    assert await platform.send_heartbeat("b1", 5) == 200
    platform.places["b1"].worker.is_healthy = False
    assert await platform.deregister("b1") == 200
    await platform.kill_daemon("b1")
    await platform.start_daemon("b1")
    await platform.send_heartbeat("b1", 4)
    await platform.wait_until_served("b1")
    for number in range(20):
        status, body = await platform.ask("b1", f"after-{number}")
        assert (status, body) == (200, "i-a1")


async def test_a_late_heartbeat_revives_no_upstream_found_after_a_restart(
    platform: platform_fleet.PlatformFleet,
) -> None:
    """Guards against requests at an upstream after its acknowledged leaving.

    The daemon that is started again knows the upstream from its health check
    only, not the time of its start.
    """
    await platform.kill_daemon("b1")
    await platform.start_daemon("b1")
    await platform.wait_until_served("b1")
    number = 0

    async def is_used() -> bool:
        nonlocal number
        number += 1
        return (await platform.ask("b1", f"found-{number}"))[1] == "i-b1"

    await platform.fleet.wait_until(is_used, "the upstream is found")
    platform.places["b1"].worker.is_healthy = False
    assert await platform.deregister("b1") == 200
    for sequence in (5, 6):
        await platform.send_heartbeat("b1", sequence)
        for number in range(10):
            status, body = await platform.ask(
                "b1", f"left-{sequence}-{number}"
            )
            assert (status, body) == (200, "i-a1")


async def test_a_configuration_is_in_force_again_after_a_restart(
    platform: platform_fleet.PlatformFleet,
) -> None:
    """All daemons are killed right after a change, and start again."""
    await platform.configure(7, pathPrefix="/other/")
    for name in platform.places:
        await platform.kill_daemon(name)
    for name in platform.places:
        await platform.start_daemon(name)
    number = 0

    async def is_new() -> bool:
        nonlocal number
        number += 1
        status, _ = await platform.ask("a1", f"check-{number}")
        assert status in (404, 503)
        return status == 404

    await platform.fleet.wait_until(is_new, "the configuration is known")
    assert not list_runs(platform, "check")


async def test_a_frozen_owner_holds_no_request_beyond_its_timeout(
    platform: platform_fleet.PlatformFleet,
) -> None:
    """Guards against unsafe requests without an answer in time.

    The owner was asked for the fate of a send that it had not answered, with
    no regard for the time that the request had left.
    """
    timeout_s = 0.8
    await platform.configure(2, timeoutMs=int(timeout_s * 1000))
    loop = asyncio.get_running_loop()
    waits = []

    async def ask(attempt_id: str) -> int:
        started = loop.time()
        status, _ = await platform.ask("a1", attempt_id)
        waits.append(loop.time() - started)
        return status

    async def ask_several(label: str) -> set[int]:
        return set(
            await asyncio.gather(
                *(ask(f"{label}-{number}") for number in range(8))
            )
        )

    async def is_changed() -> bool:
        log = platform.fleet.read_log("a1")
        return "configuration_activated revision=2" in log

    await platform.fleet.wait_until(is_changed, "the timeout is in force")
    # The clock of the owner is known from its latest responses.
    assert await ask_several("calm") == {200}
    with platform.pause_daemon("b1"):
        assert 504 in await ask_several("frozen")
    assert max(waits) < timeout_s + 0.5


async def test_an_odd_entry_of_another_writer_ends_no_daemon(
    platform: platform_fleet.PlatformFleet,
) -> None:
    """Guards against daemons that end while they read, after each start."""
    nested = b"[" * 100_000 + b"]" * 100_000
    host = b'{"contacts":[{"daemon":"x","peer":{"host":"a..b","port":1}}]}'
    await platform.write_entry("op-members/x", b'{"odd":' + nested + b"}")
    await platform.write_entry("op-members/y", host)
    await platform.write_entry("op-profiles", b'{"odd":' + nested + b"}")
    for name in platform.places:
        await platform.kill_daemon(name)
    for name in platform.places:
        await platform.start_daemon(name)
    for name in platform.places:
        await platform.wait_until_served(name)
    await asyncio.sleep(3)
    for name in platform.places:
        status, _ = await platform.ask(name, f"after-{name}")
        assert status == 200
        assert "event=daemon_crashed" not in platform.fleet.read_log(name)


async def test_a_calm_fleet_calls_the_store_less_than_once_a_second(
    platform: platform_fleet.PlatformFleet,
) -> None:
    await asyncio.sleep(3)
    before = await platform.fleet.read_store_counts()
    await asyncio.sleep(4)
    after = await platform.fleet.read_store_counts()
    calls = sum(
        getattr(after, kind) - getattr(before, kind)
        for kind in ("reads", "writes", "watches", "leases")
    )
    assert calls <= 4
