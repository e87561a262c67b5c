"""Decisions on membership: merging records, failure detection, relays."""

from collections import abc
import dataclasses
import hashlib
import itertools
import math
import typing
import zlib

from burdockdeal.membership import messages

#: Maximum number of contacts in the store for one failure domain.
CONTACTS_PER_DOMAIN = 3

#: Maximum length of the name of a list of contacts, so that the store takes
#: the key that it is a part of.
_MAX_LIST_NAME_BYTES = 150

#: Number of daemons of a failure domain that watch the store on behalf of
#: the others.
RELAYS_PER_DOMAIN = 2

#: Number of daemons asked to probe on behalf of a daemon whose own probe
#: failed.
INDIRECT_PROBERS = 3

#: An update is sent this many times the binary logarithm of the fleet's
#: size.
TRANSMIT_MULTIPLIER = 3

#: Number of buckets whose checksums are compared to find how two rosters
#: differ.
BUCKET_COUNT = 1024

#: If more than this share of a failure domain's daemons is suspected, the
#: domain is considered partitioned from this daemon, and none of its daemons
#: is declared dead.
PARTITION_SUSPECT_SHARE = 0.5

Health = messages.Health

T = typing.TypeVar("T")

_SEVERITY = {
    Health.ALIVE: 0,
    Health.SUSPECT: 1,
    Health.DEAD: 2,
    Health.LEFT: 3,
}


class _Versioned(typing.Protocol):
    incarnation: int
    serial: int
    health: messages.Health


def get_precedence(record: _Versioned) -> tuple[int, int, int]:
    """Return the sort key by which the greatest record of a daemon wins."""
    return (record.incarnation, record.serial, _SEVERITY[record.health])


def merge(
    known: messages.Member | None, received: messages.Member
) -> messages.Member:
    """Choose between the known record and a received one.

    The operation is commutative, associative and idempotent, so that all
    daemons converge on the same record whatever they receive in whatever
    order.
    """
    if known is None or get_precedence(received) > get_precedence(known):
        return received
    return known


def apply_claim(
    known: messages.Member, claim: messages.Claim
) -> messages.Member:
    """Apply a claim about the health of a known daemon.

    A claim applies only to the record of the same incarnation and serial. A
    claim about a newer record changes nothing until that record itself has
    arrived.
    """
    is_same_version = (claim.incarnation, claim.serial) == (
        known.incarnation,
        known.serial,
    )
    if is_same_version and get_precedence(claim) > get_precedence(known):
        return dataclasses.replace(known, health=claim.health)
    return known


def make_claim(member: messages.Member) -> messages.Claim:
    """Make the claim that states a record's health."""
    return messages.Claim(
        member.daemon, member.incarnation, member.serial, member.health
    )


@dataclasses.dataclass(frozen=True, slots=True)
class SelfUpdate:
    """A daemon's reaction to what others report about it.

    :param own: the daemon's own record from now on.
    :param superseded: whether another process runs under its name.
    """

    own: messages.Member
    superseded: bool = False


def refute(
    own: messages.Member,
    received: messages.Member | messages.Claim,
    *,
    has_joined: bool,
) -> SelfUpdate:
    """React to a record or claim of others about this daemon itself.

    A report on the current incarnation is refuted by a higher serial. A
    higher incarnation that is reported before this daemon has joined stems
    from an earlier run of the same daemon whose clock was ahead, so this
    daemon takes an incarnation above it. Reported after joining, it belongs
    to a successor, and this daemon is superseded.

    :param has_joined: whether this daemon has joined the fleet since its
        start.
    """
    if get_precedence(received) <= get_precedence(own):
        return SelfUpdate(own)
    if received.incarnation == own.incarnation:
        return SelfUpdate(dataclasses.replace(own, serial=received.serial + 1))
    if has_joined:
        return SelfUpdate(own, superseded=True)
    incarnation = received.incarnation + 1
    return SelfUpdate(dataclasses.replace(own, incarnation=incarnation))


def compute_suspicion_timeout_s(
    period_s: float, min_timeout_s: float, members: int
) -> float:
    """Compute how long a suspected daemon has to refute the suspicion.

    The timeout grows with the logarithm of the fleet's size, as does the
    time in which the suspicion and its refutation spread.

    :param period_s: seconds between two probes.
    :param min_timeout_s: the timeout in a small fleet, in seconds.
    :param members: number of active daemons.
    :returns: seconds.
    """
    rounds = math.log2(max(2, members))
    return max(min_timeout_s, period_s * rounds)


