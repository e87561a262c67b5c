"""What probes may cost, what they cost, and what upstreams report."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeLimits:
    """The most that probes may cost in any one second."""

    probes_per_second: int
    bytes_per_second: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """The load that an upstream reports of itself.

    :param running: calls that it runs.
    :param waiting: calls that wait within it.
    :param slots: calls that it can run concurrently.
    :param slowdown: how many times as long as usual work takes on its
        machine at the time of the report.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeCost:
    """The cost of one probe.

    :param spent_at: monotonic time in seconds.
    :param size: bytes of request and response, including their headers.
    """

    spent_at: float
    size: int


@dataclasses.dataclass(frozen=True, slots=True)
class CostWindow:
    """The costs within the sliding window of the limits, oldest first."""

    costs: tuple[ProbeCost, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class SpendResult:
    """Whether the limits allow a probe, and the window after it."""

    allowed: bool
    window: CostWindow
