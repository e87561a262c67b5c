"""The cost of a hop: daemons compared with plain pass-through proxies."""

from collections import abc
import contextlib
import dataclasses
import pathlib
import time

import aiohttp

from burdockdeal.configuration import resources
from burdockdeal.settings import model
from burdockdeal_bench import report
from burdockdeal_standins import fleet as standins
from burdockdeal_standins import ports

_WARM_UP_CALLS = 300
_BLOCK_CALLS = 50
_NS_PER_US = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Path:
    """One path from a caller to the upstream.

    :param name: direct, bare (pass-through proxies) or daemons.
    :param hops: number of processes between the caller and the upstream.
    :param url: where a caller enters the path.
    :param pids: ids of those processes.
    """

    name: str
    hops: int
    url: str
    pids: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PathTimings:
    """Measured times of the calls on one path.

    :param seconds: latency of each call.
    :param cpu_us: processor time of all hops per call, in microseconds.
    """

    seconds: tuple[float, ...]
    cpu_us: float


@dataclasses.dataclass(frozen=True, slots=True)
class PathReport:
    """Latency and processor time of one path.

    :param cpu_us: processor time of all hops per call, in microseconds.
    :param added_p50_ms: p50 minus that of the direct path.
    :param added_p99_ms: p99 minus that of the direct path.
    """

    name: str
    hops: int
    latency: report.Latency
    cpu_us: float
    added_p50_ms: float
    added_p99_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class HopsReport:
    """The comparison of daemons with pass-through proxies.

    Each ratio divides the daemons' figure by that of the pass-through
    proxies, for 1 and 2 hops.

    :param calls: number of calls on each path.
    :param ratios_p50: of the added p50 latency.
    :param ratios_p99: of the added p99 latency.
    :param ratios_cpu: of the processor time per call.
    :param idle_kb: resident memory of a daemon before the first call, in
        KiB.
    :param after_kb: the same after the last call.
    """

    calls: int
    paths: tuple[PathReport, ...]
    ratios_p50: tuple[float, ...]
    ratios_p99: tuple[float, ...]
    ratios_cpu: tuple[float, ...]
    idle_kb: int
    after_kb: int


