"""The platform's configuration, made into resources."""

import types

import msgspec

from burdockdeal.configuration import resources
from burdockdeal.configuration import state
from burdockdeal.core import codec

#: Where the store keeps the newest configuration.
KEY = "op/config"

#: The kind of a route whose requests may run more than once; requests of
#: any other may run once at most.
_IDEMPOTENT = "safe"

#: A rank's worth is not told; the more urgent is worth this much more.
_WORTH_STEP = 2.0
_LOWEST_URGENCY = 8

#: Share of the time that an answer may take which it may wait beside the
#: upstream; the rest is for the work itself.
_WAIT_SHARE = 0.3

#: Share of the time to its deadline in which a call waits for a slot that
#: no call in time asks for.
_LATE_SHARE = 0.2

_WRITER = "platform"


class _Message(msgspec.Struct, frozen=True, rename="camel"):
    """A message whose fields are in camel case on the wire."""


class Portion(_Message):
    """A part of a route's requests."""

    service: str
    weight: float


class Route(_Message):
    """Which requests go where, and as what work.

    :param kind: whether a request may run more than once.
    :param timeout_ms: milliseconds after which a request gets its final
        answer.
    :param target_latency_ms: milliseconds within which an answer is on
        time.
    :param max_attempts: instances that one request may be sent to.
    :param priority: 0 is the most urgent.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 0.0
    max_attempts: int = 1
    priority: int = 0
    service: str = ""
    traffic_split: tuple[Portion, ...] = ()


class Service(_Message):
    """A service that routes may name."""

    name: str
    health_path: str = ""
    max_connections: int = 0


class Limits(_Message):
    """What clients may send, and how long they may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 75_000.0


class Document(_Message):
    """A whole configuration.

    :param version: a letter and a number; the numbers grow.
    """

    version: str
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = Limits()


def read_version(text: str) -> int:
    """Read a version's number.

    :raises MalformedError: if it is none.
    """
    digits = text.lstrip("r")
    if not digits.isdecimal():
        raise codec.MalformedError(f"not a version: {text!r}")
    return int(digits)


def _name_rank(route: Route) -> str:
    return f"p{route.priority}-{route.target_latency_ms:.0f}"


def _make_rank(route: Route) -> resources.Rank:
    height = max(0, _LOWEST_URGENCY - route.priority)
    return resources.Rank(
        urgency=route.priority,
        worth=_WORTH_STEP**height,
        target_ms=_WAIT_SHARE * (route.target_latency_ms or route.timeout_ms),
        late_share=_LATE_SHARE,
    )


def _find_service(route: Route) -> str:
    """Find the service of a route, the first of one that splits."""
    return route.service or route.traffic_split[0].service


def _make_rule(route: Route) -> resources.Rule:
    return resources.Rule(
        service=_find_service(route),
        rank=_name_rank(route),
        match=resources.Match(path_prefix=route.path_prefix, host=route.host),
        idempotent=route.kind == _IDEMPOTENT,
        safe_methods=False,
        deadline_ms=route.timeout_ms,
        split=tuple(
            resources.WeightedService(portion.service, portion.weight)
            for portion in route.traffic_split
        ),
        most_sends=max(1, route.max_attempts),
    )


def _make_limits(limits: Limits) -> resources.CallerLimits:
    return resources.CallerLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        head_s=limits.header_timeout_ms / 1000,
        idle_s=limits.idle_timeout_ms / 1000,
    )


def _list_specs(
    document: Document,
) -> dict[state.Key, resources.Spec]:
    specs: dict[state.Key, resources.Spec] = {
        state.Key("CallerLimits", resources.CALLER_LIMITS_NAME): _make_limits(
            document.limits
        )
    }
    for service in document.services:
        spec = resources.Service(health_path=service.health_path)
        specs[state.Key("Service", service.name)] = spec
    for route in document.routes:
        if not route.service and not route.traffic_split:
            raise codec.MalformedError(f"route {route.name} goes nowhere")
        specs[state.Key("Rank", _name_rank(route))] = _make_rank(route)
        specs[state.Key("Rule", route.name)] = _make_rule(route)
    return specs


def read(value: str) -> state.Configuration:
    """Read a configuration.

    :param value: what stands in the store.
    :returns: its resources, the version's number as their revision.
    :raises MalformedError: if it can't be read.
    """
    document = codec.decode(value, Document)
    revision = read_version(document.version)
    found = {
        key: resources.Resource(key.kind, key.name, revision, spec, _WRITER, 0)
        for key, spec in _list_specs(document).items()
    }
    return state.Configuration(revision, types.MappingProxyType(found))
