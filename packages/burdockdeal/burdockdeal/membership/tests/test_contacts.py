"""Finding the others through the contacts in the store."""

from burdockdeal.core import codec
from burdockdeal.membership import contacts
from burdockdeal.membership import messages
from burdockdeal.membership import roster
from burdockdeal.settings import model
from burdockdeal_standins import clocks
from burdockdeal_standins import memory_store
from burdockdeal_standins import virtual


def make_member(daemon: str, domain: str, port: int) -> messages.Member:
    peer = model.Address("10.0.0.1", port)
    return messages.Member(daemon, domain, "r", peer, 1)


class Place:
    """One daemon that looks at the contacts."""

    def __init__(self, store, clock, daemon, domain, port) -> None:
        self.roster = roster.Roster(make_member(daemon, domain, port))
        self.meet = contacts.make_contact_finder(self.roster, store, clock)

    def look(self, *, at_once: bool = False) -> list[model.Address]:
        return virtual.run(self.meet(at_once))


def test_domains_that_start_at_once_find_each_other() -> None:
    store, clock = memory_store.MemoryStore(), clocks.Clock()
    first = Place(store, clock, "a1", "a", 1)
    second = Place(store, clock, "a2", "a", 2)
    other = Place(store, clock, "b1", "b", 3)
    assert first.look(at_once=True) == []
    found = second.look(at_once=True)
    assert found == [model.Address("10.0.0.1", 1)]
    # The two know each other, and nobody of the other domain yet.
    for place, peer in ((first, second), (second, first)):
        place.roster.merge_members([peer.roster.own])
    other.look(at_once=True)
    clock.now += 1.0
    assert model.Address("10.0.0.1", 3) in first.look()


def test_contacts_that_can_not_be_read_harm_no_others() -> None:
    store, clock = memory_store.MemoryStore(), clocks.Clock()
    one = Place(store, clock, "a1", "a", 1)
    one.look(at_once=True)
    virtual.run(store.put(contacts.KEY_PREFIX + "z", "\ufffd{", version=0))
    other = Place(store, clock, "b1", "b", 2)
    assert other.look(at_once=True) == [model.Address("10.0.0.1", 1)]


def test_contacts_of_the_own_domain_are_written_anew() -> None:
    store, clock = memory_store.MemoryStore(), clocks.Clock()
    virtual.run(store.put(contacts.KEY_PREFIX + "a", "novelty", version=0))
    Place(store, clock, "a1", "a", 1).look(at_once=True)
    entry = virtual.run(store.get(contacts.KEY_PREFIX + "a"))
    listed = codec.decode(entry.value, messages.Contacts)
    assert [contact.daemon for contact in listed.contacts] == ["a1"]
