"""HTTP interface for the local upstream."""

from collections import abc

from aiohttp import web

from burdockdeal.announce import decisions
from burdockdeal.announce import messages
from burdockdeal.announce import state
from burdockdeal.core import codec
from burdockdeal.core import event_log

#: Maximum size of one message in bytes.
MAX_MESSAGE_BYTES = 4096


class UpstreamTracker:
    """Tracks the state of the local upstream.

    :param clock: returns monotonic time in seconds.
    """

    def __init__(self, clock: abc.Callable[[], float]) -> None:
        self.clock = clock
        self._listeners: list[abc.Callable[[], None]] = []
        self._cold_listeners: list[abc.Callable[[], None]] = []
        self.upstream = state.Upstream()
        self._rejects_new_calls = False

    def on_change(self, listener: abc.Callable[[], None]) -> None:
        """Register a callback for changes of phase or incarnation."""
        self._listeners.append(listener)

    def on_cold_report(self, listener: abc.Callable[[], None]) -> None:
        """Register a callback for reports of how long it is still cold."""
        self._cold_listeners.append(listener)

    def apply(self, event: decisions.Event) -> None:
        """Apply an event and notify the listeners if it had an effect."""
        before = self.upstream
        self.upstream = decisions.step(before, event, self.clock())
        self._notify_phase(before)
        if before.cold_until != self.upstream.cold_until:
            for listener in self._cold_listeners:
                listener()

    def _notify_phase(self, before: state.Upstream) -> None:
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
        """Return whether a new call may start on the upstream now."""
        if self._rejects_new_calls:
            return False
        return decisions.may_start_call(self.upstream, self.clock())

    def reject_new_calls(self) -> None:
        """Reject all new calls from now on, whatever the upstream reports."""
        self._rejects_new_calls = True


def _get_lease_s(upstream: state.Upstream) -> float:
    return upstream.announce.lease_s if upstream.announce else 0.0


def _reply(message: object, status: int = 200) -> web.Response:
    return web.Response(
        body=codec.encode(message),
        status=status,
        content_type="application/json",
    )


def build_app(
    tracker: UpstreamTracker, in_flight: abc.Callable[[], int]
) -> web.Application:
    """Build the web application that the upstream talks to.

    :param in_flight: returns the number of calls that the daemon has in
        flight to the upstream.
    """

    def make_handler(
        kind: type,
    ) -> abc.Callable[..., abc.Awaitable[web.Response]]:
        async def handle(request: web.Request) -> web.Response:
            try:
                message = codec.decode(await request.read(), kind)
            except codec.MalformedError as error:
                return _reply(messages.Refused(str(error)), 400)
            tracker.apply(message)
            known_incarnation = tracker.upstream.incarnation
            if message.incarnation != known_incarnation:
                refused = messages.Refused(
                    "another incarnation", known_incarnation
                )
                return _reply(refused, 409)
            accepted = messages.Accepted(
                decisions.HEARTBEAT_S,
                _get_lease_s(tracker.upstream),
                in_flight(),
                tracker.clock(),
            )
            return _reply(accepted)

        return handle

    app = web.Application(client_max_size=MAX_MESSAGE_BYTES)
    app.router.add_post("/v1/announce", make_handler(messages.Announce))
    app.router.add_post("/v1/heartbeat", make_handler(messages.Heartbeat))
    app.router.add_post("/v1/drain", make_handler(messages.Drain))
    return app
