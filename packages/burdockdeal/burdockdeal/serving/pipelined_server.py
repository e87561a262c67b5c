"""A server that reads requests ahead and answers them in order.

A client may send further requests before the first is answered (RFC 9112,
section 9.3.2). aiohttp's own server handles one request of a connection at
a time, so that those behind it wait for work that has nothing to do with
them. Here each is handled as soon as it is read; its answer is kept back
until those before it are written.
"""

import asyncio
import collections
from collections import abc

from aiohttp import base_protocol
from aiohttp import http_exceptions
from aiohttp import http_parser
from aiohttp import streams
from aiohttp import web

from burdockdeal.serving import header_codec
from burdockdeal.serving import http_server
from burdockdeal.serving import raw_responses
from burdockdeal.serving import request_reading
from burdockdeal.serving import response_channels

#: Requests of one connection that are handled at once.
MAX_PIPELINED_REQUESTS = 16

#: Bytes of a request's body that are read before the handler takes them.
READ_BUFFER_BYTES = 65536

#: Methods that may be handled before those sent ahead of them are answered
#: (RFC 9110, section 9.2.2); any other waits for its turn.
_AHEAD_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})

#: Seconds between two looks for idle connections.
IDLE_SWEEP_INTERVAL_S = 0.5

#: Seconds between two interim answers to a client that has closed its
#: sending side: a link's return, then longer.
_PROBE_PAUSES_S = (0.02, 0.1)
_LAST_PROBE_PAUSE_S = 0.5

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class _Request(web.BaseRequest):
    """A request whose connection may end with its answer."""

    @property
    def keep_alive(self) -> bool:
        return not self._protocol.ends_connection(self._message.should_close)


