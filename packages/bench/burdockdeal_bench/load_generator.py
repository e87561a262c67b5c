"""An open-loop load generator, run as a process of its own.

Each request is sent at its planned time, whether or not earlier requests
have been answered.
"""

import asyncio
from collections import abc
import os
import pathlib
import time

import aiohttp
import fire

from burdockdeal.core import codec
from burdockdeal.core import headers
from burdockdeal.daemon import loop as loops
from burdockdeal_bench import plan

_UPLOAD_CHUNKS = 10


async def _stream_upload(request: plan.Request) -> abc.AsyncIterator[bytes]:
    size = request.body_bytes
    for index in range(_UPLOAD_CHUNKS):
        start = size * index // _UPLOAD_CHUNKS
        end = size * (index + 1) // _UPLOAD_CHUNKS
        yield b"x" * (end - start)
        await asyncio.sleep(request.upload_s / _UPLOAD_CHUNKS)


def _make_body(request: plan.Request) -> object:
    if request.upload_s:
        return _stream_upload(request)
    return b"x" * request.body_bytes or None


async def _send(
    session: aiohttp.ClientSession, request: plan.Request, due: float
) -> plan.Outcome:
    lag_s = time.monotonic() - due
    extra_headers = (
        {"Content-Length": str(request.body_bytes)} if request.upload_s else {}
    )
    try:
        async with session.request(
            request.method,
            request.entry + request.path,
            data=_make_body(request),
            headers=extra_headers,
        ) as response:
            await response.read()
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return plan.Outcome(
            number=request.number,
            latency_s=time.monotonic() - due,
            lag_s=lag_s,
            error=type(error).__name__,
        )
    return plan.Outcome(
        number=request.number,
        latency_s=time.monotonic() - due,
        lag_s=lag_s,
        verdict=response.headers.get(headers.VERDICT, ""),
        reason=response.headers.get(headers.REASON, ""),
        status=response.status,
        request_id=response.headers.get(headers.REQUEST_ID, ""),
    )


async def send_all(plan_: plan.Plan) -> plan.Outcomes:
    """Send the requests of a plan at their planned times.

    :returns: one outcome for each request, in the order of the plan.
    """
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=plan_.timeout_s),
    ) as session:
        # aiohttp would otherwise resend a request when its connection breaks,
        # and the failure would be missing from the outcomes.
        session._retry_connection = False
        tasks = []
        for request in plan_.requests:
            due = plan_.start_at + request.due_s
            wait_s = due - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            tasks.append(asyncio.create_task(_send(session, request, due)))
        return plan.Outcomes(tuple(await asyncio.gather(*tasks)))


def run(*, plan_file: str, outcome_file: str) -> None:
    """Send the requests of a plan and write their outcomes to a file.

    :param plan_file: path of a Plan, as JSON.
    :param outcome_file: path to which the Outcomes are written, as JSON.
    """
    os.environ["UV_USE_IO_URING"] = "0"
    plan_ = codec.decode(pathlib.Path(plan_file).read_bytes(), plan.Plan)
    with asyncio.Runner(loop_factory=loops.new_loop) as runner:
        outcomes = runner.run(send_all(plan_))
    pathlib.Path(outcome_file).write_bytes(codec.encode(outcomes))


if __name__ == "__main__":
    fire.Fire(run)
