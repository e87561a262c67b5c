"""A test double of an upstream, with fault injection and a run record.

It announces itself to the daemon beside it as described in
docs/UPSTREAMS.md, serves requests and records each run with its request id.
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
    """The service time and the faults of the upstream.

    :param service_ms: service time of a call, in milliseconds.
    :param jitter: share by which the service time varies.
    :param fail_fast: respond 500 at once, without running anything.
    :param lie: report no load whatever the real load is.
    :param hang: accept calls and never respond.
    :param early: respond before the body was read.
    :param truncate: abort the connection in the middle of the response.
    :param stall: begin the response and never end it.
    :param answer_bytes: bytes of padding in the response body.
    :param beating: whether heartbeats are sent.
    :param draining: whether the heartbeats report draining.
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
    """One execution of a request.

    :param at: monotonic time of the start, in seconds.
    :param ended: DONE, FAILED or CANCELLED; RUNNING until it ends.
    :param body_bytes: bytes of the request body read so far.
    """

    request_id: str
    rank: str
    path: str
    at: float
    ended: str = "RUNNING"
    body_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """All runs of an upstream, oldest first.

    :param most_in_flight: the maximum number of concurrent runs.
    :param refused: calls refused as addressed to another incarnation.
    """

    runs: tuple[Run, ...]
    most_in_flight: int
    refused: int = 0


