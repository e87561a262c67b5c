"""The lender: grants credit to the entries that ask for it."""

import asyncio
from collections import abc
import dataclasses

from burdockdeal.core import event_log
from burdockdeal.quotas import contact
from burdockdeal.quotas import decisions
from burdockdeal.quotas import fleet_view
from burdockdeal.quotas import messages
from burdockdeal.quotas import reach
from burdockdeal.quotas import state
from burdockdeal.settings import fleet_terms

#: Seconds between two ticks while this daemon lends. If one is late by more
#: than the second number, entries may have turned to another lender, which
#: they do after 0.25 s, and which takes over 0.1 s to look for this one.
TICK_S = 0.1
STALL_S = 0.3

#: Seconds without a request after which a lender probes no other daemons.
_PROBED_S = 2.0

#: Seconds without a request after which a full bucket is dropped.
_IDLE_S = 30.0

#: Seconds for which a substitute lends at a low rate if it can't tell a loss
#: from a network partition. With three equal domains, a daemon cut off
#: suspects half of each other domain within 5 s.
HOLD_S = 6.0

#: Seconds between two looks for the daemon in whose place this one lends.
_CHECK_S = 0.5

#: Seconds until an entry may ask again about an unknown workspace.
_UNKNOWN_RETRY_S = 0.2

UNAVAILABLE = messages.CreditReply(unavailable=True)

#: Returns whether a workspace is known, and its quota, None for no limit.
FindLimit = abc.Callable[[str], tuple[bool, state.Limit | None]]

#: Calls a function after a delay in seconds.
CallLater = abc.Callable[..., asyncio.TimerHandle]


