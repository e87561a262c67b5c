"""The platform's store is away for long: what goes on and what does not."""

import pytest

from burdockdeal_standins import fleet as standins
from burdockdeal_standins import store

_ROUNDS = 40


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
    "away", [store.Faults(outage=True), store.Faults(silent=True)]
)
async def test_requests_go_on_and_changes_wait(
    small: standins.Fleet, away: store.Faults
) -> None:
    nodes = list(small.nodes.values())
    await small.set_store_faults(away)
    for turn in range(_ROUNDS):
        node = nodes[turn % len(nodes)]
        async with small.session.get(f"{node.caller_url}/jobs/1") as answer:
            assert answer.status == 200, await answer.text()
    keys = [await issue_key(small, node) for node in nodes]
    for turn, key in enumerate(keys):
        # Sent again through another daemon.
        for node in (nodes[turn], nodes[turn - 1]):
            assert await book(small, node, key) == "RAN"
    records = [
        await small.read_upstream_record(small.nodes[name])
        for name in ("d2", "d3")
    ]
    booked = [
        run
        for record in records
        for run in record.runs
        if run.path == "/bookings"
    ]
    assert len(booked) == len(keys)
    assert await declare(small, nodes[0]) in (503, 504)
    await small.set_store_faults(store.Faults())

    async def accepted() -> bool:
        return await declare(small, nodes[0]) == 200

    await small.wait_until(accepted, "a change is accepted again")
