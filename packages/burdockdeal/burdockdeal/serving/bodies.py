"""Bodies of requests: whole if small, else passed on as they come."""

from collections import abc

from aiohttp import web

from burdockdeal.overload import pacing
from burdockdeal.settings import model

#: The interim answer.
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


async def invite_body(request: web.BaseRequest) -> None:
    """Send 100 Continue to a client that waits for it."""
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(CONTINUE)
        request.writer.output_size = 0


class Body:
    """A request's body.

    :param request: the request it belongs to.
    :param whole: the bytes, if they were read whole; None to stream.
    :param limits: how slowly it may come.
    """

    def __init__(
        self,
        request: web.BaseRequest,
        whole: bytes | None,
        limits: model.Limits,
    ) -> None:
        self._request = request
        self._limits = limits
        self._whole = whole
        self._started = False

    @property
    def whole(self) -> bytes | None:
        """The bytes, None if they are streamed."""
        return self._whole

    @property
    def streamed(self) -> bool:
        """Whether the body is passed on as it comes."""
        return self._whole is None

    @property
    def replayable(self) -> bool:
        """Whether the body can be sent from its start."""
        return self._whole is not None or not self._started

    def open(self) -> bytes | abc.AsyncIterator[bytes] | None:
        """Give the body to a client request, None if it is empty."""
        if self._whole is not None:
            return self._whole or None
        return self._stream()

    async def _stream(self) -> abc.AsyncIterator[bytes]:
        self._started = True
        await invite_body(self._request)
        content = self._request.content
        async for chunk in pacing.read_steadily(content, self._limits):
            yield chunk


async def take_body(request: web.BaseRequest, limits: model.Limits) -> Body:
    """Take a request's body.

    :param limits: bodies up to its replay_bytes are read whole, so that
        they can be sent again; larger ones and those of unknown length
        are streamed, with at most two read buffers of 64 KiB held.
    :raises NotRunError: if a body that is read whole comes too slowly.
    """
    if not request.body_exists:
        return Body(request, b"", limits)
    length = request.content_length
    if length is None or length > limits.replay_bytes:
        return Body(request, None, limits)
    await invite_body(request)
    chunks = [
        chunk async for chunk in pacing.read_steadily(request.content, limits)
    ]
    return Body(request, b"".join(chunks), limits)
