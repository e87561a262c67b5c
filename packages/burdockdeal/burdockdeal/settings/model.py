"""The data model of the daemon's settings."""

import dataclasses
import ipaddress
import typing

import msgspec

from burdockdeal.core import errors
from burdockdeal.core import validation
from burdockdeal.settings import fleet_terms

NonNegative = typing.Annotated[float, msgspec.Meta(ge=0)]
Policy = typing.Literal[
    "random", "round_robin", "least_reported", "two_choices", "hot_cold"
]
Secret = typing.Annotated[str, msgspec.Meta(min_length=16)]

#: Memory that the connections of callers may hold by default, in bytes: less
#: than a quarter of what an idle daemon leaves of 200 MB.
_BUFFERED_BYTES = 33_554_432

#: Requests with the largest head and buffered body that must fit into
#: memory at the same time.
_LEAST_FULL_REQUESTS = 64

#: Seconds of the grace before a kill that are kept for closing connections
#: and ending.
EXIT_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """The IP address and port at which a process listens or is reached."""

    host: validation.Host
    port: validation.Port

    @classmethod
    def from_text(cls, text: str) -> "Address":
        """Parse an address of the form `host:port`.

        :raises ValueError: if the text has no host or no valid port.
        """
        host, _, port = text.rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) < 65536:
            raise ValueError(f"expected host:port, got {text!r}")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class Operator:
    """An operator who may change the configuration.

    :param token: the secret by which the operator authenticates.
    """

    name: validation.Name
    token: Secret


