"""Upstreams that leave, die, come back, and daemons that stop."""

import asyncio
import dataclasses
import signal

import aiohttp
import conftest
import pytest

from burdockdeal.announce import messages
from burdockdeal.core import codec
from burdockdeal_standins import fleet as standins
from burdockdeal_standins import ports
from burdockdeal_standins import relay
from burdockdeal_standins import upstream

#: Seconds after which an upstream that leaves gets no new work.
LEFT_S = 3.0


async def get(fleet: standins.Fleet, node: str) -> tuple[int, str]:
    url = f"{fleet.nodes[node].caller_url}/jobs/1"
    async with fleet.session.get(url) as response:
        await response.read()
        return response.status, response.headers["Burdockdeal-Verdict"]


async def count(fleet: standins.Fleet, node: str) -> int:
    return len((await fleet.read_upstream_record(fleet.nodes[node])).runs)


async def ask_all(fleet: standins.Fleet, times: int = 20) -> None:
    told = [await get(fleet, "d1") for _ in range(times)]
    assert set(told) == {(200, "RAN")}


async def check_left(fleet: standins.Fleet, node: str) -> None:
    """Check that an upstream gets nothing new while the others serve."""
    before = await count(fleet, node)
    await ask_all(fleet)
    assert await count(fleet, node) == before


async def test_a_drain_notice_that_is_lost(small: standins.Fleet) -> None:
    await ask_all(small)
    # Only the heartbeats say it.
    await small.set_upstream_behaviour(
        small.nodes["d2"], upstream.Behaviour(draining=True)
    )
    await asyncio.sleep(LEFT_S)
    await check_left(small, "d2")


async def test_a_drain_notice(small: standins.Fleet) -> None:
    node = small.nodes["d2"]
    # Its heartbeats stop, so that only the notice says it.
    await small.set_upstream_behaviour(node, upstream.Behaviour(beating=False))
    status = await read_member(small, "d2")
    drain = messages.Drain(status["upstream_incarnation"])
    url = f"http://{node.settings.listen.upstream}/v1/drain"
    async with small.session.post(url, data=codec.encode(drain)) as response:
        assert response.status == 200
    await check_left(small, "d2")


async def read_member(fleet: standins.Fleet, daemon: str) -> dict:
    async with fleet.session.get(
        f"{fleet.nodes['d1'].operator_url}/v1/status",
        headers=fleet.operator_headers,
    ) as response:
        members = (await response.json())["members"]
    return next(m for m in members if m["daemon"] == daemon)


async def test_heartbeats_that_stop(small: standins.Fleet) -> None:
    await small.set_upstream_behaviour(
        small.nodes["d2"], upstream.Behaviour(beating=False)
    )
    await asyncio.sleep(LEFT_S)
    await check_left(small, "d2")
    await small.set_upstream_behaviour(small.nodes["d2"], upstream.Behaviour())

    async def is_back() -> bool:
        await get(small, "d1")
        return await count(small, "d2") > before

    before = await count(small, "d2")
    await small.wait_until(is_back, "d2 gets work again")


async def test_it_leaves_while_its_daemon_is_frozen(
    small: standins.Fleet,
) -> None:
    """Fails if a lease counts from when a heartbeat is read."""
    node = small.nodes["d2"]
    await ask_all(small)
    node.daemon.send_signal(signal.SIGSTOP)
    # A last heartbeat goes into the frozen daemon's buffers, and none
    # tells of the drain.
    await asyncio.sleep(1.2)
    await small.set_upstream_behaviour(node, upstream.Behaviour(beating=False))
    await asyncio.sleep(LEFT_S)
    before = await count(small, "d2")
    asks = [asyncio.create_task(get(small, "d1")) for _ in range(12)]
    await asyncio.sleep(0.3)
    node.daemon.send_signal(signal.SIGCONT)
    told = await asyncio.gather(*asks)
    assert {verdict for _, verdict in told} <= {"RAN", "NOT_RUN"}
    await ask_all(small)
    assert await count(small, "d2") == before


