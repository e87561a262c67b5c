"""Load shedding at the entry, before a request is sent to an instance."""

import asyncio
import collections
from collections import abc
import contextlib
import dataclasses
import random

from burdockdeal.configuration import resources
from burdockdeal.core import call
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.core import verdict
from burdockdeal.overload import decisions
from burdockdeal.overload import retry_after
from burdockdeal.overload import state

#: Seconds between two measurements of the lag of the loop.
TICK_S = 0.05

#: Refusals for lack of capacity.
_FLOOD_REASONS = verdict.OVERLOAD_REASONS | {
    verdict.Reason.BUSY,
    verdict.Reason.COLD,
}

#: The part of the adaptive limit below which every rank has capacity.
_UNCONTENDED_SHARE = 0.3


#: Number of flows from which on those without recent requests are dropped.
_MAX_FLOWS = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class _Flow:
    """The requests of one workspace for a service, in one rank."""

    service: str
    rank: str
    workspace: str


class LoadShedder:
    """Sheds requests that this daemon or the instances have no capacity for.

    Two limits apply. The requests in progress are limited by the lag of
    the event loop and shared among the ranks. Requests of a service and
    rank that the instances keep refusing are shed at random, in proportion
    to the refusals. Both treat workspaces apart, so that one that sends
    several times its usual rate does not have those of the others shed.

    :param get_ranks: returns the configured ranks by name.
    :param limit: requests that may be in progress.
    :param clock: returns monotonic time in seconds.
    :param rng: decides which requests are shed.
    """

    def __init__(
        self,
        get_ranks: abc.Callable[[], abc.Mapping[str, resources.Rank]],
        limit: int,
        clock: abc.Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._get_ranks = get_ranks
        self._limit = limit
        self._clock = clock
        self._rng = rng
        self._counts: dict[_Flow, state.DecayedCounts] = {}
        self._floods: dict[tuple[str, str], retry_after.Flood] = {}
        self._in_progress: dict[str, int] = {}
        self._workspaces: collections.Counter[str] = collections.Counter()
        self._measures_lag = False
        self._timer: asyncio.TimerHandle | None = None
        self.in_progress = 0
        self.adaptive_limit = state.AdaptiveLimit(float(limit))
        self.shed = 0

    async def __aenter__(self) -> "LoadShedder":
        self._measures_lag = True
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._measures_lag = False
        if self._timer is not None:
            self._timer.cancel()

    def _schedule_tick(self) -> None:
        loop = asyncio.get_running_loop()
        due = self._clock() + TICK_S
        self._timer = loop.call_later(TICK_S, self._tick, due)

    def _tick(self, due: float) -> None:
        before = self.adaptive_limit
        self.adaptive_limit = decisions.adjust_limit(
            before,
            max(0.0, self._clock() - due),
            in_progress=self.in_progress,
            limit=self._limit,
        )
        was_limited, is_limited = (
            each.max_in_progress < self._limit
            for each in (before, self.adaptive_limit)
        )
        if was_limited is not is_limited:
            event_log.record(
                "loop_lagging" if is_limited else "loop_recovered",
                lag_ms=round(self.adaptive_limit.lag_s * 1000, 1),
                in_progress=self.in_progress,
            )
        self._timer = None
        if self.in_progress or is_limited:
            self._schedule_tick()

    def _measure_usage(self) -> dict[str, state.RankUsage]:
        return {
            name: state.RankUsage(
                worth=rank.worth,
                floor=rank.floor,
                in_progress=self._in_progress.get(name, 0),
            )
            for name, rank in self._get_ranks().items()
        }

    def _is_admitted(
        self, work: call.Call, counts: state.DecayedCounts
    ) -> bool:
        allowed = self.adaptive_limit.max_in_progress
        if work.workspace and not decisions.has_fair_share(
            self._workspaces, work.workspace, allowed
        ):
            return False
        if (
            self.in_progress >= allowed * _UNCONTENDED_SHARE
            and not decisions.has_capacity(
                work.rank, self._measure_usage(), allowed
            )
        ):
            return False
        shed_share = decisions.compute_shed_share(counts, self._clock())
        return not shed_share or self._rng.random() >= shed_share

    @contextlib.contextmanager
    def admit(self, work: call.Call) -> abc.Iterator[None]:
        """Count a request as in progress while the block runs.

        A refusal by the instances for lack of capacity is recorded and
        raised again.

        :raises NotRunError: if the request is shed.
        """
        key = (work.service, work.rank)
        flow = _Flow(work.service, work.rank, work.workspace)
        counts = self._counts.get(flow, _NO_CALLS)
        admitted = self._is_admitted(work, counts)
        self._record_counts(
            flow,
            decisions.record_arrival(counts, self._clock(), sent=admitted),
        )
        if not admitted:
            self.shed += 1
            error = errors.NotRunError(verdict.Reason.OVERLOADED)
            error.retry_after_s = self._choose_retry_after(key)
            raise error
        self._count(work, 1)
        try:
            yield
        except errors.NotRunError as error:
            if error.reason in verdict.OVERLOAD_REASONS:
                self._record_counts(
                    flow,
                    decisions.record_refusal(
                        self._counts.get(flow, _NO_CALLS), self._clock()
                    ),
                )
            if error.reason in _FLOOD_REASONS:
                error.retry_after_s = self._choose_retry_after(key)
            raise
        finally:
            self._count(work, -1)

    def _choose_retry_after(self, key: tuple[str, str]) -> float:
        now = self._clock()
        flood = retry_after.record_refusal(self._floods.get(key), now)
        self._floods[key] = flood
        return retry_after.choose_retry_after(flood, now, self._rng)

    def _record_counts(self, flow: _Flow, counts: state.DecayedCounts) -> None:
        if len(self._counts) >= _MAX_FLOWS and flow not in self._counts:
            now = self._clock()
            self._counts = {
                known: each
                for known, each in self._counts.items()
                if not decisions.is_decayed(each, now)
            }
        self._counts[flow] = counts

    def _count(self, work: call.Call, change: int) -> None:
        self.in_progress += change
        if work.workspace:
            self._workspaces[work.workspace] += change
            if not self._workspaces[work.workspace]:
                del self._workspaces[work.workspace]
        if self._measures_lag and self._timer is None:
            # Without requests in progress, the lag does not matter.
            self._schedule_tick()
        in_progress = self._in_progress.get(work.rank, 0)
        self._in_progress[work.rank] = in_progress + change


_NO_CALLS = state.DecayedCounts()
