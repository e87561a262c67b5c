"""Names of services, tenants, domains and regions, at every daemon of a fleet.

A version with a service named `orders_2` was put in force by the daemons that
read the store, and never by those that get copies from them.
"""

import asyncio
from collections import abc
import contextlib

import pytest

from burdockdeal.settings import fleet_terms
from burdockdeal_standins import fleet as standins
from burdockdeal_standins import platform_fleet

#: Seconds within which a version is in force at all daemons.
_APPLY_S = 2.0

_NAMES = [
    "orders_2",
    "Orders.V2",
    "two words",
    "-",
    "s\u00fcd/\u4e2d",
    "x" * 200,
]
_KEY = "key-\u00e9"


@contextlib.asynccontextmanager
async def run_platform(
    fleet: standins.Fleet, name: str
) -> abc.AsyncIterator[platform_fleet.PlatformFleet]:
    """Run five daemons in two domains, of which three read the store.

    Their service, one of their failure domains and a tenant have the name.
    """
    async with platform_fleet.PlatformFleet(fleet) as platform:
        platform.service = name
        platform.quotas = fleet_terms.QuotaTerms(5.0, 0.1, 20.0)
        platform.tenants = (
            {"name": name, "apiKeys": [_KEY], "ratePerS": 100, "burst": 50},
        )
        await platform.configure(1, name=name, allowAnonymous=True)
        for daemon in ("a1", "a2", "a3", "b1", "b2"):
            domain = name if daemon.startswith("a") else "b"
            await platform.add(daemon, domain)
            await platform.send_heartbeat(daemon, 1)
        for daemon in platform.places:
            await platform.wait_until_served(daemon)
        yield platform


@pytest.mark.parametrize("name", _NAMES)
async def test_a_name_is_the_same_at_every_daemon(
    fleet: standins.Fleet, name: str
) -> None:
    """Each daemon routes to the service, for the tenant, with a new rank."""
    async with run_platform(fleet, name) as platform:
        await platform.configure(
            2,
            name=name,
            targetLatencyMs=100.4,
            allowedRegions=["local", name],
            trafficSplit=[{"service": name, "weight": 1}],
            service="",
        )
        await asyncio.sleep(_APPLY_S)
        for daemon in platform.places:
            status, _ = await platform.ask(
                daemon, f"new-{daemon}", Authorization=f"Bearer {_KEY}"
            )
            assert status == 200
            status, _ = await platform.ask(daemon, f"none-{daemon}")
            assert status == 401
        runs = [
            run
            for place in platform.places.values()
            for run in place.worker.runs
            if run.attempt_id.startswith("new-")
        ]
        assert len(runs) == len(platform.places)
        sent = name.encode().decode("latin-1")
        for run in runs:
            assert run.head.values("Tenant") == [sent]
            assert run.head.values("Caller-Service") == [sent]


async def test_a_version_that_daemons_can_not_copy_is_refused_by_all(
    fleet: standins.Fleet,
) -> None:
    """The log says which field is why, and the next version applies."""
    async with run_platform(fleet, "orders") as platform:
        await platform.configure(
            2, trafficSplit=[{"service": "x" * 201, "weight": 1}], service=""
        )
        await asyncio.sleep(_APPLY_S)
        for daemon in platform.places:
            assert (await platform.ask(daemon, f"old-{daemon}"))[0] == 200
        logs = "".join(map(fleet.read_log, platform.places))
        (line, *_) = (
            line for line in logs.splitlines() if "_unreadable" in line
        )
        assert "routes[0].trafficSplit[0].service" in line
        await platform.configure(3)
        await asyncio.sleep(_APPLY_S)
        for daemon in platform.places:
            assert (await platform.ask(daemon, f"late-{daemon}"))[0] == 401
