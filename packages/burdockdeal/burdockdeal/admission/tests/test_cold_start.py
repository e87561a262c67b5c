"""Cold upstreams under load, in virtual time.

Guards against more starts on a cold upstream than its rate, which crash it,
and against calls that wait in vain for it while another could run them.
"""

import asyncio
import random

import pytest

from burdockdeal.core import verdict
from burdockdeal_standins import cold_upstreams
from burdockdeal_standins import virtual_time


@pytest.mark.parametrize("seed", range(3))
def test_a_domain_that_comes_back_cold_starts_calls_at_its_rate(
    seed: int,
) -> None:
    """Eight upstreams that are cold together get four times what they run."""

    async def play() -> None:
        rng = random.Random(seed)
        upstreams = {
            f"d{number}": cold_upstreams.Upstream() for number in range(8)
        }
        send = cold_upstreams.make_sender(rng, upstreams)
        await cold_upstreams.send_at_random(
            rng, 4 * 8 * cold_upstreams.RATE, 8.0, send
        )
        counts = [len(each.starts) for each in upstreams.values()]
        assert max(
            each.count_most_starts() for each in upstreams.values()
        ) <= (cold_upstreams.MOST_STARTS)
        # The refusals of one must not leave the starts of another unused.
        assert min(counts) >= 0.9 * cold_upstreams.MOST_STARTS * 8

    virtual_time.run(play())


@pytest.mark.parametrize("seed", range(3))
def test_cold_upstreams_share_what_they_can_run_together(seed: int) -> None:
    """A refusal by one costs no retry, since another has a start left."""

    async def play() -> None:
        rng = random.Random(seed)
        upstreams = {
            f"d{number}": cold_upstreams.Upstream() for number in range(8)
        }
        send = cold_upstreams.make_sender(rng, upstreams)
        rate = 0.7 * 8 * cold_upstreams.MOST_STARTS
        ran = await cold_upstreams.send_at_random(rng, rate, 8.0, send)
        assert sum(ran) >= 0.95 * len(ran)

    virtual_time.run(play())


@pytest.mark.parametrize("claim_s", [0.0, 0.4])
def test_an_upstream_turns_cold_under_load_and_warm_again(
    claim_s: float,
) -> None:
    """Starts before that count, and so do calls between slot and start."""

    async def play() -> None:
        upstream = cold_upstreams.Upstream(cold_until=0.0, slots=12)
        loop, rng = asyncio.get_running_loop(), random.Random(1)

        async def turn_cold() -> None:
            await asyncio.sleep(2.0)
            upstream.cold_until = 5.0
            upstream.owner.notify_capacity_change()

        turning = asyncio.ensure_future(turn_cold())
        await cold_upstreams.send_at_random(
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
            assert len(recent) <= cold_upstreams.MOST_STARTS
        assert len(while_cold) >= cold_upstreams.MOST_STARTS
        assert sum(at > 5.5 for at in upstream.starts) > 30
        assert loop.time() < 10
        assert not upstream.owner.waiting

    virtual_time.run(play())


def test_a_call_that_may_run_elsewhere_is_refused_at_once() -> None:
    """The start of a call that is being claimed is not given to another."""

    async def play() -> None:
        upstream = cold_upstreams.Upstream(slots=12)
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
        upstream = cold_upstreams.Upstream(limit=4)
        await asyncio.gather(*(upstream.find_outcome() for _ in range(5)))
        others = [
            asyncio.ensure_future(upstream.find_outcome()) for _ in range(5)
        ]
        await asyncio.sleep(0.75)
        arrived = asyncio.get_running_loop().time()
        urgent = await asyncio.gather(
            *(upstream.find_outcome(cold_upstreams.URGENT) for _ in range(3))
        )
        assert [reason for reason, _ in urgent] == ["RAN"] * 3
        ended = await asyncio.gather(*others)
        reasons = [reason for reason, _ in ended]
        # Two keep a start that is left by their target; the queue had four.
        assert reasons[4] == "QUEUE_FULL"
        shed = [at for reason, at in ended if reason == "SHED"]
        assert shed
        assert max(shed) - arrived < 0.01
        assert upstream.count_most_starts() <= cold_upstreams.MOST_STARTS

    virtual_time.run(play())


def test_what_can_not_start_within_its_target_does_not_wait() -> None:
    """A queue that turns cold is cut to what the pace can start in time."""

    async def play() -> None:
        upstream = cold_upstreams.Upstream(cold_until=0.0)
        waiting = [
            asyncio.ensure_future(upstream.find_outcome()) for _ in range(40)
        ]
        await asyncio.sleep(0.01)
        upstream.cold_until = 1e9
        upstream.owner.notify_capacity_change()
        assert upstream.owner.waiting <= cold_upstreams.MOST_STARTS
        assert (await upstream.find_outcome())[0] == "TARGET_MISSED"
        ended = await asyncio.gather(*waiting)
        assert sum(reason == "SHED" for reason, _ in ended) >= 30
        assert upstream.count_most_starts(0.02) <= cold_upstreams.MOST_STARTS

    virtual_time.run(play())


def test_waiting_calls_of_an_evacuated_domain_are_refused_at_once() -> None:
    async def play() -> None:
        upstream = cold_upstreams.Upstream()
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
