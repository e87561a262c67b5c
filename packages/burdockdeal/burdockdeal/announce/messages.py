"""What the upstream tells the daemon beside it."""

import dataclasses
import typing

import msgspec

from burdockdeal.core import validation


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """The upstream is ready for calls.

    :param service: the service that it answers.
    :param host: its IP number.
    :param incarnation: grows with every start of the upstream.
    :param slots: calls that it runs at once.
    :param connections: connections that it takes.
    :param warm_up_s: seconds over which its share of calls ramps up.
    :param name: its own id of this incarnation, empty for none.
    :param lease_s: seconds without a heartbeat after which it gets no new
        calls.
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
    """The upstream still lives, and what it says of its load.

    :param in_flight: calls that it says it runs.
    :param healthy: what it says of its health; a hint, never trusted.
    :param draining: whether it wants no new calls.
    :param echo: the clock of the daemon's newest answer. It shows that the
        heartbeat is no older than that, also when it lay in a buffer.
    """

    incarnation: validation.PositiveInt
    echo: float
    in_flight: validation.NonNegativeInt = 0
    healthy: bool = True
    draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """The upstream wants no new calls."""

    incarnation: validation.PositiveInt


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The daemon's answer.

    :param heartbeat_s: seconds between heartbeats.
    :param lease_s: seconds without one after which it gets no new calls.
    :param clock: to be sent back in the next heartbeat.
    """

    heartbeat_s: float
    lease_s: float
    in_flight: int
    clock: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Why a message was refused.

    :param incarnation: the incarnation that the daemon knows, 0 for none.
    """

    error: str
    incarnation: int = 0
