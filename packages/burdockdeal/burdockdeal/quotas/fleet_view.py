"""What the lending of credit needs to know of the fleet's daemons."""

import collections
from collections import abc

from burdockdeal.membership import messages as membership
from burdockdeal.membership import roster
from burdockdeal.quotas import ring

#: Seconds for which a daemon that was declared dead counts as known.
_DEAD_S = 30.0

#: Seconds without a new daemon in its roster after which a started daemon
#: lends, and seconds after which one does that is alone there. Daemons that
#: start together learn of each other within 0.25 s, by several messages each;
#: joining is tried every one to two seconds, so the second time is enough for
#: two tries.
_SETTLE_S = 0.4
_ALONE_SETTLE_S = 3.0

#: Seconds after the start in which a roster that grows is incomplete.
_STARTING_S = 10.0


class FleetView:
    """The hash ring, the share of daemons alive, and when this one may lend.

    It is updated with each change of the roster, at a cost that depends on
    the number of daemons only by one bisection.

    :param local_roster: the daemons known.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self, local_roster: roster.Roster, clock: abc.Callable[[], float]
    ) -> None:
        self.roster = local_roster
        self.own = local_roster.own.daemon
        self._clock = clock
        self._started_at = clock()
        self._domains: collections.Counter[str] = collections.Counter()
        self._alive: collections.Counter[str] = collections.Counter()
        self._dead_since: dict[str, float] = {}
        self.ring = ring.HashRing()
        self._listeners: list[abc.Callable[[], None]] = []
        #: From when this daemon lends, and when the part of the ring for
        #: which it lends changed last. Monotonic times in seconds.
        self.lends_from = self._started_at + _ALONE_SETTLE_S
        self.lends_since = self.lends_from
        for member in local_roster.members:
            self._handle_change(None, member)
        local_roster.on_change(self._handle_change)

    def on_arc_change(self, listener: abc.Callable[[], None]) -> None:
        """Register a function to call when other workspaces are lent to."""
        self._listeners.append(listener)

    def restart_lending(self) -> None:
        """Let all buckets that are opened from now on begin empty."""
        self.lends_since = max(self.lends_from, self._clock())

    def compute_alive_share(self) -> float:
        """Compute the share of the known daemons that are taken to be alive.

        Answers a network partition: the sides together lend at the rate. A
        failure domain of which most daemons are suspected counts as not
        alive as a whole, as its others will be suspected within seconds.
        """
        self._forget_dead()
        own_domain = self.roster.own.failure_domain
        alive = sum(
            self._alive[domain]
            for domain, active in self._domains.items()
            if domain == own_domain or 2 * self._alive[domain] >= active
        )
        known = self._domains.total() + len(self._dead_since)
        return max(1, alive) / max(1, known)

    def _forget_dead(self) -> None:
        expired_at = self._clock() - _DEAD_S
        while self._dead_since:
            daemon = next(iter(self._dead_since))
            if self._dead_since[daemon] > expired_at:
                return
            del self._dead_since[daemon]

    def _handle_change(
        self, known: membership.Member | None, current: membership.Member
    ) -> None:
        if known is not None and (
            known.health is current.health
            and known.failure_domain == current.failure_domain
        ):
            return
        was_active = self._count(known, -1)
        is_active = self._count(current, 1)
        self._dead_since.pop(current.daemon, None)
        if was_active and current.health is membership.Health.DEAD:
            self._dead_since[current.daemon] = self._clock()
        if was_active is not is_active:
            self._update_ring(current.daemon, is_active)

    def _count(self, member: membership.Member | None, change: int) -> bool:
        if member is None or member.health in membership.INACTIVE_HEALTHS:
            return False
        domain = member.failure_domain
        self._domains[domain] += change
        if member.health is membership.Health.ALIVE:
            self._alive[domain] += change
        if not self._domains[domain]:
            del self._domains[domain], self._alive[domain]
        return True

    def _update_ring(self, daemon: str, is_active: bool) -> None:
        now = self._clock()
        predecessor = self.ring.find_predecessor(self.own)
        (self.ring.add if is_active else self.ring.discard)(daemon)
        is_starting = (
            is_active
            and daemon != self.own
            and now - self._started_at < _STARTING_S
        )
        if is_starting:
            self.lends_from = now + _SETTLE_S
        if is_starting or predecessor != self.ring.find_predecessor(self.own):
            self.restart_lending()
            for listener in self._listeners:
                listener()
