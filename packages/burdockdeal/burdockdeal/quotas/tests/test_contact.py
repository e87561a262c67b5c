"""The share of the fleet that a lender reaches.

A share that was sampled once must not stay after the cut has ended, nor be the
share of some of the daemons only.
"""

import asyncio
import collections
import types

import pytest

from burdockdeal.membership import roster
from burdockdeal.quotas import contact
from burdockdeal.quotas import fleet_view
from burdockdeal.quotas import messages
from burdockdeal.quotas.tests import quota_fleet

_SIZE = 20
_TICK_S = 0.1


class _Routes:
    """Answers probes, but for the daemons that are cut off."""

    def __init__(self) -> None:
        self.cut_off: frozenset[str] = frozenset()
        self.probed: collections.Counter[str] = collections.Counter()

    async def send(self, daemon, request, timeout_s):
        self.probed[daemon] += 1
        if daemon in self.cut_off:
            await asyncio.sleep(timeout_s)
            return None
        return messages.CreditReply()


def _build() -> tuple[contact.Contact, _Routes, list[str]]:
    members = [quota_fleet.make_member(n, "abc"[n % 3]) for n in range(_SIZE)]
    local_roster = roster.Roster(members[0])
    local_roster.merge_members(members)

    def clock() -> float:
        return asyncio.get_running_loop().time()

    view = fleet_view.FleetView(local_roster, clock)
    routes = _Routes()
    names = [member.daemon for member in members[1:]]
    return contact.Contact(view, routes, clock), routes, names


async def _probe(probed: contact.Contact, seconds: float) -> None:
    for _ in range(round(seconds / _TICK_S)):
        probed.probe("north")
        await asyncio.sleep(_TICK_S)


def test_each_daemon_is_probed_alike_and_seldom() -> None:
    async def play() -> None:
        probed, routes, names = _build()
        await _probe(probed, 600.0)
        assert sum(routes.probed.values()) <= 600 / 0.3
        assert set(routes.probed) == set(names)
        mean = sum(routes.probed.values()) / len(names)
        assert max(routes.probed.values()) <= 1.5 * mean
        assert probed.share == 1.0

    quota_fleet.play(play)


@pytest.mark.parametrize("step", [1, 2, 4])
def test_the_share_is_that_of_the_daemons_reached(step: int) -> None:
    """Whichever names they have, and one again soon after the cut."""

    async def play() -> None:
        probed, routes, names = _build()
        await _probe(probed, 3.0)
        routes.cut_off = frozenset(names[::step])
        await _probe(probed, 3.0)
        shares = []
        for _ in range(200):
            await _probe(probed, 0.4)
            shares.append(probed.share)
        reached = 1 - len(routes.cut_off) / len(names)
        assert sum(shares) / len(shares) == pytest.approx(reached, abs=0.1)
        routes.cut_off = frozenset()
        await _probe(probed, 3.0)
        assert probed.share == 1.0

    quota_fleet.play(play)


def test_a_lender_without_others_reaches_all() -> None:
    async def play() -> None:
        view = types.SimpleNamespace(
            own="a", ring=quota_fleet.ring.HashRing(["a"])
        )
        view.roster = types.SimpleNamespace(find=lambda name: None)
        probed = contact.Contact(view, _Routes(), lambda: 1.0)
        await _probe(probed, 1.0)
        assert probed.share == 1.0

    quota_fleet.play(play)
