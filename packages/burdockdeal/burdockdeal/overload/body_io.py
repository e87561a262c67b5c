"""Reading and writing of bodies with time-outs and a minimum rate."""

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

#: Maximum length of a response of another daemon, in bytes. A page of changes
#: or records, and a part of a snapshot, have a fraction of it.
MAX_PEER_RESPONSE_BYTES = 4 * 1024 * 1024


class ResponseTooLongError(aiohttp.ClientPayloadError):
    """The body of a response is longer than any valid one."""


def _build_error(progress: state.TransferProgress) -> errors.NotRunError:
    event_log.record(
        "slow_body",
        size=progress.received_bytes,
        waited_s=round(progress.waited_s),
    )
    detail = (
        f"{progress.received_bytes} bytes came in"
        f" {progress.waited_s:.0f} s of waiting"
    )
    return errors.NotRunError(verdict.Reason.SLOW_CALLER, detail)


async def read_body(
    content: aiohttp.StreamReader, limits: model.Limits
) -> abc.AsyncIterator[bytes]:
    """Read a request's body as it arrives.

    :raises NotRunError: if it stalls or arrives below the minimum rate.
        Code that has sent a part of the body on must turn this into a
        verdict that says so.
    """
    clock = asyncio.get_running_loop().time
    progress = state.TransferProgress()
    while True:
        started_at = clock()
        try:
            async with asyncio.timeout(limits.body_idle_s):
                chunk = await content.readany()
        except TimeoutError as error:
            waited_s = progress.waited_s + limits.body_idle_s
            stalled = dataclasses.replace(progress, waited_s=waited_s)
            raise _build_error(stalled) from error
        if not chunk:
            return
        progress = decisions.record_bytes(
            progress, len(chunk), clock() - started_at
        )
        if decisions.is_too_slow(
            progress,
            bytes_per_s=limits.body_bytes_per_s,
            grace_s=limits.body_grace_s,
        ):
            raise _build_error(progress)
        yield chunk


async def read_response_chunk(
    content: aiohttp.StreamReader, limits: model.Limits
) -> bytes:
    """Read the next chunk of a response's body.

    :returns: the chunk, empty at the end of the body.
    :raises SocketTimeoutError: if no byte arrives within the limit.
    """
    try:
        async with asyncio.timeout(limits.answer_idle_s):
            return await content.readany()
    except TimeoutError as error:
        event_log.record("slow_answer", idle_s=limits.answer_idle_s)
        raise aiohttp.SocketTimeoutError("the answer stalled") from error


async def read_whole_response(
    response: aiohttp.ClientResponse,
    max_bytes: int = MAX_PEER_RESPONSE_BYTES,
) -> bytes:
    """Read the body of a response to a message of this daemon's own.

    :raises ResponseTooLongError: if it is too long; the connection is closed.
    """
    body = bytearray()
    while chunk := await response.content.readany():
        body += chunk
        if len(body) > max_bytes:
            response.close()
            event_log.warn("response_too_long", url=response.url)
            raise ResponseTooLongError(f"more than {max_bytes} bytes")
    return bytes(body)


async def write_response_chunk(
    response: web.StreamResponse, chunk: bytes, limits: model.Limits
) -> None:
    """Write a chunk of a response's body to the client.

    :raises ConnectionError: if the client does not read within the limit.
    """
    try:
        async with asyncio.timeout(limits.answer_idle_s):
            await response.write(chunk)
    except TimeoutError as error:
        event_log.record("slow_reader")
        raise ConnectionError("the client takes no bytes") from error
