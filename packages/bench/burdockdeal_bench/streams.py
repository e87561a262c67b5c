"""When the head and the first message of a response arrive, by its framing."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import time

from burdockdeal.configuration import resources
from burdockdeal_bench import report
from burdockdeal_standins import fleet as standins
from burdockdeal_standins import ports
from burdockdeal_standins import scripted_upstream

_WARM_UP_CALLS = 50

#: Seconds between the first message and the end of a response.
_PAUSE_S = 0.01

_FIRST = b"first"
_LAST = b"." * 24_000

#: Head and parts of the responses. The caller reads up to the end of each.
_FRAMINGS: abc.Mapping[str, tuple[bytes, bytes, bytes]] = {
    "stream": (
        b"Transfer-Encoding: chunked",
        b"5\r\n" + _FIRST + b"\r\n",
        b"%x\r\n" % len(_LAST) + _LAST + b"\r\n0\r\n\r\n",
    ),
    "length": (
        b"Content-Length: %d" % (len(_FIRST) + len(_LAST)),
        _FIRST,
        _LAST,
    ),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Arrivals:
    """Times from the sending of a request, in seconds.

    :param head: until the head of the response was there.
    :param first: until its first message was there.
    """

    head: float
    first: float


@dataclasses.dataclass(frozen=True, slots=True)
class ArrivalsReport:
    """When responses of one framing arrive over one path.

    :param hops: number of daemons between the caller and the upstream.
    """

    framing: str
    hops: int
    head: report.Latency
    first: report.Latency


async def _respond(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Respond to requests whose path names a framing."""
    while True:
        head = await scripted_upstream.read_head(reader)
        fields, first, last = _FRAMINGS[head.start_line.split()[1][1:]]
        writer.write(b"HTTP/1.1 200 OK\r\n" + fields + b"\r\n\r\n" + first)
        await asyncio.sleep(_PAUSE_S)
        writer.write(last)


async def _time_call(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, framing: str
) -> Arrivals:
    started = time.perf_counter()
    writer.write(f"GET /{framing} HTTP/1.1\r\nHost: bench\r\n\r\n".encode())
    fields = await reader.readuntil(b"\r\n\r\n")
    head = time.perf_counter() - started
    await reader.readuntil(_FIRST)
    first = time.perf_counter() - started
    if b"chunked" in fields.lower():
        await reader.readuntil(b"\r\n0\r\n\r\n")
    else:
        await reader.readexactly(len(_LAST))
    return Arrivals(head, first)


async def _time_calls(
    address: tuple[str, int], framing: str, calls: int
) -> list[Arrivals]:
    reader, writer = await asyncio.open_connection(
        *address, limit=4 * len(_LAST)
    )
    with contextlib.closing(writer):
        for _ in range(_WARM_UP_CALLS):
            await _time_call(reader, writer, framing)
        return [
            await _time_call(reader, writer, framing) for _ in range(calls)
        ]


def build_report(
    framing: str, hops: int, arrivals: abc.Sequence[Arrivals]
) -> ArrivalsReport:
    """Summarize the arrivals over one path."""
    return ArrivalsReport(
        framing,
        hops,
        head=report.summarise([each.head for each in arrivals]),
        first=report.summarise([each.first for each in arrivals]),
    )


def format_table(rows: abc.Sequence[ArrivalsReport]) -> str:
    """Format reports as a table with one row for each path."""
    lines = ["framing hops  head p50     p99  first p50     p99  (ms)"]
    lines += [
        f"{row.framing:7} {row.hops:4} {row.head.p50_ms:9.2f} "
        f"{row.head.p99_ms:7.2f} {row.first.p50_ms:10.2f} "
        f"{row.first.p99_ms:7.2f}"
        for row in rows
    ]
    return "\n".join(lines)


@contextlib.asynccontextmanager
async def _run_paths() -> abc.AsyncIterator[tuple[tuple[str, int], ...]]:
    """Run an upstream behind two daemons.

    :returns: the addresses with 0, 1 and 2 daemons before it.
    """
    async with standins.run_fleet() as fleet:
        for name, domain in (("owner", "shotton"), ("entry", "queensferry")):
            await fleet.add_node(standins.NodeSpec(name, domain))
        owner, entry = fleet.nodes["owner"], fleet.nodes["entry"]
        port = ports.free_port()
        async with scripted_upstream.run_scripted_upstream(
            "orders", str(owner.settings.listen.upstream), port
        ) as upstream:
            upstream.handler = _respond
            await fleet.declare(
                owner, "Service", "orders", resources.Service()
            )
            await fleet.declare(
                owner, "Rank", "status", resources.Rank(0, 1.0, 1000.0)
            )
            rule = resources.Rule("orders", "status")
            await fleet.wait_until_ready(
                await fleet.declare(owner, "Rule", "all", rule)
            )
            addresses = [(ports.HOST, port)]
            for node in (owner, entry):
                caller = node.settings.listen.caller
                addresses.append((caller.host, caller.port))
            yield tuple(addresses)


async def measure_arrivals(calls: int) -> tuple[ArrivalsReport, ...]:
    """Measure when the head and the first message of responses arrive.

    :param calls: number of calls for each framing on each path.
    """
    async with _run_paths() as addresses:
        # The entry learns of the upstream from the owner's next message.
        await asyncio.sleep(1.0)
        return tuple(
            [
                build_report(
                    framing, hops, await _time_calls(address, framing, calls)
                )
                for framing in _FRAMINGS
                for hops, address in enumerate(addresses)
            ]
        )
