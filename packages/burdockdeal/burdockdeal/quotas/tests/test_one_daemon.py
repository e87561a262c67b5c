"""What one lender and one entry do with credit."""

import asyncio
import dataclasses

import pytest

from burdockdeal.core import call
from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.membership import messages as membership
from burdockdeal.quotas import fleet_view
from burdockdeal.quotas import messages
from burdockdeal.quotas import ring
from burdockdeal.quotas.tests import quota_fleet


@pytest.mark.parametrize(
    ("rate", "burst", "offered", "expected"),
    [
        (0.0, 0.0, 40.0, (360, 440)),
        (0.0, 5.0, 40.0, (360, 440)),
        (1e-9, 0.0, 40.0, (0, 0)),
        (1e-9, 1e9, 40.0, (0, 0)),
        (1e9, 0.0, 40.0, (1, 440)),
        (1e9, 1e9, 40.0, (360, 440)),
        (10.0, 0.0, 40.0, (80, 101)),
        (10.0, 0.5, 40.0, (80, 101)),
        (0.5, 3.0, 40.0, (4, 8)),
    ],
)
def test_odd_quotas_neither_fail_nor_refuse_all(
    rate: float, burst: float, offered: float, expected: tuple[int, int]
) -> None:
    """A bucket that holds less than one credit would never lend."""

    async def play() -> None:
        quota = dataclasses.replace(
            quota_fleet.QUOTA, requests_per_s=rate, burst=burst
        )
        fleet = quota_fleet.Fleet(1, quota)
        await asyncio.sleep(4.0)
        await fleet.offer(offered, 10.0)
        least, most = expected
        assert least <= len(fleet.runs) <= most
        for _, error in fleet.refusals:
            assert error.reason is verdict.Reason.QUOTA_EXCEEDED
            assert 0 < error.retry_after_s <= 86_400

    quota_fleet.play(play)


@pytest.mark.parametrize("size", [1, 3])
def test_the_credit_of_requests_that_did_not_run_is_given_back(
    size: int,
) -> None:
    """Refusals by full instances would use up the quota."""

    async def play() -> None:
        fleet = quota_fleet.Fleet(size)
        await asyncio.sleep(5.0)
        busy = errors.NotRunError(verdict.Reason.BUSY)
        await fleet.offer(100.0, 10.0, outcome=busy)
        assert len(fleet.refusals) <= 0.02 * fleet.offered
        before = fleet.clock()
        await fleet.offer(200.0, 0.4)
        ran = sum(at < before + 0.4 for at in fleet.runs)
        assert ran >= 0.8 * quota_fleet.QUOTA.burst

    quota_fleet.play(play)


def test_a_request_that_may_have_run_keeps_its_credit() -> None:
    async def play() -> None:
        fleet = quota_fleet.Fleet(1)
        await asyncio.sleep(5.0)
        lost = errors.MayHaveRunError(verdict.Reason.TIMED_OUT)
        lent = 0
        for _ in range(100):
            try:
                await fleet.nodes[0].request(lost)
            except errors.MayHaveRunError:
                lent += 1
        assert lent == quota_fleet.QUOTA.burst

    quota_fleet.play(play)


def test_a_refused_entry_asks_again_when_it_was_told_to() -> None:
    async def play() -> None:
        quota = dataclasses.replace(
            quota_fleet.QUOTA, requests_per_s=0.5, burst=1.0
        )
        fleet = quota_fleet.Fleet(3, quota)
        entry = next(n for n in fleet.nodes if n is not fleet.find_lender())
        await asyncio.sleep(4.0)
        await entry.request()
        await entry.request()
        ((_, error),) = fleet.refusals
        asked = fleet.questions.total()
        await entry.request()
        assert fleet.questions.total() == asked
        await asyncio.sleep(error.retry_after_s)
        await entry.request()
        assert len(fleet.runs) == 2

    quota_fleet.play(play)


def test_a_raised_limit_applies_to_an_entry_that_refuses() -> None:
    """It was told by the old limit to refuse for seconds."""

    async def play() -> None:
        quota = dataclasses.replace(
            quota_fleet.QUOTA, requests_per_s=0.1, burst=1.0
        )
        fleet = quota_fleet.Fleet(1, quota)
        await asyncio.sleep(15.0)
        for _ in range(2):
            await fleet.nodes[0].request()
        assert len(fleet.refusals) == 1
        fleet.workspaces[quota_fleet.WORKSPACE] = quota_fleet.QUOTA
        await fleet.nodes[0].request()
        await asyncio.sleep(0.1)
        await fleet.nodes[0].request()
        assert len(fleet.runs) >= 2

    quota_fleet.play(play)


