"""At most once: bookings under kills, freezes, cuts and resends."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import signal

import aiohttp
import conftest
import pytest

from burdockdeal.bookings import messages as bookings
from burdockdeal.core import call
from burdockdeal.core import codec
from burdockdeal.serving import messages
from burdockdeal_standins import fleet as standins
from burdockdeal_standins import relay
from burdockdeal_standins import store
from burdockdeal_standins import upstream

CLEAR = relay.Behaviour()
SLOW = upstream.Behaviour(service_ms=800, jitter=0)


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """What a caller was told."""

    status: int
    verdict: str
    reason: str
    request_id: str
    text: str


async def book(
    fleet: standins.Fleet,
    node: str,
    key: str | None = None,
    *,
    body: bytes = b"two rims",
    path: str = "/bookings",
    deadline_ms: int = 10_000,
) -> Told:
    given = {"Burdockdeal-Deadline-Ms": str(deadline_ms)}
    if key is not None:
        given["Idempotency-Key"] = key
    async with fleet.session.post(
        fleet.nodes[node].caller_url + path, data=body, headers=given
    ) as response:
        return Told(
            response.status,
            response.headers["Burdockdeal-Verdict"],
            response.headers.get("Burdockdeal-Reason", ""),
            response.headers["Burdockdeal-Request-Id"],
            await response.text(),
        )


async def runs(fleet: standins.Fleet) -> list[upstream.Run]:
    """List the runs at all upstreams that still live."""
    found: list[upstream.Run] = []
    for node in fleet.nodes.values():
        if node.upstream is not None and node.upstream.returncode is None:
            found += (await fleet.read_upstream_record(node)).runs
    return found


async def issue(fleet: standins.Fleet, node: str) -> str:
    url = f"{fleet.nodes[node].caller_url}/burdockdeal/v1/keys"
    async with fleet.session.post(f"{url}?service=bookings") as response:
        assert response.status == 200, await response.text()
        return (await response.json())["key"]


async def slow_down(
    fleet: standins.Fleet, behaviour: upstream.Behaviour = SLOW
) -> None:
    for name in ("d2", "d3"):
        await fleet.set_upstream_behaviour(fleet.nodes[name], behaviour)


async def find_runner(fleet: standins.Fleet) -> standins.Node:
    """Wait for the first run and return where it is."""
    where: list[standins.Node] = []

    async def has_run() -> bool:
        for node in fleet.nodes.values():
            if node.upstream and (await fleet.read_upstream_record(node)).runs:
                where.append(node)
        return bool(where)

    await fleet.wait_until(has_run, "a run")
    return where[0]


@pytest.mark.parametrize("issued", [False, True])
async def test_a_resend_gets_the_first_answer(
    small: standins.Fleet, issued: bool
) -> None:
    await slow_down(small)
    key = await issue(small, "d3") if issued else "workshop-7"
    # Through three daemons at once, then once more through each.
    first = await asyncio.gather(
        *(book(small, name, key) for name in ("d1", "d2", "d3"))
    )
    again = [await book(small, name, key) for name in ("d1", "d2", "d3")]
    assert {told.verdict for told in (*first, *again)} == {"RAN"}
    assert {told.text for told in first} == {"bookings read 8 bytes\n"}
    assert len(await runs(small)) == 1
    other = await book(small, "d1", key, body=b"three rims")
    assert (other.status, other.verdict) == (422, "NOT_RUN")
    assert other.reason == "KEY_CONFLICT"
    assert len(await runs(small)) == 1


async def test_store_down(small: standins.Fleet) -> None:
    key = await issue(small, "d1")
    await small.set_store_faults(store.Faults(outage=True))
    for _ in range(2):
        own = await book(small, "d1", "own-1")
        # Whether an earlier send with the key ran can't be told.
        assert own.verdict == "MAY_HAVE_RUN"
        assert own.reason == "CLAIM_UNAVAILABLE"
    assert not await runs(small)
    assert (await book(small, "d1", key)).verdict == "RAN"
    assert (await book(small, "d1")).verdict == "RAN"
    await small.set_store_faults(store.Faults())
    # A daemon leaves a store alone for a second after it was away.
    await asyncio.sleep(1.2)
    told = [await book(small, name, "own-1") for name in ("d1", "d2")]
    assert [one.verdict for one in told] == ["RAN", "RAN"]
    assert len(await runs(small)) == 3


async def test_a_claim_whose_answer_is_lost(small: standins.Fleet) -> None:
    await book(small, "d2", "warm")
    await book(small, "d3", "warm-too")
    await small.set_store_faults(store.Faults(lose_answers=1))
    told = [await book(small, name, "own-2") for name in ("d1", "d2", "d3")]
    assert {one.verdict for one in told} == {"RAN"}
    assert len(await runs(small)) == 3


@pytest.mark.parametrize("issued", [False, True])
async def test_entry_killed_in_mid_request(
    small: standins.Fleet, issued: bool
) -> None:
    await slow_down(small)
    key = await issue(small, "d1") if issued else "own-3"
    sent = asyncio.create_task(book(small, "d1", key))
    await find_runner(small)
    small.nodes["d1"].daemon.kill()
    with pytest.raises(aiohttp.ClientError):
        await sent
    told = [await book(small, name, key) for name in ("d2", "d3")]
    assert {one.verdict for one in told} == {"RAN"}
    assert {one.text for one in told} == {"bookings read 8 bytes\n"}
    assert len(await runs(small)) == 1


@pytest.mark.parametrize("kind", ["none", "own", "issued"])
async def test_owner_killed_in_mid_request(
    small: standins.Fleet, kind: str
) -> None:
    await slow_down(small)
    keys = {"none": None, "own": "own-4", "issued": await issue(small, "d1")}
    key = keys[kind]
    sent = asyncio.create_task(book(small, "d1", key))
    node = await find_runner(small)
    node.daemon.kill()
    first = await sent
    assert first.verdict == "MAY_HAVE_RUN"
    assert [run.request_id for run in await runs(small)] == [first.request_id]
    if key is None:
        return
    await node.daemon.wait()
    await small.start_daemon(node.settings)
    other = "d2" if node.spec.name == "d3" else "d3"
    for _ in range(3):
        told = await book(small, other, key)
        assert told.verdict == "MAY_HAVE_RUN"
    assert len(await runs(small)) == 1


async def test_upstream_replaced_at_the_same_address(
    small: standins.Fleet,
) -> None:
    await slow_down(small)
    sent = asyncio.create_task(book(small, "d1", "own-5"))
    node = await find_runner(small)
    assert node.upstream is not None
    node.upstream.kill()
    await node.upstream.wait()
    assert (await sent).verdict == "MAY_HAVE_RUN"
    replaced = await small.start_upstream(
        node.spec, node.settings, node.upstream_port
    )
    small.nodes[node.spec.name] = dataclasses.replace(node, upstream=replaced)
    await small.wait_for_port(node.upstream_port, replaced)
    for name in ("d1", "d2", "d3"):
        told = await book(small, name, "own-5")
        assert (told.verdict, told.reason) == ("MAY_HAVE_RUN", "ANSWER_GONE")
    assert not await runs(small)


async def test_a_large_answer_is_not_kept(small: standins.Fleet) -> None:
    await slow_down(small, upstream.Behaviour(answer_bytes=500_000))
    first = await book(small, "d1", "own-6")
    assert len(first.text) > 500_000
    again = await book(small, "d2", "own-6")
    assert (again.verdict, again.reason) == ("RAN", "ANSWER_GONE")
    assert len(await runs(small)) == 1


async def test_a_large_body_with_a_key(small: standins.Fleet) -> None:
    for name in ("d1", "d2"):
        told = await book(small, name, "own-7", body=b"x" * 300_000)
        assert told.text == "bookings read 300000 bytes\n"
    assert len(await runs(small)) == 1


@contextlib.contextmanager
def frozen(node: standins.Node) -> abc.Iterator[None]:
    """Freeze a daemon while the block runs."""
    node.daemon.send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        node.daemon.send_signal(signal.SIGCONT)


async def settle(fleet: standins.Fleet, node: standins.Node) -> None:
    """Wait until a daemon that was frozen has worked off its buffers."""
    for _ in range(3):
        async with fleet.session.get(f"{node.operator_url}/healthz") as told:
            assert told.status == 200
        await asyncio.sleep(0.1)


@pytest.mark.parametrize("keyed", [False, True])
async def test_a_frozen_owner_starts_nothing_that_is_late(
    small: standins.Fleet, keyed: bool
) -> None:
    """Fails if the time left counts from when a request is read."""
    await book(small, "d1")
    before = len(await runs(small))
    nodes = [small.nodes[name] for name in ("d2", "d3")]
    key = await issue(small, "d1") if keyed else None
    with contextlib.ExitStack() as stack:
        for node in nodes:
            stack.enter_context(frozen(node))
        told = await book(small, "d1", key, deadline_ms=400)
    assert told.verdict in ("MAY_HAVE_RUN", "NOT_RUN")
    for node in nodes:
        await settle(small, node)
    assert len(await runs(small)) == before


Send = abc.Callable[[], abc.Awaitable[messages.OwnerReport]]


async def become_entry(
    fleet: standins.Fleet, node: standins.Node, *, remaining_ms: float
) -> Send:
    """Make a function that sends a booking to an owner as an entry does."""
    given = {"Burdockdeal-Peer-Token": standins.PEER_TOKEN}
    peer = f"http://{node.settings.listen.peer}"
    async with fleet.session.post(
        f"{peer}/v1/peer/clock", headers=given
    ) as response:
        clock = codec.decode(await response.read(), bookings.Clock)
    async with fleet.session.get(
        f"{node.operator_url}/v1/status", headers=fleet.operator_headers
    ) as response:
        members = (await response.json())["members"]
    own = next(m for m in members if m["daemon"] == node.spec.name)
    envelope = call.Envelope(
        request_id=f"raw-{remaining_ms}",
        service="bookings",
        rank="booking",
        remaining_ms=remaining_ms,
        depth=0,
        retry_tokens=0,
        idempotent=False,
        idempotency_key=None,
        instance=node.spec.name,
        incarnation=own["upstream_incarnation"],
        attempt=1,
        daemon_incarnation=clock.incarnation,
        sent_at=clock.now,
    )
    given["Burdockdeal-Envelope"] = codec.encode(envelope).decode()

    async def send() -> messages.OwnerReport:
        async with fleet.session.post(
            f"{peer}/bookings", data=b"two rims", headers=given
        ) as response:
            raw = response.headers["Burdockdeal-Report"]
            return codec.decode(raw, messages.OwnerReport)

    return send


async def test_late_work_in_a_frozen_owners_buffer_never_starts(
    small: standins.Fleet,
) -> None:
    """Fails if the time left counts from when a request is read.

    The entry is as good as frozen too: it keeps its connection open.
    """
    node = small.nodes["d2"]
    timely = await become_entry(small, node, remaining_ms=9000)
    assert (await timely()).verdict == "RAN"
    # The same send again, as if its bytes had come twice.
    assert (await timely()).reason == "FENCED"
    send = await become_entry(small, node, remaining_ms=400)
    before = len(await runs(small))
    with frozen(node):
        late = asyncio.create_task(send())
        await asyncio.sleep(0.8)
    told = await late
    assert (told.verdict, told.reason) == ("NOT_RUN", "DEADLINE_PASSED")
    assert len(await runs(small)) == before


async def test_an_owner_that_stops_starts_nothing(
    small: standins.Fleet,
) -> None:
    node = small.nodes["d2"]
    send = await become_entry(small, node, remaining_ms=9000)
    before = len(await runs(small))
    node.daemon.terminate()
    await small.wait_until(
        lambda: is_leaving(small, node), "the stop has begun"
    )
    told = await send()
    assert (told.verdict, told.reason) == ("NOT_RUN", "DRAINING")
    assert len(await runs(small)) == before


async def is_leaving(fleet: standins.Fleet, node: standins.Node) -> bool:
    return "phase=LEAVING" in fleet.read_log(node.spec.name)


async def test_a_lost_send_is_fenced_and_taken_elsewhere(
    fleet: standins.Fleet,
) -> None:
    """The link to the owner breaks while its daemon is frozen."""
    place = standins.NodeSpec("d2", "queensferry", "bookings")
    listen = fleet.make_settings(place).listen
    link = await fleet.add_relay(str(listen.peer))
    reached = dataclasses.replace(listen.peer, port=link.port)
    await fleet.add_node(standins.NodeSpec("d1", "shotton"))
    node = await fleet.add_node(place, listen=listen, advertise=reached)
    await conftest.declare_basic_resources(fleet, fleet.nodes["d1"])
    await book(fleet, "d1")
    before = len(await runs(fleet))
    with frozen(node):
        sent = asyncio.create_task(book(fleet, "d1"))
        await asyncio.sleep(0.3)
        await link.set_behaviour(relay.Behaviour(cut=True))
        await link.set_behaviour(CLEAR)
        await asyncio.sleep(0.2)
    told = await sent
    await settle(fleet, node)
    ran = [run.request_id for run in await runs(fleet)]
    if told.verdict == "NOT_RUN":
        assert told.request_id not in ran
    assert len(ran) <= before + 1
    assert "event=send_judged" in fleet.read_log("d1")


async def test_a_caller_gone_loses_no_booking(small: standins.Fleet) -> None:
    await slow_down(small)
    listen = small.nodes["d1"].settings.listen.caller
    _, writer = await asyncio.open_connection(listen.host, listen.port)
    writer.write(
        b"POST /bookings HTTP/1.1\r\nHost: h\r\nIdempotency-Key: own-8\r\n"
        b"Content-Length: 8\r\n\r\ntwo rims"
    )
    await find_runner(small)
    writer.transport.abort()
    told = await book(small, "d2", "own-8")
    assert told.text == "bookings read 8 bytes\n"
    assert len(await runs(small)) == 1
