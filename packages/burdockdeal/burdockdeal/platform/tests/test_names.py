"""What the reader of the store takes, every daemon takes.

A version with a service named `orders_2` was put in force by the daemons that
read the store, and never by the others: the copy that they get was checked
more strictly than what the operator wrote.
"""

import json
import typing

import hypothesis
from hypothesis import strategies
import pytest

from burdockdeal.configuration import messages
from burdockdeal.configuration import snapshots
from burdockdeal.configuration import state
from burdockdeal.core import codec
from burdockdeal.platform import configuration

_ROUTE = {
    "name": "all",
    "host": "shop.example",
    "pathPrefix": "/shop/",
    "kind": "safe",
    "timeoutMs": 1500,
    "targetLatencyMs": 600,
    "maxAttempts": 2,
    "priority": 1,
    "service": "orders",
}
_SERVICE = {"name": "orders", "healthPath": "/health", "coldPerS": 2.0}
_TENANT = {"name": "shop", "apiKeys": ["key"], "ratePerS": 5, "burst": 5}
_LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 1_000_000,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}

_NAMES = ("orders_2", "Orders", "orders.v2", "0", "a/b", "\u00e9", "x" * 200)

#: Numbers and texts at the bounds of what a field may hold.
_VALUES = strategies.one_of(
    strategies.sampled_from(
        [0, -1, 1, 0.0, 1e-9, 1e9, 1e300, 2**53, 2**64, "", " ", *_NAMES]
    ),
    strategies.text(max_size=70),
    strategies.integers(),
    strategies.floats(allow_nan=False, allow_infinity=False),
)


def read(document: dict[str, typing.Any]) -> state.Configuration:
    return configuration.parse(json.dumps(document))


def copy(original: state.Configuration) -> state.Configuration:
    """Copy a configuration as from one daemon to another."""
    parts = [
        codec.decode(codec.encode(part), messages.Part)
        for part in snapshots.split(original, part_bytes=200)
    ]
    return snapshots.join(parts)


def build_document(**changed: object) -> dict[str, typing.Any]:
    return {
        "version": "r7",
        "routes": [_ROUTE],
        "services": [_SERVICE],
        "tenants": [_TENANT],
        "limits": _LIMITS,
        **changed,
    }


@pytest.mark.parametrize("name", _NAMES)
def test_a_service_may_have_any_name(name: str) -> None:
    split = [{"service": name, "weight": 1}, {"service": "b", "weight": 2}]
    document = build_document(
        routes=[
            {**_ROUTE, "service": name},
            {**_ROUTE, "name": "split", "service": "", "trafficSplit": split},
        ],
        services=[{**_SERVICE, "name": name}],
        tenants=[{**_TENANT, "name": name, "allowedRegions": [name]}],
    )
    document["routes"][0]["allowedRegions"] = [name]
    original = read(document)
    assert state.Key("Service", name) in original.resources
    assert original.resources[state.Key("Workspace", name)].spec.regions == (
        name,
    )
    assert copy(original) == original


@hypothesis.settings(derandomize=True, deadline=None, max_examples=600)
@hypothesis.given(data=strategies.data())
def test_what_is_read_is_copied_and_reproduced(
    data: strategies.DataObject,
) -> None:
    """Or it is refused where it is read, for all daemons."""
    parts = {
        "routes": dict(_ROUTE),
        "services": dict(_SERVICE),
        "tenants": dict(_TENANT),
        "limits": dict(_LIMITS),
    }
    for _ in range(data.draw(strategies.integers(1, 3))):
        part = data.draw(strategies.sampled_from(sorted(parts)))
        field = data.draw(strategies.sampled_from(sorted(parts[part])))
        parts[part][field] = data.draw(_VALUES)
    limits = parts.pop("limits")
    document = build_document(
        limits=limits, **{name: [part] for name, part in parts.items()}
    )
    try:
        original = read(document)
    except codec.MalformedError:
        return
    assert copy(original) == original
