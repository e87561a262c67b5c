"""Draining, crashing and replaced upstreams, and stopping daemons."""

import asyncio
import dataclasses
import signal

import aiohttp
import conftest
import pytest

from burdockdeal.announce import messages
from burdockdeal.core import codec
from burdockdeal_standins import fleet as standins
from burdockdeal_standins import fleet_relays
from burdockdeal_standins import ports
from burdockdeal_standins import relay
from burdockdeal_standins import upstream

#: Seconds after which a draining upstream must get no new requests.
DRAIN_TIMEOUT_S = 3.0


async def get(fleet: standins.Fleet, node: str) -> tuple[int, str]:
    url = f"{fleet.nodes[node].caller_url}/jobs/1"
    async with fleet.session.get(url) as response:
        await response.read()
        return response.status, response.headers["Burdockdeal-Verdict"]


async def count_runs(fleet: standins.Fleet, node: str) -> int:
    return len((await fleet.read_upstream_record(fleet.nodes[node])).runs)


async def check_all_succeed(fleet: standins.Fleet, times: int = 20) -> None:
    results = [await get(fleet, "d1") for _ in range(times)]
    assert set(results) == {(200, "RAN")}


async def check_gets_no_requests(fleet: standins.Fleet, node: str) -> None:
    """Check that an upstream gets no new request while the others serve."""
    before = await count_runs(fleet, node)
    await check_all_succeed(fleet)
    assert await count_runs(fleet, node) == before


async def test_lost_drain_notice(small_fleet: standins.Fleet) -> None:
    await check_all_succeed(small_fleet)
    # Only the heartbeats report the drain.
    await small_fleet.set_upstream_behaviour(
        small_fleet.nodes["d2"], upstream.Behaviour(draining=True)
    )
    await asyncio.sleep(DRAIN_TIMEOUT_S)
    await check_gets_no_requests(small_fleet, "d2")


async def test_drain_notice(small_fleet: standins.Fleet) -> None:
    node = small_fleet.nodes["d2"]
    # Heartbeats stop, so that only the notice reports the drain.
    await small_fleet.set_upstream_behaviour(
        node, upstream.Behaviour(beating=False)
    )
    status = await read_member(small_fleet, "d2")
    drain = messages.Drain(status["upstream_incarnation"])
    url = f"http://{node.settings.listen.upstream}/v1/drain"
    async with small_fleet.session.post(
        url, data=codec.encode(drain)
    ) as response:
        assert response.status == 200
    await check_gets_no_requests(small_fleet, "d2")


async def read_member(fleet: standins.Fleet, daemon: str) -> dict:
    async with fleet.session.get(
        f"{fleet.nodes['d1'].operator_url}/v1/status",
        headers=fleet.operator_headers,
    ) as response:
        members = (await response.json())["members"]
    return next(m for m in members if m["daemon"] == daemon)


async def test_missing_heartbeats(small_fleet: standins.Fleet) -> None:
    await small_fleet.set_upstream_behaviour(
        small_fleet.nodes["d2"], upstream.Behaviour(beating=False)
    )
    await asyncio.sleep(DRAIN_TIMEOUT_S)
    await check_gets_no_requests(small_fleet, "d2")
    await small_fleet.set_upstream_behaviour(
        small_fleet.nodes["d2"], upstream.Behaviour()
    )

    async def is_back() -> bool:
        await get(small_fleet, "d1")
        return await count_runs(small_fleet, "d2") > before

    before = await count_runs(small_fleet, "d2")
    await small_fleet.wait_until(is_back, "d2 gets work again")


async def test_upstream_leaves_while_its_daemon_is_paused(
    small_fleet: standins.Fleet,
) -> None:
    """Fails if a lease counts from when a heartbeat is read.

    A paused daemon reads its buffered heartbeats only after it is resumed;
    by then the upstream may have left.
    """
    node = small_fleet.nodes["d2"]
    await check_all_succeed(small_fleet)
    node.daemon.send_signal(signal.SIGSTOP)
    # A last heartbeat stays in the buffers of the paused daemon, and no
    # heartbeat reports the drain.
    await asyncio.sleep(1.2)
    await small_fleet.set_upstream_behaviour(
        node, upstream.Behaviour(beating=False)
    )
    await asyncio.sleep(DRAIN_TIMEOUT_S)
    before = await count_runs(small_fleet, "d2")
    requests = [asyncio.create_task(get(small_fleet, "d1")) for _ in range(12)]
    await asyncio.sleep(0.3)
    node.daemon.send_signal(signal.SIGCONT)
    results = await asyncio.gather(*requests)
    assert {verdict for _, verdict in results} <= {"RAN", "NOT_RUN"}
    await check_all_succeed(small_fleet)
    assert await count_runs(small_fleet, "d2") == before


