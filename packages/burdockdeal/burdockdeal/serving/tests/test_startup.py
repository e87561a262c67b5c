"""Delay of requests that arrive just after a daemon's start."""

import asyncio

import pytest

from burdockdeal.serving import startup
from burdockdeal_standins import clocks


async def test_a_request_continues_as_soon_as_its_condition_holds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(startup, "STARTUP_WAIT_S", 1000.0)
    known: list[str] = []
    gate = startup.StartupGate(clocks.Clock())
    waiting = asyncio.create_task(gate.wait_for(lambda: bool(known)))
    await asyncio.sleep(0)
    gate.notify_change()
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert not waiting.done()
    known.append("instance")
    gate.notify_change()
    async with asyncio.timeout(20):
        await waiting


async def test_a_request_waits_at_most_until_the_startup_time_is_over() -> (
    None
):
    clock = clocks.Clock()
    gate = startup.StartupGate(clock)
    clock.now += startup.STARTUP_WAIT_S - 0.02
    async with asyncio.timeout(20):
        await gate.wait_for(lambda: False)


async def test_a_request_after_the_startup_time_does_not_wait() -> None:
    clock = clocks.Clock()
    gate = startup.StartupGate(clock)
    clock.now += startup.STARTUP_WAIT_S
    # A coroutine that never suspends ends at its first step.
    with pytest.raises(StopIteration):
        gate.wait_for(lambda: False).send(None)