async def test_it_leaves_while_its_domain_is_cut(
    fleet: standins.Fleet,
) -> None:
    place = standins.NodeSpec("d2", "queensferry", "bookings")
    listen = fleet.make_settings(place).listen
    link = await fleet.add_relay(str(listen.peer))
    reached = dataclasses.replace(listen.peer, port=link.port)
    await fleet.add_node(standins.NodeSpec("d1", "shotton"))
    await fleet.add_node(standins.NodeSpec("d3", "shotton", "bookings"))
    node = await fleet.add_node(place, listen=listen, advertise=reached)
    await conftest.declare_basic_resources(fleet, fleet.nodes["d1"])
    await link.set_behaviour(relay.Behaviour(cut=True))
    # It leaves unheard by the others, who may still think that it serves.
    await fleet.set_upstream_behaviour(node, upstream.Behaviour(draining=True))
    await asyncio.sleep(LEFT_S)
    before = await count(fleet, "d2")
    await ask_all(fleet)
    await link.set_behaviour(relay.Behaviour())
    for _ in range(10):
        await ask_all(fleet, 5)
        await asyncio.sleep(0.2)
    assert await count(fleet, "d2") == before


async def test_a_dead_upstream_that_still_announces(
    small: standins.Fleet,
) -> None:
    node = small.nodes["d2"]
    incarnation = (await read_member(small, "d2"))["upstream_incarnation"]
    assert node.upstream is not None
    node.upstream.kill()
    await node.upstream.wait()
    announce = messages.Announce(
        "bookings", ports.HOST, node.upstream_port, incarnation
    )
    worker = upstream.UpstreamState(announce, 1)
    beating = asyncio.create_task(
        upstream.announce_forever(worker, str(node.settings.listen.upstream))
    )
    try:
        await asyncio.sleep(LEFT_S)
        await ask_all(small, 60)
    finally:
        beating.cancel()


async def test_another_incarnation_at_the_same_address(
    small: standins.Fleet,
) -> None:
    node = small.nodes["d2"]
    slow = upstream.Behaviour(service_ms=1500, jitter=0)
    for name in ("d2", "d3"):
        await small.set_upstream_behaviour(small.nodes[name], slow)
    asks = [asyncio.create_task(get(small, "d1")) for _ in range(4)]

    async def runs() -> bool:
        return await count(small, "d2") > 0

    await small.wait_until(runs, "d2 runs something")
    incarnation = (await read_member(small, "d2"))["upstream_incarnation"]
    assert node.upstream is not None
    node.upstream.kill()
    await node.upstream.wait()
    replaced = await small.start_upstream(
        node.spec, node.settings, node.upstream_port
    )
    await small.wait_for_port(node.upstream_port, replaced)
    await asyncio.gather(*asks)

    async def serves() -> bool:
        member = await read_member(small, "d2")
        return (
            member["upstream_incarnation"] > incarnation
            and member["phase"] == "SERVING"
        )

    await small.wait_until(serves, "the new one serves")
    await small.set_upstream_behaviour(small.nodes["d3"], upstream.Behaviour())

    async def gets_work() -> bool:
        told = await asyncio.gather(*(get(small, "d1") for _ in range(6)))
        assert set(told) == {(200, "RAN")}
        return await count(small, "d2") > 0

    await small.wait_until(gets_work, "the new one gets work")


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


async def end(process: asyncio.subprocess.Process, within_s: float) -> int:
    return await asyncio.wait_for(process.wait(), within_s)


async def find_busy(fleet: standins.Fleet) -> str:
    found: list[str] = []

    async def runs() -> bool:
        for name in ("d2", "d3"):
            if await count(fleet, name):
                found.append(name)
        return bool(found)

    await fleet.wait_until(runs, "the upload runs")
    return found[0]


async def test_an_owner_stops_with_an_upload_in_flight(
    small: standins.Fleet,
) -> None:
    started = asyncio.Event()
    sent = asyncio.create_task(upload(small, "d1", 30, started))
    await started.wait()
    busy = await find_busy(small)
    small.nodes[busy].daemon.terminate()
    before = await count(small, busy)
    await ask_all(small, 30)
    assert await count(small, busy) == before
    assert await sent == "bookings read 300000 bytes\n"
    assert await end(small.nodes[busy].daemon, 10) == 0
    assert (await read_member(small, busy))["health"] == "LEFT"
    await ask_all(small)


