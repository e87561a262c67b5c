"""Many daemons' quotas on virtual time, without a network."""

import asyncio
import collections
from collections import abc
import dataclasses
import enum
import random

from burdockdeal.configuration import resources
from burdockdeal.core import call
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.membership import messages as membership
from burdockdeal.membership import roster
from burdockdeal.quotas import api
from burdockdeal.quotas import ring
from burdockdeal.settings import fleet_terms
from burdockdeal.settings import model
from burdockdeal_standins import virtual_time

TERMS = fleet_terms.QuotaTerms(5.0, 0.1, 20.0)
WORKSPACE = "north"
QUOTA = resources.Workspace(requests_per_s=50.0, burst=50.0)

#: One-way latency in seconds, within a failure domain and beyond it.
_NEAR_S, _FAR_S = 0.0002, 0.003


def make_member(number: int, domain: str) -> membership.Member:
    address = model.Address("10.0.0.1", 1000 + number)
    return membership.Member(f"{domain}{number}", domain, "r", address, 1)


class Direction(enum.Enum):
    """Which messages of daemons that are cut off are lost."""

    BOTH = "both"
    OUT = "theirs"
    IN = "those to them"


class Node:
    """One daemon: its roster, its quotas, and whether it runs."""

    def __init__(self, fleet: "Fleet", member: membership.Member) -> None:
        self.member = member
        self.is_up = True
        self.is_cut_off = False
        self.running = asyncio.Event()
        self.running.set()
        self._fleet = fleet
        self.roster = roster.Roster(member)
        self.workspaces = fleet.workspaces
        self.quotas = api.Quotas(
            TERMS,
            self.roster,
            self._post,
            lambda: self.workspaces,
            fleet.clock,
            fleet.rng,
            self._call_later,
        )

    def _call_later(self, delay_s, callback, *args):
        def run() -> None:
            if not self.running.is_set():
                task = asyncio.create_task(self._run_resumed(callback, *args))
                self._fleet.tasks.add(task)
            elif self.is_up:
                callback(*args)

        return asyncio.get_running_loop().call_later(delay_s, run)

    async def _run_resumed(self, callback, *args) -> None:
        await self.running.wait()
        callback(*args)

    async def _post(self, address, path, message, kind, timeout_s):
        target = self._fleet.by_address[address]
        if not target.is_up:
            return None
        sent = codec.decode_compact(
            codec.encode_compact(message), type(message)
        )
        self._fleet.questions[self.member.daemon] += 1
        exchange = asyncio.create_task(self._exchange(target, sent))
        self._fleet.tasks.add(exchange)
        done, _ = await asyncio.wait([exchange], timeout=timeout_s)
        if not done or not target.is_up:
            return None
        return codec.decode_compact(
            codec.encode_compact(*[each.result() for each in done]), kind
        )

    async def _exchange(self, target, message):
        await self._fleet.travel(self, target)
        await target.running.wait()
        reply = await target.quotas.lender.answer(message)
        await self._fleet.travel(target, self)
        return reply

    async def request(self, outcome: errors.CallError | None = None) -> None:
        """Make one request; it ends with an error if one is given."""
        fleet = self._fleet
        fleet.offered += 1
        inbound = call.Call(
            "id", "s", "r", fleet.clock() + 1.3, workspace=WORKSPACE
        )
        try:
            async with self.quotas.charge(inbound):
                if outcome is not None:
                    raise outcome
                fleet.runs.append(fleet.clock())
        except errors.NotRunError as error:
            if error is not outcome:
                fleet.refusals.append((fleet.clock(), error))


