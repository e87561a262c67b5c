"""A deterministic simulation of entries and instances in virtual time.

It runs the production instance tracker, routing policies and meter against
instances that are modelled as a queue with a fixed number of slots.
"""

from collections import abc
import contextlib
import dataclasses
import heapq
import itertools
import random

from burdockdeal.announce import state as announce
from burdockdeal.configuration import resources
from burdockdeal.core import call
from burdockdeal.core import load_report
from burdockdeal.measurement import meter
from burdockdeal.membership import messages
from burdockdeal.routing import selection
from burdockdeal.routing import tracking
from burdockdeal.settings import model

#: Delivers the response to a call: its status and the load report.
Respond = abc.Callable[[int, load_report.LoadReport], None]

#: Virtual time at which a simulation starts, in seconds.
START_S = 100.0

#: One-way latency within a failure domain, in milliseconds.
NEAR_LINK_MS = 0.2

SERVICE = "tracking"
RANKS = {
    "tracking": resources.Rank(0, 100.0, 50.0, 0.2),
    "browse": resources.Rank(2, 1.0, 500.0, 0.1),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault of one instance for a span of time.

    :param at: seconds after the start at which the fault begins.
    :param until: seconds after the start at which the fault ends.
    :param instance: index of the faulty instance.
    :param service_ms: service time of a call during the fault.
    :param status: status of the responses during the fault.
    """

    at: float
    until: float
    instance: int
    service_ms: float = 5.0
    status: int = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Parameters:
    """The parameters of a simulation.

    :param service_ms: mean service time of a call, in milliseconds.
    :param link_ms: one-way latency between failure domains, in milliseconds.
    :param calls_per_s: call rate of all entries together.
    :param seconds: how long the entries send calls.
    :param urgent_share: share of calls of the more urgent rank.
    :param share: the largest share of instances that may be ejected.
    """

    instances: int = 3
    entries: int = 3
    domains: tuple[str, ...] = ("shotton", "queensferry", "sealand")
    slots: int = 9
    service_ms: float = 5.0
    link_ms: float = 3.0
    calls_per_s: float = 800.0
    seconds: float = 4.0
    urgent_share: float = 0.3
    share: float = 0.5
    fault: Fault | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of one call.

    :param at: seconds after the start at which it was sent.
    """

    at: float
    rank: str
    instance: int
    latency_s: float
    status: int


def make_member(index: int, domain: str, slots: int = 9) -> messages.Member:
    """Make the membership record of a serving instance."""
    return messages.Member(
        daemon=f"d{index}",
        failure_domain=domain,
        region="local",
        peer=model.Address("127.0.0.1", 7000 + index),
        incarnation=1,
        service=SERVICE,
        phase=announce.Phase.SERVING,
        upstream_incarnation=1,
        slots=slots,
    )


class Instance:
    """An owner with its upstream, modelled as slots and a FIFO queue.

    :param simulation: the simulation that the instance belongs to.
    """

    def __init__(self, simulation: "Simulation", index: int) -> None:
        self._simulation = simulation
        self._index = index
        self._running = 0
        self._waiting: list[abc.Callable[[], None]] = []
        self._meter = meter.Meter(lambda: simulation.now)

    def _report(self, arrived: float) -> load_report.LoadReport:
        return load_report.LoadReport(
            self._running,
            len(self._waiting),
            self._simulation.parameters.slots,
            self._meter.service_ms(),
            (self._simulation.now - arrived) * 1000,
            self._meter.failed_share,
        )

    def accept(self, respond: Respond) -> None:
        """Start a call in a free slot, or queue it."""
        arrived = self._simulation.now
        if self._running < self._simulation.parameters.slots:
            self._start(arrived, respond)
        else:
            self._waiting.append(lambda: self._start(arrived, respond))

    def _start(self, arrived: float, respond: Respond) -> None:
        self._running += 1
        parameters, rng = self._simulation.parameters, self._simulation.rng
        fault = self._simulation.find_fault(self._index)
        service_ms = fault.service_ms if fault else parameters.service_ms
        stack = contextlib.ExitStack()
        record_head = stack.enter_context(self._meter.track_call(timed=True))

        def end() -> None:
            status = fault.status if fault else 200
            record_head(status)
            stack.close()
            self._running -= 1
            if self._waiting:
                self._waiting.pop(0)()
            respond(status, self._report(arrived))

        duration_s = service_ms * rng.uniform(0.8, 1.2) / 1000
        self._simulation.schedule(duration_s, end)


class Entry:
    """An entry with its instance tracker and routing policy.

    :param simulation: the simulation that the entry belongs to.
    :param index: of the entry; places it in a failure domain.
    """

    def __init__(
        self, simulation: "Simulation", index: int, policy: str, seed: int
    ) -> None:
        self._simulation = simulation
        self._domain = simulation.parameters.domains[
            index % len(simulation.parameters.domains)
        ]
        service = resources.Service(simulation.parameters.share)
        self.tracker = tracking.InstanceTracker(
            f"entry{index}",
            self._domain,
            lambda: simulation.now,
            lambda: load_report.LoadReport(0, 0, 0),
        )
        self._choose = selection.make_chooser(
            policy,
            random.Random(seed * 100 + index),
            self.tracker,
            list_serving=lambda _: simulation.members,
            services=lambda: {SERVICE: service},
            ranks=lambda: RANKS,
        )

    def send(self, rank: str) -> None:
        """Choose an instance and send it a call."""
        simulation = self._simulation
        started = simulation.now
        request = call.Call(
            "play", SERVICE, rank, started + 10, idempotent=True
        )
        member = self._choose(request, frozenset())
        index = simulation.members.index(member)
        is_remote = member.failure_domain != self._domain
        link_s = (
            simulation.parameters.link_ms if is_remote else NEAR_LINK_MS
        ) / 1000
        stack = contextlib.ExitStack()
        observation = stack.enter_context(
            self.tracker.track_call(member.daemon, 1, SERVICE, timed=True)
        )

        def arrive(status: int, report: load_report.LoadReport) -> None:
            self.tracker.record_report(member.daemon, 1, report)
            observation.record_response(status)
            stack.close()
            simulation.outcomes.append(
                Outcome(
                    started - START_S,
                    rank,
                    index,
                    simulation.now - started,
                    status,
                )
            )

        def respond(status: int, report: load_report.LoadReport) -> None:
            simulation.schedule(link_s, lambda: arrive(status, report))

        simulation.schedule(
            link_s, lambda: simulation.instances[index].accept(respond)
        )


class Simulation:
    """Holds the virtual time, the pending events and all participants.

    :param policy: the name of the routing policy.
    """

    def __init__(self, parameters: Parameters, policy: str, seed: int) -> None:
        self.parameters = parameters
        self.now = START_S
        self.rng = random.Random(seed)
        self.outcomes: list[Outcome] = []
        self._events: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._sequence = itertools.count()
        self.members = tuple(
            make_member(
                index, parameters.domains[index % len(parameters.domains)]
            )
            for index in range(parameters.instances)
        )
        self.instances = [
            Instance(self, i) for i in range(parameters.instances)
        ]
        self.entries = [
            Entry(self, index, policy, seed)
            for index in range(parameters.entries)
        ]

    def schedule(self, delay_s: float, action: abc.Callable[[], None]) -> None:
        """Schedule an action after a delay in virtual seconds."""
        at = self.now + delay_s
        heapq.heappush(self._events, (at, next(self._sequence), action))

    def find_fault(self, index: int) -> Fault | None:
        """Find the current fault of an instance, None if it is healthy."""
        fault = self.parameters.fault
        if fault is None or fault.instance != index:
            return None
        since = self.now - START_S
        return fault if fault.at <= since < fault.until else None

    def _draw_rank(self) -> str:
        urgent = self.rng.random() < self.parameters.urgent_share
        return "tracking" if urgent else "browse"

    def run(self) -> list[Outcome]:
        """Run until no event is left and return the outcomes."""
        rate = self.parameters.calls_per_s / self.parameters.entries
        for entry in self.entries:
            at = self.rng.expovariate(rate)
            while at < self.parameters.seconds:
                self.schedule(
                    at, lambda entry=entry: entry.send(self._draw_rank())
                )
                at += self.rng.expovariate(rate)
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self.outcomes


def p99_ms(outcomes: abc.Iterable[Outcome], rank: str) -> float:
    """Return the 99th percentile latency of a rank, in milliseconds."""
    latencies = sorted(
        outcome.latency_s for outcome in outcomes if outcome.rank == rank
    )
    return latencies[int(len(latencies) * 0.99)] * 1000
