"""Request bodies: buffered if they are small, otherwise streamed."""

import asyncio
from collections import abc
import math

from aiohttp import web

from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.overload import body_io
from burdockdeal.settings import model

#: The interim response that asks the client to send its body.
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


async def send_continue(request: web.BaseRequest) -> None:
    """Send 100 Continue if the client waits for it."""
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(CONTINUE)
        request.writer.output_size = 0


class Body:
    """A request's body, ready to be sent on.

    :param request: the request that it belongs to.
    :param buffered: the whole body if it was read, None to stream it.
    :param limits: minimum pace at which the client must send it.
    :param max_bytes: maximum length in bytes, checked while streaming.
    """

    def __init__(
        self,
        request: web.BaseRequest,
        buffered: bytes | None,
        limits: model.Limits,
        max_bytes: float = math.inf,
    ) -> None:
        self._max_bytes = max_bytes
        self._request = request
        self._limits = limits
        self._buffered = buffered
        self._started = False
        self._reading: asyncio.Future[bytes] | None = None

    @property
    def buffered(self) -> bytes | None:
        """The whole body, None if it is streamed."""
        return self._buffered

    @property
    def is_streamed(self) -> bool:
        """Whether the body is sent on while it is received."""
        return self._buffered is None

    @property
    def is_replayable(self) -> bool:
        """Whether the body can still be sent from its start."""
        return self._buffered is not None or not self._started

    def open(self) -> bytes | abc.AsyncIterator[bytes] | None:
        """Return the body for aiohttp's client, None if it is empty."""
        if self._buffered is not None:
            return self._buffered or None
        return self._stream()

    async def close(self) -> None:
        """Stop sending the body on.

        The upstream may respond before it has read the whole body. What is
        left of it is then read by the server, so that the connection can be
        used again, and nothing else may read it any more.
        """
        if self._reading is not None and not self._reading.done():
            self._reading.cancel()
            await asyncio.wait({self._reading})

    async def _stream(self) -> abc.AsyncIterator[bytes]:
        self._started = True
        await send_continue(self._request)
        chunks = body_io.read_body(self._request.content, self._limits)
        size = 0
        while True:
            # A task of its own can be cancelled by `close`, whichever task
            # of the HTTP client waits for it.
            self._reading = asyncio.ensure_future(anext(chunks, b""))
            chunk = await self._reading
            if not chunk:
                return
            size += len(chunk)
            _check_size(size, self._max_bytes)
            yield chunk


def _check_size(size: int, max_bytes: float) -> None:
    """Check the length of a body.

    :raises NotRunError: if it is too long; if a part of it has been sent
        on, the sender must correct the verdict.
    """
    if size > max_bytes:
        raise errors.NotRunError(
            verdict.Reason.BODY_TOO_LARGE,
            f"the body is longer than {max_bytes:.0f} bytes",
        )


async def prepare_body(
    request: web.BaseRequest,
    limits: model.Limits,
    max_bytes: float = math.inf,
) -> Body:
    """Buffer a request's body, or prepare to stream it.

    :param limits: bodies of up to its replay_bytes are buffered, so that
        they can be sent again; longer ones and those of unknown length
        are streamed, with at most two read buffers of 64 KiB in memory.
    :param max_bytes: maximum length in bytes.
    :raises NotRunError: if the body is too long, or is buffered and the
        client sends it too slowly.
    """
    if not request.body_exists:
        return Body(request, b"", limits)
    length = request.content_length
    _check_size(length or 0, max_bytes)
    if length is None or length > limits.replay_bytes:
        return Body(request, None, limits, max_bytes)
    await send_continue(request)
    chunks = [
        chunk async for chunk in body_io.read_body(request.content, limits)
    ]
    return Body(request, b"".join(chunks), limits)
