"""From whom each daemon learns that it misses no change of the configuration.

A few daemons read the store on behalf of the fleet. If they are lost just when
a change is written, nobody tells the others. So each daemon has one other, its
source, that it checks often, and reads the store itself if that one does not
respond.

In each failure domain, the first daemon is the source of some, and these are
the sources of the rest. Each has about as many dependents as there are such
groups, so that the checks which one daemon answers grow with the square root
of the domain's size.
"""

import math

from burdockdeal.membership import messages
from burdockdeal.membership import roster


def _list_active(local_roster: roster.Roster) -> list[str]:
    """List the active daemons of the own failure domain, in order.

    Those that are suspected are among them, so that a source and its
    dependents agree on each other while a suspicion spreads.
    """
    own = local_roster.own
    members = local_roster.map_active_in_domain(own.failure_domain)
    return sorted({*members, own.daemon})


def _find_source_rank(rank: int, size: int) -> int:
    """Return the rank of the source of a daemon that is not the first."""
    groups = math.isqrt(max(0, size - 1)) or 1
    return 0 if rank <= groups else 1 + (rank - 1) % groups


def choose_source(
    local_roster: roster.Roster, reader_count: int
) -> messages.Member | None:
    """Choose the daemon that this one checks.

    :param reader_count: the number of daemons that read the store for the
        fleet. One of them is the source of the first daemon of each domain
        without a reader.
    :returns: None if this daemon reads the store for the fleet.
    """
    own = local_roster.own.daemon
    readers = local_roster.choose_store_readers(reader_count)
    if own in readers or not readers:
        return None
    names = _list_active(local_roster)
    rank = names.index(own)
    source = names[_find_source_rank(rank, len(names))] if rank else readers[0]
    return local_roster.find(source)


def list_dependents(local_roster: roster.Roster) -> list[messages.Member]:
    """List the daemons of the own failure domain that check this one."""
    names = _list_active(local_roster)
    rank = names.index(local_roster.own.daemon)
    size = len(names)
    dependents = (
        local_roster.find(names[other])
        for other in range(1, size)
        if other != rank and _find_source_rank(other, size) == rank
    )
    return [member for member in dependents if member is not None]
