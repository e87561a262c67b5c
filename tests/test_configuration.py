"""Changes of the configuration under failure, with real processes."""

import asyncio
import signal

import pytest

from burdockdeal.audit import messages as audit
from burdockdeal.configuration import messages
from burdockdeal_standins import fleet as standins
from burdockdeal_standins import operator_api
from burdockdeal_standins import store


async def test_two_operators_at_once(small: standins.Fleet) -> None:
    assert (
        await operator_api.put_service(small, "d1", "a", If_None_Match="*")
    ).status == 200
    etag = (await operator_api.get_service(small, "d1", "a")).etag
    await operator_api.wait_in_force(small, "d2", "a")
    answers = await asyncio.gather(
        operator_api.put_service(small, "d1", "a", 2, If_Match=etag),
        operator_api.put_service(small, "d2", "a", 3, If_Match=etag),
    )
    assert sorted(answer.status for answer in answers) == [200, 409]
    winner = next(answer for answer in answers if answer.status == 200)
    loser = next(answer for answer in answers if answer.status == 409)
    generation = winner.decode(messages.Document).generation
    assert loser.decode(messages.Problem).generation == generation
    await operator_api.wait_in_force(small, "d3", "a")
    for name in small.nodes:
        document = (await operator_api.get_service(small, name, "a")).decode(
            messages.Document
        )
        assert document.generation == generation
    outcomes = [
        record.outcome
        for record in (
            await operator_api.read_audit_trail(small, "d1")
        ).records
        + (await operator_api.read_audit_trail(small, "d2")).records
        if record.resource == "Service/a"
    ]
    assert "SUPERSEDED" in outcomes


@pytest.mark.parametrize(
    "faults",
    [
        store.Faults(lose_answers=2),
        store.Faults(late_writes=2, late_ms=800),
        store.Faults(stale_reads=8),
        store.Faults(lose_answers=1, stale_reads=3),
    ],
    ids=["lost", "late", "stale", "lost and stale"],
)
async def test_a_write_of_unknown_fate_lands_once(
    small: standins.Fleet, faults: store.Faults
) -> None:
    await small.set_store_faults(faults)
    answer = await operator_api.put_service(
        small, "d1", "a", If_None_Match="*"
    )
    assert answer.status == 200, answer.raw
    await small.set_store_faults(store.Faults())
    await asyncio.sleep(faults.late_ms / 1000)
    await operator_api.wait_in_force(small, "d3", "a")
    landed = [
        c for c in await operator_api.read_changes(small) if c.name == "a"
    ]
    assert [change.revision for change in landed] == [
        answer.decode(messages.Document).generation
    ]


async def test_an_uncertain_write_can_be_looked_up(
    small: standins.Fleet,
) -> None:
    await small.set_store_faults(store.Faults(late_writes=500, late_ms=6000))
    answer = await operator_api.put_service(
        small, "d1", "a", If_None_Match="*"
    )
    assert answer.status == 504
    change_id = answer.decode(messages.Problem).change_id
    await small.set_store_faults(store.Faults())
    await operator_api.wait_in_force(small, "d3", "a")
    landed = [
        c for c in await operator_api.read_changes(small) if c.name == "a"
    ]
    assert [change.change_id for change in landed] == [change_id]
    trail = await operator_api.read_audit_trail(
        small, "d1", f"?change_id={change_id}"
    )
    assert {r.outcome for r in trail.records} == {"ACCEPTED", "UNCERTAIN"}
    again = await operator_api.put_service(small, "d2", "a", If_Match='"0"')
    assert again.status == 200, again.raw
    assert again.decode(messages.Document).generation == landed[0].revision


async def test_a_paused_writer_wakes_up(small: standins.Fleet) -> None:
    await small.set_store_faults(store.Faults(delay_ms=150))
    paused = asyncio.create_task(
        operator_api.put_service(small, "d1", "a", 2, If_None_Match="*")
    )
    await asyncio.sleep(0.4)
    small.nodes["d1"].daemon.send_signal(signal.SIGSTOP)
    await small.set_store_faults(store.Faults())
    other = await operator_api.put_service(
        small, "d2", "a", 3, If_None_Match="*"
    )
    await asyncio.sleep(1)
    small.nodes["d1"].daemon.send_signal(signal.SIGCONT)
    answers = [await paused, other]
    assert sorted(answer.status for answer in answers) == [200, 409]
    await operator_api.wait_in_force(small, "d1", "a")
    landed = [
        c for c in await operator_api.read_changes(small) if c.name == "a"
    ]
    assert len(landed) == 1


