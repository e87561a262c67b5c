"""Daemons in memory that share news, on virtual time.

They run the production membership, the watcher of the store and the
evacuations, and reach each other and the store by function calls.
"""

import asyncio
import contextlib
import random
import types

from burdockdeal.configuration import active_configuration
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.evacuation import active
from burdockdeal.membership import contacts
from burdockdeal.membership import messages as membership
from burdockdeal.membership import roster
from burdockdeal.membership import service
from burdockdeal.platform import evacuations
from burdockdeal.platform import messages
from burdockdeal.platform import watcher
from burdockdeal.settings import model
from burdockdeal_standins import memory_store

DOMAINS = ("a", "b", "c")
#: Three daemons read the store; more than that are in each domain.
PER_DOMAIN = 6

#: Seconds after the start in which the daemons find their roles.
_SETTLING_S = 10.0


class Daemon:
    """The parts of a daemon that learn of evacuations and pass them on.

    :param name: its first letter is the daemon's failure domain.
    """

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
                rng,
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

    @property
    def era(self) -> int:
        """The store's era."""
        return self.fleet.store.era

    async def watch(
        self, prefix: str, *, after: messages.Version, wait_s: float
    ):
        """Watch the store's keys, as the store's client does."""
        ends_at = asyncio.get_running_loop().time() + wait_s
        while self.fleet.store.version.revision <= after.revision:
            self._check_store()
            if asyncio.get_running_loop().time() >= ends_at:
                break
            await asyncio.sleep(0.1)
        return await self.fleet.store.watch(prefix, after=after, wait_s=0)

    def _check_store(self) -> None:
        if self.is_store_down:
            raise errors.StoreUnavailableError("down")


class Fleet:
    """Daemons that reach each other in memory, and the operator.

    Once it is entered, three domains of daemons are running.
    """

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
        await asyncio.sleep(_SETTLING_S)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    async def start(self, daemon: Daemon) -> None:
        """Start a daemon that knows all others."""
        daemon.roster.merge_members([each.roster.own for each in self.daemons])
        await self._stack.enter_async_context(daemon.membership)
        await self._stack.enter_async_context(daemon.watcher)

    def is_cut(self, source: Daemon, target: Daemon) -> bool:
        """Return whether two daemons can't reach each other."""
        return (
            not self.killed.isdisjoint((source.name, target.name))
            or {source.domain, target.domain} == self.cut_domains
        )

    async def evacuate(self, domain: str) -> None:
        """Evacuate a failure domain, as the operator does."""
        await self.store.put(
            f"op/evacuate/{domain}", "{}", version=messages.ABSENT
        )

    async def take_back(self, domain: str) -> None:
        """End an evacuation, as the operator does."""
        key = f"op/evacuate/{domain}"
        version = self.store.entries[key].version
        await self.store.delete(key, version=version)
        changed = self.store.version
        self.store.version = messages.Version(
            changed.era, changed.revision + 1
        )

    def find_sets(self) -> set[tuple[str, ...]]:
        """Return what the daemons that run apply."""
        return {
            each.evacuations.current.domains
            for each in self.daemons
            if each.name not in self.killed
        }
