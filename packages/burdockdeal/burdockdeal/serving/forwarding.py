"""Forwarding of requests, and relaying of their responses."""

import asyncio
from collections import abc
import contextlib
import socket
import typing

import aiohttp
from aiohttp import web
import multidict
import yarl

from burdockdeal.core import errors
from burdockdeal.core import headers
from burdockdeal.core import verdict
from burdockdeal.overload import body_io
from burdockdeal.serving import connection_guard
from burdockdeal.serving import framing
from burdockdeal.serving import messages
from burdockdeal.serving import peer_responses
from burdockdeal.serving import short_responses
from burdockdeal.settings import model

#: Timeout of a connect in seconds: several round trips between regions. The
#: request has not been sent by then, so the call can go to another instance.
_CONNECT_TIMEOUT_S = 0.25
#: Part of the error that uvloop raises for a socket still in use.
_SOCKET_IN_USE_TEXT = "is used by transport"
_KEEPALIVE_TIMEOUT_S = 60.0
#: Seconds after a call's deadline for which its response is still relayed.
_RELAY_GRACE_S = 0.2
_SKIPPED_DEFAULT_HEADERS = (
    "Accept",
    "Accept-Encoding",
    "Content-Type",
    "User-Agent",
)


#: Creates a socket from an address info tuple, for aiohttp's connector.
SocketFactory = abc.Callable[[tuple[typing.Any, ...]], socket.socket]


def build_session(
    header_bytes: int,
    socket_factory: SocketFactory | None = None,
    *,
    single_use: bool = False,
) -> aiohttp.ClientSession:
    """Build a client session that forwards requests unchanged.

    It adds no headers of its own, keeps no cookies, decompresses nothing
    and has no connection limit.

    :param header_bytes: maximum length in bytes of a response's status line
        or field.
    :param socket_factory: creates the connections' sockets.
    :param single_use: whether each connection carries one request only.
    """
    connector = aiohttp.TCPConnector(
        limit=0,
        keepalive_timeout=None if single_use else _KEEPALIVE_TIMEOUT_S,
        force_close=single_use,
        use_dns_cache=False,
        socket_factory=socket_factory,
    )
    connection_guard.guard_connections(connector)
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=_SKIPPED_DEFAULT_HEADERS,
        max_line_size=header_bytes,
        max_field_size=header_bytes,
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=_CONNECT_TIMEOUT_S
        ),
    )
    # Otherwise aiohttp itself sends GET, PUT and DELETE again when a reused
    # connection breaks. Whether a call may run twice is decided in retry.
    session._retry_connection = False
    return session


def copy_end_to_end_headers(
    source: multidict.MultiMapping[str],
) -> multidict.CIMultiDict[str]:
    """Copy the end-to-end headers (RFC 9110, section 7.6.1)."""
    connection_headers = {
        name.strip().lower()
        for line in source.getall("Connection", ())
        for name in line.split(",")
    }
    dropped = headers.HOP_BY_HOP | headers.INTERNAL | connection_headers
    kept: multidict.CIMultiDict[str] = multidict.CIMultiDict()
    for name, value in source.items():
        if name.lower() not in dropped:
            kept.add(name, value)
    return kept


def build_url(authority: str, target: str) -> yarl.URL:
    """Build a URL whose request line has exactly the target.

    The target is all path here: from a query, yarl would drop a question mark
    with nothing behind it, and it would drop a fragment.
    """
    return yarl.URL.build(
        scheme="http", authority=authority, path=target, encoded=True
    )


def _keep(response: messages.Response) -> bool:
    return True


