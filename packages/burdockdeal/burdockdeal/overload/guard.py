"""The guard of an entry: what it takes on before anything is sent."""

import asyncio
from collections import abc
import contextlib
import random

from burdockdeal.configuration import resources
from burdockdeal.core import call
from burdockdeal.core import errors
from burdockdeal.core import journal
from burdockdeal.core import verdict
from burdockdeal.overload import decisions
from burdockdeal.overload import state
from burdockdeal.retry import decisions as retry

#: Seconds between two looks at how late the loop runs.
TICK_S = 0.05


class Guard:
    """Holds the counts of one entry's work.

    :param ranks: returns the ranks as configured now.
    :param limit: requests in progress at most.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        ranks: abc.Callable[[], abc.Mapping[str, resources.Rank]],
        limit: int,
        clock: abc.Callable[[], float],
        chance: random.Random,
    ) -> None:
        self._ranks = ranks
        self._limit = limit
        self._clock = clock
        self._chance = chance
        self._windows: dict[tuple[str, str], state.Window] = {}
        self._arrivals: dict[str, state.Window] = {}
        self._in_progress: dict[str, int] = {}
        self._timer: asyncio.TimerHandle | None = None
        self.strain = state.Strain()
        self.shed = 0

    async def __aenter__(self) -> "Guard":
        self._expect_tick()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self._timer is not None:
            self._timer.cancel()

    @property
    def in_progress(self) -> int:
        """How many requests are not yet answered."""
        return sum(self._in_progress.values())

    def _expect_tick(self) -> None:
        loop = asyncio.get_running_loop()
        due = self._clock() + TICK_S
        self._timer = loop.call_later(TICK_S, self._tick, due)

    def _tick(self, due: float) -> None:
        before = self.strain
        self.strain = decisions.note_tick(
            before,
            max(0.0, self._clock() - due),
            in_progress=self.in_progress,
        )
        if bool(before.pressure) is not bool(self.strain.pressure):
            journal.record(
                "loop_strained" if self.strain.pressure else "loop_recovered",
                lag_ms=round(self.strain.lag_s * 1000, 1),
                in_progress=self.in_progress,
            )
        self._expect_tick()

    def _shares(self, now: float) -> dict[str, state.Share]:
        faded = {
            name: decisions.fade(window, now).arrived
            for name, window in self._arrivals.items()
        }
        return {
            name: state.Share(
                worth=rank.worth,
                floor=rank.floor,
                in_progress=self._in_progress.get(name, 0),
                arrived=faded.get(name, 0.0),
            )
            for name, rank in self._ranks().items()
        }

    def _admit(self, work: call.Call, now: float) -> bool:
        window = self._windows.get((work.service, work.rank), _EMPTY)
        refused = decisions.find_refused_share(window, now)
        strained = self.strain.pressure or self.in_progress >= self._limit / 2
        if strained:
            shares = self._shares(now)
            if not decisions.has_room(work.rank, shares, self._limit):
                return False
            shed = decisions.find_shed_share(work.rank, shares, self.strain)
            refused = 1 - (1 - refused) * (1 - shed)
        return not refused or self._chance.random() >= refused

    @contextlib.contextmanager
    def hold(self, work: call.Call) -> abc.Iterator[None]:
        """Count a request as in progress while the block runs.

        :raises NotRunError: if it is shed.
        """
        now = self._clock()
        key, rank = (work.service, work.rank), work.rank
        admitted = self._admit(work, now)
        self._windows[key] = decisions.note_arrival(
            self._windows.get(key, _EMPTY), now, sent=admitted
        )
        self._arrivals[rank] = decisions.note_arrival(
            self._arrivals.get(rank, _EMPTY), now, sent=admitted
        )
        if not admitted:
            self.shed += 1
            raise errors.NotRunError(verdict.Reason.OVERLOADED)
        self._in_progress[rank] = self._in_progress.get(rank, 0) + 1
        try:
            yield
        except errors.NotRunError as error:
            if error.reason in retry.FULL_REASONS:
                self._windows[key] = decisions.note_refusal(
                    self._windows[key], self._clock()
                )
            raise
        finally:
            self._in_progress[rank] -= 1


_EMPTY = state.Window()
