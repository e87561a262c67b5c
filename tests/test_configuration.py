"""Configuration under failure, with real processes."""

import asyncio
import dataclasses
import signal

import msgspec
import pytest

from burdockdeal.audit import messages as audit
from burdockdeal.configuration import log
from burdockdeal.configuration import messages
from burdockdeal.configuration import resources
from burdockdeal.configuration import snapshots
from burdockdeal.core import codec
from burdockdeal.daemon import messages as daemon
from burdockdeal.settings import model
from burdockdeal_standins import fleet as standins
from burdockdeal_standins import relay
from burdockdeal_standins import store

IN_FORCE_S = 5.0


@dataclasses.dataclass(frozen=True)
class Answer:
    status: int
    raw: bytes
    etag: str

    def read(self, kind):
        return codec.decode(self.raw, kind)


async def ask(
    fleet: standins.Fleet,
    name: str,
    method: str,
    path: str,
    body: object = None,
    **given: str,
) -> Answer:
    headers = fleet.operator_headers | {
        key.replace("_", "-"): value for key, value in given.items()
    }
    async with fleet.session.request(
        method,
        fleet.nodes[name].operator_url + path,
        data=body if isinstance(body, bytes) else codec.encode(body),
        headers=headers,
    ) as answer:
        raw = await answer.read()
        return Answer(answer.status, raw, answer.headers.get("ETag", ""))


async def put(
    fleet: standins.Fleet,
    name: str,
    service: str,
    queue_limit: int = 1,
    **given: str,
) -> Answer:
    return await ask(
        fleet,
        name,
        "PUT",
        f"/v1/resources/Service/{service}",
        resources.Service(queue_limit=queue_limit),
        **given,
    )


async def get(fleet: standins.Fleet, name: str, service: str) -> Answer:
    return await ask(fleet, name, "GET", f"/v1/resources/Service/{service}")


async def read_status(fleet: standins.Fleet, name: str) -> daemon.Fleet:
    answer = await ask(fleet, name, "GET", "/v1/status")
    return answer.read(daemon.Fleet)


async def is_in_force(fleet: standins.Fleet, name: str, service: str) -> bool:
    answer = await get(fleet, name, service)
    return answer.status == 200 and all(
        condition.status
        for condition in answer.read(messages.Document).status.conditions
    )


async def wait_in_force(
    fleet: standins.Fleet, name: str, service: str, within_s: float = 20.0
) -> None:
    await fleet.wait_until(
        lambda: is_in_force(fleet, name, service),
        f"{service} in force everywhere, says {name}",
        within_s=within_s,
    )


async def read_changes(fleet: standins.Fleet) -> list[messages.Change]:
    listing = await fleet.store_entries(messages.LOG_PREFIX)
    return sorted(
        (codec.decode(e.value, messages.Change) for e in listing.entries),
        key=lambda change: change.revision,
    )


async def read_trail(
    fleet: standins.Fleet, name: str, query: str = ""
) -> audit.Trail:
    answer = await ask(fleet, name, "GET", f"/v1/audit{query}")
    assert answer.status == 200, answer.raw
    return answer.read(audit.Trail)


