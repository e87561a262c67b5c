"""Workspaces in the platform's configuration document."""

import json

import pytest

from burdockdeal.configuration import resources
from burdockdeal.configuration import state
from burdockdeal.core import codec
from burdockdeal.platform import configuration
from burdockdeal.workspaces import decisions

_ROUTE = {
    "name": "r-1",
    "host": "h.example",
    "pathPrefix": "/a/",
    "kind": "safe",
    "timeoutMs": 800,
    "targetLatencyMs": 400,
    "priority": 2,
    "service": "s-1",
    "allowAnonymous": True,
    "allowedRegions": ["north"],
}
_TENANT = {
    "name": "t-1",
    "apiKeys": ["k-1", "k-2"],
    "priority": 0,
    "ratePerS": 76,
    "burst": 20,
    "allowedRegions": ["north", "south"],
}


def parse(*tenants: object) -> state.Configuration:
    document = {
        "version": "r7",
        "routes": [_ROUTE],
        "services": [{"name": "s-1", "coldPerS": 5.5}],
        "tenants": list(tenants),
    }
    return configuration.parse(json.dumps(document))


def find_names(parsed: state.Configuration) -> list[str]:
    return [resource.name for resource in parsed.of_kind("Workspace")]


def test_a_workspace_has_digests_in_place_of_its_keys() -> None:
    parsed = parse(_TENANT)
    (workspace,) = parsed.of_kind("Workspace")
    assert workspace.spec == resources.Workspace(
        key_digests=tuple(map(decisions.compute_digest, ("k-1", "k-2"))),
        urgency=0,
        requests_per_s=76,
        burst=20,
        regions=("north", "south"),
    )
    assert "k-1" not in repr(parsed)


def test_terms_of_routes_and_services() -> None:
    parsed = parse()
    rule, service = parsed.of_kind("Rule")[0], parsed.of_kind("Service")[0]
    assert rule.spec.allow_anonymous
    assert rule.spec.regions == ("north",)
    assert service.spec.cold_starts_per_s == 5.5


def test_each_route_has_a_rank_for_the_priority_of_each_workspace() -> None:
    ranks = {rank.name: rank.spec for rank in parse(_TENANT).of_kind("Rank")}
    assert sorted(ranks) == ["p0-400", "p2-400"]
    assert ranks["p0-400"].urgency == 0
    assert ranks["p0-400"].target_ms == ranks["p2-400"].target_ms


@pytest.mark.parametrize(
    "odd",
    [
        None,
        7,
        {},
        {"name": ""},
        {"name": " a"},
        {"name": "a "},
        {"name": "a" * 201},
        {"name": "x\r\ny"},
        {"name": "x", "apiKeys": "k"},
        {"name": "x", "apiKeys": [7]},
        {"name": "x", "ratePerS": -1},
        {"name": "x", "ratePerS": 1e300},
        {"name": "x", "ratePerS": "many"},
        {"name": "x", "burst": -0.5},
        {"name": "x", "priority": -1},
        {"name": "x", "priority": 10**30},
        {"name": "x", "allowedRegions": [""]},
        {"name": "x", "allowedRegions": ["no\nregion"]},
        _TENANT,
    ],
)
def test_an_odd_workspace_leaves_the_others_as_they_are(odd: object) -> None:
    """One entry that can't be used must not keep a version from applying."""
    assert find_names(parse(_TENANT, odd, {"name": "last"})) == ["last", "t-1"]


def test_a_long_key_is_usable() -> None:
    long_key = "k" * 100_000
    (workspace,) = parse({"name": "x", "apiKeys": [long_key]}).of_kind(
        "Workspace"
    )
    assert workspace.spec.key_digests == (decisions.compute_digest(long_key),)


def test_a_configuration_with_a_shared_key_is_refused() -> None:
    with pytest.raises(codec.MalformedError, match=r"t-2\.key_digests\[0\]"):
        parse(_TENANT, {"name": "t-2", "apiKeys": ["k-2"]})
