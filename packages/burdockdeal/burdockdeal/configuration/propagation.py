"""Propagating changes through the fleet and collecting what is applied.

A change is sent to one daemon of each failure domain and forwarded from
there down a tree. The answers on the way back say what all daemons of the
subtree apply. The same message without changes is the query alone.
"""

import asyncio
from collections import abc
import random

import aiohttp
from aiohttp import web
import mode

from burdockdeal.configuration import active_configuration
from burdockdeal.configuration import messages
from burdockdeal.configuration import tree
from burdockdeal.core import codec
from burdockdeal.core import headers
from burdockdeal.membership import messages as membership
from burdockdeal.membership import roster as rosters
from burdockdeal.overload import body_io
from burdockdeal.settings import model

PATH = "/v1/peer/spread"

#: Milliseconds within which a domain must answer.
_WAIT_MS = 2400.0
#: Milliseconds kept back from a sender's wait for the answer's way back.
_MARGIN_MS = 50.0
#: Number of daemons of a branch that are tried one after another.
_MAX_ATTEMPTS = 2
#: Milliseconds that a daemon is waited for at least.
_MIN_WAIT_MS = 50.0
#: Seconds between two pushes of one daemon; changes that arrive in between
#: are sent together.
_PUSH_INTERVAL_S = 0.1
#: Maximum bytes of a pushed batch; the receivers pull a longer one.
_MAX_PUSH_BYTES = 64_000
#: Seconds for which the grouping of the members by domain is cached, unless
#: a member changes.
_DOMAINS_TTL_S = 1.0
#: Seconds for which concurrent callers share the answer to a query.
_ANSWER_TTL_S = 0.2

#: Queries which revision each failure domain applies.
QueryDomains = abc.Callable[[], abc.Awaitable[tuple[messages.Applied, ...]]]


