"""The roster: what this daemon believes of all daemons."""

from collections import abc
import dataclasses

from burdockdeal.announce import state as announce_state
from burdockdeal.core import journal
from burdockdeal.membership import decisions
from burdockdeal.membership import messages


def _may_serve(member: messages.Member) -> bool:
    return member.phase is announce_state.Phase.SERVING and member.health in (
        messages.Health.ALIVE,
        messages.Health.SUSPECT,
    )


class Roster:
    """Holds the records of all daemons, its own first.

    :param own: this daemon's record.
    """

    def __init__(self, own: messages.Member) -> None:
        self.own = own
        self._members: dict[str, messages.Member] = {}
        self._serving: dict[str, dict[str, messages.Member]] = {}
        self._listed: dict[str, tuple[messages.Member, ...]] = {}
        self._listeners: list[abc.Callable[[], None]] = []
        self._place(own)

    @property
    def members(self) -> tuple[messages.Member, ...]:
        """Every daemon that is known, whatever its health."""
        return tuple(self._members.values())

    @property
    def peers(self) -> tuple[messages.Member, ...]:
        """The other daemons that are not believed gone."""
        gone = (messages.Health.DEAD, messages.Health.LEFT)
        return tuple(
            member
            for member in self._members.values()
            if member.daemon != self.own.daemon and member.health not in gone
        )

    def find(self, daemon: str) -> messages.Member | None:
        """Find a daemon's record."""
        return self._members.get(daemon)

    def on_change(self, listener: abc.Callable[[], None]) -> None:
        """Call a function whenever a record changes."""
        self._listeners.append(listener)

    def hear(self, members: abc.Iterable[messages.Member]) -> None:
        """Take in records that another daemon sent."""
        changed = False
        for heard in members:
            if heard.daemon == self.own.daemon:
                changed |= self._refute(heard)
                continue
            known = self._members.get(heard.daemon)
            stands = decisions.merge(known, heard)
            if stands is not known:
                self._place(stands)
                self._log(known, stands)
                changed = True
        if changed:
            self._notify()

    def declare(self, **fields: object) -> None:
        """Change this daemon's own record and make it the newest."""
        serial = self.own.serial + 1
        self.own = dataclasses.replace(self.own, serial=serial, **fields)
        self._place(self.own)
        self._notify()

    def serving(self, service: str) -> tuple[messages.Member, ...]:
        """List the daemons whose upstream serves a service.

        :returns: the same tuple while none of them has changed.
        """
        if service not in self._serving:
            return ()
        if service not in self._listed:
            self._listed[service] = tuple(self._serving[service].values())
        return self._listed[service]

    def _place(self, stands: messages.Member) -> None:
        """Let a record stand, and keep the index of services."""
        known = self._members.get(stands.daemon)
        self._members[stands.daemon] = stands
        if known is not None:
            self._serving.get(known.service, {}).pop(known.daemon, None)
            self._listed.pop(known.service, None)
        if stands.service and _may_serve(stands):
            index = self._serving.setdefault(stands.service, {})
            index[stands.daemon] = stands
            self._listed.pop(stands.service, None)

    def _refute(self, heard: messages.Member) -> bool:
        own = decisions.refute(self.own, heard)
        if own is self.own:
            return False
        self.own = own
        self._place(own)
        journal.warn("member_refuted", heard=heard.health, serial=own.serial)
        return True

    def _log(
        self, known: messages.Member | None, stands: messages.Member
    ) -> None:
        if known is None or known.health is not stands.health:
            journal.record(
                "member_health",
                daemon=stands.daemon,
                health=stands.health,
                failure_domain=stands.failure_domain,
            )

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