async def test_upstream_leaves_while_its_domain_is_partitioned(
    fleet: standins.Fleet,
) -> None:
    place = standins.NodeSpec("d2", "queensferry", "bookings")
    listen = fleet.make_settings(place).listen
    link = await fleet_relays.add_relay(fleet, str(listen.peer))
    reached = dataclasses.replace(listen.peer, port=link.port)
    await fleet.add_node(standins.NodeSpec("d1", "shotton"))
    await fleet.add_node(standins.NodeSpec("d3", "shotton", "bookings"))
    node = await fleet.add_node(place, listen=listen, advertise=reached)
    await conftest.declare_basic_resources(fleet, fleet.nodes["d1"])
    await link.set_behaviour(relay.Behaviour(cut=True))
    # The drain can't reach the others, which may still list it as serving.
    await fleet.set_upstream_behaviour(node, upstream.Behaviour(draining=True))
    await asyncio.sleep(DRAIN_TIMEOUT_S)
    before = await count_runs(fleet, "d2")
    await check_all_succeed(fleet)
    await link.set_behaviour(relay.Behaviour())
    for _ in range(10):
        await check_all_succeed(fleet, 5)
        await asyncio.sleep(0.2)
    assert await count_runs(fleet, "d2") == before


async def test_dead_upstream_that_is_still_announced(
    small_fleet: standins.Fleet,
) -> None:
    node = small_fleet.nodes["d2"]
    incarnation = (await read_member(small_fleet, "d2"))[
        "upstream_incarnation"
    ]
    assert node.upstream is not None
    node.upstream.kill()
    await node.upstream.wait()
    announce = messages.Announce(
        "bookings", ports.HOST, node.upstream_port, incarnation
    )
    state = upstream.UpstreamState(announce, 1)
    announcing = asyncio.create_task(
        upstream.announce_forever(state, str(node.settings.listen.upstream))
    )
    try:
        await asyncio.sleep(DRAIN_TIMEOUT_S)
        await check_all_succeed(small_fleet, 60)
    finally:
        announcing.cancel()


async def test_new_incarnation_at_same_address(
    small_fleet: standins.Fleet,
) -> None:
    node = small_fleet.nodes["d2"]
    slow = upstream.Behaviour(service_ms=1500, jitter=0)
    for name in ("d2", "d3"):
        await small_fleet.set_upstream_behaviour(small_fleet.nodes[name], slow)
    requests = [asyncio.create_task(get(small_fleet, "d1")) for _ in range(4)]

    async def runs() -> bool:
        return await count_runs(small_fleet, "d2") > 0

    await small_fleet.wait_until(runs, "d2 runs something")
    incarnation = (await read_member(small_fleet, "d2"))[
        "upstream_incarnation"
    ]
    assert node.upstream is not None
    node.upstream.kill()
    await node.upstream.wait()
    replaced = await small_fleet.start_upstream(
        node.spec, node.settings, node.upstream_port
    )
    await small_fleet.wait_for_port(node.upstream_port, replaced)
    await asyncio.gather(*requests)

    async def serves() -> bool:
        member = await read_member(small_fleet, "d2")
        return (
            member["upstream_incarnation"] > incarnation
            and member["phase"] == "SERVING"
        )

    await small_fleet.wait_until(serves, "the new one serves")
    await small_fleet.set_upstream_behaviour(
        small_fleet.nodes["d3"], upstream.Behaviour()
    )

    async def gets_work() -> bool:
        results = await asyncio.gather(
            *(get(small_fleet, "d1") for _ in range(6))
        )
        assert set(results) == {(200, "RAN")}
        return await count_runs(small_fleet, "d2") > 0

    await small_fleet.wait_until(gets_work, "the new one gets work")


async def upload(
    fleet: standins.Fleet, node: str, chunks: int, started: asyncio.Event
) -> str:
    async def body():
        for _ in range(chunks):
            yield b"x" * 10_000
            started.set()
            await asyncio.sleep(0.1)

    async with fleet.session.post(
        f"{fleet.nodes[node].caller_url}/photographs", data=body()
    ) as response:
        assert response.headers["Burdockdeal-Verdict"] == "RAN"
        return await response.text()


async def wait_for_exit(
    process: asyncio.subprocess.Process, within_s: float
) -> int:
    return await asyncio.wait_for(process.wait(), within_s)


async def find_busy_node(fleet: standins.Fleet) -> str:
    found: list[str] = []

    async def runs() -> bool:
        for name in ("d2", "d3"):
            if await count_runs(fleet, name):
                found.append(name)
        return bool(found)

    await fleet.wait_until(runs, "the upload runs")
    return found[0]


async def test_owner_stops_with_upload_in_flight(
    small_fleet: standins.Fleet,
) -> None:
    started = asyncio.Event()
    sent = asyncio.create_task(upload(small_fleet, "d1", 30, started))
    await started.wait()
    busy = await find_busy_node(small_fleet)
    small_fleet.nodes[busy].daemon.terminate()
    before = await count_runs(small_fleet, busy)
    await check_all_succeed(small_fleet, 30)
    assert await count_runs(small_fleet, busy) == before
    assert await sent == "bookings read 300000 bytes\n"
    assert await wait_for_exit(small_fleet.nodes[busy].daemon, 10) == 0
    assert (await read_member(small_fleet, busy))["health"] == "LEFT"
    await check_all_succeed(small_fleet)


