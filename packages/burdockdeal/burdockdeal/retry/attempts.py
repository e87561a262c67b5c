"""The sends of one call, until one of them is answered."""

import asyncio
from collections import abc
import contextlib
import dataclasses

from burdockdeal.core import call
from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.membership import messages as membership
from burdockdeal.retry import budget as budgets
from burdockdeal.retry import decisions
from burdockdeal.retry import opening
from burdockdeal.retry import state
from burdockdeal.serving import messages

#: Choose an instance for a call, not among those tried.
Choose = abc.Callable[[call.Call, frozenset[str]], membership.Member | None]

#: Open the answer of one send: call, request, instance and the send's
#: number.
OpenTo = abc.Callable[
    [call.Call, messages.Outbound, membership.Member, int], opening.Opened
]

#: Open the answer to a call, sent as often as it may be.
Dispatch = abc.Callable[
    [call.Call, messages.Outbound],
    contextlib.AbstractAsyncContextManager[messages.Answer],
]


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What became of one send, or of one and its hedge.

    :param opened: closes the answer; None without an answer.
    """

    progress: state.Progress
    answer: messages.Answer | None = None
    opened: opening.Opened | None = None
    error: errors.CallError | None = None


class Attempts:
    """The sends of one call.

    :param choose: chooses an instance for each.
    :param open_to: opens the answer of each.
    :param budget: pays for those after the first.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        work: call.Call,
        outbound: messages.Outbound,
        *,
        choose: Choose,
        open_to: OpenTo,
        budget: budgets.Budget,
        clock: abc.Callable[[], float],
    ) -> None:
        self._work = work
        self._outbound = outbound
        self._choose = choose
        self._open_to = open_to
        self._budget = budget
        self._clock = clock
        self._counted = False

    async def obtain(
        self, stack: contextlib.AsyncExitStack
    ) -> messages.Answer:
        """Obtain an answer.

        :param stack: is given what closes the answer.
        :raises CallError: if there is none.
        """
        if not decisions.is_first(self._work):
            self._pay_for_repeat()
        progress = decisions.begin(self._work)
        kept: Outcome | None = None
        outcome: Outcome | None = None
        while member := self._choose(self._work, progress.tried):
            outcome = await self._attempt(member, progress)
            if outcome.opened is not None:
                stack.push_async_exit(outcome.opened)
                if self._is_final(outcome):
                    return outcome.answer
                kept = kept or outcome
            progress = self._note_failure(outcome)
            if not self._may_resend(progress, outcome):
                break
        if kept is not None:
            return kept.answer
        raise _give_up(progress, outcome)

    def _pay_for_repeat(self) -> None:
        if not self._budget.pay(self._work):
            raise errors.NotRunError(
                verdict.Reason.OVERLOADED,
                "the budget has no room for a call below a repeated one",
            )

    async def _attempt(
        self, member: membership.Member, progress: state.Progress
    ) -> Outcome:
        delay_s = decisions.find_hedge_delay(
            self._work,
            progress,
            self._budget.find(self._work),
            replayable=not self._outbound.body.streamed,
            now=self._clock(),
        )
        if delay_s is None:
            return await self._send(member, progress)
        return await self._send_hedged(member, progress, delay_s)

    def _open(
        self, member: membership.Member, progress: state.Progress
    ) -> opening.Opened:
        return self._open_to(
            decisions.hand_down(self._work, progress),
            self._outbound,
            member,
            progress.sends + 1,
        )

    async def _send(
        self, member: membership.Member, progress: state.Progress
    ) -> Outcome:
        opened = self._open(member, progress)
        progress = decisions.note_send(progress, member.daemon)
        started = self._clock()
        error = None
        try:
            answer = await opened.__aenter__()
        except errors.CallError as caught:
            error = caught
            return Outcome(progress, error=error)
        finally:
            self._count(error)
        self._note_latency(started)
        return Outcome(progress, answer, opened)

    async def _send_hedged(
        self,
        member: membership.Member,
        progress: state.Progress,
        delay_s: float,
    ) -> Outcome:
        started = self._clock()
        openings = [opening.Opening(self._open(member, progress))]
        progress = decisions.note_send(progress, member.daemon)
        winner = None
        try:
            winner = await opening.race(openings, delay_s)
            if winner is None:
                progress = self._hedge(openings, progress)
                winner = await opening.race(openings)
        finally:
            for other in openings:
                if other is not winner:
                    await other.close()
            self._count(_find_error(openings[0].task))
        self._note_latency(started)
        if not winner.answered:
            return Outcome(progress, error=_find_error(winner.task))
        return Outcome(progress, winner.task.result(), winner.opened)

    def _hedge(
        self, openings: list[opening.Opening], progress: state.Progress
    ) -> state.Progress:
        member = self._choose(self._work, progress.tried)
        if member is None or not self._budget.pay(self._work):
            return progress
        self._budget.count_hedge()
        self._budget.count_send(self._work, first=False)
        # The first send may run as well.
        progress = dataclasses.replace(progress, exposed=True)
        openings.append(opening.Opening(self._open(member, progress)))
        return decisions.note_send(progress, member.daemon)

    def _count(self, error: errors.CallError | None) -> None:
        unsent = error and error.reason is verdict.Reason.UNREACHABLE
        if not unsent:
            self._budget.count_send(self._work, first=not self._counted)
            self._counted = True

    def _note_latency(self, started: float) -> None:
        if not self._outbound.body.streamed:
            self._budget.note_latency(self._work, self._clock() - started)

    def _is_final(self, outcome: Outcome) -> bool:
        failed = decisions.is_failure(outcome.answer.response.status)
        return not (failed and self._work.idempotent)

    def _note_failure(self, outcome: Outcome) -> state.Progress:
        error = outcome.error
        if error is None:
            return decisions.note_failure(
                outcome.progress, verdict.Verdict.RAN, None
            )
        again = outcome.progress.refused
        if again and error.reason in decisions.FULL_REASONS:
            self._budget.note_full(self._work, self._clock())
        return decisions.note_failure(
            outcome.progress, error.outcome, error.reason
        )

    def _may_resend(self, progress: state.Progress, outcome: Outcome) -> bool:
        now = self._clock()
        replayable = self._outbound.body.replayable
        if not decisions.may_resend(
            self._work, progress, replayable=replayable, now=now
        ):
            return False
        reason = outcome.error.reason if outcome.error else None
        if reason is verdict.Reason.UNREACHABLE:
            return True
        account = self._budget.find(self._work)
        full = decisions.is_full(account, now)
        if full and reason in decisions.FULL_REASONS:
            self._budget.deny()
            return False
        return self._budget.pay(self._work)


