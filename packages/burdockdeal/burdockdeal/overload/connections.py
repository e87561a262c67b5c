"""The connections of one listener, bounded in number and patience."""

import asyncio
from collections import abc
import dataclasses
import typing

from aiohttp import web_protocol

from burdockdeal.core import event_log
from burdockdeal.core import headers
from burdockdeal.core import verdict
from burdockdeal.settings import model

#: Seconds between two looks for connections that bring no request.
SWEEP_S = 0.5


def _write_refusal(reason: verdict.Reason, phrase: str) -> bytes:
    lines = (
        f"HTTP/1.1 {verdict.HTTP_STATUS[reason]} {phrase}",
        f"{headers.VERDICT}: {verdict.Verdict.NOT_RUN}",
        f"{headers.REASON}: {reason}",
        "Content-Length: 0",
        "Connection: close",
    )
    return "\r\n".join((*lines, "", "")).encode()


_FULL = _write_refusal(verdict.Reason.OVERLOADED, "Service Unavailable")
_SLOW = _write_refusal(verdict.Reason.SLOW_CALLER, "Request Timeout")


class Handler(typing.Protocol):
    """The protocol of one connection."""

    transport: asyncio.Transport | None

    def force_close(self) -> None:
        """End the connection at once."""


class Server(typing.Protocol):
    """What makes the protocols and hears of their connections."""

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


def _refuse(handler: Handler, answer: bytes) -> None:
    if handler.transport is not None:
        handler.transport.write(answer)
    handler.force_close()


class ConnectionLimiter:
    """Holds the connections of one listener.

    At the bound, a new connection takes the place of the one that has
    been idle since the longest, so that idle ones can't keep callers out;
    if every one has a request, the new one is refused.

    :param listener: its name in logs.
    :param limit: connections at most.
    :param head_s: seconds within which a connection's first request must
        have its head here.
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
        self._since: dict[Handler, float] = {}
        self._fresh: dict[Handler, float] = {}
        self._timer: asyncio.TimerHandle | None = None
        self.refused = 0
        self.evicted = 0
        self.slow = 0

    async def __aenter__(self) -> "ConnectionLimiter":
        self._expect_sweep()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def __len__(self) -> int:
        return len(self._since)

    def attach(self, server: Server) -> None:
        """Bound the connections of a server from now on."""
        made, lost = server.connection_made, server.connection_lost

        def connection_made(
            handler: Handler, transport: asyncio.Transport
        ) -> None:
            made(handler, transport)
            self._add(handler)

        def connection_lost(
            handler: Handler,
            exc: BaseException | None = None,
        ) -> None:
            self._since.pop(handler, None)
            self._fresh.pop(handler, None)
            lost(handler, exc)

        server.connection_made = connection_made
        server.connection_lost = connection_lost

    def _add(self, handler: Handler) -> None:
        if len(self._since) >= self._limit and not self._evict():
            self.refused += 1
            _refuse(handler, _FULL)
            return
        self._since[handler] = self._fresh[handler] = self._clock()

    def _evict(self) -> bool:
        for handler in self._since:
            if _is_idle(handler):
                self.evicted += 1
                self._since.pop(handler)
                self._fresh.pop(handler, None)
                handler.force_close()
                return True
        return False

    def _expect_sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(SWEEP_S, self._sweep)

    def _sweep(self) -> None:
        latest = self._clock() - self._head_s
        slow = 0
        for handler, since in tuple(self._fresh.items()):
            if since > latest:
                break
            del self._fresh[handler]
            if not _has_had_request(handler):
                slow += 1
                _refuse(handler, _SLOW)
        self.slow += slow
        if slow:
            event_log.record(
                "slow_heads", listener=self._listener, connections=slow
            )
        self._expect_sweep()


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerLimiters:
    """The connections of each listener."""

    caller: ConnectionLimiter
    peer: ConnectionLimiter
    upstream: ConnectionLimiter
    operator: ConnectionLimiter
    metrics: ConnectionLimiter

    @property
    def listeners(self) -> tuple[ConnectionLimiter, ...]:
        """All of them."""
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
    """Bound the connections of each listener, one apart from the others."""

    def bound(listener: str, limit: int) -> ConnectionLimiter:
        return ConnectionLimiter(
            listener, limit=limit, head_s=limits.head_s, clock=clock
        )

    return ListenerLimiters(
        caller=bound("caller", limits.connections),
        peer=bound("peer", limits.connections),
        upstream=bound("upstream", limits.upstream_connections),
        operator=bound("operator", limits.operator_connections),
        metrics=bound("metrics", limits.operator_connections),
    )