async def test_entry_stops_with_upload_in_flight(
    small_fleet: standins.Fleet,
) -> None:
    started = asyncio.Event()
    sent = asyncio.create_task(upload(small_fleet, "d1", 30, started))
    await started.wait()
    await asyncio.sleep(0.2)
    small_fleet.nodes["d1"].daemon.terminate()
    # It still responds, and closes each connection after the response.
    async with small_fleet.session.get(
        f"{small_fleet.nodes['d1'].caller_url}/jobs/1"
    ) as response:
        assert response.status == 200
        assert response.headers["Connection"] == "close"
    assert await sent == "bookings read 300000 bytes\n"
    assert await wait_for_exit(small_fleet.nodes["d1"].daemon, 10) == 0


async def test_no_accepted_request_is_lost_when_entry_stops(
    small_fleet: standins.Fleet,
) -> None:
    """Every accepted request gets its complete response."""
    refused = 0

    async def call_until_refused() -> int:
        nonlocal refused
        answered = 0
        async with aiohttp.ClientSession() as session:
            while True:
                url = f"{small_fleet.nodes['d1'].caller_url}/jobs/1"
                try:
                    async with session.get(url) as response:
                        await response.read()
                        assert response.status == 200
                        answered += 1
                except aiohttp.ClientConnectorError:
                    refused += 1
                    return answered

    callers = [asyncio.create_task(call_until_refused()) for _ in range(8)]
    await asyncio.sleep(0.3)
    small_fleet.nodes["d1"].daemon.terminate()
    answered = await asyncio.wait_for(asyncio.gather(*callers), 20)
    assert all(answered)
    assert refused == len(callers)
    assert await wait_for_exit(small_fleet.nodes["d1"].daemon, 10) == 0


async def test_second_signal_stops_immediately(
    small_fleet: standins.Fleet,
) -> None:
    started = asyncio.Event()
    sent = asyncio.create_task(upload(small_fleet, "d1", 300, started))
    await started.wait()
    node = small_fleet.nodes["d1"]
    node.daemon.terminate()
    await asyncio.sleep(1.5)
    assert node.daemon.returncode is None
    node.daemon.terminate()
    assert await wait_for_exit(node.daemon, 5) == 0
    # The caller gets a broken connection or a refusal other than NOT_RUN.
    with pytest.raises((aiohttp.ClientError, AssertionError)) as error:
        await sent
    assert "'NOT_RUN'" not in str(error.value)


async def test_shutdown_time_limit(fleet: standins.Fleet) -> None:
    limits = fleet.make_settings(standins.NodeSpec("x", "y")).limits
    short = dataclasses.replace(limits, stop_s=2.0)
    node = await fleet.add_node(
        standins.NodeSpec("d1", "shotton"), limits=short
    )
    place = standins.NodeSpec("d2", "shotton", "bookings")
    await fleet.add_node(place)
    await conftest.declare_basic_resources(fleet, node)
    started = asyncio.Event()
    sent = asyncio.create_task(upload(fleet, "d1", 300, started))
    await started.wait()

    async def runs() -> bool:
        return await count_runs(fleet, "d2") > 0

    # A request that arrives after the signal would end before the limit.
    await fleet.wait_until(runs, "the upload runs")
    node.daemon.terminate()
    assert await wait_for_exit(node.daemon, 8) == 0
    await asyncio.gather(sent, return_exceptions=True)
    assert "phase=CUT" in fleet.read_log("d1")


async def test_graceful_upstream_shutdown(small_fleet: standins.Fleet) -> None:
    """It drains, finishes its running requests and ends; others serve on."""
    slow = upstream.Behaviour(service_ms=700, jitter=0)
    for name in ("d2", "d3"):
        await small_fleet.set_upstream_behaviour(small_fleet.nodes[name], slow)
    requests = [asyncio.create_task(get(small_fleet, "d1")) for _ in range(6)]
    node = small_fleet.nodes["d2"]

    async def runs() -> bool:
        return await count_runs(small_fleet, "d2") > 0

    await small_fleet.wait_until(runs, "d2 runs something")
    incarnation = (await read_member(small_fleet, "d2"))[
        "upstream_incarnation"
    ]
    url = f"http://{node.settings.listen.upstream}/v1/drain"
    drain = codec.encode(messages.Drain(incarnation))
    in_flight = 1
    while in_flight:
        async with small_fleet.session.post(url, data=drain) as response:
            in_flight = (await response.json())["in_flight"]
        await asyncio.sleep(0.05)
    assert node.upstream is not None
    node.upstream.terminate()
    await node.upstream.wait()
    assert set(await asyncio.gather(*requests)) == {(200, "RAN")}
    await small_fleet.set_upstream_behaviour(
        small_fleet.nodes["d3"], upstream.Behaviour()
    )
    await check_all_succeed(small_fleet)
