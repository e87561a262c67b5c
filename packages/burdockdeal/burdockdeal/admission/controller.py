"""The gate: carries out the decisions on calls for the upstream."""

import asyncio
from collections import abc
import contextlib
import itertools

from burdockdeal.admission import decisions
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
}


def _was_granted(turn: asyncio.Future[None]) -> bool:
    return turn.done() and not turn.cancelled() and turn.exception() is None


class AdmissionController:
    """Counts the calls in flight and holds those that wait.

    :param clock: returns monotonic time in seconds.
    :param room: returns what the upstream takes now.
    """

    def __init__(
        self,
        clock: abc.Callable[[], float],
        room: abc.Callable[[], state.Capacity],
    ) -> None:
        self._clock = clock
        self._room = room
        self._numbers = itertools.count(1)
        self._lines: dict[str, state.Line] = {}
        self._queues: dict[str, queue.Queue] = {}
        self._pace = state.Pace()
        self.saturation = saturation.SaturationDetector()
        self.running = 0
        self.waiting = 0

    @property
    def ranks(self) -> tuple[state.Line, ...]:
        """Each rank's work at the gate."""
        return tuple(self._lines.values())

    @property
    def is_busy(self) -> bool:
        """Whether a call that may go elsewhere is better off there."""
        return self.waiting > 0 or self.running >= self._room().ramped_slots

    @property
    def expected_service_s(self) -> float:
        """How long a call that starts now is expected to take."""
        return service_times.expect_service(
            self._pace,
            running=self.running,
            slots=self._room().slots,
            now=self._clock(),
        )

    @contextlib.asynccontextmanager
    async def hold_slot(
        self,
        terms: state.RankPolicy,
        deadline: float,
        *,
        streamed: bool = False,
        may_queue: bool = True,
    ) -> abc.AsyncIterator[None]:
        """Hold a slot of the upstream while the block runs.

        :param deadline: monotonic time in seconds.
        :param streamed: whether the body is passed on as it comes.
        :param patient: whether it waits if it can't start at once.
        :raises NotRunError: if the call is refused.
        """
        ticket = state.Ticket(
            next(self._numbers),
            terms,
            self._clock(),
            deadline,
            streamed,
            may_queue,
        )
        await self._enter(ticket)
        started = self._clock()
        fill = self.running / max(1, self._room().total_slots)
        try:
            yield
        finally:
            now = self._clock()
            if not streamed:
                self.saturation.note(terms.name, now - started, now, fill=fill)
            self._pace = service_times.note_end(
                self._pace, now - started, streamed=streamed, now=now
            )
            self._leave(ticket)

    def notify_capacity_change(self) -> None:
        """Start what may start, after what the upstream takes changed."""
        if self.waiting:
            self._start_waiting()

    def _gather(self) -> state.Gathering:
        now = self._clock()
        overdue = frozenset(
            name
            for name, line in self._queues.items()
            if len(line) and line.is_overdue(now)
        )
        return state.Gathering(self._lines, self._room(), self._pace, overdue)

    async def _enter(self, ticket: state.Ticket) -> None:
        self._know(ticket.terms)
        if self.waiting:
            self._start_waiting()
        admission = decisions.admit(ticket, self._gather(), ticket.arrived)
        if admission.decision in _REASONS:
            raise errors.NotRunError(_REASONS[admission.decision])
        if admission.decision is decisions.Decision.RUN:
            self._count_running(ticket, 1)
            return
        if admission.shed is not None:
            self._shed(admission.shed)
        await self._wait(ticket)

    def _know(self, terms: state.RankPolicy) -> None:
        line = self._lines.get(terms.name)
        if line is None:
            self._lines[terms.name] = state.Line(
                terms, credited_at=self._clock()
            )
            self._queues[terms.name] = queue.Queue()
        elif line.terms != terms:
            self._lines[terms.name] = decisions.change_terms(line, terms)

    async def _wait(self, ticket: state.Ticket) -> None:
        turn = asyncio.get_running_loop().create_future()
        waiter = queue.Waiter(ticket, turn)
        self._queues[ticket.terms.name].push(waiter)
        self._count_waiting(ticket, 1)
        try:
            async with asyncio.timeout(ticket.ends - self._clock()):
                await turn
            if self._clock() >= ticket.deadline:
                reason = verdict.Reason.DEADLINE_PASSED
                raise errors.NotRunError(reason)
        except BaseException as error:
            if _was_granted(turn):
                self._leave(ticket)
            elif self._queues[ticket.terms.name].discard(ticket):
                self._count_waiting(ticket, -1)
            if isinstance(error, TimeoutError):
                self._check_start(ticket)
                reason = verdict.Reason.TARGET_MISSED
                raise errors.NotRunError(reason) from error
            raise

    def _check_start(self, ticket: state.Ticket) -> None:
        decision = decisions.check_start(ticket, self._clock())
        if decision in _REASONS:
            raise errors.NotRunError(_REASONS[decision])

    def _shed(self, rank: str) -> None:
        waiter = self._queues[rank].pop_newest()
        self._count_waiting(waiter.ticket, -1)
        if not waiter.turn.done():
            waiter.turn.set_exception(errors.NotRunError(verdict.Reason.SHED))

    def _leave(self, ticket: state.Ticket) -> None:
        self._count_running(ticket, -1)
        if self.waiting:
            self._start_waiting()

    def _start_waiting(self) -> None:
        while line := decisions.pick(self._gather(), self._clock()):
            waiter = self._queues[line.terms.name].pop_first(
                uploads=decisions.upload_fits(self._gather()),
                now=self._clock(),
            )
            ticket = waiter.ticket
            self._count_waiting(ticket, -1)
            if waiter.turn.done():
                continue
            now = self._clock()
            decision = decisions.check_start(ticket, now)
            if decision in _REASONS:
                error = errors.NotRunError(_REASONS[decision])
                waiter.turn.set_exception(error)
                continue
            self._lines[ticket.terms.name] = decisions.note_turn(
                self._lines[ticket.terms.name], now
            )
            self._count_running(ticket, 1)
            waiter.turn.set_result(None)

    def _count_waiting(self, ticket: state.Ticket, change: int) -> None:
        self.waiting += change
        self._lines[ticket.terms.name] = decisions.note_waiting(
            self._lines[ticket.terms.name],
            ticket,
            change,
            slots=self._room().slots,
            service_s=self._pace.service_s,
            now=self._clock(),
        )

    def _count_running(self, ticket: state.Ticket, change: int) -> None:
        now = self._clock()
        if change > 0:
            self._pace = service_times.note_start(self._pace, now)
        self.running += change
        self._lines[ticket.terms.name] = decisions.note_running(
            self._lines[ticket.terms.name],
            ticket,
            change,
            slots=self._room().slots,
            service_s=self._pace.service_s,
            now=now,
        )
