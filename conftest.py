"""Fixtures for tests with real processes."""

from collections import abc

import pytest_asyncio

from burdockdeal.configuration import resources
from burdockdeal_standins import fleet as standins


@pytest_asyncio.fixture
async def fleet() -> abc.AsyncIterator[standins.Fleet]:
    async with standins.run_fleet() as running:
        yield running
        # pytest shows this beside a test that failed.
        print(running.all_logs())


@pytest_asyncio.fixture
async def small(fleet: standins.Fleet) -> standins.Fleet:
    """Three daemons in three failure domains, two with an upstream."""
    await fleet.add_all(
        [
            standins.Place("d1", "shotton"),
            standins.Place("d2", "queensferry", "bookings"),
            standins.Place("d3", "sealand", "bookings"),
        ]
    )
    await declare_basics(fleet, fleet.nodes["d1"])
    return fleet


async def declare_basics(fleet: standins.Fleet, node: standins.Node) -> None:
    """Declare a service, two ranks and two rules."""
    await fleet.declare(node, "Service", "bookings", resources.Service())
    await fleet.declare(
        node, "Rank", "tracking", resources.Rank(0, 100.0, 50.0, 0.2)
    )
    await fleet.declare(
        node, "Rank", "booking", resources.Rank(1, 50.0, 500.0, 0.2)
    )
    await fleet.declare(
        node,
        "Rule",
        "reads",
        resources.Rule(
            service="bookings",
            rank="tracking",
            match=resources.Match("/", ("GET", "HEAD")),
        ),
    )
    revision = await fleet.declare(
        node,
        "Rule",
        "writes",
        resources.Rule(
            service="bookings",
            rank="booking",
            match=resources.Match("/", ("POST", "PUT")),
        ),
    )
    await fleet.wait_ready(revision)
