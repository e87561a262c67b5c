"""Decisions on which evacuations apply and which instances they leave."""

from burdockdeal.evacuation import messages
from burdockdeal.evacuation import state
from burdockdeal.membership import messages as membership


def select_newer(
    known: messages.EvacuatedDomains, received: messages.EvacuatedDomains
) -> messages.EvacuatedDomains:
    """Return the set that was read at the later version of the store.

    Handles an evacuation that is started and ended while daemons can't reach
    each other: all of them end with the same set. The revision is taken over
    even if the set is the same; otherwise a set that was read between the
    two would replace it.
    """
    return received if received.version > known.version else known


def compare(
    before: messages.EvacuatedDomains, after: messages.EvacuatedDomains
) -> state.Change:
    """Return what changes from one set to another."""
    old, new = frozenset(before.domains), frozenset(after.domains)
    return state.Change(after, started=new - old, ended=old - new)


def list_remaining(
    members: tuple[membership.Member, ...],
    evacuated: messages.EvacuatedDomains,
) -> tuple[membership.Member, ...]:
    """List the instances to which requests may be sent.

    :returns: the same tuple if none is left out.
    """
    if not evacuated.domains:
        return members
    remaining = tuple(
        member
        for member in members
        if member.failure_domain not in evacuated.domains
    )
    return members if len(remaining) == len(members) else remaining
