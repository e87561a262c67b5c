"""How a daemon finds the others, and keeps its roster in line with theirs."""

import asyncio
from collections import abc
import random

from burdockdeal.core import errors
from burdockdeal.membership import contacts
from burdockdeal.membership import messages
from burdockdeal.membership import roster
from burdockdeal.membership import targets
from burdockdeal.membership import transport
from burdockdeal.settings import model

PAGE_PATH = "/v1/peer/page"

#: Seconds between two attempts to reach the contacts that the store lists,
#: and the number of attempts before it is read again. A fleet that restarts
#: as a whole finds contacts that have not started yet.
RETRY_INTERVAL_S = 0.1
ATTEMPTS_PER_READ = 10

#: Maximum number of contacts of other failure domains that are asked at once.
MAX_REMOTE_CONTACTS = 3

#: Seconds between two synchronizations of the whole roster with a peer, and
#: the number of early ones: the daemon that a starting one has joined through
#: may have started just before and know few others.
SYNC_INTERVAL_S = 60.0
EARLY_SYNCS = 3

_PAGE_TIMEOUT_S = 5.0

#: Probes the daemon at an address and returns its record, None if it does
#: not respond.
Probe = abc.Callable[[model.Address], abc.Awaitable[messages.Member | None]]


class Joiner:
    """Joins the fleet through its contacts, and synchronizes rosters.

    :param seeds: addresses of daemons that the settings name.
    :param directory: the contacts in the store.
    :param probe: probes the daemon at an address.
    :param post: posts a message to another daemon.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        seeds: abc.Sequence[model.Address],
        local_roster: roster.Roster,
        directory: contacts.ContactDirectory,
        probe: Probe,
        post: transport.Post,
        rng: random.Random,
        clock: abc.Callable[[], float],
    ) -> None:
        self._seeds = seeds
        self._roster = local_roster
        self._directory = directory
        self._probe = probe
        self._post = post
        self._rng = rng
        self._clock = clock
        self._synced_at = clock()
        self._early_syncs_left = EARLY_SYNCS
        self._probes: list[asyncio.Future[messages.Member | None]] = []

    async def join(self) -> None:
        """Find the other daemons, or register to be found by them.

        :raises PlatformError: if the store did not answer and no daemon that
            the settings name responded.
        """
        try:
            listed = await self._directory.find_contacts()
        except errors.PlatformError:
            if await self._reach_any(self._seeds):
                return
            raise
        for _ in range(ATTEMPTS_PER_READ):
            addresses = [*self._seeds, *self._choose_contacts(listed)]
            if await self._reach_any(addresses):
                return
            if not addresses:
                break
            await asyncio.sleep(RETRY_INTERVAL_S)
        await self._directory.register()

    async def maintain(self, *, reviews_contacts: bool) -> None:
        """Find parts of the fleet from which this part is separated.

        :param reviews_contacts: whether this daemon keeps the contacts in
            the store up to date on behalf of all.
        """
        if reviews_contacts:
            for contact in await self._directory.review():
                await self._sync(contact.peer)
        await self._sync_with_peer()

    async def _sync_with_peer(self) -> None:
        """Synchronize with an active daemon, if that is due."""
        is_due = self._clock() - self._synced_at > SYNC_INTERVAL_S
        if not (is_due or self._early_syncs_left):
            return
        # Chosen only now: the last of the others may have left while the
        # contacts were reviewed.
        peers = (
            targets.choose_push_targets(
                self._roster, self._rng, includes_remote=is_due
            )
            or self._roster.active_peers
        )
        if not peers:
            return
        if self._early_syncs_left:
            self._early_syncs_left -= 1
        else:
            self._synced_at = self._clock()
        await self._sync(self._rng.choice(peers).peer)

    def _choose_contacts(
        self, listed: abc.Sequence[messages.Contact]
    ) -> list[model.Address]:
        """Choose the contacts to ask: mostly those of the own domain."""
        local = self._directory.get_own_domain_contacts()
        remote = [contact for contact in listed if contact not in local]
        chosen = self._rng.sample(
            remote, min(MAX_REMOTE_CONTACTS, len(remote))
        )
        return [contact.peer for contact in (*local, *chosen)]

    async def _reach_any(self, addresses: abc.Sequence[model.Address]) -> bool:
        """Probe all addresses, and fetch the roster of one that responds.

        All are probed at once, since one that is out of reach costs a
        timeout, and one that has just started may know no other contact.

        :returns: whether another daemon has responded.
        """
        own = self._roster.own
        probes = [
            asyncio.ensure_future(self._probe(address))
            for address in addresses
            if address != own.peer
        ]
        # Those that are left once a roster was fetched still end by
        # themselves, and what they find is merged into the roster.
        self._probes = probes
        has_found = False
        for probe in asyncio.as_completed(probes):
            member = await probe
            if member is None:
                continue
            has_found = True
            if await self._sync(member.peer):
                break
        return has_found

    async def _sync(self, address: model.Address) -> bool:
        """Fetch the records in which a peer's roster differs, and probe it.

        :returns: whether the peer sent all of its records.
        """
        if address == self._roster.own.peer:
            return False
        first: int | None = 0
        while first is not None:
            page = await self._post(
                address,
                PAGE_PATH,
                messages.PageRequest(first, self._roster.checksums),
                messages.Page,
                _PAGE_TIMEOUT_S,
            )
            if page is None:
                return False
            self._roster.merge_members(page.members)
            first = page.following
        await self._probe(address)
        return True
