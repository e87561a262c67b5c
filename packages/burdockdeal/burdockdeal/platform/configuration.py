"""Conversion of the platform's configuration document into resources."""

import types

import msgspec

from burdockdeal.configuration import resources
from burdockdeal.configuration import snapshots
from burdockdeal.configuration import state
from burdockdeal.core import codec
from burdockdeal.core import event_log
from burdockdeal.core import validation
from burdockdeal.workspaces import decisions as workspaces

#: The key of the store that holds the current configuration.
KEY = "op/config"

#: The kind of a route whose requests are idempotent. Requests of any other
#: kind must run at most once.
_IDEMPOTENT_KIND = "safe"

#: The platform does not specify the worth of a rank. Each step of urgency
#: multiplies it by this factor, from 1 at the lowest urgency.
_WORTH_STEP = 2.0
_LOWEST_URGENCY = 8

#: Share of a route's target latency that a request may spend queued beside
#: the upstream; the rest is left for executing it.
_QUEUE_SHARE = 0.3

#: Share of the time until its deadline for which a call that has missed its
#: target keeps waiting for a slot that no call still on time needs.
_LATE_SHARE = 0.2

_CHANGED_BY = "platform"

#: A limit that nothing reaches, in bytes or milliseconds.
_UNLIMITED = 2**53

#: The least whole number that a float may not represent exactly.
_LEAST_ROUNDED = 2.0**53

#: Digits of a version; the greatest number has 16 (`validation.Counter`).
_MAX_VERSION_DIGITS = 16


class _Message(msgspec.Struct, frozen=True, rename="camel"):
    """Base of messages whose fields are in camel case on the wire."""


class Portion(_Message):
    """One service's portion of the requests of a route.

    :param weight: the portion in proportion to the weights of the others.
    """

    service: validation.ExternalName
    weight: validation.NonNegativeFloat


class Route(_Message):
    """A rule that assigns requests to a service and sets their terms.

    :param host: the host to which the requests are addressed.
    :param path_prefix: the prefix of the requests' paths.
    :param kind: whether the requests are idempotent.
    :param timeout_ms: milliseconds after which a request gets its final
        answer; 0 if not specified.
    :param target_latency_ms: milliseconds within which an answer is on
        time; 0 if not specified.
    :param max_attempts: the maximum number of instances to which one
        request is sent.
    :param priority: the urgency of the requests; 0 is the most urgent.
    :param service: the service that gets the requests; empty if they are
        split.
    :param traffic_split: the services that share the requests.
    :param allow_anonymous: whether requests may come without a key.
    :param allowed_regions: the regions in which requests may be served and
        queued, empty for all.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: validation.NonNegativeFloat
    target_latency_ms: validation.NonNegativeFloat = 0.0
    max_attempts: validation.Counter = 1
    priority: validation.Counter = 0
    service: str = ""
    traffic_split: tuple[Portion, ...] = ()
    allow_anonymous: bool = False
    allowed_regions: tuple[validation.ExternalName, ...] = ()


class Service(_Message):
    """A service to which routes refer.

    :param health_path: the path of its instances' health check, empty for
        none.
    :param cold_per_s: the rate of requests that an instance takes while it
        is still slow after its start, 0 for no limit.
    """

    name: validation.ExternalName
    health_path: str = ""
    max_connections: validation.Counter = 0
    cold_per_s: validation.Quantity = 0.0


class Tenant(_Message):
    """A workspace: its keys, its quota and the priority of its requests.

    :param api_keys: the keys with which its requests come.
    :param priority: the urgency of its requests, None to keep the routes'.
    :param rate_per_s: requests a second over all daemons, 0 for no limit.
    :param burst: requests on top of that rate.
    :param allowed_regions: the regions in which its requests may be served
        and queued, empty for all.
    """

    name: validation.ExternalName
    api_keys: tuple[str, ...] = ()
    priority: validation.Counter | None = None
    rate_per_s: validation.Quantity = 0.0
    burst: validation.Quantity = 0.0
    allowed_regions: tuple[validation.ExternalName, ...] = ()


class Limits(_Message):
    """Limits on the size and the duration of clients' requests, 0 for none.

    The limits of the daemon's own settings apply besides.
    """

    max_header_bytes: validation.Counter = 16_384
    max_body_bytes: validation.Counter = 67_108_864
    header_timeout_ms: validation.NonNegativeFloat = 10_000.0
    idle_timeout_ms: validation.NonNegativeFloat = 75_000.0


class Document(_Message):
    """A complete configuration.

    :param version: the letter r and a number, which increases with every
        change.
    """

    version: str
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    tenants: tuple[msgspec.Raw, ...] = ()
    limits: Limits = Limits()


def parse_version(text: str) -> int:
    """Parse the number of a version.

    :raises MalformedError: if the text contains no number.
    """
    digits = text.lstrip("r")
    if not digits.isdecimal() or len(digits) > _MAX_VERSION_DIGITS:
        raise codec.MalformedError(f"invalid version: {text!r}")
    return int(digits)


def _find_deadline_ms(route: Route) -> float:
    return route.timeout_ms or resources.DEFAULT_DEADLINE_MS


def _find_target_ms(route: Route) -> float:
    return route.target_latency_ms or _find_deadline_ms(route)


def _format_rank_name(route: Route, priority: int) -> str:
    """Name the rank of a route's requests by all that sets its terms."""
    target_ms = _find_target_ms(route)
    is_whole = target_ms.is_integer() and target_ms < _LEAST_ROUNDED
    return f"p{priority}-{int(target_ms) if is_whole else target_ms!r}"