def test_a_lender_that_becomes_first_again_begins_with_an_empty_bucket() -> (
    None
):
    """The daemon that was first in between may have lent the burst."""

    async def play() -> None:
        fleet = quota_fleet.Fleet(1)
        own = fleet.nodes[0]
        await asyncio.sleep(12.0)
        ask = messages.CreditRequest(quota_fleet.WORKSPACE, 1)
        assert (await own.quotas.lender.answer(ask)).granted == 1
        added = (
            quota_fleet.make_member(number, "b") for number in range(1, 99)
        )
        first = next(
            member
            for member in added
            if ring.HashRing([own.member.daemon, member.daemon]).find_first(
                quota_fleet.WORKSPACE
            )
            == member.daemon
        )
        own.roster.merge_members([first])
        reply = await own.quotas.lender.answer(ask)
        assert reply.lender == first.daemon
        own.roster.mark_health(first.daemon, membership.Health.LEFT)
        many = dataclasses.replace(ask, wanted=50)
        assert (await own.quotas.lender.answer(many)).granted == 0

    quota_fleet.play(play)


def test_requests_that_wait_share_one_question() -> None:
    async def play() -> None:
        fleet = quota_fleet.Fleet(3)
        entry = next(n for n in fleet.nodes if n is not fleet.find_lender())
        await asyncio.sleep(4.0)
        waiting = [asyncio.create_task(entry.request()) for _ in range(20)]
        await asyncio.sleep(0)
        waiting[0].cancel()
        await asyncio.wait(waiting)
        assert len(fleet.runs) == 19
        assert fleet.questions[entry.member.daemon] == 1

    quota_fleet.play(play)


def test_the_wait_for_credit_ends_at_the_deadline() -> None:
    async def play() -> None:
        fleet = quota_fleet.Fleet(3)
        lender = fleet.find_lender()
        lender.running.clear()
        entry = next(n for n in fleet.nodes if n is not lender)
        inbound = call.Call(
            "id",
            "s",
            "r",
            fleet.clock() + 0.1,
            workspace=quota_fleet.WORKSPACE,
        )
        with pytest.raises(errors.NotRunError) as raised:
            async with entry.quotas.charge(inbound):
                pass
        assert raised.value.reason is verdict.Reason.DEADLINE_PASSED
        assert fleet.clock() <= inbound.deadline + 0.01

    quota_fleet.play(play)


def test_a_lender_that_was_paused_begins_with_an_empty_bucket() -> None:
    """Another daemon may have lent in its place meanwhile."""

    async def play() -> None:
        fleet = quota_fleet.Fleet(1)
        node = fleet.nodes[0]
        await asyncio.sleep(6.0)
        await node.request()
        ask = messages.CreditRequest(quota_fleet.WORKSPACE, 30)
        assert (await node.quotas.lender.answer(ask)).granted == 30
        node.running.clear()
        await asyncio.sleep(3.0)
        assert (await node.quotas.lender.answer(ask)).granted == 0

    quota_fleet.play(play)


def test_a_return_that_was_not_answered_is_not_sent_again() -> None:
    """The lender may have taken it; it would be lent twice."""

    async def play() -> None:
        fleet = quota_fleet.Fleet(3)
        lender = fleet.find_lender()
        entry = next(n for n in fleet.nodes if n is not lender)
        await asyncio.sleep(4.0)
        await entry.request(errors.NotRunError(verdict.Reason.BUSY))
        lender.running.clear()
        await asyncio.sleep(1.0)
        assert fleet.questions[entry.member.daemon] == 2

    quota_fleet.play(play)


def test_calls_without_a_workspace_are_not_charged() -> None:
    async def play() -> None:
        fleet = quota_fleet.Fleet(1)
        for workspace in ("", "unknown"):
            inbound = call.Call("id", "s", "r", 0.0, workspace=workspace)
            async with fleet.nodes[0].quotas.charge(inbound):
                pass

    quota_fleet.play(play)


def test_dead_daemons_reduce_the_rate_for_a_while() -> None:
    """They may be lending on the other side of a network partition."""

    async def play() -> None:
        fleet = quota_fleet.Fleet(6)
        view = fleet_view.FleetView(fleet.nodes[0].roster, fleet.clock)
        share = view.compute_alive_share
        assert share() == 1.0
        fleet.claim(fleet.nodes[1], membership.Health.DEAD)
        fleet.claim(fleet.nodes[2], membership.Health.LEFT)
        assert share() == 4 / 5
        await asyncio.sleep(31.0)
        assert share() == 1.0

    quota_fleet.play(play)


def test_a_change_of_the_ring_moves_only_the_neighbour_s_workspaces() -> None:
    names = [f"d{number}" for number in range(200)]
    keys = [f"workspace-{number}" for number in range(500)]
    changed = ring.HashRing(names)
    before = {key: changed.find_first(key) for key in keys}
    successor = next(
        name for name in changed.walk(names[7]) if name != names[7]
    )
    changed.discard(names[7])
    for key in keys:
        moved = successor if before[key] == names[7] else before[key]
        assert changed.find_first(key) == moved
    changed.add(names[7])
    changed.add(names[7])
    assert len(changed) == 200
    assert {key: changed.find_first(key) for key in keys} == before