@contextlib.asynccontextmanager
async def open_response(
    session: aiohttp.ClientSession,
    authority: str,
    outbound: messages.OutboundRequest,
    added: abc.Mapping[str, str],
    *,
    remaining_s: float,
    expect: bool,
    keeps_connection: abc.Callable[[messages.Response], bool] = _keep,
) -> abc.AsyncIterator[messages.Response]:
    """Send a request and wait for the head of its response.

    :param authority: address and port.
    :param added: headers for this hop.
    :param remaining_s: seconds within which the head must arrive.
    :param expect: whether to wait for 100 Continue before sending the body.
    :param keeps_connection: returns whether the connection may be used again
        after a response.
    :raises NotRunError: if nothing was sent.
    :raises LostResponseError: if something was sent and no valid head arrived.
    :raises RanError: if the end of the response could not be detected.
    """
    if remaining_s <= 0:
        raise errors.NotRunError(verdict.Reason.DEADLINE_PASSED)
    request_headers = outbound.headers.copy()
    request_headers.popall("Expect", None)
    request_headers.update(added)
    try:
        async with asyncio.timeout(remaining_s):
            response = await session.request(
                outbound.method,
                build_url(authority, outbound.target),
                headers=request_headers,
                data=outbound.body.open(),
                allow_redirects=False,
                expect100=expect,
            )
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        raise errors.NotRunError(
            verdict.Reason.UNREACHABLE, str(error)
        ) from error
    except RuntimeError as error:
        # uvloop refuses to connect a socket whose descriptor number still
        # belongs to a transport that is being collected. Nothing was sent.
        if _SOCKET_IN_USE_TEXT not in str(error):
            raise
        raise errors.NotRunError(
            verdict.Reason.UNREACHABLE, str(error)
        ) from error
    except TimeoutError as error:
        raise errors.LostResponseError(verdict.Reason.TIMED_OUT) from error
    except (aiohttp.ClientError, OSError) as error:
        raise errors.LostResponseError(
            verdict.Reason.BROKEN_CONNECTION, repr(error)
        ) from error
    try:
        try:
            built = framing.build_response(response, outbound.method)
        except errors.CallError:
            connection_guard.discard(response)
            raise
        if not keeps_connection(built):
            connection_guard.discard(response)
        yield built
    finally:
        # A response that was read to its end has released its connection.
        # Any other connection is closed, which cancels the upstream's work.
        response.close()


class TruncatedResponseError(errors.BurdockdealError):
    """A response was truncated after a part of it had been relayed.

    :param reason: why it was truncated.
    """

    def __init__(self, reason: verdict.Reason, detail: str) -> None:
        self.reason = reason
        super().__init__(detail)


async def relay_response(
    request: web.BaseRequest,
    response: messages.Response,
    added: abc.Mapping[str, str],
    limits: model.Limits,
    *,
    remaining_s: float,
    to_peer: bool = False,
    holds_back: bool = False,
) -> web.StreamResponse:
    """Relay a response to the client, a long one while it arrives.

    :param response: the response to relay.
    :param added: headers of burdockdeal's own.
    :param limits: how long a read or a write may stall.
    :param remaining_s: seconds until the call's deadline. A body that has no
        end by then is broken off a little later.
    :param to_peer: whether the client is another daemon.
    :param holds_back: whether to wait for the end of a short response of
        unknown length, for the sake of the responses behind it.
    :returns: the response to the client, fully written or ready to be
        written.
    :raises RanError: if the response broke off before any of it was
        relayed.
    :raises TruncatedResponseError: if it broke off later. What was written
        is then given up, and its connection ends, so that the client can't
        take the response for complete.
    """
    kept = copy_end_to_end_headers(response.headers)
    kept.update(added)
    relay_timeout = asyncio.timeout(max(0.0, remaining_s) + _RELAY_GRACE_S)
    relayed: web.StreamResponse | None = None
    whole_type = peer_responses.PeerResponse if to_peer else web.Response
    stream_type = (
        peer_responses.PeerStreamResponse if to_peer else web.StreamResponse
    )
    try:
        async with relay_timeout:
            start = await short_responses.read_start(
                response, limits, holds_back=holds_back
            )
            if start.content and start.is_whole:
                kept.popall("Content-Length", None)
                return whole_type(
                    status=response.status,
                    reason=response.reason,
                    headers=kept,
                    body=start.content,
                )
            relayed = stream_type(
                status=response.status, reason=response.reason, headers=kept
            )
            await relayed.prepare(request)
            if start.content:
                await body_io.write_response_chunk(
                    relayed, start.content, limits
                )
            while chunk := await body_io.read_response_chunk(
                response.content, limits
            ):
                await body_io.write_response_chunk(relayed, chunk, limits)
            await relayed.write_eof()
            return relayed
    except (aiohttp.ClientError, OSError) as error:
        reason = (
            verdict.Reason.TIMED_OUT
            if relay_timeout.expired()
            else verdict.Reason.BROKEN_CONNECTION
        )
        if relayed is None:
            # Nothing was relayed yet, so the client can get an error response.
            raise errors.RanError(reason, repr(error)) from error
        if request.transport is not None:
            request.transport.abort()
        raise TruncatedResponseError(reason, repr(error)) from error
