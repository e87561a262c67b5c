"""The quota of a workspace over 60 daemons, through their failures."""

import asyncio
import dataclasses

import pytest

from burdockdeal.membership import messages as membership
from burdockdeal.quotas import decisions
from burdockdeal.quotas import lending
from burdockdeal.quotas.tests import quota_fleet

#: Requests a second, a multiple of what the quota allows.
_HOT = 3 * quota_fleet.QUOTA.requests_per_s

#: A quota by which a burst that is lent twice exceeds the bound.
_BURSTY = dataclasses.replace(
    quota_fleet.QUOTA, requests_per_s=20.0, burst=100.0
)


def test_a_hot_workspace_runs_its_quota_and_asks_seldom() -> None:
    """Entries that ask for each request would overload the lender."""

    async def play() -> None:
        fleet = quota_fleet.Fleet()
        await fleet.offer(7.5 * fleet.quota.requests_per_s, 15.0)
        fleet.assert_within_bound()
        assert fleet.count_between(5.0, 15.0) >= 0.9 * 500
        assert max(fleet.questions.values()) <= 15 * 4

    quota_fleet.play(play)


@pytest.mark.parametrize(
    ("rate", "burst", "load", "entries"),
    [(50, 50, 42, 60), (10, 20, 8, 60), (50, 50, 42, 1), (2, 5, 1, 3)],
)
def test_a_calm_workspace_is_not_refused(
    rate: float, burst: float, load: float, entries: int
) -> None:
    """Credit that entries let expire would be refused to others."""

    async def play() -> None:
        quota = dataclasses.replace(
            quota_fleet.QUOTA, requests_per_s=rate, burst=burst
        )
        fleet = quota_fleet.Fleet(quota=quota)
        await asyncio.sleep(2.0 + burst / rate)
        await fleet.offer(load, 20.0, fleet.nodes[:entries])
        assert len(fleet.runs) == fleet.offered

    quota_fleet.play(play)


def test_a_killed_lender_is_replaced() -> None:
    """The substitute must not lend the burst that was lent just before."""

    async def play() -> None:
        fleet = quota_fleet.Fleet(quota=_BURSTY)
        await fleet.offer(2.0, 9.0)
        await fleet.offer(_HOT, 0.5)
        await fleet.kill([fleet.find_lender()])
        await fleet.offer(_HOT, 15.0)
        fleet.assert_within_bound()
        # The domain of the lender says at once that it is down.
        assert fleet.count_between(13.0, 18.0) >= 0.8 * 100
        assert fleet.count_between(21.0, 26.0) >= 0.8 * 100

    quota_fleet.play(play)


def test_a_lender_that_restarts_is_replaced_until_it_lends() -> None:
    """It answers that it lends nothing yet, while entries have no credit."""

    async def play() -> None:
        fleet = quota_fleet.Fleet()
        await fleet.offer(_HOT, 4.0)
        await fleet.restart(fleet.find_lender())
        await fleet.offer(_HOT, 5.0)
        fleet.assert_within_bound()
        assert fleet.count_between(5.0, 10.0) >= 0.7 * 250

    quota_fleet.play(play)


@pytest.mark.parametrize("stall_s", [0.5, 2.0, 6.0])
def test_a_lender_that_resumes_does_not_lend_the_same_again(
    stall_s: float,
) -> None:
    """Its bucket would have filled while another daemon lent."""

    async def play() -> None:
        fleet = quota_fleet.Fleet()
        lender = fleet.find_lender()
        for _ in range(3):
            await fleet.offer(_HOT, 4.0)
            lender.running.clear()
            await fleet.offer(_HOT, stall_s)
            lender.running.set()
        await fleet.offer(_HOT, 4.0)
        fleet.assert_within_bound()
        assert len(fleet.runs) >= 0.6 * 50 * (fleet.clock() - 102.0)

    quota_fleet.play(play)


def test_two_domains_that_cannot_reach_each_other_share_one_lender() -> None:
    """A third domain reaches both, so membership suspects nobody."""

    async def play() -> None:
        fleet = quota_fleet.Fleet()
        await fleet.offer(_HOT, 5.0)
        lender = fleet.find_lender()
        own = lender.member.failure_domain
        other = next(each for each in "abc" if each != own)
        fleet.cuts = {frozenset({own, other})}
        apart = [n for n in fleet.nodes if n.member.failure_domain == other]
        await fleet.offer(_HOT, 10.0)
        fleet.assert_within_bound()
        before = len(fleet.runs)
        await fleet.offer(20.0, 5.0, apart)
        assert len(fleet.runs) - before >= 0.8 * 100
        assert {n for n in fleet.nodes if n.quotas.lender.lent} == {lender}

    quota_fleet.play(play)


