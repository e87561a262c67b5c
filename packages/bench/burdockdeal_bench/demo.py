"""The demo: starts a small deployment and sends requests to it."""

import asyncio
from collections import abc
import dataclasses
import itertools
import pathlib
import sys
import time

import aiohttp
import fire
from hdrh import histogram
import json5

from burdockdeal.core import errors
from burdockdeal.core import headers
from burdockdeal.core import validation
from burdockdeal.core import verdict
from burdockdeal_operator import rendering
from burdockdeal_operator import resource_files
from burdockdeal_standins import fleet as standins

_UPLOAD_CHUNKS = 20
_UPLOAD_CHUNK = b"p" * 50_000
_UPLOAD_CHUNK_INTERVAL_S = 0.05
_REQUESTS_PER_KIND = 100
_SEND_INTERVAL_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """A group of equal requests that the demo sends.

    :param count: how many are sent.
    :param is_slow_upload: whether a body is sent in chunks, with pauses.
    """

    rank: str
    method: str
    path: str
    count: int
    is_slow_upload: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of one request.

    :param verdict: from the response's header; MAY_HAVE_RUN if the
        connection failed.
    :param answered: whether a complete response with status 200 arrived.
    :param seconds: from the start of the request to its end.
    :param request_id: from the response's header, empty if it has none.
    :param detail: why the request failed, empty if it did not.
    """

    rank: str
    verdict: str
    answered: bool
    seconds: float
    request_id: str = ""
    detail: str = ""


#: Where the daemons' logs are saved if a request is not answered.
SAVED_LOGS_PATH = pathlib.Path("demo.log")

#: The requests that are sent to each deployment, by its folder's name.
REQUEST_KINDS: dict[str, tuple[RequestKind, ...]] = {
    "hinge-and-joint": (
        RequestKind("tracking", "GET", "/tracking/7", _REQUESTS_PER_KIND),
        RequestKind("booking", "POST", "/bookings", _REQUESTS_PER_KIND),
        RequestKind("status", "GET", "/orders/7", _REQUESTS_PER_KIND),
        RequestKind("upload", "PUT", "/photographs/7", 5, is_slow_upload=True),
    ),
    "teratai": (
        RequestKind("front-desk", "GET", "/jejak/7", _REQUESTS_PER_KIND),
        RequestKind("order", "POST", "/pesanan", _REQUESTS_PER_KIND),
        RequestKind("internal", "GET", "/dalaman/7", _REQUESTS_PER_KIND),
        RequestKind("browsing", "GET", "/katalog/7", _REQUESTS_PER_KIND),
        RequestKind("artwork", "PUT", "/reka/7", 5, is_slow_upload=True),
    ),
}


def load_places(path: pathlib.Path) -> tuple[standins.NodeSpec, ...]:
    """Load the places of a deployment: its daemons and their upstreams.

    :param path: a JSON5 file with a list of places.
    :raises SettingsError: with every violation in the file.
    """
    places: list[standins.NodeSpec] = []
    all_violations: list[errors.FieldViolation] = []
    for raw in json5.loads(path.read_text(encoding="utf-8")):
        place, violations = validation.validate(standins.NodeSpec, raw)
        all_violations += violations
        if place is not None:
            places.append(place)
    if all_violations:
        raise errors.SettingsError(str(path), tuple(all_violations))
    return tuple(places)


async def _stream_upload() -> abc.AsyncIterator[bytes]:
    for _ in range(_UPLOAD_CHUNKS):
        yield _UPLOAD_CHUNK
        await asyncio.sleep(_UPLOAD_CHUNK_INTERVAL_S)


async def _send(
    session: aiohttp.ClientSession, entry: str, kind: RequestKind
) -> Outcome:
    started = time.monotonic()
    verdict_ = request_id = detail = ""
    answered = False
    try:
        async with session.request(
            kind.method,
            entry + kind.path,
            data=_stream_upload() if kind.is_slow_upload else None,
        ) as response:
            await response.read()
            verdict_ = response.headers.get(headers.VERDICT, "")
            request_id = response.headers.get(headers.REQUEST_ID, "")
            detail = response.headers.get(headers.REASON, "")
            answered = response.status == 200
    except aiohttp.ClientError as error:
        verdict_, detail = verdict.Verdict.MAY_HAVE_RUN, repr(error)
    spent_s = time.monotonic() - started
    return Outcome(kind.rank, verdict_, answered, spent_s, request_id, detail)


async def _send_all(
    fleet: standins.Fleet, kinds: tuple[RequestKind, ...]
) -> list[Outcome]:
    entries = itertools.cycle(
        [node.caller_url for node in fleet.nodes.values()]
    )
    tasks = []
    for index in range(max(kind.count for kind in kinds)):
        for kind in kinds:
            if index < kind.count:
                send = _send(fleet.session, next(entries), kind)
                tasks.append(asyncio.create_task(send))
        await asyncio.sleep(_SEND_INTERVAL_S)
    return await asyncio.gather(*tasks)


def _format_table(
    kinds: tuple[RequestKind, ...], outcomes: list[Outcome]
) -> str:
    def row(rank: str) -> tuple[object, ...]:
        matching = [outcome for outcome in outcomes if outcome.rank == rank]
        latencies = histogram.HdrHistogram(1, 60_000_000, 3)
        for outcome in matching:
            latencies.record_value(int(outcome.seconds * 1e6))
        by_verdict = [
            sum(outcome.verdict == verdict_ for outcome in matching)
            for verdict_ in verdict.Verdict
        ]
        return (
            rank,
            len(matching),
            sum(outcome.answered for outcome in matching),
            *by_verdict,
            f"{latencies.get_value_at_percentile(50) / 1000:.1f}",
            f"{latencies.get_value_at_percentile(99) / 1000:.1f}",
        )

    columns = (
        "RANK",
        "SENT",
        "ANSWERED",
        *verdict.Verdict,
        "P50 MS",
        "P99 MS",
    )
    return rendering.render_table(columns, (row(kind.rank) for kind in kinds))


async def _apply_resources(fleet: standins.Fleet, path: pathlib.Path) -> None:
    node = next(iter(fleet.nodes.values()))
    revision = 0
    for item in resource_files.load(str(path)):
        revision = await fleet.declare(node, item.kind, item.name, item.spec)
    await fleet.wait_until_ready(revision)


def _save_logs(fleet: standins.Fleet, failed: list[Outcome]) -> None:
    """Save the daemons' logs and print the requests that failed."""
    SAVED_LOGS_PATH.write_text(fleet.read_log_tails(), encoding="utf-8")
    for outcome in failed:
        print(
            f"not answered: rank {outcome.rank}, verdict {outcome.verdict}, "
            f"id {outcome.request_id or 'unknown'}: {outcome.detail}"
        )
    print(
        f"the daemons' logs are in {SAVED_LOGS_PATH}; to trace a request: "
        "burdockctl explain ID FILE"
    )


async def _run_deployment(folder: pathlib.Path) -> bool:
    kinds = REQUEST_KINDS[folder.name]
    async with standins.run_fleet() as fleet:
        places = load_places(folder / "workers.json5")
        domains = {place.failure_domain for place in places}
        print(
            f"starting {len(places)} daemons and upstreams in "
            f"{len(domains)} failure domains",
            flush=True,
        )
        await fleet.add_nodes(places)
        await _apply_resources(fleet, folder / "resources.json5")
        print(
            "configuration applied on every daemon; sending requests",
            flush=True,
        )
        outcomes = await _send_all(fleet, kinds)
        failed = [outcome for outcome in outcomes if not outcome.answered]
        if failed:
            _save_logs(fleet, failed)
    print(_format_table(kinds, outcomes))
    return not failed


def demo(deployment: str = "examples/hinge-and-joint") -> None:
    """Run an example deployment and send it requests.

    Exits with an error if a request is not answered.

    :param deployment: the folder with workers.json5 and resources.json5.
    """
    if not asyncio.run(_run_deployment(pathlib.Path(deployment))):
        sys.exit("demo: some requests were not answered")


if __name__ == "__main__":
    fire.Fire(demo)
