"""Which daemons are probed and notified, by failure domain.

Links between failure domains are slow and expensive, so most messages stay
in the domain, and few of them carry news from one domain to another.
"""

import random

from burdockdeal.membership import decisions
from burdockdeal.membership import messages
from burdockdeal.membership import roster

#: One probe in so many goes to another failure domain. The failure of a
#: daemon is mostly detected by those of its own domain.
PROBES_PER_REMOTE_PROBE = 4

#: Maximum number of daemons of the own failure domain that are notified of a
#: change at once. The others learn of it from probes.
LOCAL_PUSH_FANOUT = 8

#: Maximum number of daemons that are notified in each other failure domain,
#: and in all of them together. Two, since one of them may be out of reach.
PUSHES_PER_REMOTE_DOMAIN = 2
REMOTE_PUSH_FANOUT = 12


class ProbeOrder:
    """The order in which the active daemons are probed.

    It is a shuffled round robin over the daemons of the own failure domain
    and another one over all others.

    :param local_roster: the known daemons.
    :param rng: shuffles each round.
    """

    def __init__(
        self, local_roster: roster.Roster, rng: random.Random
    ) -> None:
        self._roster = local_roster
        self._rng = rng
        self._rounds: dict[bool, list[str]] = {True: [], False: []}
        self._count = 0

    def take_next(self) -> messages.Member | None:
        """Take the next daemon to probe, None if no other one is active."""
        self._count += 1
        local_first = self._count % PROBES_PER_REMOTE_PROBE != 0
        return self._take(local_first) or self._take(not local_first)

    def _take(self, is_local: bool) -> messages.Member | None:
        return self._take_from_round(is_local) or self._take_from_round(
            is_local
        )

    def _take_from_round(self, is_local: bool) -> messages.Member | None:
        """Take a daemon from the current round; start a new one at its end."""
        names = self._rounds[is_local]
        while names:
            member = self._roster.find(names.pop())
            if member and member.health not in messages.INACTIVE_HEALTHS:
                return member
        own_domain = self._roster.own.failure_domain
        names += (
            peer.daemon
            for peer in self._roster.active_peers
            if (peer.failure_domain == own_domain) is is_local
        )
        self._rng.shuffle(names)
        return None


def choose_push_targets(
    local_roster: roster.Roster, rng: random.Random, *, includes_remote: bool
) -> list[messages.Member]:
    """Choose the daemons that are notified of a change at once.

    :param includes_remote: whether some in other failure domains are chosen,
        too.
    """
    own = local_roster.own
    alive = {
        domain: [
            member
            for member in local_roster.map_active_in_domain(domain).values()
            if member.health is messages.Health.ALIVE
            and member.daemon != own.daemon
        ]
        for domain in local_roster.active_domains
    }
    local = alive.pop(own.failure_domain, [])
    chosen = rng.sample(local, min(LOCAL_PUSH_FANOUT, len(local)))
    if not includes_remote:
        return chosen
    remote = [
        rng.sample(members, min(PUSHES_PER_REMOTE_DOMAIN, len(members)))
        for members in alive.values()
    ]
    rng.shuffle(remote)
    return [*chosen, *decisions.interleave(remote, REMOTE_PUSH_FANOUT)]
