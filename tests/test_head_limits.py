"""The configuration's limits on callers' heads, through a daemon."""

import asyncio

import pytest

from burdockdeal.configuration import resources
from burdockdeal_standins import raw_http
from burdockdeal_standins import scripted_upstream


async def test_configured_limits_hold_for_whole_heads(
    harness: raw_http.Harness,
) -> None:
    """They were read from the configuration and not enforced."""
    fleet = harness.fleet
    revision = await fleet.declare(
        fleet.nodes["d1"],
        "CallerLimits",
        resources.CALLER_LIMITS_NAME,
        resources.CallerLimits(header_bytes=2000, head_s=0.5),
    )
    await fleet.wait_until_ready(revision)
    harness.respond_to_all(raw_http.OK_RESPONSE)
    fields = b"".join(b"X-%d: %s\r\n" % (n, b"v" * 100) for n in range(30))
    head = b"GET /jobs/1 HTTP/1.1\r\nHost: h\r\n"
    async with harness.connect(head + fields + b"\r\n") as connection:
        refusal = await connection.read_refusal()
        assert refusal == ("431", "NOT_RUN", "HEADER_TOO_LARGE")
    async with harness.connect(head) as connection:
        refusal = await connection.read_refusal()
        assert refusal == ("408", "NOT_RUN", "SLOW_CALLER")
    await harness.check_still_serves()


@pytest.mark.parametrize("node", ["d1", "d2"])
@pytest.mark.parametrize(
    "rest", [b"no size\r\n", b"1;" + b"e" * 40_000], ids=["malformed", "long"]
)
async def test_an_upload_that_breaks_off_may_have_run(
    harness: raw_http.Harness, node: str, rest: bytes
) -> None:
    """A part of the body has reached the upstream, so NOT_RUN is untrue."""
    arrived = asyncio.Event()

    async def handle(reader, writer) -> None:
        await scripted_upstream.read_head(reader)
        await reader.readexactly(50_000)
        arrived.set()
        await reader.read()

    harness.upstream.handler = handle
    head = (
        b"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"186a0\r\n" + bytes(100_000) + b"\r\n"
    )
    async with harness.connect(head, node) as connection:
        await asyncio.wait_for(arrived.wait(), 10)
        connection.writer.write(rest)
        status, outcome, _ = await connection.read_refusal()
    assert outcome == "MAY_HAVE_RUN"
    assert status not in ("408", "413", "429", "431", "503")
    await harness.check_still_serves()
