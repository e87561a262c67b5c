"""Reading requests off a caller's connection."""

import asyncio
from collections import abc

from aiohttp import http_exceptions
from aiohttp import streams

#: Seconds in which the rest of a body that nobody wants is read, so that
#: the connection can be kept.
LINGER_S = 2.0

_BLANK_LINE = b"\r\n\r\n"


def split_after_heads(data: bytes) -> abc.Iterator[bytes]:
    """Split bytes behind each blank line, where a request may be whole.

    The parser drops the requests that it has read from the same bytes as
    something that is no request.
    """
    start = 0
    while end := data.find(_BLANK_LINE, start) + 1:
        end += len(_BLANK_LINE) - 1
        yield data[start:end]
        start = end
    if start < len(data):
        yield data[start:]


async def read_rest(payload: streams.StreamReader) -> bool:
    """Read the rest of a body that nobody wants.

    :returns: whether all of it came in time.
    """
    if payload.is_eof():
        return True
    try:
        async with asyncio.timeout(LINGER_S):
            while not payload.is_eof():
                await payload.readany()
    except (TimeoutError, http_exceptions.HttpProcessingError, OSError):
        return False
    return True
