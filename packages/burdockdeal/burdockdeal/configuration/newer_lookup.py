"""Looks whether a newer configuration exists, before a key is refused.

A workspace may use a new key as soon as the operator's change is accepted,
while the change is still on its way to some daemons.
"""

import asyncio
from collections import abc

from burdockdeal.configuration import active_configuration
from burdockdeal.core import event_log

#: Lookups per second that all daemons of a fleet make together at most, so
#: that unknown keys can't overload the daemons that are asked.
FLEET_LOOKUPS_PER_S = 100.0
MIN_INTERVAL_S = 0.5

#: Seconds to wait for a newer configuration that another daemon has.
FETCH_TIMEOUT_S = 0.5

#: Asks other daemons for the newest revision that they have.
FindRevision = abc.Callable[[], abc.Awaitable[int]]


def choose_interval_s(daemon_count: int) -> float:
    """Choose the seconds between two lookups of one daemon.

    Answers many clients that send unknown keys to all daemons at once.

    :param daemon_count: the number of active daemons in the fleet.
    """
    return max(MIN_INTERVAL_S, daemon_count / FLEET_LOOKUPS_PER_S)


class NewerLookup:
    """Makes at most one lookup at a time, for all requests that need one.

    :param active: the active configuration.
    :param find_revision: asks other daemons for the newest revision.
    :param count_daemons: returns the number of active daemons in the fleet.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        active: active_configuration.ActiveConfiguration,
        find_revision: FindRevision,
        count_daemons: abc.Callable[[], int],
        clock: abc.Callable[[], float],
    ) -> None:
        self._active = active
        self._find_revision = find_revision
        self._count_daemons = count_daemons
        self._clock = clock
        self._not_before = 0.0
        self._running: asyncio.Task[None] | None = None

    async def find_newer_than(self, revision: int) -> bool:
        """Return whether a newer configuration is active, or can be fetched.

        :param revision: the revision by which a key would be refused.
        """
        if self._active.revision > revision:
            return True
        if self._running is None:
            now = self._clock()
            if now < self._not_before:
                return False
            self._not_before = now + choose_interval_s(self._count_daemons())
            self._running = asyncio.create_task(self._look(revision))
        # A request that is cancelled must not end the lookup of the others.
        await asyncio.shield(self._running)
        return self._active.revision > revision

    async def _look(self, revision: int) -> None:
        try:
            found = await self._find_revision()
            if found > revision:
                await self._active.wait_for_revision(revision, FETCH_TIMEOUT_S)
            event_log.record(
                "newer_configuration_lookup",
                revision=revision,
                found=found,
                active=self._active.revision,
            )
        finally:
            self._running = None
