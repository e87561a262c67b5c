"""Crowds of clients that keep to no limit, against running daemons.

Such clients made a process run out of memory, and kept its event loop from
other callers. Each test connects one crowd and checks that the daemons live,
stay within the memory and the descriptors of their machine, and answer one
ordinary request while the crowd is connected. Nothing here depends on how
fast the machine is.
"""

import asyncio
from collections import abc
import dataclasses
import fcntl
import os
import pathlib
import tempfile

import conftest
import pytest
import pytest_asyncio

from burdockdeal.settings import model
from burdockdeal_standins import crowd
from burdockdeal_standins import fleet as fleets
from burdockdeal_standins import ports
from burdockdeal_standins import raw_http
from burdockdeal_standins import scripted_upstream

#: Of the smallest machine that runs a daemon. A daemon may use half of what
#: is left above an idle one, since the other half is its upstream's.
MACHINE_BYTES = 200_000_000
MACHINE_DESCRIPTORS = 4_100
SHARE = 0.5

CONNECTIONS = 200

#: Seconds after which the ordinary request is sent, also while a crowd still
#: sends.
SEND_S = 8.0

#: Sends of the ordinary request: a caller may send it again after NOT_RUN.
ORDINARY_SENDS = 60
ORDINARY_TIMEOUT_S = 30.0

#: Limits lower than the defaults, as deployments have them.
LIMITS = model.Limits(connections=400, caller_idle_s=15.0, body_idle_s=10.0)

#: Length of the response that the crowd does not read.
_LARGE_BYTES = 100_000

_HEAD = b"POST /b HTTP/1.1\r\nHost: h\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_FIELD = b"X-F-%03d: " + b"v" * 16_000 + b"\r\n"
_LARGE_CHUNK = b"10000\r\n" + b"x" * 65_536 + b"\r\n"


def _make_fields(count: int) -> abc.Iterator[bytes]:
    for number in range(count):
        yield _FIELD % number


def _send_long_heads() -> abc.Iterator[bytes]:
    yield _HEAD
    yield from _make_fields(120)


def _send_endless_line() -> abc.Iterator[bytes]:
    yield b"GET /"
    for _ in range(64):
        yield b"a" * 16_384


def _send_endless_lines() -> abc.Iterator[bytes]:
    yield _HEAD
    for _ in range(64):
        yield b"X-F: v\r\n" * 2_048


def _send_empty_lines() -> abc.Iterator[bytes]:
    for _ in range(64):
        yield b"\r\n" * 32_768


def _send_large_chunks() -> abc.Iterator[bytes]:
    yield _CHUNKED
    for _ in range(16):
        yield _LARGE_CHUNK
    yield b"10000\r\n" + b"x" * 65_535


def _send_single_bytes() -> abc.Iterator[bytes]:
    yield _CHUNKED
    for _ in range(64):
        yield b"1\r\nx\r\n" * 2_730
    yield b"1\r\n"


def _send_long_trailers() -> abc.Iterator[bytes]:
    yield _CHUNKED + b"1\r\nx\r\n0\r\n"
    yield from _make_fields(120)


def _send_extensions() -> abc.Iterator[bytes]:
    yield _CHUNKED + b"1;e="
    for _ in range(64):
        yield b"a" * 16_384


def _send_nothing() -> abc.Iterator[bytes]:
    return iter(())


def _send_pipelined() -> abc.Iterator[bytes]:
    for _ in range(40):
        yield b"GET /large HTTP/1.1\r\nHost: h\r\n\r\n"


@pytest.fixture(autouse=True)
def alone() -> abc.Iterator[None]:
    """Keep these tests apart from each other, whichever process runs them.

    With `--dist worksteal`, xdist has no groups, so a lock file does it.
    """
    name = f"burdockdeal-uncontrolled-clients-{os.getuid()}.lock"
    with (pathlib.Path(tempfile.gettempdir()) / name).open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