@pytest.mark.parametrize("holds_lender", [True, False])
def test_the_sides_of_a_partition_together_keep_to_the_rate(
    holds_lender: bool,
) -> None:
    """Each side takes all daemons to be alive in the first seconds."""

    async def play() -> None:
        fleet = quota_fleet.Fleet()
        await fleet.offer(_HOT, 5.0)
        own = fleet.find_lender().member.failure_domain
        fleet.isolate(
            own if holds_lender else next(e for e in "abc" if e != own)
        )
        await fleet.offer(_HOT, 25.0)
        fleet.assert_within_bound()
        assert fleet.count_between(21.0, 31.0) >= 0.7 * 500
        fleet.cuts.clear()
        for node in fleet.nodes:
            fleet.claim(node, membership.Health.ALIVE)
        healed_at = fleet.clock() - 100.0
        await fleet.offer(_HOT, 15.0)
        fleet.assert_within_bound()
        assert fleet.count_between(healed_at + 4, healed_at + 14) >= 0.8 * 500

    quota_fleet.play(play)


def test_a_domain_that_is_killed_is_replaced_within_seconds() -> None:
    """It can't be told from a partition at first."""

    async def play() -> None:
        fleet = quota_fleet.Fleet()
        await fleet.offer(_HOT, 5.0)
        own = fleet.find_lender().member.failure_domain
        await fleet.kill(
            [n for n in fleet.nodes if n.member.failure_domain == own]
        )
        await fleet.offer(_HOT, 20.0)
        fleet.assert_within_bound()
        # Two thirds of the daemons are alive.
        assert fleet.count_between(15.0, 25.0) >= 0.55 * 500

    quota_fleet.play(play)


@pytest.mark.parametrize("spread_s", [0.2, 3.0])
def test_daemons_that_all_start_do_not_all_lend(spread_s: float) -> None:
    """While rosters fill, several daemons take themselves to be first."""

    async def play() -> None:
        fleet = quota_fleet.Fleet(knows_all=False)
        for node in fleet.nodes:
            for other in fleet.nodes:
                fleet.after(
                    0.3 + fleet.rng.random() * spread_s,
                    node.roster.merge_members,
                    [other.member],
                )
        await fleet.offer(_HOT, 15.0)
        fleet.assert_within_bound()
        assert fleet.count_between(7.0, 15.0) >= 0.8 * 400

    quota_fleet.play(play)


def test_a_daemon_that_becomes_first_does_not_lend_the_burst_again() -> None:
    async def play() -> None:
        fleet = quota_fleet.Fleet(quota=_BURSTY)
        lenders = 0
        await fleet.offer(2.0, 9.0)
        await fleet.offer(_HOT, 0.5)
        for number in range(100, 2000):
            added = quota_fleet.make_member(number, "abc"[number % 3])
            node = fleet.add(added)
            if fleet.find_lender() is not node:
                fleet.nodes.remove(node)
                continue
            lenders += 1
            node.roster.merge_members([n.member for n in fleet.nodes])
            for each in fleet.nodes:
                delay_s = fleet.rng.random() * 0.8
                fleet.after(delay_s, each.roster.merge_members, [added])
            await fleet.offer(_HOT, 4.0)
        assert lenders >= 2
        fleet.assert_within_bound()
        assert len(fleet.runs) >= 0.5 * 20 * (fleet.clock() - 102.0)

    quota_fleet.play(play)


def test_entries_without_a_lender_stay_within_the_slack() -> None:
    """One request a second for each entry would be 300 in a window."""

    async def play() -> None:
        fleet = quota_fleet.Fleet()
        for node in fleet.nodes:
            node.quotas.lender.answer = _answer_nothing
        await fleet.offer(_HOT, 60.0)
        assert 0 < fleet.count_window() <= quota_fleet.TERMS.slack

    async def _answer_nothing(request):
        return lending.UNAVAILABLE

    quota_fleet.play(play)


def test_a_changed_limit_applies_within_the_life_of_credit() -> None:
    async def play() -> None:
        fleet = quota_fleet.Fleet()
        await fleet.offer(_HOT, 5.0)
        lowered = dataclasses.replace(
            fleet.quota, requests_per_s=5.0, burst=5.0
        )
        changed_at = fleet.clock() - 100.0
        for node in fleet.nodes:
            node.workspaces = {quota_fleet.WORKSPACE: lowered}
        await fleet.offer(_HOT, 9.0)
        assert (
            fleet.count_between(changed_at + decisions.TTL_S, changed_at + 8.5)
            <= 5 + 5 * 8 + 5
        )
        for node in fleet.nodes:
            node.workspaces = {
                quota_fleet.WORKSPACE: dataclasses.replace(
                    lowered, requests_per_s=0.0
                )
            }
        refused, before = len(fleet.refusals), len(fleet.runs)
        await fleet.offer(_HOT, 2.0)
        assert len(fleet.refusals) == refused
        assert len(fleet.runs) - before >= 1.8 * _HOT

    quota_fleet.play(play)


def test_requests_wait_for_a_lender_after_a_restart_of_the_fleet() -> None:
    """A refusal would cost each caller a connection and one of its retries."""

    async def play() -> None:
        fleet = quota_fleet.Fleet(knows_all=False)
        for node in fleet.nodes:
            for other in fleet.nodes:
                delay_s = fleet.rng.random() * 0.2
                fleet.after(delay_s, node.roster.merge_members, [other.member])
        await fleet.offer(quota_fleet.QUOTA.requests_per_s / 4, 4.0)
        assert len(fleet.refusals) <= 0.15 * fleet.offered
        fleet.assert_within_bound()

    quota_fleet.play(play)
