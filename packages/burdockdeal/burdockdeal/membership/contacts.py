"""Discovery through the store, which lists contacts per failure domain."""

from collections import abc

from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.membership import decisions
from burdockdeal.membership import messages
from burdockdeal.membership import roster
from burdockdeal.platform import messages as platform_messages
from burdockdeal.platform import store
from burdockdeal.settings import model

#: Prefix of the keys in the store; a failure domain's name follows.
KEY_PREFIX = "members/"

#: Seconds between two reads of the contacts by a daemon that has peers.
REFRESH_INTERVAL_S = 10.0

#: A shorter interval for the first seconds after the daemon's start. When all
#: daemons start at the same time, each initially finds only those that
#: registered before it.
STARTUP_REFRESH_INTERVAL_S = 0.5
STARTUP_PERIOD_S = 5.0

#: Returns addresses of contacts that the roster does not list as active.
#: With True, reads the store without waiting for the interval.
FindContacts = abc.Callable[[bool], abc.Awaitable[list[model.Address]]]


def make_contact_finder(
    local_roster: roster.Roster,
    platform: store.StoreClient,
    clock: abc.Callable[[], float],
) -> FindContacts:
    """Make the function that reads the contacts from the store.

    The function also registers this daemon as a contact of its failure
    domain if it is listed with another address or if, without it, the list
    is not full or names daemons that are not active. A daemon that knows no
    other one always registers.
    """
    refreshed_at = -REFRESH_INTERVAL_S
    startup_until = clock() + STARTUP_PERIOD_S

    def needs_registration(listed: messages.Contacts) -> bool:
        own = local_roster.own
        if any(contact.daemon == own.daemon for contact in listed.contacts):
            return messages.Contact(own.daemon, own.peer) not in (
                listed.contacts
            )
        is_full = len(listed.contacts) >= decisions.CONTACTS_PER_DOMAIN
        known = local_roster.map_active_in_domain(own.failure_domain)
        has_stale = any(
            contact.daemon not in known for contact in listed.contacts
        )
        return not is_full or has_stale or local_roster.active_count == 1

    async def register() -> None:
        own = local_roster.own
        key = KEY_PREFIX + own.failure_domain
        entry = await platform.get(key)
        listed = messages.Contacts(())
        if entry is not None:
            listed = _decode_contacts(entry)
        if not needs_registration(listed):
            return
        contact = messages.Contact(own.daemon, own.peer)
        updated = decisions.add_contact(listed, contact)
        value = codec.encode(updated).decode()
        try:
            await platform.put(
                key, value, version=entry.version if entry else 0
            )
        except errors.StoreConflictError:
            # Another daemon wrote the key first; the next read tries again.
            return

    async def find_contacts(force_refresh: bool) -> list[model.Address]:
        nonlocal refreshed_at
        interval_s = (
            STARTUP_REFRESH_INTERVAL_S
            if clock() < startup_until
            else REFRESH_INTERVAL_S
        )
        if not force_refresh and clock() - refreshed_at < interval_s:
            return []
        refreshed_at = clock()
        # A response that is a few seconds stale suffices for a periodic read,
        # at a tenth of the cost. A daemon without peers needs the newest.
        listing = await platform.list(KEY_PREFIX, stale=not force_refresh)
        own_contacts = _find_contacts_of(
            listing, local_roster.own.failure_domain
        )
        if needs_registration(own_contacts):
            await register()
        listed = [
            contact
            for entry in listing.entries
            for contact in _decode_contacts(entry).contacts
        ]
        return [
            contact.peer
            for contact in listed
            if not _is_known(local_roster, contact.daemon)
        ]

    return find_contacts


def _find_contacts_of(
    listing: platform_messages.Listing, domain: str
) -> messages.Contacts:
    for entry in listing.entries:
        if entry.key == KEY_PREFIX + domain:
            return _decode_contacts(entry)
    return messages.Contacts(())


def _decode_contacts(entry: platform_messages.Entry) -> messages.Contacts:
    """Decode a domain's contacts; none if the value is not a contact list."""
    try:
        return codec.decode(entry.value, messages.Contacts)
    except codec.MalformedError as error:
        event_log.warn("contacts_unreadable", key=entry.key, error=error)
        return messages.Contacts(())


def _is_known(local_roster: roster.Roster, daemon: str) -> bool:
    member = local_roster.find(daemon)
    return (
        member is not None and member.health not in messages.INACTIVE_HEALTHS
    )
