"""Plans: when each request is due, and at which entry."""

import dataclasses
import random

from burdockdeal_bench import scenario as scenarios


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request that a caller is to send.

    :param number: unique in the run.
    :param due_s: seconds from the start of the run.
    :param entry: scheme and address of the daemon that takes it.
    """

    number: int
    due_s: float
    entry: str
    method: str
    path: str
    work: str
    rank: str
    body_bytes: int
    upload_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What one load generator sends.

    :param start_at: monotonic time of the run's start, in seconds.
    :param timeout_s: seconds after which an answer is given up.
    """

    start_at: float
    timeout_s: float
    requests: tuple[Request, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What became of one request.

    :param latency_s: from the time it was due to the end of the answer.
    :param lag_s: how late it was sent.
    :param verdict: as the answer says, empty without an answer.
    :param error: why there was no whole answer, empty if there was.
    """

    number: int
    latency_s: float
    lag_s: float
    verdict: str = ""
    reason: str = ""
    status: int = 0
    request_id: str = ""
    error: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Outcomes:
    """What became of the requests of one generator."""

    outcomes: tuple[Outcome, ...]


def _draw_arrival_times(
    load: scenarios.Load, duration_s: float, rng: random.Random
) -> list[float]:
    """Draw the times of a Poisson process."""
    times = []
    arrival_s = load.from_s + rng.expovariate(load.rate_per_s)
    while arrival_s < (load.to_s or duration_s):
        times.append(arrival_s)
        arrival_s += rng.expovariate(load.rate_per_s)
    return times


def draw_requests(
    experiment: scenarios.Experiment, entries: tuple[str, ...], seed: int
) -> tuple[Request, ...]:
    """Draw all requests of a run, in the order of their times.

    :param entries: the daemons that take requests.
    """
    rng = random.Random(seed)
    scenario = experiment.scenario
    arrivals = []
    for load in scenario.loads:
        work = experiment.deployment.find_work(load.work)
        times = _draw_arrival_times(load, scenario.duration_s, rng)
        arrivals += [
            (arrival_s, rng.choice(entries), work) for arrival_s in times
        ]
    arrivals.sort(key=lambda item: item[0])
    return tuple(
        Request(
            number=number,
            due_s=due_s,
            entry=entry,
            method=work.method,
            path=f"/{work.name}/?call={number}&deeper={work.calls_deep - 1}",
            work=work.name,
            rank=work.rank,
            body_bytes=work.body_bytes,
            upload_s=work.upload_s,
        )
        for number, (due_s, entry, work) in enumerate(arrivals, 1)
    )
