"""The evacuations that a daemon applies."""

from collections import abc
import dataclasses

from burdockdeal.core import event_log
from burdockdeal.evacuation import decisions
from burdockdeal.evacuation import messages
from burdockdeal.evacuation import state
from burdockdeal.membership import messages as membership

#: Lists the serving instances of a service; returns the same tuple as long as
#: nothing has changed.
ListServing = abc.Callable[[str], tuple[membership.Member, ...]]


class ActiveEvacuation:
    """Holds the newest known set of evacuated failure domains.

    :param is_enabled: whether there are evacuations in this deployment.
    """

    def __init__(self, *, is_enabled: bool) -> None:
        self._is_enabled = is_enabled
        self._listeners: list[abc.Callable[[state.Change], None]] = []
        self.current = messages.NONE_KNOWN

    def on_change(self, listener: abc.Callable[[state.Change], None]) -> None:
        """Register a callback for changes of the set."""
        self._listeners.append(listener)

    def apply(
        self, received: messages.EvacuatedDomains, *, source: str
    ) -> None:
        """Apply a set if it is newer than the current one.

        :param source: where it comes from, for the log.
        """
        if not self._is_enabled:
            return
        before = self.current
        self.current = decisions.select_newer(before, received)
        if before.domains == self.current.domains:
            return
        event_log.record(
            "evacuations_active",
            domains=",".join(self.current.domains),
            revision=self.current.revision,
            source=source,
        )
        change = decisions.compare(before, self.current)
        for listener in self._listeners:
            listener(change)

    def is_evacuated(self, domain: str) -> bool:
        """Return whether no request may be sent to a failure domain."""
        return domain in self.current.domains


@dataclasses.dataclass(frozen=True, slots=True)
class _Remaining:
    """The instances that are left of those of a service."""

    members: tuple[membership.Member, ...]
    domains: tuple[str, ...]
    remaining: tuple[membership.Member, ...]


def make_lister(
    list_serving: ListServing, active: ActiveEvacuation
) -> ListServing:
    """Make a function that lists the instances outside evacuated domains."""
    cached: dict[str, _Remaining] = {}

    def list_remaining(service: str) -> tuple[membership.Member, ...]:
        members, evacuated = list_serving(service), active.current
        if not evacuated.domains:
            return members
        known = cached.get(service)
        if (
            known is None
            or known.members is not members
            or known.domains != evacuated.domains
        ):
            known = cached[service] = _Remaining(
                members,
                evacuated.domains,
                decisions.list_remaining(members, evacuated),
            )
        return known.remaining

    return list_remaining
