"""Sends of calls in trees of services, on a loop of its own time."""

import asyncio
import contextlib
import dataclasses
import random
import types

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from burdockdeal.core import call
from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.retry import attempts
from burdockdeal.retry import budget as budgets
from burdockdeal.retry import decisions
from burdockdeal.retry import state
from burdockdeal_standins import virtual

Reason = verdict.Reason
DAEMONS = 3
FAILURES = {
    "full": lambda: errors.NotRunError(Reason.QUEUE_FULL),
    "away": lambda: errors.NotRunError(Reason.UNREACHABLE),
    "leaving": lambda: errors.NotRunError(Reason.DRAINING),
    "slowed": lambda: errors.NotRunError(Reason.SLOWED),
    "broken": lambda: errors.MayHaveRunError(Reason.BROKEN_CONNECTION),
}
OUTBOUND = types.SimpleNamespace(
    body=types.SimpleNamespace(is_streamed=False, is_replayable=True)
)


@dataclasses.dataclass(frozen=True, slots=True)
class Layer:
    """How the instances of one service behave.

    :param failure: full, away, broken, 500 or slow.
    """

    failure: str = "full"
    failing: float = 0.0
    idempotent: bool = True


class World:
    """Services that call each other, each call through an entry."""

    def __init__(self, layers: list[Layer], seed: int) -> None:
        self.layers = layers
        self.chance = random.Random(seed)
        self.budgets = [budgets.Budget() for _ in range(DAEMONS)]
        self.begins: dict[int, list] = {}
        self.gone: str | None = None
        self.slow: frozenset[str] = frozenset()
        self.patient: list[bool] = []
        self.runs = 0
        self.cancelled = 0
        self.log: list[str] = []

    def _choose(self, work, tried):
        names = [f"d{n}" for n in range(DAEMONS) if f"d{n}" not in tried]
        if not names:
            return None
        daemon = self.chance.choice(names)
        return types.SimpleNamespace(daemon=daemon, upstream_incarnation=1)

    @contextlib.asynccontextmanager
    async def _open(self, work, outbound, member, attempt, patient):
        layer = self.layers[work.depth]
        self.patient.append(patient)
        fails = self.chance.random() < layer.failing
        kind = layer.failure if fails else "served"
        kind = "leaving" if member.daemon == self.gone else kind
        if member.daemon in self.slow and not patient:
            kind = "slowed"
        loop = asyncio.get_running_loop()
        self.log.append(
            f"{loop.time() * 1000:.0f} ms: call {work.request_id} at depth"
            f" {work.depth}, send {attempt} to {member.daemon} with"
            f" {work.retry_tokens} tokens: {kind}"
        )
        if kind in FAILURES and kind != "broken":
            raise FAILURES[kind]()
        self.runs += 1
        try:
            await asyncio.sleep(1.0 if kind == "slow" else 0.005)
            status = await self._call_on(work)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        if kind == "broken":
            raise FAILURES[kind]()
        status = 500 if kind == "500" else status
        yield types.SimpleNamespace(status=status)

    async def _call_on(self, work: call.Call) -> int:
        depth = work.depth + 1
        if depth == len(self.layers):
            return 200
        return await self.enter(work.request_id, depth, work.retry_tokens)

    async def enter(self, name: str, depth: int, tokens: int | None) -> int:
        clock = asyncio.get_running_loop().time
        work = call.Call(
            request_id=name,
            service=f"s{depth}",
            rank="reads",
            deadline=clock() + 10,
            depth=depth,
            retry_tokens=decisions.grant(depth, tokens),
            idempotent=self.layers[depth].idempotent,
        )
        begin = self.begins.get(depth)
        if begin is None:
            begin = self.begins[depth] = [
                attempts.make_begin(
                    choose=self._choose,
                    open_to=self._open,
                    budget=budget,
                    clock=clock,
                )
                for budget in self.budgets
            ]
        try:
            entry = self.chance.choice(begin)
            async with entry(work, OUTBOUND).open() as answer:
                return answer.status
        except errors.CallError:
            return 503

    async def play(self, roots: int, gap_s: float = 0.01) -> list[int]:
        async def lead(number: int) -> int:
            await asyncio.sleep(number * gap_s)
            return await self.enter(f"r{number}", 0, None)

        return await asyncio.gather(*map(lead, range(roots)))

    @property
    def sends(self) -> int:
        return sum(budget.tally.sends for budget in self.budgets)

    @property
    def first_sends(self) -> int:
        return sum(budget.tally.first_sends for budget in self.budgets)

    @property
    def hedges(self) -> int:
        return sum(budget.tally.hedges for budget in self.budgets)


