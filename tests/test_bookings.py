"""At-most-once execution of bookings under crashes, pauses and resends."""

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
from burdockdeal_standins import fleet_relays
from burdockdeal_standins import relay
from burdockdeal_standins import store
from burdockdeal_standins import upstream

HEALTHY_LINK = relay.Behaviour()
SLOW_UPSTREAM = upstream.Behaviour(service_ms=800, jitter=0)


@dataclasses.dataclass(frozen=True, slots=True)
class BookingResponse:
    """The response that a caller received."""

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
) -> BookingResponse:
    headers = {"Burdockdeal-Deadline-Ms": str(deadline_ms)}
    if key is not None:
        headers["Idempotency-Key"] = key
    async with fleet.session.post(
        fleet.nodes[node].caller_url + path, data=body, headers=headers
    ) as response:
        return BookingResponse(
            response.status,
            response.headers["Burdockdeal-Verdict"],
            response.headers.get("Burdockdeal-Reason", ""),
            response.headers["Burdockdeal-Request-Id"],
            await response.text(),
        )


async def list_runs(fleet: standins.Fleet) -> list[upstream.Run]:
    """List the runs recorded by all upstreams that are still running."""
    found: list[upstream.Run] = []
    for node in fleet.nodes.values():
        if node.upstream is not None and node.upstream.returncode is None:
            found += (await fleet.read_upstream_record(node)).runs
    return found


async def issue_key(fleet: standins.Fleet, node: str) -> str:
    url = f"{fleet.nodes[node].caller_url}/burdockdeal/v1/keys"
    async with fleet.session.post(f"{url}?service=bookings") as response:
        assert response.status == 200, await response.text()
        return (await response.json())["key"]


async def set_behaviours(
    fleet: standins.Fleet, behaviour: upstream.Behaviour = SLOW_UPSTREAM
) -> None:
    for name in ("d2", "d3"):
        await fleet.set_upstream_behaviour(fleet.nodes[name], behaviour)


async def find_running_node(fleet: standins.Fleet) -> standins.Node:
    """Wait until a request runs and return the node whose upstream runs it."""
    found: list[standins.Node] = []

    async def has_run() -> bool:
        for node in fleet.nodes.values():
            if node.upstream and (await fleet.read_upstream_record(node)).runs:
                found.append(node)
        return bool(found)

    await fleet.wait_until(has_run, "a run")
    return found[0]


@pytest.mark.parametrize("issued", [False, True])
async def test_resend_returns_first_response(
    small_fleet: standins.Fleet, issued: bool
) -> None:
    await set_behaviours(small_fleet)
    key = await issue_key(small_fleet, "d3") if issued else "workshop-7"
    # Send through three daemons at once, then once more through each.
    first = await asyncio.gather(
        *(book(small_fleet, name, key) for name in ("d1", "d2", "d3"))
    )
    again = [await book(small_fleet, name, key) for name in ("d1", "d2", "d3")]
    assert {response.verdict for response in (*first, *again)} == {"RAN"}
    assert {response.text for response in first} == {"bookings read 8 bytes\n"}
    assert len(await list_runs(small_fleet)) == 1
    other = await book(small_fleet, "d1", key, body=b"three rims")
    assert (other.status, other.verdict) == (422, "NOT_RUN")
    assert other.reason == "KEY_CONFLICT"
    assert len(await list_runs(small_fleet)) == 1


async def test_store_outage(small_fleet: standins.Fleet) -> None:
    key = await issue_key(small_fleet, "d1")
    await small_fleet.set_store_faults(store.Faults(outage=True))
    for _ in range(2):
        own = await book(small_fleet, "d1", "own-1")
        # Without the store, it is unknown whether an earlier send ran.
        assert own.verdict == "MAY_HAVE_RUN"
        assert own.reason == "CLAIM_UNAVAILABLE"
    assert not await list_runs(small_fleet)
    assert (await book(small_fleet, "d1", key)).verdict == "RAN"
    assert (await book(small_fleet, "d1")).verdict == "RAN"
    await small_fleet.set_store_faults(store.Faults())
    # After failures a daemon makes no call to the store for a second.
    await asyncio.sleep(1.2)
    responses = [
        await book(small_fleet, name, "own-1") for name in ("d1", "d2")
    ]
    assert [response.verdict for response in responses] == ["RAN", "RAN"]
    assert len(await list_runs(small_fleet)) == 3


async def test_lost_store_response_to_claim(
    small_fleet: standins.Fleet,
) -> None:
    await book(small_fleet, "d2", "warm")
    await book(small_fleet, "d3", "warm-too")
    await small_fleet.set_store_faults(store.Faults(lose_answers=1))
    responses = [
        await book(small_fleet, name, "own-2") for name in ("d1", "d2", "d3")
    ]
    assert {response.verdict for response in responses} == {"RAN"}
    assert len(await list_runs(small_fleet)) == 3


