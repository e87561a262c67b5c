"""Each daemon notices the loss of those on which it relies for a change.

The few readers of the store were lost just when a change was acknowledged,
and the others kept the old configuration until suspicion of them had spread.
"""

import asyncio
import collections
import dataclasses
import math
import random

import pytest

from burdockdeal.membership import messages
from burdockdeal.membership import roster
from burdockdeal.membership import source_check
from burdockdeal.membership import sources
from burdockdeal.settings import model
from burdockdeal_standins import virtual_time

_READERS = 3
_PING_TIMEOUT_S = 0.25
#: The time within which a change has to be in force everywhere, and the part
#: of it that is kept for the read and for spreading what was read.
_APPLY_S = 2.0
_READ_S = 0.4
#: Seconds for which what follows from a loss is watched.
_WATCHED_S = 4.0


def make_rosters(sizes: dict[str, int]) -> dict[str, roster.Roster]:
    """Make the roster of each daemon."""
    members = [
        messages.Member(
            f"{domain}{number:05d}",
            domain,
            "r",
            model.Address("10.0.0.1", 1 + position),
            1,
        )
        for position, (domain, number) in enumerate(
            (domain, number)
            for domain, size in sizes.items()
            for number in range(size)
        )
    ]
    rosters = {}
    for member in members:
        rosters[member.daemon] = roster.Roster(member)
        rosters[member.daemon].merge_members(members)
    return rosters


_FLEETS = (
    {"a": 1},
    {"a": 2, "b": 1},
    {"a": 5, "b": 4, "c": 4},
    {"a": 65, "b": 1, "c": 33},
    {f"d{number}": 12 for number in range(6)},
)


@pytest.mark.parametrize("sizes", _FLEETS)
def test_each_daemon_that_does_not_read_has_a_source(
    sizes: dict[str, int],
) -> None:
    """At most two other daemons stand between it and the store."""
    rosters = make_rosters(sizes)
    chosen = {
        name: sources.choose_source(known, _READERS)
        for name, known in rosters.items()
    }
    readers = {name for name, source in chosen.items() if source is None}
    assert len(readers) == min(_READERS, len(rosters))
    for name, source in chosen.items():
        steps = 0
        while source is not None:
            assert source.daemon != name
            source = chosen[source.daemon]
            steps += 1
        assert steps <= 3


@pytest.mark.parametrize("sizes", _FLEETS)
def test_sources_know_their_dependents_and_share_them(
    sizes: dict[str, int],
) -> None:
    rosters = make_rosters(sizes)
    domains = {
        name: known.own.failure_domain for name, known in rosters.items()
    }
    dependents = {
        name: [member.daemon for member in sources.list_dependents(known)]
        for name, known in rosters.items()
    }
    counted = collections.Counter()
    for name, known in rosters.items():
        source = sources.choose_source(known, _READERS)
        if source is None or domains[source.daemon] != domains[name]:
            continue
        assert name in dependents[source.daemon]
        counted[source.daemon] += 1
    largest = max(sizes.values())
    assert max(counted.values(), default=0) <= math.isqrt(largest) + 2


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """What followed from a loss of daemons.

    :param known_at: when each of the others knew of the change, in seconds.
    :param reads: number of reads of the store within the time watched.
    """

    known_at: dict[str, float]
    reads: int


def play_loss(lost: set[str], sizes: dict[str, int]) -> Loss:
    """Lose daemons just when a change is written."""
    reads = 0
    rosters = make_rosters(sizes)
    known_at: dict[str, float] = {}
    checks: dict[str, source_check.SourceCheck] = {}

    async def play() -> None:
        loop = asyncio.get_running_loop()

        def learn(name: str) -> None:
            if name not in known_at:
                known_at[name] = loop.time()
                checks[name].notify_dependents()

        def build(name: str, seed: int) -> source_check.SourceCheck:
            async def ping(
                address: model.Address, daemon: str
            ) -> messages.Member | None:
                if daemon in lost:
                    await asyncio.sleep(_PING_TIMEOUT_S)
                    return None
                # Each tells the other which configuration it has.
                if daemon in known_at:
                    learn(name)
                elif name in known_at:
                    learn(daemon)
                return rosters[name].find(daemon)

            async def suspect(member: messages.Member) -> None:
                rosters[name].mark_health(
                    member.daemon, messages.Health.SUSPECT
                )

            async def read() -> None:
                nonlocal reads
                # Stopping the checks takes time, too.
                reads += loop.time() <= _WATCHED_S
                learn(name)

            return source_check.SourceCheck(
                rosters[name],
                ping,
                suspect,
                read,
                random.Random(seed),
                reader_count=_READERS,
            )

        survivors = [name for name in rosters if name not in lost]
        for name in survivors:
            if sources.choose_source(rosters[name], _READERS) is None:
                # Its watch of the store reports the change.
                known_at[name] = 0.0
        for seed, name in enumerate(survivors):
            checks[name] = build(name, seed)
        for check in checks.values():
            await check.start()
        await asyncio.sleep(_WATCHED_S)
        for check in checks.values():
            await check.stop()

    virtual_time.run(play())
    return Loss(known_at, reads)


@pytest.mark.parametrize("share", [0.2, 0.55, 0.9])
@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize(
    "sizes", [{"a": 4, "b": 4, "c": 4}, {"a": 20, "b": 20, "c": 20}]
)
def test_any_daemons_may_be_lost_when_a_change_is_written(
    sizes: dict[str, int], seed: int, share: float
) -> None:
    """Those that are left know of it in time, with all readers lost."""
    names = [
        f"{domain}{n:05d}"
        for domain, size in sizes.items()
        for n in range(size)
    ]
    readers = {f"{domain}00000" for domain in sizes}
    others = sorted(set(names) - readers)
    count = int(share * len(names)) - len(readers)
    lost = readers | set(random.Random(seed).sample(others, max(0, count)))
    known_at = play_loss(lost, sizes).known_at
    late = {
        name: known_at.get(name)
        for name in names
        if name not in lost
        and known_at.get(name, math.inf) > _APPLY_S - _READ_S
    }
    assert not late


def test_a_source_that_responds_costs_no_read() -> None:
    """The store is not called more often on a calm day."""
    assert play_loss(set(), {"a": 5, "b": 4, "c": 4}).reads == 0
