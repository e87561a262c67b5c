"""Tests of retries and hedges along chains of services, in virtual time."""

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
from burdockdeal.retry import outcomes
from burdockdeal.retry import state
from burdockdeal_standins import virtual_time

Reason = verdict.Reason
DAEMONS = 3
FAILURES = {
    "full": lambda: errors.NotRunError(Reason.QUEUE_FULL),
    "unreachable": lambda: errors.NotRunError(Reason.UNREACHABLE),
    "draining": lambda: errors.NotRunError(Reason.DRAINING),
    "slowed": lambda: errors.NotRunError(Reason.SLOWED),
    "broken": lambda: errors.MayHaveRunError(Reason.BROKEN_CONNECTION),
}
OUTBOUND = types.SimpleNamespace(
    body=types.SimpleNamespace(is_streamed=False, is_replayable=True)
)


@dataclasses.dataclass(frozen=True, slots=True)
class Layer:
    """How the instances of one service behave.

    :param failure: how a call fails: full, unreachable, draining, slowed,
        broken, 500 or slow.
    :param failing: the share of calls that fail.
    :param idempotent: whether its calls may be sent again after they may
        have run.
    """

    failure: str = "full"
    failing: float = 0.0
    idempotent: bool = True


class Simulation:
    """Services that call each other, each call through a random daemon."""

    def __init__(self, layers: list[Layer], seed: int) -> None:
        self.layers = layers
        self.rng = random.Random(seed)
        self.budgets = [budgets.Budget() for _ in range(DAEMONS)]
        self.factories: dict[int, list] = {}
        self.departing: str | None = None
        self.slowed: frozenset[str] = frozenset()
        self.may_queue: list[bool] = []
        self.runs = 0
        self.cancelled = 0
        self.log: list[str] = []

    def _choose(self, work, tried):
        names = [f"d{n}" for n in range(DAEMONS) if f"d{n}" not in tried]
        if not names:
            return None
        daemon = self.rng.choice(names)
        return types.SimpleNamespace(daemon=daemon, upstream_incarnation=1)

    @contextlib.asynccontextmanager
    async def _open(self, work, outbound, member, attempt, may_queue):
        layer = self.layers[work.depth]
        self.may_queue.append(may_queue)
        fails = self.rng.random() < layer.failing
        kind = layer.failure if fails else "served"
        kind = "draining" if member.daemon == self.departing else kind
        if member.daemon in self.slowed and not may_queue:
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
            status = await self._call_next(work)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        if kind == "broken":
            raise FAILURES[kind]()
        status = 500 if kind == "500" else status
        yield types.SimpleNamespace(status=status)

    async def _call_next(self, work: call.Call) -> int:
        depth = work.depth + 1
        if depth == len(self.layers):
            return 200
        return await self.call_service(
            work.request_id, depth, work.retry_tokens
        )

    async def call_service(
        self, name: str, depth: int, tokens: int | None
    ) -> int:
        clock = asyncio.get_running_loop().time
        work = call.Call(
            request_id=name,
            service=f"s{depth}",
            rank="reads",
            deadline=clock() + 10,
            depth=depth,
            retry_tokens=decisions.grant_tokens(depth, tokens),
            idempotent=self.layers[depth].idempotent,
        )
        factories = self.factories.get(depth)
        if factories is None:
            factories = self.factories[depth] = [
                attempts.make_factory(
                    choose=self._choose,
                    open_response=self._open,
                    budget=budget,
                    clock=clock,
                )
                for budget in self.budgets
            ]
        try:
            make_attempts = self.rng.choice(factories)
            async with make_attempts(work, OUTBOUND).open() as response:
                return response.status
        except errors.CallError:
            return 503

    async def run(self, calls: int, gap_s: float = 0.01) -> list[int]:
        async def start(number: int) -> int:
            await asyncio.sleep(number * gap_s)
            return await self.call_service(f"r{number}", 0, None)

        return await asyncio.gather(*map(start, range(calls)))

    @property
    def sends(self) -> int:
        return sum(budget.counters.sends for budget in self.budgets)

    @property
    def first_sends(self) -> int:
        return sum(budget.counters.first_sends for budget in self.budgets)

    @property
    def hedges(self) -> int:
        return sum(budget.counters.hedges for budget in self.budgets)


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
    simulation = Simulation(layers, seed)
    virtual_time.run(simulation.run(150))
    earned = decisions.TOKENS_PER_FIRST_SEND * simulation.first_sends
    start = state.INITIAL_TOKENS * DAEMONS * len(layers)
    assert simulation.sends <= simulation.first_sends + earned + start
    assert simulation.runs <= simulation.sends


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("failure", ["full", "broken", "500", "slow"])
def test_sends_over_eight_failing_layers_stay_within_a_tenth(
    failure, seed
) -> None:
    layers = [Layer(failure, 0.1)] * call.MAX_DEPTH
    simulation = Simulation(layers, seed)
    virtual_time.run(simulation.run(1000))
    assert simulation.sends <= 1.1 * simulation.first_sends
    assert simulation.sends > 1.02 * simulation.first_sends


@given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 9), strategies.booleans()),
        min_size=call.MAX_DEPTH,
        max_size=call.MAX_DEPTH,
    )
)
@settings(derandomize=True, deadline=None)
def test_tokens_never_multiply_along_a_chain(plan) -> None:
    retries = 0
    tokens: int | None = None
    for depth, (failures, may_have_run) in enumerate(plan):
        granted = decisions.grant_tokens(depth, tokens)
        work = call.Call("r", "s", "k", 1.0, depth, granted, idempotent=True)
        progress = decisions.record_send(decisions.start_progress(work), "d0")
        for number in range(failures):
            outcome = (
                verdict.Verdict.MAY_HAVE_RUN
                if may_have_run
                else verdict.Verdict.NOT_RUN
            )
            progress = decisions.record_failure(progress, outcome, None)
            if decisions.may_resend(work, progress, replayable=True, now=0.0):
                progress = decisions.record_send(progress, f"d{number + 1}")
                retries += 1
        tokens = decisions.prepare_send(work, progress).retry_tokens
        assert not progress.may_have_run or tokens == 0
        assert retries + tokens <= decisions.find_max_tokens(0)