async def test_two_operators_at_once(small: standins.Fleet) -> None:
    assert (await put(small, "d1", "a", If_None_Match="*")).status == 200
    etag = (await get(small, "d1", "a")).etag
    await wait_in_force(small, "d2", "a")
    answers = await asyncio.gather(
        put(small, "d1", "a", 2, If_Match=etag),
        put(small, "d2", "a", 3, If_Match=etag),
    )
    assert sorted(answer.status for answer in answers) == [200, 409]
    winner = next(answer for answer in answers if answer.status == 200)
    loser = next(answer for answer in answers if answer.status == 409)
    generation = winner.read(messages.Document).generation
    assert loser.read(messages.Problem).generation == generation
    await wait_in_force(small, "d3", "a")
    for name in small.nodes:
        document = (await get(small, name, "a")).read(messages.Document)
        assert document.generation == generation
    outcomes = [
        record.outcome
        for record in (await read_trail(small, "d1")).records
        + (await read_trail(small, "d2")).records
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
    answer = await put(small, "d1", "a", If_None_Match="*")
    assert answer.status == 200, answer.raw
    await small.set_store_faults(store.Faults())
    await asyncio.sleep(faults.late_ms / 1000)
    await wait_in_force(small, "d3", "a")
    landed = [c for c in await read_changes(small) if c.name == "a"]
    assert [change.revision for change in landed] == [
        answer.read(messages.Document).generation
    ]


async def test_an_uncertain_write_can_be_looked_up(
    small: standins.Fleet,
) -> None:
    await small.set_store_faults(store.Faults(late_writes=500, late_ms=6000))
    answer = await put(small, "d1", "a", If_None_Match="*")
    assert answer.status == 504
    change_id = answer.read(messages.Problem).change_id
    await small.set_store_faults(store.Faults())
    await wait_in_force(small, "d3", "a")
    landed = [c for c in await read_changes(small) if c.name == "a"]
    assert [change.change_id for change in landed] == [change_id]
    trail = await read_trail(small, "d1", f"?change_id={change_id}")
    assert {r.outcome for r in trail.records} == {"ACCEPTED", "UNCERTAIN"}
    again = await put(small, "d2", "a", If_Match='"0"')
    assert again.status == 200, again.raw
    assert again.read(messages.Document).generation == landed[0].revision


async def test_an_outage_right_after_acceptance(
    small: standins.Fleet,
) -> None:
    answer = await put(small, "d2", "a", If_None_Match="*")
    await small.set_store_faults(store.Faults(outage=True))
    assert answer.status == 200
    await wait_in_force(small, "d1", "a")
    refused = await put(small, "d1", "b", If_None_Match="*")
    assert refused.status == 503
    held = await read_trail(small, "d1")
    assert not held.complete
    assert [r.outcome for r in held.records if r.resource == "Service/b"] == [
        "REFUSED"
    ]
    await small.set_store_faults(store.Faults())
    await small.wait_until(
        lambda: is_recorded(small, "d3", "Service/b", "REFUSED"),
        "the refusal is in the store",
    )


async def is_recorded(
    fleet: standins.Fleet, name: str, resource: str, outcome: str
) -> bool:
    query = f"?resource={resource}&outcome={outcome}"
    trail = await read_trail(fleet, name, query)
    return trail.complete and bool(trail.records)


async def test_a_paused_writer_wakes_up(small: standins.Fleet) -> None:
    await small.set_store_faults(store.Faults(delay_ms=150))
    paused = asyncio.create_task(put(small, "d1", "a", 2, If_None_Match="*"))
    await asyncio.sleep(0.4)
    small.nodes["d1"].daemon.send_signal(signal.SIGSTOP)
    await small.set_store_faults(store.Faults())
    other = await put(small, "d2", "a", 3, If_None_Match="*")
    await asyncio.sleep(1)
    small.nodes["d1"].daemon.send_signal(signal.SIGCONT)
    answers = [await paused, other]
    assert sorted(answer.status for answer in answers) == [200, 409]
    await wait_in_force(small, "d1", "a")
    landed = [c for c in await read_changes(small) if c.name == "a"]
    assert len(landed) == 1


async def test_a_paused_daemon_is_never_counted(
    small: standins.Fleet,
) -> None:
    small.nodes["d3"].daemon.send_signal(signal.SIGSTOP)
    assert (await put(small, "d1", "a", If_None_Match="*")).status == 200
    for _ in range(10):
        assert not await is_in_force(small, "d1", "a")
        # An answer serves all who ask within a fifth of a second.
        await asyncio.sleep(0.3)
        domains = (await read_status(small, "d1")).domains
        lost = next(d for d in domains if d.failure_domain == "sealand")
        assert lost.unreached == 1
    small.nodes["d3"].daemon.send_signal(signal.SIGCONT)
    await wait_in_force(small, "d1", "a")
    document = (await get(small, "d3", "a")).read(messages.Document)
    assert document.generation


async def test_all_daemons_replaced_one_after_another(
    small: standins.Fleet,
) -> None:
    assert (await put(small, "d1", "a", If_None_Match="*")).status == 200
    assert (await put(small, "d1", "a", 2, If_None_Match="*")).status == 409
    await small.wait_until(
        lambda: is_recorded(small, "d1", "Service/a", "SUPERSEDED"),
        "the refusal is in the store",
    )
    revision = (await read_status(small, "d1")).revision
    for old in ("d1", "d2", "d3"):
        place = small.nodes[old].place
        new = dataclasses.replace(place, name=f"{old}-new", service="")
        await small.add(new)
        node = small.nodes.pop(old)
        node.daemon.send_signal(signal.SIGTERM)
        await node.daemon.wait()
        await small.wait_until(
            lambda name=new.name: holds(small, name, revision),
            f"{new.name} holds revision {revision}",
        )
    document = (await get(small, "d3-new", "a")).read(messages.Document)
    assert msgspec.json.decode(document.spec)["queue_limit"] == 1
    trail = await read_trail(small, "d2-new")
    found = [r.outcome for r in trail.records if r.resource == "Service/a"]
    assert found == ["ACCEPTED", "SUPERSEDED"]


async def holds(fleet: standins.Fleet, name: str, revision: int) -> bool:
    return (await read_status(fleet, name)).revision >= revision


async def test_a_newcomer_while_the_store_is_away(
    small: standins.Fleet,
) -> None:
    revision = (await read_status(small, "d1")).revision
    await small.set_store_faults(store.Faults(silent=True))
    known = small.nodes["d1"].settings.listen.peer
    await small.add(standins.Place("d4", "sealand"), peers=(known,))
    await small.wait_until(
        lambda: holds(small, "d4", revision), "d4 holds the configuration"
    )
    async with small.session.get(
        f"{small.nodes['d4'].operator_url}/readyz"
    ) as answer:
        assert answer.status == 200


async def test_watch_waits_for_what_comes(small: standins.Fleet) -> None:
    revision = (await read_status(small, "d3")).revision
    watching = asyncio.create_task(
        ask(small, "d3", "GET", f"/v1/watch?after={revision}&wait_s=20")
    )
    await asyncio.sleep(0.2)
    assert not watching.done()
    await put(small, "d1", "a", If_None_Match="*")
    watched = (await watching).read(messages.Watched)
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
    await fleet.add(standins.Place("d1", "shotton"))
    path = f"/v1/resources/{path}"
    answer = await ask(fleet, "d1", "PUT", path, body, If_None_Match="*")
    assert answer.status == status, answer.raw
    faults = answer.read(messages.Problem).faults
    assert any(field in fault for fault in faults), faults


async def test_etags_and_delete(fleet: standins.Fleet) -> None:
    await fleet.add(standins.Place("d1", "shotton"))
    first = await put(fleet, "d1", "a", If_None_Match="*")
    assert (await put(fleet, "d1", "a", 2)).status == 409
    assert (await put(fleet, "d1", "a", 2, If_Match="x")).status == 422
    assert (await put(fleet, "d1", "a", 1)).etag == first.etag
    second = await put(fleet, "d1", "a", 2, If_Match=first.etag)
    assert second.status == 200
    assert second.etag != first.etag
    path = "/v1/resources/Service/a"
    stale = await ask(fleet, "d1", "DELETE", path, If_Match=first.etag)
    assert stale.status == 409
    bare = await ask(fleet, "d1", "DELETE", path)
    assert bare.status == 409
    gone = await ask(fleet, "d1", "DELETE", path, If_Match=second.etag)
    assert gone.status == 200
    assert (await get(fleet, "d1", "a")).status == 404
    again = await ask(fleet, "d1", "DELETE", path, If_Match=second.etag)
    assert again.status == 404


async def add_domain(fleet: standins.Fleet, number: int, domain: str) -> None:
    """Start a daemon in a failure domain that can be cut off."""
    host = f"127.0.{number}.1"
    listen = model.Listen(
        *(model.Address(host, standins.free_port(host)) for _ in range(4))
    )
    name = f"d{number}"
    link = await fleet.add_domain_relay(
        f"127.0.{number}.9", {name: listen.peer}
    )
    LINKS[name] = link
    await fleet.add(
        standins.Place(name, domain),
        listen=listen,
        advertise=link.addresses[name],
    )


LINKS: dict[str, standins.Relay] = {}


async def cut(names: list[str], *, is_cut: bool) -> None:
    """Cut daemons off from all that are not in their domain, or heal."""
    for name in names:
        link = LINKS[name]
        await link.behave(relay.Behaviour(cut=is_cut, near=link.near))


async def test_a_domain_cut_and_healed(fleet: standins.Fleet) -> None:
    for number, domain in enumerate(["shotton", "queensferry", "sealand"], 1):
        await add_domain(fleet, number, domain)
    await fleet.wait_ready(0)
    assert (await put(fleet, "d1", "a", If_None_Match="*")).status == 200
    await wait_in_force(fleet, "d1", "a")
    # Links pass none on, so that the domains are cut from each other; the
    # store is cut as well, or else it would carry the change over.
    await cut(["d1", "d2", "d3"], is_cut=True)
    first = (await get(fleet, "d1", "a")).etag
    changed = await put(fleet, "d1", "a", 2, If_Match=first)
    assert changed.status == 200
    await fleet.set_store_faults(store.Faults(outage=True))
    for _ in range(10):
        assert not await is_in_force(fleet, "d1", "a")
        await asyncio.sleep(0.5)
    generation = changed.read(messages.Document).generation
    await cut(["d1", "d2", "d3"], is_cut=False)
    await wait_in_force(fleet, "d1", "a")
    for name in ("d2", "d3"):
        document = (await get(fleet, name, "a")).read(messages.Document)
        assert document.generation == generation


async def test_the_log_is_compacted_and_a_newcomer_follows(
    fleet: standins.Fleet,
) -> None:
    await fleet.add(standins.Place("d1", "shotton"))
    last = snapshots.PERIOD_CHANGES + 50
    etag = '"0"'
    for number in range(1, last + 1):
        answer = await put(fleet, "d1", "a", number, If_Match=etag)
        assert answer.status == 200, answer.raw
        etag = answer.etag
    await fleet.wait_until(
        lambda: has_snapshot(fleet), "a snapshot", within_s=40
    )
    # From the store, with no peer to ask.
    node = fleet.nodes.pop("d1")
    node.daemon.send_signal(signal.SIGTERM)
    await node.daemon.wait()
    await fleet.add(standins.Place("d2", "shotton"))
    await fleet.wait_until(lambda: holds(fleet, "d2", last), "d2 holds all")
    # From a peer that began with a snapshot, with no store to ask.
    await fleet.set_store_faults(store.Faults(outage=True))
    known = fleet.nodes["d2"].settings.listen.peer
    await fleet.add(standins.Place("d3", "sealand"), peers=(known,))
    await fleet.wait_until(lambda: holds(fleet, "d3", last), "d3 holds all")
    document = (await get(fleet, "d3", "a")).read(messages.Document)
    assert msgspec.json.decode(document.spec)["queue_limit"] == last


async def has_snapshot(fleet: standins.Fleet) -> bool:
    listing = await fleet.store_entries(messages.MANIFEST_KEY)
    return bool(listing.entries)


async def test_only_relays_call_the_store(fleet: standins.Fleet) -> None:
    names = [f"d{number}" for number in range(1, 7)]
    await fleet.add_all(standins.Place(name, "shotton") for name in names)
    assert (await put(fleet, "d1", "a", If_None_Match="*")).status == 200
    await fleet.wait_ready(1)
    await asyncio.sleep(3)
    before = {name: await count_calls(fleet, name) for name in names}
    await asyncio.sleep(6)
    calls = {
        name: await count_calls(fleet, name) - before[name] for name in names
    }
    assert all(calls[name] == 0 for name in names[2:]), calls
    assert all(calls[name] > 0 for name in names[:2]), calls


async def count_calls(fleet: standins.Fleet, name: str) -> int:
    return (await read_status(fleet, name)).store_calls


async def test_a_flood_of_refusals_is_batched(small: standins.Fleet) -> None:
    before = await small.store_counts()
    path = "/v1/resources/Gadget/a"
    for _ in range(300):
        assert (await ask(small, "d1", "PUT", path, {})).status == 422
    counts = await small.store_counts()
    assert counts.writes - before.writes < 10
    found: list[audit.Record] = []
    query = "?resource=Gadget/a&limit=70"
    while True:
        trail = await read_trail(small, "d1", query)
        assert trail.complete
        found = [*trail.records, *found]
        if not trail.older:
            break
        query = f"?resource=Gadget/a&limit=70&cursor={trail.older}"
    assert len(found) == 300
    assert len({record.change_id for record in found}) == 300
    assert {record.outcome for record in found} == {"REFUSED"}
    bad = await ask(small, "d1", "GET", "/v1/audit?limit=0&cursor=x")
    assert bad.status == 422
    assert len(bad.read(messages.Problem).faults) == 2


async def test_a_change_that_cannot_be_read_is_not_asked_for_in_a_loop(
    small: standins.Fleet,
) -> None:
    revision = (await read_status(small, "d1")).revision
    change = messages.Change(
        revision=revision + 1,
        change_id="of-a-newer-release",
        operator="tests",
        at_ms=0,
        action=messages.Action.PUT,
        kind="Novelty",
        name="a",
        previous_generation=0,
        spec=msgspec.Raw(b"{}"),
    )
    url = f"http://127.0.0.1:{small.store_port}/v1/kv/"
    async with small.session.put(
        url + log.log_key(revision + 1) + "?version=0",
        data=codec.encode(change),
    ) as answer:
        assert answer.status == 200
    before = await small.store_counts()
    await asyncio.sleep(4)
    after = await small.store_counts()
    assert after.watches - before.watches < 15
    for name in small.nodes:
        assert (await read_status(small, name)).revision == revision
        assert "change_unreadable" in small.log(name)