async def _serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while True:
        head = await scripted_upstream.read_head(reader)
        if head.values("Transfer-Encoding"):
            while await reader.read(65_536):
                pass
            return
        size = _LARGE_BYTES if "/large" in head.start_line else 2
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        writer.write(b"o" * size)
        await writer.drain()


@pytest_asyncio.fixture
async def served(fleet: fleets.Fleet) -> abc.AsyncIterator[raw_http.Harness]:
    """Start an entry, and an owner whose upstream reads whole requests."""
    for name, domain in (("d1", "shotton"), ("d2", "queensferry")):
        await fleet.add_node(fleets.NodeSpec(name, domain), limits=LIMITS)
    async with scripted_upstream.run_scripted_upstream(
        "bookings",
        str(fleet.nodes["d2"].settings.listen.upstream),
        ports.free_port(),
    ) as upstream:
        upstream.handler = _serve
        await conftest.declare_basic_resources(fleet, fleet.nodes["d1"])
        harness = raw_http.Harness(fleet, upstream)
        await _check_ordinary_request(harness)
        yield harness


async def _check_ordinary_request(harness: raw_http.Harness) -> None:
    for _ in range(ORDINARY_SENDS):
        async with (
            asyncio.timeout(ORDINARY_TIMEOUT_S),
            harness.connect(raw_http.GET_REQUEST) as connection,
        ):
            head, body = await connection.read_response()
        if head.start_line.split()[1] == "200":
            assert body == b"oo"
            return
        assert head.values("Burdockdeal-Verdict") == ["NOT_RUN"]
        await asyncio.sleep(0.5)
    raise AssertionError("no ordinary request was answered")


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """What a daemon may use, from what it used while idle."""

    name: str
    pid: int
    memory: int
    memory_bytes: float
    descriptors: float

    def check(self) -> None:
        """Check the peak of the memory, and the descriptors in use."""
        # VmHWM is the largest VmRSS so far.
        peak = crowd.read_memory(self.pid)["VmHWM"]
        descriptors = crowd.count_descriptors(self.pid)
        print(
            f"{self.name}: idle {self.memory / 1e6:.1f} MB, peak"
            f" {peak / 1e6:.1f} MB, bound {self.memory_bytes / 1e6:.1f} MB,"
            f" {descriptors} descriptors"
        )
        assert peak <= self.memory_bytes, self.name
        assert descriptors <= self.descriptors, self.name


def _make_bound(name: str, pid: int) -> Bound:
    memory = crowd.read_memory(pid)["VmRSS"]
    descriptors = crowd.count_descriptors(pid)
    return Bound(
        name,
        pid,
        memory,
        memory + SHARE * (MACHINE_BYTES - memory),
        descriptors + SHARE * (MACHINE_DESCRIPTORS - descriptors),
    )


KINDS = {
    "long heads": _send_long_heads,
    "endless line": _send_endless_line,
    "endless lines": _send_endless_lines,
    "empty lines": _send_empty_lines,
    "large chunks": _send_large_chunks,
    "chunks of one byte": _send_single_bytes,
    "long trailers": _send_long_trailers,
    "endless chunk extension": _send_extensions,
    "idle": _send_nothing,
    "unread pipelined responses": _send_pipelined,
}


@pytest.mark.parametrize("kind", KINDS)
async def test_a_crowd_leaves_the_daemons_serving(
    served: raw_http.Harness, kind: str
) -> None:
    """The process ran out of memory, or answered nobody any more."""
    nodes = served.fleet.nodes
    bounds = [
        _make_bound(name, node.daemon.pid) for name, node in nodes.items()
    ]
    async with crowd.connect_crowd(
        nodes["d1"].settings.listen.caller,
        KINDS[kind],
        size=CONNECTIONS,
        within_s=SEND_S,
    ):
        try:
            await _check_ordinary_request(served)
        finally:
            for bound in bounds:
                assert nodes[bound.name].daemon.returncode is None, bound.name
                bound.check()
