"""Message framing: whether a response is complete."""

import asyncio
import http

import aiohttp

from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.serving import messages

_BODILESS = frozenset(
    {http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED}
)


#: The statuses that exist (RFC 9110, section 15).
_FIRST_STATUS = 100
_LAST_STATUS = 599


class CloseDelimitedBody:
    """A body that ends with its connection (RFC 9112, section 6.3).

    It is complete if the connection was closed, and truncated if the
    connection was reset.

    :param content: the body as aiohttp receives it.
    :param closed: done once the connection has ended, with an exception
        unless the peer closed it normally.
    """

    def __init__(
        self, content: messages.BodyReader, closed: asyncio.Future[None]
    ) -> None:
        self._content = content
        self._closed = closed

    async def readany(self) -> bytes:
        """Read the bytes received so far, or wait; empty at the end.

        :raises ClientConnectionError: if the connection was reset.
        """
        chunk = await self._content.readany()
        if not chunk:
            await asyncio.shield(self._closed)
        return chunk

    def at_eof(self) -> bool:
        """Return whether the body was read to its end and is complete."""
        if not self._content.at_eof() or not self._closed.done():
            return False
        return self._closed.exception() is None


def _has_known_end(response: aiohttp.ClientResponse, method: str) -> bool:
    response_headers = response.headers
    return (
        method == "HEAD"
        or response.status in _BODILESS
        or "Content-Length" in response_headers
        or "chunked" in response_headers.get("Transfer-Encoding", "").lower()
    )


def _find_close(
    response: aiohttp.ClientResponse,
) -> asyncio.Future[None] | None:
    connection = response.connection
    protocol = connection.protocol if connection is not None else None
    return protocol.closed if protocol is not None else None


def build_response(
    response: aiohttp.ClientResponse, method: str
) -> messages.Response:
    """Wrap an aiohttp response whose head has just arrived.

    :param method: the request's method, on which the framing depends.
    :raises LostResponseError: if its status is not between 100 and 599.
    :raises RanError: if the end of the response could not be detected, or
        if the response is an interim one or switches protocols.
    """
    if not _FIRST_STATUS <= response.status <= _LAST_STATUS:
        # Whatever wrote it may have run the request or not.
        detail = f"the answer's status is {response.status:03d}"
        raise errors.LostResponseError(
            verdict.Reason.BROKEN_CONNECTION, detail
        )
    if response.status < http.HTTPStatus.OK:
        detail = f"the answer's status is {response.status}"
        raise errors.RanError(verdict.Reason.BROKEN_CONNECTION, detail)
    content: messages.BodyReader = response.content
    if not _has_known_end(response, method):
        closed = _find_close(response)
        if closed is None:
            detail = "the connection ended before the answer was read"
            raise errors.RanError(verdict.Reason.BROKEN_CONNECTION, detail)
        content = CloseDelimitedBody(content, closed)
    return messages.Response(
        response.status, response.reason, response.headers, content
    )
