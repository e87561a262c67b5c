"""Limits on the number and the age of a listener's connections."""

import asyncio
from collections import abc
import dataclasses
import typing

from aiohttp import web_protocol

from burdockdeal.core import event_log
from burdockdeal.core import headers
from burdockdeal.core import verdict
from burdockdeal.settings import model

#: Seconds between two checks for connections without a request.
SWEEP_INTERVAL_S = 0.5


def _build_refusal(reason: verdict.Reason, phrase: str) -> bytes:
    lines = (
        f"HTTP/1.1 {verdict.HTTP_STATUS[reason]} {phrase}",
        f"{headers.VERDICT}: {verdict.Verdict.NOT_RUN}",
        f"{headers.REASON}: {reason}",
        "Content-Length: 0",
        "Connection: close",
    )
    return "\r\n".join((*lines, "", "")).encode()


_FULL_RESPONSE = _build_refusal(
    verdict.Reason.OVERLOADED, "Service Unavailable"
)
_SLOW_RESPONSE = _build_refusal(verdict.Reason.SLOW_CALLER, "Request Timeout")


class Handler(typing.Protocol):
    """The asyncio protocol of one connection."""

    transport: asyncio.Transport | None

    def force_close(self) -> None:
        """Close the connection immediately."""


class Server(typing.Protocol):
    """A server that is told when its connections open and close."""

    connection_made: abc.Callable[..., None]
    connection_lost: abc.Callable[..., None]


def _is_idle(handler: Handler) -> bool:
    if isinstance(handler, web_protocol.RequestHandler):
        return handler._current_request is None and not handler._messages
    return handler.is_idle


def _has_had_request(handler: Handler) -> bool:
    if isinstance(handler, web_protocol.RequestHandler):
        return bool(handler._request_count)
    return handler.has_received_request


def _refuse(handler: Handler, response: bytes) -> None:
    if handler.transport is not None:
        handler.transport.write(response)
    handler.force_close()


class ConnectionLimiter:
    """Limits the connections of one listener.

    At the limit, a new connection replaces the oldest idle one, so that
    idle connections can't keep callers out; if every connection has a
    request, the new one is refused.

    :param listener: the listener's name in logs.
    :param limit: connections that may be open.
    :param head_s: seconds within which the head of a connection's first
        request must have arrived.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        listener: str,
        *,
        limit: int,
        head_s: float,
        clock: abc.Callable[[], float],
    ) -> None:
        self._listener = listener
        self._limit = limit
        self._head_s = head_s
        self._clock = clock
        self._opened_at: dict[Handler, float] = {}
        self._unchecked: dict[Handler, float] = {}
        self._timer: asyncio.TimerHandle | None = None
        self.refused = 0
        self.evicted = 0
        self.slow = 0

    async def __aenter__(self) -> "ConnectionLimiter":
        self._schedule_sweep()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def __len__(self) -> int:
        return len(self._opened_at)

    def attach(self, server: Server) -> None:
        """Limit the connections that a server accepts from now on."""
        notify_made, notify_lost = (
            server.connection_made,
            server.connection_lost,
        )

        def connection_made(
            handler: Handler, transport: asyncio.Transport
        ) -> None:
            notify_made(handler, transport)
            self._add(handler)

        def connection_lost(
            handler: Handler,
            exc: BaseException | None = None,
        ) -> None:
            self._opened_at.pop(handler, None)
            self._unchecked.pop(handler, None)
            notify_lost(handler, exc)

        server.connection_made = connection_made
        server.connection_lost = connection_lost

    def record_slow_heads(self, count: int) -> None:
        """Record connections refused since a head did not come in time."""
        self.slow += count
        event_log.record(
            "slow_heads", listener=self._listener, connections=count
        )

    def _add(self, handler: Handler) -> None:
        if len(self._opened_at) >= self._limit and not self._evict():
            self.refused += 1
            _refuse(handler, _FULL_RESPONSE)
            return
        self._opened_at[handler] = self._unchecked[handler] = self._clock()

    def _evict(self) -> bool:
        for handler in self._opened_at:
            if _is_idle(handler):
                self.evicted += 1
                self._opened_at.pop(handler)
                self._unchecked.pop(handler, None)
                handler.force_close()
                return True
        return False

    def _schedule_sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        latest = self._clock() - self._head_s
        slow = 0
        for handler, opened_at in tuple(self._unchecked.items()):
            if opened_at > latest:
                break
            del self._unchecked[handler]
            if not _has_had_request(handler):
                slow += 1
                _refuse(handler, _SLOW_RESPONSE)
        if slow:
            self.record_slow_heads(slow)
        self._schedule_sweep()


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerLimiters:
    """The connection limiters of a daemon's listeners."""

    caller: ConnectionLimiter
    peer: ConnectionLimiter
    upstream: ConnectionLimiter
    operator: ConnectionLimiter
    metrics: ConnectionLimiter

    @property
    def listeners(self) -> tuple[ConnectionLimiter, ...]:
        """The limiters of all listeners."""
        return (
            self.caller,
            self.peer,
            self.upstream,
            self.operator,
            self.metrics,
        )


def limit_listeners(
    limits: model.Limits, clock: abc.Callable[[], float]
) -> ListenerLimiters:
    """Make a connection limiter for each listener.

    Each has a limit of its own, so that a full listener does not affect
    the others.

    :param limits: how many connections, and the time for a first request.
    :param clock: returns monotonic time in seconds.
    """

    def make_limiter(listener: str, limit: int) -> ConnectionLimiter:
        return ConnectionLimiter(
            listener, limit=limit, head_s=limits.head_s, clock=clock
        )

    return ListenerLimiters(
        caller=make_limiter("caller", limits.connections),
        peer=make_limiter("peer", limits.connections),
        upstream=make_limiter("upstream", limits.upstream_connections),
        operator=make_limiter("operator", limits.operator_connections),
        metrics=make_limiter("metrics", limits.operator_connections),
    )
