"""The membership service: joining and exchanging records."""

import asyncio
from collections import abc
import random

import aiohttp
from aiohttp import web
import mode

from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import headers
from burdockdeal.core import journal
from burdockdeal.membership import decisions
from burdockdeal.membership import messages
from burdockdeal.membership import roster
from burdockdeal.platform import store
from burdockdeal.settings import model

CONTACTS_PREFIX = "members/"

_FANOUT = 2
_PERIODS_BETWEEN_CONTACTS = 5


class Membership(mode.Service):
    """Finds the other daemons and exchanges records with them.

    :param revision: returns the configuration's revision in force here.
    :param on_newer: called with a peer whose configuration is newer.
    """

    def __init__(
        self,
        settings: model.Settings,
        standing: roster.Roster,
        platform: store.Store,
        session: aiohttp.ClientSession,
        chance: random.Random,
        *,
        revision: abc.Callable[[], int],
        on_newer: abc.Callable[[model.Address], None],
    ) -> None:
        super().__init__()
        self._settings = settings
        self._roster = standing
        self._store = platform
        self._session = session
        self._chance = chance
        self._revision = revision
        self._on_newer = on_newer

    @mode.Service.task
    async def _exchange_forever(self) -> None:
        while not self.should_stop:
            peers = [member.peer for member in self._roster.peers]
            chosen = self._chance.sample(peers, min(_FANOUT, len(peers)))
            for peer in chosen or self._settings.peers:
                await self._exchange(peer)
            await self.sleep(self._settings.membership.period_s)

    @mode.Service.task
    async def _join_forever(self) -> None:
        while not self.should_stop:
            try:
                await self._publish_contact()
                for address in await self._read_contacts():
                    await self._exchange(address)
            except errors.PlatformError as error:
                journal.warn("contacts_unavailable", error=error)
            pause = self._settings.membership.period_s
            if self._roster.peers:
                pause *= _PERIODS_BETWEEN_CONTACTS
            await self.sleep(pause)

    async def _publish_contact(self) -> None:
        key = CONTACTS_PREFIX + self._settings.failure_domain
        entry = await self._store.get(key)
        contacts = messages.Contacts(())
        if entry is not None:
            contacts = codec.decode(entry.value, messages.Contacts)
        own = messages.Contact(self._roster.own.daemon, self._roster.own.peer)
        full = len(contacts.contacts) >= decisions.CONTACTS_PER_DOMAIN
        if own in contacts.contacts or (full and self._roster.peers):
            return
        await self._store.put(
            key,
            codec.encode(decisions.add_contact(contacts, own)).decode(),
            version=entry.version if entry else 0,
        )

    async def _read_contacts(self) -> list[model.Address]:
        listing = await self._store.list(CONTACTS_PREFIX)
        known = {member.daemon for member in self._roster.peers}
        known.add(self._roster.own.daemon)
        return [
            contact.peer
            for entry in listing.entries
            for contact in codec.decode(
                entry.value, messages.Contacts
            ).contacts
            if contact.daemon not in known
        ]

    async def _exchange(self, address: model.Address) -> None:
        if address == self._roster.own.peer:
            return
        try:
            async with self._session.post(
                f"http://{address}/v1/peer/exchange",
                data=codec.encode(self._own_side()),
                headers={headers.PEER_TOKEN: self._settings.peer_token},
                timeout=aiohttp.ClientTimeout(
                    total=self._settings.membership.timeout_s
                ),
            ) as response:
                response.raise_for_status()
                raw = await response.read()
            self._take(codec.decode(raw, messages.Exchange), address)
        except (
            aiohttp.ClientError,
            asyncio.TimeoutError,
            codec.MalformedError,
            OSError,
        ) as error:
            journal.debug("exchange_failed", peer=address, error=repr(error))

    def _own_side(self) -> messages.Exchange:
        return messages.Exchange(
            sender=self._roster.own.daemon,
            revision=self._revision(),
            members=self._roster.members,
        )

    def _take(
        self, exchange: messages.Exchange, address: model.Address
    ) -> None:
        self._roster.hear(exchange.members)
        if exchange.revision > self._revision():
            self._on_newer(address)

    async def handle_exchange(self, request: web.BaseRequest) -> web.Response:
        """Answer another daemon's exchange."""
        exchange = codec.decode(await request.read(), messages.Exchange)
        sender = next(
            (
                member
                for member in exchange.members
                if member.daemon == exchange.sender
            ),
            None,
        )
        self._roster.hear(exchange.members)
        if sender is not None and exchange.revision > self._revision():
            self._on_newer(sender.peer)
        return web.Response(
            body=codec.encode(self._own_side()),
            content_type="application/json",
        )
