"""A stand-in for an upstream, with faults to order and a record.

It announces itself to the daemon beside it as docs/UPSTREAMS.md says,
runs what it is sent and keeps a record of each run, by request id.
"""

import asyncio
import contextlib
import dataclasses
import random
import time

import aiohttp
from aiohttp import web
import fire

from burdockdeal.announce import messages
from burdockdeal.core import codec
from burdockdeal.core import headers
from burdockdeal_standins import process


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
    """Every run of an upstream, the first first."""

    runs: tuple[Run, ...]
    most_in_flight: int


class Worker:
    """The upstream's state."""

    def __init__(self, announce: messages.Announce, seed: int) -> None:
        self.announce = announce
        self.behaviour = Behaviour()
        self.chance = random.Random(seed)
        self.slots = asyncio.Semaphore(announce.slots)
        self.in_flight = 0
        self.most_in_flight = 0
        self.runs: list[Run] = []


@contextlib.contextmanager
def _record_run(worker: Worker, request: web.Request):
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
    worker: Worker, request: web.Request, size: int
) -> web.StreamResponse:
    behaviour = worker.behaviour
    line = f"{worker.announce.service} read {size} bytes\n".encode()
    body = line + b"." * behaviour.answer_bytes
    if not behaviour.truncate:
        return web.Response(
            body=body,
            headers={"Upstream-Incarnation": str(worker.announce.incarnation)},
        )
    response = web.StreamResponse(headers={"Content-Length": "1000000"})
    await response.prepare(request)
    await response.write(body)
    await asyncio.sleep(0.05)
    request.transport.abort()
    return response


def build_app(worker: Worker) -> web.Application:
    """Build the upstream's HTTP interface."""

    async def serve_call(request: web.Request) -> web.StreamResponse:
        behaviour = worker.behaviour
        if behaviour.fail_fast:
            return web.Response(status=500, text="failed fast\n")
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
                return await _answer(worker, request, size)

    async def set_behaviour(request: web.Request) -> web.Response:
        worker.behaviour = codec.decode(await request.read(), Behaviour)
        return web.Response(body=codec.encode(worker.behaviour))

    async def show_record(request: web.Request) -> web.Response:
        record = Record(tuple(worker.runs), worker.most_in_flight)
        return web.Response(
            body=codec.encode(record), content_type="application/json"
        )

    app = web.Application()
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


async def announce_forever(worker: Worker, daemon: str) -> None:
    """Announce the upstream to its daemon and keep heartbeats going.

    :param daemon: host and port of the daemon's upstream interface.
    """
    timeout = aiohttp.ClientTimeout(total=1.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        known = False
        while True:
            behaviour = worker.behaviour
            if not behaviour.beating:
                await asyncio.sleep(0.1)
                continue
            if not known:
                url = f"http://{daemon}/v1/announce"
                accepted = await _post(session, url, worker.announce)
            else:
                beat = messages.Heartbeat(
                    incarnation=worker.announce.incarnation,
                    in_flight=0 if behaviour.lie else worker.in_flight,
                    draining=behaviour.draining,
                )
                url = f"http://{daemon}/v1/heartbeat"
                accepted = await _post(session, url, beat)
            known = accepted is not None
            await asyncio.sleep(accepted.heartbeat_s if accepted else 0.1)


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
) -> None:
    """Run an upstream until SIGTERM.

    :param daemon: host:port of the daemon's upstream interface.
    :param incarnation: 0 to take the wall clock in milliseconds.
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

    async def main() -> None:
        worker = Worker(announce, seed)
        worker.behaviour = Behaviour(service_ms=service_ms)
        beating = asyncio.create_task(announce_forever(worker, daemon))
        try:
            await process.serve_app(build_app(worker), host, port)
        finally:
            beating.cancel()

    asyncio.run(main())


if __name__ == "__main__":
    fire.Fire(serve)