class Fleet:
    """Daemons of three failure domains that know each other.

    :param size: the number of daemons.
    :param knows_all: whether the daemons know each other from the start.
    """

    def __init__(
        self,
        size: int = 60,
        quota: resources.Workspace = QUOTA,
        *,
        knows_all: bool = True,
        seed: int = 1,
    ) -> None:
        self.quota = quota
        self.workspaces = {WORKSPACE: quota}
        self.rng = random.Random(seed)
        self.by_address: dict[model.Address, Node] = {}
        self.cuts: set[frozenset[str]] = set()
        #: Daemons that the others don't reach, and the direction that is cut.
        self.apart: frozenset[Node] = frozenset()
        self.direction = Direction.BOTH
        self.tasks: set[asyncio.Task[object]] = set()
        self.questions: collections.Counter[str] = collections.Counter()
        self.runs: list[float] = []
        self.refusals: list[tuple[float, errors.NotRunError]] = []
        self.offered = 0
        self.nodes: list[Node] = []
        for number in range(size):
            self.add(make_member(number, "abc"[number % 3]))
        if knows_all:
            self.introduce(self.nodes)

    def clock(self) -> float:
        return 100.0 + asyncio.get_running_loop().time()

    def add(self, member: membership.Member) -> Node:
        node = Node(self, member)
        self.by_address[member.peer] = node
        self.nodes.append(node)
        return node

    def introduce(self, nodes: abc.Iterable[Node]) -> None:
        """Let all daemons know the given ones."""
        members = [node.member for node in nodes]
        for node in self.nodes:
            node.roster.merge_members(members)

    def find_lender(self) -> Node:
        by_name = {node.member.daemon: node for node in self.nodes}
        return by_name[ring.HashRing(by_name).find_first(WORKSPACE)]

    async def travel(self, source: Node, target: Node) -> None:
        domains = frozenset(
            {source.member.failure_domain, target.member.failure_domain}
        )
        if domains in self.cuts or self._is_lost(source, target):
            await asyncio.Event().wait()
        await asyncio.sleep(_FAR_S if len(domains) > 1 else _NEAR_S)

    def _is_lost(self, source: Node, target: Node) -> bool:
        is_out, is_in = source in self.apart, target in self.apart
        if is_out == is_in:
            return False
        return self.direction in (
            Direction.BOTH,
            Direction.OUT if is_out else Direction.IN,
        )

    def cut_off(
        self,
        nodes: abc.Collection[Node],
        direction: "Direction",
    ) -> None:
        """Cut daemons off from the others, which notice it one by one."""
        self.apart, self.direction = frozenset(nodes), direction
        others = [node for node in self.nodes if node not in self.apart]
        for here, there in ((others, list(nodes)), (list(nodes), others)):
            for place, node in enumerate(self.rng.sample(there, len(there))):
                self.after(
                    1.5 + place / len(here),
                    self._suspect_across,
                    node,
                    here,
                )

    def _suspect_across(self, node: Node, observers: list[Node]) -> None:
        if self.apart:
            self.claim(node, membership.Health.SUSPECT, observers)

    def heal(self) -> None:
        """End the cut; the daemons notice it within a second."""
        self.apart = frozenset()
        for node in self.nodes:
            self.after(
                self.rng.random(), self.claim, node, membership.Health.ALIVE
            )

    async def restart(self, node: Node) -> None:
        """Kill a daemon and start it again, too soon to be suspected."""
        node.is_up = False
        await node.quotas.__aexit__()
        await self.offer(3 * self.quota.requests_per_s, 1.0)
        self.nodes.remove(node)
        started = self.add(node.member)
        started.roster.merge_members([each.member for each in self.nodes])

    def claim(
        self,
        subject: Node,
        health: membership.Health,
        observers: abc.Iterable[Node] | None = None,
    ) -> None:
        """Let daemons change their view of one daemon's health."""
        if health is membership.Health.ALIVE:
            subject.member = dataclasses.replace(
                subject.member, serial=subject.member.serial + 1
            )
        for node in observers or self.nodes:
            if health is membership.Health.ALIVE:
                node.roster.merge_members([subject.member])
            else:
                node.roster.mark_health(subject.member.daemon, health)

    async def kill(self, killed: abc.Sequence[Node]) -> None:
        """Kill daemons, which the others notice as membership does."""
        for node in killed:
            node.is_up = False
            await node.quotas.__aexit__()
        self.after(1.5, self.claim_all, killed, membership.Health.SUSPECT)
        self.after(7.0, self.claim_all, killed, membership.Health.DEAD)

    def claim_all(self, subjects, health) -> None:
        for subject in subjects:
            self.claim(subject, health)

    def isolate(self, domain: str) -> None:
        """Cut a domain off; its daemons are suspected one by one."""
        self.cuts |= {frozenset({domain, o}) for o in "abc" if o != domain}
        sides = ([], [])
        for node in self.nodes:
            sides[node.member.failure_domain == domain].append(node)
        for here, there in (sides, sides[::-1]):
            # A side of n daemons sends n / 4 probes a second beyond it.
            for place, node in enumerate(self.rng.sample(there, len(there))):
                self.after(
                    0.9 + 4 * place / len(here),
                    self.claim,
                    node,
                    membership.Health.SUSPECT,
                    here,
                )

    def after(self, delay_s: float, callback, *args) -> None:
        asyncio.get_running_loop().call_later(delay_s, callback, *args)

    async def offer(
        self,
        rate: float,
        seconds: float,
        entries: abc.Sequence[Node] | None = None,
        outcome: errors.CallError | None = None,
    ) -> None:
        """Offer requests at random times to random entries that run."""
        until = self.clock() + seconds
        while self.clock() < until:
            await asyncio.sleep(self.rng.expovariate(rate))
            node = self.rng.choice(entries or self.nodes)
            if node.is_up and node.running.is_set():
                task = asyncio.create_task(node.request(outcome))
                self.tasks.add(task)
        await asyncio.sleep(1.0)

    def count_window(self, window_s: float = TERMS.window_s) -> int:
        """Count the requests that ran in the window with the most."""
        first = most = 0
        for index, at in enumerate(self.runs):
            while at - self.runs[first] > window_s:
                first += 1
            most = max(most, index - first + 1)
        return most

    def count_between(self, since: float, until: float) -> int:
        """Count the requests that ran between two times of the loop."""
        return sum(since <= at - 100.0 < until for at in self.runs)

    def assert_within_bound(self) -> None:
        quota = self.quota
        bound = (quota.requests_per_s * TERMS.window_s + quota.burst) * (
            1 + TERMS.over_share
        ) + TERMS.slack
        assert self.count_window() <= bound


def play(scenario: abc.Callable[[], abc.Awaitable[None]]) -> None:
    """Run a scenario on virtual time."""
    virtual_time.run(scenario())
