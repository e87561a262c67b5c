"""Bodies of requests: whole if small, else passed on as they come."""

from collections import abc

from aiohttp import web

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
    """

    def __init__(self, request: web.BaseRequest, whole: bytes | None) -> None:
        self._request = request
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
        while chunk := await self._request.content.readany():
            yield chunk


async def take_body(request: web.BaseRequest, replay_bytes: int) -> Body:
    """Take a request's body.

    :param replay_bytes: bodies up to this many bytes are read whole, so
        that they can be sent again; larger ones and those of unknown
        length are streamed, with at most two read buffers of 64 KiB held.
    """
    if not request.body_exists:
        return Body(request, b"")
    length = request.content_length
    if length is None or length > replay_bytes:
        return Body(request, None)
    await invite_body(request)
    return Body(request, await request.content.read())