class UpstreamState:
    """The state of the upstream.

    :param announce: the message that it announces itself with.
    :param seed: of the random service times.
    :param ledger: file that gets a line at the start of each run, so that
        the record outlives the process; None for no file.
    :param onward: host:port of the daemon's caller interface, for nested
        calls; empty for none.
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
        self.rng = random.Random(seed)
        self.slots = asyncio.Semaphore(announce.slots)
        self.in_flight = 0
        self.most_in_flight = 0
        self.runs: list[Run] = []
        self.refused = 0


@contextlib.contextmanager
def _record_run(state: UpstreamState, request: web.Request):
    state.in_flight += 1
    state.most_in_flight = max(state.most_in_flight, state.in_flight)
    index = len(state.runs)
    state.runs.append(
        Run(
            request_id=request.headers.get(headers.REQUEST_ID, ""),
            rank=request.headers.get(headers.RANK, ""),
            path=request.path_qs,
            at=time.monotonic(),
        )
    )

    if state.ledger is not None:
        state.ledger.write(codec.encode(state.runs[index]) + b"\n")

    def update_run(**fields: object) -> None:
        state.runs[index] = dataclasses.replace(state.runs[index], **fields)

    try:
        yield update_run
        update_run(ended="DONE")
    except asyncio.CancelledError:
        update_run(ended="CANCELLED")
        raise
    except Exception:
        update_run(ended="FAILED")
        raise
    finally:
        state.in_flight -= 1


async def _respond(
    state: UpstreamState, request: web.Request, size: int
) -> web.StreamResponse:
    behaviour = state.behaviour
    text = f"{state.announce.service} read {size} bytes\n".encode()
    body = text + b"." * behaviour.answer_bytes
    if not (behaviour.truncate or behaviour.stall):
        return web.Response(
            body=body,
            headers={"Upstream-Incarnation": str(state.announce.incarnation)},
        )
    response = web.StreamResponse(headers={"Content-Length": "1000000"})
    await response.prepare(request)
    await response.write(body)
    await asyncio.sleep(3600 if behaviour.stall else 0.05)
    request.transport.abort()
    return response


#: Headers copied from a call to its nested call.
_FORWARDED_HEADERS = (
    headers.DEADLINE_MS,
    headers.DEPTH,
    headers.RANK,
    headers.RETRY_TOKENS,
)


async def _make_nested_call(
    state: UpstreamState, session: aiohttp.ClientSession, request: web.Request
) -> int:
    """Make the nested call that deeper=N in a call's query asks for.

    :returns: the status of the nested response, 200 if none is asked for.
    """
    remaining_depth = int(request.query.get("deeper", "0"))
    if not remaining_depth or not state.onward:
        return 200
    query = {**request.query, "deeper": str(remaining_depth - 1)}
    forwarded = {
        name: request.headers[name]
        for name in _FORWARDED_HEADERS
        if name in request.headers
    }
    try:
        async with session.get(
            f"http://{state.onward}{request.path}",
            params=query,
            headers=forwarded,
        ) as response:
            await response.read()
            return response.status
    except (aiohttp.ClientError, OSError):
        return 502


def build_app(state: UpstreamState) -> web.Application:
    """Build the HTTP interface of the upstream."""

    async def open_session(app: web.Application) -> abc.AsyncIterator[None]:
        async with aiohttp.ClientSession() as session:
            # Without this, aiohttp may resend a nested call by itself.
            session._retry_connection = False
            app[_SESSION] = session
            yield

    async def serve_call(request: web.Request) -> web.StreamResponse:
        behaviour = state.behaviour
        if behaviour.fail_fast:
            return web.Response(status=500, text="failed fast\n")
        target_incarnation = request.headers.get(headers.INCARNATION)
        if target_incarnation not in (None, str(state.announce.incarnation)):
            state.refused += 1
            return web.Response(
                status=421, headers={headers.VERDICT: "NOT_RUN"}
            )
        with _record_run(state, request) as update_run:
            async with state.slots:
                if behaviour.early:
                    return await _respond(state, request, 0)
                size = 0
                async for chunk in request.content.iter_any():
                    size += len(chunk)
                    update_run(body_bytes=size)
                variation = behaviour.jitter * state.rng.uniform(-1, 1)
                if behaviour.hang:
                    await asyncio.sleep(3600)
                await asyncio.sleep(
                    behaviour.service_ms * (1 + variation) / 1000
                )
                status = await _make_nested_call(
                    state, request.app[_SESSION], request
                )
                if status != 200:
                    return web.Response(status=502, text=f"got {status}\n")
                return await _respond(state, request, size)

    async def set_behaviour(request: web.Request) -> web.Response:
        state.behaviour = codec.decode(await request.read(), Behaviour)
        return web.Response(body=codec.encode(state.behaviour))

    async def show_record(request: web.Request) -> web.Response:
        record = Record(tuple(state.runs), state.most_in_flight, state.refused)
        return web.Response(
            body=codec.encode(record), content_type="application/json"
        )

    app = web.Application()
    app.cleanup_ctx.append(open_session)
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


async def announce_forever(state: UpstreamState, daemon: str) -> None:
    """Announce the upstream to its daemon and send heartbeats, forever.

    :param daemon: host and port of the daemon's upstream interface.
    """
    timeout = aiohttp.ClientTimeout(total=1.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        accepted = None
        while True:
            behaviour = state.behaviour
            if not behaviour.beating:
                await asyncio.sleep(0.1)
                continue
            if accepted is None:
                url = f"http://{daemon}/v1/announce"
                accepted = await _post(session, url, state.announce)
                # The first heartbeat follows the announcement immediately.
                await asyncio.sleep(0 if accepted else 0.1)
            else:
                heartbeat = messages.Heartbeat(
                    incarnation=state.announce.incarnation,
                    echo=accepted.clock,
                    in_flight=0 if behaviour.lie else state.in_flight,
                    draining=behaviour.draining,
                )
                url = f"http://{daemon}/v1/heartbeat"
                accepted = await _post(session, url, heartbeat)
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
    :param warm_up_s: warm-up time to announce, in seconds.
    :param service_ms: service time of a call, in milliseconds.
    :param incarnation: 0 to use the wall clock in milliseconds.
    :param ledger: path of a file that gets a line for each run that starts.
    :param onward: host:port of the daemon's caller interface, for nested
        calls (deeper=N in the query).
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

    async def main(ledger_file: typing.BinaryIO | None) -> None:
        state = UpstreamState(
            announce, seed, ledger=ledger_file, onward=onward
        )
        state.behaviour = Behaviour(service_ms=service_ms)
        announcing = asyncio.create_task(announce_forever(state, daemon))
        try:
            await process.serve_app(build_app(state), host, port)
        finally:
            announcing.cancel()

    with contextlib.ExitStack() as stack:
        ledger_file = None
        if ledger:
            path = pathlib.Path(ledger)
            ledger_file = stack.enter_context(path.open("ab", buffering=0))
        asyncio.run(main(ledger_file))


if __name__ == "__main__":
    fire.Fire(serve)