@pytest.mark.parametrize("issued", [False, True])
async def test_entry_killed_during_request(
    small_fleet: standins.Fleet, issued: bool
) -> None:
    await set_behaviours(small_fleet)
    key = await issue_key(small_fleet, "d1") if issued else "own-3"
    sent = asyncio.create_task(book(small_fleet, "d1", key))
    await find_running_node(small_fleet)
    small_fleet.nodes["d1"].daemon.kill()
    with pytest.raises(aiohttp.ClientError):
        await sent
    responses = [await book(small_fleet, name, key) for name in ("d2", "d3")]
    assert {response.verdict for response in responses} == {"RAN"}
    assert {response.text for response in responses} == {
        "bookings read 8 bytes\n"
    }
    assert len(await list_runs(small_fleet)) == 1


@pytest.mark.parametrize("kind", ["none", "own", "issued"])
async def test_owner_killed_during_request(
    small_fleet: standins.Fleet, kind: str
) -> None:
    await set_behaviours(small_fleet)
    keys = {
        "none": None,
        "own": "own-4",
        "issued": await issue_key(small_fleet, "d1"),
    }
    key = keys[kind]
    sent = asyncio.create_task(book(small_fleet, "d1", key))
    node = await find_running_node(small_fleet)
    node.daemon.kill()
    first = await sent
    assert first.verdict == "MAY_HAVE_RUN"
    assert [run.request_id for run in await list_runs(small_fleet)] == [
        first.request_id
    ]
    if key is None:
        return
    await node.daemon.wait()
    await small_fleet.start_daemon(node.settings)
    other = "d2" if node.spec.name == "d3" else "d3"
    for _ in range(3):
        response = await book(small_fleet, other, key)
        assert response.verdict == "MAY_HAVE_RUN"
    assert len(await list_runs(small_fleet)) == 1


async def test_upstream_replaced_at_same_address(
    small_fleet: standins.Fleet,
) -> None:
    await set_behaviours(small_fleet)
    sent = asyncio.create_task(book(small_fleet, "d1", "own-5"))
    node = await find_running_node(small_fleet)
    assert node.upstream is not None
    node.upstream.kill()
    await node.upstream.wait()
    assert (await sent).verdict == "MAY_HAVE_RUN"
    replaced = await small_fleet.start_upstream(
        node.spec, node.settings, node.upstream_port
    )
    small_fleet.nodes[node.spec.name] = dataclasses.replace(
        node, upstream=replaced
    )
    await small_fleet.wait_for_port(node.upstream_port, replaced)
    for name in ("d1", "d2", "d3"):
        response = await book(small_fleet, name, "own-5")
        assert (response.verdict, response.reason) == (
            "MAY_HAVE_RUN",
            "ANSWER_GONE",
        )
    assert not await list_runs(small_fleet)


async def test_large_response_is_not_stored(
    small_fleet: standins.Fleet,
) -> None:
    await set_behaviours(small_fleet, upstream.Behaviour(answer_bytes=500_000))
    first = await book(small_fleet, "d1", "own-6")
    assert len(first.text) > 500_000
    again = await book(small_fleet, "d2", "own-6")
    assert (again.verdict, again.reason) == ("RAN", "ANSWER_GONE")
    assert len(await list_runs(small_fleet)) == 1


async def test_large_body_with_key(small_fleet: standins.Fleet) -> None:
    for name in ("d1", "d2"):
        response = await book(small_fleet, name, "own-7", body=b"x" * 300_000)
        assert response.text == "bookings read 300000 bytes\n"
    assert len(await list_runs(small_fleet)) == 1


@contextlib.contextmanager
def paused(node: standins.Node) -> abc.Iterator[None]:
    """Suspend a daemon with SIGSTOP while the block runs."""
    node.daemon.send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        node.daemon.send_signal(signal.SIGCONT)


async def wait_until_responsive(
    fleet: standins.Fleet, node: standins.Node
) -> None:
    """Wait until a resumed daemon has processed its buffered input."""
    for _ in range(3):
        async with fleet.session.get(
            f"{node.operator_url}/healthz"
        ) as response:
            assert response.status == 200
        await asyncio.sleep(0.1)


@pytest.mark.parametrize("keyed", [False, True])
async def test_paused_owner_starts_no_expired_request(
    small_fleet: standins.Fleet, keyed: bool
) -> None:
    """Fails if the remaining time counts from when a request is read.

    A paused owner reads a request only after it is resumed; by then the
    deadline has passed at the entry.
    """
    await book(small_fleet, "d1")
    before = len(await list_runs(small_fleet))
    nodes = [small_fleet.nodes[name] for name in ("d2", "d3")]
    key = await issue_key(small_fleet, "d1") if keyed else None
    with contextlib.ExitStack() as stack:
        for node in nodes:
            stack.enter_context(paused(node))
        response = await book(small_fleet, "d1", key, deadline_ms=400)
    assert response.verdict in ("MAY_HAVE_RUN", "NOT_RUN")
    for node in nodes:
        await wait_until_responsive(small_fleet, node)
    assert len(await list_runs(small_fleet)) == before


