"""One request of a caller and its response, in its turn."""

import asyncio
import http

from aiohttp import http_parser
from aiohttp import web

from burdockdeal.serving import caller_server
from burdockdeal.serving import raw_responses
from burdockdeal.serving import request_reading
from burdockdeal.serving import response_channels

#: Methods that may be handled before the preceding requests are answered
#: (RFC 9110, section 9.2.2); a request with another method waits.
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class _Request(web.BaseRequest):
    """A request whose connection may close after its response."""

    @property
    def keep_alive(self) -> bool:
        return not self._protocol.decide_close()


async def handle_request(
    server: caller_server.Server,
    channel: response_channels.ResponseChannel,
    message: http_parser.RawRequestMessage,
) -> bool:
    """Handle a request and write its response.

    :returns: whether the connection can be used for another request.
    """
    if message.method not in _SAFE_METHODS:
        await channel.wait_turn()
    request = _Request(
        message,
        channel.payload,
        channel,
        channel.writer,
        asyncio.current_task(),
        asyncio.get_running_loop(),
    )
    try:
        response = await server.handle(request)
    except asyncio.CancelledError:
        raise
    except Exception as error:
        response = server.respond_to_error(error)
        if channel.writer.output_size > 0:
            channel.abort()
            return False
    return await _finish(channel, request, response)


async def refuse(
    server: caller_server.Server,
    channel: response_channels.ResponseChannel,
    error: Exception,
) -> bool:
    """Respond to what could not be read as a request.

    :returns: whether the connection can be used for another request.
    """
    await channel.wait_turn()
    status = getattr(error, "code", http.HTTPStatus.BAD_REQUEST)
    response = server.respond_to_error(error, status=status)
    await raw_responses.write_final_response(channel.writer, response)
    return False


async def _finish(
    channel: response_channels.ResponseChannel,
    request: web.BaseRequest,
    response: web.StreamResponse,
) -> bool:
    try:
        await response.prepare(request)
        await response.write_eof()
    except (ConnectionError, RuntimeError):
        channel.abort()
        return False
    await channel.wait_turn()
    if not response.keep_alive:
        return False
    return await request_reading.drain_body(channel.payload)
