"""Calls that go on waiting after their target has passed."""

import asyncio
import dataclasses

import pytest

from burdockdeal.admission import controller
from burdockdeal.admission import queue
from burdockdeal.admission import state
from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal_standins import virtual_time

LOOKUP = state.RankPolicy("lookup", 1, 1.0, 0.05, 0.0, late_share=0.5)
URGENT = state.RankPolicy("urgent", 0, 9.0, 0.05, 0.0, late_share=0.5)
DEADLINE_S = 1.0
ONE_SLOT = state.Capacity(1, 1, 64)


def make_waiter(number: int, arrived_at: float) -> queue.Waiter:
    granted = asyncio.get_running_loop().create_future()
    request = state.AdmissionRequest(
        number, LOOKUP, arrived_at, arrived_at + DEADLINE_S
    )
    return queue.Waiter(request, granted)


async def test_calls_within_target_go_before_overdue_ones() -> None:
    waiting = queue.RankQueue()
    for number, arrived_at in enumerate((0.0, 0.01, 0.2, 0.21)):
        waiting.push(make_waiter(number, arrived_at))
    assert not waiting.is_overdue(0.1)
    order = [
        waiting.pop_first(uploads=True, now=0.1).request.number
        for _ in range(4)
    ]
    assert order == [2, 3, 0, 1]


async def test_an_overdue_call_that_was_discarded_is_not_started() -> None:
    waiting = queue.RankQueue()
    first, second = make_waiter(1, 0.0), make_waiter(2, 0.01)
    waiting.push(first)
    waiting.push(second)
    assert waiting.is_overdue(0.5)
    assert waiting.discard(first.request) is first
    assert waiting.pop_first(uploads=True, now=0.5) is second
    assert not len(waiting)


class Session:
    """Plays calls against a controller with one slot, in virtual time."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.controller = controller.AdmissionController(
            self.loop.time, lambda: ONE_SLOT
        )
        self.started: list[str] = []

    async def call(
        self, name: str, policy: state.RankPolicy, at: float, service_s: float
    ) -> str:
        await asyncio.sleep(at)
        deadline = self.loop.time() + DEADLINE_S
        try:
            async with self.controller.hold_slot(policy, deadline):
                self.started.append(name)
                await asyncio.sleep(service_s)
        except errors.NotRunError as error:
            return error.reason
        return "RAN"


def test_an_overdue_call_gets_a_slot_when_no_call_in_time_waits() -> None:
    async def play() -> None:
        session = Session()
        outcomes = await asyncio.gather(
            session.call("first", LOOKUP, 0.0, 0.2),
            session.call("overdue", LOOKUP, 0.01, 0.1),
            session.call("in time", LOOKUP, 0.19, 0.1),
        )
        assert outcomes == ["RAN", "RAN", "RAN"]
        assert session.started == ["first", "in time", "overdue"]

    virtual_time.run(play())


def test_an_urgent_overdue_call_goes_after_one_in_time() -> None:
    async def play() -> None:
        session = Session()
        await asyncio.gather(
            session.call("first", LOOKUP, 0.0, 0.2),
            session.call("overdue", URGENT, 0.01, 0.1),
            session.call("in time", LOOKUP, 0.19, 0.1),
        )
        assert session.started == ["first", "in time", "overdue"]

    virtual_time.run(play())


async def measure_wait_without_slot(policy: state.RankPolicy) -> float:
    """Measure how long a call waits for a slot that is never released.

    :returns: seconds.
    """
    session = Session()
    holding = asyncio.ensure_future(session.call("first", LOOKUP, 0.0, 5.0))
    await asyncio.sleep(0.01)
    started_at = session.loop.time()
    outcome = await session.call("waiting", policy, 0.0, 0.1)
    assert outcome == verdict.Reason.TARGET_MISSED
    holding.cancel()
    return session.loop.time() - started_at


def test_an_overdue_call_waits_for_its_share_of_the_deadline() -> None:
    waited_s = virtual_time.run(measure_wait_without_slot(LOOKUP))
    allowed_s = LOOKUP.late_share * DEADLINE_S
    assert waited_s == pytest.approx(allowed_s, abs=0.01)


def test_without_a_late_share_a_call_is_refused_at_its_target() -> None:
    strict = dataclasses.replace(LOOKUP, late_share=0.0)
    waited_s = virtual_time.run(measure_wait_without_slot(strict))
    assert waited_s == pytest.approx(strict.target_s, abs=0.01)
