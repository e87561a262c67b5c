"""The cost of configuration changes, to the store and to a daemon.

Varies the number of failure domains, daemons and changes, one at a time,
with real processes on loopback, and prints each point and the fitted line.
The work of a daemon in a large domain is measured within this process.
"""

import asyncio
from collections import abc
import dataclasses
import time

import fire

from burdockdeal.configuration import messages
from burdockdeal.configuration import resources
from burdockdeal.configuration import tree
from burdockdeal.core import codec
from burdockdeal.settings import model
from burdockdeal_standins import fleet as standins

_WINDOW_S = 10.0
_IN_FORCE_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.01
_SPLIT_ROUNDS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """The fleet and the load of one measurement.

    :param domains: number of failure domains.
    :param daemons: number of daemons in each failure domain.
    :param changes: number of changes during the window of 10 s.
    """

    domains: int
    daemons: int
    changes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """The result of one measurement.

    :param calls_per_s: calls to the store per second; a watch counts as
        one call.
    :param writes: number of writes to the store during the window.
    :param slowest_ms: longest time until a change was applied on every
        daemon, in milliseconds; changes are made one after another.
    """

    size: Size
    calls_per_s: float
    writes: int
    slowest_ms: float


async def _declare(
    fleet: standins.Fleet, node: standins.Node, number: int, etag: str
) -> str:
    async with fleet.session.put(
        f"{node.operator_url}/v1/resources/Service/varied",
        data=codec.encode(resources.Service(queue_limit=number)),
        headers=fleet.operator_headers | {"If-Match": etag},
    ) as response:
        assert response.status == 200, await response.text()
        return response.headers["ETag"]


async def _wait_in_force(fleet: standins.Fleet, node: standins.Node) -> None:
    give_up_at = time.monotonic() + _IN_FORCE_TIMEOUT_S
    while time.monotonic() < give_up_at:
        async with fleet.session.get(
            f"{node.operator_url}/v1/resources/Service/varied",
            headers=fleet.operator_headers,
        ) as response:
            document = codec.decode(await response.read(), messages.Document)
        assert document.status is not None
        if all(condition.status for condition in document.status.conditions):
            return
        await asyncio.sleep(_POLL_INTERVAL_S)
    raise AssertionError(
        f"change not applied on every daemon within {_IN_FORCE_TIMEOUT_S} s"
    )


async def _measure(size: Size) -> Point:
    async with standins.run_fleet() as fleet:
        await fleet.add_nodes(
            standins.NodeSpec(f"d{domain}-{number}", f"domain-{domain}")
            for domain in range(size.domains)
            for number in range(size.daemons)
        )
        await fleet.wait_until_ready(0)
        node = fleet.nodes["d0-0"]
        etag = await _declare(fleet, node, 1, '"0"')
        await _wait_in_force(fleet, node)
        await asyncio.sleep(2)
        before = await fleet.read_store_counts()
        started = time.monotonic()
        slowest_s = 0.0
        for number in range(size.changes):
            changed_at = time.monotonic()
            etag = await _declare(fleet, node, number + 2, etag)
            await _wait_in_force(fleet, node)
            slowest_s = max(slowest_s, time.monotonic() - changed_at)
            due = started + (number + 1) * _WINDOW_S / size.changes
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        remaining_s = started + _WINDOW_S - time.monotonic()
        await asyncio.sleep(max(0.0, remaining_s))
        after = await fleet.read_store_counts()
        elapsed_s = time.monotonic() - started
    names = [field.name for field in dataclasses.fields(after)]
    calls = sum(getattr(after, n) - getattr(before, n) for n in names)
    return Point(
        size,
        round(calls / elapsed_s, 2),
        after.writes - before.writes,
        round(slowest_s * 1000, 1),
    )


def fit_line(points: abc.Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Fit a line to points by least squares.

    :returns: its slope and its intercept.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    variance_x = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / variance_x
    return slope, mean_y - slope * mean_x


_SERIES = {
    "domains": [Size(n, 2, 0) for n in (1, 2, 3, 4)],
    "daemons": [Size(1, n, 0) for n in (2, 4, 6, 8)],
    "changes": [Size(2, 2, n) for n in (0, 5, 10, 20)],
}


async def _measure_all(series: str) -> None:
    for name, sizes in _SERIES.items():
        if series not in ("", name):
            continue
        points = []
        for size in sizes:
            point = await _measure(size)
            points.append((getattr(size, name), point.calls_per_s))
            print(codec.encode(point).decode(), flush=True)
        slope, intercept = fit_line(points)
        print(f"store calls/s = {intercept:.2f} + {slope:.3f} * {name}")


def _measure_split(daemons: int) -> None:
    """Measure how long a daemon of a large domain takes to split one push."""
    names = {
        f"d{number:05d}": model.Address("10.0.0.1", 7000)
        for number in range(daemons)
    }
    started = time.perf_counter()
    for _ in range(_SPLIT_ROUNDS):
        chosen = tree.select_range(names, "", "", ("d00000",))
        branches = tree.split_range(chosen, "", "")
    spent_ms = (time.perf_counter() - started) / _SPLIT_ROUNDS * 1000
    print(
        f"{daemons} daemons in a domain: {spent_ms:.3f} ms to split, "
        f"{len(branches)} messages at most from one daemon"
    )


def main(*, series: str = "") -> None:
    """Run the measurements and print the points and the fitted lines.

    :param series: domains, daemons or changes; empty for all.
    """
    for daemons in (125, 250, 500, 1000):
        _measure_split(daemons)
    asyncio.run(_measure_all(series))


if __name__ == "__main__":
    fire.Fire(main)
