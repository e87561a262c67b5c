"""Telling whether an answer is whole."""

import asyncio
import http

import aiohttp

from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.serving import messages

_BODILESS = frozenset(
    {http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED}
)


class CloseDelimitedBody:
    """A body that ends with its connection (RFC 9112, section 6.3).

    It is whole if the connection was closed, and cut if it was reset.

    :param content: the bytes, as they come.
    :param closed: done once the connection has ended, with an exception
        if it was not closed in order.
    """

    def __init__(
        self, content: messages.BodyReader, closed: asyncio.Future[None]
    ) -> None:
        self._content = content
        self._closed = closed

    async def readany(self) -> bytes:
        """Read what has come, or wait; empty at the end.

        :raises ClientConnectionError: if the connection was reset.
        """
        part = await self._content.readany()
        if not part:
            await asyncio.shield(self._closed)
        return part

    def at_eof(self) -> bool:
        """Tell whether all was read, and nothing is missing."""
        if not self._content.at_eof() or not self._closed.done():
            return False
        return self._closed.exception() is None


def _is_framed(response: aiohttp.ClientResponse, method: str) -> bool:
    given = response.headers
    return (
        method == "HEAD"
        or response.status in _BODILESS
        or "Content-Length" in given
        or "chunked" in given.get("Transfer-Encoding", "").lower()
    )


def _find_end(
    response: aiohttp.ClientResponse,
) -> asyncio.Future[None] | None:
    connection = response.connection
    protocol = connection.protocol if connection is not None else None
    return protocol.closed if protocol is not None else None


def build_response(
    response: aiohttp.ClientResponse, method: str
) -> messages.Response:
    """Make an answer of a response whose head has just arrived.

    :raises RanError: if it can't be told whether the answer will be whole,
        or if it switches protocols.
    """
    if response.status < http.HTTPStatus.OK:
        detail = f"the answer's status is {response.status}"
        raise errors.RanError(verdict.Reason.BROKEN_CONNECTION, detail)
    content: messages.BodyReader = response.content
    if not _is_framed(response, method):
        closed = _find_end(response)
        if closed is None:
            detail = "the connection ended before the answer was read"
            raise errors.RanError(verdict.Reason.BROKEN_CONNECTION, detail)
        content = CloseDelimitedBody(content, closed)
    return messages.Response(
        response.status, response.reason, response.headers, content
    )
