"""The model of a daemon's settings."""

import dataclasses
import ipaddress
import typing

import msgspec

from burdockdeal.core import errors
from burdockdeal.core import validation

NonNegative = typing.Annotated[float, msgspec.Meta(ge=0)]
Policy = typing.Literal[
    "random", "round_robin", "least_reported", "two_choices", "hot_cold"
]
Secret = typing.Annotated[str, msgspec.Meta(min_length=16)]


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Where a process listens or is reached, by IP number."""

    host: str
    port: validation.Port

    @classmethod
    def from_text(cls, text: str) -> "Address":
        """Read an address written as one text, host and port.

        :raises ValueError: if it is not one.
        """
        host, _, port = text.rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) < 65536:
            raise ValueError(f"not an address and a port: {text!r}")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class Operator:
    """An operator who may change the configuration."""

    name: validation.Name
    token: Secret


@dataclasses.dataclass(frozen=True, slots=True)
class Listen:
    """The addresses that a daemon listens on.

    :param caller: callers' requests.
    :param peer: other daemons.
    :param upstream: the upstream beside the daemon.
    :param operator: the resource interface, metrics and health.
    """

    caller: Address
    peer: Address
    upstream: Address
    operator: Address


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what a daemon holds, and on how long it waits.

    :param connections: of callers, and of other daemons, at once.
    :param operator_connections: of operators at once.
    :param upstream_connections: of the upstream to its interface at once.
    :param replay_bytes: bodies up to this size are read whole.
    :param requests: callers' requests in progress at once.
    :param head_s: seconds within which a connection's first request must
        have its head here.
    :param caller_idle_s: seconds that an idle connection is kept.
    :param body_idle_s: seconds without a byte of a request's body.
    :param body_bytes_per_s: the least mean rate of a request's body,
        counted over the time spent waiting for it.
    :param body_grace_s: seconds of waiting before that rate is asked for.
    :param answer_idle_s: seconds without a byte of an answer that began,
        or in which a client takes none.
    :param stop_s: seconds that a graceful stop takes at most.
    :param linger_s: seconds for which a daemon that stops still takes
        connections.
    :param keys: idempotency keys that are remembered at once.
    :param key_retention_s: seconds for which a key is remembered.
    :param claims_per_s: keys of callers' own that are claimed a second.
    """

    connections: validation.PositiveInt = 2000
    operator_connections: validation.PositiveInt = 100
    upstream_connections: validation.PositiveInt = 20
    header_bytes: validation.PositiveInt = 16384
    replay_bytes: validation.PositiveInt = 65536
    requests: validation.PositiveInt = 1000
    head_s: validation.PositiveFloat = 10.0
    caller_idle_s: validation.PositiveFloat = 75.0
    body_idle_s: validation.PositiveFloat = 30.0
    body_bytes_per_s: validation.PositiveFloat = 256.0
    body_grace_s: validation.PositiveFloat = 10.0
    answer_idle_s: validation.PositiveFloat = 30.0
    stop_s: validation.PositiveFloat = 30.0
    linger_s: validation.PositiveFloat = 1.0
    keys: validation.PositiveInt = 20_000
    key_retention_s: validation.PositiveFloat = 600.0
    claims_per_s: validation.PositiveFloat = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """Pace of the membership protocol, in seconds."""

    period_s: validation.PositiveFloat = 1.0
    timeout_s: validation.PositiveFloat = 0.3
    suspicion_s: validation.PositiveFloat = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class StoreBudget:
    """What one daemon may ask of the platform's store.

    :param calls_per_s: calls in the background of any daemon.
    :param burst: such calls that may be saved up.
    :param relay_calls_per_s: calls to follow the configuration, made by
        the few daemons that watch the store for their failure domain.
    :param operator_calls_per_s: calls on behalf of operators.
    :param start_spread_s: the first call is put off by a random time up
        to this, so that a start of the whole fleet is spread out.
    """

    calls_per_s: validation.PositiveFloat = 0.5
    burst: validation.PositiveInt = 20
    relay_calls_per_s: validation.PositiveFloat = 10.0
    operator_calls_per_s: validation.PositiveFloat = 200.0
    start_spread_s: NonNegative = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class FleetRetryBudget:
    """What all daemons together may send to one service beyond first sends.

    :param share: of the requests for it.
    :param slack: sends more, in each window, for the whole fleet.
    :param window_s: the span in which both are counted, in seconds.
    """

    share: NonNegative = 0.1
    slack: NonNegative = 40.0
    window_s: validation.PositiveFloat = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment on a platform that brings configuration and heartbeats.

    :param service: the service of the upstream beside this daemon.
    :param upstream: where that upstream takes requests.
    :param metrics: where metrics are served.
    :param watchers: daemons of a failure domain that watch the store.
    :param read_s: seconds between two reads of the configuration by the
        one daemon of a failure domain that does not trust watches alone.
    :param lease_s: seconds without a heartbeat after which the upstream
        gets no new calls.
    """

    service: str
    upstream: Address
    metrics: Address
    watchers: validation.PositiveInt = 2
    read_s: validation.PositiveFloat = 0.7
    lease_s: validation.PositiveFloat = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """A daemon's settings, checked whole and passed whole.

    :param daemon: the daemon's name, unique in the fleet.
    :param failure_domain: where the daemon runs.
    :param region: the region of the failure domain.
    :param peer_token: shared by the fleet's daemons.
    :param store: the platform's store.
    :param peers: peers to try when the store is away.
    :param advertise: where other daemons reach this one, if not at
        listen.peer.
    :param store_budget: bounds on calls to the platform's store.
    :param deployment: set where the platform brings configuration and
        heartbeats, not operators and upstreams themselves.
    :param fleet_retries: a bound on what all daemons send again; None to
        leave it to the accounts of each.
    :param policy: the routing policy's name.
    """

    daemon: validation.Name
    failure_domain: validation.Name
    listen: Listen
    store: Address
    peer_token: Secret
    operators: tuple[Operator, ...] = ()
    region: validation.Name = "local"
    peers: tuple[Address, ...] = ()
    advertise: Address | None = None
    deployment: Deployment | None = None
    fleet_retries: FleetRetryBudget | None = None
    policy: Policy = "hot_cold"
    seed: int | None = None
    limits: Limits = Limits()
    membership: Membership = Membership()
    store_budget: StoreBudget = StoreBudget()


def _is_ip(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _addresses(settings: Settings) -> dict[str, Address]:
    listed = {
        f"listen.{field.name}": getattr(settings.listen, field.name)
        for field in dataclasses.fields(settings.listen)
    }
    listed["store"] = settings.store
    if settings.advertise is not None:
        listed["advertise"] = settings.advertise
    for index, peer in enumerate(settings.peers):
        listed[f"peers[{index}]"] = peer
    return listed


def find_faults(settings: Settings) -> tuple[errors.FieldViolation, ...]:
    """Find faults that show only when the settings are seen whole.

    :returns: the faults, empty if the settings can be used.
    """
    faults = [
        errors.FieldViolation(
            f"{path}.host", "an IP number is expected, not a name"
        )
        for path, address in _addresses(settings).items()
        if not _is_ip(address.host)
    ]
    seen: dict[Address, str] = {}
    for field in dataclasses.fields(settings.listen):
        address = getattr(settings.listen, field.name)
        if address in seen:
            faults.append(
                errors.FieldViolation(
                    f"listen.{field.name}", f"is the same as {seen[address]}"
                )
            )
        seen.setdefault(address, f"listen.{field.name}")
    if not settings.operators and settings.deployment is None:
        faults.append(
            errors.FieldViolation("operators", "at least one is needed")
        )
    names = [operator.name for operator in settings.operators]
    tokens = [operator.token for operator in settings.operators]
    if len(set(names)) < len(names) or len(set(tokens)) < len(tokens):
        faults.append(
            errors.FieldViolation("operators", "names and tokens must differ")
        )
    return tuple(faults)
