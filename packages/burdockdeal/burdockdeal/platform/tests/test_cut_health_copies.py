"""Bytes of an earlier health response in front of the next one.

If both were read as one, an upstream that is well would be taken for one that
leaves, or the other way round.
"""

import asyncio

import aiohttp
import pytest

from burdockdeal.platform import discovery
from burdockdeal.serving import connection_guard
from burdockdeal.settings import model
from burdockdeal_standins import raw_upstream


def _build_response(status: str, name: str) -> bytes:
    return (
        f"HTTP/1.1 {status}\r\nServer-Load: 0,0,9,100\r\n"
        f"Instance-Id: {name}\r\nContent-Length: 2\r\n\r\nok"
    ).encode()


@pytest.mark.parametrize(
    "statuses", [("503 Leaving", "200 OK"), ("200 OK", "503 Leaving")]
)
async def test_a_copy_that_ends_anywhere_changes_no_health(
    statuses: tuple[str, str],
) -> None:
    copied = _build_response(statuses[0], "i-1")
    following = _build_response(statuses[1], "i-1")
    is_healthy = statuses[1] == "200 OK"
    size = 0

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(copied)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(copied[:size] + following)
        await reader.read()

    wrong = []
    async with raw_upstream.run_upstream() as upstream:
        upstream.handler = handle
        address = model.Address("127.0.0.1", upstream.port)
        # A whole copy of a health response can't be told from a new one.
        for size in range(len(copied)):
            connector = aiohttp.TCPConnector()
            connection_guard.guard_connections(connector)
            async with aiohttp.ClientSession(connector=connector) as session:
                await discovery.check_health(session, address, "/health")
                health = await discovery.check_health(
                    session, address, "/health"
                )
            if health is not None and health.healthy is not is_healthy:
                wrong.append(size)
    assert not wrong
