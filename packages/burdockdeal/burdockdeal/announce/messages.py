"""Messages between the local upstream and its daemon."""

import dataclasses
import typing

import msgspec

from burdockdeal.core import validation


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """Registers the upstream with its daemon after a start.

    It gets no calls before its first heartbeat.

    :param service: name of the service that the upstream provides.
    :param host: IP address at which the upstream listens.
    :param incarnation: increases with every start of the upstream.
    :param slots: maximum number of calls that the upstream runs at once.
    :param connections: maximum number of connections that it accepts.
    :param warm_up_s: seconds over which the share of its slots in use ramps
        up to 1; 0 for no warm-up.
    :param name: identifier that the upstream gives this incarnation, empty
        for none.
    :param lease_s: seconds without a heartbeat after which the upstream gets
        no new calls.
    """

    service: str
    host: str
    port: validation.Port
    incarnation: validation.PositiveInt
    slots: validation.PositiveInt = 9
    connections: validation.PositiveInt = 200
    warm_up_s: typing.Annotated[float, msgspec.Meta(ge=0)] = 0.0
    name: str = ""
    lease_s: float = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Renews the upstream's lease and reports its state.

    :param in_flight: number of calls that the upstream reports as running.
    :param healthy: health as reported by the upstream; a hint that no
        decision relies on.
    :param draining: whether the upstream wants no new calls.
    :param echo: `Accepted.clock` of the latest response that the upstream
        received. It proves that the upstream was alive at that time, even if
        the heartbeat itself waited in a buffer.
    :param cold_ms: milliseconds for which the upstream is still cold, 0 if
        its heartbeat has no such field; None leaves the known time as it is.
    """

    incarnation: validation.PositiveInt
    echo: float
    in_flight: validation.NonNegativeInt = 0
    healthy: bool = True
    draining: bool = False
    cold_ms: validation.Milliseconds | None = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Asks the daemon to start no new calls on this incarnation."""

    incarnation: validation.PositiveInt


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The daemon's response to a message that it accepted.

    :param heartbeat_s: seconds between two heartbeats.
    :param lease_s: seconds without a heartbeat after which the upstream gets
        no new calls.
    :param in_flight: number of calls that the daemon has in flight to the
        upstream.
    :param clock: the daemon's monotonic time in seconds, to be returned as
        `Heartbeat.echo`.
    """

    heartbeat_s: float
    lease_s: float
    in_flight: int
    clock: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The daemon's response to a message that it rejected.

    :param error: the reason, for people.
    :param incarnation: the incarnation that the daemon knows, 0 for none.
    """

    error: str
    incarnation: int = 0
