"""Checking the source of the configuration, and reading it if that is lost."""

from collections import abc
import random

import mode

from burdockdeal.core import event_log
from burdockdeal.membership import messages
from burdockdeal.membership import roster
from burdockdeal.membership import sources
from burdockdeal.settings import model

#: Seconds between two checks of the source.
INTERVAL_S = 0.6

#: Number of checks that must fail before the source counts as lost. The
#: second one follows the first at once.
ATTEMPTS = 2

#: Reads of the store a second to which the daemons of a fleet spread theirs,
#: and the longest time that one waits for this, in seconds.
READS_PER_S = 1000.0
MAX_SPREAD_S = 0.3

#: Probes the daemon at an address under its name; None if it does not respond.
Ping = abc.Callable[
    [model.Address, str], abc.Awaitable[messages.Member | None]
]


class SourceCheck(mode.Service):
    """Checks the daemon on which this one relies for the configuration.

    A response shows that the source is there, and brings a newer
    configuration if it has one. Without a response this daemon reads the store
    by itself, and the failure detector is told to look at the source.

    :param local_roster: the known daemons.
    :param ping: probes a daemon.
    :param suspect: probes a daemon through others, and suspects it if none of
        them reaches it.
    :param read: reads the configuration in the store.
    :param reader_count: the number of daemons that read the store for the
        fleet.
    :param rng: spreads the reads of several daemons.
    """

    def __init__(
        self,
        local_roster: roster.Roster,
        ping: Ping,
        suspect: abc.Callable[[messages.Member], abc.Awaitable[None]],
        read: abc.Callable[[], abc.Awaitable[None]],
        rng: random.Random,
        *,
        reader_count: int,
    ) -> None:
        super().__init__()
        self._reader_count = reader_count
        self._roster = local_roster
        self._ping = ping
        self._suspect = suspect
        self._read = read
        self._rng = rng

    def notify_dependents(self) -> None:
        """Tell the daemons that check this one of a newer configuration."""
        if not self.started:
            return
        for member in sources.list_dependents(self._roster):
            self.add_future(self._ping(member.peer, member.daemon))

    @mode.Service.task
    async def _check_forever(self) -> None:
        while not self.should_stop:
            # Checks of many daemons that start together don't coincide.
            await self.sleep(INTERVAL_S * self._rng.uniform(0.9, 1.0))
            source = sources.choose_source(self._roster, self._reader_count)
            if source is not None:
                self.add_future(self._check(source))

    async def _check(self, source: messages.Member) -> None:
        for _ in range(ATTEMPTS):
            if await self._ping(source.peer, source.daemon) is not None:
                return
        event_log.record_member("source_unresponsive", daemon=source.daemon)
        self.add_future(self._suspect(source))
        spread_s = min(MAX_SPREAD_S, self._roster.active_count / READS_PER_S)
        await self.sleep(self._rng.uniform(0, spread_s))
        await self._read()
