"""Scaling of running daemons: processor time and calls to the store."""

import asyncio
from collections import abc
import contextlib
import time

from burdockdeal.configuration import resources
from burdockdeal.core import codec
from burdockdeal.settings import model
from burdockdeal_bench import hops
from burdockdeal_bench.slopes import scaling
from burdockdeal_standins import fleet as standins

_CALL_RATES = (50, 100, 200, 400)
_DAEMON_COUNTS = (2, 4, 6, 8)
_CHANGE_COUNTS = (4, 8, 12, 16)
_DOMAIN_COUNTS = (1, 2, 3, 4)
_LOAD_DURATION_S = 3.0
_IDLE_WINDOW_S = 6.0
_SETTLE_TIME_S = 2.0
_STATUS_CALLS = 20
_NS_PER_US = 1_000

Layout = abc.Callable[[int], list[standins.NodeSpec]]


def _place_in_one_domain(count: int) -> list[standins.NodeSpec]:
    return [standins.NodeSpec(f"d{n}", "shotton") for n in range(count)]


def _place_in_domains(count: int) -> list[standins.NodeSpec]:
    return [
        standins.NodeSpec(f"d{n}-{index}", f"domain-{n}")
        for n in range(count)
        for index in range(2)
    ]


@contextlib.asynccontextmanager
async def _run_daemons(
    places: list[standins.NodeSpec],
) -> abc.AsyncIterator[standins.Fleet]:
    """Run daemons with the default membership intervals and one service."""
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
        await asyncio.sleep(_SETTLE_TIME_S)
        yield fleet


def _daemon_pids(fleet: standins.Fleet, *names: str) -> list[int]:
    return [fleet.nodes[name].daemon.pid for name in names]


async def _call_at_rate(fleet: standins.Fleet, url: str, rate: int) -> None:
    async def send() -> None:
        async with fleet.session.get(f"{url}/orders/1") as response:
            await response.read()
            assert response.status == 200, response.headers

    loop = asyncio.get_running_loop()
    started = loop.time()
    tasks = []
    for number in range(int(rate * _LOAD_DURATION_S)):
        await asyncio.sleep(max(0.0, started + number / rate - loop.time()))
        tasks.append(asyncio.create_task(send()))
    await asyncio.gather(*tasks)


def _make_path_measure(
    entry: str, measured: str
) -> abc.Callable[[int], float]:
    """Return a function that measures a daemon's processor time under load.

    :param entry: the daemon that receives the calls.
    :param measured: the daemon whose processor time is measured.
    :returns: takes calls per second, returns microseconds per second.
    """

    async def measure(rate: int) -> float:
        places = [
            standins.NodeSpec("owner", "shotton", "orders", service_ms=1.0),
            standins.NodeSpec("entry", "queensferry"),
        ]
        async with _run_daemons(places) as fleet:
            url = fleet.nodes[entry].caller_url
            await _call_at_rate(fleet, url, 50)
            pids = _daemon_pids(fleet, measured)
            before = hops.read_cpu_ns(pids)
            started = time.monotonic()
            await _call_at_rate(fleet, url, rate)
            cpu_spent_ns = hops.read_cpu_ns(pids) - before
            return cpu_spent_ns / _NS_PER_US / (time.monotonic() - started)

    return lambda rate: asyncio.run(measure(rate))


def _make_idle_cpu_measure(make_places: Layout) -> abc.Callable[[int], float]:
    """Return a function that measures the processor time of an idle daemon.

    :returns: takes a size of the fleet, returns microseconds per second,
        as a mean over the daemons.
    """

    async def measure(count: int) -> float:
        async with _run_daemons(make_places(count)) as fleet:
            pids = _daemon_pids(fleet, *fleet.nodes)
            before = hops.read_cpu_ns(pids)
            await asyncio.sleep(_IDLE_WINDOW_S)
            cpu_spent_ns = hops.read_cpu_ns(pids) - before
            return cpu_spent_ns / _NS_PER_US / _IDLE_WINDOW_S / len(pids)

    return lambda count: asyncio.run(measure(count))


async def _count_store_calls(fleet: standins.Fleet) -> int:
    return sum(codec.to_builtins(await fleet.read_store_counts()).values())


