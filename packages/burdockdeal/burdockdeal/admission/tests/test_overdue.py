"""Calls that go on waiting when their target has passed."""

import asyncio
import dataclasses

import pytest

from burdockdeal.admission import controller
from burdockdeal.admission import queue
from burdockdeal.admission import state
from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal_standins import virtual

LOOKUP = state.RankPolicy("lookup", 1, 1.0, 0.05, 0.0, late_share=0.5)
URGENT = state.RankPolicy("urgent", 0, 9.0, 0.05, 0.0, late_share=0.5)
DEADLINE_S = 1.0
ONE_SLOT = state.Capacity(1, 1, 64)


def make_waiter(number: int, arrived: float) -> queue.Waiter:
    turn = asyncio.get_running_loop().create_future()
    ticket = state.Ticket(number, LOOKUP, arrived, arrived + DEADLINE_S)
    return queue.Waiter(ticket, turn)


async def test_calls_in_time_go_before_overdue_ones() -> None:
    line = queue.Queue()
    for number, arrived in enumerate((0.0, 0.01, 0.2, 0.21)):
        line.push(make_waiter(number, arrived))
    assert not line.is_overdue(0.1)
    order = [
        line.pop_first(uploads=True, now=0.1).ticket.number for _ in range(4)
    ]
    assert order == [2, 3, 0, 1]


async def test_an_overdue_call_that_left_is_not_started() -> None:
    line = queue.Queue()
    first, second = make_waiter(1, 0.0), make_waiter(2, 0.01)
    line.push(first)
    line.push(second)
    assert line.is_overdue(0.5)
    assert line.discard(first.ticket) is first
    assert line.pop_first(uploads=True, now=0.5) is second
    assert not len(line)


class Session:
    """Calls at a gate with one slot, in the loop's own time."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.gate = controller.AdmissionController(
            self.loop.time, lambda: ONE_SLOT
        )
        self.started: list[str] = []

    async def call(
        self, name: str, terms: state.RankPolicy, at: float, service_s: float
    ) -> str:
        await asyncio.sleep(at)
        deadline = self.loop.time() + DEADLINE_S
        try:
            async with self.gate.hold_slot(terms, deadline):
                self.started.append(name)
                await asyncio.sleep(service_s)
        except errors.NotRunError as error:
            return error.reason
        return "RAN"


def test_an_overdue_call_gets_the_slot_that_none_in_time_asks_for() -> None:
    async def play() -> None:
        session = Session()
        ends = await asyncio.gather(
            session.call("first", LOOKUP, 0.0, 0.2),
            session.call("overdue", LOOKUP, 0.01, 0.1),
            session.call("in time", LOOKUP, 0.19, 0.1),
        )
        assert ends == ["RAN", "RAN", "RAN"]
        assert session.started == ["first", "in time", "overdue"]

    virtual.run(play())


def test_an_urgent_overdue_call_lets_one_in_time_go_first() -> None:
    async def play() -> None:
        session = Session()
        await asyncio.gather(
            session.call("first", LOOKUP, 0.0, 0.2),
            session.call("overdue", URGENT, 0.01, 0.1),
            session.call("in time", LOOKUP, 0.19, 0.1),
        )
        assert session.started == ["first", "in time", "overdue"]

    virtual.run(play())


async def wait_in_vain(terms: state.RankPolicy) -> float:
    """Measure how long a call waits for a slot that never comes free."""
    session = Session()
    holding = asyncio.ensure_future(session.call("first", LOOKUP, 0.0, 5.0))
    await asyncio.sleep(0.01)
    began = session.loop.time()
    ended = await session.call("waiting", terms, 0.0, 0.1)
    assert ended == verdict.Reason.TARGET_MISSED
    holding.cancel()
    return session.loop.time() - began


def test_its_wait_ends_with_its_share_of_the_time_to_its_deadline() -> None:
    waited_s = virtual.run(wait_in_vain(LOOKUP))
    allowed_s = LOOKUP.late_share * DEADLINE_S
    assert waited_s == pytest.approx(allowed_s, abs=0.01)


def test_without_a_share_it_is_refused_at_its_target() -> None:
    strict = dataclasses.replace(LOOKUP, late_share=0.0)
    waited_s = virtual.run(wait_in_vain(strict))
    assert waited_s == pytest.approx(strict.target_s, abs=0.01)