SendRequest = abc.Callable[[], abc.Awaitable[messages.OwnerReport]]


async def make_entry_sender(
    fleet: standins.Fleet, node: standins.Node, *, remaining_ms: float
) -> SendRequest:
    """Build a function that sends a booking to an owner as an entry does."""
    headers = {"Burdockdeal-Peer-Token": standins.PEER_TOKEN}
    peer = f"http://{node.settings.listen.peer}"
    async with fleet.session.post(
        f"{peer}/v1/peer/clock", headers=headers
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
    headers["Burdockdeal-Envelope"] = codec.encode_compact(envelope).decode()

    async def send() -> messages.OwnerReport:
        async with fleet.session.post(
            f"{peer}/bookings", data=b"two rims", headers=headers
        ) as response:
            raw = response.headers["Burdockdeal-Report"]
            return codec.decode_compact(raw, messages.OwnerReport)

    return send


async def test_expired_request_in_buffer_of_paused_owner_never_starts(
    small_fleet: standins.Fleet,
) -> None:
    """Fails if the remaining time counts from when a request is read.

    The sender neither times out nor closes its connection, as if the entry
    were paused too, so that only the owner's own check can reject the request.
    """
    node = small_fleet.nodes["d2"]
    send_in_time = await make_entry_sender(
        small_fleet, node, remaining_ms=9000
    )
    assert (await send_in_time()).verdict == "RAN"
    # Repeat the same send, as if its bytes had been duplicated.
    assert (await send_in_time()).reason == "FENCED"
    send = await make_entry_sender(small_fleet, node, remaining_ms=400)
    before = len(await list_runs(small_fleet))
    with paused(node):
        late = asyncio.create_task(send())
        await asyncio.sleep(0.8)
    response = await late
    assert (response.verdict, response.reason) == (
        "NOT_RUN",
        "DEADLINE_PASSED",
    )
    assert len(await list_runs(small_fleet)) == before


async def test_stopping_owner_starts_no_request(
    small_fleet: standins.Fleet,
) -> None:
    node = small_fleet.nodes["d2"]
    send = await make_entry_sender(small_fleet, node, remaining_ms=9000)
    before = len(await list_runs(small_fleet))
    node.daemon.terminate()
    await small_fleet.wait_until(
        lambda: is_stopping(small_fleet, node), "the daemon is stopping"
    )
    response = await send()
    assert (response.verdict, response.reason) == ("NOT_RUN", "DRAINING")
    assert len(await list_runs(small_fleet)) == before


async def is_stopping(fleet: standins.Fleet, node: standins.Node) -> bool:
    return "phase=LEAVING" in fleet.read_log(node.spec.name)


async def test_send_with_unknown_outcome_is_fenced_and_retried(
    fleet: standins.Fleet,
) -> None:
    """The link to the owner breaks while its daemon is paused."""
    place = standins.NodeSpec("d2", "queensferry", "bookings")
    listen = fleet.make_settings(place).listen
    link = await fleet_relays.add_relay(fleet, str(listen.peer))
    reached = dataclasses.replace(listen.peer, port=link.port)
    await fleet.add_node(standins.NodeSpec("d1", "shotton"))
    node = await fleet.add_node(place, listen=listen, advertise=reached)
    await conftest.declare_basic_resources(fleet, fleet.nodes["d1"])
    await book(fleet, "d1")
    before = len(await list_runs(fleet))
    with paused(node):
        sent = asyncio.create_task(book(fleet, "d1"))
        await asyncio.sleep(0.3)
        await link.set_behaviour(relay.Behaviour(cut=True))
        await link.set_behaviour(HEALTHY_LINK)
        await asyncio.sleep(0.2)
    response = await sent
    await wait_until_responsive(fleet, node)
    ran = [run.request_id for run in await list_runs(fleet)]
    if response.verdict == "NOT_RUN":
        assert response.request_id not in ran
    assert len(ran) <= before + 1
    assert "event=send_judged" in fleet.read_log("d1")


async def test_caller_disconnect_loses_no_booking(
    small_fleet: standins.Fleet,
) -> None:
    await set_behaviours(small_fleet)
    listen = small_fleet.nodes["d1"].settings.listen.caller
    _, writer = await asyncio.open_connection(listen.host, listen.port)
    writer.write(
        b"POST /bookings HTTP/1.1\r\nHost: h\r\nIdempotency-Key: own-8\r\n"
        b"Content-Length: 8\r\n\r\ntwo rims"
    )
    await find_running_node(small_fleet)
    writer.transport.abort()
    response = await book(small_fleet, "d2", "own-8")
    assert response.text == "bookings read 8 bytes\n"
    assert len(await list_runs(small_fleet)) == 1
