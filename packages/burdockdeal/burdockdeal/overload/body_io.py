"""Reading and writing of bodies at an honest pace."""

import asyncio
from collections import abc
import dataclasses

import aiohttp
from aiohttp import web

from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.core import verdict
from burdockdeal.overload import decisions
from burdockdeal.overload import state
from burdockdeal.settings import model


def _refuse(flow: state.Flow) -> errors.NotRunError:
    event_log.record(
        "slow_body", size=flow.size, waited_s=round(flow.waited_s)
    )
    detail = f"{flow.size} bytes came in {flow.waited_s:.0f} s of waiting"
    return errors.NotRunError(verdict.Reason.SLOW_CALLER, detail)


async def read_body(
    content: aiohttp.StreamReader, limits: model.Limits
) -> abc.AsyncIterator[bytes]:
    """Read a body as it comes.

    :raises NotRunError: if it stalls or trickles; where a part of it was
        sent on, the verdict is the sender's to correct.
    """
    clock = asyncio.get_running_loop().time
    flow = state.Flow()
    while True:
        began = clock()
        try:
            async with asyncio.timeout(limits.body_idle_s):
                chunk = await content.readany()
        except TimeoutError as error:
            waited_s = flow.waited_s + limits.body_idle_s
            stalled = dataclasses.replace(flow, waited_s=waited_s)
            raise _refuse(stalled) from error
        if not chunk:
            return
        flow = decisions.note_bytes(flow, len(chunk), clock() - began)
        if decisions.is_too_slow(
            flow,
            bytes_per_s=limits.body_bytes_per_s,
            grace_s=limits.body_grace_s,
        ):
            raise _refuse(flow)
        yield chunk


async def read_response_chunk(
    content: aiohttp.StreamReader, limits: model.Limits
) -> bytes:
    """Read what comes next of an answer, empty at its end.

    :raises SocketTimeoutError: if no byte comes for too long.
    """
    try:
        async with asyncio.timeout(limits.answer_idle_s):
            return await content.readany()
    except TimeoutError as error:
        event_log.record("slow_answer", idle_s=limits.answer_idle_s)
        raise aiohttp.SocketTimeoutError("the answer stalled") from error


async def write_response_chunk(
    response: web.StreamResponse, chunk: bytes, limits: model.Limits
) -> None:
    """Write a part of an answer.

    :raises ConnectionError: if the client takes nothing for too long.
    """
    try:
        async with asyncio.timeout(limits.answer_idle_s):
            await response.write(chunk)
    except TimeoutError as error:
        event_log.record("slow_reader")
        raise ConnectionError("the client takes no bytes") from error