class Lender:
    """Holds the buckets of the workspaces that this daemon lends to.

    :param view: the daemons known.
    :param routes: finds ways to other lenders.
    :param find_limit: finds the quota of a workspace.
    :param terms: how closely quotas are kept.
    :param clock: returns monotonic time in seconds.
    :param call_later: calls a function after a delay.
    """

    def __init__(
        self,
        view: fleet_view.FleetView,
        routes: reach.RouteFinder,
        find_limit: FindLimit,
        terms: fleet_terms.QuotaTerms,
        clock: abc.Callable[[], float],
        call_later: CallLater,
    ) -> None:
        self._contact = contact.Contact(view, routes, clock)
        self._view = view
        self._routes = routes
        self._find_limit = find_limit
        self._terms = terms
        self._clock = clock
        self._call_later = call_later
        self._buckets: dict[str, state.Bucket] = {}
        self._substitutions: dict[str, state.Substitution] = {}
        self._checks: dict[str, asyncio.Task[None]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._ticked_at = 0.0
        self.lent = 0
        view.on_arc_change(self._drop_others)

    def close(self) -> None:
        """Cancel what is scheduled."""
        self._contact.close()
        if self._timer is not None:
            self._timer.cancel()
        for check in self._checks.values():
            check.cancel()

    async def answer(
        self, request: messages.CreditRequest
    ) -> messages.CreditReply:
        """Answer a request for credit of this or another entry."""
        workspace = request.workspace
        is_known, limit = self._find_limit(workspace)
        if not is_known:
            # The configuration may be older here than at the entry.
            return dataclasses.replace(
                UNAVAILABLE, retry_after_s=_UNKNOWN_RETRY_S
            )
        if limit is None:
            return messages.CreditReply(request.wanted, decisions.TTL_S)
        self._note_stall()
        first = self._view.ring.find_first(workspace)
        if first == self._view.own:
            return self._lend(request, limit)
        if first is None:
            return UNAVAILABLE
        if not request.hops or first not in request.unanswered:
            return messages.CreditReply(lender=first)
        current = self._find_substitution(workspace, first)
        if current is not None:
            self._check_lender(workspace, current)
            return self._lend(request, limit, current)
        if request.hops < messages.MAX_HOPS:
            return await self._forward(
                first, 0, request, reach.DIRECT_TIMEOUT_S
            )
        if _is_probe(request):
            return UNAVAILABLE
        return await self._bridge_or_substitute(request, limit, first)

    def _find_substitution(
        self, workspace: str, first: str
    ) -> state.Substitution | None:
        """Find a substitution if the lender was looked for recently."""
        current = self._substitutions.get(workspace)
        if current is None:
            return None
        if current.lender != first:
            self._drop(workspace)
            return None
        is_recent = self._clock() - current.checked_at < 2 * _CHECK_S
        return current if is_recent else None

    async def _forward(
        self,
        daemon: str,
        hops: int,
        request: messages.CreditRequest,
        timeout_s: float,
    ) -> messages.CreditReply:
        forwarded = dataclasses.replace(request, hops=hops)
        reply = await self._routes.send(daemon, forwarded, timeout_s)
        return reply or UNAVAILABLE

    async def _bridge_or_substitute(
        self,
        request: messages.CreditRequest,
        limit: state.Limit,
        first: str,
    ) -> messages.CreditReply:
        workspace = request.workspace
        if self._clock() < self._view.lends_from:
            return self._tell_start(self._clock())
        route = await self._routes.find(first, workspace)
        if route.daemon:
            if workspace in self._substitutions:
                self._drop(workspace)
            reply = await self._forward(
                route.daemon, route.hops, request, reach.VIA_TIMEOUT_S
            )
            if reply.unavailable:
                self._routes.forget(first)
            return reply
        now = self._clock()
        substitution = self._substitutions.get(workspace)
        if substitution is None:
            held_until = now + HOLD_S if route.is_isolated else now
            substitution = state.Substitution(first, now, held_until, now)
            self._buckets.pop(workspace, None)
        substitution = dataclasses.replace(substitution, checked_at=now)
        self._substitutions[workspace] = substitution
        return self._lend(request, limit, substitution)

    def _tell_start(self, now: float) -> messages.CreditReply:
        return dataclasses.replace(
            UNAVAILABLE, retry_after_s=self._view.lends_from - now
        )

    def _lend(
        self,
        request: messages.CreditRequest,
        limit: state.Limit,
        substitution: state.Substitution | None = None,
    ) -> messages.CreditReply:
        now, workspace = self._clock(), request.workspace
        if now < self._view.lends_from:
            return self._tell_start(now)
        if _is_probe(request):
            return messages.CreditReply()
        reached = self._view.compute_alive_share() * self._contact.share
        rate = limit.requests_per_s * reached
        since = self._view.lends_since
        if substitution is not None:
            since = max(since, substitution.since)
            if now < substitution.held_until or not self._contact.is_known:
                rate = decisions.compute_held_rate(self._terms, rate)
        bucket = self._buckets.get(workspace)
        if bucket is None:
            if substitution is not None:
                self._contact.begin(workspace)
            bucket = decisions.open_bucket(limit, rate, since, now)
            self._log("quota_lending_began", workspace, substitution)
        else:
            bucket = decisions.refill(bucket, limit, rate, now)
        bucket, reply = decisions.lend(bucket, limit, request, now)
        self._buckets[workspace] = bucket
        self.lent += reply.granted
        if self._timer is None:
            self._tick()
        return reply

    def _tick(self) -> None:
        self._note_stall()
        now = self._clock()
        self._timer, self._ticked_at = None, now
        for workspace, bucket in tuple(self._buckets.items()):
            _, limit = self._find_limit(workspace)
            if decisions.is_disposable(bucket, limit, now, _IDLE_S):
                self._drop(workspace)
            elif now - bucket.asked_at < _PROBED_S:
                self._contact.probe(workspace)
        if self._buckets:
            self._timer = self._call_later(TICK_S, self._tick)

    def _note_stall(self) -> None:
        """Empty the buckets if this process did not run for a while.

        Entries may have turned to a substitute meanwhile, so this daemon
        becomes the lender again.
        """
        late_s = self._clock() - self._ticked_at - TICK_S
        if self._timer is None or late_s <= STALL_S:
            return
        self._ticked_at = self._clock()
        self._view.restart_lending()
        for workspace in tuple(self._buckets):
            self._drop(workspace)

    def _drop_others(self) -> None:
        """Drop the buckets of workspaces that another daemon lends to now."""
        starts = self._clock() < self._view.lends_from
        for workspace in tuple(self._buckets):
            current = self._substitutions.get(workspace)
            first = self._view.ring.find_first(workspace)
            expected = current.lender if current else self._view.own
            if starts or first != expected:
                self._drop(workspace)

    def _drop(self, workspace: str) -> None:
        self._buckets.pop(workspace, None)
        substitution = self._substitutions.pop(workspace, None)
        self._log("quota_lending_ended", workspace, substitution)

    def _log(
        self,
        event: str,
        workspace: str,
        substitution: state.Substitution | None,
    ) -> None:
        event_log.record_member(
            event,
            workspace=workspace,
            in_place_of=substitution.lender if substitution else None,
            is_held=(
                self._clock() < substitution.held_until or None
                if substitution
                else None
            ),
        )

    def _check_lender(
        self, workspace: str, current: state.Substitution
    ) -> None:
        """Look for the lender again, while requests are still answered."""
        now = self._clock()
        if now - current.checked_at < _CHECK_S or workspace in self._checks:
            return
        self._substitutions[workspace] = dataclasses.replace(
            current, checked_at=now
        )
        check = asyncio.create_task(self._end_if_found(workspace, current))
        self._checks[workspace] = check
        check.add_done_callback(lambda _: self._checks.pop(workspace, None))

    async def _end_if_found(
        self, workspace: str, current: state.Substitution
    ) -> None:
        route = await self._routes.find(current.lender, workspace)
        known = self._substitutions.get(workspace)
        if (
            route.daemon
            and known is not None
            and known.since == current.since
            and workspace in self._buckets
        ):
            self._drop(workspace)


def _is_probe(request: messages.CreditRequest) -> bool:
    """Return whether a request only asks if the lender can be reached.

    It must not make its receiver begin to lend.
    """
    return not request.wanted and not request.returned
