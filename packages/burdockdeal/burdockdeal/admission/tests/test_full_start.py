"""A daemon starts under a load that fills all slots of its upstream.

The upstream slows down when it is nearly full. Calls that pile up while the
daemon is away fill it at once, and with each slot that is released the next
one starts on a full upstream again.
"""

import asyncio
import random

import pytest

from burdockdeal.admission import controller
from burdockdeal.admission import saturation
from burdockdeal.admission import state
from burdockdeal.core import errors
from burdockdeal_standins import virtual_time

SLOTS = 9
SERVICE_S = 0.15
ARRIVALS_PER_S = 50.0
POLICY = state.RankPolicy("lookup", 1, 1.0, 0.15, 0.0, late_share=0.2)
DEADLINE_S = 1.5
AIM_S = 0.5
DURATION_S = 10.0


class Upstream:
    """An upstream behind an owner that has just started.

    :param slowdown: how many times as long a call takes that starts while
        nearly all slots are taken.
    :param presumes: whether the owner knows that the service slows down.
    """

    def __init__(self, slowdown: float, *, presumes: bool, seed: int) -> None:
        self._loop = asyncio.get_running_loop()
        self._slowdown = slowdown
        self._rng = random.Random(seed)
        self._owner = controller.AdmissionController(
            self._loop.time, self._get_capacity
        )
        self._presumes = presumes
        self.answered_in_time = 0

    def _get_capacity(self) -> state.Capacity:
        slots = self._owner.saturation.limit_slots(
            SLOTS, self._loop.time(), presumes=self._presumes
        )
        return state.Capacity(slots, slots, 64, announced_slots=SLOTS)

    async def call(self) -> None:
        arrived = self._loop.time()
        try:
            async with self._owner.hold_slot(POLICY, arrived + DEADLINE_S):
                service_s = SERVICE_S * self._rng.lognormvariate(0, 0.3)
                if self._owner.running > saturation.FULL_SHARE * SLOTS:
                    service_s *= self._slowdown
                await asyncio.sleep(service_s)
        except errors.NotRunError:
            return
        self.answered_in_time += self._loop.time() - arrived <= AIM_S

    async def play(self) -> int:
        calls = [asyncio.ensure_future(self.call()) for _ in range(SLOTS)]
        while self._loop.time() < DURATION_S:
            await asyncio.sleep(self._rng.expovariate(ARRIVALS_PER_S))
            calls.append(asyncio.ensure_future(self.call()))
        await asyncio.gather(*calls)
        return self.answered_in_time


def measure(slowdown: float, *, presumes: bool, seed: int) -> int:
    async def play() -> int:
        return await Upstream(slowdown, presumes=presumes, seed=seed).play()

    return virtual_time.run(play())


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_more_calls_are_answered_in_time_with_slots_left_free(
    seed: int,
) -> None:
    before = measure(1.7, presumes=False, seed=seed)
    after = measure(1.7, presumes=True, seed=seed)
    print("answered in time", before, "with slots left free", after)
    assert after > 1.2 * before
