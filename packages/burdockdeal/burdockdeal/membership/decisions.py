"""Decisions on membership: whose record stands, who is suspected."""

from collections import abc
import dataclasses
import math
import typing
import zlib

from burdockdeal.membership import messages

#: Contacts kept in the store for one failure domain.
CONTACTS_PER_DOMAIN = 3

#: Daemons of a failure domain that watch the store for the others.
RELAYS_PER_DOMAIN = 2

#: Daemons asked to probe in one's place.
HELPERS = 3

#: Each news is sent this many times the logarithm of the fleet's size.
SPREAD_FACTOR = 3

#: Daemons that are told at once of a daemon's own change, and of a newer
#: configuration; the others hear of it from these, or beside probes.
PUSH_FANOUT = 12

#: Buckets over which two rosters are compared.
BUCKETS = 1024

#: Share of a failure domain's daemons under suspicion from which on the
#: way to the domain is held to be cut, and no one in it is declared dead.
CUT_SHARE = 0.5

Health = messages.Health

_SEVERITY = {
    Health.ALIVE: 0,
    Health.SUSPECT: 1,
    Health.DEAD: 2,
    Health.LEFT: 3,
}


class _Record(typing.Protocol):
    incarnation: int
    serial: int
    health: messages.Health


def precedence(record: _Record) -> tuple[int, int, int]:
    """Order what is said of one daemon: the greatest stands."""
    return (record.incarnation, record.serial, _SEVERITY[record.health])


def merge(
    known: messages.Member | None, heard: messages.Member
) -> messages.Member:
    """Choose between what is known and what was heard.

    Commutative, associative and idempotent, so that all views meet.
    """
    if known is None or precedence(heard) > precedence(known):
        return heard
    return known


def weigh_claim(
    known: messages.Member, claim: messages.Claim
) -> messages.Member:
    """Take a claim on a known daemon's health into account.

    A claim on a newer record than the known one changes nothing: the
    record itself has to come first.
    """
    same = (claim.incarnation, claim.serial) == (
        known.incarnation,
        known.serial,
    )
    if same and precedence(claim) > precedence(known):
        return dataclasses.replace(known, health=claim.health)
    return known


def make_claim(member: messages.Member) -> messages.Claim:
    """State what is believed of a daemon's health."""
    return messages.Claim(
        member.daemon, member.incarnation, member.serial, member.health
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Self:
    """What a daemon makes of what others say about it.

    :param own: its record from now on.
    :param superseded: whether another process has taken its place.
    """

    own: messages.Member
    superseded: bool = False


def defend(
    own: messages.Member,
    heard: messages.Member | messages.Claim,
    *,
    joined: bool,
) -> Self:
    """Answer what others say about oneself.

    Before it joined, a daemon that hears of a greater incarnation hears
    of its own earlier life under a clock that ran ahead, and goes above
    it. Afterwards it hears of a successor, and gives way.
    """
    if precedence(heard) <= precedence(own):
        return Self(own)
    if heard.incarnation == own.incarnation:
        return Self(dataclasses.replace(own, serial=heard.serial + 1))
    if joined:
        return Self(own, superseded=True)
    incarnation = heard.incarnation + 1
    return Self(dataclasses.replace(own, incarnation=incarnation))


def suspicion_s(period_s: float, shortest_s: float, members: int) -> float:
    """Tell how long a suspect has to defend itself.

    It grows with the logarithm of the fleet's size, as the time that the
    suspicion and its refutation take to spread.

    :param shortest_s: what it is in a small fleet, in seconds.
    :returns: seconds.
    """
    rounds = math.log2(max(2, members))
    return max(shortest_s, period_s * rounds)


def spread_limit(members: int) -> int:
    """Tell how many times a news is passed on."""
    return SPREAD_FACTOR * math.ceil(math.log2(max(2, members)))


def is_cut(suspects: int, members: int) -> bool:
    """Tell whether the way to a failure domain is held to be cut.

    :param suspects: its daemons under suspicion.
    :param members: its daemons that are not gone.
    """
    return members > 1 and suspects > CUT_SHARE * members


def find_expired(
    suspects: abc.Mapping[str, float], now: float
) -> tuple[str, ...]:
    """Name the suspects whose time is over.

    :param suspects: monotonic time at which each one's time ends.
    """
    return tuple(name for name, until in suspects.items() if until <= now)


def add_contact(
    contacts: messages.Contacts, contact: messages.Contact
) -> messages.Contacts:
    """Put a contact first in a domain's list and drop the oldest."""
    others = tuple(
        other
        for other in contacts.contacts
        if other.daemon != contact.daemon and other.peer != contact.peer
    )
    return messages.Contacts((contact, *others)[:CONTACTS_PER_DOMAIN])


def choose_relays(
    members: abc.Iterable[messages.Member], failure_domain: str, count: int
) -> tuple[str, ...]:
    """Choose the daemons of a domain that watch the store for the others.

    Every daemon computes the same answer from the same view; two views
    that differ for a moment cost a few more watches and nothing else.
    """
    alive = sorted(
        member.daemon
        for member in members
        if member.failure_domain == failure_domain
        and member.health is Health.ALIVE
    )
    return tuple(alive[:count])


def bucket_of(daemon: str) -> int:
    """Name the bucket that a daemon's record belongs to."""
    return zlib.crc32(daemon.encode()) % BUCKETS


def sum_of(member: messages.Member) -> int:
    """Sum up a record, so that two rosters can be compared."""
    incarnation, serial, severity = precedence(member)
    line = f"{member.daemon} {incarnation} {serial} {severity}"
    return zlib.crc32(line.encode())