class Propagator(mode.Service):
    """Forwards changes and aggregates which revision the daemons apply.

    :param settings: the daemon's settings.
    :param active: the active configuration, to which changes are applied.
    :param session: the HTTP session for messages to other daemons.
    :param rng: chooses the daemon that a branch is sent to.
    :param roster: this daemon's view of the membership.
    :param pull: fetches older changes from a peer.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        settings: model.Settings,
        active: active_configuration.ActiveConfiguration,
        session: aiohttp.ClientSession,
        rng: random.Random,
        *,
        roster: rosters.Roster,
        pull: abc.Callable[[model.Address], None],
        clock: abc.Callable[[], float],
    ) -> None:
        super().__init__()
        self._settings = settings
        self._own_address = settings.advertise or settings.listen.peer
        self._active = active
        self._session = session
        self._rng = rng
        self._roster = roster
        self._pull = pull
        self._clock = clock
        self._domains: tuple[tree.Domain, ...] = ()
        self._grouped_at: float | None = None
        self._dead_since: dict[str, float] = {}
        self._pending: dict[bool, list[messages.Change]] = {}
        self._push_requested = asyncio.Event()
        self._queried_at = -_ANSWER_TTL_S
        self._query: asyncio.Future[tuple[messages.Applied, ...]] | None = None
        self.sent_messages = 0
        self.sent_bytes = 0
        roster.on_change(self._handle_member_change)

    def _handle_member_change(
        self, previous: membership.Member | None, current: membership.Member
    ) -> None:
        """Record since when a daemon has been believed dead."""
        if current.health is membership.Health.DEAD:
            self._dead_since.setdefault(current.daemon, self._clock())
        else:
            self._dead_since.pop(current.daemon, None)
        self._grouped_at = None

    def push_domain(self, changes: tuple[messages.Change, ...]) -> None:
        """Send changes to the daemons of the own failure domain.

        The changes are queued and sent in the background.
        """
        self._push(False, changes)

    def push_fleet(self, changes: tuple[messages.Change, ...]) -> None:
        """Send changes to all daemons.

        The changes are queued and sent in the background.
        """
        self._push(True, changes)

    def _push(
        self, everywhere: bool, changes: tuple[messages.Change, ...]
    ) -> None:
        # Without changes, as after a snapshot, the message still carries
        # the newer revision, and the receivers pull it.
        self._pending.setdefault(everywhere, []).extend(changes)
        self._push_requested.set()

    @mode.Service.task
    async def _push_forever(self) -> None:
        while not self.should_stop:
            await self._push_requested.wait()
            self._push_requested.clear()
            pending, self._pending = self._pending, {}
            for everywhere, changes in pending.items():
                batch = _limit_batch(tuple(changes))
                self.add_future(self._propagate(batch, everywhere=everywhere))
            await self.sleep(_PUSH_INTERVAL_S)

    async def query_domains(self) -> tuple[messages.Applied, ...]:
        """Query which revision each failure domain applies.

        Costs one call for each domain. Concurrent callers share the answer.
        """
        now = self._clock()
        if self._query is None or now - self._queried_at > _ANSWER_TTL_S:
            self._queried_at = now
            self._query = asyncio.ensure_future(self._propagate(()))
        return await asyncio.shield(self._query)

    def _get_domains(self) -> tuple[tree.Domain, ...]:
        now = self._clock()
        if self._grouped_at is None or now - self._grouped_at > _DOMAINS_TTL_S:
            dead_s = {
                daemon: now - since
                for daemon, since in self._dead_since.items()
            }
            remembered = [domain.name for domain in self._domains]
            self._domains = tree.group_by_domain(
                self._roster.members, remembered, dead_s
            )
            self._grouped_at = now
        return self._domains

    async def _propagate(
        self, changes: tuple[messages.Change, ...], *, everywhere: bool = True
    ) -> tuple[messages.Applied, ...]:
        own = self._settings.failure_domain
        domains = [
            domain
            for domain in self._get_domains()
            if everywhere or domain.name == own
        ]
        return tuple(
            await asyncio.gather(
                *(
                    self._propagate_to_domain(domain, changes)
                    for domain in domains
                )
            )
        )

    async def _propagate_to_domain(
        self, domain: tree.Domain, changes: tuple[messages.Change, ...]
    ) -> messages.Applied:
        if domain.name == self._settings.failure_domain:
            answer = await self._forward_range("", "", (), _WAIT_MS, changes)
        else:
            names = tuple(sorted(domain.reachable))
            branch = tree.Branch("", "", names)
            answer = await self._send_branch(
                domain, branch, (), _WAIT_MS, changes
            )
        lost = messages.Applied(domain.name, 0, 0, domain.missing, domain.lost)
        return tree.aggregate(domain.name, (answer, lost))

    async def _forward_range(
        self,
        first: str,
        last: str,
        path: tuple[str, ...],
        wait_ms: float,
        changes: tuple[messages.Change, ...],
    ) -> messages.Applied:
        """Forward changes within a range of the own failure domain.

        :returns: what all daemons of the range apply, this one included.
        """
        name = self._settings.failure_domain
        path = (*path, self._settings.daemon)
        domain = tree.Domain(name, self._own_domain())
        names = tree.select_range(domain.reachable, first, last, path)
        answers = await asyncio.gather(
            *(
                self._send_branch(domain, branch, path, wait_ms, changes)
                for branch in tree.split_range(names, first, last)
            )
        )
        own = messages.Applied(name, self._active.revision, 1, 0)
        return tree.aggregate(name, (own, *answers))

    def _own_domain(self) -> dict[str, model.Address]:
        members = self._roster.map_active_in_domain(
            self._settings.failure_domain
        )
        return {name: member.peer for name, member in members.items()}

    async def _send_branch(
        self,
        domain: tree.Domain,
        branch: tree.Branch,
        path: tuple[str, ...],
        wait_ms: float,
        changes: tuple[messages.Change, ...],
    ) -> messages.Applied:
        """Send a branch to one of its daemons, trying another if it fails.

        :returns: what the branch applies; all of its daemons are unreached
            if no daemon answered.
        """
        expected = len(branch.names)
        attempts = min(_MAX_ATTEMPTS, expected)
        attempt_ms = max(_MIN_WAIT_MS, (wait_ms - _MARGIN_MS) / _MAX_ATTEMPTS)
        for target in self._rng.sample(branch.names, attempts):
            message = messages.Spread(
                first=branch.first,
                last=branch.last,
                path=path,
                sender=self._own_address,
                revision=self._active.revision,
                wait_ms=attempt_ms,
                changes=changes,
            )
            answer = await self._send(domain.reachable[target], message)
            if answer is not None:
                return tree.add_unaccounted(answer, expected)
        return messages.Applied(domain.name, 0, 0, expected)

    async def _send(
        self, address: model.Address, message: messages.Spread
    ) -> messages.Applied | None:
        body = codec.encode(message)
        self.sent_messages += 1
        self.sent_bytes += len(body)
        try:
            async with self._session.post(
                f"http://{address}{PATH}",
                data=body,
                headers={headers.PEER_TOKEN: self._settings.peer_token},
                timeout=aiohttp.ClientTimeout(total=message.wait_ms / 1000),
            ) as response:
                response.raise_for_status()
                body = await body_io.read_whole_response(response)
                return codec.decode(body, messages.Applied)
        except (
            aiohttp.ClientError,
            asyncio.TimeoutError,
            codec.MalformedError,
            OSError,
        ):
            return None

    async def handle_spread(self, request: web.BaseRequest) -> web.Response:
        """Apply changes, forward them and answer what the range applies."""
        message = codec.decode(await request.read(), messages.Spread)
        self._active.apply(message.changes)
        if message.revision > self._active.revision:
            self._pull(message.sender)
        answer = await self._forward_range(
            message.first,
            message.last,
            message.path,
            message.wait_ms,
            message.changes,
        )
        return web.Response(
            body=codec.encode(answer), content_type="application/json"
        )


def _limit_batch(
    changes: tuple[messages.Change, ...],
) -> tuple[messages.Change, ...]:
    """Return the changes, or none if they are too long to be pushed."""
    size = sum(len(bytes(change.spec)) for change in changes)
    return changes if size <= _MAX_PUSH_BYTES else ()