LAYERS = strategies.lists(
    strategies.builds(
        Layer,
        failure=strategies.sampled_from(["full", "broken", "500", "slow"]),
        failing=strategies.sampled_from([0.0, 0.02, 0.1, 0.5, 1.0]),
        idempotent=strategies.booleans(),
    ),
    min_size=1,
    max_size=call.MAX_DEPTH,
)


@given(LAYERS, strategies.integers(0, 1 << 16))
@settings(derandomize=True, max_examples=40, deadline=None)
def test_sends_stay_within_the_budget_at_any_depth(layers, seed) -> None:
    world = World(layers, seed)
    virtual.run(world.play(150))
    earned = decisions.EARNED_SHARE * world.first_sends
    start = state.START_TOKENS * DAEMONS * len(layers)
    assert world.sends <= world.first_sends + earned + start
    assert world.runs <= world.sends


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("failure", ["full", "broken", "500", "slow"])
def test_eight_layers_that_fail_stay_within_a_tenth(failure, seed) -> None:
    layers = [Layer(failure, 0.1)] * call.MAX_DEPTH
    world = World(layers, seed)
    virtual.run(world.play(1000))
    assert world.sends <= 1.1 * world.first_sends
    assert world.sends > 1.02 * world.first_sends


@given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 9), strategies.booleans()),
        min_size=call.MAX_DEPTH,
        max_size=call.MAX_DEPTH,
    )
)
@settings(derandomize=True, deadline=None)
def test_tokens_never_multiply_along_a_chain(plan) -> None:
    spent = 0
    tokens: int | None = None
    for depth, (wanted, exposed) in enumerate(plan):
        granted = decisions.grant(depth, tokens)
        work = call.Call("r", "s", "k", 1.0, depth, granted, idempotent=True)
        progress = decisions.note_send(decisions.begin(work), "d0")
        for number in range(wanted):
            outcome = (
                verdict.Verdict.MAY_HAVE_RUN
                if exposed
                else verdict.Verdict.NOT_RUN
            )
            progress = decisions.note_failure(progress, outcome, None)
            if decisions.may_resend(work, progress, replayable=True, now=0.0):
                progress = decisions.note_send(progress, f"d{number + 1}")
                spent += 1
        tokens = decisions.hand_down(work, progress).retry_tokens
        assert not progress.exposed or tokens == 0
        assert spent + tokens <= decisions.find_allowance(0)


def test_a_repeated_call_is_not_repeated_below() -> None:
    world = World([Layer("500", 1.0)] * 2, 1)
    world.budgets = [budgets.Budget()]
    world.budgets[0]._accounts = {
        (f"s{depth}", "reads"): state.Account(tokens=10) for depth in (0, 1)
    }
    virtual.run(world.enter("r", 0, None))
    below = [line for line in world.log if "depth 1" in line]
    # Three sends below the first one above, one below each repeat.
    assert len(below) == 3 + 2


def test_work_that_may_run_once_is_sent_again_only_if_it_did_not() -> None:
    for failure, sends in (("full", 2), ("broken", 1), ("500", 1)):
        world = World([Layer(failure, 1.0, idempotent=False)], 1)
        virtual.run(world.play(1))
        assert len(world.log) == sends, failure


