"""Targets of requests, as the upstream gets them through one hop and two.

The question mark of an empty query and a fragment were dropped, and a target
in absolute form was answered 500.
"""

import pytest

from burdockdeal.configuration import resources
from burdockdeal_standins import raw_http

_TARGETS = [
    b"/jobs/1?",
    b"/jobs/1#part",
    b"/jobs/a%2Fb%2f%62;c=%3B",
    b"/jobs//..//./x?/y?z=%20+#",
    b"//jobs/1",
    b'/jobs/^|{}"<>',
]


def _build_request(target: bytes, method: bytes = b"GET") -> bytes:
    return (
        method + b" " + target + b" HTTP/1.1\r\nHost: here\r\n"
        b"Content-Length: 0\r\n\r\n"
    )


@pytest.mark.parametrize("node", ["d1", "d2"])
async def test_a_target_reaches_the_upstream_as_it_was_sent(
    harness: raw_http.Harness, node: str
) -> None:
    heads = harness.respond_to_all(raw_http.OK_RESPONSE)
    for target in _TARGETS:
        async with harness.connect(_build_request(target), node) as caller:
            await caller.read_response()
        expected = f"GET {target.decode()} HTTP/1.1"
        assert heads.pop().start_line == expected


@pytest.mark.parametrize("node", ["d1", "d2"])
async def test_a_target_in_absolute_form_is_sent_on_in_origin_form(
    harness: raw_http.Harness, node: str
) -> None:
    heads = harness.respond_to_all(raw_http.OK_RESPONSE)
    request = _build_request(b"http://there:8080/jobs/1?")
    async with harness.connect(request, node) as caller:
        await caller.read_response()
    (head,) = heads
    assert head.start_line == "GET /jobs/1? HTTP/1.1"
    assert head.values("Host") == ["there:8080"]


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
