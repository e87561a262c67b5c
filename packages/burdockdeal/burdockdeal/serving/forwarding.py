"""Sending a request on and passing its answer back."""

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
from burdockdeal.overload import pacing
from burdockdeal.serving import framing
from burdockdeal.serving import messages
from burdockdeal.settings import model

#: Seconds until a connect is given up: several round trips between regions.
#: Nothing was sent by then, so that the call can go elsewhere.
_CONNECT_TIMEOUT_S = 0.25
_SOCKET_TAKEN = "is used by transport"
_IDLE_CONNECTION_S = 60.0
_UNWANTED_DEFAULTS = (
    "Accept",
    "Accept-Encoding",
    "Content-Type",
    "User-Agent",
)


#: Make a socket, as aiohttp asks for it.
SocketFactory = abc.Callable[[tuple[typing.Any, ...]], socket.socket]


def build_session(
    header_bytes: int, socket_factory: SocketFactory | None = None
) -> aiohttp.ClientSession:
    """Build a client session that passes requests on as they are.

    :param header_bytes: the largest head of an answer that is taken.
    :param socket_factory: makes the sockets of connections.
    """
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0,
            keepalive_timeout=_IDLE_CONNECTION_S,
            use_dns_cache=False,
            socket_factory=socket_factory,
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=_UNWANTED_DEFAULTS,
        max_line_size=header_bytes,
        max_field_size=header_bytes,
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=_CONNECT_TIMEOUT_S
        ),
    )
    # aiohttp sends GET, PUT and DELETE again by itself when a reused
    # connection breaks; whether a call may run twice is decided in retry.
    session._retry_connection = False
    return session


def copy_end_to_end_headers(
    given: multidict.MultiMapping[str],
) -> multidict.CIMultiDict[str]:
    """Copy the headers that go to the other end (RFC 9110, 7.6.1)."""
    named = {
        name.strip().lower()
        for line in given.getall("Connection", ())
        for name in line.split(",")
    }
    dropped = headers.HOP_BY_HOP | headers.INTERNAL | named
    kept: multidict.CIMultiDict[str] = multidict.CIMultiDict()
    for name, value in given.items():
        if name.lower() not in dropped:
            kept.add(name, value)
    return kept


@contextlib.asynccontextmanager
async def open_response(
    session: aiohttp.ClientSession,
    base: str,
    outbound: messages.OutboundRequest,
    added: abc.Mapping[str, str],
    *,
    remaining_s: float,
    expect: bool,
) -> abc.AsyncIterator[messages.Response]:
    """Send a request and wait for the head of its answer.

    :param base: scheme, address and port.
    :param added: headers for this hop.
    :param remaining_s: seconds until the head must be there.
    :param expect: ask for 100 Continue before the body is sent.
    :raises NotRunError: if nothing was sent.
    :raises LostAnswerError: if something was sent and no head came back.
    :raises RanError: if it can't be told whether the answer will be whole.
    """
    if remaining_s <= 0:
        raise errors.NotRunError(verdict.Reason.DEADLINE_PASSED)
    outgoing = outbound.headers.copy()
    outgoing.popall("Expect", None)
    outgoing.update(added)
    try:
        async with asyncio.timeout(remaining_s):
            response = await session.request(
                outbound.method,
                yarl.URL(base + outbound.target, encoded=True),
                headers=outgoing,
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
        # uvloop refuses to connect a socket whose number still belongs to
        # a transport that is being collected; nothing was sent.
        if _SOCKET_TAKEN not in str(error):
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
        yield framing.build_response(response, outbound.method)
    finally:
        # A response that was read to its end has given its connection
        # back; closing ends any other, and with it the upstream's work.
        response.close()


class TruncatedResponseError(errors.BurdockdealError):
    """An answer broke off after a part of it was passed on."""


async def relay_response(
    request: web.BaseRequest,
    response: messages.Response,
    added: abc.Mapping[str, str],
    limits: model.Limits,
) -> web.StreamResponse:
    """Pass an answer on as it comes.

    :param added: headers of burdockdeal's own.
    :returns: the response, finished.
    :raises RanError: if the answer broke off before any of it was passed on.
    :raises CutAnswerError: if the answer broke off; the connection to
        the client is then cut too, so that it can't be taken for whole.
    """
    kept = copy_end_to_end_headers(response.headers)
    kept.update(added)
    try:
        first = await pacing.read_part(response.content, limits)
    except (aiohttp.ClientError, OSError) as error:
        # Nothing was passed on yet, so the client can be told plainly.
        raise errors.RanError(
            verdict.Reason.BROKEN_CONNECTION, repr(error)
        ) from error
    if first and response.content.at_eof():
        kept.popall("Content-Length", None)
        return web.Response(
            status=response.status,
            reason=response.reason,
            headers=kept,
            body=first,
        )
    passed = web.StreamResponse(
        status=response.status, reason=response.reason, headers=kept
    )
    await passed.prepare(request)
    try:
        while first:
            await pacing.write_steadily(passed, first, limits)
            first = await pacing.read_part(response.content, limits)
    except (aiohttp.ClientError, OSError) as error:
        if request.transport is not None:
            request.transport.abort()
        raise TruncatedResponseError(repr(error)) from error
    await passed.write_eof()
    return passed