@dataclasses.dataclass(frozen=True, slots=True)
class Listen:
    """The addresses on which a daemon listens.

    :param caller: for callers' requests.
    :param peer: for other daemons.
    :param upstream: for the upstream that runs beside the daemon.
    :param operator: for the resource interface, metrics and health checks.
    """

    caller: Address
    peer: Address
    upstream: Address
    operator: Address


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on a daemon's resources and timeouts.

    :param connections: the maximum number of concurrent connections from
        callers, and likewise from other daemons.
    :param operator_connections: the maximum number of concurrent
        connections from operators.
    :param upstream_connections: the maximum number of concurrent
        connections from the upstream to the interface for upstreams.
    :param header_bytes: the maximum size of a request's head, in bytes, from
        the empty lines before it to the one after it; likewise of what comes
        in a row within a chunked body and brings no byte of it.
    :param replay_bytes: the size in bytes up to which a request's body is
        buffered whole.
    :param buffered_bytes: the maximum memory that all connections of callers
        together may hold, in bytes: what was read or promised and is not yet
        used. Beyond it, those that hold the most and have made the least
        progress are reset. None for 32 MiB, or more if the other limits ask
        for it.
    :param requests: the maximum number of callers' requests in progress.
    :param head_s: seconds from its first byte within which a request's head
        must have arrived; for the first request on a connection, from the
        connect.
    :param caller_idle_s: seconds after which an idle connection is closed.
    :param body_idle_s: the maximum time without a byte of a request's
        body, in seconds.
    :param body_bytes_per_s: the minimum mean rate of a request's body,
        over the time spent waiting for it.
    :param body_grace_s: seconds of waiting before that rate is enforced.
    :param answer_idle_s: the maximum time, in seconds, for which a response
        that has begun may yield no byte, or a client may read none.
    :param stop_s: the maximum duration of a graceful stop, in seconds.
    :param grace_s: seconds from the signal to stop until the process is
        killed, None if nothing kills it.
    :param linger_s: seconds for which a daemon that is stopping still
        accepts connections.
    :param keys: the maximum number of idempotency keys that are remembered.
    :param key_retention_s: seconds for which a key is remembered.
    :param claims_per_s: the maximum rate at which the daemon claims
        idempotency keys that callers chose.
    """

    connections: validation.PositiveInt = 2000
    operator_connections: validation.PositiveInt = 100
    upstream_connections: validation.PositiveInt = 20
    header_bytes: validation.PositiveInt = 16384
    replay_bytes: validation.PositiveInt = 65536
    buffered_bytes: validation.PositiveInt | None = None
    requests: validation.PositiveInt = 1000
    head_s: validation.PositiveFloat = 10.0
    caller_idle_s: validation.PositiveFloat = 75.0
    body_idle_s: validation.PositiveFloat = 30.0
    body_bytes_per_s: validation.PositiveFloat = 256.0
    body_grace_s: validation.PositiveFloat = 10.0
    answer_idle_s: validation.PositiveFloat = 30.0
    stop_s: validation.PositiveFloat = 30.0
    grace_s: validation.PositiveFloat | None = None
    linger_s: validation.PositiveFloat = 1.0
    keys: validation.PositiveInt = 20_000
    key_retention_s: validation.PositiveFloat = 600.0
    claims_per_s: validation.PositiveFloat = 5.0

    @property
    def stop_limit_s(self) -> float:
        """Seconds of a stop after which work in progress is aborted."""
        if self.grace_s is None:
            return self.stop_s
        return min(self.stop_s, self.grace_s - EXIT_S)

    @property
    def memory_limit_bytes(self) -> int:
        """Bytes that all connections of callers together may hold."""
        if self.buffered_bytes is not None:
            return self.buffered_bytes
        return max(_BUFFERED_BYTES, self.least_buffered_bytes)

    @property
    def least_buffered_bytes(self) -> int:
        """Bytes that callers who keep to the limits must be able to hold."""
        return _LEAST_FULL_REQUESTS * (self.header_bytes + self.replay_bytes)


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """Timing of the membership protocol, in seconds.

    :param period_s: the interval between two rounds of the protocol.
    :param timeout_s: the timeout of a ping.
    :param suspicion_s: the minimum time for which a member stays suspect
        before it is declared dead; it grows with the number of members.
    """

    period_s: validation.PositiveFloat = 1.0
    timeout_s: validation.PositiveFloat = 0.3
    suspicion_s: validation.PositiveFloat = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class StoreBudget:
    """Rate limits on one daemon's calls to the platform's store.

    :param calls_per_s: the rate of background calls of any daemon.
    :param burst: the maximum number of background calls at once, after
        the daemon has made none for a while.
    :param relay_calls_per_s: the rate of calls that follow the
        configuration, made by the few daemons that watch the store on
        behalf of their failure domain.
    :param operator_calls_per_s: the rate of calls on behalf of operators.
    :param start_spread_s: the first call is delayed by a random time of up
        to this many seconds, so that the daemons of a fleet that restarts
        as a whole don't all call the store at once.
    """

    calls_per_s: validation.PositiveFloat = 0.5
    burst: validation.PositiveInt = 20
    relay_calls_per_s: validation.PositiveFloat = 10.0
    operator_calls_per_s: validation.PositiveFloat = 200.0
    start_spread_s: NonNegative = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class FleetRetryBudget:
    """The fleet-wide retry budget for one service.

    It bounds what all daemons together send to the service beyond the first
    send of each request.

    :param share: the budget as a share of the requests for the service.
    :param slack: sends that the whole fleet may make in each window on top
        of that share.
    :param window_s: the window over which both are counted, in seconds.
    """

    share: NonNegative = 0.1
    slack: NonNegative = 40.0
    window_s: validation.PositiveFloat = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment on a platform that provides configuration and heartbeats.

    :param service: the service to which the upstream beside this daemon
        belongs.
    :param upstream: the address at which that upstream accepts requests.
    :param metrics: the address at which the daemon serves its metrics.
    :param watchers: the number of daemons of the fleet that watch the store.
    :param read_s: seconds between two polls of the configuration. One daemon
        of the fleet polls, since a watch can miss a change.
    :param lease_s: seconds without a heartbeat after which the upstream
        gets no new calls.
    :param has_evacuations: whether the operator may evacuate failure domains
        through the store.
    """

    service: str
    upstream: Address
    metrics: Address
    watchers: validation.PositiveInt = 3
    read_s: validation.PositiveFloat = 1.3
    lease_s: validation.PositiveFloat = 10.0
    has_evacuations: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one daemon.

    :param daemon: the daemon's name, unique in the fleet.
    :param failure_domain: the failure domain in which the daemon runs.
    :param store: the address of the platform's store.
    :param peer_token: the secret shared by the daemons of the fleet.
    :param operators: the operators who may use the resource interface.
    :param region: the region of the failure domain.
    :param peers: the daemons to contact while the store is unavailable.
    :param advertise: the address at which other daemons reach this one;
        None if it is listen.peer.
    :param deployment: set if the platform provides configuration and
        heartbeats; None if operators declare resources and upstreams
        announce themselves.
    :param fleet_retries: the fleet-wide retry budget; None if each daemon
        only applies its own.
    :param hedging: the limit on second sends against slow responses; None to
        limit them by the retry budget only.
    :param cold_excess: by how much the starts on a cold upstream may exceed
        the rate of its service; None for not at all.
    :param quotas: how closely quotas are kept; None if they aren't enforced.
    :param keys: how keys are treated without contact to the store.
    :param policy: the name of the routing policy.
    :param seed: the seed of the daemon's random numbers; None for a
        different sequence at each start.
    :param store_budget: rate limits on calls to the platform's store.
    """

    daemon: validation.Name
    failure_domain: validation.ExternalName
    listen: Listen
    store: Address
    peer_token: Secret
    operators: tuple[Operator, ...] = ()
    region: validation.ExternalName = "local"
    peers: tuple[Address, ...] = ()
    advertise: Address | None = None
    deployment: Deployment | None = None
    fleet_retries: FleetRetryBudget | None = None
    hedging: fleet_terms.Hedging | None = None
    cold_excess: fleet_terms.ColdExcess | None = None
    quotas: fleet_terms.QuotaTerms | None = None
    keys: fleet_terms.KeyTerms = fleet_terms.DEFAULT_KEY_TERMS
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


def _collect_addresses(settings: Settings) -> dict[str, Address]:
    addresses = {
        f"listen.{field.name}": getattr(settings.listen, field.name)
        for field in dataclasses.fields(settings.listen)
    }
    addresses["store"] = settings.store
    if settings.advertise is not None:
        addresses["advertise"] = settings.advertise
    for index, peer in enumerate(settings.peers):
        addresses[f"peers[{index}]"] = peer
    return addresses


def find_faults(settings: Settings) -> tuple[errors.FieldViolation, ...]:
    """Check the rules that involve more than one field.

    :returns: the faults, empty if the settings are valid.
    """
    faults = [
        errors.FieldViolation(
            f"{path}.host", "expected an IP address, not a host name"
        )
        for path, address in _collect_addresses(settings).items()
        if not _is_ip(address.host)
    ]
    seen: dict[Address, str] = {}
    for field in dataclasses.fields(settings.listen):
        address = getattr(settings.listen, field.name)
        if address in seen:
            faults.append(
                errors.FieldViolation(
                    f"listen.{field.name}", f"same address as {seen[address]}"
                )
            )
        seen.setdefault(address, f"listen.{field.name}")
    if not settings.operators and settings.deployment is None:
        faults.append(
            errors.FieldViolation(
                "operators", "at least one operator is required"
            )
        )
    if settings.keys.fail_closed and settings.deployment is None:
        faults.append(
            errors.FieldViolation(
                "keys.fail_closed", "requires a deployment section"
            )
        )
    names = [operator.name for operator in settings.operators]
    tokens = [operator.token for operator in settings.operators]
    if len(set(names)) < len(names) or len(set(tokens)) < len(tokens):
        faults.append(
            errors.FieldViolation(
                "operators", "names and tokens must be unique"
            )
        )
    limits = settings.limits
    if limits.linger_s >= limits.stop_limit_s:
        faults.append(
            errors.FieldViolation(
                "limits.linger_s",
                f"must be less than the {limits.stop_limit_s:g} s that a stop"
                " may take: stop_s, and grace_s less"
                f" {EXIT_S:g} s for ending",
            )
        )
    if limits.memory_limit_bytes < limits.least_buffered_bytes:
        faults.append(
            errors.FieldViolation(
                "limits.buffered_bytes",
                f"must be at least {limits.least_buffered_bytes}:"
                f" {_LEAST_FULL_REQUESTS} times header_bytes and replay_bytes",
            )
        )
    return tuple(faults)
