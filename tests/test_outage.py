"""A long outage of the store: requests are served, changes are refused."""

import pytest

from burdockdeal_standins import fleet as standins
from burdockdeal_standins import store

_REQUESTS = 40


async def issue_key(fleet: standins.Fleet, node: standins.Node) -> str:
    url = f"{node.caller_url}/burdockdeal/v1/keys?service=bookings"
    async with fleet.session.post(url) as answer:
        assert answer.status == 200, await answer.text()
        return (await answer.json())["key"]


async def book(fleet: standins.Fleet, node: standins.Node, key: str) -> str:
    async with fleet.session.post(
        f"{node.caller_url}/bookings",
        data=b"two rims",
        headers={"Idempotency-Key": key},
    ) as answer:
        return answer.headers["Burdockdeal-Verdict"]


async def declare(fleet: standins.Fleet, node: standins.Node) -> int:
    async with fleet.session.put(
        f"{node.operator_url}/v1/resources/Service/orders",
        data=b"{}",
        headers=fleet.operator_headers,
    ) as answer:
        return answer.status


@pytest.mark.parametrize(
    "outage", [store.Faults(outage=True), store.Faults(silent=True)]
)
async def test_requests_continue_and_changes_are_refused(
    small_fleet: standins.Fleet, outage: store.Faults
) -> None:
    nodes = list(small_fleet.nodes.values())
    await small_fleet.set_store_faults(outage)
    for index in range(_REQUESTS):
        node = nodes[index % len(nodes)]
        async with small_fleet.session.get(
            f"{node.caller_url}/jobs/1"
        ) as answer:
            assert answer.status == 200, await answer.text()
    keys = [await issue_key(small_fleet, node) for node in nodes]
    for index, key in enumerate(keys):
        # Send the booking, then resend it through another daemon.
        for node in (nodes[index], nodes[index - 1]):
            assert await book(small_fleet, node, key) == "RAN"
    records = [
        await small_fleet.read_upstream_record(small_fleet.nodes[name])
        for name in ("d2", "d3")
    ]
    booked = [
        run
        for record in records
        for run in record.runs
        if run.path == "/bookings"
    ]
    assert len(booked) == len(keys)
    assert await declare(small_fleet, nodes[0]) in (503, 504)
    await small_fleet.set_store_faults(store.Faults())

    async def is_accepted() -> bool:
        return await declare(small_fleet, nodes[0]) == 200

    await small_fleet.wait_until(is_accepted, "a change is accepted again")
