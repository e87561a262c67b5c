"""The membership service: probing, joining and comparing rosters."""

import asyncio
from collections import abc
import random

from aiohttp import web
import mode

from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.membership import contacts
from burdockdeal.membership import decisions
from burdockdeal.membership import messages
from burdockdeal.membership import pages
from burdockdeal.membership import roster
from burdockdeal.membership import transport
from burdockdeal.settings import model

#: Seconds that a daemon that is gone is remembered.
REMEMBER_GONE_S = 86_400.0

#: Seconds between two comparisons of the whole roster with a peer.
COMPARE_S = 60.0

#: Periods between two tries to reach a daemon that is believed dead.
_PERIODS_BETWEEN_REVIVALS = 5

#: A tick later than this many periods shows that this process stood still.
_PAUSE_PERIODS = 3.0

_JOIN_TIMEOUT_S = 5.0


#: Answers a message of another daemon.
Handler = abc.Callable[[web.BaseRequest], abc.Awaitable[web.Response]]


class Membership(mode.Service):
    """Finds the other daemons, probes them and spreads what is news.

    :param post: posts a message to another daemon.
    :param meet: returns addresses from the store's list of contacts.
    :param revision: returns the configuration's revision in force here.
    :param on_newer: called with a peer whose configuration is newer.
    """

    def __init__(
        self,
        settings: model.Settings,
        standing: roster.Roster,
        post: transport.Post,
        meet: contacts.FindContacts,
        chance: random.Random,
        clock: abc.Callable[[], float],
        *,
        revision: abc.Callable[[], int],
        on_newer: abc.Callable[[model.Address], None],
    ) -> None:
        super().__init__()
        self._settings = settings
        self._pace = settings.membership
        self._roster = standing
        self._post = post
        self._meet = meet
        self._chance = chance
        self._clock = clock
        self._revision = revision
        self._on_newer = on_newer
        self._order: list[str] = []
        self._suspects: dict[str, float] = {}
        self._gone_at: dict[str, float] = {}
        self._compared_at = clock()
        self._is_push_due = False
        standing.on_change(self._note_change)

    @property
    def peer_handlers(self) -> dict[str, Handler]:
        """The handlers of other daemons' messages, by path."""
        return {
            "/v1/peer/ping": self.handle_ping,
            "/v1/peer/ping-request": self.handle_ping_request,
            "/v1/peer/page": self.handle_page,
        }

    @mode.Service.task
    async def _probe_forever(self) -> None:
        period_s = self._pace.period_s
        due = self._clock()
        number = 0
        while not self.should_stop:
            await self.sleep(max(0.0, due - self._clock()))
            late_s = self._clock() - due
            due = self._clock() + period_s
            if late_s > _PAUSE_PERIODS * period_s:
                # What this process did not hear while it stood still says
                # nothing about the others.
                event_log.warn("loop_paused", late_ms=round(late_s * 1000))
                self._grant_time(late_s)
            number += 1
            self._end_suspicions()
            target = self._next_target()
            if target is not None:
                self.add_future(self._probe(target))
            if number % _PERIODS_BETWEEN_REVIVALS == 0:
                self._revive_one()

    @mode.Service.task
    async def _join_forever(self) -> None:
        while not self.should_stop:
            try:
                await self._join()
            except errors.PlatformError as error:
                event_log.warn("contacts_unavailable", error=error)
            pause_s = self._pace.period_s
            await self.sleep(pause_s * (1 + self._chance.random()))

    async def _join(self) -> None:
        if self._roster.active_count == 1:
            known = list(self._settings.peers)
            try:
                known += await self._meet(True)
            finally:
                for address in known:
                    if await self._load_roster(address):
                        break
            return
        self._roster.has_joined = True
        if self._is_relay():
            # Contacts that are not known stand for a part of the fleet
            # that this part has lost.
            for address in await self._meet(False):
                await self._load_roster(address)
        if self._clock() - self._compared_at > COMPARE_S:
            self._compared_at = self._clock()
            chosen = self._chance.choice(self._roster.active_peers)
            await self._load_roster(chosen.peer)

    def _is_relay(self) -> bool:
        own = self._roster.own
        return own.daemon in self._roster.choose_relays(own.failure_domain)

    async def _load_roster(self, address: model.Address) -> bool:
        """Load the records in which a peer's roster differs."""
        if address == self._roster.own.peer:
            return False
        first: int | None = 0
        while first is not None:
            request = messages.PageRequest(first, self._roster.checksums)
            page = await self._post(
                address,
                "/v1/peer/page",
                request,
                messages.Page,
                _JOIN_TIMEOUT_S,
            )
            if page is None:
                return False
            self._roster.merge_members(page.members)
            first = page.following
        return await self._ping(address, "") is not None

    def _next_target(self) -> messages.Member | None:
        while True:
            if not self._order:
                self._order = [
                    peer.daemon for peer in self._roster.active_peers
                ]
                self._chance.shuffle(self._order)
            if not self._order:
                return None
            member = self._roster.find(self._order.pop())
            if member and member.health not in messages.INACTIVE_HEALTHS:
                return member

    async def _probe(self, target: messages.Member) -> None:
        if await self._ping(target.peer, target.daemon):
            return
        peers = [
            p for p in self._roster.active_peers if p.daemon != target.daemon
        ]
        helpers = self._chance.sample(
            peers, min(decisions.HELPERS, len(peers))
        )
        request = messages.PingRequest(target.daemon)
        results = await asyncio.gather(
            *(
                self._post(
                    helper.peer,
                    "/v1/peer/ping-request",
                    request,
                    messages.PingResult,
                    2 * self._pace.timeout_s,
                )
                for helper in helpers
            )
        )
        if not any(result and result.answered for result in results):
            # Only the record that was probed is suspected, not a newer
            # one that was heard of meanwhile.
            claim = decisions.make_claim(target)
            suspect = messages.Claim(
                claim.daemon,
                claim.incarnation,
                claim.serial,
                messages.Health.SUSPECT,
            )
            self._roster.apply_claims([suspect])

    async def _ping(self, address: model.Address, daemon: str) -> bool:
        """Probe a daemon.

        :param daemon: who must answer, empty for anyone.
        """
        answer = await self._post(
            address,
            "/v1/peer/ping",
            self._make_ping(daemon),
            messages.Ping,
            self._pace.timeout_s,
        )
        if answer is None:
            return False
        self._hear(answer)
        return daemon in ("", answer.sender.daemon)

    def _make_ping(self, daemon: str = "") -> messages.Ping:
        standing = self._roster
        limit = decisions.spread_limit(standing.active_count)
        members = [
            standing.find(name) for name in standing.news.take_members(limit)
        ]
        named = list(standing.news.take_claims(limit))
        if daemon and daemon not in named:
            # What is believed of the one that is probed, so that it can
            # defend itself.
            named.append(daemon)
        found = filter(None, map(standing.find, named))
        return messages.Ping(
            sender=standing.own,
            revision=self._revision(),
            members=tuple(filter(None, members)),
            claims=tuple(map(decisions.make_claim, found)),
        )

    def _hear(self, ping: messages.Ping) -> None:
        self._roster.merge_members((ping.sender, *ping.members))
        self._roster.apply_claims(ping.claims)
        if ping.revision > self._revision():
            self._on_newer(ping.sender.peer)

    def request_push(self) -> None:
        """Tell some daemons of a change here, not with the next probe."""
        self._expect_push()

    def _push_own(self) -> None:
        self._is_push_due = False
        peers = self._roster.active_peers
        chosen = self._chance.sample(
            peers, min(decisions.PUSH_FANOUT, len(peers))
        )
        for peer in chosen:
            self.add_future(self._ping(peer.peer, peer.daemon))

    def _expect_push(self) -> None:
        if self._is_push_due or not self.started:
            return
        self._is_push_due = True
        asyncio.get_running_loop().call_soon(self._push_own)

    def _note_change(
        self, known: messages.Member | None, stands: messages.Member
    ) -> None:
        daemon = stands.daemon
        if daemon == self._roster.own.daemon:
            self._expect_push()
        if stands.health is not messages.Health.SUSPECT:
            self._suspects.pop(daemon, None)
        elif known is None or known.health is not messages.Health.SUSPECT:
            self._suspects[daemon] = self._clock() + decisions.suspicion_s(
                self._pace.period_s,
                self._pace.suspicion_s,
                self._roster.active_count,
            )
        if stands.health in messages.INACTIVE_HEALTHS:
            self._gone_at[daemon] = self._clock()
        else:
            self._gone_at.pop(daemon, None)

    def _grant_time(self, late_s: float) -> None:
        self._suspects = {
            daemon: until + late_s for daemon, until in self._suspects.items()
        }

    def _end_suspicions(self) -> None:
        now = self._clock()
        for daemon in decisions.find_expired(self._suspects, now):
            domain = self._roster.find(daemon).failure_domain
            if not decisions.is_cut(
                self._roster.count_suspects(domain),
                len(self._roster.map_active_in_domain(domain)),
            ):
                self._roster.mark_health(daemon, messages.Health.DEAD)
        for daemon, at in list(self._gone_at.items()):
            if now - at > REMEMBER_GONE_S:
                del self._gone_at[daemon]
                self._roster.remove_inactive(daemon)

    def _revive_one(self) -> None:
        dead = [
            member
            for member in self._roster.inactive
            if member.health is messages.Health.DEAD
        ]
        if dead:
            chosen = self._chance.choice(dead)
            self.add_future(self._ping(chosen.peer, chosen.daemon))

    async def handle_ping(self, request: web.BaseRequest) -> web.Response:
        """Answer a probe."""
        ping = codec.decode(await request.read(), messages.Ping)
        self._hear(ping)
        return _reply(self._make_ping())

    async def handle_ping_request(
        self, request: web.BaseRequest
    ) -> web.Response:
        """Probe a daemon in another's place."""
        wanted = codec.decode(await request.read(), messages.PingRequest)
        member = self._roster.find(wanted.daemon)
        answered = member is not None and await self._ping(
            member.peer, member.daemon
        )
        return _reply(messages.PingResult(bool(answered)))

    async def handle_page(self, request: web.BaseRequest) -> web.Response:
        """Answer a daemon that compares its roster with ours."""
        wanted = codec.decode(await request.read(), messages.PageRequest)
        return _reply(pages.make_page(self._roster, wanted))


def _reply(message: object) -> web.Response:
    return web.Response(
        body=codec.encode(message), content_type="application/json"
    )
