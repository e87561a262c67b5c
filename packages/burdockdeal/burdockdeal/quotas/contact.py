"""How much of the fleet a lender reaches, from one moment to the next.

The roster suspects daemons one by one. A lender that is cut off would go on
lending for seconds, while another daemon lends in its place.
"""

import asyncio
from collections import abc
import itertools
import random

from burdockdeal.membership import messages as membership
from burdockdeal.quotas import decisions
from burdockdeal.quotas import fleet_view
from burdockdeal.quotas import messages
from burdockdeal.quotas import reach

#: Seconds between two probes while all daemons answer, and between two samples
#: while some do not.
_PROBE_INTERVAL_S = 0.3
_SAMPLE_INTERVAL_S = 0.4

#: Seconds within which a daemon must answer.
_TIMEOUT_S = 0.2

#: Daemons in a sample.
_SAMPLE_SIZE = 8

#: Seconds for which a probe says something.
_MAX_AGE_S = 1.0


class Contact:
    """Probes other daemons at random while this one lends.

    :param view: the daemons known.
    :param routes: sends messages to them.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        view: fleet_view.FleetView,
        routes: reach.RouteFinder,
        clock: abc.Callable[[], float],
    ) -> None:
        self._view = view
        self._routes = routes
        self._clock = clock
        self._rng = random.Random(view.own)
        self._share = 1.0
        self._probed_at = self._answered_at = -_MAX_AGE_S
        self._tasks: set[asyncio.Task[None]] = set()

    def close(self) -> None:
        """Cancel the probes."""
        for task in self._tasks:
            task.cancel()

    @property
    def share(self) -> float:
        """The share of the daemons taken to be alive that are reached."""
        return max(self._share, 1 / max(1, len(self._view.ring)))

    @property
    def is_known(self) -> bool:
        """Whether the share comes from recent probes."""
        return self._clock() - self._answered_at < _MAX_AGE_S

    def probe(self, workspace: str) -> None:
        """Probe a daemon, or a sample if one did not answer.

        :param workspace: one for which this daemon lends.
        """
        now = self._clock()
        elapsed_s = now - self._probed_at
        if self._share < 1.0:
            if elapsed_s >= _SAMPLE_INTERVAL_S:
                self._sample(workspace)
        elif elapsed_s >= _PROBE_INTERVAL_S:
            self._probed_at = now
            self._start(self._probe_one(workspace))

    def begin(self, workspace: str) -> None:
        """Probe some daemons at once, unless that was done just now."""
        if self._clock() - self._probed_at >= _SAMPLE_INTERVAL_S:
            self._sample(workspace)

    def _sample(self, workspace: str) -> None:
        self._probed_at = self._clock()
        self._start(self._probe_sample(workspace))

    def _start(self, probing: abc.Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(probing)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe_one(self, workspace: str) -> None:
        chosen = self._choose(1)
        if all(await self._ask(chosen, workspace)):
            self._answered_at = self._clock()
        else:
            await self._probe_sample(workspace)

    async def _probe_sample(self, workspace: str) -> None:
        self._probed_at = self._clock()
        answered = await self._ask(self._choose(_SAMPLE_SIZE), workspace)
        self._answered_at = self._clock()
        self._share = decisions.update_reached_share(self._share, answered)

    async def _ask(
        self, daemons: abc.Collection[str], workspace: str
    ) -> list[bool]:
        question = messages.CreditRequest(workspace, 0, hops=0)
        replies = await asyncio.gather(
            *(
                self._routes.send(daemon, question, _TIMEOUT_S)
                for daemon in daemons
            )
        )
        return [reply is not None for reply in replies]

    def _choose(self, count: int) -> list[str]:
        """Choose daemons at random that the roster takes to be alive."""
        drawn = (self._view.ring.choose(self._rng) for _ in range(2 * count))
        # Without those that were drawn twice, in the order of the draw.
        others = filter(self._is_other, dict.fromkeys(drawn))
        return list(itertools.islice(others, count))

    def _is_other(self, daemon: str) -> bool:
        member = self._view.roster.find(daemon)
        return (
            daemon != self._view.own
            and member is not None
            and member.health is membership.Health.ALIVE
        )
