"""Evacuations that reach every daemon, in virtual time.

Guards against a daemon that still sends requests to a failure domain 5 s
after the store has acknowledged its evacuation, or for good.
"""

import asyncio
import contextlib
import random
import types

from burdockdeal.configuration import active_configuration
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.evacuation import active
from burdockdeal.evacuation import messages
from burdockdeal.membership import contacts
from burdockdeal.membership import messages as membership
from burdockdeal.membership import roster
from burdockdeal.membership import service
from burdockdeal.platform import evacuations
from burdockdeal.platform import watcher
from burdockdeal.settings import model
from burdockdeal_standins import memory_store
from burdockdeal_standins import virtual_time

BOUND_S = 5.0
DOMAINS = ("a", "b", "c")
#: Three daemons read the store; more than that are in each domain.
PER_DOMAIN = 6


class Daemon:
    """The parts of a daemon that learn of evacuations and pass them on."""

    def __init__(self, name: str, fleet: "Fleet") -> None:
        loop = asyncio.get_running_loop()
        self.name, self.fleet = name, fleet
        self.domain = name[0]
        self.is_store_down = False
        self.evacuations = active.ActiveEvacuation(is_enabled=True)
        self.roster = roster.Roster(
            membership.Member(
                name,
                self.domain,
                "r",
                model.Address("10.0.0.1", 1 + len(fleet.daemons)),
                incarnation=1,
            )
        )
        rng = random.Random(name)
        timing = model.Membership()
        self.membership = service.Membership(
            types.SimpleNamespace(membership=timing, peers=()),
            self.roster,
            self._post,
            contacts.ContactDirectory(
                contacts.DEFAULT_SOURCE,
                self.roster,
                memory_store.MemoryStore(),
                loop.time,
            ),
            rng,
            loop.time,
            revision=lambda: 0,
            on_newer=lambda address: None,
            evacuations=self.evacuations,
        )
        self.watcher = watcher.Watcher(
            self,
            active_configuration.ActiveConfiguration(),
            rng,
            is_watcher=lambda: self._is_reader(3),
            is_poller=lambda: self._is_reader(1),
            ask_to_read=self._ask_to_read,
            poll_interval_s=1.3,
            apply_operator_keys=evacuations.EvacuationReader(
                self.evacuations
            ).apply_listing,
        )

    def _is_reader(self, count: int) -> bool:
        return self.name in self.roster.choose_store_readers(count)

    async def _ask_to_read(self) -> None:
        """Ask nobody: the worst case."""

    async def _post(self, address, path, message, kind, timeout_s):
        target = self.fleet.daemons[address.port - 1]
        await asyncio.sleep(0.003)
        if self.fleet.is_cut(self, target):
            await asyncio.sleep(timeout_s)
            return None
        raw = codec.encode_compact(message)
        request = types.SimpleNamespace(read=lambda: asyncio.sleep(0, raw))
        handle = target.membership.peer_handlers[path]
        response = await handle(request)
        return codec.decode_compact(response.body, kind)

    async def list(self, prefix: str, **options: object):
        """List the store's keys, as the store's client does."""
        self._check_store()
        return await self.fleet.store.list(prefix)

    async def watch(self, prefix: str, *, after: int, wait_s: float):
        """Watch the store's keys, as the store's client does."""
        ends_at = asyncio.get_running_loop().time() + wait_s
        while self.fleet.store.version <= after:
            self._check_store()
            if asyncio.get_running_loop().time() >= ends_at:
                break
            await asyncio.sleep(0.1)
        return await self.fleet.store.watch(prefix, after=after, wait_s=0)

    def _check_store(self) -> None:
        if self.is_store_down:
            raise errors.StoreUnavailableError("down")


