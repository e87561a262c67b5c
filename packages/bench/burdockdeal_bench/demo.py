"""The demo: a small deployment of real processes, and requests to it."""

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
from burdockdeal_operator import files
from burdockdeal_operator import text
from burdockdeal_standins import fleet as standins

_UPLOAD_PARTS = 20
_UPLOAD_PART = b"p" * 50_000
_UPLOAD_PAUSE_S = 0.05
_REQUESTS_OF_A_KIND = 100
_PAUSE_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request.

    :param slow: the body is uploaded in parts, with pauses.
    """

    rank: str
    method: str
    path: str
    count: int
    slow: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """How one request ended.

    :param answered: whether an upstream's answer arrived whole.
    :param request_id: as the answer names it, empty without one.
    :param detail: what went wrong, empty if nothing did.
    """

    rank: str
    verdict: str
    answered: bool
    seconds: float
    request_id: str = ""
    detail: str = ""


#: Where the daemons' logs of a run that fails are kept.
KEPT_LOGS = pathlib.Path("demo.log")

#: What callers ask for in each deployment.
KINDS: dict[str, tuple[Kind, ...]] = {
    "hinge-and-joint": (
        Kind("tracking", "GET", "/tracking/7", _REQUESTS_OF_A_KIND),
        Kind("booking", "POST", "/bookings", _REQUESTS_OF_A_KIND),
        Kind("status", "GET", "/orders/7", _REQUESTS_OF_A_KIND),
        Kind("upload", "PUT", "/photographs/7", 5, slow=True),
    ),
    "teratai": (
        Kind("front-desk", "GET", "/jejak/7", _REQUESTS_OF_A_KIND),
        Kind("order", "POST", "/pesanan", _REQUESTS_OF_A_KIND),
        Kind("internal", "GET", "/dalaman/7", _REQUESTS_OF_A_KIND),
        Kind("browsing", "GET", "/katalog/7", _REQUESTS_OF_A_KIND),
        Kind("artwork", "PUT", "/reka/7", 5, slow=True),
    ),
}


def load_places(path: pathlib.Path) -> tuple[standins.NodeSpec, ...]:
    """Load a deployment's workers.

    :raises SettingsError: with every fault.
    """
    places: list[standins.NodeSpec] = []
    faults: list[errors.FieldViolation] = []
    for raw in json5.loads(path.read_text(encoding="utf-8")):
        place, wrong = validation.validate(standins.NodeSpec, raw)
        faults += wrong
        if place is not None:
            places.append(place)
    if faults:
        raise errors.SettingsError(str(path), tuple(faults))
    return tuple(places)


async def _upload() -> abc.AsyncIterator[bytes]:
    for _ in range(_UPLOAD_PARTS):
        yield _UPLOAD_PART
        await asyncio.sleep(_UPLOAD_PAUSE_S)


async def _send(
    session: aiohttp.ClientSession, entry: str, kind: Kind
) -> Outcome:
    started = time.monotonic()
    told = request_id = detail = ""
    answered = False
    try:
        async with session.request(
            kind.method,
            entry + kind.path,
            data=_upload() if kind.slow else None,
        ) as response:
            await response.read()
            told = response.headers.get(headers.VERDICT, "")
            request_id = response.headers.get(headers.REQUEST_ID, "")
            detail = response.headers.get(headers.REASON, "")
            answered = response.status == 200
    except aiohttp.ClientError as error:
        told, detail = verdict.Verdict.MAY_HAVE_RUN, repr(error)
    spent_s = time.monotonic() - started
    return Outcome(kind.rank, told, answered, spent_s, request_id, detail)


async def _send_all(
    fleet: standins.Fleet, kinds: tuple[Kind, ...]
) -> list[Outcome]:
    entries = itertools.cycle(
        [node.caller_url for node in fleet.nodes.values()]
    )
    waiting = []
    for turn in range(max(kind.count for kind in kinds)):
        for kind in kinds:
            if turn < kind.count:
                send = _send(fleet.session, next(entries), kind)
                waiting.append(asyncio.create_task(send))
        await asyncio.sleep(_PAUSE_S)
    return await asyncio.gather(*waiting)


def _render(kinds: tuple[Kind, ...], outcomes: list[Outcome]) -> str:
    def row(rank: str) -> tuple[object, ...]:
        own = [outcome for outcome in outcomes if outcome.rank == rank]
        times = histogram.HdrHistogram(1, 60_000_000, 3)
        for outcome in own:
            times.record_value(int(outcome.seconds * 1e6))
        by_verdict = [
            sum(outcome.verdict == told for outcome in own)
            for told in verdict.Verdict
        ]
        return (
            rank,
            len(own),
            sum(outcome.answered for outcome in own),
            *by_verdict,
            f"{times.get_value_at_percentile(50) / 1000:.1f}",
            f"{times.get_value_at_percentile(99) / 1000:.1f}",
        )

    heads = (
        "RANK",
        "SENT",
        "ANSWERED",
        *verdict.Verdict,
        "P50 MS",
        "P99 MS",
    )
    return text.render_table(heads, (row(kind.rank) for kind in kinds))


async def _declare(fleet: standins.Fleet, path: pathlib.Path) -> None:
    node = next(iter(fleet.nodes.values()))
    revision = 0
    for item in files.load(str(path)):
        revision = await fleet.declare(node, item.kind, item.name, item.spec)
    await fleet.wait_until_ready(revision)


def _keep_logs(fleet: standins.Fleet, failed: list[Outcome]) -> None:
    """Keep the daemons' logs, and name the requests that failed."""
    KEPT_LOGS.write_text(fleet.read_log_tails(), encoding="utf-8")
    for one in failed:
        print(
            f"not answered: rank {one.rank}, verdict {one.verdict}, "
            f"id {one.request_id or 'unknown'}: {one.detail}"
        )
    print(f"the daemons' logs are in {KEPT_LOGS}: burdockctl explain ID FILE")


async def _show(folder: pathlib.Path) -> bool:
    kinds = KINDS[folder.name]
    async with standins.run_fleet() as fleet:
        places = load_places(folder / "workers.json5")
        domains = {place.failure_domain for place in places}
        print(
            f"starting {len(places)} daemons and upstreams in "
            f"{len(domains)} failure domains",
            flush=True,
        )
        await fleet.add_nodes(places)
        await _declare(fleet, folder / "resources.json5")
        print("in force everywhere; sending requests", flush=True)
        outcomes = await _send_all(fleet, kinds)
        failed = [one for one in outcomes if not one.answered]
        if failed:
            _keep_logs(fleet, failed)
    print(_render(kinds, outcomes))
    return not failed


def demo(deployment: str = "examples/hinge-and-joint") -> None:
    """Run a deployment of the examples and send it requests.

    :param deployment: the folder with workers.json5 and resources.json5.
    """
    if not asyncio.run(_show(pathlib.Path(deployment))):
        sys.exit("demo: some requests were not answered")


if __name__ == "__main__":
    fire.Fire(demo)
