"""The gate under any sequence of arrivals, on a loop of its own time."""

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
from burdockdeal_standins import virtual

URGENT = state.RankPolicy("tracking", 0, 100.0, 0.05, 0.2)
BOOKING = state.RankPolicy("booking", 1, 50.0, 0.5, 0.2)
UPLOAD = state.RankPolicy("upload", 2, 10.0, 30.0, 0.1)
BROWSE = state.RankPolicy("browse", 3, 1.0, 1.0, 0.1)
RANKS = (URGENT, BOOKING, UPLOAD, BROWSE)
SLOTS = 9
ROOM = state.Capacity(SLOTS, 3, 64)
SERVICE_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    at: float
    terms: state.RankPolicy
    service_s: float
    deadline_s: float = 10.0
    streamed: bool = False
    gone_after_s: float | None = None


class Session:
    """Calls at one gate, and what became of each."""

    def __init__(self, room: state.Capacity) -> None:
        self.loop = asyncio.get_running_loop()
        self.gate = controller.AdmissionController(
            self.loop.time, lambda: room
        )
        self.ends: list[str] = []
        self.log: list[str] = []
        self.held = dict.fromkeys((terms.name for terms in RANKS), 0.0)
        self.most = 0
        self.most_uploads = 0
        self.uploads = 0

    async def _call(self, call: Arrival) -> str:
        await asyncio.sleep(call.at)
        deadline = self.loop.time() + call.deadline_s
        try:
            async with self.gate.hold_slot(
                call.terms, deadline, streamed=call.streamed
            ):
                assert self.loop.time() < deadline
                self._note(call, "starts")
                self.most = max(self.most, self.gate.running)
                self.uploads += call.streamed
                self.most_uploads = max(self.most_uploads, self.uploads)
                started = self.loop.time()
                try:
                    await asyncio.sleep(call.service_s)
                finally:
                    self.uploads -= call.streamed
                    held = self.loop.time() - started
                    self.held[call.terms.name] += held
                return "RAN"
        except errors.NotRunError as error:
            return error.reason.value

    async def _lead(self, call: Arrival) -> None:
        task = asyncio.create_task(self._call(call))
        if call.gone_after_s is not None:
            await asyncio.sleep(call.at + call.gone_after_s)
            task.cancel()
        try:
            self.ends.append(await task)
        except asyncio.CancelledError:
            self.ends.append("GONE")
        self._note(call, self.ends[-1])

    def _note(self, call: Arrival, what: str) -> None:
        self.log.append(
            f"{self.loop.time() * 1000:7.2f} ms {call.terms.name}"
            f" of {call.at * 1000:.2f} ms {what};"
            f" {self.gate.running} run, {self.gate.waiting} wait"
        )

    async def play(self, calls: abc.Iterable[Arrival]) -> None:
        await asyncio.gather(*map(self._lead, calls))


def play(calls: abc.Iterable[Arrival], room: state.Capacity = ROOM) -> Session:
    async def main() -> Session:
        session = Session(room)
        await session.play(calls)
        return session

    return virtual.run(main())


