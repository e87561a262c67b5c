"""Errors that no code handles, while requests are in progress.

Such an error ended the daemon at once, and with it the requests that its
upstream was running. It has to end as a planned stop does.
"""

import asyncio
from collections import abc
import contextlib
import signal

import pytest
import pytest_asyncio

from burdockdeal_standins import fleet as standins
from burdockdeal_standins import raw_http
from burdockdeal_standins import scripted_upstream

_POST = (
    b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
    b"Burdockdeal-Deadline-Ms: 8000\r\n\r\n"
)
_REQUESTS = 8
_RUN_S = 1.0
_FAULTS = [signal.SIGUSR1, signal.SIGUSR2]
_FAULT_NAMES = ["service task", "checks"]


@pytest_asyncio.fixture
async def fleet() -> abc.AsyncIterator[standins.Fleet]:
    """Start daemons that fail at a signal."""
    async with standins.run_fleet() as running:
        running.daemon_module = "burdockdeal_standins.failing_daemon"
        yield running
        print(running.read_log_tails())


@contextlib.asynccontextmanager
async def run_bookings(
    harness: raw_http.Harness, node: str
) -> abc.AsyncIterator[None]:
    """Send requests that may run once, and expect a response to each.

    All of them are running at the upstream while the context is in use.
    """
    running = 0
    all_run = asyncio.Event()

    async def handle(reader, writer) -> None:
        nonlocal running
        while True:
            await scripted_upstream.read_head(reader)
            running += 1
            if running == _REQUESTS:
                all_run.set()
            await asyncio.sleep(_RUN_S)
            writer.write(raw_http.OK_RESPONSE)

    async def book() -> str:
        async with harness.connect(_POST, node) as connection:
            head, _ = await connection.read_response()
            return head.start_line.split()[1]

    harness.upstream.handler = handle
    bookings = [asyncio.ensure_future(book()) for _ in range(_REQUESTS)]
    async with asyncio.timeout(5):
        await all_run.wait()
    yield
    assert await asyncio.gather(*bookings) == ["200"] * _REQUESTS


async def wait_for_crash(harness: raw_http.Harness, node: str) -> None:
    async def has_crashed() -> bool:
        return "event=daemon_crashed" in harness.fleet.read_log(node)

    await harness.fleet.wait_until(has_crashed, "the error is logged")


async def check_exit(harness: raw_http.Harness, node: str) -> None:
    """Check that a daemon ends with an error and has logged its cause."""
    daemon = harness.fleet.nodes[node].daemon
    assert await asyncio.wait_for(daemon.wait(), 15) == 1
    crashes = [
        line
        for line in harness.fleet.read_log(node).splitlines()
        if "event=daemon_crashed" in line
    ]
    assert len(crashes) == 1
    assert "IndexError('raised by the test')" in crashes[0]
    assert "failing_daemon.py:" in crashes[0]


@pytest.mark.parametrize("node", ["d1", "d2"])
@pytest.mark.parametrize("fault", _FAULTS, ids=_FAULT_NAMES)
async def test_an_unforeseen_error_cuts_no_request(
    harness: raw_http.Harness, fault: signal.Signals, node: str
) -> None:
    """At the daemon of the callers, and at that beside the upstream."""
    async with run_bookings(harness, "d1"):
        harness.fleet.nodes[node].daemon.send_signal(fault)
        await wait_for_crash(harness, node)
    await check_exit(harness, node)


async def test_a_stop_that_follows_an_unforeseen_error_cuts_no_request(
    harness: raw_http.Harness,
) -> None:
    """SIGTERM was taken for a second request, which aborts at once."""
    daemon = harness.fleet.nodes["d2"].daemon
    async with run_bookings(harness, "d2"):
        daemon.send_signal(signal.SIGUSR1)
        await wait_for_crash(harness, "d2")
        daemon.send_signal(signal.SIGTERM)
    await check_exit(harness, "d2")


@pytest.mark.parametrize("fault", _FAULTS, ids=_FAULT_NAMES)
async def test_an_unforeseen_error_during_a_stop_cuts_no_request(
    harness: raw_http.Harness, fault: signal.Signals
) -> None:
    daemon = harness.fleet.nodes["d2"].daemon
    async with run_bookings(harness, "d2"):
        daemon.send_signal(signal.SIGTERM)
        daemon.send_signal(fault)
        await wait_for_crash(harness, "d2")
    await check_exit(harness, "d2")
