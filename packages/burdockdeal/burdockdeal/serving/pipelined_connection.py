"""One client connection whose pipelined requests are handled concurrently."""

import asyncio
import collections
from collections import abc
import typing

from aiohttp import base_protocol
from aiohttp import http_exceptions
from aiohttp import http_parser
from aiohttp import streams
from aiohttp import web

from burdockdeal.serving import raw_responses
from burdockdeal.serving import request_reading
from burdockdeal.serving import response_channels

#: Number of unanswered requests above which a connection is not read.
MAX_PIPELINED_REQUESTS = 16

#: Bytes of a request's body that are buffered for the handler.
READ_BUFFER_BYTES = 65536

#: Methods that may be handled before the preceding requests are answered
#: (RFC 9110, section 9.2.2); a request with another method waits.
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})

#: Seconds between interim responses to a client that has closed its sending
#: side: first a network round trip, then longer.
_FIRST_PROBE_INTERVALS_S = (0.02, 0.1)
_PROBE_INTERVAL_S = 0.5

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

#: Seconds for which what a client still sends is read after the last response
#: of its connection: time for the client to read that response and close.
LINGER_S = 1.0


class Server(typing.Protocol):
    """The server that a connection belongs to."""

    header_bytes: int
    closing: bool
    closes_idle: bool

    def connection_made(
        self, connection: "Connection", transport: asyncio.BaseTransport
    ) -> None:
        """Register a new connection."""

    def connection_lost(
        self, connection: "Connection", exc: BaseException | None
    ) -> None:
        """Remove a connection that has ended."""

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle a request."""

    def respond_to_error(
        self, error: Exception, *, status: int = 500
    ) -> web.Response:
        """Log a request that could not be handled and build its response."""


class _Request(web.BaseRequest):
    """A request whose connection may close after its response."""

    @property
    def keep_alive(self) -> bool:
        return not self._protocol.decide_close()


class Connection(base_protocol.BaseProtocol):
    """The protocol of one client connection.

    :param server: the server that it belongs to.
    """

    __slots__ = (
        "_exchanges",
        "_has_client_closed",
        "_linger_timer",
        "_request_count",
        "_server",
        "_tasks",
        "closing",
        "idle_since",
    )

    def __init__(self, server: Server) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(loop)
        self._parser = http_parser.HttpRequestParser(
            self,
            loop,
            READ_BUFFER_BYTES,
            max_line_size=server.header_bytes,
            max_field_size=server.header_bytes,
            auto_decompress=False,
        )
        self._server = server
        self._exchanges: collections.deque[
            response_channels.ResponseChannel
        ] = collections.deque()
        self._tasks: dict[
            response_channels.ResponseChannel, asyncio.Task[None]
        ] = {}
        self._request_count = 0
        self._has_client_closed = False
        self._linger_timer: asyncio.TimerHandle | None = None
        #: Whether further requests are ignored.
        self.closing = False
        self.idle_since: float | None = loop.time()

    @property
    def is_idle(self) -> bool:
        """Whether every request is answered."""
        return not self._exchanges

    @property
    def is_lingering(self) -> bool:
        """Whether it waits for the client to close after a last response."""
        return self._linger_timer is not None

    @property
    def has_received_request(self) -> bool:
        """Whether the connection has ever carried a request."""
        return bool(self._request_count)

    @property
    def is_writing(self) -> bool:
        """Whether response bytes are not yet sent."""
        transport = self.transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def is_last(self, channel: response_channels.ResponseChannel) -> bool:
        """Return whether no request follows the channel's request."""
        return bool(self._exchanges) and self._exchanges[-1] is channel

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the server."""
        super().connection_made(transport)
        self._server.connection_made(self, transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the client's requests in progress."""
        super().connection_lost(exc)
        self.closing = True
        if self._linger_timer is not None:
            self._linger_timer.cancel()
            self._linger_timer = None
        self._server.connection_lost(self, exc)
        self._cancel_exchanges()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and start the requests in them."""
        if self.closing and not self._has_open_body():
            return
        for piece in request_reading.split_after_blank_lines(data):
            try:
                received, upgraded, _ = self._parser.feed_data(piece)
            except http_exceptions.HttpProcessingError as error:
                # What follows the last request of a connection is no request.
                if not self.closing or self._has_open_body():
                    self._refuse(error)
                return
            for message, payload in received:
                self._accept(message, payload)
            if upgraded:
                self.closing = True
                return

    def eof_received(self) -> bool:
        """Keep a half-closed connection open while a response is pending.

        A client that has gone away and one that only closed its sending
        side look the same until something is written: then the first
        resets the connection. So an interim response, which every HTTP/1.1
        client skips, is written at intervals until the response starts.

        :returns: whether the transport stays open for writing.
        """
        self.closing = self._has_client_closed = True
        if self.is_idle or self._has_open_body():
            return False
        self._loop.call_soon(self._probe, 0)
        return True

    def begin_closing(self) -> None:
        """Read no further request, if a response can still say so.

        Otherwise the response to the next request says it. What a client
        sends behind the response that closes the connection is not read, so
        that the client may send it again.
        """
        if self._exchanges and not self._exchanges[-1].has_head:
            self.closing = True

    def force_close(self) -> None:
        """Close the connection once its written bytes are sent."""
        self.closing = True
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Reset the connection, so that no response looks complete."""
        self.closing = True
        if self.transport is not None:
            self.transport.abort()

    def _cancel_exchanges(self) -> None:
        for channel in self._exchanges:
            channel.mark_lost()
        for task in self._tasks.values():
            task.cancel()

    def _has_open_body(self) -> bool:
        return any(not channel.payload.is_eof() for channel in self._exchanges)

    def _probe(self, count: int) -> None:
        transport = self.transport
        if transport is None or transport.is_closing() or self.is_idle:
            return
        if self._exchanges[0].writer.output_size > 0:
            # Writing the response shows whether the client is still there.
            return
        transport.write(_CONTINUE)
        intervals = _FIRST_PROBE_INTERVALS_S
        interval_s = (
            intervals[count] if count < len(intervals) else _PROBE_INTERVAL_S
        )
        self._loop.call_later(interval_s, self._probe, count + 1)

    def _accept(
        self,
        message: http_parser.RawRequestMessage,
        payload: streams.StreamReader,
    ) -> None:
        if self.closing:
            # Requests after the one that closes the connection are ignored.
            return
        self._request_count += 1
        self.idle_since = None
        self.closing = self._server.closing or message.should_close
        channel = response_channels.ResponseChannel(self, payload, self._loop)
        self._enqueue(channel, self._handle(channel, message))

    def _refuse(self, error: http_exceptions.HttpProcessingError) -> None:
        self.closing = True
        channel = response_channels.ResponseChannel(
            self, streams.EMPTY_PAYLOAD, self._loop
        )
        self._enqueue(channel, self._respond_to_unparsable(channel, error))

    def _enqueue(
        self, channel: response_channels.ResponseChannel, work: abc.Coroutine
    ) -> None:
        self._exchanges.append(channel)
        if len(self._exchanges) == 1:
            channel.start_turn()
        if len(self._exchanges) > MAX_PIPELINED_REQUESTS:
            self._pause_reading_for_buffer()
        task = self._loop.create_task(self._run(channel, work))
        self._tasks[channel] = task

    async def _run(
        self, channel: response_channels.ResponseChannel, work: abc.Coroutine
    ) -> None:
        is_reusable = False
        try:
            is_reusable = await work
        except Exception as error:
            # Nobody awaits this task, so it has to report the error itself.
            self._server.respond_to_error(error)
            channel.abort()
        finally:
            self._tasks.pop(channel, None)
            self._complete(channel, is_reusable)

    async def _handle(
        self,
        channel: response_channels.ResponseChannel,
        message: http_parser.RawRequestMessage,
    ) -> bool:
        if message.method not in _SAFE_METHODS:
            await channel.wait_turn()
        task = asyncio.current_task()
        request = _Request(
            message, channel.payload, channel, channel.writer, task, self._loop
        )
        try:
            response = await self._server.handle(request)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            response = self._server.respond_to_error(error)
            if channel.writer.output_size > 0:
                channel.abort()
                return False
        return await self._finish(channel, request, response)

    async def _respond_to_unparsable(
        self,
        channel: response_channels.ResponseChannel,
        error: http_exceptions.HttpProcessingError,
    ) -> bool:
        await channel.wait_turn()
        response = self._server.respond_to_error(error, status=error.code)
        await raw_responses.write_final_response(channel.writer, response)
        return False

    async def _finish(
        self,
        channel: response_channels.ResponseChannel,
        request: web.BaseRequest,
        response: web.StreamResponse,
    ) -> bool:
        try:
            await response.prepare(request)
            await response.write_eof()
        except (ConnectionError, RuntimeError):
            channel.abort()
            return False
        await channel.wait_turn()
        if not response.keep_alive:
            return False
        return await request_reading.drain_body(channel.payload)

    def _complete(
        self, channel: response_channels.ResponseChannel, is_reusable: bool
    ) -> None:
        if not self._exchanges or self.transport is None:
            return
        if self._exchanges[0] is not channel:
            # It was cancelled before its turn, so the connection can't go on.
            self.abort()
            return
        self._exchanges.popleft()
        if not is_reusable or (self._is_ending and not self._exchanges):
            self._close_after_response()
            return
        if len(self._exchanges) <= MAX_PIPELINED_REQUESTS:
            self._resume_reading_for_buffer()
        if self._exchanges:
            self._exchanges[0].start_turn()
        else:
            self.idle_since = self._loop.time()

    @property
    def _is_ending(self) -> bool:
        return self.closing or self._server.closes_idle

    def _close_after_response(self) -> None:
        """Close the connection so that its last response arrives.

        A socket that is closed with unread bytes resets its connection, and
        a reset can overtake the response (RFC 9112, section 9.6). So the
        sending side is closed first, and what the client still sends is
        dropped until it closes, too.
        """
        transport = self.transport
        if self._has_client_closed or transport.is_closing():
            self.force_close()
            return
        self.closing = True
        self._cancel_exchanges()
        self._exchanges.clear()
        transport.write_eof()
        self._resume_transport_reading()
        self._linger_timer = self._loop.call_later(LINGER_S, self.force_close)
