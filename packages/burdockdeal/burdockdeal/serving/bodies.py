"""Bodies of requests: whole if small, else passed on as they come."""

from collections import abc
import math

from aiohttp import web

from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.overload import pacing
from burdockdeal.settings import model

#: The interim answer.
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


async def send_continue(request: web.BaseRequest) -> None:
    """Send 100 Continue to a client that waits for it."""
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(CONTINUE)
        request.writer.output_size = 0


class Body:
    """A request's body.

    :param request: the request it belongs to.
    :param buffered: the bytes, if they were read whole; None to stream.
    :param limits: how slowly it may come.
    :param max_bytes: how long it may be, as far as that is bounded.
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

    @property
    def buffered(self) -> bytes | None:
        """The bytes, None if they are streamed."""
        return self._buffered

    @property
    def is_streamed(self) -> bool:
        """Whether the body is passed on as it comes."""
        return self._buffered is None

    @property
    def is_replayable(self) -> bool:
        """Whether the body can be sent from its start."""
        return self._buffered is not None or not self._started

    def open(self) -> bytes | abc.AsyncIterator[bytes] | None:
        """Give the body to a client request, None if it is empty."""
        if self._buffered is not None:
            return self._buffered or None
        return self._stream()

    async def _stream(self) -> abc.AsyncIterator[bytes]:
        self._started = True
        await send_continue(self._request)
        content = self._request.content
        size = 0
        async for chunk in pacing.read_steadily(content, self._limits):
            size += len(chunk)
            _check_size(size, self._max_bytes)
            yield chunk


def _check_size(size: int, max_bytes: float) -> None:
    """Check how long a body is.

    :raises NotRunError: if it is too long; where a part of it was sent on,
        the verdict is the sender's to correct.
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
    """Take a request's body.

    :param limits: bodies up to its replay_bytes are read whole, so that
        they can be sent again; larger ones and those of unknown length
        are streamed, with at most two read buffers of 64 KiB held.
    :param max_bytes: how long a body may be.
    :raises NotRunError: if it is too long, or is read whole and comes too
        slowly.
    """
    if not request.body_exists:
        return Body(request, b"", limits)
    length = request.content_length
    _check_size(length or 0, max_bytes)
    if length is None or length > limits.replay_bytes:
        return Body(request, None, limits, max_bytes)
    await send_continue(request)
    chunks = [
        chunk async for chunk in pacing.read_steadily(request.content, limits)
    ]
    return Body(request, b"".join(chunks), limits)
