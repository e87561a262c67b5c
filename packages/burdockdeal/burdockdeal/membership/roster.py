"""The roster: what this daemon believes of all daemons."""

from collections import abc
import dataclasses

from burdockdeal.announce import state as announce_state
from burdockdeal.core import event_log
from burdockdeal.membership import decisions
from burdockdeal.membership import gossip
from burdockdeal.membership import messages

#: Called with what was known, None before, and what stands now.
Listener = abc.Callable[[messages.Member | None, messages.Member], None]

_EMPTY: abc.Mapping[str, messages.Member] = {}


def _may_serve(member: messages.Member) -> bool:
    return (
        bool(member.service)
        and member.phase is announce_state.Phase.SERVING
        and member.health not in messages.INACTIVE_HEALTHS
    )


class Roster:
    """Holds the records of all daemons, and indexes over them.

    :param own: this daemon's record.
    """

    def __init__(self, own: messages.Member) -> None:
        self.own = own
        self.has_joined = False
        self.is_superseded = False
        self.news = gossip.News()
        self._members: dict[str, messages.Member] = {}
        self._serving: dict[str, dict[str, messages.Member]] = {}
        self._listed: dict[str, tuple[messages.Member, ...]] = {}
        self._domains: dict[str, dict[str, messages.Member]] = {}
        self._gone: dict[str, messages.Member] = {}
        self._suspects: dict[str, set[str]] = {}
        self._relays: dict[str, tuple[str, ...]] = {}
        self._sums = [0] * decisions.BUCKETS
        self._listeners: list[Listener] = []
        self._set(own)

    @property
    def members(self) -> tuple[messages.Member, ...]:
        """Every daemon that is known, whatever its health."""
        return tuple(self._members.values())

    @property
    def active_peers(self) -> tuple[messages.Member, ...]:
        """The other daemons that are not believed gone."""
        return tuple(
            member
            for domain in self._domains.values()
            for member in domain.values()
            if member.daemon != self.own.daemon
        )

    @property
    def active_count(self) -> int:
        """How many daemons are not believed gone, this one included."""
        return len(self._members) - len(self._gone)

    @property
    def inactive(self) -> tuple[messages.Member, ...]:
        """The daemons that are believed dead or have left."""
        return tuple(self._gone.values())

    @property
    def checksums(self) -> tuple[int, ...]:
        """The sum of each bucket, to compare two rosters."""
        return tuple(self._sums)

    def find(self, daemon: str) -> messages.Member | None:
        """Find a daemon's record."""
        return self._members.get(daemon)

    def map_serving(self, service: str) -> abc.Mapping[str, messages.Member]:
        """Map daemon to record of those whose upstream serves a service."""
        return self._serving.get(service, _EMPTY)

    def list_serving(self, service: str) -> tuple[messages.Member, ...]:
        """List the records of those whose upstream serves a service.

        :returns: the same tuple while none of them has changed.
        """
        if service not in self._serving:
            return ()
        if service not in self._listed:
            self._listed[service] = tuple(self._serving[service].values())
        return self._listed[service]

    def map_active_in_domain(
        self, domain: str
    ) -> abc.Mapping[str, messages.Member]:
        """Map daemon to record of a domain's daemons that are not gone."""
        return self._domains.get(domain, _EMPTY)

    def count_suspects(self, domain: str) -> int:
        """Count a failure domain's daemons under suspicion."""
        return len(self._suspects.get(domain, ()))

    def choose_relays(self, domain: str) -> tuple[str, ...]:
        """Name the daemons of a domain that watch the store."""
        if domain not in self._relays:
            self._relays[domain] = decisions.choose_relays(
                self.map_active_in_domain(domain).values(),
                domain,
                decisions.RELAYS_PER_DOMAIN,
            )
        return self._relays[domain]

    def choose_first_alive(self, domain: str, count: int) -> tuple[str, ...]:
        """Name so many daemons of a domain; all daemons choose the same."""
        return decisions.choose_relays(
            self.map_active_in_domain(domain).values(), domain, count
        )

    def list_in_buckets(
        self, buckets: abc.Container[int]
    ) -> tuple[messages.Member, ...]:
        """List the records that belong to some buckets."""
        return tuple(
            member
            for member in self._members.values()
            if decisions.bucket_of(member.daemon) in buckets
        )

    def on_change(self, listener: Listener) -> None:
        """Call a function whenever a record changes."""
        self._listeners.append(listener)

    def merge_members(self, members: abc.Iterable[messages.Member]) -> None:
        """Take in records that another daemon sent."""
        for heard in members:
            if heard.daemon == self.own.daemon:
                self._defend(heard)
                continue
            known = self._members.get(heard.daemon)
            stands = decisions.merge(known, heard)
            if stands is not known:
                self._replace(known, stands)

    def apply_claims(self, claims: abc.Iterable[messages.Claim]) -> None:
        """Take in claims on the health of daemons."""
        for claim in claims:
            if claim.daemon == self.own.daemon:
                self._defend(claim)
                continue
            known = self._members.get(claim.daemon)
            if known is None:
                continue
            stands = decisions.weigh_claim(known, claim)
            if stands is not known:
                self._replace(known, stands)

    def mark_health(self, daemon: str, health: messages.Health) -> None:
        """Take a belief of one's own into account."""
        known = self._members.get(daemon)
        if known is not None and daemon != self.own.daemon:
            claim = dataclasses.replace(
                decisions.make_claim(known), health=health
            )
            self.apply_claims([claim])

    def update_own(self, **fields: object) -> None:
        """Change this daemon's own record and make it the newest."""
        serial = self.own.serial + 1
        self._declare(dataclasses.replace(self.own, serial=serial, **fields))

    def remove_inactive(self, daemon: str) -> None:
        """Drop the record of a daemon that has been gone for long."""
        member = self._gone.pop(daemon, None)
        if member is not None:
            del self._members[daemon]
            bucket = decisions.bucket_of(daemon)
            self._sums[bucket] ^= decisions.sum_of(member)

    def _defend(self, heard: messages.Member | messages.Claim) -> None:
        answer = decisions.defend(self.own, heard, joined=self.has_joined)
        if answer.superseded and not self.is_superseded:
            event_log.warn("member_superseded", incarnation=heard.incarnation)
            self.is_superseded = True
        if answer.own is not self.own:
            event_log.warn(
                "member_refuted", heard=heard.health, serial=answer.own.serial
            )
            self._declare(answer.own)

    def _declare(self, own: messages.Member) -> None:
        known = self.own
        self.own = own
        self._replace(known, own)

    def _replace(
        self, known: messages.Member | None, stands: messages.Member
    ) -> None:
        if known is not None:
            self._unset(known)
        self._set(stands)
        self.news.add(known, stands)
        if known is None or known.health is not stands.health:
            event_log.record(
                "member_health",
                daemon=stands.daemon,
                health=stands.health,
                failure_domain=stands.failure_domain,
            )
        for listener in self._listeners:
            listener(known, stands)

    def _set(self, member: messages.Member) -> None:
        daemon, domain = member.daemon, member.failure_domain
        self._members[daemon] = member
        self._sums[decisions.bucket_of(daemon)] ^= decisions.sum_of(member)
        self._relays.pop(domain, None)
        if member.health in messages.INACTIVE_HEALTHS:
            self._gone[daemon] = member
            return
        self._domains.setdefault(domain, {})[daemon] = member
        if member.health is messages.Health.SUSPECT:
            self._suspects.setdefault(domain, set()).add(daemon)
        if _may_serve(member):
            self._serving.setdefault(member.service, {})[daemon] = member
            self._listed.pop(member.service, None)

    def _unset(self, member: messages.Member) -> None:
        daemon, domain = member.daemon, member.failure_domain
        del self._members[daemon]
        self._sums[decisions.bucket_of(daemon)] ^= decisions.sum_of(member)
        self._relays.pop(domain, None)
        self._gone.pop(daemon, None)
        self._suspects.get(domain, set()).discard(daemon)
        _drop(self._domains, domain, daemon)
        _drop(self._serving, member.service, daemon)
        self._listed.pop(member.service, None)


def _drop(
    index: dict[str, dict[str, messages.Member]], key: str, daemon: str
) -> None:
    entries = index.get(key, {})
    entries.pop(daemon, None)
    if not entries:
        index.pop(key, None)