def test_a_hedge_wins_and_the_loser_is_cancelled() -> None:
    world = World([Layer("slow", 0.02)], 3)
    statuses = virtual.run(world.play(2000))
    assert statuses == [200] * 2000
    assert world.hedges > 5
    assert world.cancelled >= world.hedges * 0.9
    assert world.sends <= 1.1 * world.first_sends


def test_a_full_fleet_answers_without_knocking_everywhere() -> None:
    world = World([Layer("full", 1.0)], 1)
    statuses = virtual.run(world.play(1000, gap_s=0.001))
    assert statuses == [503] * 1000
    assert world.sends <= 1.03 * world.first_sends
    assert sum(b.tally.denied for b in world.budgets) > 900


def test_the_verdict_tells_of_every_send() -> None:
    error = attempts._give_up(
        state.Progress(left=0, exposed=True),
        attempts.Outcome(
            state.Progress(left=0),
            error=errors.NotRunError(Reason.QUEUE_FULL),
        ),
    )
    assert error.outcome is verdict.Verdict.MAY_HAVE_RUN


def test_an_unreachable_instance_costs_no_token() -> None:
    world = World([Layer("away", 0.3, idempotent=False)], 5)
    statuses = virtual.run(world.play(300))
    assert statuses.count(200) > 285
    assert world.sends == world.first_sends


def test_an_instance_that_leaves_costs_no_call_and_few_sends() -> None:
    world = World([Layer(idempotent=False)], 5)
    world.gone = "d1"
    statuses = virtual.run(world.play(1000))
    assert statuses == [200] * 1000
    # Each of three entries knocks once a second.
    assert world.sends - 1000 <= DAEMONS * 11


@pytest.mark.parametrize("failure", ["full", "broken", "500", "slow"])
def test_golden_session_of_a_failing_chain(failure, snapshot) -> None:
    layers = [Layer(), Layer("500", 0.3), Layer(failure, 0.6)]
    world = World(layers, 11)
    virtual.run(world.play(8))
    assert world.log == snapshot


def test_work_goes_past_slow_instances_at_no_cost() -> None:
    world = World([Layer(idempotent=False)], 5)
    world.slow = frozenset({"d0", "d1"})
    statuses = virtual.run(world.play(300))
    assert statuses == [200] * 300
    assert world.runs == 300
    assert not any(world.patient)
    assert world.sends == world.first_sends


def test_work_waits_at_one_instance_where_all_are_slow() -> None:
    world = World([Layer(idempotent=False)], 5)
    world.slow = frozenset({"d0", "d1", "d2"})
    statuses = virtual.run(world.play(100))
    assert statuses == [200] * 100
    assert world.runs == 100
    assert world.patient.count(True) == 100
    assert world.patient.count(False) == 100 * DAEMONS


async def test_work_that_only_one_instance_may_answer_waits_there() -> None:
    asked: list[bool] = []

    @contextlib.asynccontextmanager
    async def open_to(work, outbound, member, attempt, patient):
        asked.append(patient)
        yield types.SimpleNamespace(status=200)

    begin = attempts.make_begin(
        choose=lambda work, tried: None,
        open_to=open_to,
        budget=budgets.Budget(),
        clock=asyncio.get_running_loop().time,
    )
    work = call.Call("r", "s", "", asyncio.get_running_loop().time() + 9.0)
    pin = types.SimpleNamespace(daemon="d0", upstream_incarnation=1)
    async with begin(work, OUTBOUND).open(pin):
        pass
    assert asked == [True]


def test_work_for_one_instance_only_may_still_pass_slow_ones() -> None:
    work = call.Call("r", "s", "", 10.0, max_sends=1, retry_tokens=16)
    progress = decisions.note_send(decisions.begin(work), "d0")
    assert not decisions.may_resend(work, progress, replayable=True, now=0)
    for reason in decisions.PASSING_REASONS:
        passed = decisions.note_unreached(progress, reason)
        assert decisions.may_resend(work, passed, replayable=True, now=0)
