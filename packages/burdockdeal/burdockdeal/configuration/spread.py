"""The spread of changes through the fleet, and of what is applied back.

A change goes to one daemon of each failure domain and from there down a
tree. The answer on the way back says what all daemons below apply. The
same message without changes is the question alone.
"""

import asyncio
from collections import abc
import random

import aiohttp
from aiohttp import web
import mode

from burdockdeal.configuration import messages
from burdockdeal.configuration import standing
from burdockdeal.configuration import tree
from burdockdeal.core import codec
from burdockdeal.core import headers
from burdockdeal.membership import messages as membership
from burdockdeal.membership import roster as rosters
from burdockdeal.settings import model

PATH = "/v1/peer/spread"

_WAIT_MS = 2400.0
_MARGIN_MS = 50.0
_TRIES = 2
_LEAST_WAIT_MS = 50.0
#: Between two pushes of one daemon; changes meanwhile go together.
_PUSH_PAUSE_S = 0.1
#: A longer batch is left to be pulled.
_PUSH_BYTES = 64_000
#: A survey of the members is used for so long, unless they change.
_SURVEY_S = 1.0
#: For so long an answer serves others who ask the same.
_ANSWER_AGE_S = 0.2

#: Ask what each failure domain applies.
AskDomains = abc.Callable[[], abc.Awaitable[tuple[messages.Applied, ...]]]


