"""Entries and heartbeats that another program has written.

They may be nested very deeply, or bear numbers, hosts and ports out of range.
Each is rejected with the codec's own error, and what is beside it holds.
"""

import json

import aiohttp
from hypothesis import given
from hypothesis import strategies
import pytest

from burdockdeal.admission import saturation_profiles
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.membership import messages as membership
from burdockdeal.membership import transport
from burdockdeal.platform import configuration
from burdockdeal.platform import heartbeats
from burdockdeal.platform import wire
from burdockdeal.settings import model

_NESTED = "[" * 100_000 + "]" * 100_000
_HUGE = "9" * 5000

_ODD_VALUES = [
    _NESTED,
    '{"a":' * 100_000 + "1" + "}" * 100_000,
    _HUGE,
    "9" * 400,
    "-" + "9" * 30,
    "1e999",
    "-1",
    "65536",
    "0",
    "1.5",
    "null",
    '""',
    '"a..b"',
    '"' + "x" * 5000 + '"',
    '"\\u0000"',
    "[]",
    "{}",
]

_HEARTBEAT = {
    "service": "orders",
    "address": "10.0.0.1:80",
    "slots": 9,
    "state": "ready",
    "sequence": 4,
    "coldRemainingMs": 0,
    "born": 1000,
}
_CONTACTS = {
    "contacts": [{"daemon": "a1", "peer": {"host": "10.0.0.1", "port": 80}}]
}
_DOCUMENT = {
    "version": "r7",
    "routes": [
        {
            "name": "all",
            "host": "shop.example",
            "pathPrefix": "/",
            "kind": "safe",
            "timeoutMs": 1000,
            "targetLatencyMs": 500,
            "maxAttempts": 2,
            "priority": 1,
            "trafficSplit": [{"service": "orders", "weight": 1}],
        }
    ],
    "services": [{"name": "orders", "healthPath": "/health"}],
    "limits": {"maxBodyBytes": 1000, "idleTimeoutMs": 1000},
}
_MARKER = "the odd value"


def list_variants(value: object) -> list[object]:
    """List a value's variants with a marker in the place of each part."""
    variants: list[object] = [_MARKER]
    if isinstance(value, dict):
        variants += [
            {**value, name: variant}
            for name, part in value.items()
            for variant in list_variants(part)
        ]
        variants.append({**value, "unknown": _MARKER})
    if isinstance(value, list):
        variants += [
            [*value[:index], variant, *value[index + 1 :]]
            for index, part in enumerate(value)
            for variant in list_variants(part)
        ]
    return variants


def list_odd(message: object) -> list[str]:
    """List texts of a message with an odd value in each of its places."""
    return [
        json.dumps(variant).replace(f'"{_MARKER}"', odd)
        for variant in list_variants(message)
        for odd in _ODD_VALUES
    ]


def decode_heartbeat(text: str) -> None:
    heartbeat = codec.decode(text, heartbeats.Heartbeat)
    # The product calculates with these.
    assert 0.5 * heartbeat.slots < float("inf")
    assert codec.encode(heartbeat)


def decode_contacts(text: str) -> None:
    codec.encode(codec.decode(text, membership.Contacts))


def decode_profiles(text: str) -> None:
    codec.decode(text, saturation_profiles.Profiles)


@pytest.mark.parametrize(
    ("message", "decode"),
    [
        (_HEARTBEAT, decode_heartbeat),
        (_CONTACTS, decode_contacts),
        ({"saturating": ["orders"]}, decode_profiles),
        (_DOCUMENT, configuration.parse),
    ],
)
def test_an_odd_value_raises_the_error_of_the_codec(message, decode) -> None:
    """Guards against readers that end, again after each start."""
    for text in list_odd(message):
        try:
            decode(text)
        except codec.MalformedError:
            pass


@given(strategies.integers(min_value=1, max_value=200_000))
def test_no_depth_of_nesting_ends_a_reader(depth: int) -> None:
    text = '{"unknown":' + "[" * depth + "]" * depth + "}"
    for kind in (membership.Contacts, saturation_profiles.Profiles):
        try:
            codec.decode(text, kind)
        except codec.MalformedError:
            pass


def test_a_response_of_the_store_that_is_nested_deeply_is_uncertain() -> None:
    """The watch of the store goes on after such a response."""
    text = '{"storeRevision":1,"unknown":' + _NESTED + "}"
    with pytest.raises(errors.StoreUncertainError):
        wire.decode_message(text.encode(), wire.Page)


@pytest.mark.parametrize("host", ["a..b", "x" * 300, "h h", "", "[", "é", "*"])
async def test_a_host_that_is_no_address_is_not_a_contact(host: str) -> None:
    """Guards against a join that ends with an encoding error."""
    text = json.dumps(
        {"contacts": [{"daemon": "a1", "peer": {"host": host, "port": 80}}]}
    )
    with pytest.raises(codec.MalformedError):
        codec.decode(text, membership.Contacts)


@pytest.mark.parametrize("host", ["999.1.1.1", "::1", "::", "1:2", "0.0.0.0"])
async def test_a_host_that_is_hardly_an_address_is_not_reached(
    host: str,
) -> None:
    async with aiohttp.ClientSession() as session:
        post = transport.make_post(session, "token-of-the-fleet")
        result = await post(
            model.Address(host, 1),
            "/",
            membership.PageRequest(0, ()),
            membership.Page,
            0.2,
        )
    assert result is None
