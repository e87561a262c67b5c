"""Short responses, which are read whole before any of them is relayed.

A response that breaks off after a part of it was relayed ends the connection
of its caller, and with it the responses to the requests behind it. One that
was not relayed yet can still be replaced by an error.
"""

import asyncio
import contextlib
import dataclasses

from burdockdeal.overload import body_io
from burdockdeal.serving import messages
from burdockdeal.settings import model

#: Length in bytes up to which a body is read whole. It is less than what the
#: HTTP client reads ahead of each response.
MAX_BYTES = 16_384

#: Seconds for which the end of a body of unknown length is awaited if requests
#: stand behind it. It may be a stream of short messages.
UNKNOWN_LENGTH_WAIT_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class BodyStart:
    """What was read of a body before any of it is relayed.

    :param is_whole: whether nothing follows.
    """

    content: bytes
    is_whole: bool


class _Reader:
    """Reads a body until its end, or until there is too much of it."""

    def __init__(
        self, response: messages.Response, limits: model.Limits
    ) -> None:
        self._content = response.content
        self._limits = limits
        self._read = bytearray()
        self._has_ended = False

    @property
    def start(self) -> BodyStart:
        """What was read so far."""
        return BodyStart(bytes(self._read), self._has_ended)

    async def read(self, max_bytes: int) -> None:
        """Read on until the body ends or has more than some bytes."""
        while not self._has_ended and len(self._read) <= max_bytes:
            chunk = await body_io.read_response_chunk(
                self._content, self._limits
            )
            self._read += chunk
            self._has_ended = not chunk or self._content.at_eof()


def _find_length(response: messages.Response) -> int | None:
    """Return the announced length of a body in bytes, None without one."""
    length = response.headers.get("Content-Length", "")
    return int(length) if length.isdecimal() else None


async def read_start(
    response: messages.Response,
    limits: model.Limits,
    *,
    holds_back: bool = False,
) -> BodyStart:
    """Read a short body whole, or the beginning of a longer one.

    Of a body of unknown length, what is there is read.

    :param limits: how long a read may stall.
    :param holds_back: whether to wait for the end of such a body, too.
    :raises ClientError: if the body breaks off.
    """
    reader = _Reader(response, limits)
    length = _find_length(response)
    if length is not None and length > MAX_BYTES:
        await reader.read(0)
    elif length is not None:
        await reader.read(MAX_BYTES)
    else:
        wait_s = UNKNOWN_LENGTH_WAIT_S if holds_back else 0.0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await reader.read(MAX_BYTES)
    return reader.start
