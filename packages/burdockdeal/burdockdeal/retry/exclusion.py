"""Excludes unavailable instances until the membership shows them as gone."""

from collections import abc

from burdockdeal.core import call
from burdockdeal.membership import messages as membership
from burdockdeal.retry import decisions

#: Chooses an instance for a call, except those of the daemons tried.
Chooser = abc.Callable[[call.Call, frozenset[str]], membership.Member | None]


class Exclusions:
    """Holds the instances that were recently found unavailable.

    :param clock: returns monotonic time in seconds.
    """

    def __init__(self, clock: abc.Callable[[], float]) -> None:
        self._clock = clock
        self._until: dict[tuple[str, int], float] = {}

    def exclude(self, member: membership.Member) -> None:
        """Exclude an instance for a short time.

        The exclusion covers only the current incarnation of the upstream,
        so that a restarted instance gets calls at once.
        """
        now = self._clock()
        self._until = {
            key: until for key, until in self._until.items() if until > now
        }
        key = (member.daemon, member.upstream_incarnation)
        self._until[key] = now + decisions.EXCLUSION_S

    def _is_excluded(self, member: membership.Member) -> bool:
        key = (member.daemon, member.upstream_incarnation)
        return self._until.get(key, 0.0) > self._clock()

    def make_chooser(self, choose: Chooser) -> Chooser:
        """Make a chooser that avoids excluded instances.

        It falls back to an excluded instance if there is no other.

        :param choose: the chooser to wrap.
        """

        def choose_available(
            work: call.Call, tried: frozenset[str]
        ) -> membership.Member | None:
            member = choose(work, tried)
            if not self._until:
                return member
            avoided = tried
            while member is not None and self._is_excluded(member):
                avoided |= {member.daemon}
                member = choose(work, avoided)
            if member is None and avoided != tried:
                return choose(work, tried)
            return member

        return choose_available
