"""Discovery through the store, which lists contacts per failure domain."""

from collections import abc
import dataclasses
import random

from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.membership import decisions
from burdockdeal.membership import messages
from burdockdeal.membership import roster
from burdockdeal.platform import decisions as platform_decisions
from burdockdeal.platform import messages as platform_messages
from burdockdeal.platform import store

#: Seconds between two reviews of the contacts by the first store reader.
REVIEW_INTERVAL_S = 10.0

#: Seconds before the first review, when daemons that started at the same time
#: may not have found each other yet; the interval doubles with each review.
#: Also the interval while a list has room for a daemon that is active.
FIRST_REVIEW_INTERVAL_S = 0.5


#: Maximum number of keys that a starting daemon reads: more than there are,
#: since what it learns from an incomplete listing would be wrong.
_MAX_STARTUP_KEYS = 100_000


def _ignore_listing(listing: platform_messages.Listing) -> None:
    """Ignore a listing that holds contacts only."""


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """Where the contacts are in the store.

    :param key_prefix: prefix of the contacts' keys; the name of a failure
        domain's list follows.
    :param startup_prefix: prefix of the keys that a starting daemon reads.
        If it also covers the configuration, a start takes a single call.
    :param on_startup_listing: called with the entries read at startup.
    """

    key_prefix: str = "members/"
    startup_prefix: str = "members/"
    on_startup_listing: abc.Callable[[platform_messages.Listing], None] = (
        _ignore_listing
    )


#: Used where the store holds nothing else that a starting daemon needs.
DEFAULT_SOURCE = Source()


@dataclasses.dataclass(frozen=True, slots=True)
class _Listed:
    """The contacts of a failure domain as they were last read or written.

    :param version: version of the entry in the store.
    """

    contacts: messages.Contacts
    version: platform_messages.Version


_NO_CONTACTS = messages.Contacts(())


