"""What the reader of the store takes, every daemon takes.

A version with a service named `orders_2` was put in force by the daemons that
read the store, and never by the others: the copy that they get was checked
more strictly than what the operator wrote.
"""

import dataclasses
import json
import typing

import hypothesis
from hypothesis import strategies
import pytest

from burdockdeal.configuration import messages
from burdockdeal.configuration import resources
from burdockdeal.configuration import snapshots
from burdockdeal.configuration import state
from burdockdeal.core import codec
from burdockdeal.platform import configuration

_DAY_MS = 86_400_000

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


@pytest.mark.parametrize(
    ("part", "field", "invalid"),
    [
        ("routes", "timeoutMs", -1),
        ("routes", "targetLatencyMs", -0.5),
        ("routes", "trafficSplit", [{"service": "a", "weight": -1}]),
        ("routes", "trafficSplit", [{"service": " a", "weight": 1}]),
        ("services", "name", "x" * 201),
        ("limits", "maxHeaderBytes", -1),
        ("limits", "maxBodyBytes", -1),
        ("limits", "headerTimeoutMs", -1),
        ("limits", "idleTimeoutMs", -1),
    ],
)
def test_a_version_is_refused_with_the_field(
    part: str, field: str, invalid: object
) -> None:
    value = {"routes": _ROUTE, "services": _SERVICE, "limits": _LIMITS}[part]
    changed = {**value, field: invalid}
    document = build_document(
        **{part: changed if part == "limits" else [changed]}
    )
    with pytest.raises(codec.MalformedError, match=rf"\$\.{part}.*\.{field}"):
        read(document)


@pytest.mark.parametrize(
    "field",
    ["maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs"],
)
def test_a_limit_of_zero_is_none(field: str) -> None:
    """The daemons that read the store refused all requests with it."""
    original = read(build_document(limits={**_LIMITS, field: 0}))
    (limits,) = original.of_kind("CallerLimits")
    bounds = dataclasses.astuple(limits.spec)
    assert max(bounds) > _DAY_MS
    assert min(bounds) > 0
    assert copy(original) == original


def test_a_route_without_a_timeout_has_the_usual_deadline() -> None:
    route = {**_ROUTE, "timeoutMs": 0, "targetLatencyMs": 0}
    original = read(build_document(routes=[route]))
    (rule,) = original.of_kind("Rule")
    assert rule.spec.deadline_ms == resources.DEFAULT_DEADLINE_MS
    assert copy(original) == original


@pytest.mark.parametrize(
    ("field", "figures"),
    [
        ("targetLatencyMs", (100, 100.4)),
        ("targetLatencyMs", (0.1, 0.2)),
        ("targetLatencyMs", (2.0**53, 2.0**53 + 2)),
        ("timeoutMs", (1000, 2000)),
    ],
)
def test_routes_with_different_targets_have_different_ranks(
    field: str, figures: tuple[float, float]
) -> None:
    """The last of two routes set the target of both."""
    terms = [{"targetLatencyMs": 0, field: figure} for figure in figures]
    first = {**_ROUTE, **terms[0]}
    second = {**_ROUTE, **terms[1], "name": "second"}
    original = read(build_document(routes=[first, second]))
    alone = [read(build_document(routes=[route])) for route in (first, second)]
    rules = {rule.name: rule.spec for rule in original.of_kind("Rule")}
    for route, expected in zip((first, second), alone, strict=True):
        rank = state.Key("Rank", rules[route["name"]].rank)
        assert original.resources[rank].spec == expected.resources[rank].spec
