"""A stand-in for an upstream, with faults to order and a record.

It announces itself to the daemon beside it as docs/UPSTREAMS.md says,
runs what it is sent and keeps a record of each run, by request id.
"""

import asyncio
from collections import abc
import contextlib
import dataclasses
import pathlib
import random
import time
import typing

import aiohttp
from aiohttp import web
import fire

from burdockdeal.announce import messages
from burdockdeal.core import codec
from burdockdeal.core import headers
from burdockdeal_standins import process

_SESSION = web.AppKey("session", aiohttp.ClientSession)


@dataclasses.dataclass(frozen=True, slots=True)
class Behaviour:
    """How the upstream behaves.

    :param service_ms: time that one call takes.
    :param jitter: share by which it varies.
    :param fail_fast: answer 500 at once, without running anything.
    :param lie: report no load and good health, whatever is true.
    :param hang: take calls and never answer.
    :param early: answer before the body was read.
    :param truncate: cut the answer off in the middle.
    :param stall: begin the answer and never end it.
    :param answer_bytes: bytes of the answer's filling.
    :param beating: whether heartbeats are sent.
    :param draining: what the heartbeats say.
    """

    service_ms: float = 5.0
    jitter: float = 0.2
    fail_fast: bool = False
    lie: bool = False
    hang: bool = False
    early: bool = False
    truncate: bool = False
    stall: bool = False
    answer_bytes: int = 0
    beating: bool = True
    draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One run of a request.

    :param ended: DONE, FAILED or CANCELLED; RUNNING while it lasts.
    :param body_bytes: bytes of the body that were read.
    """

    request_id: str
    rank: str
    path: str
    at: float
    ended: str = "RUNNING"
    body_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Every run of an upstream, the first first.

    :param refused: calls that were meant for another incarnation.
    """

    runs: tuple[Run, ...]
    most_in_flight: int
    refused: int = 0


class UpstreamState:
    """The upstream's state.

    :param ledger: a file that takes a line at the start of each run, so
        that the record outlives the process; None for none.
    :param onward: the daemon's caller interface, for calls that call on.
    """

    def __init__(
        self,
        announce: messages.Announce,
        seed: int,
        *,
        ledger: typing.BinaryIO | None = None,
        onward: str = "",
    ) -> None:
        self.announce = announce
        self.ledger = ledger
        self.onward = onward
        self.behaviour = Behaviour()
        self.chance = random.Random(seed)
        self.slots = asyncio.Semaphore(announce.slots)
        self.in_flight = 0
        self.most_in_flight = 0
        self.runs: list[Run] = []
        self.refused = 0


@contextlib.contextmanager
def _record_run(worker: UpstreamState, request: web.Request):
    worker.in_flight += 1
    worker.most_in_flight = max(worker.most_in_flight, worker.in_flight)
    index = len(worker.runs)
    worker.runs.append(
        Run(
            request_id=request.headers.get(headers.REQUEST_ID, ""),
            rank=request.headers.get(headers.RANK, ""),
            path=request.path_qs,
            at=time.monotonic(),
        )
    )

    if worker.ledger is not None:
        worker.ledger.write(codec.encode(worker.runs[index]) + b"\n")

    def note(**fields: object) -> None:
        worker.runs[index] = dataclasses.replace(worker.runs[index], **fields)

    try:
        yield note
        note(ended="DONE")
    except asyncio.CancelledError:
        note(ended="CANCELLED")
        raise
    except Exception:
        note(ended="FAILED")
        raise
    finally:
        worker.in_flight -= 1


async def _answer(
    worker: UpstreamState, request: web.Request, size: int
) -> web.StreamResponse:
    behaviour = worker.behaviour
    line = f"{worker.announce.service} read {size} bytes\n".encode()
    body = line + b"." * behaviour.answer_bytes
    if not (behaviour.truncate or behaviour.stall):
        return web.Response(
            body=body,
            headers={"Upstream-Incarnation": str(worker.announce.incarnation)},
        )
    response = web.StreamResponse(headers={"Content-Length": "1000000"})
    await response.prepare(request)
    await response.write(body)
    await asyncio.sleep(3600 if behaviour.stall else 0.05)
    request.transport.abort()
    return response


#: Passed on to the calls that a call makes.
_PASSED_ON = (
    headers.DEADLINE_MS,
    headers.DEPTH,
    headers.RANK,
    headers.RETRY_TOKENS,
)


async def _call_on(
    worker: UpstreamState, session: aiohttp.ClientSession, request: web.Request
) -> int:
    """Make the call that a call with deeper=N in its query makes.

    :returns: the status of its answer, 200 if there is none to make.
    """
    deeper = int(request.query.get("deeper", "0"))
    if not deeper or not worker.onward:
        return 200
    query = {**request.query, "deeper": str(deeper - 1)}
    kept = {
        name: request.headers[name]
        for name in _PASSED_ON
        if name in request.headers
    }
    try:
        async with session.get(
            f"http://{worker.onward}{request.path}",
            params=query,
            headers=kept,
        ) as answer:
            await answer.read()
            return answer.status
    except (aiohttp.ClientError, OSError):
        return 502