class ContactDirectory:
    """Reads and maintains the contacts in the store.

    A starting daemon reads them once. It registers itself only if it finds
    no other daemon; apart from that, the first store reader of the fleet
    keeps the lists up to date on behalf of all daemons, so that the number
    of calls does not depend on the size of the fleet.

    :param source: where the contacts are.
    :param clock: returns monotonic time in seconds.
    :param rng: spreads the reviews after a restore of the store.
    """

    def __init__(
        self,
        source: Source,
        local_roster: roster.Roster,
        platform: store.StoreClient,
        clock: abc.Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._source = source
        self._roster = local_roster
        self._store = platform
        self._clock = clock
        self._reviewed_at = clock()
        self._review_interval_s = FIRST_REVIEW_INTERVAL_S
        self._listed: dict[str, _Listed] = {}
        #: The version of the lists that the store does not hold.
        self._absent = platform_messages.ABSENT
        self._rng = rng
        self._listed_before: dict[str, _Listed] = {}
        #: When the lists must be compared with those of a store that was
        #: restored from an old copy.
        self._rewrite_at: float | None = None
        platform.on_new_era(self._schedule_rewrite)

    def _schedule_rewrite(self, era: int) -> None:
        self._listed_before = {**self._listed_before, **self._listed}
        self._rewrite_at = self._clock() + self._rng.uniform(
            0, platform_decisions.REWRITE_SPREAD_S
        )

    async def find_contacts(self) -> tuple[messages.Contact, ...]:
        """Read the contacts of all failure domains from the store."""
        listing = await self._store.list(
            self._source.startup_prefix, limit=_MAX_STARTUP_KEYS
        )
        self._source.on_startup_listing(listing)
        return self._read_listing(listing)

    def get_own_domain_contacts(self) -> tuple[messages.Contact, ...]:
        """Return the contacts of the own failure domain, as last read."""
        return self._get_contacts(self._roster.own.failure_domain).contacts

    async def register(self) -> None:
        """Add this daemon to the contacts of its failure domain.

        The write is conditional on what ``find_contacts`` read. If another
        daemon was faster, nothing is written, and the next read finds it.
        """
        own = self._roster.own
        listed = self._get_contacts(own.failure_domain)
        contact = messages.Contact(own.daemon, own.peer)
        if contact not in listed.contacts:
            await self._write(
                own.failure_domain, decisions.add_contact(listed, contact)
            )

    async def review(self) -> tuple[messages.Contact, ...]:
        """Update the lists from the roster, at most once per interval.

        :returns: the listed contacts that the roster does not list as
            active: they belong to a part of the fleet from which this part
            is separated, or they have left.
        """
        now = self._clock()
        is_incomplete = self._has_incomplete_list()
        interval_s = (
            FIRST_REVIEW_INTERVAL_S
            if is_incomplete
            else self._review_interval_s
        )
        is_rewrite = self._rewrite_at is not None and now >= self._rewrite_at
        if not is_rewrite and now - self._reviewed_at < interval_s:
            return ()
        self._reviewed_at = now
        self._review_interval_s = min(
            REVIEW_INTERVAL_S, 2 * self._review_interval_s
        )
        # Unless a list is about to be written, entries that are a few seconds
        # stale suffice, at a tenth of the cost.
        listing = await self._store.list(
            self._source.key_prefix, stale=not (is_incomplete or is_rewrite)
        )
        listed = self._read_listing(listing)
        lost = self._listed_before.keys() - self._listed.keys()
        for domain in self._roster.active_domains:
            await self._update_domain(domain)
        if is_rewrite:
            await self._restore_lists(lost)
        return tuple(
            contact
            for contact in listed
            if not _is_active(self._roster, contact.daemon)
        )

    async def _restore_lists(self, lost: set[str]) -> None:
        """Write the lists again that a restored store has lost.

        :param lost: their names. The lists of domains with active daemons
            have been updated already.
        """
        rewrite_at, before = self._rewrite_at, self._listed_before
        for name in sorted(lost - self._listed.keys()):
            await self._write_list(name, before[name].contacts)
        if self._rewrite_at == rewrite_at:
            # Otherwise the store was restored again meanwhile.
            self._rewrite_at, self._listed_before = None, {}
        # None are lost if earlier reviews or other daemons were faster.
        event_log.record(
            "records_rewritten", kind="contacts", domains=len(lost)
        )

    def _has_incomplete_list(self) -> bool:
        """Return whether an active daemon is missing from a list."""
        return any(
            sum(
                _is_active(self._roster, contact.daemon)
                for contact in self._get_contacts(domain).contacts
            )
            < min(
                decisions.CONTACTS_PER_DOMAIN,
                len(self._roster.map_active_in_domain(domain)),
            )
            for domain in self._roster.active_domains
        )

    def _get_contacts(self, domain: str) -> messages.Contacts:
        listed = self._listed.get(decisions.name_contact_list(domain))
        return listed.contacts if listed else _NO_CONTACTS

    async def _update_domain(self, domain: str) -> None:
        listed = self._get_contacts(domain)
        updated = decisions.refresh_contacts(
            listed, self._roster.map_active_in_domain(domain)
        )
        if updated != listed:
            await self._write(domain, updated)

    async def _write(self, domain: str, updated: messages.Contacts) -> None:
        await self._write_list(decisions.name_contact_list(domain), updated)

    async def _write_list(self, name: str, updated: messages.Contacts) -> None:
        listed = self._listed.get(name)
        try:
            version = await self._store.put(
                self._source.key_prefix + name,
                codec.encode(updated).decode(),
                version=listed.version if listed else self._absent,
            )
        except errors.StoreConflictError:
            # Another daemon wrote the key first; the next read tries again.
            return
        self._listed[name] = _Listed(updated, version)

    def _read_listing(
        self, listing: platform_messages.Listing
    ) -> tuple[messages.Contact, ...]:
        prefix = self._source.key_prefix
        self._absent = platform_messages.Version(listing.version.era, 0)
        self._listed = {
            entry.key.removeprefix(prefix): _Listed(
                _decode_contacts(entry), entry.version
            )
            for entry in listing.entries
            if entry.key.startswith(prefix)
        }
        return tuple(
            contact
            for listed in self._listed.values()
            for contact in listed.contacts.contacts
        )


def _decode_contacts(entry: platform_messages.Entry) -> messages.Contacts:
    """Decode a domain's contacts, as many as a list may have.

    Another program may have written the entry. A contact that can't be
    decoded leaves the others in the list.
    """
    contacts = []
    try:
        listed = codec.decode(entry.value, messages.RawContacts).contacts
    except codec.MalformedError as error:
        event_log.warn("contacts_unreadable", key=entry.key, error=error)
        listed = ()
    for raw in listed:
        try:
            contacts.append(codec.decode(raw, messages.Contact))
        except codec.MalformedError as error:
            event_log.warn("contact_unreadable", key=entry.key, error=error)
    return messages.Contacts(tuple(contacts[: decisions.CONTACTS_PER_DOMAIN]))


def _is_active(local_roster: roster.Roster, daemon: str) -> bool:
    member = local_roster.find(daemon)
    return (
        member is not None and member.health not in messages.INACTIVE_HEALTHS
    )
