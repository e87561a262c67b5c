"""The entry: takes a credit for each request, and asks the lender for more."""

import asyncio
from collections import abc
import dataclasses
import random

from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.core import verdict
from burdockdeal.quotas import decisions
from burdockdeal.quotas import fleet_view
from burdockdeal.quotas import lending
from burdockdeal.quotas import messages
from burdockdeal.quotas import reach
from burdockdeal.quotas import state
from burdockdeal.settings import fleet_terms

#: Seconds within which a lender must answer, and for which one that did not
#: is left out.
ASK_TIMEOUT_S = 0.25
SKIP_S = 1.0

#: Daemons that are asked for one credit request, and how many of them may
#: leave it without an answer.
_MAX_ASKED = 5
_MAX_UNANSWERED = 3

#: Seconds for which a request waits at most while no daemon lends: after a
#: restart of the fleet, and after the loss of a lender. A refusal would cost
#: its caller a connection and one of its retries.
_MAX_HOLD_S = 0.5

#: Seconds between two lines about refusals of a workspace.
_LOG_INTERVAL_S = 1.0

#: Seconds after which an entry forgets a workspace without requests.
_IDLE_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Refusals:
    """Refusals that were counted since the last line about them."""

    logged_at: float
    count: int = 0


class Borrower:
    """Holds this entry's credit for the workspaces of its requests.

    :param view: the daemons known.
    :param routes: sends requests to other daemons.
    :param lender: lends for this daemon, also to itself.
    :param terms: how closely quotas are kept.
    :param clock: returns monotonic time in seconds.
    :param rng: chooses the phase of the entry's own allowance.
    :param call_later: calls a function after a delay.
    """

    def __init__(
        self,
        view: fleet_view.FleetView,
        routes: reach.RouteFinder,
        lender: lending.Lender,
        terms: fleet_terms.QuotaTerms,
        clock: abc.Callable[[], float],
        rng: random.Random,
        call_later: lending.CallLater,
    ) -> None:
        self._view = view
        self._routes = routes
        self._lender = lender
        self._terms = terms
        self._clock = clock
        self._rng = rng
        self._call_later = call_later
        self._holdings: dict[str, state.Holding] = {}
        self._questions: dict[str, asyncio.Task[None]] = {}
        self._waiting: dict[str, int] = {}
        self._skipped: dict[str, float] = {}
        self._refusals: dict[str, _Refusals] = {}
        self._returns: dict[str, asyncio.TimerHandle] = {}
        self._tasks: set[asyncio.Task[object]] = set()
        self._swept_at = 0.0
        self.refused = 0
        self.unanswered = 0

    def close(self) -> None:
        """Cancel what is scheduled."""
        for scheduled in (
            *self._questions.values(),
            *self._returns.values(),
            *self._tasks,
        ):
            scheduled.cancel()

    async def take(
        self, workspace: str, limit: state.Limit, deadline: float
    ) -> float:
        """Take a credit for one request.

        :param deadline: monotonic time in seconds until which to wait.
        :returns: when the credit expires, 0 if it was not lent.
        :raises NotRunError: if there is none.
        """
        now = self._clock()
        hold_until = min(now + _MAX_HOLD_S, deadline)
        holding = self._holdings.get(workspace)
        if holding is None or holding.limit != limit:
            # A refusal under another limit doesn't say anything about this.
            holding = state.Holding(limit)
        self._holdings[workspace] = decisions.record_demand(holding, now)
        while True:
            taken = self._try_take(workspace, hold_until)
            if taken is not None:
                return taken
            await self._wait_for_lender(workspace)
            await self._wait_for_credit(workspace, deadline)

    async def _wait_for_lender(self, workspace: str) -> None:
        """Wait until a lender may be asked again, if none answered."""
        remaining_s = self._holdings[workspace].refused_until - self._clock()
        if remaining_s > 0:
            await asyncio.sleep(remaining_s)

    def _try_take(self, workspace: str, hold_until: float) -> float | None:
        """Take a credit that is held, or refuse.

        :param hold_until: monotonic time in seconds until which the request
            may wait for a daemon that lends.
        :returns: when it expires, None if the lender must be asked.
        """
        now = self._clock()
        holding = self._holdings[workspace]
        left = decisions.take(holding, now)
        if left is not None:
            self._holdings[workspace] = left
            return left.expires_at
        if now >= holding.refused_until:
            return None
        if not holding.lender:
            own = self._take_own(workspace, holding, now)
            if own:
                return 0.0
            if holding.refused_until < hold_until:
                return None
        raise self._refuse(workspace, self._holdings[workspace], now)

    def _take_own(
        self, workspace: str, holding: state.Holding, now: float
    ) -> bool:
        count = len(self._view.ring)
        if count < 2:
            return False
        interval_s = decisions.compute_own_interval_s(self._terms, count)
        if holding.own_at is None:
            own_at = now + self._rng.random() * interval_s
            holding = dataclasses.replace(holding, own_at=own_at)
        left = decisions.take_own(holding, interval_s, now)
        self._holdings[workspace] = left or holding
        return left is not None

    def _refuse(
        self, workspace: str, holding: state.Holding, now: float
    ) -> errors.NotRunError:
        retry_after_s = max(0.001, holding.retry_at - now)
        self.refused += 1
        refusals = self._refusals.get(workspace) or _Refusals(-_LOG_INTERVAL_S)
        refusals = dataclasses.replace(refusals, count=refusals.count + 1)
        if now - refusals.logged_at >= _LOG_INTERVAL_S:
            event_log.record_request(
                "quota_refused",
                workspace=workspace,
                retry_after_ms=round(retry_after_s * 1000),
                lender=holding.lender or None,
                requests=refusals.count,
            )
            refusals = _Refusals(now)
        self._refusals[workspace] = refusals
        error = errors.NotRunError(verdict.Reason.QUOTA_EXCEEDED)
        error.retry_after_s = retry_after_s
        return error

    async def _wait_for_credit(self, workspace: str, deadline: float) -> None:
        question = self._questions.get(workspace)
        if question is None:
            question = asyncio.create_task(self._ask_for_credit(workspace))
            self._questions[workspace] = question
        self._waiting[workspace] = self._waiting.get(workspace, 0) + 1
        try:
            async with asyncio.timeout(max(0.0, deadline - self._clock())):
                # A request that is cancelled must not end the question of
                # the others.
                await asyncio.shield(question)
        except TimeoutError:
            raise errors.NotRunError(verdict.Reason.DEADLINE_PASSED) from None
        finally:
            self._waiting[workspace] -= 1
            if not self._waiting[workspace]:
                del self._waiting[workspace]

    async def _ask_for_credit(self, workspace: str) -> None:
        try:
            asked_at = self._clock()
            self._sweep(asked_at)
            holding = self._holdings[workspace]
            request = messages.CreditRequest(
                workspace,
                decisions.choose_wanted(
                    holding, self._waiting.get(workspace, 0), asked_at
                ),
            )
            reply, lender = await self._ask(request)
            self._holdings[workspace] = decisions.apply_reply(
                self._holdings[workspace],
                reply,
                lender,
                asked_at,
                self._clock(),
            )
            self._schedule_return(workspace)
        finally:
            del self._questions[workspace]

    async def _ask(
        self, request: messages.CreditRequest
    ) -> tuple[messages.CreditReply | None, str]:
        """Ask for credit until a daemon answers that lends it or may not.

        :returns: the reply, None if no daemon answered, and its sender.
        """
        now = self._clock()
        failed = [name for name, until in self._skipped.items() if now < until]
        attempts_left = _MAX_UNANSWERED
        starting = None
        target = self._view.ring.find_first(request.workspace, failed)
        for _ in range(_MAX_ASKED):
            if target is None or not attempts_left:
                break
            reply = await self._send(
                target,
                dataclasses.replace(request, unanswered=tuple(failed)),
            )
            if reply is None or reply.unavailable:
                attempts_left -= 1
                failed.append(target)
                if reply is None:
                    self._skip(target, request.workspace)
                if not request.wanted:
                    # The daemon may have taken what was returned; returning
                    # it again could lend it twice.
                    break
                # One that just started is asked first again the next time.
                starting = starting or reply
                target = self._view.ring.find_first(request.workspace, failed)
            elif reply.lender:
                target = reply.lender
            else:
                return reply, target
        return starting, ""

    async def _send(
        self, target: str, request: messages.CreditRequest
    ) -> messages.CreditReply | None:
        if target == self._view.own:
            return await self._lender.answer(request)
        return await self._routes.send(target, request, ASK_TIMEOUT_S)

    def _skip(self, daemon: str, workspace: str) -> None:
        now = self._clock()
        self.unanswered += 1
        if now >= self._skipped.get(daemon, 0.0):
            event_log.record_member(
                "quota_lender_unanswered", daemon=daemon, workspace=workspace
            )
        self._skipped[daemon] = now + SKIP_S

    def give_back(self, workspace: str, expires_at: float) -> None:
        """Give back the credit of a request that did not run.

        :param expires_at: when the credit expires.
        """
        holding = self._holdings.get(workspace)
        if holding is not None:
            self._holdings[workspace] = decisions.give_back(
                holding, expires_at, self._clock()
            )
            self._schedule_return(workspace)

    def _schedule_return(self, workspace: str) -> None:
        """Return credit to the lender before it expires unused."""
        now = self._clock()
        holding = self._holdings[workspace]
        if workspace in self._returns or not decisions.count_usable(
            holding, now
        ):
            return
        self._returns[workspace] = self._call_later(
            max(0.0, holding.expires_at - decisions.RETURN_MARGIN_S - now),
            self._return_unused,
            workspace,
        )

    def _return_unused(self, workspace: str) -> None:
        del self._returns[workspace]
        now = self._clock()
        holding = self._holdings.get(workspace)
        usable = decisions.count_usable(holding, now) if holding else 0
        if not usable:
            return
        if holding.expires_at - now > 2 * decisions.RETURN_MARGIN_S:
            # Newer credit has replaced what the timer was set for.
            self._schedule_return(workspace)
            return
        self._holdings[workspace] = dataclasses.replace(holding, held=0)
        request = messages.CreditRequest(workspace, 0, usable)
        task = asyncio.create_task(self._ask(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _sweep(self, now: float) -> None:
        """Forget the workspaces that have had no request for a while."""
        if now - self._swept_at < _IDLE_S:
            return
        self._swept_at = now
        for workspace, holding in tuple(self._holdings.items()):
            if (
                now - holding.demanded_at >= _IDLE_S
                and workspace not in self._questions
            ):
                del self._holdings[workspace]
                self._refusals.pop(workspace, None)
        self._skipped = {
            name: until for name, until in self._skipped.items() if now < until
        }
