"""Finds a way to a lender that did not answer an entry."""

import asyncio
from collections import abc
import dataclasses
import itertools

from burdockdeal.membership import messages as membership
from burdockdeal.membership import transport
from burdockdeal.quotas import fleet_view
from burdockdeal.quotas import messages

#: Seconds within which a daemon must respond that is asked directly, and one
#: that is asked to reach another. Together with the forwarding they end
#: within the time that an entry waits.
DIRECT_TIMEOUT_S = 0.1
VIA_TIMEOUT_S = 0.16

#: Seconds for which a way is used without looking again.
_ROUTE_S = 2.0

#: Daemons that are asked: of the lender's domain, of third domains, and of
#: those between the lender and this one on the ring. If a third of all are
#: lost at once, one loss in 81 finds none alive in the lender's domain.
_NEAR_WITNESSES = 4
_THIRD_WITNESSES = 2
_EARLIER_WITNESSES = 2

#: Daemons on the ring among which they are chosen.
_CANDIDATES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A way to a lender.

    :param daemon: the daemon to which requests are forwarded, empty if there
        is none.
    :param hops: the hops of a request that is forwarded to it.
    :param is_isolated: whether no daemon of the lender's failure domain was
        reached, so that the lender may be alive behind a network partition.
    :param until: until when it is used, monotonic time in seconds.
    """

    daemon: str
    hops: int
    is_isolated: bool
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Witness:
    daemon: str
    hops: int
    timeout_s: float
    in_domain: bool = False


def choose_witnesses(
    candidates: abc.Iterable[membership.Member],
    own: membership.Member,
    lender: membership.Member,
) -> tuple[str, ...]:
    """Choose daemons that may reach a lender that this daemon may not reach.

    Answers a network partition between two failure domains, which a third
    one bridges, and the loss of a lender, which its own domain confirms.

    :param candidates: daemons in the order of the ring.
    """
    others = [
        each
        for each in candidates
        if each.daemon not in (own.daemon, lender.daemon)
    ]
    near = [
        each for each in others if each.failure_domain == lender.failure_domain
    ]
    third = [
        each
        for each in others
        if each.failure_domain
        not in (lender.failure_domain, own.failure_domain)
    ]
    return tuple(
        each.daemon
        for each in (*near[:_NEAR_WITNESSES], *third[:_THIRD_WITNESSES])
    )


class RouteFinder:
    """Looks for ways to lenders, one search at a time for each lender.

    :param view: the daemons known.
    :param post: posts a message to another daemon.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        view: fleet_view.FleetView,
        post: transport.Post,
        clock: abc.Callable[[], float],
    ) -> None:
        self._view = view
        self._post = post
        self._clock = clock
        self._routes: dict[str, Route] = {}
        self._searches: dict[str, asyncio.Task[Route]] = {}

    def close(self) -> None:
        """Cancel the searches."""
        for search in self._searches.values():
            search.cancel()

    async def send(
        self, daemon: str, request: messages.CreditRequest, timeout_s: float
    ) -> messages.CreditReply | None:
        """Send a request to a daemon; None if it does not answer in time."""
        member = self._view.roster.find(daemon)
        if member is None:
            return None
        return await self._post(
            member.peer,
            messages.PATH,
            request,
            messages.CreditReply,
            timeout_s,
        )

    def forget(self, lender: str) -> None:
        """Look anew for a way to a lender the next time."""
        self._routes.pop(lender, None)

    async def find(self, lender: str, workspace: str) -> Route:
        """Find a way to a lender that did not answer an entry.

        :param workspace: a workspace for which it is the lender.
        """
        route = self._routes.get(lender)
        if route is not None and self._clock() < route.until:
            return route
        search = self._searches.get(lender)
        if search is None:
            search = asyncio.create_task(self._search(lender, workspace))
            self._searches[lender] = search
            search.add_done_callback(
                lambda _: self._searches.pop(lender, None)
            )
        return await asyncio.shield(search)

    async def _search(self, lender: str, workspace: str) -> Route:
        view = self._view
        member = view.roster.find(lender)
        witnesses = self._list_witnesses(member, workspace) if member else ()
        probe = messages.CreditRequest(workspace, 0, unanswered=(lender,))
        replies = await asyncio.gather(
            *(
                self.send(
                    each.daemon,
                    dataclasses.replace(probe, hops=each.hops),
                    each.timeout_s,
                )
                for each in witnesses
            )
        )
        answered = [
            (witness, reply)
            for witness, reply in zip(witnesses, replies, strict=True)
            if reply is not None
        ]
        route = self._choose(member, lender, answered)
        now = self._clock()
        self._routes = {
            name: each
            for name, each in self._routes.items()
            if now < each.until
        }
        self._routes[lender] = route
        return route

    def _list_witnesses(
        self, lender: membership.Member, workspace: str
    ) -> tuple[_Witness, ...]:
        """List whom to ask, by preference: the lender, then others."""
        view = self._view
        order = list(itertools.islice(view.ring.walk(workspace), _CANDIDATES))
        members = filter(None, map(view.roster.find, order))
        near_or_third = choose_witnesses(members, view.roster.own, lender)
        earlier = itertools.takewhile(lambda name: name != view.own, order)
        return (
            _Witness(lender.daemon, 0, DIRECT_TIMEOUT_S),
            *(
                _Witness(
                    name,
                    1,
                    VIA_TIMEOUT_S,
                    view.roster.find(name).failure_domain
                    == lender.failure_domain,
                )
                for name in near_or_third
            ),
            *(
                # A daemon before this one on the ring, if it is alive,
                # decides in this one's place.
                _Witness(name, messages.MAX_HOPS, VIA_TIMEOUT_S)
                for name in itertools.islice(
                    earlier, 1, 1 + _EARLIER_WITNESSES
                )
            ),
        )

    def _choose(
        self,
        member: membership.Member | None,
        lender: str,
        answered: list[tuple[_Witness, messages.CreditReply]],
    ) -> Route:
        until, own = self._clock() + _ROUTE_S, self._view.roster.own
        for witness, reply in answered:
            # One that takes this daemon to be the lender confirms the loss.
            is_reached = not reply.unavailable and reply.lender != own.daemon
            if is_reached or witness.hops == messages.MAX_HOPS:
                return Route(witness.daemon, witness.hops, False, until)
        is_confirmed = (
            member is None
            or member.failure_domain == own.failure_domain
            or any(
                witness.in_domain or witness.daemon == lender
                for witness, _ in answered
            )
        )
        return Route("", 0, not is_confirmed, 0.0)
