"""One request of a caller and its response, in its turn."""

import asyncio
import http

from aiohttp import http_parser
from aiohttp import web

from burdockdeal.serving import caller_requests
from burdockdeal.serving import caller_server
from burdockdeal.serving import raw_responses
from burdockdeal.serving import request_reading
from burdockdeal.serving import response_channels

#: Methods that may be handled before the preceding requests are answered
#: (RFC 9110, section 9.2.2); a request with another method waits.
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


async def handle_request(
    server: caller_server.Server,
    channel: response_channels.ResponseChannel,
    message: http_parser.RawRequestMessage,
) -> bool:
    """Handle a request and write its response.

    :returns: whether the connection can be used for another request.
    """
    if message.method not in _SAFE_METHODS or channel.follows_stream:
        await channel.wait_turn()
    response = await _handle(server, _build_request(channel, message))
    if not response.prepared:
        return await _respond(server, channel, message, response)
    return await _finish(channel, response)


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


def _build_request(
    channel: response_channels.ResponseChannel,
    message: http_parser.RawRequestMessage,
) -> caller_requests.CallerRequest:
    return caller_requests.CallerRequest(
        message,
        channel.payload,
        channel,
        channel.writer,
        asyncio.current_task(),
        asyncio.get_running_loop(),
    )


async def _handle(
    server: caller_server.Server, request: caller_requests.CallerRequest
) -> web.StreamResponse:
    try:
        return await server.handle(request)
    except asyncio.CancelledError as error:
        if asyncio.current_task().cancelling():
            raise
        # Something that the handler waited for was cancelled, not the request.
        return server.respond_to_error(error)
    except Exception as error:
        return server.respond_to_error(error)


async def _respond(
    server: caller_server.Server,
    channel: response_channels.ResponseChannel,
    message: http_parser.RawRequestMessage,
    response: web.StreamResponse,
) -> bool:
    """Write a response in place of what was written of another one."""
    if channel.has_output and not channel.restart():
        return _abort(channel)
    try:
        await response.prepare(_build_request(channel, message))
    except (ConnectionError, RuntimeError):
        return _abort(channel)
    except Exception as error:
        if not channel.restart():
            return _abort(channel)
        response = server.respond_to_error(error)
        await response.prepare(_build_request(channel, message))
    return await _finish(channel, response)


async def _finish(
    channel: response_channels.ResponseChannel, response: web.StreamResponse
) -> bool:
    try:
        await response.write_eof()
    except (ConnectionError, RuntimeError):
        return _abort(channel)
    await channel.wait_turn()
    if not response.keep_alive:
        return False
    return await request_reading.drain_body(channel.payload)


def _abort(channel: response_channels.ResponseChannel) -> bool:
    channel.abort()
    return False
