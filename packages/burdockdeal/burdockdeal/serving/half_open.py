"""Connections whose client has closed its side and may still read.

A client that went away and one that only closed its sending side look
the same until something is written: the first then resets the connection.
So an interim 100 Continue, which every HTTP/1.1 client skips, is written
now and then until the answer begins.
"""

import asyncio

import aiohttp
from aiohttp import web_protocol

from burdockdeal.serving import bodies

#: Seconds between two interim answers: a link's return, then longer.
_PAUSES_S = (0.02, 0.1)
_LAST_PAUSE_S = 0.5


def keep(protocol: web_protocol.RequestHandler) -> bool:
    """Decide on a connection whose client has closed its side.

    :returns: whether to keep it open for an answer that is still due.
    """
    if _is_idle(protocol):
        return False
    # No further request can come.
    protocol.close()
    asyncio.get_running_loop().call_soon(_probe, protocol, 0)
    return True


def _is_idle(protocol: web_protocol.RequestHandler) -> bool:
    if protocol._messages or protocol._current_request is not None:
        return False
    return protocol._waiter is not None or not protocol._request_count


def _probe(protocol: web_protocol.RequestHandler, count: int) -> None:
    transport = protocol.transport
    if transport is None or transport.is_closing():
        return
    request = protocol._current_request
    if request is not None:
        if not request.content.is_eof():
            # The rest of the request can never come.
            transport.abort()
            return
        if request.writer.output_size > 0:
            # Writing the answer shows whether the client still reads.
            return
        if request.version >= aiohttp.HttpVersion11:
            transport.write(bodies.CONTINUE)
    pause = _PAUSES_S[count] if count < len(_PAUSES_S) else _LAST_PAUSE_S
    loop = asyncio.get_running_loop()
    loop.call_later(pause, _probe, protocol, count + 1)