async def test_watch_waits_for_what_comes(small: standins.Fleet) -> None:
    revision = (await operator_api.read_status(small, "d3")).revision
    watching = asyncio.create_task(
        operator_api.request(
            small, "d3", "GET", f"/v1/watch?after={revision}&wait_s=20"
        )
    )
    await asyncio.sleep(0.2)
    assert not watching.done()
    await operator_api.put_service(small, "d1", "a", If_None_Match="*")
    watched = (await watching).decode(messages.WatchResponse)
    assert watched.complete
    assert watched.revision == revision + 1
    assert [change.name for change in watched.changes] == ["a"]


@pytest.mark.parametrize(
    ("path", "body", "status", "field"),
    [
        ("Service/a", b"{", 422, "not JSON"),
        ("Service/a", b"\xff", 422, "not JSON"),
        ("Service/a", b'{"queue_limit": 0}', 422, "spec.queue_limit"),
        ("Service/a", b'{"nonsense": 0}', 422, "spec.nonsense"),
        ("Service/A_b", b"{}", 422, "name"),
        ("Gadget/a", b"{}", 422, "kind"),
        ("Service/a", b" " * 70_000, 422, "65536 bytes"),
        ("Rule/a", b'{"service": "x", "rank": "y"}', 422, "spec.service"),
    ],
)
async def test_faults_are_named(
    fleet: standins.Fleet, path: str, body: bytes, status: int, field: str
) -> None:
    await fleet.add_node(standins.NodeSpec("d1", "shotton"))
    path = f"/v1/resources/{path}"
    answer = await operator_api.request(
        fleet, "d1", "PUT", path, body, If_None_Match="*"
    )
    assert answer.status == status, answer.raw
    faults = answer.decode(messages.Problem).faults
    assert any(field in fault for fault in faults), faults


async def test_etags_and_delete(fleet: standins.Fleet) -> None:
    await fleet.add_node(standins.NodeSpec("d1", "shotton"))
    first = await operator_api.put_service(fleet, "d1", "a", If_None_Match="*")
    assert (await operator_api.put_service(fleet, "d1", "a", 2)).status == 409
    assert (
        await operator_api.put_service(fleet, "d1", "a", 2, If_Match="x")
    ).status == 422
    assert (
        await operator_api.put_service(fleet, "d1", "a", 1)
    ).etag == first.etag
    second = await operator_api.put_service(
        fleet, "d1", "a", 2, If_Match=first.etag
    )
    assert second.status == 200
    assert second.etag != first.etag
    path = "/v1/resources/Service/a"
    stale = await operator_api.request(
        fleet, "d1", "DELETE", path, If_Match=first.etag
    )
    assert stale.status == 409
    bare = await operator_api.request(fleet, "d1", "DELETE", path)
    assert bare.status == 409
    gone = await operator_api.request(
        fleet, "d1", "DELETE", path, If_Match=second.etag
    )
    assert gone.status == 200
    assert (await operator_api.get_service(fleet, "d1", "a")).status == 404
    again = await operator_api.request(
        fleet, "d1", "DELETE", path, If_Match=second.etag
    )
    assert again.status == 404


async def test_a_flood_of_refusals_is_batched(small: standins.Fleet) -> None:
    before = await small.read_store_counts()
    path = "/v1/resources/Gadget/a"
    for _ in range(300):
        assert (
            await operator_api.request(small, "d1", "PUT", path, {})
        ).status == 422
    counts = await small.read_store_counts()
    assert counts.writes - before.writes < 10
    found: list[audit.Record] = []
    query = "?resource=Gadget/a&limit=70"
    while True:
        trail = await operator_api.read_audit_trail(small, "d1", query)
        assert trail.complete
        found = [*trail.records, *found]
        if not trail.older:
            break
        query = f"?resource=Gadget/a&limit=70&cursor={trail.older}"
    assert len(found) == 300
    assert len({record.change_id for record in found}) == 300
    assert {record.outcome for record in found} == {"REFUSED"}
    bad = await operator_api.request(
        small, "d1", "GET", "/v1/audit?limit=0&cursor=x"
    )
    assert bad.status == 422
    assert len(bad.decode(messages.Problem).faults) == 2