def compute_transmit_limit(members: int) -> int:
    """Compute how many times an update is sent.

    :param members: number of active daemons.
    """
    return TRANSMIT_MULTIPLIER * math.ceil(math.log2(max(2, members)))


def is_partitioned(suspects: int, members: int) -> bool:
    """Return whether a failure domain is considered partitioned from here.

    :param suspects: number of its daemons that are suspected.
    :param members: number of its daemons that are active.
    """
    return members > 1 and suspects > PARTITION_SUSPECT_SHARE * members


def find_expired_suspects(
    suspects: abc.Mapping[str, float], now: float
) -> tuple[str, ...]:
    """Find the suspected daemons whose suspicion timeout has passed.

    :param suspects: monotonic time, in seconds, at which each one's timeout
        passes.
    :param now: monotonic time in seconds.
    """
    return tuple(
        name for name, expires_at in suspects.items() if expires_at <= now
    )


def name_contact_list(domain: str) -> str:
    """Name the list of a domain's contacts, which is part of a key.

    :returns: the domain's name, or a digest of one that is too long.
    """
    encoded = domain.encode()
    if len(encoded) <= _MAX_LIST_NAME_BYTES:
        return domain
    return hashlib.sha256(encoded).hexdigest()


def add_contact(
    contacts: messages.Contacts, contact: messages.Contact
) -> messages.Contacts:
    """Put a contact first in a domain's list, dropping the oldest if full."""
    others = tuple(
        other
        for other in contacts.contacts
        if other.daemon != contact.daemon and other.peer != contact.peer
    )
    return messages.Contacts((contact, *others)[:CONTACTS_PER_DOMAIN])


def refresh_contacts(
    contacts: messages.Contacts,
    active: abc.Mapping[str, messages.Member],
) -> messages.Contacts:
    """Replace a domain's contacts that are not active by active daemons.

    Contacts that are active stay, so that a list changes only as the fleet
    does. Lists that would become empty are kept, since those listed may only
    be out of reach.

    :param active: the active daemons of the domain, by name.
    """
    kept = tuple(
        contact
        for contact in contacts.contacts
        if contact.daemon in active
        and active[contact.daemon].peer == contact.peer
    )
    listed = {contact.daemon for contact in kept}
    added = tuple(
        messages.Contact(name, active[name].peer)
        for name in sorted(active)
        if name not in listed and active[name].health is Health.ALIVE
    )
    refreshed = (*kept, *added)[:CONTACTS_PER_DOMAIN]
    return messages.Contacts(refreshed) if refreshed else contacts


def interleave(
    domains: abc.Iterable[abc.Sequence[T]], count: int
) -> tuple[T, ...]:
    """Take the first daemons of each domain, then the second ones, and so on.

    Used to choose daemons that do something on behalf of the whole fleet in
    different failure domains.

    :param domains: the candidates of each domain, in order of preference.
    :param count: maximum number of daemons to take.
    """
    rounds = itertools.zip_longest(*domains)
    chosen = (name for each in rounds for name in each if name is not None)
    return tuple(itertools.islice(chosen, count))


def choose_first_alive(
    members: abc.Iterable[messages.Member], failure_domain: str, count: int
) -> tuple[str, ...]:
    """Choose the first daemons of a domain, by name, that are alive.

    Used to choose those that watch the store on behalf of the others. Every
    daemon computes the same result from the same roster; rosters that differ
    for a moment cost a few extra watches and nothing else.
    """
    alive = sorted(
        member.daemon
        for member in members
        if member.failure_domain == failure_domain
        and member.health is Health.ALIVE
    )
    return tuple(alive[:count])


def find_bucket(daemon: str) -> int:
    """Compute the index of the bucket that a daemon's record belongs to."""
    return zlib.crc32(daemon.encode()) % BUCKET_COUNT


def compute_checksum(member: messages.Member) -> int:
    """Compute a record's checksum, by which two rosters are compared."""
    incarnation, serial, severity = get_precedence(member)
    line = f"{member.daemon} {incarnation} {serial} {severity}"
    return zlib.crc32(line.encode())
