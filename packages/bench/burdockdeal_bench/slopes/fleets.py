"""Slopes of real processes: the path, control and the store's calls."""

import asyncio
from collections import abc
import contextlib
import time

from burdockdeal.configuration import resources
from burdockdeal.core import codec
from burdockdeal.settings import model
from burdockdeal_bench import hops
from burdockdeal_bench.slopes import slope
from burdockdeal_standins import fleet as standins

_RATES = (50, 100, 200, 400)
_DAEMONS = (2, 4, 6, 8)
_CHANGES = (4, 8, 12, 16)
_DOMAINS = (1, 2, 3, 4)
_SPAN_S = 3.0
_IDLE_S = 6.0
_SETTLE_S = 2.0
_STATUS_CALLS = 20
_NS_PER_US = 1_000

Lay = abc.Callable[[int], list[standins.NodeSpec]]


def _lay_in_one_domain(count: int) -> list[standins.NodeSpec]:
    return [standins.NodeSpec(f"d{n}", "shotton") for n in range(count)]


def _lay_in_domains(count: int) -> list[standins.NodeSpec]:
    return [
        standins.NodeSpec(f"d{n}-{twin}", f"domain-{n}")
        for n in range(count)
        for twin in range(2)
    ]


@contextlib.asynccontextmanager
async def _run_daemons(
    places: list[standins.NodeSpec],
) -> abc.AsyncIterator[standins.Fleet]:
    """Run daemons at the usual pace, and one service."""
    async with standins.run_fleet() as fleet:
        for place in places:
            await fleet.add_node(place, membership=model.Membership())
        first = next(iter(fleet.nodes.values()))
        await fleet.declare(first, "Service", "orders", resources.Service())
        rank = resources.Rank(0, 1.0, 1000.0)
        await fleet.declare(first, "Rank", "status", rank)
        rule = resources.Rule("orders", "status")
        await fleet.wait_until_ready(
            await fleet.declare(first, "Rule", "all", rule)
        )
        await asyncio.sleep(_SETTLE_S)
        yield fleet


def _pids(fleet: standins.Fleet, *names: str) -> list[int]:
    return [fleet.nodes[name].daemon.pid for name in names]


async def _call_at_rate(fleet: standins.Fleet, url: str, rate: int) -> None:
    async def send() -> None:
        async with fleet.session.get(f"{url}/orders/1") as answer:
            await answer.read()
            assert answer.status == 200, answer.headers

    loop = asyncio.get_running_loop()
    began = loop.time()
    sent = []
    for number in range(int(rate * _SPAN_S)):
        await asyncio.sleep(max(0.0, began + number / rate - loop.time()))
        sent.append(asyncio.create_task(send()))
    await asyncio.gather(*sent)


def _make_path(entry: str, counted: str) -> abc.Callable[[int], float]:
    """Make the measure of one daemon's processor time under calls."""

    async def measure(rate: int) -> float:
        places = [
            standins.NodeSpec("owner", "shotton", "orders", service_ms=1.0),
            standins.NodeSpec("entry", "queensferry"),
        ]
        async with _run_daemons(places) as fleet:
            url = fleet.nodes[entry].caller_url
            await _call_at_rate(fleet, url, 50)
            pids = _pids(fleet, counted)
            before = hops.read_cpu_ns(pids)
            began = time.monotonic()
            await _call_at_rate(fleet, url, rate)
            spent_ns = hops.read_cpu_ns(pids) - before
            return spent_ns / _NS_PER_US / (time.monotonic() - began)

    return lambda rate: asyncio.run(measure(rate))


def _make_idle(lay: Lay) -> abc.Callable[[int], float]:
    """Make the measure of an idle daemon's processor time a second."""

    async def measure(count: int) -> float:
        async with _run_daemons(lay(count)) as fleet:
            pids = _pids(fleet, *fleet.nodes)
            before = hops.read_cpu_ns(pids)
            await asyncio.sleep(_IDLE_S)
            spent_ns = hops.read_cpu_ns(pids) - before
            return spent_ns / _NS_PER_US / _IDLE_S / len(pids)

    return lambda count: asyncio.run(measure(count))


async def _count_store_calls(fleet: standins.Fleet) -> int:
    return sum(codec.to_builtins(await fleet.read_store_counts()).values())


def _make_store_calls(lay: Lay) -> abc.Callable[[int], float]:
    """Make the measure of an idle fleet's store calls a second."""

    async def measure(count: int) -> float:
        async with _run_daemons(lay(count)) as fleet:
            before = await _count_store_calls(fleet)
            await asyncio.sleep(_IDLE_S)
            return (await _count_store_calls(fleet) - before) / _IDLE_S

    return lambda count: asyncio.run(measure(count))


async def _count_changes(domains: int, count: int) -> float:
    """Count the store's calls for some changes, the idle ones left out."""
    async with _run_daemons(_lay_in_domains(domains)) as fleet:
        first = next(iter(fleet.nodes.values()))
        before = await _count_store_calls(fleet)
        await asyncio.sleep(_IDLE_S)
        idle = await _count_store_calls(fleet) - before
        before = await _count_store_calls(fleet)
        began = time.monotonic()
        for number in range(count):
            await fleet.declare(
                first, "Service", f"s{number}", resources.Service()
            )
        await asyncio.sleep(_IDLE_S - (time.monotonic() - began))
        return await _count_store_calls(fleet) - before - idle


def _measure_changes(count: int) -> float:
    return asyncio.run(_count_changes(2, count))


def _measure_change_domains(domains: int) -> float:
    count = _CHANGES[0]
    return asyncio.run(_count_changes(domains, count)) / count


def _measure_status(count: int) -> float:
    """Time the answer to an operator's question on the whole fleet."""

    async def measure() -> float:
        async with _run_daemons(_lay_in_one_domain(count)) as fleet:
            first = next(iter(fleet.nodes.values()))
            pids = [first.daemon.pid]
            before = hops.read_cpu_ns(pids)
            for _ in range(_STATUS_CALLS):
                async with fleet.session.get(
                    f"{first.operator_url}/v1/status",
                    headers=fleet.operator_headers,
                ) as answer:
                    await answer.read()
                    assert answer.status == 200
            spent_ns = hops.read_cpu_ns(pids) - before
            return spent_ns / _NS_PER_US / _STATUS_CALLS

    return asyncio.run(measure())


SLOPES = (
    slope.Slope(
        "path-one-hop",
        "us/s",
        "call/s",
        _RATES,
        _make_path("owner", "owner"),
    ),
    slope.Slope(
        "path-entry", "us/s", "call/s", _RATES, _make_path("entry", "entry")
    ),
    slope.Slope(
        "path-owner", "us/s", "call/s", _RATES, _make_path("entry", "owner")
    ),
    slope.Slope(
        "control-cpu",
        "us/s",
        "daemon",
        _DAEMONS,
        _make_idle(_lay_in_one_domain),
    ),
    slope.Slope("status-cpu", "us", "daemon", _DAEMONS, _measure_status),
    slope.Slope(
        "store-calls-daemon",
        "calls/s",
        "daemon",
        _DAEMONS,
        _make_store_calls(_lay_in_one_domain),
    ),
    slope.Slope(
        "store-calls-domain",
        "calls/s",
        "failure domain of two",
        _DOMAINS,
        _make_store_calls(_lay_in_domains),
    ),
    slope.Slope(
        "store-calls-change", "calls", "change", _CHANGES, _measure_changes
    ),
    slope.Slope(
        "store-calls-spread",
        "calls/change",
        "failure domain of two",
        _DOMAINS,
        _measure_change_domains,
    ),
)
