"""HTTP server that handles pipelined requests concurrently.

A client may send further requests before the first is answered (RFC 9112,
section 9.3.2). aiohttp's own server handles the requests of a connection
one at a time, so each waits for unrelated work before it. This server
handles a request as soon as it is read, and buffers its response until the
responses before it are written.
"""

import asyncio
from collections import abc
import time

from aiohttp import web

from burdockdeal.configuration import resources
from burdockdeal.core import event_log
from burdockdeal.overload import memory
from burdockdeal.serving import connection_end
from burdockdeal.serving import header_codec
from burdockdeal.serving import http_server
from burdockdeal.serving import pipelined_connection
from burdockdeal.serving import request_intake
from burdockdeal.settings import model

#: Seconds between two sweeps for connections to close.
SWEEP_INTERVAL_S = 0.5

#: Bytes of one read, so that no connection keeps the event loop for long.
READ_BYTES = 16_384


class PipelinedServer:
    """The server for callers' requests.

    As a context manager it closes idle connections while the block runs,
    and resets every connection at its end.

    :param handler: handles each request.
    :param limits: bounds of what connections may send and hold.
    :param caller_limits: returns the bounds that the configuration lowers:
        of a head, of its time, and of the time of an idle connection.
    :param ledger: the memory that connections hold.
    :param record_slow_heads: records how many connections were refused since
        a head did not arrive in time.
    :param clock: returns monotonic time in seconds.
    :param build_error_response: builds the response that reports an error
        to a caller.
    """

    def __init__(
        self,
        handler: http_server.Handler,
        *,
        limits: model.Limits,
        caller_limits: abc.Callable[[], resources.CallerLimits],
        ledger: memory.MemoryLedger,
        record_slow_heads: abc.Callable[[int], None],
        clock: abc.Callable[[], float] = time.monotonic,
        build_error_response: http_server.BuildErrorResponse = (
            header_codec.DEFAULT.build_error_response
        ),
    ) -> None:
        self._handler = handler
        self._build_error_response = build_error_response
        self._record_slow_heads = record_slow_heads
        self._connections: set[pipelined_connection.Connection] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._active = 0
        self.caller_limits = caller_limits
        self.ledger = ledger
        self.limits = limits
        self.turn_budget = request_intake.TurnBudget(clock)
        self.read_buffer = memoryview(bytearray(READ_BYTES))
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
            connection.abort(connection_end.Cause.DAEMON_STOPPED)

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
        self._timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        now = asyncio.get_running_loop().time()
        limits = self.caller_limits()
        self.ledger.report()
        slow_heads = 0
        for connection in tuple(self._connections):
            connection.update_holding()
            if _has_passed(connection.idle_since, now - limits.idle_s):
                connection.force_close()
            elif _has_passed(connection.head_since, now - limits.head_s):
                connection.refuse_slow_head()
                slow_heads += 1
            if connection.unread_since <= now - self.limits.answer_idle_s:
                event_log.record("slow_reader")
                connection.abort(connection_end.Cause.SLOW_READER)
        if slow_heads:
            self._record_slow_heads(slow_heads)
        self._schedule_sweep()


def _has_passed(since: float | None, latest: float) -> bool:
    return since is not None and since <= latest
