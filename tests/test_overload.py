"""Callers, upstreams and floods that wear a daemon out."""

import asyncio
from collections import abc
import contextlib

import conftest
import pytest
import pytest_asyncio

from burdockdeal.settings import model
from burdockdeal_bench import scrape
from burdockdeal_standins import fleet as standins
from burdockdeal_standins import upstream

LIMITS = model.Limits(
    connections=60,
    head_s=1.0,
    body_idle_s=1.5,
    body_bytes_per_s=1000.0,
    body_grace_s=2.0,
    answer_idle_s=1.5,
)
#: Long enough for any machine, far below the usual limits.
PATIENCE_S = 20.0


@pytest_asyncio.fixture
async def node(fleet: standins.Fleet) -> standins.Node:
    """One daemon with short limits, beside an upstream."""
    place = standins.NodeSpec("d1", "shotton", "bookings")
    node = await fleet.add_node(place, limits=LIMITS)
    await conftest.declare_basic_resources(fleet, node)
    return node


@contextlib.asynccontextmanager
async def connect(
    node: standins.Node, opening: bytes = b""
) -> abc.AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    address = node.settings.listen.caller
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(opening)
    try:
        yield reader, writer
    finally:
        writer.close()


async def check_served(fleet: standins.Fleet, node: standins.Node) -> None:
    async with fleet.session.get(f"{node.caller_url}/jobs/1") as answer:
        assert answer.status == 200, await answer.text()


async def test_a_head_that_never_ends_is_given_up(fleet, node) -> None:
    async with connect(node, b"GET / HTTP/1.1\r\nHost: a\r\n") as (reader, _):
        async with asyncio.timeout(PATIENCE_S):
            told = await reader.read()
    assert told.startswith(b"HTTP/1.1 408 ")
    assert b"Burdockdeal-Verdict: NOT_RUN" in told
    assert b"Burdockdeal-Reason: SLOW_CALLER" in told
    await check_served(fleet, node)


@pytest.mark.parametrize("size", [1000, 1_000_000])
async def test_a_body_that_stalls_is_given_up(fleet, node, size) -> None:
    head = f"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: {size}\r\n\r\nx"
    async with connect(node, head.encode()) as (reader, _):
        async with asyncio.timeout(PATIENCE_S):
            status = await reader.readline()
    # A body that is read whole has not left the daemon, so it can tell
    # plainly; a streamed one had begun.
    assert int(status.split()[1]) == (408 if size == 1000 else 502)
    await check_served(fleet, node)
    await fleet.wait_until(
        lambda: is_idle(fleet, node), "the slot is free", within_s=PATIENCE_S
    )


async def read_metrics(
    fleet: standins.Fleet, node: standins.Node
) -> dict[str, float]:
    async with fleet.session.get(f"{node.operator_url}/metrics") as answer:
        text = await answer.text()
    return scrape.parse_counters(text)


async def is_idle(fleet: standins.Fleet, node: standins.Node) -> bool:
    counts = await read_metrics(fleet, node)
    return counts["burdockdeal_in_flight"] == 0


async def test_a_body_that_trickles_is_given_up(fleet, node) -> None:
    head = b"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n"
    async with connect(node, head) as (reader, writer):
        reading = asyncio.create_task(reader.readline())
        async with asyncio.timeout(PATIENCE_S):
            while not reading.done():
                writer.write(b"x")
                await asyncio.sleep(0.1)
        assert (await reading).startswith(b"HTTP/1.1 408 ")


async def test_a_slow_upload_that_is_honest_is_spared(fleet, node) -> None:
    async def trickle() -> abc.AsyncIterator[bytes]:
        for _ in range(20):
            yield b"x" * 1000
            await asyncio.sleep(0.25)

    url = f"{node.caller_url}/photographs"
    async with fleet.session.put(url, data=trickle()) as answer:
        assert await answer.text() == "bookings read 20000 bytes\n"


async def test_an_answer_that_stalls_is_cut(fleet, node) -> None:
    await fleet.set_upstream_behaviour(node, upstream.Behaviour(stall=True))
    async with connect(node, b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n") as (r, _):
        async with asyncio.timeout(PATIENCE_S):
            told = await r.read()
    assert b"\r\n\r\n" in told
    assert len(told) < 10_000
    await fleet.wait_until(
        lambda: is_idle(fleet, node), "the slot is free", within_s=PATIENCE_S
    )


async def test_idle_connections_keep_no_caller_out(fleet, node) -> None:
    async with contextlib.AsyncExitStack() as stack:
        for _ in range(3 * LIMITS.connections):
            await stack.enter_async_context(connect(node))
        await check_served(fleet, node)


async def test_operators_are_answered_in_a_flood(fleet, node) -> None:
    await fleet.set_upstream_behaviour(
        node, upstream.Behaviour(service_ms=200)
    )
    request = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
    answers: list[bytes] = []

    async def flood() -> None:
        while True:
            with contextlib.suppress(OSError):
                async with connect(node, request) as (reader, _):
                    answers.append(await reader.readline())

    flooding = [
        asyncio.create_task(flood()) for _ in range(2 * LIMITS.connections)
    ]
    try:
        for path in ("healthz", "readyz", "metrics", "v1/status"):
            async with asyncio.timeout(PATIENCE_S):
                async with fleet.session.get(
                    f"{node.operator_url}/{path}",
                    headers=fleet.operator_headers,
                ) as answer:
                    assert answer.status == 200
            await asyncio.sleep(0.3)
        counts = await read_metrics(fleet, node)
    finally:
        for task in flooding:
            task.cancel()
        await asyncio.gather(*flooding, return_exceptions=True)
    assert counts["burdockdeal_caller_connections"] <= LIMITS.connections
    assert (
        counts["burdockdeal_connections_refused_total"]
        + counts["burdockdeal_connections_evicted_total"]
    ) > 0
    assert any(line.startswith(b"HTTP/1.1 200") for line in answers)
    assert any(line.startswith(b"HTTP/1.1 503") for line in answers)
