"""Requests that come just after the start of a daemon."""

import asyncio

import pytest

from burdockdeal.serving import startup
from burdockdeal_standins import clocks


async def test_a_request_goes_on_as_soon_as_what_it_needs_is_known(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(startup, "STARTUP_WAIT_S", 1000.0)
    known: list[str] = []
    start = startup.StartupGate(clocks.Clock())
    waiting = asyncio.create_task(start.wait_for(lambda: bool(known)))
    await asyncio.sleep(0)
    start.notify_change()
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert not waiting.done()
    known.append("instance")
    start.notify_change()
    async with asyncio.timeout(20):
        await waiting


async def test_a_request_waits_no_longer_than_the_daemon_is_young() -> None:
    clock = clocks.Clock()
    start = startup.StartupGate(clock)
    clock.now += startup.STARTUP_WAIT_S - 0.02
    async with asyncio.timeout(20):
        await start.wait_for(lambda: False)


async def test_nothing_waits_once_the_daemon_is_no_longer_young() -> None:
    clock = clocks.Clock()
    start = startup.StartupGate(clock)
    clock.now += startup.STARTUP_WAIT_S
    # A coroutine that never waits ends at its first step.
    with pytest.raises(StopIteration):
        start.wait_for(lambda: False).send(None)
