"""Reading of requests from a caller's connection.

aiohttp's parser bounds each line, not a head or what comes between the bytes
of a chunked body. So what was read is handed to it in pieces that hold at
most one head, and the bytes of each part are counted here.
"""

import asyncio
from collections import abc

from aiohttp import base_protocol
from aiohttp import http_exceptions
from aiohttp import http_parser
from aiohttp import streams

from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.serving import held_memory

#: Seconds within which the unread rest of a body must arrive for the
#: connection to be reused.
DRAIN_TIMEOUT_S = 2.0

_BLANK_LINE = b"\r\n\r\n"

#: The requests that a piece completes, with their bodies.
Received = abc.Sequence[
    tuple[http_parser.RawRequestMessage, streams.StreamReader]
]


class RequestReader:
    """Hands what a connection receives to aiohttp's parser, within limits.

    :param protocol: the connection; its buffers pause the parser.
    :param loop: the running event loop.
    :param line_bytes: maximum length in bytes of a request line or field.
    :param get_head_bytes: returns the maximum length in bytes of a head with
        the empty lines before it, and of what comes in a row within a chunked
        body and brings no byte of it.
    """

    def __init__(
        self,
        protocol: base_protocol.BaseProtocol,
        loop: asyncio.AbstractEventLoop,
        *,
        line_bytes: int,
        get_head_bytes: abc.Callable[[], int],
    ) -> None:
        self._parser: http_parser.HttpRequestParser | None
        self._parser = http_parser.HttpRequestParser(
            protocol,
            loop,
            held_memory.READ_BUFFER_BYTES,
            max_line_size=line_bytes,
            max_field_size=line_bytes,
            auto_decompress=False,
        )
        self._clock = loop.time
        self._get_head_bytes = get_head_bytes
        self._data = b""
        self._start = 0
        #: The end of the preceding piece, which may begin a blank line.
        self._end = b""
        #: The body that is being received, None within a head.
        self._payload: streams.StreamReader | None = None
        #: What is missing of a body of known length, None if it is chunked.
        self._missing_bytes: int | None = None
        self._head_bytes = 0
        self._framing_bytes = 0
        self._body_bytes = 0
        self._has_been_paused = False
        #: When the head that is being received began, None outside of heads.
        self.head_since: float | None = None

    @property
    def held_bytes(self) -> int:
        """Bytes that are held outside of bodies."""
        unparsed = len(self._data) - self._start
        return unparsed + self._head_bytes + self._framing_bytes

    @property
    def has_data(self) -> bool:
        """Whether received bytes are left that the parser was not given."""
        return self._start < len(self._data)

    def pause_reading(self) -> None:
        """Make the parser stop at the next byte of the body."""
        self._has_been_paused = True
        if self._parser is not None:
            self._parser.pause_reading()

    def restart_head_timer(self) -> None:
        """Count the time of a head from now on."""
        if self.head_since is not None:
            self.head_since = self._clock()

    def push(self, data: bytes) -> None:
        """Add received bytes."""
        self._data = self._data[self._start :] + data
        self._start = 0

    def discard(self) -> None:
        """Parse nothing more, and free what the parser holds."""
        self._data, self._start = b"", 0
        self._head_bytes = self._framing_bytes = 0
        self._parser = self._payload = None
        self.head_since = None

    def flush(self) -> Received:
        """Parse what the parser kept when it was paused."""
        if not self._has_been_paused or self._parser is None:
            return ()
        received, _, _ = self._parser.feed_data(b"")
        self._record_progress(0)
        return received

    def parse_piece(self) -> tuple[Received, bool]:
        """Parse the next piece of what was received.

        :returns: the requests in it, and whether the connection is used for
            another protocol from now on.
        :raises HttpProcessingError: if it is no valid request.
        :raises NotRunError: if a part is too long.
        """
        if self._payload is not None and self._is_body_fed():
            self._payload = None
            self._end = b""
        if self._payload is None:
            piece = self._take_of_head()
        else:
            piece = self._take_of_body(self._payload)
        if not piece:
            return (), False
        received, upgraded, _ = self._parser.feed_data(piece)
        if received:
            self._begin_body(*received[-1])
        else:
            self._record_progress(len(piece))
        return received, upgraded

    def _is_body_fed(self) -> bool:
        if self._missing_bytes is None:
            return self._payload.is_eof()
        return self._missing_bytes <= 0

    def _take_of_head(self) -> bytes:
        if not self._end:
            self._skip_empty_lines()
        if not self.has_data:
            return b""
        piece = self._take(self._find_blank_line())
        self._head_bytes += len(piece)
        self._check_head()
        return piece

    def _skip_empty_lines(self) -> None:
        """Skip empty lines before a request (RFC 9112, section 2.2)."""
        if self.has_data and self.head_since is None:
            self.head_since = self._clock()
        rest = self._data[self._start :].lstrip(b"\r\n")
        skipped = len(self._data) - self._start - len(rest)
        self._start += skipped
        self._head_bytes += skipped
        self._check_head()

    def _check_head(self) -> None:
        if self._head_bytes > self._get_head_bytes():
            raise errors.NotRunError(verdict.Reason.HEADER_TOO_LARGE)

    def _take_of_body(self, payload: streams.StreamReader) -> bytes:
        if self._missing_bytes is None:
            return self._take(self._find_blank_line())
        piece = self._take(self._start + self._missing_bytes)
        self._missing_bytes -= len(piece)
        return piece

    def _find_blank_line(self) -> int:
        """Find the position behind the next blank line, or of the end.

        If the parser finds an invalid request, it drops the valid ones that
        it has parsed from the same call; so each call gets at most one head.
        """
        seam = self._end + self._data[self._start : self._start + 3]
        found = seam.find(_BLANK_LINE)
        if found >= 0:
            return self._start + found + len(_BLANK_LINE) - len(self._end)
        found = self._data.find(_BLANK_LINE, self._start)
        return len(self._data) if found < 0 else found + len(_BLANK_LINE)

    def _take(self, end: int) -> bytes:
        piece = self._data[self._start : end]
        self._start += len(piece)
        self._end = (self._end + piece[-3:])[-3:]
        return piece

    def _begin_body(
        self,
        message: http_parser.RawRequestMessage,
        payload: streams.StreamReader,
    ) -> None:
        self._head_bytes = self._framing_bytes = 0
        self._body_bytes = payload.total_bytes
        # What is not yet parsed of a body that came with its head is kept.
        self._has_been_paused &= bool(payload.total_bytes)
        self._end = b""
        self.head_since = None
        self._payload = None if payload.is_eof() else payload
        length = message.headers.get("Content-Length")
        self._missing_bytes = (
            None
            if message.chunked or length is None
            else int(length) - payload.total_bytes
        )

    def _record_progress(self, size: int) -> None:
        """Count the bytes in a row that bring no byte of a chunked body."""
        payload = self._payload
        if payload is None or self._missing_bytes is not None:
            return
        self._framing_bytes += size
        if payload.is_eof() or payload.total_bytes > self._body_bytes:
            self._framing_bytes = 0
        self._body_bytes = payload.total_bytes
        if self._framing_bytes > self._get_head_bytes():
            raise errors.NotRunError(
                verdict.Reason.HEADER_TOO_LARGE,
                f"no byte of the body in {self._framing_bytes} bytes",
            )


async def drain_body(payload: streams.StreamReader) -> bool:
    """Read and discard the rest of a request's body.

    :returns: whether all of it arrived in time.
    """
    if payload.is_eof():
        return True
    try:
        async with asyncio.timeout(DRAIN_TIMEOUT_S):
            while not payload.is_eof():
                await payload.readany()
    except (
        TimeoutError,
        errors.NotRunError,
        http_exceptions.HttpProcessingError,
        OSError,
    ):
        return False
    return True
