"""The guard of an entry: what it takes on before anything is sent."""

import asyncio
from collections import abc
import contextlib
import random

from burdockdeal.configuration import resources
from burdockdeal.core import call
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.core import verdict
from burdockdeal.overload import decisions
from burdockdeal.overload import state
from burdockdeal.retry import decisions as retry

#: Seconds between two looks at how late the loop runs.
TICK_S = 0.05

#: The part of what is allowed below which every rank has room.
_CROWDED = 0.3


class LoadShedder:
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
        self._in_progress: dict[str, int] = {}
        self._timer: asyncio.TimerHandle | None = None
        self.in_progress = 0
        self.adaptive_limit = state.AdaptiveLimit(float(limit))
        self.shed = 0

    async def __aenter__(self) -> "LoadShedder":
        self._expect_tick()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _expect_tick(self) -> None:
        loop = asyncio.get_running_loop()
        due = self._clock() + TICK_S
        self._timer = loop.call_later(TICK_S, self._tick, due)

    def _tick(self, due: float) -> None:
        before = self.adaptive_limit
        self.adaptive_limit = decisions.note_tick(
            before,
            max(0.0, self._clock() - due),
            in_progress=self.in_progress,
            limit=self._limit,
        )
        was, now = (
            strain.allowed < self._limit
            for strain in (before, self.adaptive_limit)
        )
        if was is not now:
            event_log.record(
                "loop_strained" if now else "loop_recovered",
                lag_ms=round(self.adaptive_limit.lag_s * 1000, 1),
                in_progress=self.in_progress,
            )
        self._expect_tick()

    def _shares(self) -> dict[str, state.Share]:
        return {
            name: state.Share(
                worth=rank.worth,
                floor=rank.floor,
                in_progress=self._in_progress.get(name, 0),
            )
            for name, rank in self._ranks().items()
        }

    def _is_admitted(self, work: call.Call, window: state.Window) -> bool:
        allowed = self.adaptive_limit.allowed
        if self.in_progress >= allowed * _CROWDED and not decisions.has_room(
            work.rank, self._shares(), allowed
        ):
            return False
        refused = decisions.find_refused_share(window, self._clock())
        return not refused or self._chance.random() >= refused

    @contextlib.contextmanager
    def admit(self, work: call.Call) -> abc.Iterator[None]:
        """Count a request as in progress while the block runs.

        :raises NotRunError: if it is shed.
        """
        key, rank = (work.service, work.rank), work.rank
        window = self._windows.get(key, _EMPTY)
        admitted = self._is_admitted(work, window)
        self._windows[key] = decisions.note_arrival(
            window, self._clock(), sent=admitted
        )
        if not admitted:
            self.shed += 1
            raise errors.NotRunError(verdict.Reason.OVERLOADED)
        self._count(rank, 1)
        try:
            yield
        except errors.NotRunError as error:
            if error.reason in retry.FULL_REASONS:
                self._windows[key] = decisions.note_refusal(
                    self._windows[key], self._clock()
                )
            raise
        finally:
            self._count(rank, -1)

    def _count(self, rank: str, change: int) -> None:
        self.in_progress += change
        self._in_progress[rank] = self._in_progress.get(rank, 0) + change


_EMPTY = state.Window()
