"""One client connection whose pipelined requests are handled concurrently."""

import asyncio
import functools

from aiohttp import base_protocol
from aiohttp import http_exceptions
from aiohttp import http_parser
from aiohttp import streams

from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.overload import state
from burdockdeal.serving import caller_server
from burdockdeal.serving import connection_end
from burdockdeal.serving import connection_usage
from burdockdeal.serving import exchange
from burdockdeal.serving import exchange_queue
from burdockdeal.serving import half_closed
from burdockdeal.serving import held_memory
from burdockdeal.serving import request_intake
from burdockdeal.serving import request_reading
from burdockdeal.serving import response_channels

#: Number of unanswered requests above which a connection is not read.
MAX_PIPELINED_REQUESTS = 16

#: Seconds for which what a client still sends is read after the last response
#: of its connection: time for the client to read that response and close.
LINGER_S = 1.0


class Connection(base_protocol.BaseProtocol, asyncio.BufferedProtocol):
    """The protocol of one client connection.

    :param server: the server that it belongs to.
    """

    __slots__ = (
        "_end_cause",
        "_exchanges",
        "_has_client_closed",
        "_linger_timer",
        "_request_count",
        "_server",
        "_usage",
        "closing",
        "idle_since",
    )

    def __init__(self, server: caller_server.Server) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(loop)
        # aiohttp's part of the class pauses what is called its parser.
        self._parser = request_intake.RequestIntake(
            self,
            request_reading.RequestReader(
                self,
                loop,
                line_bytes=server.limits.header_bytes,
                get_head_bytes=lambda: server.caller_limits().header_bytes,
            ),
            server.turn_budget,
        )
        self._server = server
        self._exchanges = exchange_queue.ExchangeQueue(
            loop, server.respond_to_error, self._complete
        )
        self._request_count = 0
        self._end_cause = connection_end.Cause.CALLER_GONE
        self._has_client_closed = False
        self._linger_timer: asyncio.TimerHandle | None = None
        self._usage = connection_usage.ConnectionUsage(loop.time())
        #: Whether further requests are ignored.
        self.closing = False
        self.idle_since: float | None = loop.time()

    @property
    def head_since(self) -> float | None:
        """When the client began the head that it is free to send, if any."""
        return None if self.is_held else self._parser.head_since

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

    @property
    def unread_since(self) -> float:
        """When the client last took a part of what is left to send to it."""
        return self._usage.unread_since

    def decide_close(self, channel: response_channels.ResponseChannel) -> bool:
        """Decide whether the connection closes after a channel's response."""
        if self._exchanges.last is not channel:
            return False
        self.closing = self.closing or self._server.closing
        return self.closing

    def has_followers(
        self, channel: response_channels.ResponseChannel
    ) -> bool:
        """Return whether requests were read behind a channel's request."""
        return self._exchanges.last is not channel

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
        self._parser.close()
        self._server.ledger.remove(self)
        self._server.connection_lost(self, exc)
        self._exchanges.cancel(self._end_cause)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read, which bounds its size."""
        return self._server.read_buffer

    def buffer_updated(self, size: int) -> None:
        """Take received bytes out of the buffer."""
        self.data_received(bytes(self._server.read_buffer[:size]))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and start the requests in them."""
        if self.is_ignoring:
            return
        self._parser.push(data)
        self.update_holding()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Go on reading after a body's buffer was full.

        The buffer calls this for each chunk that is taken out of it.
        """
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def update_holding(self) -> None:
        """Record what the connection holds."""
        if self.transport is not None and not self.transport.is_closing():
            self._server.ledger.update(self)

    def record_write(self, size: int) -> None:
        """Record that bytes of a response were written or buffered."""
        self._usage.record_write(size)
        self.update_holding()

    def measure_holding(self) -> state.Holding:
        """Return what the connection holds."""
        return self._usage.measure(
            self._exchanges,
            self.transport,
            unparsed_bytes=self._parser.held_bytes,
            replay_bytes=self._server.limits.replay_bytes,
            now=self._loop.time(),
        )

    def refuse_slow_head(self) -> None:
        """Refuse the request whose head did not arrive in time."""
        self._refuse(errors.NotRunError(verdict.Reason.SLOW_CALLER))

    def eof_received(self) -> bool:
        """Keep a half-closed connection open while a response is pending.

        A client that has gone away and one that only closed its sending
        side look the same until something is written: then the first
        resets the connection. So interim responses are written until the
        response starts.

        :returns: whether the transport stays open for writing.
        """
        self.closing = self._has_client_closed = True
        if self.is_idle or self._exchanges.has_open_body:
            return False
        self._loop.call_soon(
            half_closed.probe, self._loop, self._write_interim
        )
        return True

    def begin_closing(self) -> None:
        """Read no further request, if a response can still say so.

        Otherwise the response to the next request says it. What a client
        sends behind the response that closes the connection is not read, so
        that the client may send it again.
        """
        last = self._exchanges.last
        if last is not None and not last.has_head:
            self.closing = True

    def force_close(self) -> None:
        """Close the connection once its written bytes are sent."""
        self.closing = True
        if self.transport is not None:
            self.transport.close()

    def abort(self, cause: connection_end.Cause) -> None:
        """Close the connection without the bytes that are not yet sent."""
        self.closing = True
        self._end_cause = cause
        if self.transport is not None:
            self.transport.abort()

    @property
    def is_ignoring(self) -> bool:
        """Whether what the client sends is not read any more."""
        if self.transport is None:
            return True
        return self.closing and not self._exchanges.has_open_body

    @property
    def is_held(self) -> bool:
        """Whether what was received has to wait."""
        return self._reading_paused or self._buffer_paused

    def hold_reading(self) -> None:
        """Keep what is received waiting until `resume_if_free`."""
        self._pause_reading_for_buffer()

    def resume_if_free(self) -> None:
        """Go on reading, unless a turn is due or too much is pipelined."""
        if (
            not self._buffer_paused
            or self._parser.has_turn_due
            or len(self._exchanges) > MAX_PIPELINED_REQUESTS
        ):
            return
        self._resume_reading_for_buffer()
        if not self.is_ignoring:
            self._parser.resume()

    def accept(
        self,
        message: http_parser.RawRequestMessage,
        payload: streams.StreamReader,
    ) -> None:
        """Start a request."""
        if self.closing:
            # Requests after the one that closes the connection are ignored.
            return
        self._request_count += 1
        self.idle_since = None
        self.closing = self._server.closing or message.should_close
        length = message.headers.get("Content-Length")
        channel = response_channels.ResponseChannel(
            self,
            payload,
            self._loop,
            None if length is None else int(length),
            follows_stream=any(each.is_stream for each in self._exchanges),
        )
        self._enqueue(
            channel,
            functools.partial(
                exchange.handle_request, self._server, channel, message
            ),
        )

    def reject(
        self, error: errors.NotRunError | http_exceptions.HttpProcessingError
    ) -> None:
        """Refuse what could not be parsed, or end the body that it is in."""
        # What follows the last request of a connection is no request.
        if self.is_ignoring:
            return
        if not self._exchanges.has_open_body:
            self._refuse(error)
            return
        self.closing = True
        if not isinstance(error, errors.NotRunError):
            error = errors.NotRunError(
                verdict.Reason.MALFORMED, "the body is malformed"
            )
        # The handler reads the error, and responds if it still can. The frames
        # of its traceback would keep what was received.
        held_memory.break_off_body(
            self._exchanges.last.payload, error.with_traceback(None)
        )

    def evict(self) -> None:
        """Close the connection, and free what it holds at once.

        asyncio reports the loss later, when many others were read.
        """
        self.abort(connection_end.Cause.MEMORY_LIMIT)
        self._parser.close()
        self._exchanges.cancel(self._end_cause)

    def _abandon_exchanges(self, cause: connection_end.Cause) -> None:
        self.closing = True
        self._end_cause = cause
        self._exchanges.abandon(cause)

    def _write_interim(self) -> bool:
        transport = self.transport
        if transport is None or transport.is_closing() or self.is_idle:
            return False
        if self._exchanges.first.writer.output_size > 0:
            # Writing the response shows whether the client is still there.
            return False
        transport.write(half_closed.INTERIM_RESPONSE)
        return True

    def _refuse(self, error: Exception) -> None:
        self.closing = True
        self._parser.discard()
        channel = response_channels.ResponseChannel(
            self, streams.EMPTY_PAYLOAD, self._loop
        )
        self._enqueue(
            channel,
            functools.partial(exchange.refuse, self._server, channel, error),
        )

    def _enqueue(
        self,
        channel: response_channels.ResponseChannel,
        work: exchange_queue.Work,
    ) -> None:
        self._exchanges.add(channel, work)
        if len(self._exchanges) > MAX_PIPELINED_REQUESTS:
            self._pause_reading_for_buffer()

    def _complete(
        self, channel: response_channels.ResponseChannel, is_reusable: bool
    ) -> None:
        if self.transport is None:
            return
        self._exchanges.remove_first()
        self._usage.record_response()
        if channel.is_cut:
            self._end_within_response(channel)
            return
        if not is_reusable or (self._is_ending and not self._exchanges):
            self._close(connection_end.Cause.LAST_RESPONSE)
            return
        if self.is_idle:
            self.idle_since = self._loop.time()
        self._exchanges.start_next()
        self.resume_if_free()
        self.update_holding()

    @property
    def _is_ending(self) -> bool:
        return self.closing or self._server.closes_idle

    def _end_within_response(
        self, channel: response_channels.ResponseChannel
    ) -> None:
        cause = connection_end.Cause.RESPONSE_CUT
        if channel.has_length:
            self._close(cause)
            return
        # The client would take the end of the connection for that of the body.
        self._abandon_exchanges(cause)
        connection_end.reset_after_writes(self.transport)

    def _close(self, cause: connection_end.Cause) -> None:
        """Close the connection so that what was written arrives.

        A socket that is closed with unread bytes resets its connection, and
        a reset can overtake the response (RFC 9112, section 9.6). So the
        sending side is closed first, and what the client still sends is
        dropped until it closes, too.
        """
        transport = self.transport
        if self._has_client_closed or transport.is_closing():
            self.force_close()
            return
        self._abandon_exchanges(cause)
        try:
            transport.write_eof()
        except OSError:
            # The client has reset the connection, which is not yet reported.
            self.abort(connection_end.Cause.CALLER_GONE)
            return
        self._resume_transport_reading()
        self._linger_timer = self._loop.call_later(LINGER_S, self.force_close)
