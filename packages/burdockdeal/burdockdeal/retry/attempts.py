"""The sends of one call, until one of them is answered."""

import asyncio
from collections import abc
import contextlib
import dataclasses

from burdockdeal.core import call
from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.membership import messages as membership
from burdockdeal.retry import absence
from burdockdeal.retry import budget as budgets
from burdockdeal.retry import decisions
from burdockdeal.retry import opening
from burdockdeal.retry import state
from burdockdeal.serving import messages

#: Open the answer of one send: call, request, instance, the send's number
#: and whether it waits for its turn.
OpenTo = abc.Callable[
    [call.Call, messages.OutboundRequest, membership.Member, int, bool],
    opening.Opened,
]


#: Reasons for which nothing was sent to an upstream, nor waited at it.
_UNSENT = decisions.KNOCK_REASONS | {verdict.Reason.UNREACHABLE}


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What became of one send, or of one and its hedge.

    :param opened: closes the answer; None without an answer.
    """

    progress: state.Progress
    answer: messages.Response | None = None
    opened: opening.Opened | None = None
    error: errors.CallError | None = None


class Attempts:
    """The sends of one call.

    :param choose: chooses an instance for each.
    :param gone: is told of instances that were gone.
    :param open_to: opens the answer of each.
    :param budget: pays for those after the first.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        work: call.Call,
        outbound: messages.OutboundRequest,
        *,
        choose: absence.Choose,
        gone: absence.Absence,
        open_to: OpenTo,
        budget: budgets.Budget,
        clock: abc.Callable[[], float],
    ) -> None:
        self._work = work
        self._outbound = outbound
        self._choose = choose
        self._gone = gone
        self._open_to = open_to
        self._budget = budget
        self._clock = clock
        self._counted = False
        self._arrived = False
        self._progress = decisions.begin(work)

    @contextlib.asynccontextmanager
    async def open(
        self, pin: membership.Member | None = None
    ) -> abc.AsyncIterator[messages.Response]:
        """Open the answer to the call, sent as often as it may be.

        :param pin: the only instance that may answer, None if any may.
        :raises CallError: if there is none.
        """
        if not (self._counted or decisions.is_first(self._work)):
            self._pay_for_repeat()
        async with contextlib.AsyncExitStack() as stack:
            if pin is None:
                yield await self._obtain(stack)
            else:
                yield await self._obtain_from(pin, stack)

    async def _obtain_from(
        self, pin: membership.Member, stack: contextlib.AsyncExitStack
    ) -> messages.Response:
        if self._counted:
            # Only this instance can tell what became of the call, so it is
            # asked even if that can't be paid for.
            self._budget.pay(self._work)
        self._progress = decisions.wait_for_turn(self._progress)
        outcome = await self._send(pin, self._progress)
        if outcome.opened is None:
            self._progress = self._note_failure(outcome)
            raise outcome.error
        stack.push_async_exit(outcome.opened)
        return outcome.answer

    async def _obtain(
        self, stack: contextlib.AsyncExitStack
    ) -> messages.Response:
        kept: Outcome | None = None
        outcome: Outcome | None = None
        while member := self._choose_next():
            outcome = await self._attempt(member, self._progress)
            if outcome.opened is not None:
                stack.push_async_exit(outcome.opened)
                if self._is_final(outcome):
                    return outcome.answer
                kept = kept or outcome
            self._progress = self._note_failure(outcome)
            reason = outcome.error.reason if outcome.error else None
            if reason in decisions.PASSING_REASONS:
                self._progress = decisions.note_unreached(
                    self._progress, reason
                )
            if reason in decisions.GONE_REASONS:
                self._gone.note(member)
            if not self._may_resend(outcome):
                break
        if kept is not None:
            return kept.answer
        raise _give_up(self._progress, outcome)

    def _choose_next(self) -> membership.Member | None:
        """Choose where the call is sent next.

        Where no instance could start the call when it was asked, it goes
        to one of them once more, and waits there: by then it is known of
        each how much waits there.
        """
        progress = self._progress
        if progress.knocks < decisions.MOST_KNOCKS:
            member = self._choose(self._work, progress.tried)
            if member is not None or not progress.knocks:
                return member
        if progress.patient:
            return self._choose(self._work, progress.tried)
        self._progress = decisions.wait_for_turn(progress)
        return self._choose(self._work, frozenset())

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
            replayable=not self._outbound.body.is_streamed,
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
            progress.patient,
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
        self._budget.count_arrival(self._work, first=False)
        # The first send may run as well.
        progress = dataclasses.replace(progress, exposed=True, reached=True)
        openings.append(opening.Opening(self._open(member, progress)))
        return decisions.note_send(progress, member.daemon)

    def _count(self, error: errors.CallError | None) -> None:
        if error is None or error.reason not in _UNSENT:
            self._budget.count_send(self._work, first=not self._counted)
            self._counted = True
        if error is None or decisions.has_arrived(error.outcome, error.reason):
            self._budget.count_arrival(self._work, first=not self._arrived)
            self._arrived = True

    def _note_latency(self, started: float) -> None:
        if not self._outbound.body.is_streamed:
            self._budget.note_latency(self._work, self._clock() - started)

    def _is_final(self, outcome: Outcome) -> bool:
        failed = decisions.is_failure(outcome.answer.status)
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

    def _may_resend(self, outcome: Outcome) -> bool:
        now = self._clock()
        replayable = self._outbound.body.is_replayable
        if not decisions.may_resend(
            self._work, self._progress, replayable=replayable, now=now
        ):
            return False
        if isinstance(outcome.error, errors.KeyHeldError):
            return False
        reason = outcome.error.reason if outcome.error else None
        if reason in decisions.PASSING_REASONS:
            # The instance is now passed over, so that this ends by itself.
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


def make_begin(
    *,
    choose: absence.Choose,
    open_to: OpenTo,
    budget: budgets.Budget,
    clock: abc.Callable[[], float],
) -> abc.Callable[[call.Call, messages.OutboundRequest], Attempts]:
    """Make the function that begins the sends of a call.

    :param choose: chooses an instance for each send.
    :param open_to: opens the answer of each send.
    """

    gone = absence.Absence(clock)
    choose_present = gone.make_choose(choose)

    def begin(work: call.Call, outbound: messages.OutboundRequest) -> Attempts:
        return Attempts(
            work,
            outbound,
            choose=choose_present,
            gone=gone,
            open_to=open_to,
            budget=budget,
            clock=clock,
        )

    return begin
