"""A deterministic play of entries and instances in virtual time.

An aid for tests: the production board, policies and meter, a clock that
is a number, and instances that are a queue with slots.
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
from burdockdeal.measurement import meter
from burdockdeal.membership import messages
from burdockdeal.routing import selection
from burdockdeal.routing import state
from burdockdeal.routing import tracking
from burdockdeal.settings import model

#: Answer a call: status and report.
Answer = abc.Callable[[int, state.LoadReport], None]

#: Virtual time at which a play starts, in seconds.
START_S = 100.0

#: One way to an instance in the own failure domain, in milliseconds.
NEAR_LINK_MS = 0.2

SERVICE = "tracking"
RANKS = {
    "tracking": resources.Rank(0, 100.0, 50.0, 0.2),
    "browse": resources.Rank(2, 1.0, 500.0, 0.1),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """What goes wrong at one instance from a time on.

    :param at: seconds after the start; until then all is well.
    :param until: seconds after the start at which it is over.
    :param service_ms: its new time for a call.
    :param status: its new status.
    """

    at: float
    until: float
    instance: int
    service_ms: float = 5.0
    status: int = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Parameters:
    """A play's size.

    :param link_ms: one way between failure domains.
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
    """One call that ended."""

    at: float
    rank: str
    instance: int
    latency_s: float
    status: int


def make_member(index: int, domain: str, slots: int = 9) -> messages.Member:
    """Make the record of an instance."""
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
    """An owner with its upstream: slots and a queue.

    :param stage: what it plays on.
    """

    def __init__(self, stage: "Simulation", index: int) -> None:
        self._stage = stage
        self._index = index
        self._running = 0
        self._waiting: list[abc.Callable[[], None]] = []
        self._meter = meter.Meter(lambda: stage.now)

    def _report(self, arrived: float) -> state.LoadReport:
        return state.LoadReport(
            self._running,
            len(self._waiting),
            self._stage.play.slots,
            self._meter.service_ms(),
            (self._stage.now - arrived) * 1000,
            self._meter.failed_share,
        )

    def accept(self, answer: Answer) -> None:
        """Take a call and answer it some time."""
        arrived = self._stage.now
        if self._running < self._stage.play.slots:
            self._start(arrived, answer)
        else:
            self._waiting.append(lambda: self._start(arrived, answer))

    def _start(self, arrived: float, answer: Answer) -> None:
        self._running += 1
        play, chance = self._stage.play, self._stage.rng
        fault = self._stage.find_fault(self._index)
        service_ms = fault.service_ms if fault else play.service_ms
        watching = contextlib.ExitStack()
        head = watching.enter_context(self._meter.track_call(timed=True))

        def end() -> None:
            status = fault.status if fault else 200
            head(status)
            watching.close()
            self._running -= 1
            if self._waiting:
                self._waiting.pop(0)()
            answer(status, self._report(arrived))

        spent_s = service_ms * chance.uniform(0.8, 1.2) / 1000
        self._stage.schedule(spent_s, end)


class Entry:
    """An entry with its board.

    :param stage: what it plays on.
    """

    def __init__(
        self, stage: "Simulation", index: int, policy: str, seed: int
    ) -> None:
        self._stage = stage
        self._domain = stage.play.domains[index % len(stage.play.domains)]
        service = resources.Service(stage.play.share)
        self.tracker = tracking.InstanceTracker(
            f"entry{index}",
            self._domain,
            lambda: stage.now,
            lambda: state.LoadReport(0, 0, 0),
        )
        self._choose = selection.make_chooser(
            policy,
            random.Random(seed * 100 + index),
            self.tracker,
            list_serving=lambda _: stage.members,
            services=lambda: {SERVICE: service},
            ranks=lambda: RANKS,
        )

    def send(self, rank: str) -> None:
        """Send a call."""
        stage = self._stage
        started = stage.now
        work = call.Call("play", SERVICE, rank, started + 10, idempotent=True)
        member = self._choose(work, frozenset())
        index = stage.members.index(member)
        far = member.failure_domain != self._domain
        link_s = (stage.play.link_ms if far else NEAR_LINK_MS) / 1000
        watching = contextlib.ExitStack()
        seen = watching.enter_context(
            self.tracker.track_call(member.daemon, 1, SERVICE, timed=True)
        )

        def arrive(status: int, report: state.LoadReport) -> None:
            self.tracker.record_report(member.daemon, 1, report)
            seen.record_response(status)
            watching.close()
            stage.outcomes.append(
                Outcome(
                    started - START_S,
                    rank,
                    index,
                    stage.now - started,
                    status,
                )
            )

        def answer(status: int, report: state.LoadReport) -> None:
            stage.schedule(link_s, lambda: arrive(status, report))

        stage.schedule(link_s, lambda: stage.instances[index].accept(answer))


class Simulation:
    """Holds the play's time and everything in it.

    :param policy: the name of the routing policy.
    """

    def __init__(self, play: Parameters, policy: str, seed: int) -> None:
        self.play = play
        self.now = START_S
        self.rng = random.Random(seed)
        self.outcomes: list[Outcome] = []
        self._events: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._order = itertools.count()
        self.members = tuple(
            make_member(index, play.domains[index % len(play.domains)])
            for index in range(play.instances)
        )
        self.instances = [Instance(self, i) for i in range(play.instances)]
        self.entries = [
            Entry(self, index, policy, seed) for index in range(play.entries)
        ]

    def schedule(self, delay_s: float, act: abc.Callable[[], None]) -> None:
        """Let something happen later."""
        at = self.now + delay_s
        heapq.heappush(self._events, (at, next(self._order), act))

    def find_fault(self, index: int) -> Fault | None:
        """Find what is wrong with an instance now."""
        fault = self.play.fault
        if fault is None or fault.instance != index:
            return None
        since = self.now - START_S
        return fault if fault.at <= since < fault.until else None

    def _draw_rank(self) -> str:
        urgent = self.rng.random() < self.play.urgent_share
        return "tracking" if urgent else "browse"

    def run(self) -> list[Outcome]:
        """Play to the end."""
        rate = self.play.calls_per_s / self.play.entries
        for entry in self.entries:
            at = self.rng.expovariate(rate)
            while at < self.play.seconds:
                self.schedule(
                    at, lambda entry=entry: entry.send(self._draw_rank())
                )
                at += self.rng.expovariate(rate)
        while self._events:
            self.now, _, act = heapq.heappop(self._events)
            act()
        return self.outcomes


def p99_ms(outcomes: abc.Iterable[Outcome], rank: str) -> float:
    """Tell the 99th percentile of a rank's answers, in milliseconds."""
    spent = sorted(one.latency_s for one in outcomes if one.rank == rank)
    return spent[int(len(spent) * 0.99)] * 1000
