"""Compares trying several busy instances with queueing at the first one.

Guards against a choice that loses to plain queueing. The load is that of a
busy service with four instances: calls arrive at random, at 4/5 of the
capacity or in a flood beyond it, at daemons that know of the load what the
last refusals told them. Both variants run in virtual time on the same
arrivals.
"""

import asyncio
import contextlib
import random
import statistics
import types

import pytest

from burdockdeal.admission import controller
from burdockdeal.admission import state as admission
from burdockdeal.core import call
from burdockdeal.retry import attempts
from burdockdeal.retry import budget as budgets
from burdockdeal.retry import decisions
from burdockdeal_standins import virtual_time

INSTANCES = 4
SLOTS = 7
CALLS = 3000
ARRIVALS_PER_S = 65.0
SERVICE_S = 0.343
ROUND_TRIP_S = 0.003
OBJECTIVE_S = 0.6
DEADLINE_S = 1.5
TERMS = admission.RankPolicy("lookup", 1, 1.0, 0.3 * OBJECTIVE_S, 0.0, 0.2)
OUTBOUND = types.SimpleNamespace(
    body=types.SimpleNamespace(is_streamed=False, is_replayable=True)
)


class Simulation:
    """Instances with admission control and a daemon that calls them.

    :param informed: whether the daemon chooses the instance with the fewest
        calls, as far as refusals and responses have told it, and not one at
        random.
    """

    def __init__(
        self,
        seed: int,
        *,
        arrivals_per_s: float = ARRIVALS_PER_S,
        informed: bool = False,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        self._arrivals_per_s = arrivals_per_s
        self._informed = informed
        self._loads: dict[str, int] = {}
        self.latencies_s: list[float] = []
        self.sends = 0
        self.controllers = {
            f"d{number}": controller.AdmissionController(
                loop.time, lambda: admission.Capacity(SLOTS, SLOTS, 64)
            )
            for number in range(INSTANCES)
        }
        self.make_attempts = attempts.make_factory(
            choose=self._choose,
            open_response=self._open,
            budget=budgets.Budget(),
            clock=loop.time,
        )

    def _choose(self, work, tried):
        names = [name for name in self.controllers if name not in tried]
        if not names:
            return None
        self.rng.shuffle(names)
        daemon = names[0]
        if self._informed:
            daemon = min(names, key=lambda name: self._loads.get(name, 0))
        return types.SimpleNamespace(daemon=daemon, upstream_incarnation=1)

    @contextlib.asynccontextmanager
    async def _open(self, work, outbound, member, attempt, may_queue):
        self.sends += 1
        await asyncio.sleep(ROUND_TRIP_S)
        owner = self.controllers[member.daemon]
        held = owner.hold_slot(TERMS, work.deadline, may_queue=may_queue)
        try:
            async with held:
                await asyncio.sleep(float(work.request_id))
                yield types.SimpleNamespace(status=200)
        finally:
            self._loads[member.daemon] = owner.running + owner.waiting

    async def send_call(self, service_s: float) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        work = call.Call(
            request_id=str(service_s),
            service="orders",
            rank="lookup",
            deadline=started + DEADLINE_S,
            retry_tokens=16,
            max_sends=1,
        )
        try:
            async with self.make_attempts(work, OUTBOUND).open():
                self.latencies_s.append(loop.time() - started)
        except attempts.errors.NotRunError:
            pass

    async def simulate(self) -> None:
        calls = []
        for _ in range(CALLS):
            await asyncio.sleep(self.rng.expovariate(self._arrivals_per_s))
            service_s = SERVICE_S * self.rng.lognormvariate(-0.03, 0.25)
            calls.append(asyncio.ensure_future(self.send_call(service_s)))
        await asyncio.gather(*calls)

    @property
    def in_time_share(self) -> float:
        return (
            sum(latency_s < OBJECTIVE_S for latency_s in self.latencies_s)
            / CALLS
        )


def simulate(seed: int, **options: object) -> Simulation:
    async def run() -> Simulation:
        simulation = Simulation(seed, **options)
        await simulation.simulate()
        return simulation

    return virtual_time.run(run())


@pytest.mark.parametrize("seed", range(3))
def test_trying_others_beats_queueing_at_the_first_instance(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    trying = simulate(seed)
    monkeypatch.setattr(decisions, "MAX_BUSY_REFUSALS", 0)
    queueing = simulate(seed)
    late_share = 1 - queueing.in_time_share
    assert 1 - trying.in_time_share <= late_share / 2
    queueing_mean_s = statistics.mean(queueing.latencies_s)
    assert statistics.mean(trying.latencies_s) < queueing_mean_s
    assert trying.sends <= 2.5 * CALLS


@pytest.mark.parametrize("seed", range(3))
def test_a_flood_is_not_multiplied_by_asking_full_instances(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each call asked four full instances before it queued or was refused."""
    flood = {"arrivals_per_s": 1.6 * ARRIVALS_PER_S, "informed": True}
    after = simulate(seed, **flood)
    limits = ((1.0, decisions.MAX_BUSY_REFUSALS),)
    monkeypatch.setattr(decisions, "_MAX_FULL_REFUSALS", limits)
    before = simulate(seed, **flood)
    print("sends", before.sends, "to", after.sends)
    print("in time", before.in_time_share, "to", after.in_time_share)
    assert after.sends < 0.6 * before.sends
    assert after.in_time_share > 0.97 * before.in_time_share