class Connection(base_protocol.BaseProtocol):
    """One connection of a client.

    :param server: what it belongs to.
    """

    __slots__ = (
        "_current_request",
        "_exchanges",
        "_messages",
        "_request_count",
        "_server",
        "_started",
        "_tasks",
        "closing",
        "idle_since",
    )

    def __init__(self, server: "PipelinedServer") -> None:
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
        self._started = 0
        self._tasks: dict[
            response_channels.ResponseChannel, asyncio.Task[None]
        ] = {}
        self._request_count = 0
        #: Whether no further request is taken.
        self.closing = False
        self.idle_since: float | None = loop.time()

    @property
    def is_idle(self) -> bool:
        """Whether no request is unanswered."""
        return not self._exchanges

    @property
    def has_received_request(self) -> bool:
        """Whether a request has ever come."""
        return bool(self._request_count)

    @property
    def writing(self) -> bool:
        """Whether bytes wait to be sent."""
        transport = self.transport
        return transport is not None and transport.get_write_buffer_size() > 0

    @property
    def server_closing(self) -> bool:
        """Whether the server ends its connections."""
        return self._server.closing

    def is_last(self, lane: response_channels.ResponseChannel) -> bool:
        """Tell whether no request was sent behind one."""
        return bool(self._exchanges) and self._exchanges[-1] is lane

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin."""
        super().connection_made(transport)
        self._server.connection_made(self, transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel what was under way for the client."""
        super().connection_lost(exc)
        self.closing = True
        self._server.connection_lost(self, exc)
        for lane in self._exchanges:
            lane.lose()
        for task in self._tasks.values():
            task.cancel()

    def data_received(self, data: bytes) -> None:
        """Take in bytes of requests."""
        if self.closing and not self._has_open_body():
            return
        for piece in request_reading.split_after_heads(data):
            try:
                received, upgraded, _ = self._parser.feed_data(piece)
            except http_exceptions.HttpProcessingError as error:
                self._refuse(error)
                return
            for message, payload in received:
                self._accept(message, payload)
            if upgraded:
                self.closing = True
                return

    def eof_received(self) -> bool:
        """Keep a half-closed connection while an answer is due.

        A client that went away and one that only closed its sending side
        look the same until something is written: the first then resets
        the connection. So an interim answer, which every HTTP/1.1 client
        skips, is written now and then until the answer begins.

        :returns: whether the transport stays open for writing.
        """
        self.closing = True
        if self.is_idle or self._has_open_body():
            return False
        self._loop.call_soon(self._probe, 0)
        return True

    def force_close(self) -> None:
        """End the connection at once."""
        self.closing = True
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Reset the connection, so that no answer looks whole."""
        self.closing = True
        if self.transport is not None:
            self.transport.abort()

    def _has_open_body(self) -> bool:
        return any(not lane.payload.is_eof() for lane in self._exchanges)

    def _probe(self, count: int) -> None:
        transport = self.transport
        if transport is None or transport.is_closing() or self.is_idle:
            return
        if self._exchanges[0].writer.output_size > 0:
            # Writing the answer shows whether the client still reads.
            return
        transport.write(_CONTINUE)
        pauses = _PROBE_PAUSES_S
        pause_s = pauses[count] if count < len(pauses) else _LAST_PROBE_PAUSE_S
        self._loop.call_later(pause_s, self._probe, count + 1)

    def _accept(
        self,
        message: http_parser.RawRequestMessage,
        payload: streams.StreamReader,
    ) -> None:
        if self.closing:
            # Behind an answer that closes the connection: not read.
            return
        self._request_count += 1
        self.idle_since = None
        lane = response_channels.ResponseChannel(self, payload, self._loop)
        self._push(lane, self._handle(lane, message))

    def _refuse(self, error: http_exceptions.HttpProcessingError) -> None:
        self.closing = True
        lane = response_channels.ResponseChannel(
            self, streams.EMPTY_PAYLOAD, self._loop
        )
        self._push(lane, self._answer_unreadable(lane, error))

    def _push(
        self, lane: response_channels.ResponseChannel, work: abc.Coroutine
    ) -> None:
        self._exchanges.append(lane)
        if len(self._exchanges) == 1:
            lane.take_turn()
        if len(self._exchanges) > MAX_PIPELINED_REQUESTS:
            self._pause_reading_for_buffer()
        task = self._loop.create_task(self._run(lane, work))
        self._tasks[lane] = task

    async def _run(
        self, lane: response_channels.ResponseChannel, work: abc.Coroutine
    ) -> None:
        kept = False
        try:
            kept = await work
        finally:
            self._tasks.pop(lane, None)
            self._end(lane, kept)

    async def _handle(
        self,
        lane: response_channels.ResponseChannel,
        message: http_parser.RawRequestMessage,
    ) -> bool:
        if message.method not in _AHEAD_METHODS:
            await lane.wait_turn()
        task = asyncio.current_task()
        request = _Request(
            message, lane.payload, lane, lane.writer, task, self._loop
        )
        try:
            response = await self._server.handle(request)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            response = self._server.respond_to_error(error)
            if lane.writer.output_size > 0:
                lane.abort()
                return False
        return await self._finish(lane, request, response)

    async def _answer_unreadable(
        self,
        lane: response_channels.ResponseChannel,
        error: http_exceptions.HttpProcessingError,
    ) -> bool:
        await lane.wait_turn()
        response = self._server.respond_to_error(error, status=error.code)
        await raw_responses.write_plain(lane.writer, response)
        return False

    async def _finish(
        self,
        lane: response_channels.ResponseChannel,
        request: web.BaseRequest,
        response: web.StreamResponse,
    ) -> bool:
        try:
            await response.prepare(request)
            await response.write_eof()
        except (ConnectionError, RuntimeError):
            lane.abort()
            return False
        await lane.wait_turn()
        if not response.keep_alive:
            return False
        return await request_reading.read_rest(lane.payload)

    def _end(
        self, lane: response_channels.ResponseChannel, kept: bool
    ) -> None:
        if not self._exchanges or self.transport is None:
            return
        if self._exchanges[0] is not lane:
            # Cancelled while others are before it: the connection ends.
            self.abort()
            return
        self._exchanges.popleft()
        if not kept or (self.closing and not self._exchanges):
            self.force_close()
            return
        if len(self._exchanges) <= MAX_PIPELINED_REQUESTS:
            self._resume_reading_for_buffer()
        if self._exchanges:
            self._exchanges[0].take_turn()
        else:
            self.idle_since = self._loop.time()


class PipelinedServer:
    """The server of callers' requests.

    :param handler: answers each request.
    :param header_bytes: the largest line or field that is taken.
    :param idle_s: returns the seconds that an idle connection is kept.
    :param build_error_response: builds the response that reports an error
        to a caller.
    """

    def __init__(
        self,
        handler: http_server.Handler,
        *,
        header_bytes: int,
        idle_s: abc.Callable[[], float],
        build_error_response: http_server.BuildErrorResponse = (
            header_codec.DEFAULT.build_error_response
        ),
    ) -> None:
        self._handler = handler
        self._build_error_response = build_error_response
        self._idle_s = idle_s
        self._connections: set[Connection] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._active = 0
        self.header_bytes = header_bytes
        #: Whether each connection ends with its next answer.
        self.closing = False

    def __call__(self) -> Connection:
        """Make the protocol of one connection."""
        return Connection(self)

    async def __aenter__(self) -> "PipelinedServer":
        self._expect_sweep()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self._timer is not None:
            self._timer.cancel()
        for connection in tuple(self._connections):
            connection.abort()

    @property
    def active_count(self) -> int:
        """How many requests are handled, or answers not yet sent off."""
        return self._active + sum(
            connection.writing or not connection.is_idle
            for connection in self._connections
        )

    def connection_made(
        self, connection: Connection, transport: asyncio.BaseTransport
    ) -> None:
        """Take in a new connection."""
        self._connections.add(connection)

    def connection_lost(
        self, connection: Connection, exc: BaseException | None
    ) -> None:
        """Take in the end of a connection."""
        self._connections.discard(connection)

    def close_idle(self) -> None:
        """End the connections without a request."""
        for connection in tuple(self._connections):
            if connection.is_idle:
                connection.force_close()

    def respond_to_error(
        self, error: Exception, *, status: int = 500
    ) -> web.Response:
        """Make the answer to a request that could not be handled."""
        return http_server.respond_to_error(
            error,
            status=status,
            build_error_response=self._build_error_response,
        )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request."""
        self._active += 1
        try:
            return await self._handler(request)
        finally:
            self._active -= 1

    def _expect_sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(IDLE_SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        latest = asyncio.get_running_loop().time() - self._idle_s()
        for connection in tuple(self._connections):
            since = connection.idle_since
            if since is not None and since <= latest:
                connection.force_close()
        self._expect_sweep()
