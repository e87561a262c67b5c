"""Cold upstreams behind the production admission control, on virtual time."""

import asyncio
from collections import abc
import contextlib
import random
import types

from burdockdeal.admission import controller
from burdockdeal.admission import state
from burdockdeal.core import call
from burdockdeal.core import errors
from burdockdeal.retry import attempts
from burdockdeal.retry import budget as budgets

#: Starts per second that a cold upstream handles, and most starts in a second.
RATE = 5.5
MOST_STARTS = 5
SLOTS = 3
SERVICE_S = 0.05
URGENT = state.RankPolicy("urgent", 0, 10.0, 0.282, 0.0)
OTHER = state.RankPolicy("other", 1, 1.0, 1.0, 0.0)
_OUTBOUND = types.SimpleNamespace(
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
        """Run a call.

        :param claim_s: seconds between its slot and its start.
        """
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
    rng: random.Random,
    rate: float,
    seconds: float,
    send: abc.Callable[[], abc.Awaitable[object]],
) -> list[object]:
    """Send calls at random times; return their results.

    :param rate: calls per second.
    """
    calls = []
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    while loop.time() < ends_at:
        calls.append(asyncio.ensure_future(send()))
        await asyncio.sleep(rng.expovariate(rate))
    return await asyncio.gather(*calls)


def make_sender(
    rng: random.Random, upstreams: dict[str, Upstream]
) -> abc.Callable[[], abc.Awaitable[bool]]:
    """Make an entry that sends calls of both ranks to any of the upstreams."""
    loop = asyncio.get_running_loop()

    def choose(work, tried):
        names = [name for name in upstreams if name not in tried]
        if not names:
            return None
        return types.SimpleNamespace(
            daemon=rng.choice(names), upstream_incarnation=1
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
            async with make_attempts(work, _OUTBOUND).open():
                return True
        except errors.NotRunError:
            return False

    return send
