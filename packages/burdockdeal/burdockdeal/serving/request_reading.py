"""Reading of requests from a caller's connection."""

import asyncio
from collections import abc

from aiohttp import http_exceptions
from aiohttp import streams

#: Seconds within which the unread rest of a body must arrive for the
#: connection to be reused.
DRAIN_TIMEOUT_S = 2.0

_BLANK_LINE = b"\r\n\r\n"


def split_after_blank_lines(data: bytes) -> abc.Iterator[bytes]:
    """Split bytes after each blank line, where a request head may end.

    If the parser finds an invalid request, it drops the valid ones that it
    has parsed from the same call; so each call gets at most one head.
    """
    start = 0
    while end := data.find(_BLANK_LINE, start) + 1:
        end += len(_BLANK_LINE) - 1
        yield data[start:end]
        start = end
    if start < len(data):
        yield data[start:]


async def drain_body(payload: streams.StreamReader) -> bool:
    """Read and discard the rest of a request's body.

    :returns: whether all of it arrived in time.
    """
    if payload.is_eof():
        return True
    try:
        async with asyncio.timeout(DRAIN_TIMEOUT_S):
            while not payload.is_eof():
                await payload.readany()
    except (TimeoutError, http_exceptions.HttpProcessingError, OSError):
        return False
    return True