def build_app(worker: UpstreamState) -> web.Application:
    """Build the upstream's HTTP interface."""

    async def keep_session(app: web.Application) -> abc.AsyncIterator[None]:
        async with aiohttp.ClientSession() as session:
            # One call on, one request: none is sent again by aiohttp.
            session._retry_connection = False
            app[_SESSION] = session
            yield

    async def serve_call(request: web.Request) -> web.StreamResponse:
        behaviour = worker.behaviour
        if behaviour.fail_fast:
            return web.Response(status=500, text="failed fast\n")
        meant_for = request.headers.get(headers.INCARNATION)
        if meant_for not in (None, str(worker.announce.incarnation)):
            worker.refused += 1
            return web.Response(
                status=421, headers={headers.VERDICT: "NOT_RUN"}
            )
        with _record_run(worker, request) as note:
            async with worker.slots:
                if behaviour.early:
                    return await _answer(worker, request, 0)
                size = 0
                async for chunk in request.content.iter_any():
                    size += len(chunk)
                    note(body_bytes=size)
                spread = behaviour.jitter * worker.chance.uniform(-1, 1)
                if behaviour.hang:
                    await asyncio.sleep(3600)
                await asyncio.sleep(behaviour.service_ms * (1 + spread) / 1000)
                status = await _call_on(worker, request.app[_SESSION], request)
                if status != 200:
                    return web.Response(status=502, text=f"got {status}\n")
                return await _answer(worker, request, size)

    async def set_behaviour(request: web.Request) -> web.Response:
        worker.behaviour = codec.decode(await request.read(), Behaviour)
        return web.Response(body=codec.encode(worker.behaviour))

    async def show_record(request: web.Request) -> web.Response:
        record = Record(
            tuple(worker.runs), worker.most_in_flight, worker.refused
        )
        return web.Response(
            body=codec.encode(record), content_type="application/json"
        )

    app = web.Application()
    app.cleanup_ctx.append(keep_session)
    app.router.add_put("/admin/behaviour", set_behaviour)
    app.router.add_get("/admin/record", show_record)
    app.router.add_route("*", "/{path:.*}", serve_call)
    return app


async def _post(
    session: aiohttp.ClientSession, url: str, message: object
) -> messages.Accepted | None:
    try:
        async with session.post(url, data=codec.encode(message)) as response:
            if response.status != 200:
                return None
            return codec.decode(await response.read(), messages.Accepted)
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
        return None


async def announce_forever(worker: UpstreamState, daemon: str) -> None:
    """Announce the upstream to its daemon and keep heartbeats going.

    :param daemon: host and port of the daemon's upstream interface.
    """
    timeout = aiohttp.ClientTimeout(total=1.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        accepted = None
        while True:
            behaviour = worker.behaviour
            if not behaviour.beating:
                await asyncio.sleep(0.1)
                continue
            if accepted is None:
                url = f"http://{daemon}/v1/announce"
                accepted = await _post(session, url, worker.announce)
                # The first heartbeat follows at once.
                await asyncio.sleep(0 if accepted else 0.1)
            else:
                beat = messages.Heartbeat(
                    incarnation=worker.announce.incarnation,
                    echo=accepted.clock,
                    in_flight=0 if behaviour.lie else worker.in_flight,
                    draining=behaviour.draining,
                )
                url = f"http://{daemon}/v1/heartbeat"
                accepted = await _post(session, url, beat)
                await asyncio.sleep(accepted.heartbeat_s if accepted else 0)


def serve(
    *,
    service: str,
    daemon: str,
    port: int,
    host: str = "127.0.0.1",
    slots: int = 9,
    connections: int = 200,
    warm_up_s: float = 0.0,
    service_ms: float = 5.0,
    seed: int = 1,
    incarnation: int = 0,
    ledger: str = "",
    onward: str = "",
) -> None:
    """Run an upstream until SIGTERM.

    :param daemon: host:port of the daemon's upstream interface.
    :param incarnation: 0 to take the wall clock in milliseconds.
    :param ledger: a file that takes a line for each run that starts.
    :param onward: host:port of the daemon's caller interface, for calls
        with deeper=N in their query.
    """
    announce = messages.Announce(
        service=service,
        host=host,
        port=port,
        incarnation=incarnation or time.time_ns() // 1_000_000,
        slots=slots,
        connections=connections,
        warm_up_s=warm_up_s,
    )

    async def main(notes: typing.BinaryIO | None) -> None:
        worker = UpstreamState(announce, seed, ledger=notes, onward=onward)
        worker.behaviour = Behaviour(service_ms=service_ms)
        beating = asyncio.create_task(announce_forever(worker, daemon))
        try:
            await process.serve_app(build_app(worker), host, port)
        finally:
            beating.cancel()

    with contextlib.ExitStack() as stack:
        notes = None
        if ledger:
            path = pathlib.Path(ledger)
            notes = stack.enter_context(path.open("ab", buffering=0))
        asyncio.run(main(notes))


if __name__ == "__main__":
    fire.Fire(serve)
