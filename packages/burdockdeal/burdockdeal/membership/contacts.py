"""The list of contacts in the store: a few for each failure domain."""

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

#: Where the contacts stand in the store.
KEY_PREFIX = "members/"

#: Seconds between two looks at the contacts, by a daemon that has peers.
LOOK_S = 10.0

#: The same just after its start, and for how long. Where all start at once,
#: each finds only those that were faster.
EARLY_LOOK_S = 0.5
EARLY_S = 5.0

#: Find contacts that are not known yet; True to look at once.
FindContacts = abc.Callable[[bool], abc.Awaitable[list[model.Address]]]


def make_contact_finder(
    standing: roster.Roster,
    platform: store.StoreClient,
    clock: abc.Callable[[], float],
) -> FindContacts:
    """Make the function that looks at the contacts in the store.

    It enters this daemon where contacts are missing or gone.
    """
    looked_at = -LOOK_S
    early_until = clock() + EARLY_S

    def must_enter(listed: messages.Contacts) -> bool:
        own = standing.own
        if any(contact.daemon == own.daemon for contact in listed.contacts):
            return messages.Contact(own.daemon, own.peer) not in (
                listed.contacts
            )
        full = len(listed.contacts) >= decisions.CONTACTS_PER_DOMAIN
        known = standing.map_active_in_domain(own.failure_domain)
        stale = any(contact.daemon not in known for contact in listed.contacts)
        return not full or stale or standing.active_count == 1

    async def enter() -> None:
        own = standing.own
        key = KEY_PREFIX + own.failure_domain
        entry = await platform.get(key)
        listed = messages.Contacts(())
        if entry is not None:
            listed = _read(entry)
        if not must_enter(listed):
            return
        contact = messages.Contact(own.daemon, own.peer)
        changed = decisions.add_contact(listed, contact)
        value = codec.encode(changed).decode()
        try:
            await platform.put(
                key, value, version=entry.version if entry else 0
            )
        except errors.StoreConflictError:
            # Another daemon was faster; the next look tries again.
            return

    async def meet(at_once: bool) -> list[model.Address]:
        nonlocal looked_at
        pause_s = EARLY_LOOK_S if clock() < early_until else LOOK_S
        if not at_once and clock() - looked_at < pause_s:
            return []
        looked_at = clock()
        # An answer that is seconds old does for a look, at a tenth of the
        # price; who knows nobody wants the newest.
        listing = await platform.list(KEY_PREFIX, stale=not at_once)
        standing_entry = _find_own(listing, standing.own.failure_domain)
        if must_enter(standing_entry):
            await enter()
        listed = [
            contact
            for entry in listing.entries
            for contact in _read(entry).contacts
        ]
        return [
            contact.peer
            for contact in listed
            if not _is_known(standing, contact.daemon)
        ]

    return meet


def _find_own(
    listing: platform_messages.Listing, domain: str
) -> messages.Contacts:
    for entry in listing.entries:
        if entry.key == KEY_PREFIX + domain:
            return _read(entry)
    return messages.Contacts(())


def _read(entry: platform_messages.Entry) -> messages.Contacts:
    """Read the contacts of a domain; none if another writer was there."""
    try:
        return codec.decode(entry.value, messages.Contacts)
    except codec.MalformedError as error:
        event_log.warn("contacts_unreadable", key=entry.key, error=error)
        return messages.Contacts(())


def _is_known(standing: roster.Roster, daemon: str) -> bool:
    member = standing.find(daemon)
    return (
        member is not None and member.health not in messages.INACTIVE_HEALTHS
    )
