"""The gate: carries out the decisions on calls for the upstream."""

import asyncio
from collections import abc
import contextlib
import itertools

from burdockdeal.admission import decisions
from burdockdeal.admission import state
from burdockdeal.core import errors
from burdockdeal.core import verdict

_REFUSALS = {
    decisions.Decision.REFUSE_FULL: verdict.Reason.QUEUE_FULL,
    decisions.Decision.REFUSE_LATE: verdict.Reason.DEADLINE_PASSED,
}


class Gate:
    """Counts the calls in flight and holds those that wait.

    :param clock: returns monotonic time in seconds.
    :param slots: returns the slots that may be used now.
    :param queue_limit: returns how many calls may wait.
    """

    def __init__(
        self,
        clock: abc.Callable[[], float],
        slots: abc.Callable[[], int],
        queue_limit: abc.Callable[[], int],
    ) -> None:
        self._clock = clock
        self._slots = slots
        self._queue_limit = queue_limit
        self._numbers = itertools.count(1)
        self._waiting: dict[state.Ticket, asyncio.Future[None]] = {}
        self.running = 0

    @property
    def waiting(self) -> int:
        """How many calls wait."""
        return len(self._waiting)

    @contextlib.asynccontextmanager
    async def hold_slot(
        self, terms: state.RankTerms, deadline: float
    ) -> abc.AsyncIterator[None]:
        """Hold a slot of the upstream while the block runs.

        :raises NotRunError: if the call is refused.
        """
        await self._enter(terms, deadline)
        try:
            yield
        finally:
            self.running -= 1
            self._wake()

    async def _enter(self, terms: state.RankTerms, deadline: float) -> None:
        now = self._clock()
        ticket = state.Ticket(next(self._numbers), terms, now, deadline)
        decision = decisions.admit(
            ticket,
            running=self.running,
            waiting=len(self._waiting),
            slots=self._slots(),
            queue_limit=self._queue_limit(),
            now=now,
        )
        if decision in _REFUSALS:
            raise errors.NotRunError(_REFUSALS[decision])
        if decision is decisions.Decision.RUN:
            self.running += 1
            return
        await self._wait(ticket)

    async def _wait(self, ticket: state.Ticket) -> None:
        turn = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = turn
        try:
            async with asyncio.timeout(ticket.deadline - self._clock()):
                await turn
        except BaseException as error:
            if self._waiting.pop(ticket, None) is None:
                self.running -= 1
                self._wake()
            if isinstance(error, TimeoutError):
                reason = verdict.Reason.DEADLINE_PASSED
                raise errors.NotRunError(reason) from error
            raise

    def _wake(self) -> None:
        while self._waiting and self.running < self._slots():
            ticket = decisions.pick(tuple(self._waiting))
            turn = self._waiting.pop(ticket)
            self.running += 1
            turn.set_result(None)
