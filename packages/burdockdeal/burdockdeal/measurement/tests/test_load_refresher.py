"""Work that starts on a machine that is quick at that moment.

The load pattern: a machine is slow for 150 ms at a time, a quarter of the
time, and what starts while it is slow takes five times as long to its end.
"""

import asyncio
import random

from burdockdeal.admission import controller
from burdockdeal.admission import state as admission
from burdockdeal.core import errors
from burdockdeal.measurement import load_refresher
from burdockdeal.measurement import meter
from burdockdeal.measurement import state
from burdockdeal_standins import virtual

SPELL_S = 0.15
SLOW_SHARE = 0.25
SLOW_X = 5.0
WORK_S = 0.09
ASK_S = 0.001
TARGET_S = 0.25
TERMS = admission.RankPolicy("urgent", 0, 1.0, TARGET_S, 0.0)


class Machine:
    """One worker beside noisy neighbours, and its owner."""

    def __init__(self, seed: int) -> None:
        loop = asyncio.get_running_loop()
        self._clock = loop.time
        self._seed = seed
        self.times = meter.Meter(loop.time)
        self.fresh = load_refresher.LoadRefresher(
            self.times, self._tell, loop.time
        )
        self.gate = controller.AdmissionController(
            loop.time,
            lambda: admission.Capacity(9, 3, 64, is_slow=self.times.is_slow),
        )
        self.times.on_upstream_load(self.gate.notify_capacity_change)

    @property
    def slowdown(self) -> float:
        spell = int(self._clock() / SPELL_S)
        chance = random.Random(self._seed * 1_000_003 + spell)
        return SLOW_X if chance.random() < SLOW_SHARE else 1.0

    async def _tell(self) -> state.UpstreamLoad:
        slowdown = self.slowdown
        await asyncio.sleep(ASK_S)
        return state.UpstreamLoad(0, 0, 9, slowdown)

    async def run(self, *, patient: bool, asks: bool) -> None:
        if asks:
            await self.fresh.refresh()
            if self.times.is_slow and patient:
                self.fresh.poll_while(
                    lambda: self.gate.waiting > 0 and self.times.is_slow
                )
        deadline = self._clock() + 0.8
        async with self.gate.hold_slot(TERMS, deadline, may_queue=patient):
            await asyncio.sleep(WORK_S * self.slowdown)


async def _play(seed: int, *, asks: bool) -> float:
    """Send 400 calls to three machines.

    :returns: the share that was done in time.
    """
    loop = asyncio.get_running_loop()
    chance = random.Random(seed)
    machines = [Machine(seed * 10 + number) for number in range(3)]
    in_time = 0

    async def call() -> None:
        nonlocal in_time
        started = loop.time()
        order = chance.sample(machines, 3)
        for machine, patient in [(one, False) for one in order] + [
            (order[0], True)
        ]:
            try:
                await machine.run(patient=patient, asks=asks)
            except errors.NotRunError:
                continue
            in_time += loop.time() - started <= TARGET_S
            return

    calls = []
    for _ in range(400):
        await asyncio.sleep(chance.expovariate(15.0))
        calls.append(asyncio.ensure_future(call()))
    await asyncio.gather(*calls)
    return in_time / 400


def test_asking_before_a_start_beats_starting_blindly() -> None:
    for seed in (1, 2, 3):
        blind = virtual.run(_play(seed, asks=False))
        asked = virtual.run(_play(seed, asks=True))
        assert 1 - asked <= (1 - blind) / 3


def test_questions_keep_to_their_pace() -> None:
    async def play() -> int:
        machine = Machine(1)
        loop = asyncio.get_running_loop()
        while loop.time() < 10:
            await machine.fresh.refresh()
            await asyncio.sleep(0.002)
        return machine.fresh.asked

    most = 10 * load_refresher.ASKS_PER_S + load_refresher.ASKS_BURST
    assert virtual.run(play()) <= most + 1
