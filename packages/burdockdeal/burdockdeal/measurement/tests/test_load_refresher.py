"""Load queries that keep calls from starting on a slow machine.

In the simulated load, a machine is slow in a quarter of all periods of
150 ms, and a call that starts in such a period takes five times as long.
"""

import asyncio
import random

from burdockdeal.admission import controller
from burdockdeal.admission import state as admission
from burdockdeal.core import errors
from burdockdeal.measurement import load_refresher
from burdockdeal.measurement import meter
from burdockdeal.measurement import state
from burdockdeal_standins import virtual_time

PERIOD_S = 0.15
SLOW_SHARE = 0.25
SLOW_FACTOR = 5.0
WORK_S = 0.09
QUERY_S = 0.001
TARGET_S = 0.25
RANK = admission.RankPolicy("urgent", 0, 1.0, TARGET_S, 0.0)


class Machine:
    """An upstream on a machine with noisy neighbours, and its owner."""

    def __init__(self, seed: int) -> None:
        loop = asyncio.get_running_loop()
        self._clock = loop.time
        self._seed = seed
        self.times = meter.Meter(loop.time)
        self.refresher = load_refresher.LoadRefresher(
            self.times, self._query_load, loop.time
        )
        self.controller = controller.AdmissionController(
            loop.time,
            lambda: admission.Capacity(9, 3, 64, is_slow=self.times.is_slow),
        )
        self.times.on_upstream_load(self.controller.notify_capacity_change)

    @property
    def slowdown(self) -> float:
        period = int(self._clock() / PERIOD_S)
        rng = random.Random(self._seed * 1_000_003 + period)
        return SLOW_FACTOR if rng.random() < SLOW_SHARE else 1.0

    async def _query_load(self) -> state.UpstreamLoad:
        slowdown = self.slowdown
        await asyncio.sleep(QUERY_S)
        return state.UpstreamLoad(0, 0, 9, slowdown)

    async def run(self, *, may_queue: bool, queries: bool) -> None:
        if queries:
            await self.refresher.refresh()
            if self.times.is_slow and may_queue:
                self.refresher.poll_while(
                    lambda: self.controller.waiting > 0 and self.times.is_slow
                )
        deadline = self._clock() + 0.8
        async with self.controller.hold_slot(
            RANK, deadline, may_queue=may_queue
        ):
            await asyncio.sleep(WORK_S * self.slowdown)


async def _play(seed: int, *, queries: bool) -> float:
    """Send 400 calls to three machines.

    :param queries: whether owners query the load before a call starts.
    :returns: the share of calls that ended within their target.
    """
    loop = asyncio.get_running_loop()
    rng = random.Random(seed)
    machines = [Machine(seed * 10 + number) for number in range(3)]
    in_time = 0

    async def call() -> None:
        nonlocal in_time
        started = loop.time()
        order = rng.sample(machines, 3)
        for machine, may_queue in [(one, False) for one in order] + [
            (order[0], True)
        ]:
            try:
                await machine.run(may_queue=may_queue, queries=queries)
            except errors.NotRunError:
                continue
            in_time += loop.time() - started <= TARGET_S
            return

    calls = []
    for _ in range(400):
        await asyncio.sleep(rng.expovariate(15.0))
        calls.append(asyncio.ensure_future(call()))
    await asyncio.gather(*calls)
    return in_time / 400


def test_load_queries_cut_the_late_calls_to_a_third() -> None:
    for seed in (1, 2, 3):
        without_queries = virtual_time.run(_play(seed, queries=False))
        with_queries = virtual_time.run(_play(seed, queries=True))
        assert 1 - with_queries <= (1 - without_queries) / 3


def test_queries_keep_to_their_rate_limit() -> None:
    async def play() -> int:
        machine = Machine(1)
        loop = asyncio.get_running_loop()
        while loop.time() < 10:
            await machine.refresher.refresh()
            await asyncio.sleep(0.002)
        return machine.refresher.queries

    limit = 10 * load_refresher.QUERIES_PER_S + load_refresher.QUERY_BURST
    assert virtual_time.run(play()) <= limit + 1
