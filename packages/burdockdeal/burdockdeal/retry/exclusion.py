"""Instances that were found gone before the membership says so."""

from collections import abc

from burdockdeal.core import call
from burdockdeal.membership import messages as membership
from burdockdeal.retry import decisions

#: Choose an instance for a call, not among those tried.
Chooser = abc.Callable[[call.Call, frozenset[str]], membership.Member | None]


class Exclusions:
    """Holds the instances that refused a call since they leave or left.

    :param clock: returns monotonic time in seconds.
    """

    def __init__(self, clock: abc.Callable[[], float]) -> None:
        self._clock = clock
        self._until: dict[tuple[str, int], float] = {}

    def note(self, member: membership.Member) -> None:
        """Take in that an instance was gone."""
        now = self._clock()
        self._until = {
            key: until for key, until in self._until.items() if until > now
        }
        key = (member.daemon, member.upstream_incarnation)
        self._until[key] = now + decisions.GONE_S

    def _is_gone(self, member: membership.Member) -> bool:
        key = (member.daemon, member.upstream_incarnation)
        return self._until.get(key, 0.0) > self._clock()

    def make_chooser(self, choose: Chooser) -> Chooser:
        """Make a choice that passes over such instances if it can."""

        def choose_present(
            work: call.Call, tried: frozenset[str]
        ) -> membership.Member | None:
            member = choose(work, tried)
            if not self._until:
                return member
            left_out = tried
            while member is not None and self._is_gone(member):
                left_out |= {member.daemon}
                member = choose(work, left_out)
            if member is None and left_out != tried:
                return choose(work, tried)
            return member

        return choose_present
