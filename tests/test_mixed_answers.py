"""Parts of answers that a worker sends once more, through daemons.

A booking that failed was answered as one that was made: the late part of an
earlier answer and the answer to the booking were read as one.
"""

import asyncio
from collections import abc
import contextlib

import pytest
import pytest_asyncio

from burdockdeal_standins import cut_copies
from burdockdeal_standins import fleet as standins
from burdockdeal_standins import platform_fleet
from burdockdeal_standins import scripted_upstream

_STATUSES = ("200 OK", "500 Internal Server Error")


class CopyingWorker:
    """Puts a part of each answer before the next one on its connection.

    The answers on a connection alternate between success and failure. Each
    copy breaks off one byte further than the last.
    """

    def __init__(self) -> None:
        #: The statuses that each attempt was given.
        self.statuses: dict[str, list[int]] = {}
        self.size = 0
        self._copies = 0

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        before = b""
        with contextlib.suppress(ConnectionError):
            while True:
                head = await scripted_upstream.read_head(reader)
                if head.start_line.startswith("GET /health "):
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nInstance-Id: i-d2\r\n"
                        b"Server-Load: 0,0,9,100\r\nContent-Length: 0\r\n\r\n"
                    )
                    continue
                answer = self._build_answer(head)
                writer.write(before[: self.size])
                if before:
                    self.size += 1
                await asyncio.sleep(0)
                writer.write(answer)
                before = answer

    def _build_answer(self, head: scripted_upstream.Head) -> bytes:
        (attempt,) = head.values("Attempt-Id")
        self._copies += 1
        status = _STATUSES[self._copies % 2]
        self.statuses.setdefault(attempt, []).append(int(status[:3]))
        return cut_copies.build_answer(
            status, attempt, "own", "id last", "length"
        )


@pytest_asyncio.fixture
async def platform(
    fleet: standins.Fleet,
) -> abc.AsyncIterator[platform_fleet.PlatformFleet]:
    async with platform_fleet.PlatformFleet(fleet) as running:
        yield running


@pytest.mark.parametrize("kind", ["unsafe", "safe"])
@pytest.mark.parametrize("node", ["d1", "d2"])
async def test_a_client_gets_the_status_that_the_worker_gave(
    platform: platform_fleet.PlatformFleet, node: str, kind: str
) -> None:
    """Through two hops and one; safe requests are sent again after a cut."""
    # The worker beside the first daemon never serves.
    entry = await platform.add("d1", "shotton")
    entry.worker.is_healthy = False
    owner = await platform.add("d2", "queensferry")
    worker = CopyingWorker()
    owner.worker.server.handler = worker.handle
    # Nothing is served, and no health checked, before this.
    await platform.configure(5, kind=kind)
    await platform.wait_until_served(node)
    whole = len(
        cut_copies.build_answer(
            _STATUSES[1], "a-000", "own", "id last", "length"
        )
    )
    worker.size = 0
    answered = 0
    while worker.size <= whole:
        attempt = f"a-{answered:03d}"
        status, body = await platform.ask(node, attempt)
        if body == cut_copies.BODIES["own"].decode():
            assert status in worker.statuses[attempt], worker.size
        else:
            assert status in (502, 503), worker.size
        answered += 1
        assert answered < 5 * whole