ARRIVALS = strategies.lists(
    strategies.builds(
        Arrival,
        at=strategies.floats(0, 0.2),
        terms=strategies.sampled_from(RANKS),
        service_s=strategies.floats(0, 0.1),
        deadline_s=strategies.floats(0, 0.3),
        streamed=strategies.booleans(),
        gone_after_s=strategies.none() | strategies.floats(0, 0.1),
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
def test_any_sequence_keeps_the_bounds(calls, slots, uploads, limit) -> None:
    session = play(calls, state.Capacity(slots, uploads, limit))
    assert session.most <= slots
    assert session.most_uploads <= uploads
    assert len(session.ends) == len(calls)
    assert session.gate.running == session.gate.waiting == 0
    for line in session.gate.ranks:
        assert (line.running, line.uploads) == (0, 0)
        assert (line.waiting, line.waiting_uploads) == (0, 0)


def make_flood(
    flood: state.RankPolicy, seed: int, span_s: float = 2.0
) -> list[Arrival]:
    """Offer one rank three times what the slots can take.

    Every other rank offers half of what the slots can take, so that each
    always has work for its floor.
    """
    chance = random.Random(seed)
    per_second = SLOTS / SERVICE_S
    calls = []
    for terms in RANKS:
        rate = per_second * (3 if terms is flood else 0.5)
        at = 0.0
        while (at := at + chance.expovariate(rate)) < span_s:
            service_s = SERVICE_S * chance.uniform(0.8, 1.2)
            calls.append(Arrival(at, terms, service_s))
    return calls


@pytest.mark.parametrize("flood", RANKS, ids=lambda terms: terms.name)
@pytest.mark.parametrize("seed", [1, 2])
def test_every_rank_keeps_its_floor_in_a_flood_of_any(flood, seed) -> None:
    session = play(make_flood(flood, seed))
    whole = sum(session.held.values())
    assert whole > 0.98 * SLOTS * 2.0
    for terms in RANKS:
        share = session.held[terms.name] / whole
        assert share >= 0.95 * terms.floor, (terms.name, share)


@pytest.mark.parametrize("flood", RANKS, ids=lambda terms: terms.name)
def test_golden_session_of_a_flood(flood, snapshot) -> None:
    calls = make_flood(flood, 7, span_s=0.03)
    session = play(calls, state.Capacity(3, 1, 6))
    assert session.log == snapshot


def test_urgent_work_waits_for_one_slot_in_a_lesser_flood() -> None:
    calls = make_flood(BROWSE, 3)
    calls = [call for call in calls if call.terms is BROWSE]
    probes = [Arrival(0.5 + n / 200, URGENT, SERVICE_S) for n in range(200)]
    waits = []

    async def main() -> None:
        session = Session(ROOM)
        browse = asyncio.create_task(session.play(calls))

        async def probe(call: Arrival) -> None:
            await asyncio.sleep(call.at)
            before = session.loop.time()
            async with session.gate.hold_slot(URGENT, before + 1):
                waits.append(session.loop.time() - before)
                await asyncio.sleep(call.service_s)

        await asyncio.gather(browse, *map(probe, probes))

    virtual.run(main())
    assert len(waits) == 200
    # The longest wait there can be is for the first of nine to end.
    assert sorted(waits)[197] < SERVICE_S / 2


def test_the_least_worthy_is_shed_for_the_worthier() -> None:
    room = state.Capacity(1, 1, 2)
    calls = [
        Arrival(0.00, BROWSE, 0.2),
        Arrival(0.01, BROWSE, 0.01),
        Arrival(0.02, BROWSE, 0.01),
        Arrival(0.03, BROWSE, 0.01),
        Arrival(0.04, BOOKING, 0.01),
    ]
    session = play(calls, room)
    shed, full = verdict.Reason.SHED.value, verdict.Reason.QUEUE_FULL.value
    assert sorted(session.ends) == sorted(["RAN"] * 3 + [shed, full])


def test_a_call_that_would_miss_its_target_is_refused_at_once() -> None:
    calls = [Arrival(n * 0.1, URGENT, 0.09) for n in range(3)]
    calls += [Arrival(0.31 + n / 1000, URGENT, 0.09) for n in range(3)]

    async def main() -> None:
        session = Session(state.Capacity(1, 1, 64))
        playing = asyncio.create_task(session.play(calls))
        await asyncio.sleep(0.32)
        assert session.ends.count(verdict.Reason.TARGET_MISSED.value) == 2
        await playing

    virtual.run(main())


def test_uploads_leave_slots_for_short_work() -> None:
    uploads = [Arrival(0, UPLOAD, 3.0, 60.0, streamed=True) for _ in range(9)]
    short = [Arrival(1 + n / 100, URGENT, 0.005) for n in range(300)]
    session = play([*uploads, *short])
    assert session.ends == ["RAN"] * 309
    assert session.most_uploads == 3


def test_a_caller_who_goes_away_leaves_the_queue_at_once() -> None:
    calls = [
        Arrival(0, BOOKING, 0.4),
        Arrival(0.01, BOOKING, 0.01, gone_after_s=0.05),
    ]

    async def main() -> None:
        session = Session(state.Capacity(1, 1, 4))
        playing = asyncio.create_task(session.play(calls))
        await asyncio.sleep(0.05)
        assert session.gate.waiting == 1
        await asyncio.sleep(0.02)
        assert session.gate.waiting == 0
        await playing

    virtual.run(main())


def test_the_service_time_shows_a_stall_before_anything_ends() -> None:
    async def main() -> None:
        session = Session(state.Capacity(2, 1, 64))
        await session.play([Arrival(n / 10, BROWSE, 0.005) for n in range(9)])
        assert session.gate.expected_service_s == pytest.approx(0.005)
        stalled = [Arrival(0, BROWSE, 1.0) for _ in range(2)]
        playing = asyncio.create_task(session.play(stalled))
        await asyncio.sleep(0.05)
        assert session.gate.expected_service_s == pytest.approx(0.05)
        await playing

    virtual.run(main())
