"""The roster: this daemon's view of all daemons of the fleet."""

from collections import abc
import dataclasses

from burdockdeal.announce import state as announce_state
from burdockdeal.core import event_log
from burdockdeal.membership import decisions
from burdockdeal.membership import gossip
from burdockdeal.membership import messages

#: Called with the previous record, None for a new daemon, and the new one.
Listener = abc.Callable[[messages.Member | None, messages.Member], None]

_EMPTY: abc.Mapping[str, messages.Member] = {}


def _is_serving(member: messages.Member) -> bool:
    return (
        bool(member.service)
        and member.phase is announce_state.Phase.SERVING
        and member.health not in messages.INACTIVE_HEALTHS
    )


class Roster:
    """Holds the records of all known daemons, with indexes over them.

    :param own: this daemon's record.
    """

    def __init__(self, own: messages.Member) -> None:
        self.own = own
        self.has_joined = False
        self.is_superseded = False
        self.gossip_queue = gossip.GossipQueue()
        self._members: dict[str, messages.Member] = {}
        self._serving: dict[str, dict[str, messages.Member]] = {}
        self._serving_lists: dict[str, tuple[messages.Member, ...]] = {}
        self._domains: dict[str, dict[str, messages.Member]] = {}
        self._inactive: dict[str, messages.Member] = {}
        self._suspects: dict[str, set[str]] = {}
        self._relays: dict[str, tuple[str, ...]] = {}
        self._checksums = [0] * decisions.BUCKET_COUNT
        self._listeners: list[Listener] = []
        self._index(own)

    @property
    def members(self) -> tuple[messages.Member, ...]:
        """All known daemons, active or not, this one included."""
        return tuple(self._members.values())

    @property
    def active_peers(self) -> tuple[messages.Member, ...]:
        """The active daemons except this one."""
        return tuple(
            member
            for domain in self._domains.values()
            for member in domain.values()
            if member.daemon != self.own.daemon
        )

    @property
    def active_domains(self) -> tuple[str, ...]:
        """The failure domains with active daemons."""
        return tuple(self._domains)

    @property
    def active_count(self) -> int:
        """Number of active daemons, this one included."""
        return len(self._members) - len(self._inactive)

    @property
    def inactive(self) -> tuple[messages.Member, ...]:
        """The daemons that are considered dead or have left."""
        return tuple(self._inactive.values())

    @property
    def checksums(self) -> tuple[int, ...]:
        """The checksum of each bucket, by which two rosters are compared."""
        return tuple(self._checksums)

    def find(self, daemon: str) -> messages.Member | None:
        """Find a daemon's record; None if the daemon is unknown."""
        return self._members.get(daemon)

    def list_serving(self, service: str) -> tuple[messages.Member, ...]:
        """List the records of the daemons whose upstream serves a service.

        :returns: the identical tuple as long as none of the records changes.
        """
        if service not in self._serving:
            return ()
        if service not in self._serving_lists:
            self._serving_lists[service] = tuple(
                self._serving[service].values()
            )
        return self._serving_lists[service]

    def map_active_in_domain(
        self, domain: str
    ) -> abc.Mapping[str, messages.Member]:
        """Map name to record of a failure domain's active daemons."""
        return self._domains.get(domain, _EMPTY)

    def count_suspects(self, domain: str) -> int:
        """Count the suspected daemons of a failure domain."""
        return len(self._suspects.get(domain, ()))

    def choose_relays(self, domain: str) -> tuple[str, ...]:
        """Choose the daemons of a failure domain that watch the store."""
        if domain not in self._relays:
            self._relays[domain] = decisions.choose_first_alive(
                self.map_active_in_domain(domain).values(),
                domain,
                decisions.RELAYS_PER_DOMAIN,
            )
        return self._relays[domain]

    def choose_store_readers(self, count: int) -> tuple[str, ...]:
        """Choose the daemons that read the store on behalf of the fleet.

        Every daemon with the same roster chooses the same ones. They are in
        different failure domains as far as there are enough domains.

        :param count: maximum number of daemons to choose.
        """
        return decisions.interleave(
            map(self.choose_relays, sorted(self._domains)), count
        )

    def list_in_buckets(
        self, buckets: abc.Container[int]
    ) -> tuple[messages.Member, ...]:
        """List the records that belong to any of the given buckets."""
        return tuple(
            member
            for member in self._members.values()
            if decisions.find_bucket(member.daemon) in buckets
        )

    def on_change(self, listener: Listener) -> None:
        """Register a function to call whenever a record changes."""
        self._listeners.append(listener)

    def merge_members(self, members: abc.Iterable[messages.Member]) -> None:
        """Merge records that another daemon sent."""
        for received in members:
            if received.daemon == self.own.daemon:
                self._handle_own_record(received)
                continue
            known = self._members.get(received.daemon)
            current = decisions.merge(known, received)
            if current is not known:
                self._replace(known, current)

    def apply_claims(self, claims: abc.Iterable[messages.Claim]) -> None:
        """Apply claims about the health of daemons."""
        for claim in claims:
            if claim.daemon == self.own.daemon:
                self._handle_own_record(claim)
                continue
            known = self._members.get(claim.daemon)
            if known is None:
                continue
            current = decisions.apply_claim(known, claim)
            if current is not known:
                self._replace(known, current)

    def mark_health(self, daemon: str, health: messages.Health) -> None:
        """Apply this daemon's own conclusion about the health of another one.

        Has no effect on an unknown daemon, on this one, or if the known health
        is as bad or worse.
        """
        known = self._members.get(daemon)
        if known is not None and daemon != self.own.daemon:
            claim = dataclasses.replace(
                decisions.make_claim(known), health=health
            )
            self.apply_claims([claim])

    def update_own(self, **fields: object) -> None:
        """Change fields of this daemon's own record and raise its serial."""
        serial = self.own.serial + 1
        self._set_own(dataclasses.replace(self.own, serial=serial, **fields))

    def remove_inactive(self, daemon: str) -> None:
        """Remove a daemon's record unless the daemon is active."""
        member = self._inactive.pop(daemon, None)
        if member is not None:
            del self._members[daemon]
            bucket = decisions.find_bucket(daemon)
            self._checksums[bucket] ^= decisions.compute_checksum(member)

    def _handle_own_record(
        self, received: messages.Member | messages.Claim
    ) -> None:
        update = decisions.refute(
            self.own, received, has_joined=self.has_joined
        )
        if update.superseded and not self.is_superseded:
            event_log.warn(
                "member_superseded", incarnation=received.incarnation
            )
            self.is_superseded = True
        if update.own is not self.own:
            event_log.warn(
                "member_refuted",
                reported_health=received.health,
                serial=update.own.serial,
            )
            self._set_own(update.own)

    def _set_own(self, own: messages.Member) -> None:
        previous = self.own
        self.own = own
        self._replace(previous, own)

    def _replace(
        self, known: messages.Member | None, current: messages.Member
    ) -> None:
        if known is not None:
            self._unindex(known)
        self._index(current)
        self.gossip_queue.enqueue(known, current)
        if known is None or known.health is not current.health:
            event_log.record_member(
                "member_health",
                daemon=current.daemon,
                health=current.health,
                failure_domain=current.failure_domain,
            )
        for listener in self._listeners:
            listener(known, current)

    def _index(self, member: messages.Member) -> None:
        daemon, domain = member.daemon, member.failure_domain
        self._members[daemon] = member
        self._checksums[decisions.find_bucket(daemon)] ^= (
            decisions.compute_checksum(member)
        )
        self._relays.pop(domain, None)
        if member.health in messages.INACTIVE_HEALTHS:
            self._inactive[daemon] = member
            return
        self._domains.setdefault(domain, {})[daemon] = member
        if member.health is messages.Health.SUSPECT:
            self._suspects.setdefault(domain, set()).add(daemon)
        if _is_serving(member):
            self._serving.setdefault(member.service, {})[daemon] = member
            self._serving_lists.pop(member.service, None)

    def _unindex(self, member: messages.Member) -> None:
        daemon, domain = member.daemon, member.failure_domain
        del self._members[daemon]
        self._checksums[decisions.find_bucket(daemon)] ^= (
            decisions.compute_checksum(member)
        )
        self._relays.pop(domain, None)
        self._inactive.pop(daemon, None)
        self._suspects.get(domain, set()).discard(daemon)
        _remove_entry(self._domains, domain, daemon)
        _remove_entry(self._serving, member.service, daemon)
        self._serving_lists.pop(member.service, None)


def _remove_entry(
    index: dict[str, dict[str, messages.Member]], key: str, daemon: str
) -> None:
    entries = index.get(key, {})
    entries.pop(daemon, None)
    if not entries:
        index.pop(key, None)
