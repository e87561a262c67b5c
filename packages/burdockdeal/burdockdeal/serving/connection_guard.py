"""Connections to upstreams that are dropped when the upstream misbehaves.

A faulty upstream may send bytes that belong to no request, or bytes without
end that never become a response.
"""

import functools
import re

import aiohttp
from aiohttp import client_proto
from aiohttp import http_exceptions
from aiohttp import http_parser

from burdockdeal.core import event_log

#: Maximum number of bytes received in a row that bring no byte of a body:
#: heads, interim responses, chunk extensions and trailers.
MAX_FRAMING_BYTES = 262_144

#: Maximum number of interim responses before a response.
MAX_INTERIM_RESPONSES = 100

#: Number of bytes that are parsed at once. Far more than what was received
#: is allocated for very short messages, of which one read may hold thousands.
_PARSED_BYTES = 8_192

#: The beginning of a response, which no part of a head may contain.
_STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] [0-9]{3}")

#: Responses with these statuses are followed by another one. Any other
#: number is final, also one that is no status.
_INTERIM_STATUSES = range(100, 200)


class GuardedConnection(client_proto.ResponseHandler):
    """Client side of a connection that carries one response at a time.

    Bytes that arrive after a complete response close the connection, so that
    the next request on it can't receive them as its response.
    """

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)
        self._final_body: aiohttp.StreamReader | None = None
        self._interim_responses = 0
        self._framing_bytes = 0
        self._body_bytes = 0

    @property
    def is_response_complete(self) -> bool:
        """Whether the response to the last request was received whole."""
        return self._final_body is not None and self._final_body.is_eof()

    def set_response_params(self, **kwargs: object) -> None:
        """Prepare for the response to a new request."""
        self._final_body = None
        self._interim_responses = 0
        self._framing_bytes = self._body_bytes = 0
        super().set_response_params(**kwargs)

    def feed_data(self, data: object, size: int = 0) -> None:
        """Pass on the head of a response, or close the connection."""
        message, body = data
        if _contains_status_line(message):
            # Bytes that belong to no response came in front of one. What was
            # read as one head is made of two.
            event_log.record("mixed_responses", status=message.code)
            self._fail("a response within a head")
            return
        if message.code in _INTERIM_STATUSES:
            self._interim_responses += 1
        elif self._final_body is None:
            self._final_body = body
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or close the connection."""
        self._parse(data[:_PARSED_BYTES])
        for start in range(_PARSED_BYTES, len(data), _PARSED_BYTES):
            if self.transport is None or self.transport.is_closing():
                return
            self._parse(data[start : start + _PARSED_BYTES])

    def _parse(self, data: bytes) -> None:
        if data and self.is_response_complete:
            event_log.record("unsolicited_bytes", size=len(data))
            self.force_close()
            self._close_transport()
            return
        super().data_received(data)
        self._report_parser_error()
        self._check_progress(len(data))

    def _report_parser_error(self) -> None:
        """Break off a body whose framing is malformed.

        aiohttp only closes the connection, and the reader of the body gets a
        RuntimeError.
        """
        error = self.exception()
        body = self._final_body
        if error is None or body is None or body.is_eof():
            return
        if body.exception() is None:
            body.set_exception(aiohttp.ClientPayloadError(repr(error)))

    def _check_progress(self, size: int) -> None:
        body = self._final_body
        body_bytes = body.total_bytes if body is not None else 0
        if body_bytes > self._body_bytes:
            self._framing_bytes = 0
        self._body_bytes = body_bytes
        self._framing_bytes += size
        if (
            self._framing_bytes <= MAX_FRAMING_BYTES
            and self._interim_responses <= MAX_INTERIM_RESPONSES
        ):
            return
        event_log.record(
            "endless_framing",
            size=self._framing_bytes,
            interim_responses=self._interim_responses,
        )
        self._fail(f"no byte of a body in {self._framing_bytes} bytes")

    def _fail(self, reason: str) -> None:
        """Give up the response and its connection."""
        error = http_exceptions.PayloadEncodingError(reason)
        self.set_exception(error)
        body = self._final_body
        if body is not None and not body.is_eof():
            body.set_exception(aiohttp.ClientPayloadError(error.message))
        self._close_transport()

    def discard(self) -> None:
        """Close the connection once the response was received."""
        self.force_close()
        if self.is_response_complete:
            # The connection may be back in the pool already.
            self._close_transport()

    def _close_transport(self) -> None:
        if self.transport is not None:
            self.transport.abort()


def _contains_status_line(message: http_parser.RawResponseMessage) -> bool:
    """Return whether a head contains the beginning of another response."""
    values = [value for _, value in message.raw_headers]
    return any(
        b"HTTP/" in text and _STATUS_LINE.search(text)
        for text in (message.reason.encode(errors="replace"), *values)
    )


def guard_connections(connector: aiohttp.BaseConnector) -> None:
    """Make a connector use guarded connections from now on."""
    # aiohttp has no public way to set the protocol of its connections.
    connector._factory = functools.partial(
        GuardedConnection, loop=connector._loop
    )


def discard(response: aiohttp.ClientResponse) -> None:
    """Keep the connection of a response from being used again."""
    # The response gives up its public reference to the connection as soon as
    # its body was received.
    response._protocol.discard()
