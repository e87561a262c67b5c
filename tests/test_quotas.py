"""Quotas of workspaces, through daemons as on the users' platform."""

import asyncio
from collections import abc

import pytest_asyncio

from burdockdeal.settings import fleet_terms
from burdockdeal_standins import fleet as standins
from burdockdeal_standins import platform_fleet

_BURST = 10
_LIMITED = {
    "name": "limited",
    "apiKeys": ["key-1"],
    "ratePerS": 2,
    "burst": _BURST,
}
_FREE = {"name": "free", "apiKeys": ["key-2"]}


@pytest_asyncio.fixture
async def platform(
    fleet: standins.Fleet,
) -> abc.AsyncIterator[platform_fleet.PlatformFleet]:
    async with platform_fleet.PlatformFleet(fleet) as running:
        running.tenants = (_LIMITED, _FREE)
        running.quotas = fleet_terms.QuotaTerms(5.0, 0.1, 20.0)
        await running.configure(1, allowAnonymous=True)
        for name, domain in (("a1", "a"), ("b1", "b"), ("c1", "c")):
            await running.add(name, domain)
            await running.send_heartbeat(name, 1)
        for name in running.places:
            await running.wait_until_served(name)
        yield running


async def test_the_daemons_together_keep_a_quota(
    platform: platform_fleet.PlatformFleet,
) -> None:
    """Each daemon alone would run the whole quota, three times in all."""
    loop = asyncio.get_running_loop()
    first_at = loop.time()
    outcomes = []
    headers = {"Authorization": "Bearer key-1"}
    for number in range(120):
        name = ("a1", "b1", "c1")[number % 3]
        outcomes.append(await platform.ask(name, f"q-{number}", **headers))
        await asyncio.sleep(0.02)
    elapsed_s = loop.time() - first_at
    statuses = [status for status, _ in outcomes]
    assert set(statuses) == {200, 429}
    ran = [
        run
        for place in platform.places.values()
        for run in place.worker.runs
        if run.attempt_id.startswith("q-")
    ]
    # A refusal says that the request did not run.
    assert len(ran) == statuses.count(200)
    # A bucket that began before the first request holds the burst.
    assert len(ran) <= _BURST + 2 * elapsed_s + 1
    assert len(ran) >= 2

    free = [
        (await platform.ask("b1", f"f-{number}", Authorization="Bearer key-2"))
        for number in range(30)
    ]
    anonymous = [await platform.ask("c1", f"n-{n}") for n in range(30)]
    assert {status for status, _ in (*free, *anonymous)} == {200}
    logs = "".join(map(platform.fleet.read_log, platform.places))
    assert "event=quota_lending_began workspace=limited" in logs
    assert "event=quota_refused workspace=limited" in logs
    assert "reason=QUOTA_EXCEEDED" in logs
