"""Cold upstreams under load, in virtual time.

Guards against more starts on a cold upstream than its rate, which crash it,
and against calls that wait in vain for it while another could run them.
"""

import asyncio
import contextlib
import random
import types

import pytest

from burdockdeal.admission import controller
from burdockdeal.admission import state
from burdockdeal.core import call
from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.retry import attempts
from burdockdeal.retry import budget as budgets
from burdockdeal_standins import virtual_time

RATE = 5.5
MOST_STARTS = 5
SLOTS = 3
SERVICE_S = 0.05
URGENT = state.RankPolicy("urgent", 0, 10.0, 0.282, 0.0)
OTHER = state.RankPolicy("other", 1, 1.0, 1.0, 0.0)
OUTBOUND = types.SimpleNamespace(
    body=types.SimpleNamespace(is_streamed=False, is_replayable=True)
)


class Upstream:
    """An upstream and its owner's admission control.

    :param cold_until: virtual time, in seconds, at which it is warm.
    """

    def __init__(
        self, cold_until: float = 1e9, slots: int = SLOTS, limit: int = 64
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.cold_until = cold_until
        self.starts: list[float] = []
        self.owner = controller.AdmissionController(
            self.loop.time,
            lambda: state.Capacity(
                slots, slots, limit, pace=state.Pace(RATE, self.cold_until)
            ),
        )

    @contextlib.asynccontextmanager
    async def run(
        self,
        policy: state.RankPolicy = OTHER,
        *,
        may_queue: bool = True,
        claim_s: float = 0.0,
    ):
        deadline = self.loop.time() + 2.0
        async with self.owner.hold_slot(
            policy, deadline, may_queue=may_queue
        ) as record_start:
            await asyncio.sleep(claim_s)
            record_start()
            self.starts.append(self.loop.time())
            await asyncio.sleep(SERVICE_S)
            yield types.SimpleNamespace(status=200)

    async def find_outcome(
        self, policy: state.RankPolicy = OTHER, **options: object
    ) -> tuple[str, float]:
        """Run a call; return its outcome and the time of it."""
        try:
            async with self.run(policy, **options):
                return "RAN", self.loop.time()
        except errors.NotRunError as error:
            return error.reason.value, self.loop.time()

    def count_most_starts(self, after: float = 0.0) -> int:
        """Count the starts of the second before any one, at most."""
        return max(
            sum(at - 1 < other <= at for other in self.starts)
            for at in self.starts
            if at > after
        )


async def send_at_random(
    rng: random.Random, rate: float, seconds: float, send
) -> list:
    calls = []
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    while loop.time() < ends_at:
        calls.append(asyncio.ensure_future(send()))
        await asyncio.sleep(rng.expovariate(rate))
    return await asyncio.gather(*calls)


@pytest.mark.parametrize("seed", range(3))
def test_a_domain_that_comes_back_cold_starts_calls_at_its_rate(
    seed: int,
) -> None:
    """Eight upstreams that are cold together get four times what they run."""

    async def play() -> None:
        rng = random.Random(seed)
        loop = asyncio.get_running_loop()
        upstreams = {f"d{number}": Upstream() for number in range(8)}

        def choose(work, tried):
            names = [name for name in upstreams if name not in tried]
            return (
                types.SimpleNamespace(
                    daemon=rng.choice(names), upstream_incarnation=1
                )
                if names
                else None
            )

        make_attempts = attempts.make_factory(
            choose=choose,
            open_response=lambda work, outbound, member, number, may_queue: (
                upstreams[member.daemon].run(
                    rng.choice((URGENT, OTHER)), may_queue=may_queue
                )
            ),
            budget=budgets.Budget(),
            clock=loop.time,
        )

        async def send() -> bool:
            work = call.Call("r", "orders", "any", loop.time() + 2.0)
            try:
                async with make_attempts(work, OUTBOUND).open():
                    return True
            except errors.NotRunError:
                return False

        await send_at_random(rng, 4 * 8 * RATE, 8.0, send)
        counts = [len(each.starts) for each in upstreams.values()]
        assert max(
            each.count_most_starts() for each in upstreams.values()
        ) <= (MOST_STARTS)
        # The refusals of one must not leave the starts of another unused.
        assert min(counts) >= 0.9 * MOST_STARTS * 8

    virtual_time.run(play())


@pytest.mark.parametrize("claim_s", [0.0, 0.4])
def test_an_upstream_turns_cold_under_load_and_warm_again(
    claim_s: float,
) -> None:
    """Starts before that count, and so do calls between slot and start."""

    async def play() -> None:
        upstream = Upstream(cold_until=0.0, slots=12)
        loop, rng = asyncio.get_running_loop(), random.Random(1)

        async def turn_cold() -> None:
            await asyncio.sleep(2.0)
            upstream.cold_until = 5.0
            upstream.owner.notify_capacity_change()

        turning = asyncio.ensure_future(turn_cold())
        await send_at_random(
            rng,
            30.0,
            7.0,
            lambda: upstream.find_outcome(
                may_queue=rng.random() < 0.5, claim_s=claim_s
            ),
        )
        await turning
        while_cold = [at for at in upstream.starts if 2.0 < at <= 5.0]
        for at in while_cold:
            recent = [x for x in upstream.starts if at - 1 < x <= at]
            assert len(recent) <= MOST_STARTS
        assert len(while_cold) >= MOST_STARTS
        assert sum(at > 5.5 for at in upstream.starts) > 30
        assert loop.time() < 10
        assert not upstream.owner.waiting

    virtual_time.run(play())


def test_a_call_that_may_run_elsewhere_is_refused_at_once() -> None:
    """The start of a call that is being claimed is not given to another."""

    async def play() -> None:
        upstream = Upstream(slots=12)
        outcomes = await asyncio.gather(
            *(
                upstream.find_outcome(may_queue=False, claim_s=0.4)
                for _ in range(6)
            )
        )
        assert [reason for reason, _ in outcomes] == ["RAN"] * 5 + ["COLD"]
        assert outcomes[-1][1] == 0.0

    virtual_time.run(play())


def test_waiting_calls_start_by_urgency_and_the_excess_is_shed() -> None:
    """Urgent calls arrive at a cold upstream whose queue is full of others."""

    async def play() -> None:
        upstream = Upstream(limit=4)
        await asyncio.gather(*(upstream.find_outcome() for _ in range(5)))
        others = [
            asyncio.ensure_future(upstream.find_outcome()) for _ in range(5)
        ]
        await asyncio.sleep(0.75)
        arrived = asyncio.get_running_loop().time()
        urgent = await asyncio.gather(
            *(upstream.find_outcome(URGENT) for _ in range(3))
        )
        assert [reason for reason, _ in urgent] == ["RAN"] * 3
        ended = await asyncio.gather(*others)
        reasons = [reason for reason, _ in ended]
        # Two keep a start that is left by their target; the queue had four.
        assert reasons[4] == "QUEUE_FULL"
        shed = [at for reason, at in ended if reason == "SHED"]
        assert shed
        assert max(shed) - arrived < 0.01
        assert upstream.count_most_starts() <= MOST_STARTS

    virtual_time.run(play())


def test_what_can_not_start_within_its_target_does_not_wait() -> None:
    """A queue that turns cold is cut to what the pace can start in time."""

    async def play() -> None:
        upstream = Upstream(cold_until=0.0)
        waiting = [
            asyncio.ensure_future(upstream.find_outcome()) for _ in range(40)
        ]
        await asyncio.sleep(0.01)
        upstream.cold_until = 1e9
        upstream.owner.notify_capacity_change()
        assert upstream.owner.waiting <= MOST_STARTS
        assert (await upstream.find_outcome())[0] == "TARGET_MISSED"
        ended = await asyncio.gather(*waiting)
        assert sum(reason == "SHED" for reason, _ in ended) >= 30
        assert upstream.count_most_starts(0.02) <= MOST_STARTS

    virtual_time.run(play())


def test_waiting_calls_of_an_evacuated_domain_are_refused_at_once() -> None:
    async def play() -> None:
        upstream = Upstream()
        await asyncio.gather(*(upstream.find_outcome() for _ in range(5)))
        waiting = [
            asyncio.ensure_future(upstream.find_outcome()) for _ in range(4)
        ]
        await asyncio.sleep(0.2)
        evacuated_at = asyncio.get_running_loop().time()
        upstream.owner.refuse_waiting(verdict.Reason.EVACUATED)
        ended = await asyncio.gather(*waiting)
        assert ended == [("EVACUATED", evacuated_at)] * 4
        assert not upstream.owner.waiting

    virtual_time.run(play())
