"""How a daemon finds the others after its start."""

import asyncio
import random

import pytest

from burdockdeal.membership import contacts
from burdockdeal.membership import joining
from burdockdeal.membership import messages
from burdockdeal.membership import roster
from burdockdeal.settings import model
from burdockdeal_standins import clocks
from burdockdeal_standins import memory_store
from burdockdeal_standins import virtual_time

_PROBE_TIMEOUT_S = 0.25
_PAGE_TIMEOUT_S = 5.0


def make_member(daemon: str, domain: str, port: int) -> messages.Member:
    peer = model.Address("10.0.0.1", port)
    return messages.Member(daemon, domain, "r", peer, 1)


class Fleet:
    """Daemons by port, with the time from which each one responds."""

    def __init__(self) -> None:
        self.store = memory_store.MemoryStore()
        self.clock = clocks.Clock()
        self.up_at: dict[int, float] = {}
        self.members: dict[int, messages.Member] = {}
        self.dark: set[int] = set()
        #: Daemons that the others have not heard of yet.
        self.hidden: set[int] = set()
        self.asked: list[int] = []
        self.pages: list[int] = []

    def add(
        self, daemon: str, domain: str, port: int, *, up_at: float = 0.0
    ) -> None:
        self.members[port] = make_member(daemon, domain, port)
        self.up_at[port] = up_at

    def list_contacts(self, *ports: int) -> None:
        for port in ports:
            member = self.members[port]
            directory = contacts.ContactDirectory(
                contacts.DEFAULT_SOURCE,
                roster.Roster(member),
                self.store,
                clocks.Clock(),
                random.Random(1),
            )
            virtual_time.run(directory.find_contacts())
            virtual_time.run(directory.register())
        self.store.calls.clear()

    def _is_up(self, port: int) -> bool:
        now = asyncio.get_running_loop().time()
        return port in self.members and now >= self.up_at[port]

    def build_joiner(self, port: int) -> joining.Joiner:
        own = roster.Roster(self.members[port])
        self.own = own

        async def probe(address: model.Address) -> messages.Member | None:
            self.asked.append(address.port)
            if address.port in self.dark:
                await asyncio.sleep(_PROBE_TIMEOUT_S)
                return None
            if address.port in self.hidden or not self._is_up(address.port):
                return None
            member = self.members[address.port]
            own.merge_members([member])
            return member

        async def post(address, path, message, kind, timeout_s):
            self.pages.append(address.port)
            if address.port in self.dark:
                await asyncio.sleep(_PAGE_TIMEOUT_S)
                return None
            known = [
                member
                for port, member in self.members.items()
                if port not in self.hidden
            ]
            return messages.Page(tuple(known))

        return joining.Joiner(
            (),
            own,
            contacts.ContactDirectory(
                contacts.DEFAULT_SOURCE,
                own,
                self.store,
                self.clock,
                random.Random(1),
            ),
            probe,
            post,
            random.Random(1),
            self.clock,
        )

    def join(self, port: int) -> float:
        """Let a daemon join; return the seconds that it took."""

        async def join() -> float:
            loop = asyncio.get_running_loop()
            started = loop.time()
            await self.build_joiner(port).join()
            return loop.time() - started

        return virtual_time.run(join())


def make_fleet() -> Fleet:
    fleet = Fleet()
    for port, daemon in enumerate(("a1", "a2", "b1", "b2", "a3"), 1):
        fleet.add(daemon, daemon[0], port)
    fleet.list_contacts(1, 2, 3, 4)
    return fleet


def test_the_roster_comes_from_the_own_failure_domain() -> None:
    fleet = make_fleet()
    fleet.join(5)
    assert fleet.own.active_count == 5
    assert fleet.pages[0] in (1, 2)
    assert len(fleet.pages) == 1


def test_contacts_that_start_later_are_found_without_another_read() -> None:
    """All daemons were killed at once; the contacts come back last."""
    fleet = make_fleet()
    for port in (1, 2, 3, 4):
        fleet.up_at[port] = 0.35
    assert fleet.join(5) < 0.5
    assert fleet.own.active_count == 5
    assert len(fleet.store.calls) == 1


def test_a_contact_out_of_reach_does_not_delay_the_others() -> None:
    fleet = make_fleet()
    fleet.dark = {1, 2}
    assert fleet.join(5) < _PROBE_TIMEOUT_S / 2
    assert fleet.own.active_count == 5


def test_a_daemon_that_reaches_nobody_registers() -> None:
    fleet = make_fleet()
    fleet.dark = {1, 2, 3, 4}
    fleet.join(5)
    entry = virtual_time.run(fleet.store.get("members/a"))
    assert '"a3"' in entry.value


def test_a_starting_daemon_asks_few_contacts_of_other_domains() -> None:
    """A fleet that restarts as a whole would ask each contact at once."""
    fleet = Fleet()
    for port in range(1, 100):
        domain = f"d{port % 23:02d}"
        fleet.add(f"{domain}-{port}", domain, port)
    fleet.add("d01-100", "d01", 100)
    fleet.list_contacts(*range(1, 70))
    fleet.dark = set(range(1, 100))
    fleet.asked.clear()
    fleet.join(100)
    per_attempt = len(fleet.asked) / joining.ATTEMPTS_PER_READ
    assert per_attempt <= 3 + joining.MAX_REMOTE_CONTACTS
    assert len(set(fleet.asked)) > 10


def test_a_daemon_that_joined_early_looks_again() -> None:
    """Its contact had just started, too, and knew few others."""
    fleet = make_fleet()
    late = {1, 2, 3}
    for port in late:
        fleet.hidden.add(port)
    joiner = fleet.build_joiner(5)
    virtual_time.run(joiner.join())
    assert fleet.own.active_count < 5
    fleet.hidden.clear()
    virtual_time.run(joiner.maintain(reviews_contacts=False))
    assert fleet.own.active_count == 5
    before = len(fleet.pages)
    for _ in range(10):
        virtual_time.run(joiner.maintain(reviews_contacts=False))
    assert len(fleet.pages) - before == joining.EARLY_SYNCS - 1


@pytest.mark.parametrize(
    "health", [messages.Health.LEFT, messages.Health.DEAD]
)
@pytest.mark.parametrize("leaves_after_s", [0.0, 1.0])
def test_the_last_peer_leaves_while_contacts_are_reviewed(
    health: messages.Health, leaves_after_s: float
) -> None:
    """Choosing a daemon to compare rosters with ended the process.

    The roster was checked for other daemons before it waited for the store
    and for a contact that does not respond, and not after that.
    """
    fleet = make_fleet()
    joiner = fleet.build_joiner(5)
    fleet.own.merge_members([fleet.members[1]])
    fleet.own.has_joined = True
    fleet.dark = {2, 3, 4}
    fleet.clock.now += contacts.REVIEW_INTERVAL_S

    async def leave() -> None:
        await asyncio.sleep(leaves_after_s)
        fleet.own.mark_health("a1", health)

    async def maintain() -> None:
        await asyncio.gather(joiner.maintain(reviews_contacts=True), leave())

    virtual_time.run(maintain())
    assert fleet.own.active_count == 1
    # The comparisons that are still to be made wait for the next daemon.
    fleet.pages.clear()
    fleet.own.merge_members([fleet.members[3]])
    virtual_time.run(joiner.maintain(reviews_contacts=False))
    assert fleet.pages == [3]