def read_resident_kb(pid: int) -> int:
    """Return the resident memory of a process, in KiB."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    line = next(
        line for line in status.splitlines() if line.startswith("VmRSS")
    )
    return int(line.split()[1])


def read_cpu_ns(pids: abc.Iterable[int]) -> int:
    """Return the processor time that processes have used, in nanoseconds."""
    paths = [pathlib.Path(f"/proc/{pid}/schedstat") for pid in pids]
    return sum(
        int(path.read_text(encoding="ascii").split()[0]) for path in paths
    )


@contextlib.asynccontextmanager
async def _run_processes() -> abc.AsyncIterator[standins.Fleet]:
    async with standins.run_fleet() as fleet:
        # The default membership intervals; the fleet's own are shorter,
        # for tests.
        membership = model.Membership()
        owner = standins.NodeSpec("owner", "shotton", "orders", service_ms=0.0)
        entry = standins.NodeSpec("entry", "queensferry")
        await fleet.add_node(owner, membership=membership)
        await fleet.add_node(entry, membership=membership)
        node = fleet.nodes["owner"]
        await fleet.declare(node, "Service", "orders", resources.Service())
        await fleet.declare(
            node, "Rank", "status", resources.Rank(0, 1.0, 1000.0)
        )
        rule = resources.Rule("orders", "status")
        await fleet.wait_until_ready(
            await fleet.declare(node, "Rule", "all", rule)
        )
        yield fleet


async def _add_passthrough(
    fleet: standins.Fleet, target: str
) -> tuple[str, int]:
    port = ports.free_port()
    process = await fleet.start(
        "burdockdeal_standins.passthrough",
        f"passthrough-{port}",
        port=port,
        target=target,
    )
    await fleet.wait_for_port(port, process)
    return f"{ports.HOST}:{port}", process.pid


async def _set_up_paths(fleet: standins.Fleet) -> tuple[Path, ...]:
    owner, entry = fleet.nodes["owner"], fleet.nodes["entry"]
    upstream = f"{ports.HOST}:{owner.upstream_port}"
    first_hop, first_pid = await _add_passthrough(fleet, upstream)
    second_hop, second_pid = await _add_passthrough(fleet, first_hop)
    pids = (owner.daemon.pid, entry.daemon.pid)
    return (
        Path("direct", 0, f"http://{upstream}"),
        Path("bare", 1, f"http://{first_hop}", (first_pid,)),
        Path("daemons", 1, owner.caller_url, pids[:1]),
        Path("bare", 2, f"http://{second_hop}", (first_pid, second_pid)),
        Path("daemons", 2, entry.caller_url, pids),
    )


async def _time_call(session: aiohttp.ClientSession, path: Path) -> float:
    started = time.perf_counter()
    async with session.get(f"{path.url}/orders/7") as response:
        await response.read()
        assert response.status == 200, (path, response.headers)
    return time.perf_counter() - started


async def _time_block(
    session: aiohttp.ClientSession, path: Path
) -> tuple[list[float], int]:
    before = read_cpu_ns(path.pids)
    seconds_taken = [
        await _time_call(session, path) for _ in range(_BLOCK_CALLS)
    ]
    return seconds_taken, read_cpu_ns(path.pids) - before


async def _time_calls(
    paths: tuple[Path, ...], calls: int
) -> dict[Path, PathTimings]:
    """Call each path in turn, in short blocks.

    With short blocks, a change in the machine's speed affects all paths
    alike.
    """
    seconds: dict[Path, list[float]] = {path: [] for path in paths}
    cpu_ns = dict.fromkeys(paths, 0)
    blocks = max(1, calls // _BLOCK_CALLS)
    async with aiohttp.ClientSession() as session:
        for path in paths:
            for _ in range(_WARM_UP_CALLS):
                await _time_call(session, path)
        for _ in range(blocks):
            for path in paths:
                seconds_taken, cpu_spent_ns = await _time_block(session, path)
                seconds[path] += seconds_taken
                cpu_ns[path] += cpu_spent_ns
    calls_made = blocks * _BLOCK_CALLS
    return {
        path: PathTimings(
            tuple(seconds[path]),
            round(cpu_ns[path] / calls_made / _NS_PER_US, 1),
        )
        for path in paths
    }


def _report_path(
    path: Path, times: PathTimings, direct: report.Latency
) -> PathReport:
    latency = report.summarise(times.seconds)
    return PathReport(
        name=path.name,
        hops=path.hops,
        latency=latency,
        cpu_us=times.cpu_us,
        added_p50_ms=round(latency.p50_ms - direct.p50_ms, 3),
        added_p99_ms=round(latency.p99_ms - direct.p99_ms, 3),
    )


def build_report(
    times: abc.Mapping[Path, PathTimings], idle_kb: int, after_kb: int
) -> HopsReport:
    """Compute the cost that each path adds, and the ratios.

    :param times: the timings of all paths, the direct one included.
    :param idle_kb: resident memory of a daemon before the calls, in KiB.
    :param after_kb: the same after the calls.
    """
    direct = next(path for path in times if path.hops == 0)
    direct_latency = report.summarise(times[direct].seconds)
    reports = tuple(
        _report_path(path, path_times, direct_latency)
        for path, path_times in times.items()
    )
    by_path = {(path.name, path.hops): path for path in reports}

    def compute_ratios(field: str) -> tuple[float, ...]:
        return tuple(
            round(
                getattr(by_path["daemons", hops], field)
                / getattr(by_path["bare", hops], field),
                2,
            )
            for hops in (1, 2)
        )

    return HopsReport(
        calls=len(times[direct].seconds),
        paths=reports,
        ratios_p50=compute_ratios("added_p50_ms"),
        ratios_p99=compute_ratios("added_p99_ms"),
        ratios_cpu=compute_ratios("cpu_us"),
        idle_kb=idle_kb,
        after_kb=after_kb,
    )


def format_table(result: HopsReport) -> str:
    """Format the report as a table with one row for each path."""
    lines = ["path         p50 ms  p99 ms  added p50  added p99  cpu us"]
    lines += [
        f"{path.name:8} {path.hops:3} {path.latency.p50_ms:7.2f} "
        f"{path.latency.p99_ms:7.2f} {path.added_p50_ms:10.3f} "
        f"{path.added_p99_ms:10.3f} {path.cpu_us:7.0f}"
        for path in result.paths
    ]
    lines.append(
        "daemons over bare, 1 and 2 hops: "
        f"p50 {result.ratios_p50}, p99 {result.ratios_p99}, "
        f"cpu {result.ratios_cpu}"
    )
    return "\n".join(lines)


async def measure_hops(calls: int) -> HopsReport:
    """Measure the latency of a request through 0, 1 and 2 hops.

    :param calls: number of calls on each path, after a warm-up.
    """
    async with _run_processes() as fleet:
        pid = fleet.nodes["owner"].daemon.pid
        idle_kb = read_resident_kb(pid)
        times = await _time_calls(await _set_up_paths(fleet), calls)
        return build_report(times, idle_kb, read_resident_kb(pid))
