"""What operators of similar systems reported, played through real daemons.

Late copies of responses are in test_faulty_upstream.py, restarts in the
tests of heartbeats, suspensions in those of the clock.
"""

import asyncio
import contextlib
import dataclasses
import signal

import conftest
import pytest

from burdockdeal_standins import fleet as standins
from burdockdeal_standins import raw_http
from burdockdeal_standins import scripted_upstream

_POST = (
    b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
    b"Burdockdeal-Deadline-Ms: 8000\r\n\r\nhi"
)
_PIPELINED = 6
_RUN_S = 0.4
_PAUSE_S = 1.5


class SlowUpstream:
    """Takes some time for each request, and notes those that it runs."""

    def __init__(self, harness: raw_http.Harness) -> None:
        self.runs: list[str] = []
        self.has_started = asyncio.Event()
        harness.upstream.handler = self._handle

    async def _handle(self, reader, writer) -> None:
        while True:
            head = await scripted_upstream.read_head(reader)
            self.runs.append(head.start_line)
            self.has_started.set()
            if head.start_line.startswith("POST"):
                await reader.readexactly(2)
            await asyncio.sleep(_RUN_S)
            writer.write(raw_http.OK_RESPONSE)


@pytest.mark.parametrize("stopped", ["d1", "d2"])
async def test_a_planned_stop_answers_all_that_was_read(
    harness: raw_http.Harness, stopped: str
) -> None:
    """The entry, or the owner, gets SIGTERM with requests in every state.

    Some run, some wait behind others on their connection, and some arrive on
    connections that are accepted just after the signal.
    """
    upstream = SlowUpstream(harness)
    process = harness.fleet.nodes[stopped].daemon

    async def ask(count: int) -> list[str]:
        lines = []
        async with harness.connect(raw_http.GET_REQUEST * count) as connection:
            for _ in range(count):
                head, _ = await connection.read_response()
                lines.append(head.start_line.split()[1])
        return lines

    waiting = [asyncio.ensure_future(ask(_PIPELINED)) for _ in range(3)]
    await asyncio.sleep(_RUN_S / 2)
    process.send_signal(signal.SIGTERM)
    late = [asyncio.ensure_future(ask(1)) for _ in range(5)]
    answers = [
        status for lines in await asyncio.gather(*waiting) for status in lines
    ]
    answers += [
        status for lines in await asyncio.gather(*late) for status in lines
    ]
    # Each is answered: what has started by the upstream's response, the rest
    # by that or by a refusal, and nothing is cut off.
    assert len(answers) == 3 * _PIPELINED + 5
    assert set(answers) <= {"200", "503"}
    assert upstream.runs
    assert answers.count("200") >= len(upstream.runs)
    assert await asyncio.wait_for(process.wait(), 15) == 0


@pytest.mark.parametrize("stopped", ["d1", "d2"])
async def test_a_planned_stop_ends_connections_that_are_never_idle(
    harness: raw_http.Harness, stopped: str
) -> None:
    """Guards against a stop that cuts off pipelined requests at its limit.

    Each client always has further requests on their way, and sends until a
    response says that the connection closes.
    """
    upstream = SlowUpstream(harness)
    process = harness.fleet.nodes[stopped].daemon

    async def ask_on(connection: raw_http.CallerConnection) -> int:
        count = 0
        while True:
            connection.writer.write(raw_http.GET_REQUEST)
            head, _ = await connection.read_response()
            count += head.start_line.split()[1] == "200"
            if "close" in head.values("Connection"):
                return count

    async with contextlib.AsyncExitStack() as stack:
        connections = [
            await stack.enter_async_context(
                harness.connect(raw_http.GET_REQUEST * _PIPELINED, stopped)
            )
            for _ in range(3)
        ]
        clients = [asyncio.ensure_future(ask_on(one)) for one in connections]
        await asyncio.sleep(2 * _RUN_S)
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(5):
            succeeded = await asyncio.gather(*clients)
    assert sum(succeeded) == len(upstream.runs)
    assert await asyncio.wait_for(process.wait(), 15) == 0