def _build_rank(route: Route, priority: int) -> resources.Rank:
    steps = max(0, _LOWEST_URGENCY - priority)
    return resources.Rank(
        urgency=priority,
        worth=_WORTH_STEP**steps,
        target_ms=_QUEUE_SHARE * _find_target_ms(route),
        late_share=_LATE_SHARE,
    )


def _find_service(route: Route) -> str:
    """Return the service of a route, the first one if its traffic is split."""
    return route.service or route.traffic_split[0].service


def _build_rule(route: Route) -> resources.Rule:
    return resources.Rule(
        service=_find_service(route),
        rank=_format_rank_name(route, route.priority),
        match=resources.Match(path_prefix=route.path_prefix, host=route.host),
        idempotent=route.kind == _IDEMPOTENT_KIND,
        safe_methods=False,
        deadline_ms=_find_deadline_ms(route),
        split=tuple(
            resources.WeightedService(portion.service, portion.weight)
            for portion in route.traffic_split
        ),
        most_sends=max(1, route.max_attempts),
        allow_anonymous=route.allow_anonymous,
        regions=route.allowed_regions,
    )


def _decode_tenants(raw_tenants: tuple[msgspec.Raw, ...]) -> list[Tenant]:
    """Decode the workspaces, and leave out those that are invalid.

    One odd entry must not keep the others from being served.
    """
    tenants: dict[str, Tenant] = {}
    for position, raw in enumerate(raw_tenants):
        try:
            tenant = codec.decode(raw, Tenant)
        except codec.MalformedError as error:
            event_log.warn("workspace_ignored", position=position, error=error)
            continue
        if tenant.name in tenants:
            event_log.warn(
                "workspace_ignored",
                position=position,
                error=f"a second workspace is named {tenant.name}",
            )
            continue
        tenants[tenant.name] = tenant
    return list(tenants.values())


def _build_workspace(tenant: Tenant) -> resources.Workspace:
    return resources.Workspace(
        key_digests=tuple(
            workspaces.compute_digest(key) for key in tenant.api_keys if key
        ),
        urgency=tenant.priority,
        requests_per_s=tenant.rate_per_s,
        burst=tenant.burst,
        regions=tenant.allowed_regions,
    )


def _build_workspaces(
    tenants: list[Tenant],
) -> dict[str, resources.Workspace]:
    built = {tenant.name: _build_workspace(tenant) for tenant in tenants}
    faults = workspaces.find_shared_keys(built)
    if faults:
        raise codec.MalformedError("; ".join(map(str, faults)))
    return built


def _build_limits(limits: Limits) -> resources.CallerLimits:
    return resources.CallerLimits(
        header_bytes=limits.max_header_bytes or _UNLIMITED,
        body_bytes=limits.max_body_bytes or _UNLIMITED,
        head_s=(limits.header_timeout_ms or _UNLIMITED) / 1000,
        idle_s=(limits.idle_timeout_ms or _UNLIMITED) / 1000,
    )


def _build_specs(
    document: Document,
) -> dict[state.Key, resources.Spec]:
    specs: dict[state.Key, resources.Spec] = {
        state.Key("CallerLimits", resources.CALLER_LIMITS_NAME): _build_limits(
            document.limits
        )
    }
    for service in document.services:
        spec = resources.Service(
            health_path=service.health_path,
            cold_starts_per_s=service.cold_per_s,
        )
        specs[state.Key("Service", service.name)] = spec
    tenants = _decode_tenants(document.tenants)
    for name, workspace in _build_workspaces(tenants).items():
        specs[state.Key("Workspace", name)] = workspace
    tenant_priorities = {
        tenant.priority for tenant in tenants if tenant.priority is not None
    }
    for route in document.routes:
        if not route.service and not route.traffic_split:
            raise codec.MalformedError(f"route {route.name} names no service")
        for priority in {route.priority, *tenant_priorities}:
            name = _format_rank_name(route, priority)
            specs[state.Key("Rank", name)] = _build_rank(route, priority)
        specs[state.Key("Rule", route.name)] = _build_rule(route)
    return specs


def parse(value: str) -> state.Configuration:
    """Parse a configuration document.

    This is where a version enters the fleet. Daemons that don't read the store
    get copies, so what can't be copied is refused here, for all of them.

    :param value: the document as it is stored, in JSON.
    :returns: its resources; their revision is the number of the version.
    :raises MalformedError: if the document is invalid.
    """
    document = codec.decode(value, Document)
    revision = parse_version(document.version)
    parsed = {
        key: resources.Resource(
            key.kind, key.name, revision, spec, _CHANGED_BY, 0
        )
        for key, spec in _build_specs(document).items()
    }
    snapshots.check_copies(parsed.values())
    return state.Configuration(revision, types.MappingProxyType(parsed))
