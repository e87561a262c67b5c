"""Conversion of the platform's configuration into resources."""

import json

import pytest

from burdockdeal.configuration import messages
from burdockdeal.configuration import resources
from burdockdeal.configuration import snapshots
from burdockdeal.core import codec
from burdockdeal.platform import configuration
from burdockdeal.serving import classification
from burdockdeal.serving import header_codec
from burdockdeal.serving import traffic_split

ROUTES = [
    {
        "name": "r-a",
        "host": "a.example",
        "pathPrefix": "/x/",
        "kind": "safe",
        "timeoutMs": 1500,
        "targetLatencyMs": 600,
        "priority": 1,
        "trafficSplit": [
            {"service": "one", "weight": 90},
            {"service": "two", "weight": 10},
        ],
        "maxAttempts": 2,
    },
    {
        "name": "r-b",
        "host": "a.example",
        "pathPrefix": "/x/y/",
        "kind": "unsafe",
        "timeoutMs": 1200,
        "targetLatencyMs": 800,
        "priority": 0,
        "service": "two",
        "maxAttempts": 2,
        "novelty": {"a": 1},
    },
]
DOCUMENT = {
    "version": "r7",
    "routes": ROUTES,
    "services": [
        {"name": "one", "healthPath": "/health", "maxConnections": 220},
        {"name": "two", "healthPath": "/health", "tls": False},
    ],
    "limits": {"maxHeaderBytes": 16384, "idleTimeoutMs": 15000},
    "baseVersion": "r5",
}


def classify_request(document: dict, method: str, path: str, host: str):
    snapshot = classification.compile_configuration(
        configuration.parse(json.dumps(document))
    )
    return classification.classify_request(
        snapshot,
        method,
        path,
        host,
        header_codec.RequestMetadata(timeout_ms=5000.0),
        request_id="r",
        now=100.0,
        choose_service=traffic_split.TrafficSplitter().choose_service,
    )


def test_the_longest_matching_prefix_wins() -> None:
    outer = classify_request(DOCUMENT, "GET", "/x/1", "a.example")
    inner = classify_request(DOCUMENT, "GET", "/x/y/1", "a.example:80")
    assert outer.service == "one"
    assert outer.idempotent
    assert outer.deadline == pytest.approx(101.5)
    assert inner.service == "two"


def test_the_kind_of_the_route_decides_idempotence() -> None:
    assert not classify_request(
        DOCUMENT, "GET", "/x/y/", "a.example"
    ).idempotent
    assert classify_request(DOCUMENT, "POST", "/x/", "a.example").idempotent


def test_an_unknown_host_has_no_route() -> None:
    with pytest.raises(classification.errors.NotRunError):
        classify_request(DOCUMENT, "GET", "/x/1", "b.example")


def test_split_traffic_is_distributed_by_weight() -> None:
    snapshot = classification.compile_configuration(
        configuration.parse(json.dumps(DOCUMENT))
    )
    rule = snapshot.match("GET", "/x/1", "a.example")
    choose = traffic_split.TrafficSplitter().choose_service
    chosen = [choose(rule) for _ in range(100)]
    assert chosen.count("two") == 10
    assert chosen[:20].count("two") == 2


def test_limits_and_version_are_parsed() -> None:
    parsed = configuration.parse(json.dumps(DOCUMENT))
    assert parsed.revision == 7
    snapshot = classification.compile_configuration(parsed)
    assert snapshot.caller_limits == resources.CallerLimits(
        header_bytes=16384, body_bytes=67_108_864, head_s=10.0, idle_s=15.0
    )


def test_a_snapshot_for_peers_restores_the_configuration() -> None:
    parsed = configuration.parse(json.dumps(DOCUMENT))
    parts = [
        codec.decode(codec.encode(part), messages.Part)
        for part in snapshots.split(parsed, part_bytes=100)
    ]
    assert snapshots.join(parts) == parsed


@pytest.mark.parametrize("version", ["7", "r", "x7", "r-7", 7, None])
def test_a_version_without_a_number_is_rejected(version) -> None:
    document = json.dumps({**DOCUMENT, "version": version})
    if version == "7":
        assert configuration.parse(document).revision == 7
        return
    with pytest.raises(codec.MalformedError):
        configuration.parse(document)
