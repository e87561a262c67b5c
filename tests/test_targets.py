"""Targets of requests, as the upstream gets them through one hop and two.

A booking with an encoded slash in its path ran twice.
"""

import pytest

from burdockdeal.configuration import resources
from burdockdeal_standins import raw_http


def _build_request(target: bytes, method: bytes = b"GET") -> bytes:
    return (
        method + b" " + target + b" HTTP/1.1\r\nHost: here\r\n"
        b"Content-Length: 0\r\n\r\n"
    )


@pytest.mark.parametrize("node", ["d1", "d2"])
async def test_an_encoded_slash_chooses_no_rule_for_the_decoded_path(
    harness: raw_http.Harness, node: str
) -> None:
    """The request went to another service, or was repeated as it allows."""
    fleet, first = harness.fleet, harness.fleet.nodes["d1"]
    await fleet.declare(first, "Service", "other", resources.Service())
    revision = await fleet.declare(
        first,
        "Rule",
        "lists",
        resources.Rule(
            service="other",
            rank="booking",
            order=1,
            match=resources.Match("/book/list/"),
            idempotent=True,
        ),
    )
    await fleet.wait_until_ready(revision)
    heads = harness.respond_to_all(raw_http.OK_RESPONSE)
    request = _build_request(b"/book/list%2F1", b"POST")
    async with harness.connect(request, node) as caller:
        assert (await caller.read_response())[1] == b"ok"
    assert len(heads) == 1