def _find_error(task: asyncio.Task) -> errors.CallError | None:
    """Find the error that a send ended with.

    :raises Exception: if it is not one of a call.
    """
    if not task.done() or task.cancelled():
        return None
    error = task.exception()
    if error is None or isinstance(error, errors.CallError):
        return error
    raise error


def _give_up(
    progress: state.Progress, outcome: Outcome | None
) -> errors.CallError:
    error = outcome.error if outcome else None
    if error is None:
        return errors.NotRunError(verdict.Reason.NO_INSTANCE)
    if progress.exposed and error.outcome is verdict.Verdict.NOT_RUN:
        # Only the last send did not run.
        return errors.MayHaveRunError(error.reason, error.detail)
    return error


def make_dispatch(
    *,
    choose: Choose,
    open_to: OpenTo,
    budget: budgets.Budget,
    clock: abc.Callable[[], float],
) -> Dispatch:
    """Make the function that sees a call answered.

    :param choose: chooses an instance for each send.
    :param open_to: opens the answer of each send.
    """

    @contextlib.asynccontextmanager
    async def dispatch(
        work: call.Call, outbound: messages.Outbound
    ) -> abc.AsyncIterator[messages.Answer]:
        attempts = Attempts(
            work,
            outbound,
            choose=choose,
            open_to=open_to,
            budget=budget,
            clock=clock,
        )
        async with contextlib.AsyncExitStack() as stack:
            yield await attempts.obtain(stack)

    return dispatch