async def test_an_entry_stops_with_an_upload_in_flight(
    small: standins.Fleet,
) -> None:
    started = asyncio.Event()
    sent = asyncio.create_task(upload(small, "d1", 30, started))
    await started.wait()
    await asyncio.sleep(0.2)
    small.nodes["d1"].daemon.terminate()
    # It still answers, and ends each connection with its answer.
    async with small.session.get(
        f"{small.nodes['d1'].caller_url}/jobs/1"
    ) as response:
        assert response.status == 200
        assert response.headers["Connection"] == "close"
    assert await sent == "bookings read 300000 bytes\n"
    assert await end(small.nodes["d1"].daemon, 10) == 0


async def test_callers_lose_nothing_when_an_entry_stops(
    small: standins.Fleet,
) -> None:
    """Every request that was taken is answered whole."""
    refused = 0

    async def call_on() -> int:
        nonlocal refused
        answered = 0
        async with aiohttp.ClientSession() as session:
            while True:
                url = f"{small.nodes['d1'].caller_url}/jobs/1"
                try:
                    async with session.get(url) as response:
                        await response.read()
                        assert response.status == 200
                        answered += 1
                except aiohttp.ClientConnectorError:
                    refused += 1
                    return answered

    callers = [asyncio.create_task(call_on()) for _ in range(8)]
    await asyncio.sleep(0.3)
    small.nodes["d1"].daemon.terminate()
    answered = await asyncio.wait_for(asyncio.gather(*callers), 20)
    assert all(answered)
    assert refused == len(callers)
    assert await end(small.nodes["d1"].daemon, 10) == 0


async def test_a_second_signal_ends_at_once(small: standins.Fleet) -> None:
    started = asyncio.Event()
    sent = asyncio.create_task(upload(small, "d1", 300, started))
    await started.wait()
    node = small.nodes["d1"]
    node.daemon.terminate()
    await asyncio.sleep(1.5)
    assert node.daemon.returncode is None
    node.daemon.terminate()
    assert await end(node.daemon, 5) == 0
    # Its caller is told, or sees its connection break; never an answer.
    with pytest.raises((aiohttp.ClientError, AssertionError)) as told:
        await sent
    assert "'NOT_RUN'" not in str(told.value)


async def test_a_stop_has_its_limit(fleet: standins.Fleet) -> None:
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
    node.daemon.terminate()
    assert await end(node.daemon, 8) == 0
    await asyncio.gather(sent, return_exceptions=True)
    assert "phase=CUT" in fleet.read_log("d1")


async def test_an_upstream_stops_whole(small: standins.Fleet) -> None:
    """It drains, finishes what it has, and ends; others go on."""
    slow = upstream.Behaviour(service_ms=700, jitter=0)
    for name in ("d2", "d3"):
        await small.set_upstream_behaviour(small.nodes[name], slow)
    asks = [asyncio.create_task(get(small, "d1")) for _ in range(6)]
    node = small.nodes["d2"]

    async def runs() -> bool:
        return await count(small, "d2") > 0

    await small.wait_until(runs, "d2 runs something")
    incarnation = (await read_member(small, "d2"))["upstream_incarnation"]
    url = f"http://{node.settings.listen.upstream}/v1/drain"
    drain = codec.encode(messages.Drain(incarnation))
    in_flight = 1
    while in_flight:
        async with small.session.post(url, data=drain) as response:
            in_flight = (await response.json())["in_flight"]
        await asyncio.sleep(0.05)
    assert node.upstream is not None
    node.upstream.terminate()
    await node.upstream.wait()
    assert set(await asyncio.gather(*asks)) == {(200, "RAN")}
    await small.set_upstream_behaviour(small.nodes["d3"], upstream.Behaviour())
    await ask_all(small)