def test_calls_nested_in_a_retry_are_not_retried() -> None:
    simulation = Simulation([Layer("500", 1.0)] * 2, 1)
    simulation.budgets = [budgets.Budget()]
    simulation.budgets[0]._accounts = {
        (f"s{depth}", "reads"): state.Account(tokens=10) for depth in (0, 1)
    }
    virtual_time.run(simulation.call_service("r", 0, None))
    nested = [line for line in simulation.log if "depth 1" in line]
    # Three sends for the first send at depth 0, one for each of its retries.
    assert len(nested) == 3 + 2


def test_call_that_is_not_idempotent_is_retried_only_if_not_run() -> None:
    for failure, sends in (("full", 2), ("broken", 1), ("500", 1)):
        simulation = Simulation([Layer(failure, 1.0, idempotent=False)], 1)
        virtual_time.run(simulation.run(1))
        assert len(simulation.log) == sends, failure


def test_hedge_wins_and_the_slow_send_is_cancelled() -> None:
    simulation = Simulation([Layer("slow", 0.02)], 3)
    statuses = virtual_time.run(simulation.run(2000))
    assert statuses == [200] * 2000
    assert simulation.hedges > 5
    assert simulation.cancelled >= simulation.hedges * 0.9
    assert simulation.sends <= 1.1 * simulation.first_sends


def test_saturated_service_is_not_retried_everywhere() -> None:
    simulation = Simulation([Layer("full", 1.0)], 1)
    statuses = virtual_time.run(simulation.run(1000, gap_s=0.001))
    assert statuses == [503] * 1000
    assert simulation.sends <= 1.03 * simulation.first_sends
    assert sum(b.counters.denied for b in simulation.budgets) > 900


def test_verdict_covers_every_send() -> None:
    error = outcomes.choose_final_error(
        state.Progress(sends_left=0, may_have_run=True),
        outcomes.Outcome(
            state.Progress(sends_left=0),
            error=errors.NotRunError(Reason.QUEUE_FULL),
        ),
    )
    assert error.outcome is verdict.Verdict.MAY_HAVE_RUN


def test_unreachable_instance_costs_no_token() -> None:
    simulation = Simulation([Layer("unreachable", 0.3, idempotent=False)], 5)
    statuses = virtual_time.run(simulation.run(300))
    assert statuses.count(200) > 285
    assert simulation.sends == simulation.first_sends


def test_draining_instance_fails_no_call_and_costs_few_sends() -> None:
    simulation = Simulation([Layer(idempotent=False)], 5)
    simulation.departing = "d1"
    statuses = virtual_time.run(simulation.run(1000))
    assert statuses == [200] * 1000
    # Each of the three daemons retries the instance once a second.
    assert simulation.sends - 1000 <= DAEMONS * 11


@pytest.mark.parametrize("failure", ["full", "broken", "500", "slow"])
def test_snapshot_of_a_failing_chain(failure, snapshot) -> None:
    layers = [Layer(), Layer("500", 0.3), Layer(failure, 0.6)]
    simulation = Simulation(layers, 11)
    virtual_time.run(simulation.run(8))
    assert simulation.log == snapshot


def test_call_avoids_slowed_instances_at_no_cost() -> None:
    simulation = Simulation([Layer(idempotent=False)], 5)
    simulation.slowed = frozenset({"d0", "d1"})
    statuses = virtual_time.run(simulation.run(300))
    assert statuses == [200] * 300
    assert simulation.runs == 300
    assert not any(simulation.may_queue)
    assert simulation.sends == simulation.first_sends


def test_call_queues_at_one_instance_if_all_are_slowed() -> None:
    simulation = Simulation([Layer(idempotent=False)], 5)
    simulation.slowed = frozenset({"d0", "d1", "d2"})
    statuses = virtual_time.run(simulation.run(100))
    assert statuses == [200] * 100
    assert simulation.runs == 100
    assert simulation.may_queue.count(True) == 100
    assert simulation.may_queue.count(False) == 100 * DAEMONS


async def test_pinned_call_queues_at_its_instance() -> None:
    recorded: list[bool] = []

    @contextlib.asynccontextmanager
    async def open_response(work, outbound, member, attempt, may_queue):
        recorded.append(may_queue)
        yield types.SimpleNamespace(status=200)

    make_attempts = attempts.make_factory(
        choose=lambda work, tried: None,
        open_response=open_response,
        budget=budgets.Budget(),
        clock=asyncio.get_running_loop().time,
    )
    work = call.Call("r", "s", "", asyncio.get_running_loop().time() + 9.0)
    pin = types.SimpleNamespace(daemon="d0", upstream_incarnation=1)
    async with make_attempts(work, OUTBOUND).open(pin):
        pass
    assert recorded == [True]


def test_immediate_refusals_do_not_use_up_the_only_send() -> None:
    work = call.Call("r", "s", "", 10.0, max_sends=1, retry_tokens=16)
    progress = decisions.record_send(decisions.start_progress(work), "d0")
    assert not decisions.may_resend(work, progress, replayable=True, now=0)
    for reason in decisions.FREE_RETRY_REASONS:
        refunded = decisions.refund_send(progress, reason)
        assert decisions.may_resend(work, refunded, replayable=True, now=0)
