"""A few instances are slow for a short time while others have free slots."""

import asyncio
import contextlib
import random
import types

import pytest

from burdockdeal.core import call
from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.retry import attempts
from burdockdeal.retry import budget as budgets
from burdockdeal.retry import fleet_budget
from burdockdeal.retry import hedging
from burdockdeal.settings import model
from burdockdeal_standins import virtual_time

INSTANCES = 10
CALLS = 3000
SERVICE_S = 0.1
SLOW_FACTOR = 8.0
#: Share of the time for which an instance is slow.
SLOW_SHARE = 0.06
SHARE = 0.1
_OUTBOUND = types.SimpleNamespace(
    body=types.SimpleNamespace(is_streamed=False, is_replayable=True)
)


class Service:
    """Sends calls to instances, each slow for a part of the time."""

    def __init__(self, seed: int, *, share: float, busy: bool = False) -> None:
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        self.slow_seed = seed
        self.busy = busy
        self.all_slow = False
        self.queued_hedges = 0
        self.runs = 0
        self.latencies_s: list[float] = []
        terms = model.FleetRetryBudget(0.2, 50.0, 10.0)
        self.limiter = hedging.HedgeLimiter(lambda: share) if share else None
        self.budget = budgets.Budget(
            fleet_budget.FleetBudget(lambda: terms, lambda: 1, self.loop.time),
            lambda: 0.14,
        )
        self.factory = attempts.make_factory(
            choose=self._choose,
            open_response=self._open,
            budget=self.budget,
            clock=self.loop.time,
            hedges=self.limiter,
        )

    def _choose(self, work, tried):
        names = [f"d{n}" for n in range(INSTANCES) if f"d{n}" not in tried]
        return types.SimpleNamespace(
            daemon=self.rng.choice(names), region="", upstream_incarnation=1
        )

    def _is_slow(self, daemon: str) -> bool:
        period = int(self.loop.time() / 0.15)
        rng = random.Random(f"{self.slow_seed} {daemon} {period}")
        return self.all_slow or rng.random() < SLOW_SHARE

    @contextlib.asynccontextmanager
    async def _open(self, work, outbound, member, attempt, may_queue):
        if attempt > 1:
            self.queued_hedges += may_queue
            if self.busy:
                raise errors.NotRunError(verdict.Reason.BUSY)
        self.runs += 1
        factor = SLOW_FACTOR if self._is_slow(member.daemon) else 1.0
        await asyncio.sleep(SERVICE_S * factor * self.rng.uniform(0.8, 1.2))
        yield types.SimpleNamespace(status=200)

    async def call(self, number: int, *, idempotent: bool = True) -> None:
        now = self.loop.time()
        work = call.Call(
            f"r{number}",
            "reads",
            "lookup",
            now + 5.0,
            retry_tokens=2,
            idempotent=idempotent,
        )
        async with self.factory(work, _OUTBOUND).open():
            self.latencies_s.append(self.loop.time() - now)

    async def play(self, calls: int = CALLS, **terms: bool) -> "Service":
        tasks = []
        for number in range(calls):
            await asyncio.sleep(0.01)
            tasks.append(asyncio.ensure_future(self.call(number, **terms)))
        await asyncio.gather(*tasks)
        return self

    @property
    def p99_s(self) -> float:
        return sorted(self.latencies_s)[int(0.99 * len(self.latencies_s))]


def play(seed: int, share: float, **terms: bool) -> Service:
    async def main() -> Service:
        return await Service(seed, share=share, **terms).play()

    return virtual_time.run(main())


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_hedges_cut_the_slowest_responses_within_the_share(seed: int) -> None:
    """The slowest 1 in 100 were several times the usual service time."""
    plain, hedged = play(seed, 0.0), play(seed, SHARE)
    extra = hedged.runs - CALLS
    assert extra <= SHARE * CALLS + hedging.MAX_TOKENS
    assert plain.p99_s > 0.75 * SLOW_FACTOR * SERVICE_S
    assert hedged.p99_s < 0.5 * SLOW_FACTOR * SERVICE_S
    assert hedged.queued_hedges == 0


def test_the_share_holds_when_all_instances_become_slow() -> None:
    """An overload must not make an entry send its calls twice."""

    async def main() -> Service:
        service = Service(1, share=SHARE)
        await service.play(500)
        service.all_slow = True
        await service.play(1000)
        return service

    service = virtual_time.run(main())
    assert service.runs - 1500 <= SHARE * 1500 + hedging.MAX_TOKENS


def test_the_share_holds_for_calls_that_are_slow_together() -> None:
    """Each of the calls in flight may have been due a hedge at its start."""

    async def main() -> Service:
        service = Service(1, share=SHARE)
        await service.play(500)
        service.all_slow = True
        await asyncio.gather(*(service.call(n) for n in range(200)))
        return service

    service = virtual_time.run(main())
    assert service.runs - 700 <= SHARE * 700 + hedging.MAX_TOKENS


def test_a_refused_hedge_costs_nothing() -> None:
    """Without room elsewhere, nothing is charged to the fleet's budget."""
    service = play(1, SHARE, busy=True)
    assert service.runs == CALLS
    assert service.budget.counters.hedges > 0
    work = call.Call("r", "reads", "lookup", 0.0, idempotent=True)
    assert service.limiter.find_account(work).tokens >= 1


def test_a_call_that_may_run_only_once_is_never_hedged() -> None:
    async def main() -> Service:
        service = Service(1, share=SHARE)
        await service.play(500)
        before = service.budget.counters.hedges
        await service.play(500, idempotent=False)
        assert service.budget.counters.hedges == before
        return service

    assert virtual_time.run(main()).runs <= 1000 + SHARE * 500 + 10


def test_the_delay_settles_within_the_share() -> None:
    rng = random.Random(1)
    account = hedging.Account()
    slower = 0
    for number in range(20_000):
        latency_s = rng.expovariate(10.0)
        if number >= 10_000:
            slower += latency_s > account.delays_s["lookup"]
        account = hedging.record_latency(account, "lookup", latency_s, SHARE)
    assert 0.5 * SHARE < slower / 10_000 < SHARE
