"""One workspace at several times its rate competes with others for slots."""

import asyncio
import collections
import random

import pytest

from burdockdeal.admission import controller
from burdockdeal.admission import fairness
from burdockdeal.admission import state
from burdockdeal.core import errors
from burdockdeal_standins import virtual_time

SLOTS = 3
SERVICE_S = 0.1
#: Calls a second that the upstream can run.
CAPACITY_PER_S = SLOTS / SERVICE_S
LOOKUP = state.RankPolicy("lookup", 1, 10.0, 0.4, 0.0)
URGENT = state.RankPolicy("urgent", 0, 20.0, 0.2, 0.0)
QUIET = ("quiet-1", "quiet-2", "quiet-3")


class Upstream:
    """Offers calls of several workspaces to one upstream, in virtual time."""

    def __init__(self, *, fair: bool, queue_limit: int = 64) -> None:
        capacity = state.Capacity(SLOTS, 1, queue_limit)
        self.controller = controller.AdmissionController(
            asyncio.get_running_loop().time, lambda: capacity
        )
        self.fair = fair
        self.offered: collections.Counter[str] = collections.Counter()
        self.served: collections.Counter[str] = collections.Counter()

    async def call(
        self,
        workspace: str,
        policy: state.RankPolicy = LOOKUP,
        weight: float = 1.0,
    ) -> None:
        self.offered[workspace] += 1
        deadline = asyncio.get_running_loop().time() + 1.5
        try:
            async with self.controller.hold_slot(
                policy,
                deadline,
                workspace=workspace if self.fair else "",
                weight=weight,
            ):
                await asyncio.sleep(SERVICE_S)
        except errors.NotRunError:
            return
        self.served[workspace] += 1

    async def offer(
        self,
        rates: dict[str, float],
        *,
        seed: int,
        seconds: float = 20.0,
        **terms: object,
    ) -> None:
        """Offer calls at random times at the given rates, each second."""
        rng = random.Random(seed)
        arrivals = sorted(
            (rng.uniform(0.0, seconds), workspace)
            for workspace, rate in rates.items()
            for _ in range(round(rate * seconds))
        )
        started = asyncio.get_running_loop().time()
        tasks = []
        for at, workspace in arrivals:
            now = asyncio.get_running_loop().time() - started
            await asyncio.sleep(max(0.0, at - now))
            tasks.append(asyncio.ensure_future(self.call(workspace, **terms)))
        await asyncio.gather(*tasks)

    def find_share(self, workspace: str) -> float:
        return self.served[workspace] / self.offered[workspace]


def play(*, fair: bool, seed: int, queue_limit: int = 64) -> Upstream:
    async def main() -> Upstream:
        upstream = Upstream(fair=fair, queue_limit=queue_limit)
        rates = dict.fromkeys(QUIET, CAPACITY_PER_S / 6)
        await upstream.offer(rates | {"hot": 3 * CAPACITY_PER_S}, seed=seed)
        return upstream

    return virtual_time.run(main())


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("queue_limit", [4, 64])
def test_a_hot_workspace_does_not_starve_the_others(
    seed: int, queue_limit: int
) -> None:
    """The others together ask for half of the upstream, the hot one for three.

    In the order of targets each is served by its share of the arrivals; in
    the fair order the quiet ones get nearly all that they ask for.
    """
    before = play(fair=False, seed=seed, queue_limit=queue_limit)
    after = play(fair=True, seed=seed, queue_limit=queue_limit)
    for workspace in QUIET:
        assert before.find_share(workspace) < 0.6
        assert after.find_share(workspace) > 0.85
    # The hot workspace gets what the others leave, and no slot stays idle.
    total = sum(after.served.values())
    assert total > 0.9 * sum(before.served.values())


def test_a_weight_gives_a_share_of_the_slots() -> None:
    async def main() -> Upstream:
        upstream = Upstream(fair=True)
        flood = 2 * CAPACITY_PER_S
        await asyncio.gather(
            upstream.offer({"small": flood}, seed=1),
            upstream.offer({"large": flood}, seed=2, weight=3.0),
        )
        return upstream

    served = virtual_time.run(main()).served
    assert served["large"] / served["small"] == pytest.approx(3.0, rel=0.15)


def test_urgency_goes_before_fairness() -> None:
    """A hot workspace's urgent calls are served before others' lookups."""

    async def main() -> Upstream:
        upstream = Upstream(fair=True)
        await asyncio.gather(
            upstream.offer(
                {"hot": 0.8 * CAPACITY_PER_S}, seed=1, policy=URGENT
            ),
            upstream.offer({"other": CAPACITY_PER_S}, seed=2),
        )
        return upstream

    upstream = virtual_time.run(main())
    assert upstream.find_share("hot") > 0.9
    assert upstream.find_share("hot") > upstream.find_share("other")


def test_without_workspaces_calls_start_in_the_order_of_targets() -> None:
    """Deployments without workspaces are served as before."""
    started: list[int] = []

    async def main() -> None:
        upstream = Upstream(fair=True)

        async def call(number: int) -> None:
            async with upstream.controller.hold_slot(LOOKUP, 1e6):
                started.append(number)
                await asyncio.sleep(SERVICE_S)

        await asyncio.gather(*(call(number) for number in range(9)))

    virtual_time.run(main())
    assert started == list(range(9))


def test_an_idle_workspace_gains_no_credit() -> None:
    shares = fairness.FairShares()
    for _ in range(100):
        shares = fairness.record_start(shares, "busy", 1.0)
    assert shares.find_start_tag("idle") == shares.virtual_time
    assert list(shares.finish_tags) == ["busy"]


def test_the_state_is_bounded_by_the_recently_served() -> None:
    shares = fairness.FairShares()
    for number in range(1000):
        shares = fairness.record_start(shares, f"w-{number}", 1.0)
        shares = fairness.record_start(shares, "steady", 1.0)
    assert len(shares.finish_tags) < 4


def test_the_heaviest_workspace_makes_room() -> None:
    flows = [
        fairness.Flow("large", 4.0, 8),
        fairness.Flow("hot", 1.0, 6),
        fairness.Flow("small", 1.0, 1),
    ]
    choose = fairness.choose_shed_workspace
    assert choose(flows, "small", 1.0) == "hot"
    assert choose(flows, "large", 4.0) == "hot"
    assert choose(flows, "hot", 1.0) is None
    assert choose([], "any", 1.0) is None