class Spreader(mode.Service):
    """Passes changes on and gathers what is applied.

    :param roster: what this daemon believes of all daemons.
    :param pull: fetches older changes from a peer.
    :param clock: returns monotonic seconds.
    """

    def __init__(
        self,
        settings: model.Settings,
        in_force: standing.Standing,
        session: aiohttp.ClientSession,
        chance: random.Random,
        *,
        roster: rosters.Roster,
        pull: abc.Callable[[model.Address], None],
        clock: abc.Callable[[], float],
    ) -> None:
        super().__init__()
        self._settings = settings
        self._own = settings.advertise or settings.listen.peer
        self._standing = in_force
        self._session = session
        self._chance = chance
        self._roster = roster
        self._pull = pull
        self._clock = clock
        self._domains: tuple[tree.Domain, ...] = ()
        self._surveyed_at: float | None = None
        self._dead_since: dict[str, float] = {}
        self._waiting: dict[bool, list[messages.Change]] = {}
        self._due = asyncio.Event()
        self._asked_at = -_ANSWER_AGE_S
        self._asking: asyncio.Future[tuple[messages.Applied, ...]] | None = (
            None
        )
        self.sent = 0
        self.sent_bytes = 0
        roster.on_change(self._note_member)

    def _note_member(
        self, known: membership.Member | None, stands: membership.Member
    ) -> None:
        """Note since when a daemon is believed dead."""
        if stands.health is membership.Health.DEAD:
            self._dead_since.setdefault(stands.daemon, self._clock())
        else:
            self._dead_since.pop(stands.daemon, None)
        self._surveyed_at = None

    def push_domain(self, changes: tuple[messages.Change, ...]) -> None:
        """Send changes to the daemons of the own failure domain, soon."""
        self._push(False, changes)

    def push_fleet(self, changes: tuple[messages.Change, ...]) -> None:
        """Send changes to all daemons, soon."""
        self._push(True, changes)

    def _push(
        self, everywhere: bool, changes: tuple[messages.Change, ...]
    ) -> None:
        # Without changes, as after a snapshot, the others learn that
        # there is something newer and fetch it.
        self._waiting.setdefault(everywhere, []).extend(changes)
        self._due.set()

    @mode.Service.task
    async def _push_forever(self) -> None:
        while not self.should_stop:
            await self._due.wait()
            self._due.clear()
            waiting, self._waiting = self._waiting, {}
            for everywhere, changes in waiting.items():
                batch = _fit(tuple(changes))
                self.add_future(self._spread(batch, everywhere=everywhere))
            await self.sleep(_PUSH_PAUSE_S)

    async def ask_domains(self) -> tuple[messages.Applied, ...]:
        """Ask what each failure domain applies.

        Costs one call for each domain; those who ask at the same time
        share the answer.
        """
        now = self._clock()
        if self._asking is None or now - self._asked_at > _ANSWER_AGE_S:
            self._asked_at = now
            self._asking = asyncio.ensure_future(self._spread(()))
        return await asyncio.shield(self._asking)

    def _survey(self) -> tuple[tree.Domain, ...]:
        now = self._clock()
        if self._surveyed_at is None or now - self._surveyed_at > _SURVEY_S:
            dead_s = {
                daemon: now - since
                for daemon, since in self._dead_since.items()
            }
            remembered = [domain.name for domain in self._domains]
            self._domains = tree.survey(
                self._roster.members, remembered, dead_s
            )
            self._surveyed_at = now
        return self._domains

    async def _spread(
        self, changes: tuple[messages.Change, ...], *, everywhere: bool = True
    ) -> tuple[messages.Applied, ...]:
        own = self._settings.failure_domain
        domains = [
            domain
            for domain in self._survey()
            if everywhere or domain.name == own
        ]
        return tuple(
            await asyncio.gather(
                *(self._spread_domain(domain, changes) for domain in domains)
            )
        )

    async def _spread_domain(
        self, domain: tree.Domain, changes: tuple[messages.Change, ...]
    ) -> messages.Applied:
        if domain.name == self._settings.failure_domain:
            answer = await self._cover("", "", (), _WAIT_MS, changes)
        else:
            names = tuple(sorted(domain.reachable))
            branch = tree.Branch("", "", names)
            answer = await self._deliver(domain, branch, (), _WAIT_MS, changes)
        lost = messages.Applied(domain.name, 0, 0, domain.missing, domain.lost)
        return tree.combine(domain.name, (answer, lost))

    async def _cover(
        self,
        first: str,
        last: str,
        path: tuple[str, ...],
        wait_ms: float,
        changes: tuple[messages.Change, ...],
    ) -> messages.Applied:
        """Pass changes on within a range of the own failure domain.

        :returns: what all daemons of the range apply, this one included.
        """
        name = self._settings.failure_domain
        path = (*path, self._settings.daemon)
        domain = tree.Domain(name, self._own_domain())
        names = tree.choose(domain.reachable, first, last, path)
        answers = await asyncio.gather(
            *(
                self._deliver(domain, branch, path, wait_ms, changes)
                for branch in tree.split(names, first, last)
            )
        )
        own = messages.Applied(name, self._standing.revision, 1, 0)
        return tree.combine(name, (own, *answers))

    def _own_domain(self) -> dict[str, model.Address]:
        members = self._roster.map_active_in_domain(
            self._settings.failure_domain
        )
        return {name: member.peer for name, member in members.items()}

    async def _deliver(
        self,
        domain: tree.Domain,
        branch: tree.Branch,
        path: tuple[str, ...],
        wait_ms: float,
        changes: tuple[messages.Change, ...],
    ) -> messages.Applied:
        """Send a branch to one of its daemons, or to another."""
        expected = len(branch.names)
        tries = min(_TRIES, expected)
        try_ms = max(_LEAST_WAIT_MS, (wait_ms - _MARGIN_MS) / _TRIES)
        for head in self._chance.sample(branch.names, tries):
            message = messages.Spread(
                first=branch.first,
                last=branch.last,
                path=path,
                sender=self._own,
                revision=self._standing.revision,
                wait_ms=try_ms,
                changes=changes,
            )
            answer = await self._send(domain.reachable[head], message)
            if answer is not None:
                return tree.cover(answer, expected)
        return messages.Applied(domain.name, 0, 0, expected)

    async def _send(
        self, address: model.Address, message: messages.Spread
    ) -> messages.Applied | None:
        body = codec.encode(message)
        self.sent += 1
        self.sent_bytes += len(body)
        try:
            async with self._session.post(
                f"http://{address}{PATH}",
                data=body,
                headers={headers.PEER_TOKEN: self._settings.peer_token},
                timeout=aiohttp.ClientTimeout(total=message.wait_ms / 1000),
            ) as response:
                response.raise_for_status()
                return codec.decode(await response.read(), messages.Applied)
        except (
            aiohttp.ClientError,
            asyncio.TimeoutError,
            codec.MalformedError,
            OSError,
        ):
            return None

    async def handle_spread(self, request: web.BaseRequest) -> web.Response:
        """Take in changes, pass them on and answer what is applied."""
        message = codec.decode(await request.read(), messages.Spread)
        self._standing.take(message.changes)
        if message.revision > self._standing.revision:
            self._pull(message.sender)
        answer = await self._cover(
            message.first,
            message.last,
            message.path,
            message.wait_ms,
            message.changes,
        )
        return web.Response(
            body=codec.encode(answer), content_type="application/json"
        )


def _fit(
    changes: tuple[messages.Change, ...],
) -> tuple[messages.Change, ...]:
    """Leave out a batch that is too long to be pushed."""
    size = sum(len(bytes(change.spec)) for change in changes)
    return changes if size <= _PUSH_BYTES else ()