@pytest.mark.parametrize("stopped", ["d1", "d2"])
async def test_no_request_that_comes_late_in_a_stop_is_cut(
    harness: raw_http.Harness, stopped: str
) -> None:
    """Guards against a stop that takes requests until its end.

    Requests that may not be repeated come on kept and on new connections
    until the process has ended. What is passed on is answered.
    """
    upstream = SlowUpstream(harness)
    process = harness.fleet.nodes[stopped].daemon
    answers: list[str] = []

    async def ask(connection: raw_http.CallerConnection) -> bool:
        """Send a request; return whether the connection goes on."""
        connection.writer.write(_POST)
        head, _ = await connection.read_response()
        answers.append(head.start_line.split()[1])
        return "close" not in head.values("Connection")

    async def ask_on_kept_connection(pause_s: float) -> None:
        async with harness.connect(b"", stopped) as connection:
            with contextlib.suppress(
                ConnectionError, asyncio.IncompleteReadError
            ):
                while await ask(connection):  # noqa: ASYNC110
                    await asyncio.sleep(pause_s)

    async def ask_on_new_connections() -> None:
        while True:
            try:
                async with harness.connect(b"", stopped) as connection:
                    await ask(connection)
            except ConnectionRefusedError:
                return
            except (ConnectionError, asyncio.IncompleteReadError):
                continue

    kept = [
        asyncio.ensure_future(ask_on_kept_connection(0.1 * number))
        for number in range(12)
    ]
    await asyncio.sleep(_RUN_S)
    process.send_signal(signal.SIGTERM)
    async with asyncio.timeout(15):
        await asyncio.gather(*kept, ask_on_new_connections())
        assert await process.wait() == 0
    assert answers.count("200") == len(upstream.runs)
    assert set(answers) <= {"200", "503"}


async def test_a_request_too_long_for_a_stop_gets_a_final_response(
    fleet: standins.Fleet,
) -> None:
    """It came during the stop, and its upstream is still at work."""
    limits = fleet.make_settings(standins.NodeSpec("x", "y")).limits
    limits = dataclasses.replace(limits, grace_s=3.0)
    node = await fleet.add_node(
        standins.NodeSpec("d1", "shotton"), limits=limits
    )
    await fleet.add_node(
        standins.NodeSpec("d2", "shotton", "bookings", service_ms=6000)
    )
    await conftest.declare_basic_resources(fleet, node)
    node.daemon.terminate()
    async with fleet.session.post(
        f"{node.caller_url}/b",
        data=b"hi",
        headers={"Burdockdeal-Deadline-Ms": "20000"},
    ) as response:
        assert response.headers["Burdockdeal-Verdict"] == "MAY_HAVE_RUN"
    assert await asyncio.wait_for(node.daemon.wait(), 3) == 0
    assert "phase=CUT" not in fleet.read_log("d1")


async def test_a_silent_owner_keeps_its_running_work(
    harness: raw_http.Harness,
) -> None:
    """The daemon beside the upstream is paused while a booking runs.

    The others suspect it meanwhile. The booking is neither started again nor
    given up.
    """
    upstream = SlowUpstream(harness)
    process = harness.fleet.nodes["d2"].daemon
    async with harness.connect(_POST) as connection:
        await asyncio.wait_for(upstream.has_started.wait(), 5)
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(_PAUSE_S)
        process.send_signal(signal.SIGCONT)
        head, body = await connection.read_response()
    assert (head.start_line.split()[1], body) == ("200", b"ok")
    assert upstream.runs == ["POST /b HTTP/1.1"]


async def test_a_silent_entry_keeps_its_running_work(
    harness: raw_http.Harness,
) -> None:
    upstream = SlowUpstream(harness)
    process = harness.fleet.nodes["d1"].daemon
    async with harness.connect(_POST) as connection:
        await asyncio.wait_for(upstream.has_started.wait(), 5)
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(_PAUSE_S)
        process.send_signal(signal.SIGCONT)
        head, body = await connection.read_response()
    assert (head.start_line.split()[1], body) == ("200", b"ok")
    assert upstream.runs == ["POST /b HTTP/1.1"]


_HALF_RESPONSES = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "close": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
}


@pytest.mark.parametrize("framing", _HALF_RESPONSES)
async def test_a_response_whose_owner_is_lost_never_looks_complete(
    harness: raw_http.Harness, framing: str
) -> None:
    """The hop between the daemons breaks in the middle of the body."""
    sent = asyncio.Event()

    async def handle(reader, writer) -> None:
        await scripted_upstream.read_head(reader)
        part = b"x" * 1000
        if framing == "chunks":
            part = b"3e8\r\n" + part + b"\r\n"
        writer.write(_HALF_RESPONSES[framing])
        for _ in range(10):
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.02)
        sent.set()
        await asyncio.sleep(10)

    harness.upstream.handler = handle
    async with harness.connect(raw_http.GET_REQUEST) as connection:
        head = await connection.read_head()
        await asyncio.wait_for(sent.wait(), 10)
        harness.fleet.nodes["d2"].daemon.kill()
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            # A body that ends with its connection may not end by a close.
            received = await connection.read_all()
            raise asyncio.IncompleteReadError(received, None)
    if framing == "close":
        # The entry passes on a body of unknown length in chunks.
        assert head.values("Transfer-Encoding") == ["chunked"]
