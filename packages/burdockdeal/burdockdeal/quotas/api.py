"""Charges requests against the quotas of their workspaces."""

import asyncio
from collections import abc
import contextlib
import random

from aiohttp import web

from burdockdeal.configuration import resources
from burdockdeal.core import call
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import gauge
from burdockdeal.membership import roster
from burdockdeal.membership import transport
from burdockdeal.quotas import borrowing
from burdockdeal.quotas import decisions
from burdockdeal.quotas import fleet_view
from burdockdeal.quotas import lending
from burdockdeal.quotas import messages
from burdockdeal.quotas import reach
from burdockdeal.quotas import state
from burdockdeal.settings import fleet_terms

#: Charges a call while the block runs.
Charge = abc.Callable[
    [call.Call], contextlib.AbstractAsyncContextManager[None]
]

#: Handles a message of another daemon.
Handler = abc.Callable[[web.BaseRequest], abc.Awaitable[web.Response]]

_FREE = contextlib.nullcontext()


def charge_nothing(
    inbound: call.Call,
) -> contextlib.AbstractAsyncContextManager[None]:
    """Let a call run where quotas are not enforced."""
    return _FREE


def _call_later(
    delay_s: float, callback: abc.Callable[..., None], *args: object
) -> asyncio.TimerHandle:
    return asyncio.get_running_loop().call_later(delay_s, callback, *args)


class Quotas:
    """The lender and the borrower of one daemon.

    :param terms: how closely quotas are kept.
    :param local_roster: the daemons known.
    :param post: posts a message to another daemon.
    :param get_workspaces: returns the workspaces of the active configuration.
    :param clock: returns monotonic time in seconds.
    :param rng: chooses the phase of the entry's own allowance.
    :param call_later: calls a function after a delay in seconds.
    """

    def __init__(
        self,
        terms: fleet_terms.QuotaTerms,
        local_roster: roster.Roster,
        post: transport.Post,
        get_workspaces: abc.Callable[
            [], abc.Mapping[str, resources.Workspace]
        ],
        clock: abc.Callable[[], float],
        rng: random.Random,
        call_later: lending.CallLater = _call_later,
    ) -> None:
        self._get_workspaces = get_workspaces
        view = fleet_view.FleetView(local_roster, clock)
        self._routes = reach.RouteFinder(view, post, clock)
        self.lender = lending.Lender(
            view, self._routes, self._find_limit, terms, clock, call_later
        )
        self.borrower = borrowing.Borrower(
            view, self._routes, self.lender, terms, clock, rng, call_later
        )

    async def __aenter__(self) -> "Quotas":
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.borrower.close()
        self.lender.close()
        self._routes.close()

    def _find_limit(self, workspace: str) -> tuple[bool, state.Limit | None]:
        known = self._get_workspaces().get(workspace)
        if known is None:
            return False, None
        return True, decisions.find_limit(known)

    def charge(
        self, inbound: call.Call
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Charge a call against its workspace's quota while the block runs.

        A call that did not run gives its credit back.

        :raises NotRunError: on entering, if the quota is used up.
        """
        if not inbound.workspace:
            return _FREE
        _, limit = self._find_limit(inbound.workspace)
        return _FREE if limit is None else self._charge(inbound, limit)

    @contextlib.asynccontextmanager
    async def _charge(
        self, inbound: call.Call, limit: state.Limit
    ) -> abc.AsyncIterator[None]:
        workspace = inbound.workspace
        expires_at = await self.borrower.take(
            workspace, limit, inbound.deadline
        )
        try:
            yield
        except errors.NotRunError:
            self.borrower.give_back(workspace, expires_at)
            raise

    @property
    def peer_handlers(self) -> abc.Mapping[str, Handler]:
        """Handlers of other daemons' messages, by path."""
        return {messages.PATH: self._handle_request}

    async def _handle_request(self, request: web.BaseRequest) -> web.Response:
        message = codec.decode_compact(
            await request.read(), messages.CreditRequest
        )
        reply = await self.lender.answer(message)
        return web.Response(
            body=codec.encode_compact(reply), content_type="application/json"
        )

    def make_gauges(self) -> tuple[gauge.Gauge, ...]:
        """Make the gauges of credit lent, refused and asked for in vain."""
        return (
            gauge.Gauge(
                "burdockdeal_quota_credits_lent_total",
                "Credits that this daemon lent to entries.",
                lambda: self.lender.lent,
            ),
            gauge.Gauge(
                "burdockdeal_quota_refused_total",
                "Requests refused since a workspace's quota was used up.",
                lambda: self.borrower.refused,
            ),
            gauge.Gauge(
                "burdockdeal_quota_unanswered_total",
                "Credit requests that a daemon did not answer in time.",
                lambda: self.borrower.unanswered,
            ),
        )
