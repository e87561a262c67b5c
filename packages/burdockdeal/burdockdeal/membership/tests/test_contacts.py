"""Tests of discovery through the contacts in the store."""

from burdockdeal.core import codec
from burdockdeal.membership import contacts
from burdockdeal.membership import messages
from burdockdeal.membership import roster
from burdockdeal.settings import model
from burdockdeal_standins import clocks
from burdockdeal_standins import memory_store
from burdockdeal_standins import virtual_time


def make_member(daemon: str, domain: str, port: int) -> messages.Member:
    peer = model.Address("10.0.0.1", port)
    return messages.Member(daemon, domain, "r", peer, 1)


class Daemon:
    """A daemon that reads the contacts."""

    def __init__(self, store, clock, daemon, domain, port) -> None:
        self.roster = roster.Roster(make_member(daemon, domain, port))
        self.find_contacts = contacts.make_contact_finder(
            self.roster, store, clock
        )

    def find(self, *, force_refresh: bool = False) -> list[model.Address]:
        return virtual_time.run(self.find_contacts(force_refresh))


def test_domains_started_simultaneously_find_each_other() -> None:
    store, clock = memory_store.MemoryStore(), clocks.Clock()
    first = Daemon(store, clock, "a1", "a", 1)
    second = Daemon(store, clock, "a2", "a", 2)
    other = Daemon(store, clock, "b1", "b", 3)
    assert first.find(force_refresh=True) == []
    found = second.find(force_refresh=True)
    assert found == [model.Address("10.0.0.1", 1)]
    # The two daemons know each other but none of the other domain yet.
    for daemon, peer in ((first, second), (second, first)):
        daemon.roster.merge_members([peer.roster.own])
    other.find(force_refresh=True)
    clock.now += 1.0
    assert model.Address("10.0.0.1", 3) in first.find()


def test_unreadable_contacts_do_not_affect_other_domains() -> None:
    store, clock = memory_store.MemoryStore(), clocks.Clock()
    first = Daemon(store, clock, "a1", "a", 1)
    first.find(force_refresh=True)
    virtual_time.run(
        store.put(contacts.KEY_PREFIX + "z", "\ufffd{", version=0)
    )
    other = Daemon(store, clock, "b1", "b", 2)
    assert other.find(force_refresh=True) == [model.Address("10.0.0.1", 1)]


def test_unreadable_contacts_of_own_domain_are_replaced() -> None:
    store, clock = memory_store.MemoryStore(), clocks.Clock()
    virtual_time.run(
        store.put(contacts.KEY_PREFIX + "a", "novelty", version=0)
    )
    Daemon(store, clock, "a1", "a", 1).find(force_refresh=True)
    entry = virtual_time.run(store.get(contacts.KEY_PREFIX + "a"))
    listed = codec.decode(entry.value, messages.Contacts)
    assert [contact.daemon for contact in listed.contacts] == ["a1"]
