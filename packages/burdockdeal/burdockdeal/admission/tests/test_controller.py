"""The admission controller under random arrivals, in virtual time."""

import asyncio
from collections import abc
import dataclasses
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from burdockdeal.admission import controller
from burdockdeal.admission import state
from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal_standins import virtual_time

URGENT = state.RankPolicy("tracking", 0, 100.0, 0.05, 0.2)
BOOKING = state.RankPolicy("booking", 1, 50.0, 0.5, 0.2)
UPLOAD = state.RankPolicy("upload", 2, 10.0, 30.0, 0.1)
BROWSE = state.RankPolicy("browse", 3, 1.0, 1.0, 0.1)
RANKS = (URGENT, BOOKING, UPLOAD, BROWSE)
SLOTS = 9
CAPACITY = state.Capacity(SLOTS, 3, 64)
SERVICE_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A call to play.

    :param at: seconds after the start of the session.
    :param service_s: how long it holds its slot.
    :param cancel_after_s: seconds after its arrival at which its caller
        cancels it, None if it doesn't.
    """

    at: float
    policy: state.RankPolicy
    service_s: float
    deadline_s: float = 10.0
    streamed: bool = False
    cancel_after_s: float | None = None


class Session:
    """Plays calls against one controller and records their outcomes."""

    def __init__(self, capacity: state.Capacity) -> None:
        self.loop = asyncio.get_running_loop()
        self.controller = controller.AdmissionController(
            self.loop.time, lambda: capacity
        )
        self.outcomes: list[str] = []
        self.log: list[str] = []
        self.held_s = dict.fromkeys((policy.name for policy in RANKS), 0.0)
        self.max_running = 0
        self.max_uploads = 0
        self.uploads = 0

    async def _call(self, call: Arrival) -> str:
        await asyncio.sleep(call.at)
        deadline = self.loop.time() + call.deadline_s
        try:
            async with self.controller.hold_slot(
                call.policy, deadline, streamed=call.streamed
            ):
                assert self.loop.time() < deadline
                self._log(call, "starts")
                self.max_running = max(
                    self.max_running, self.controller.running
                )
                self.uploads += call.streamed
                self.max_uploads = max(self.max_uploads, self.uploads)
                started = self.loop.time()
                try:
                    await asyncio.sleep(call.service_s)
                finally:
                    self.uploads -= call.streamed
                    held = self.loop.time() - started
                    self.held_s[call.policy.name] += held
                return "RAN"
        except errors.NotRunError as error:
            return error.reason.value

    async def _run(self, call: Arrival) -> None:
        task = asyncio.create_task(self._call(call))
        if call.cancel_after_s is not None:
            await asyncio.sleep(call.at + call.cancel_after_s)
            task.cancel()
        try:
            self.outcomes.append(await task)
        except asyncio.CancelledError:
            self.outcomes.append("GONE")
        self._log(call, self.outcomes[-1])

    def _log(self, call: Arrival, event: str) -> None:
        self.log.append(
            f"{self.loop.time() * 1000:7.2f} ms {call.policy.name}"
            f" of {call.at * 1000:.2f} ms {event};"
            f" {self.controller.running} run, {self.controller.waiting} wait"
        )

    async def play(self, calls: abc.Iterable[Arrival]) -> None:
        await asyncio.gather(*map(self._run, calls))


def play(
    calls: abc.Iterable[Arrival], capacity: state.Capacity = CAPACITY
) -> Session:
    async def main() -> Session:
        session = Session(capacity)
        await session.play(calls)
        return session

    return virtual_time.run(main())


ARRIVALS = strategies.lists(
    strategies.builds(
        Arrival,
        at=strategies.floats(0, 0.2),
        policy=strategies.sampled_from(RANKS),
        service_s=strategies.floats(0, 0.1),
        deadline_s=strategies.floats(0, 0.3),
        streamed=strategies.booleans(),
        cancel_after_s=strategies.none() | strategies.floats(0, 0.1),
    ),
    max_size=60,
)


@given(
    ARRIVALS,
    strategies.integers(1, 4),
    strategies.integers(1, 2),
    strategies.integers(1, 8),
)
@settings(derandomize=True, max_examples=150, deadline=None)
def test_limits_hold_for_any_sequence(calls, slots, uploads, limit) -> None:
    session = play(calls, state.Capacity(slots, uploads, limit))
    assert session.max_running <= slots
    assert session.max_uploads <= uploads
    assert len(session.outcomes) == len(calls)
    assert session.controller.running == session.controller.waiting == 0
    for rank in session.controller.ranks:
        assert (rank.running, rank.running_uploads) == (0, 0)
        assert (rank.waiting, rank.waiting_uploads) == (0, 0)


def make_flood(
    flood: state.RankPolicy, seed: int, span_s: float = 2.0
) -> list[Arrival]:
    """Make calls of one rank at three times the rate the slots can serve.

    Every other rank arrives at half that rate, so that each always has
    enough calls to use its floor.
    """
    rng = random.Random(seed)
    per_second = SLOTS / SERVICE_S
    calls = []
    for policy in RANKS:
        rate = per_second * (3 if policy is flood else 0.5)
        at = 0.0
        while (at := at + rng.expovariate(rate)) < span_s:
            service_s = SERVICE_S * rng.uniform(0.8, 1.2)
            calls.append(Arrival(at, policy, service_s))
    return calls


@pytest.mark.parametrize("flood", RANKS, ids=lambda policy: policy.name)
@pytest.mark.parametrize("seed", [1, 2])
def test_every_rank_keeps_its_floor_when_another_floods(flood, seed) -> None:
    session = play(make_flood(flood, seed))
    total_s = sum(session.held_s.values())
    assert total_s > 0.98 * SLOTS * 2.0
    for policy in RANKS:
        share = session.held_s[policy.name] / total_s
        assert share >= 0.95 * policy.floor, (policy.name, share)


@pytest.mark.parametrize("flood", RANKS, ids=lambda policy: policy.name)
def test_golden_session_of_a_flood(flood, snapshot) -> None:
    calls = make_flood(flood, 7, span_s=0.03)
    session = play(calls, state.Capacity(3, 1, 6))
    assert session.log == snapshot


def test_an_urgent_call_waits_at_most_for_the_next_free_slot() -> None:
    calls = make_flood(BROWSE, 3)
    calls = [call for call in calls if call.policy is BROWSE]
    probes = [Arrival(0.5 + n / 200, URGENT, SERVICE_S) for n in range(200)]
    waits = []

    async def main() -> None:
        session = Session(CAPACITY)
        browse = asyncio.create_task(session.play(calls))

        async def probe(call: Arrival) -> None:
            await asyncio.sleep(call.at)
            before = session.loop.time()
            async with session.controller.hold_slot(URGENT, before + 1):
                waits.append(session.loop.time() - before)
                await asyncio.sleep(call.service_s)

        await asyncio.gather(browse, *map(probe, probes))

    virtual_time.run(main())
    assert len(waits) == 200
    # A call waits at most until the first of the nine calls in flight ends.
    assert sorted(waits)[197] < SERVICE_S / 2


def test_a_call_of_less_worth_is_shed_for_one_of_more() -> None:
    capacity = state.Capacity(1, 1, 2)
    calls = [
        Arrival(0.00, BROWSE, 0.2),
        Arrival(0.01, BROWSE, 0.01),
        Arrival(0.02, BROWSE, 0.01),
        Arrival(0.03, BROWSE, 0.01),
        Arrival(0.04, BOOKING, 0.01),
    ]
    session = play(calls, capacity)
    shed, full = verdict.Reason.SHED.value, verdict.Reason.QUEUE_FULL.value
    assert sorted(session.outcomes) == sorted(["RAN"] * 3 + [shed, full])


def test_a_call_that_would_miss_its_target_is_refused_at_once() -> None:
    calls = [Arrival(n * 0.1, URGENT, 0.09) for n in range(3)]
    calls += [Arrival(0.31 + n / 1000, URGENT, 0.09) for n in range(3)]

    async def main() -> None:
        session = Session(state.Capacity(1, 1, 64))
        playing = asyncio.create_task(session.play(calls))
        await asyncio.sleep(0.32)
        assert session.outcomes.count(verdict.Reason.TARGET_MISSED.value) == 2
        await playing

    virtual_time.run(main())


def test_uploads_leave_slots_for_short_calls() -> None:
    uploads = [Arrival(0, UPLOAD, 3.0, 60.0, streamed=True) for _ in range(9)]
    short = [Arrival(1 + n / 100, URGENT, 0.005) for n in range(300)]
    session = play([*uploads, *short])
    assert session.outcomes == ["RAN"] * 309
    assert session.max_uploads == 3


def test_a_cancelled_call_leaves_the_queue_at_once() -> None:
    calls = [
        Arrival(0, BOOKING, 0.4),
        Arrival(0.01, BOOKING, 0.01, cancel_after_s=0.05),
    ]

    async def main() -> None:
        session = Session(state.Capacity(1, 1, 4))
        playing = asyncio.create_task(session.play(calls))
        await asyncio.sleep(0.05)
        assert session.controller.waiting == 1
        await asyncio.sleep(0.02)
        assert session.controller.waiting == 0
        await playing

    virtual_time.run(main())


def test_the_service_time_shows_a_stall_before_any_call_ends() -> None:
    async def main() -> None:
        session = Session(state.Capacity(2, 1, 64))
        await session.play([Arrival(n / 10, BROWSE, 0.005) for n in range(9)])
        assert session.controller.expected_service_s == pytest.approx(0.005)
        stalled = [Arrival(0, BROWSE, 1.0) for _ in range(2)]
        playing = asyncio.create_task(session.play(stalled))
        await asyncio.sleep(0.05)
        assert session.controller.expected_service_s == pytest.approx(0.05)
        await playing

    virtual_time.run(main())
