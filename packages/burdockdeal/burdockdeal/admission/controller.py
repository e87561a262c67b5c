"""The admission controller of the upstream beside this daemon."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import itertools

from burdockdeal.admission import cold_start
from burdockdeal.admission import decisions
from burdockdeal.admission import fairness
from burdockdeal.admission import pacer
from burdockdeal.admission import queue
from burdockdeal.admission import saturation
from burdockdeal.admission import service_times
from burdockdeal.admission import state
from burdockdeal.core import errors
from burdockdeal.core import verdict

_REASONS = {
    decisions.Decision.REFUSE_FULL: verdict.Reason.QUEUE_FULL,
    decisions.Decision.REFUSE_LATE: verdict.Reason.DEADLINE_PASSED,
    decisions.Decision.REFUSE_TARGET: verdict.Reason.TARGET_MISSED,
    decisions.Decision.REFUSE_SLOW: verdict.Reason.SLOWED,
    decisions.Decision.REFUSE_BUSY: verdict.Reason.BUSY,
    decisions.Decision.REFUSE_COLD: verdict.Reason.COLD,
}

#: Minimum delay in seconds until waiting calls are considered again, so that
#: rounding can't make the loop spin.
_MIN_RESUME_S = 0.001


def _was_granted(granted: asyncio.Future[None]) -> bool:
    return (
        granted.done()
        and not granted.cancelled()
        and granted.exception() is None
    )


class AdmissionController:
    """Counts the calls in flight and queues those that wait.

    :param clock: returns monotonic time in seconds.
    :param get_capacity: returns the current capacity of the upstream.
    """

    def __init__(
        self,
        clock: abc.Callable[[], float],
        get_capacity: abc.Callable[[], state.Capacity],
    ) -> None:
        self._clock = clock
        self._get_capacity = get_capacity
        self._numbers = itertools.count(1)
        self._ranks: dict[str, state.RankState] = {}
        self._queues: dict[str, queue.RankQueue] = {}
        self._shares: dict[str, fairness.FairShares] = {}
        self._service_times = state.ServiceTimes()
        self._resume_timer: asyncio.TimerHandle | None = None
        self.saturation = saturation.SaturationDetector()
        self.pacer = pacer.Pacer(clock, lambda: get_capacity().pace)
        self.running = 0
        self.waiting = 0

    @property
    def ranks(self) -> tuple[state.RankState, ...]:
        """The counts of each rank that was seen so far."""
        return tuple(self._ranks.values())

    @property
    def is_busy(self) -> bool:
        """Whether a call that may run on another instance should do so."""
        return (
            self.waiting > 0
            or self.running >= self._get_capacity().ramped_slots
        )

    @property
    def expected_service_s(self) -> float:
        """How long a call that starts now is expected to take, in seconds."""
        return service_times.estimate_service_s(
            self._service_times,
            running=self.running,
            slots=self._get_capacity().slots,
            now=self._clock(),
        )

    @contextlib.asynccontextmanager
    async def hold_slot(
        self,
        policy: state.RankPolicy,
        deadline: float,
        *,
        streamed: bool = False,
        may_queue: bool = True,
        workspace: str = "",
        weight: float = 1.0,
    ) -> abc.AsyncIterator[abc.Callable[[], None]]:
        """Hold a slot of the upstream while the block runs.

        The block gets a function to call just before the call starts, which
        raises NotRunError if an upstream that has turned cold allows no
        further start.

        :param deadline: monotonic time in seconds.
        :param streamed: whether the body is passed on as it arrives.
        :param may_queue: whether it waits if it can't start immediately.
        :param workspace: the call's workspace, empty for none.
        :param weight: the share of that workspace relative to the others.
        :raises NotRunError: if the call is refused.
        """
        request = state.AdmissionRequest(
            next(self._numbers),
            policy,
            self._clock(),
            deadline,
            streamed,
            may_queue,
            workspace,
            weight,
        )
        await self._acquire(request)
        started = self._clock()
        fill = self.running / max(1, self._get_capacity().total_slots)
        try:
            yield lambda: self.pacer.start(request.number)
        finally:
            now = self._clock()
            if not streamed:
                self.saturation.record(
                    policy.name, now - started, now, fill=fill
                )
            self._service_times = service_times.record_end(
                self._service_times,
                now - started,
                streamed=streamed,
                now=now,
            )
            self._release(request)

    def notify_capacity_change(self) -> None:
        """Start the waiting calls that fit a changed capacity."""
        if self.waiting:
            self._start_waiting()

    def refuse_waiting(self, reason: verdict.Reason) -> None:
        """Refuse all calls that wait."""
        for rank, waiting in self._queues.items():
            while len(waiting):
                self._shed(rank, reason=reason)

    def _take_snapshot(self) -> state.Snapshot:
        now = self._clock()
        overdue = frozenset(
            name
            for name, waiting in self._queues.items()
            if len(waiting) and waiting.is_overdue(now)
        )
        capacity = self._get_capacity()
        return state.Snapshot(
            self._ranks,
            capacity,
            self._service_times,
            overdue,
            starts=self.pacer.get_starts(capacity.pace),
        )

    async def _acquire(self, request: state.AdmissionRequest) -> None:
        self._update_policy(request.policy)
        if self.waiting:
            self._start_waiting()
        snapshot = dataclasses.replace(
            self._take_snapshot(), position=self._find_position(request)
        )
        admission = decisions.admit(request, snapshot, request.arrived_at)
        if admission.decision in _REASONS:
            raise errors.NotRunError(_REASONS[admission.decision])
        if admission.decision is decisions.Decision.RUN:
            self.pacer.reserve(request.number)
            self._count_running(request, 1)
            return
        if admission.shed_rank is not None:
            self._shed(admission.shed_rank, admission.shed_workspace)
        await self._wait(request)

    def _update_policy(self, policy: state.RankPolicy) -> None:
        rank = self._ranks.get(policy.name)
        if rank is None:
            self._ranks[policy.name] = state.RankState(
                policy, credited_at=self._clock()
            )
            self._queues[policy.name] = queue.RankQueue()
        elif rank.policy != policy:
            self._ranks[policy.name] = decisions.replace_policy(rank, policy)

    async def _wait(self, request: state.AdmissionRequest) -> None:
        granted = asyncio.get_running_loop().create_future()
        waiter = queue.Waiter(request, granted)
        self._queues[request.policy.name].push(waiter)
        self._count_waiting(request, 1)
        self._keep_pace()
        try:
            async with asyncio.timeout(request.wait_until - self._clock()):
                await granted
            if self._clock() >= request.deadline:
                reason = verdict.Reason.DEADLINE_PASSED
                raise errors.NotRunError(reason)
        except BaseException as error:
            if _was_granted(granted):
                self._release(request)
            elif self._queues[request.policy.name].discard(request):
                self._count_waiting(request, -1)
            if isinstance(error, TimeoutError):
                self._check_start(request)
                reason = verdict.Reason.TARGET_MISSED
                raise errors.NotRunError(reason) from error
            raise

    def _check_start(self, request: state.AdmissionRequest) -> None:
        decision = decisions.check_start(request, self._clock())
        if decision in _REASONS:
            raise errors.NotRunError(_REASONS[decision])

    def _find_position(
        self, request: state.AdmissionRequest
    ) -> state.FairPosition | None:
        """Find the place of a call among those that wait in its rank."""
        name = request.policy.name
        if name not in self._shares or not len(self._queues[name]):
            return None
        flows = self._queues[name].list_flows()
        caller = (request.workspace, request.weight)
        return state.FairPosition(
            fairness.count_ahead(self._shares[name], flows, *caller),
            fairness.choose_shed_workspace(flows, *caller),
        )

    def _shed(
        self,
        rank: str,
        workspace: str | None = None,
        reason: verdict.Reason = verdict.Reason.SHED,
    ) -> None:
        waiter = self._queues[rank].pop_newest(workspace)
        self._count_waiting(waiter.request, -1)
        if not waiter.granted.done():
            waiter.granted.set_exception(errors.NotRunError(reason))

    def _keep_pace(self) -> None:
        """Shed calls that a cold upstream starts too late; await the next.

        The timer is due at the next start that the pace allows, and exists
        only while calls wait.
        """
        if self._resume_timer is not None:
            self._resume_timer.cancel()
            self._resume_timer = None
        now = self._clock()
        starts = self.pacer.get_starts(self._get_capacity().pace)
        while excess := cold_start.select_excess(
            self._ranks.values(), starts, now
        ):
            self._shed(excess.policy.name)
        wait_s = cold_start.find_start(starts, 0, now) - now
        if self.waiting and wait_s > 0:
            self._resume_timer = asyncio.get_running_loop().call_later(
                max(_MIN_RESUME_S, wait_s), self._resume
            )

    def _resume(self) -> None:
        self._resume_timer = None
        self.notify_capacity_change()

    def _release(self, request: state.AdmissionRequest) -> None:
        self.pacer.release(request.number)
        self._count_running(request, -1)
        if self.waiting:
            self._start_waiting()

    def _start_waiting(self) -> None:
        while rank := decisions.select_next(
            self._take_snapshot(), self._clock()
        ):
            waiter = self._queues[rank.policy.name].pop_first(
                uploads=decisions.has_upload_slot(self._take_snapshot()),
                now=self._clock(),
                shares=self._shares.get(rank.policy.name, fairness.NO_SHARES),
            )
            request = waiter.request
            self._count_waiting(request, -1)
            if waiter.granted.done():
                continue
            now = self._clock()
            decision = decisions.check_start(request, now)
            if decision in _REASONS:
                error = errors.NotRunError(_REASONS[decision])
                waiter.granted.set_exception(error)
                continue
            self._ranks[request.policy.name] = decisions.record_dequeue(
                self._ranks[request.policy.name], now
            )
            self.pacer.reserve(request.number)
            self._count_running(request, 1)
            waiter.granted.set_result(None)
        self._keep_pace()

    def _count_waiting(
        self, request: state.AdmissionRequest, change: int
    ) -> None:
        self.waiting += change
        if not self.waiting and self._resume_timer is not None:
            self._resume_timer.cancel()
            self._resume_timer = None
        self._ranks[request.policy.name] = decisions.record_waiting(
            self._ranks[request.policy.name],
            request,
            change,
            slots=self._get_capacity().slots,
            service_s=self._service_times.service_s,
            now=self._clock(),
        )

    def _record_share(self, request: state.AdmissionRequest) -> None:
        name = request.policy.name
        # Ranks without workspaces need no shares.
        if request.workspace or name in self._shares:
            self._shares[name] = fairness.record_start(
                self._shares.get(name, fairness.NO_SHARES),
                request.workspace,
                request.weight,
            )

    def _count_running(
        self, request: state.AdmissionRequest, change: int
    ) -> None:
        now = self._clock()
        if change > 0:
            self._record_share(request)
            self._service_times = service_times.record_start(
                self._service_times, now
            )
        self.running += change
        self._ranks[request.policy.name] = decisions.record_running(
            self._ranks[request.policy.name],
            request,
            change,
            slots=self._get_capacity().slots,
            service_s=self._service_times.service_s,
            now=now,
        )
