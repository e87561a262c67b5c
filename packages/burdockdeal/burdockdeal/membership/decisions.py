"""Decisions on membership: which of two records of a daemon stands."""

from collections import abc
import dataclasses

from burdockdeal.membership import messages

#: Contacts kept in the store for one failure domain.
CONTACTS_PER_DOMAIN = 3

_SEVERITY = {
    messages.Health.ALIVE: 0,
    messages.Health.SUSPECT: 1,
    messages.Health.DEAD: 2,
    messages.Health.LEFT: 3,
}


def precedence(member: messages.Member) -> tuple[int, int, int]:
    """Order the records of one daemon: the greatest stands."""
    return (member.incarnation, member.serial, _SEVERITY[member.health])


def merge(
    known: messages.Member | None, heard: messages.Member
) -> messages.Member:
    """Choose between what is known and what was heard.

    Commutative, associative and idempotent, so that all views meet.
    """
    if known is None or precedence(heard) > precedence(known):
        return heard
    return known


def refute(own: messages.Member, heard: messages.Member) -> messages.Member:
    """Answer what others say about oneself.

    :returns: the own record, its serial above what was heard if that
        would have stood.
    """
    if heard.incarnation != own.incarnation or precedence(heard) <= precedence(
        own
    ):
        return own
    return dataclasses.replace(own, serial=heard.serial + 1)


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
        and member.health is messages.Health.ALIVE
    )
    return tuple(alive[:count])
