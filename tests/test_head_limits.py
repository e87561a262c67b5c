"""The configuration's limits on callers' heads, through a daemon."""

from burdockdeal.configuration import resources
from burdockdeal_standins import raw_http


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
