"""Sends a call, with retries and hedges, until it is answered."""

from collections import abc
import contextlib
import dataclasses

from burdockdeal.core import call
from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.membership import messages as membership
from burdockdeal.retry import budget as budgets
from burdockdeal.retry import decisions
from burdockdeal.retry import exclusion
from burdockdeal.retry import hedging
from burdockdeal.retry import outcomes
from burdockdeal.retry import pending_send
from burdockdeal.retry import state
from burdockdeal.serving import messages

#: Opens the response of one send, given the call, the outbound request, the
#: instance, the number of the send (1 for the first) and whether the call may
#: wait in the instance's queue.
OpenResponse = abc.Callable[
    [call.Call, messages.OutboundRequest, membership.Member, int, bool],
    pending_send.ResponseContext,
]


class Attempts:
    """The sends of one call.

    :param work: the call.
    :param outbound: the request to send.
    :param choose: chooses an instance for each send.
    :param exclusions: collects the instances found unavailable.
    :param open_response: opens the response of each send.
    :param budget: pays for the sends after the first.
    :param clock: returns monotonic time in seconds.
    :param region: the region of this daemon, empty to treat all alike.
    :param hedges: limits hedges to a share, None to pay as for retries.
    """

    def __init__(
        self,
        work: call.Call,
        outbound: messages.OutboundRequest,
        *,
        choose: exclusion.Chooser,
        exclusions: exclusion.Exclusions,
        open_response: OpenResponse,
        budget: budgets.Budget,
        clock: abc.Callable[[], float],
        region: str = "",
        hedges: hedging.HedgeLimiter | None = None,
    ) -> None:
        self._work = work
        self._hedges = hedges
        self._region = region
        self._outbound = outbound
        self._choose = choose
        self._exclusions = exclusions
        self._open_response = open_response
        self._budget = budget
        self._clock = clock
        self._hedge_payer: budgets.Payer = (work.service, work.rank)
        self._first_send_recorded = False
        self._first_arrival_recorded = False
        self._progress = decisions.start_progress(work)

    @contextlib.asynccontextmanager
    async def open(
        self, pin: membership.Member | None = None
    ) -> abc.AsyncIterator[messages.Response]:
        """Open the response to the call, retrying as often as is allowed.

        :param pin: the only instance that may respond, None for any.
        :raises CallError: if no send gets a response.
        """
        if not (
            self._first_send_recorded or decisions.is_original(self._work)
        ):
            self._spend_for_nested_retry()
        async with contextlib.AsyncExitStack() as stack:
            if pin is None:
                yield await self._get_response(stack)
            else:
                yield await self._get_response_from(pin, stack)

    async def _get_response_from(
        self, pin: membership.Member, stack: contextlib.AsyncExitStack
    ) -> messages.Response:
        if self._first_send_recorded:
            # Only this instance knows the outcome of the call, so it is
            # asked even if the budget is used up.
            self._budget.spend(self._work)
        self._progress = decisions.allow_queueing(self._progress)
        outcome = await self._send(pin, self._progress)
        if outcome.context is None:
            self._progress = self._record_failure(outcome)
            raise outcome.error
        stack.push_async_exit(outcome.context)
        return outcome.response

    async def _get_response(
        self, stack: contextlib.AsyncExitStack
    ) -> messages.Response:
        fallback: outcomes.Outcome | None = None
        outcome: outcomes.Outcome | None = None
        while member := self._choose_instance():
            outcome = await self._attempt(member, self._progress)
            self._record_ask(outcome)
            if outcome.context is not None:
                stack.push_async_exit(outcome.context)
                if self._is_final(outcome):
                    return outcome.response
                fallback = fallback or outcome
            self._progress = self._record_failure(outcome)
            reason = outcome.error.reason if outcome.error else None
            if reason in decisions.FREE_RETRY_REASONS:
                self._progress = decisions.refund_send(self._progress, reason)
            if reason in decisions.UNAVAILABLE_REASONS:
                self._exclusions.exclude(member)
            if not self._may_resend(outcome):
                break
        if fallback is not None:
            return fallback.response
        raise outcomes.choose_final_error(self._progress, outcome)

    def _choose_instance(self) -> membership.Member | None:
        """Choose the instance for the next send, None if there is none.

        If every instance that was asked was too busy to start the call at
        once, the call is sent once more and queues at one of them. By then
        the refusals have brought load reports, so that the length of each
        queue is known.
        """
        progress = self._progress
        account = self._budget.find_account(self._work)
        if decisions.may_ask_another(progress, account):
            member = self._choose(self._work, progress.tried)
            if member is None and not progress.busy_refusals:
                return None
            if member is not None and not self._stays_home(member):
                return member
        if progress.may_queue:
            return self._choose(self._work, progress.tried)
        self._progress = decisions.allow_queueing(progress)
        return self._choose(self._work, frozenset())

    def _stays_home(self, untried: membership.Member) -> bool:
        """Return whether the call queues near by, where it was refused.

        Otherwise an untried instance is asked to start it at once. Answers
        demand that fills one region while others have room: a call crosses
        to another region only if that is expected to answer it sooner.
        """
        progress = self._progress
        if not progress.busy_refusals or not self._region:
            return False
        if untried.region == self._region:
            return False
        best = self._choose(self._work, frozenset())
        return best is not None and best.daemon in progress.tried

    def _spend_for_nested_retry(self) -> None:
        if not self._budget.spend(self._work):
            raise errors.NotRunError(
                verdict.Reason.OVERLOADED,
                "the budget has no room for a call below a repeated one",
            )

    async def _attempt(
        self, member: membership.Member, progress: state.Progress
    ) -> outcomes.Outcome:
        delay_s = self._find_hedge_delay(progress)
        if delay_s is None:
            return await self._send(member, progress)
        return await self._send_hedged(member, progress, delay_s)

    def _find_hedge_delay(self, progress: state.Progress) -> float | None:
        replayable = not self._outbound.body.is_streamed
        now = self._clock()
        terms = {"replayable": replayable, "now": now}
        if self._hedges is not None:
            return self._hedges.find_delay(self._work, progress, **terms)
        account = self._budget.find_account(self._work)
        return decisions.find_hedge_delay(
            self._work, progress, account, **terms
        )

    def _open(
        self, member: membership.Member, progress: state.Progress
    ) -> pending_send.ResponseContext:
        return self._open_response(
            decisions.prepare_send(self._work, progress),
            self._outbound,
            member,
            progress.sends + 1,
            progress.may_queue,
        )

    async def _send(
        self, member: membership.Member, progress: state.Progress
    ) -> outcomes.Outcome:
        context = self._open(member, progress)
        progress = decisions.record_send(progress, member.daemon)
        started = self._clock()
        error = None
        try:
            response = await context.__aenter__()
        except errors.CallError as caught:
            error = caught
            return outcomes.Outcome(progress, error=error)
        finally:
            self._record_send(error)
        self._record_latency(started)
        return outcomes.Outcome(progress, response, context)

    async def _send_hedged(
        self,
        member: membership.Member,
        progress: state.Progress,
        delay_s: float,
    ) -> outcomes.Outcome:
        started = self._clock()
        sends = [pending_send.PendingSend(self._open(member, progress))]
        progress = decisions.record_send(progress, member.daemon)
        winner = None
        try:
            winner = await pending_send.race(sends, delay_s)
            if winner is None:
                progress = self._hedge(sends, progress)
                winner = await pending_send.race(sends)
                self._refund_refused_hedge(sends)
        finally:
            for other in sends:
                if other is not winner:
                    await other.close()
            self._record_send(outcomes.find_error(sends[0].task))
        self._record_latency(started, responded=winner.responded)
        if not winner.responded:
            return outcomes.Outcome(
                progress, error=outcomes.find_error(winner.task)
            )
        return outcomes.Outcome(progress, winner.task.result(), winner.context)

    def _hedge(
        self, sends: list[pending_send.PendingSend], progress: state.Progress
    ) -> state.Progress:
        hedges = self._hedges
        if hedges is not None and not hedges.has_token(self._work):
            return progress
        member = self._choose(self._work, progress.tried)
        payer = self._budget.charge(self._work) if member else None
        if member is None or payer is None:
            return progress
        self._hedge_payer = payer
        self._budget.record_hedge()
        if self._hedges is not None:
            self._hedges.add_tokens(self._work, -1.0)
        self._budget.record_send(self._work, first=False)
        self._budget.record_arrival(self._work, first=False)
        # The first send may still run.
        progress = dataclasses.replace(
            progress, may_have_run=True, reached_upstream=True
        )
        # Where the operator limits hedges, one never waits in a queue.
        asked = dataclasses.replace(
            progress, may_queue=progress.may_queue and self._hedges is None
        )
        sends.append(pending_send.PendingSend(self._open(member, asked)))
        return decisions.record_send(progress, member.daemon)

    def _refund_refused_hedge(
        self, sends: list[pending_send.PendingSend]
    ) -> None:
        """Give back the tokens of a hedge that has reached no upstream."""
        if self._hedges is None or len(sends) < 2:
            return
        error = outcomes.find_error(sends[1].task)
        if error is not None and error.reason in decisions.FREE_RETRY_REASONS:
            self._hedges.add_tokens(self._work, 1.0)
            self._budget.refund(self._hedge_payer)

    def _record_send(self, error: errors.CallError | None) -> None:
        if error is None or error.reason not in decisions.NOT_SENT_REASONS:
            self._budget.record_send(
                self._work, first=not self._first_send_recorded
            )
            if self._hedges is not None and not self._first_send_recorded:
                self._hedges.record_first_send(self._work)
            self._first_send_recorded = True
        if error is None or decisions.may_have_arrived(
            error.outcome, error.reason
        ):
            self._budget.record_arrival(
                self._work, first=not self._first_arrival_recorded
            )
            self._first_arrival_recorded = True

    def _record_ask(self, outcome: outcomes.Outcome) -> None:
        reason = outcome.error.reason if outcome.error else None
        if (
            not outcome.progress.may_queue
            and reason not in decisions.NO_SLOT_INFO
        ):
            self._budget.record_ask(
                self._work, is_full=reason in decisions.FULL_REASONS
            )

    def _record_latency(
        self, started: float, *, responded: bool = True
    ) -> None:
        if not self._outbound.body.is_streamed:
            latency_s = self._clock() - started
            self._budget.record_latency(self._work, latency_s)
            if self._hedges is not None and responded:
                self._hedges.record_latency(self._work, latency_s)

    def _is_final(self, outcome: outcomes.Outcome) -> bool:
        failed = decisions.is_retriable_status(outcome.response.status)
        return not (failed and self._work.idempotent)

    def _record_failure(self, outcome: outcomes.Outcome) -> state.Progress:
        error = outcome.error
        if error is None:
            return decisions.record_failure(
                outcome.progress, verdict.Verdict.RAN, None
            )
        refused_before = outcome.progress.overload_refused
        if refused_before and error.reason in verdict.OVERLOAD_REASONS:
            self._budget.record_saturation(self._work, self._clock())
        return decisions.record_failure(
            outcome.progress, error.outcome, error.reason
        )

    def _may_resend(self, outcome: outcomes.Outcome) -> bool:
        now = self._clock()
        replayable = self._outbound.body.is_replayable
        if not decisions.may_resend(
            self._work, self._progress, replayable=replayable, now=now
        ):
            return False
        if isinstance(outcome.error, errors.KeyHeldError):
            return False
        reason = outcome.error.reason if outcome.error else None
        if reason in decisions.FREE_RETRY_REASONS:
            # The number of such retries is bounded: instances that were
            # tried or found unavailable are not chosen again.
            return True
        account = self._budget.find_account(self._work)
        saturated = decisions.is_saturated(account, now)
        if saturated and reason in verdict.OVERLOAD_REASONS:
            self._budget.record_denied()
            return False
        return self._budget.spend(self._work)


def make_factory(
    *,
    choose: exclusion.Chooser,
    open_response: OpenResponse,
    budget: budgets.Budget,
    clock: abc.Callable[[], float],
    region: str = "",
    hedges: hedging.HedgeLimiter | None = None,
) -> abc.Callable[[call.Call, messages.OutboundRequest], Attempts]:
    """Make the function that creates the attempts of a call.

    :param choose: chooses an instance for each send.
    :param open_response: opens the response of each send.
    :param budget: pays for the sends after the first.
    :param clock: returns monotonic time in seconds.
    :param region: the region of this daemon, empty to treat all alike.
    :param hedges: limits hedges to a share, None to pay as for retries.
    """

    exclusions = exclusion.Exclusions(clock)
    choose_available = exclusions.make_chooser(choose)

    def make_attempts(
        work: call.Call, outbound: messages.OutboundRequest
    ) -> Attempts:
        return Attempts(
            work,
            outbound,
            choose=choose_available,
            exclusions=exclusions,
            open_response=open_response,
            budget=budget,
            clock=clock,
            region=region,
            hedges=hedges,
        )

    return make_attempts