def _make_store_calls_measure(
    make_places: Layout,
) -> abc.Callable[[int], float]:
    """Return a function that counts the store calls of an idle fleet.

    :returns: takes a size of the fleet, returns calls per second.
    """

    async def measure(count: int) -> float:
        async with _run_daemons(make_places(count)) as fleet:
            before = await _count_store_calls(fleet)
            await asyncio.sleep(_IDLE_WINDOW_S)
            return (await _count_store_calls(fleet) - before) / _IDLE_WINDOW_S

    return lambda count: asyncio.run(measure(count))


async def _count_calls_of_changes(domains: int, count: int) -> float:
    """Count the store calls that changes cause, less those of an idle fleet.

    :param domains: number of failure domains, of two daemons each.
    :param count: number of changes.
    """
    async with _run_daemons(_place_in_domains(domains)) as fleet:
        first = next(iter(fleet.nodes.values()))
        before = await _count_store_calls(fleet)
        await asyncio.sleep(_IDLE_WINDOW_S)
        idle_calls = await _count_store_calls(fleet) - before
        before = await _count_store_calls(fleet)
        started = time.monotonic()
        for number in range(count):
            await fleet.declare(
                first, "Service", f"s{number}", resources.Service()
            )
        await asyncio.sleep(_IDLE_WINDOW_S - (time.monotonic() - started))
        return await _count_store_calls(fleet) - before - idle_calls


def _measure_changes(count: int) -> float:
    return asyncio.run(_count_calls_of_changes(2, count))


def _measure_calls_per_change(domains: int) -> float:
    count = _CHANGE_COUNTS[0]
    return asyncio.run(_count_calls_of_changes(domains, count)) / count


def _measure_status(count: int) -> float:
    """Measure the processor time of a status request.

    :returns: microseconds per request, of the daemon that answers.
    """

    async def measure() -> float:
        async with _run_daemons(_place_in_one_domain(count)) as fleet:
            first = next(iter(fleet.nodes.values()))
            pids = [first.daemon.pid]
            before = hops.read_cpu_ns(pids)
            for _ in range(_STATUS_CALLS):
                async with fleet.session.get(
                    f"{first.operator_url}/v1/status",
                    headers=fleet.operator_headers,
                ) as response:
                    await response.read()
                    assert response.status == 200
            cpu_spent_ns = hops.read_cpu_ns(pids) - before
            return cpu_spent_ns / _NS_PER_US / _STATUS_CALLS

    return asyncio.run(measure())


BENCHMARKS = (
    scaling.Benchmark(
        "path-one-hop",
        "us/s",
        "call/s",
        _CALL_RATES,
        _make_path_measure("owner", "owner"),
    ),
    scaling.Benchmark(
        "path-entry",
        "us/s",
        "call/s",
        _CALL_RATES,
        _make_path_measure("entry", "entry"),
    ),
    scaling.Benchmark(
        "path-owner",
        "us/s",
        "call/s",
        _CALL_RATES,
        _make_path_measure("entry", "owner"),
    ),
    scaling.Benchmark(
        "control-cpu",
        "us/s",
        "daemon",
        _DAEMON_COUNTS,
        _make_idle_cpu_measure(_place_in_one_domain),
    ),
    scaling.Benchmark(
        "status-cpu", "us", "daemon", _DAEMON_COUNTS, _measure_status
    ),
    scaling.Benchmark(
        "store-calls-daemon",
        "calls/s",
        "daemon",
        _DAEMON_COUNTS,
        _make_store_calls_measure(_place_in_one_domain),
    ),
    scaling.Benchmark(
        "store-calls-domain",
        "calls/s",
        "failure domain of two",
        _DOMAIN_COUNTS,
        _make_store_calls_measure(_place_in_domains),
    ),
    scaling.Benchmark(
        "store-calls-change",
        "calls",
        "change",
        _CHANGE_COUNTS,
        _measure_changes,
    ),
    scaling.Benchmark(
        "store-calls-spread",
        "calls/change",
        "failure domain of two",
        _DOMAIN_COUNTS,
        _measure_calls_per_change,
    ),
)
