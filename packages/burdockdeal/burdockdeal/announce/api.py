"""The interface for the upstream beside the daemon."""

from collections import abc

from aiohttp import web

from burdockdeal.announce import decisions
from burdockdeal.announce import messages
from burdockdeal.announce import state
from burdockdeal.core import codec
from burdockdeal.core import event_log

#: Bytes of one message at most.
MAX_MESSAGE_BYTES = 4096


class UpstreamTracker:
    """Holds what is known of the upstream beside this daemon.

    :param clock: returns monotonic time in seconds.
    """

    def __init__(self, clock: abc.Callable[[], float]) -> None:
        self.clock = clock
        self._listeners: list[abc.Callable[[], None]] = []
        self.upstream = state.Upstream()
        self._closed = False

    def on_change(self, listener: abc.Callable[[], None]) -> None:
        """Call a function whenever the phase or incarnation changes."""
        self._listeners.append(listener)

    def apply(self, event: decisions.Event) -> None:
        """Take an event into account."""
        before = self.upstream
        self.upstream = decisions.step(before, event, self.clock())
        changed = (
            before.phase is not self.upstream.phase
            or before.incarnation != self.upstream.incarnation
        )
        if not changed:
            return
        event_log.record(
            "upstream_phase",
            phase=self.upstream.phase,
            incarnation=self.upstream.incarnation,
        )
        for listener in self._listeners:
            listener()

    def may_start_call(self) -> bool:
        """Tell whether a new call may start now."""
        if self._closed:
            return False
        return decisions.may_start_call(self.upstream, self.clock())

    def reject_new_calls(self) -> None:
        """Start no new calls, whatever the upstream says."""
        self._closed = True


def _lease_s(upstream: state.Upstream) -> float:
    return upstream.announce.lease_s if upstream.announce else 0.0


def _reply(message: object, status: int = 200) -> web.Response:
    return web.Response(
        body=codec.encode(message),
        status=status,
        content_type="application/json",
    )


def build_app(
    side: UpstreamTracker, in_flight: abc.Callable[[], int]
) -> web.Application:
    """Build the upstream's interface.

    :param in_flight: returns the calls that the daemon has in flight to
        the upstream.
    """

    def route(kind: type) -> abc.Callable[..., abc.Awaitable[web.Response]]:
        async def handle(request: web.Request) -> web.Response:
            try:
                message = codec.decode(await request.read(), kind)
            except codec.MalformedError as error:
                return _reply(messages.Refused(str(error)), 400)
            side.apply(message)
            known = side.upstream.incarnation
            if message.incarnation != known:
                refused = messages.Refused("another incarnation", known)
                return _reply(refused, 409)
            accepted = messages.Accepted(
                decisions.HEARTBEAT_S,
                _lease_s(side.upstream),
                in_flight(),
                side.clock(),
            )
            return _reply(accepted)

        return handle

    app = web.Application(client_max_size=MAX_MESSAGE_BYTES)
    app.router.add_post("/v1/announce", route(messages.Announce))
    app.router.add_post("/v1/heartbeat", route(messages.Heartbeat))
    app.router.add_post("/v1/drain", route(messages.Drain))
    return app