class Fleet:
    """Daemons that reach each other in memory, and the operator."""

    def __init__(self) -> None:
        self.store = memory_store.MemoryStore()
        self.daemons: list[Daemon] = []
        self.killed: set[str] = set()
        self.cut_domains: frozenset[str] = frozenset()
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "Fleet":
        for domain in DOMAINS:
            for number in range(PER_DOMAIN):
                self.daemons.append(Daemon(f"{domain}{number}", self))
        for daemon in self.daemons:
            await self.start(daemon)
        await asyncio.sleep(10)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    async def start(self, daemon: Daemon) -> None:
        daemon.roster.merge_members([each.roster.own for each in self.daemons])
        await self._stack.enter_async_context(daemon.membership)
        await self._stack.enter_async_context(daemon.watcher)

    def is_cut(self, source: Daemon, target: Daemon) -> bool:
        return (
            not self.killed.isdisjoint((source.name, target.name))
            or {source.domain, target.domain} == self.cut_domains
        )

    async def evacuate(self, domain: str) -> None:
        await self.store.put(f"op/evacuate/{domain}", "{}", version=0)

    async def take_back(self, domain: str) -> None:
        key = f"op/evacuate/{domain}"
        version = self.store.entries[key].version
        await self.store.delete(key, version=version)
        self.store.version += 1

    def find_sets(self) -> set[tuple[str, ...]]:
        """Return what the daemons that run apply."""
        return {
            each.evacuations.current.domains
            for each in self.daemons
            if each.name not in self.killed
        }


def play(scenario) -> None:
    async def run() -> None:
        async with Fleet() as fleet:
            await scenario(fleet)

    virtual_time.run(run())


def test_an_evacuation_reaches_all_and_is_taken_back() -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.evacuate("b")
        await asyncio.sleep(BOUND_S)
        assert fleet.find_sets() == {("b",)}
        # Nobody polls, and the watches report another key only.
        first = fleet.daemons[0].roster.choose_store_readers(1)
        for daemon in fleet.daemons:
            daemon.is_store_down = daemon.name in first
        await fleet.take_back("b")
        await fleet.store.put("op/config", "{}", version=0)
        await asyncio.sleep(BOUND_S)
        assert fleet.find_sets() == {()}

    play(scenario)


def test_a_newer_set_is_pushed_ahead_of_the_next_probes() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.daemons[0].evacuations.apply(
            messages.EvacuatedDomains(("b",), 10), source="store"
        )
        await asyncio.sleep(0.2)
        assert fleet.find_sets() == {("b",)}

    play(scenario)


def test_the_readers_are_lost_during_an_evacuation() -> None:
    """The set stays in force, and its end is learned from the next readers."""

    async def scenario(fleet: Fleet) -> None:
        await fleet.evacuate("b")
        await asyncio.sleep(BOUND_S)
        readers = fleet.daemons[0].roster.choose_store_readers(3)
        fleet.killed |= set(readers)
        await asyncio.sleep(1.0)
        await fleet.take_back("b")
        assert fleet.find_sets() == {("b",)}
        await asyncio.sleep(60)
        assert fleet.find_sets() == {()}

    play(scenario)


def test_the_set_stays_in_force_while_the_store_is_lost() -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.evacuate("b")
        await asyncio.sleep(BOUND_S)
        for daemon in fleet.daemons:
            daemon.is_store_down = True
        await asyncio.sleep(60)
        assert fleet.find_sets() == {("b",)}

    play(scenario)


def test_two_domains_that_are_cut_off_from_each_other_agree() -> None:
    """A third reaches both; the only reader left is in one of the two."""

    async def scenario(fleet: Fleet) -> None:
        fleet.cut_domains = frozenset({"a", "b"})
        for daemon in fleet.daemons:
            daemon.is_store_down = daemon.domain != "a"
        await fleet.evacuate("b")
        await asyncio.sleep(BOUND_S)
        assert fleet.find_sets() == {("b",)}

    play(scenario)


def test_a_daemon_that_starts_learns_the_set_from_its_first_ping() -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.evacuate("b")
        await asyncio.sleep(BOUND_S)
        daemon = Daemon("b9", fleet)
        daemon.is_store_down = True
        fleet.daemons.append(daemon)
        await fleet.start(daemon)
        await asyncio.sleep(0.1)
        assert daemon.evacuations.is_evacuated("b")

    play(scenario)


def test_the_same_set_at_a_higher_revision_is_not_pushed() -> None:
    """It still replaces a set that was read in between."""
    applied = active.ActiveEvacuation(is_enabled=True)
    changes = []
    applied.on_change(changes.append)
    for domains, revision in [(("b",), 10), (("b",), 20), ((), 15)]:
        applied.apply(
            messages.EvacuatedDomains(domains, revision), source="test"
        )
    assert applied.current == messages.EvacuatedDomains(("b",), 20)
    assert [change.started for change in changes] == [{"b"}]


def test_a_deployment_without_evacuations_ignores_them() -> None:
    applied = active.ActiveEvacuation(is_enabled=False)
    applied.apply(messages.EvacuatedDomains(("b",), 10), source="test")
    assert applied.current == messages.NONE_KNOWN
