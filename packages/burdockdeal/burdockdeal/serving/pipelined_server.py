"""HTTP server that handles pipelined requests concurrently.

A client may send further requests before the first is answered (RFC 9112,
section 9.3.2). aiohttp's own server handles the requests of a connection
one at a time, so each waits for unrelated work before it. This server
handles a request as soon as it is read, and buffers its response until the
responses before it are written.
"""

import asyncio
from collections import abc

from aiohttp import web

from burdockdeal.serving import header_codec
from burdockdeal.serving import http_server
from burdockdeal.serving import pipelined_connection

#: Seconds between two sweeps for idle connections.
IDLE_SWEEP_INTERVAL_S = 1.0


class PipelinedServer:
    """The server for callers' requests.

    As a context manager it closes idle connections while the block runs,
    and resets every connection at its end.

    :param handler: handles each request.
    :param header_bytes: maximum length in bytes of a request line or field.
    :param idle_s: returns the seconds after which an idle connection is
        closed.
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
        self._connections: set[pipelined_connection.Connection] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._active = 0
        self.header_bytes = header_bytes
        #: Whether each connection reads at most one further request.
        self.closing = False
        #: Whether a connection is closed as soon as no request is pending.
        self.closes_idle = False

    def __call__(self) -> pipelined_connection.Connection:
        """Build the protocol of one connection."""
        return pipelined_connection.Connection(self)

    async def __aenter__(self) -> "PipelinedServer":
        self._schedule_sweep()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self._timer is not None:
            self._timer.cancel()
        for connection in tuple(self._connections):
            connection.abort()

    @property
    def active_count(self) -> int:
        """Number of requests in progress plus busy connections."""
        return self._active + sum(
            connection.is_writing
            or connection.is_lingering
            or not connection.is_idle
            for connection in self._connections
        )

    def connection_made(
        self,
        connection: pipelined_connection.Connection,
        transport: asyncio.BaseTransport,
    ) -> None:
        """Register a new connection."""
        self._connections.add(connection)

    def connection_lost(
        self,
        connection: pipelined_connection.Connection,
        exc: BaseException | None,
    ) -> None:
        """Remove a connection that has ended."""
        self._connections.discard(connection)

    def begin_closing(self) -> None:
        """Let each connection close after a last response.

        The clients learn of it from that response. It is the response to
        the last request that was read, or to the next one if there is none
        or if its response has already begun.
        """
        self.closing = True
        for connection in self._connections:
            connection.begin_closing()

    def close_idle(self) -> None:
        """Close each connection once it has no pending request."""
        self.closes_idle = True
        for connection in tuple(self._connections):
            if connection.is_idle:
                connection.force_close()

    def respond_to_error(
        self, error: Exception, *, status: int = 500
    ) -> web.Response:
        """Log a request that could not be handled and build its response."""
        return http_server.respond_to_error(
            error,
            status=status,
            build_error_response=self._build_error_response,
        )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle a request."""
        self._active += 1
        try:
            return await self._handler(request)
        finally:
            self._active -= 1

    def _schedule_sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(IDLE_SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        latest = asyncio.get_running_loop().time() - self._idle_s()
        for connection in tuple(self._connections):
            since = connection.idle_since
            if since is not None and since <= latest:
                connection.force_close()
        self._schedule_sweep()
