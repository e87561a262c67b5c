"""Plans: the time and the entry daemon of each request of a run."""

import dataclasses
import random

from burdockdeal_bench import scenario as scenarios


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One planned request.

    :param number: unique within the run.
    :param due_s: when it is sent, in seconds from the start of the run.
    :param entry: URL of the daemon that receives it.
    :param work: name of the kind of work.
    :param body_bytes: size of the body, in bytes.
    :param upload_s: seconds over which the body is sent.
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
    """The requests that one load generator sends.

    :param start_at: monotonic time at which the run starts, in seconds.
    :param timeout_s: time limit of each request, in seconds.
    """

    start_at: float
    timeout_s: float
    requests: tuple[Request, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of one request.

    :param latency_s: seconds from its planned time to the end of the
        response, so that a late send counts as latency.
    :param lag_s: seconds between its planned time and its sending.
    :param verdict: from the response's header, empty without a response.
    :param reason: likewise.
    :param status: HTTP status, 0 without a response.
    :param request_id: likewise from the header.
    :param error: name of the exception if no complete response arrived,
        else empty.
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
    """The outcomes of the requests of one load generator."""

    outcomes: tuple[Outcome, ...]


def _draw_arrival_times(
    load: scenarios.Load, duration_s: float, rng: random.Random
) -> list[float]:
    """Draw the arrival times of a Poisson process, in seconds."""
    times = []
    arrival_s = load.from_s + rng.expovariate(load.rate_per_s)
    while arrival_s < (load.to_s or duration_s):
        times.append(arrival_s)
        arrival_s += rng.expovariate(load.rate_per_s)
    return times


def draw_requests(
    experiment: scenarios.Experiment, entries: tuple[str, ...], seed: int
) -> tuple[Request, ...]:
    """Draw all requests of a run, ordered by time.

    The same arguments give the same requests.

    :param entries: URLs of the daemons that receive requests.
    :param seed: seeds the arrival times and the choice of entries.
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
