"""The membership service: probing, joining and roster synchronization."""

import asyncio
from collections import abc
import random

from aiohttp import web
import mode

from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.evacuation import active
from burdockdeal.evacuation import state as evacuation
from burdockdeal.membership import contacts
from burdockdeal.membership import decisions
from burdockdeal.membership import joining
from burdockdeal.membership import messages
from burdockdeal.membership import notification
from burdockdeal.membership import pages
from burdockdeal.membership import roster
from burdockdeal.membership import targets
from burdockdeal.membership import transport
from burdockdeal.settings import model

#: Seconds for which the record of a dead daemon, or one that left, is kept.
INACTIVE_RETENTION_S = 86_400.0

#: Probe periods between two probes of a daemon that is considered dead.
_PERIODS_BETWEEN_DEAD_PROBES = 5

#: If the probe loop is late by more than this many periods, the process is
#: taken to have been paused.
_PAUSE_THRESHOLD_PERIODS = 3.0

#: Number of store readers that are asked for their configuration revision.
_ASKED_READERS = 2


#: Handles a message of another daemon.
Handler = abc.Callable[[web.BaseRequest], abc.Awaitable[web.Response]]


class Membership(mode.Service):
    """Discovers the other daemons, probes them and spreads updates.

    :param post: posts a message to another daemon.
    :param directory: the contacts in the store.
    :param clock: returns monotonic time in seconds.
    :param revision: returns the configuration revision in force here.
    :param on_newer: called with the address of a peer whose configuration
        is newer.
    :param evacuations: the evacuations that this daemon applies.
    """

    def __init__(
        self,
        settings: model.Settings,
        local_roster: roster.Roster,
        post: transport.Post,
        directory: contacts.ContactDirectory,
        rng: random.Random,
        clock: abc.Callable[[], float],
        *,
        revision: abc.Callable[[], int],
        on_newer: abc.Callable[[model.Address], None],
        evacuations: active.ActiveEvacuation,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._timing = settings.membership
        self._roster = local_roster
        self._post = post
        self._joiner = joining.Joiner(
            settings.peers,
            local_roster,
            directory,
            self.ping,
            post,
            rng,
            clock,
        )
        self._rng = rng
        self._clock = clock
        self._revision = revision
        self._on_newer = on_newer
        self._evacuations = evacuations
        self._probe_order = targets.ProbeOrder(local_roster, rng)
        self._notifier = notification.ChangeNotifier(self._send_notifications)
        #: Number of changes of records that were known before.
        self._known_changes = 0
        #: Whether a newer configuration comes from another failure domain or
        #: from the store.
        self._has_remote_revision = True
        #: Whether a newer set of evacuations comes from there.
        self._has_remote_evacuations = True
        self._suspects: dict[str, float] = {}
        self._inactive_since: dict[str, float] = {}
        local_roster.on_change(self._handle_change)
        evacuations.on_change(self._handle_evacuations)

    @property
    def peer_handlers(self) -> dict[str, Handler]:
        """Handlers of other daemons' messages, by path."""
        return {
            "/v1/peer/ping": self.handle_ping,
            "/v1/peer/ping-request": self.handle_ping_request,
            joining.PAGE_PATH: self.handle_page,
        }

    async def on_stop(self) -> None:
        """Cancel the scheduled notification."""
        self._notifier.close()

    @mode.Service.task
    async def _probe_forever(self) -> None:
        period_s = self._timing.period_s
        due_at = self._clock()
        tick_count = 0
        while not self.should_stop:
            await self.sleep(max(0.0, due_at - self._clock()))
            if self.should_stop:
                return
            late_s = self._clock() - due_at
            due_at = self._clock() + period_s
            if late_s > _PAUSE_THRESHOLD_PERIODS * period_s:
                # While paused, this process could not receive refutations, so
                # the missing ones are no evidence against the suspects.
                event_log.warn("loop_paused", late_ms=round(late_s * 1000))
                self._extend_suspicions(late_s)
            tick_count += 1
            self._expire_suspicions()
            target = self._probe_order.take_next()
            if target is not None:
                self.add_future(self.probe(target))
            if tick_count % _PERIODS_BETWEEN_DEAD_PROBES == 0:
                self._probe_dead_member()

    @mode.Service.task
    async def _join_forever(self) -> None:
        while not self.should_stop:
            try:
                await self._join()
            except errors.PlatformError as error:
                event_log.warn("contacts_unavailable", error=error)
            pause_s = self._timing.period_s
            await self.sleep(pause_s * (1 + self._rng.random()))

    async def _join(self) -> None:
        if self._roster.active_count == 1:
            await self._joiner.join()
        if self._roster.active_count > 1:
            self._roster.has_joined = True
            own = self._roster.own
            await self._joiner.maintain(
                reviews_contacts=own.daemon
                in self._roster.choose_store_readers(1)
            )

    async def probe(self, target: messages.Member) -> None:
        """Probe a daemon, also through others; suspect it if none responds."""
        if await self.ping(target.peer, target.daemon) is not None:
            return
        peers = [
            peer
            for peer in self._roster.active_peers
            if peer.daemon != target.daemon
        ]
        probers = self._rng.sample(
            peers, min(decisions.INDIRECT_PROBERS, len(peers))
        )
        request = messages.PingRequest(target.daemon)
        results = await asyncio.gather(
            *(
                self._post(
                    prober.peer,
                    "/v1/peer/ping-request",
                    request,
                    messages.PingResult,
                    2 * self._timing.timeout_s,
                )
                for prober in probers
            )
        )
        if not any(result and result.answered for result in results):
            # Suspect only the version of the record that was probed, not a
            # newer one received in the meantime.
            claim = decisions.make_claim(target)
            suspect = messages.Claim(
                claim.daemon,
                claim.incarnation,
                claim.serial,
                messages.Health.SUSPECT,
            )
            self._roster.apply_claims([suspect])

    async def ping(
        self, address: model.Address, daemon: str = ""
    ) -> messages.Member | None:
        """Probe the daemon at an address.

        :param daemon: name of the daemon that must respond, empty for any.
        :returns: its record, None if it did not respond within the timeout.
        """
        response = await self._exchange_pings(address, daemon)
        if response is None:
            return None
        sender = response.sender
        return sender if daemon in ("", sender.daemon) else None

    async def _exchange_pings(
        self, address: model.Address, daemon: str
    ) -> messages.Ping | None:
        response = await self._post(
            address,
            "/v1/peer/ping",
            self._make_ping(daemon),
            messages.Ping,
            self._timing.timeout_s,
        )
        if response is not None:
            self._apply_ping(response)
        return response

    def _make_ping(self, daemon: str = "") -> messages.Ping:
        own_roster = self._roster
        limit = decisions.compute_transmit_limit(own_roster.active_count)
        members = [
            own_roster.find(name)
            for name in own_roster.gossip_queue.take_members(limit)
        ]
        claimed = list(own_roster.gossip_queue.take_claims(limit))
        if daemon and daemon not in claimed:
            # Include the claim about the probed daemon itself, so that it
            # can refute a suspicion.
            claimed.append(daemon)
        claimed_members = filter(None, map(own_roster.find, claimed))
        return messages.Ping(
            sender=own_roster.own,
            revision=self._revision(),
            members=tuple(filter(None, members)),
            claims=tuple(map(decisions.make_claim, claimed_members)),
            evacuated=self._evacuations.current,
        )

    def _apply_ping(self, ping: messages.Ping) -> None:
        changes = self._known_changes
        self._roster.merge_members((ping.sender, *ping.members))
        self._roster.apply_claims(ping.claims)
        is_local = (
            ping.sender.failure_domain == self._roster.own.failure_domain
        )
        if self._known_changes != changes and not is_local:
            # Few probes cross from one domain to another, so this daemon may
            # be the first of its domain to learn of the change.
            self._notifier.request(includes_remote=False)
        self._has_remote_evacuations = not is_local
        self._evacuations.apply(ping.evacuated, source=ping.sender.daemon)
        self._has_remote_evacuations = True
        if ping.revision > self._revision():
            self._has_remote_revision = not is_local
            self._on_newer(ping.sender.peer)

    def notify_configuration(self) -> None:
        """Notify other daemons that a newer configuration is in force here.

        Those of other failure domains are left to the daemon from which this
        one learned of it, unless that one is in another domain or it came
        from the store.
        """
        if self.started:
            self._notifier.request(includes_remote=self._has_remote_revision)
        self._has_remote_revision = True

    def _handle_evacuations(self, change: evacuation.Change) -> None:
        if self.started:
            self._notifier.request(
                includes_remote=self._has_remote_evacuations
            )

    async def find_newest_revision(self) -> int:
        """Ask the daemons that read the store which revision they have.

        A newer configuration that one of them has is then fetched.

        :returns: the highest revision, 0 if none of them responded.
        """
        own = self._roster.own.daemon
        readers = [
            self._roster.find(name)
            for name in self._roster.choose_store_readers(_ASKED_READERS)
            if name != own
        ]
        responses = await asyncio.gather(
            *(self._exchange_pings(each.peer, each.daemon) for each in readers)
        )
        return max(
            (response.revision for response in responses if response),
            default=0,
        )

    def _send_notifications(self, includes_remote: bool) -> None:
        for peer in targets.choose_push_targets(
            self._roster, self._rng, includes_remote=includes_remote
        ):
            self.add_future(self.ping(peer.peer, peer.daemon))

    def _handle_change(
        self, known: messages.Member | None, current: messages.Member
    ) -> None:
        daemon = current.daemon
        if daemon != self._roster.own.daemon:
            self._known_changes += known is not None
        elif self.started:
            self._notifier.request(includes_remote=True)
        if current.health is not messages.Health.SUSPECT:
            self._suspects.pop(daemon, None)
        elif known is None or known.health is not messages.Health.SUSPECT:
            self._suspects[daemon] = (
                self._clock()
                + decisions.compute_suspicion_timeout_s(
                    self._timing.period_s,
                    self._timing.suspicion_s,
                    self._roster.active_count,
                )
            )
        if current.health in messages.INACTIVE_HEALTHS:
            self._inactive_since[daemon] = self._clock()
        else:
            self._inactive_since.pop(daemon, None)

    def _extend_suspicions(self, late_s: float) -> None:
        self._suspects = {
            daemon: expires_at + late_s
            for daemon, expires_at in self._suspects.items()
        }

    def _expire_suspicions(self) -> None:
        now = self._clock()
        for daemon in decisions.find_expired_suspects(self._suspects, now):
            domain = self._roster.find(daemon).failure_domain
            if not decisions.is_partitioned(
                self._roster.count_suspects(domain),
                len(self._roster.map_active_in_domain(domain)),
            ):
                self._roster.mark_health(daemon, messages.Health.DEAD)
        for daemon, since in list(self._inactive_since.items()):
            if now - since > INACTIVE_RETENTION_S:
                del self._inactive_since[daemon]
                self._roster.remove_inactive(daemon)

    def _probe_dead_member(self) -> None:
        dead = [
            member
            for member in self._roster.inactive
            if member.health is messages.Health.DEAD
        ]
        if dead:
            selected = self._rng.choice(dead)
            self.add_future(self.ping(selected.peer, selected.daemon))

    async def handle_ping(self, request: web.BaseRequest) -> web.Response:
        """Respond to a probe."""
        ping = codec.decode_compact(await request.read(), messages.Ping)
        self._apply_ping(ping)
        return _reply(self._make_ping())

    async def handle_ping_request(
        self, request: web.BaseRequest
    ) -> web.Response:
        """Probe a daemon on behalf of another one."""
        message = codec.decode_compact(
            await request.read(), messages.PingRequest
        )
        member = self._roster.find(message.daemon)
        answered = (
            member is not None
            and await self.ping(member.peer, member.daemon) is not None
        )
        return _reply(messages.PingResult(answered))

    async def handle_page(self, request: web.BaseRequest) -> web.Response:
        """Send a page of records to a daemon that synchronizes its roster."""
        message = codec.decode_compact(
            await request.read(), messages.PageRequest
        )
        response = _reply(pages.make_page(self._roster, message))
        response.enable_compression()
        return response


def _reply(message: object) -> web.Response:
    return web.Response(
        body=codec.encode_compact(message), content_type="application/json"
    )
