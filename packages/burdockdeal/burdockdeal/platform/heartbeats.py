"""The platform's heartbeat protocol, spoken by the upstream."""

import dataclasses
import time

from aiohttp import web
import msgspec

from burdockdeal.announce import api as announce
from burdockdeal.announce import decisions
from burdockdeal.announce import messages
from burdockdeal.core import codec
from burdockdeal.core import event_log
from burdockdeal.core import validation
from burdockdeal.settings import model

#: Maximum size of one message.
MESSAGE_LIMIT_BYTES = 65_536

_READY = "ready"
_DRAINING = "draining"

#: Milliseconds by which an upstream's start may lie in the future, since the
#: time of day can jump. A later one would outdate all heartbeats to come.
_MAX_BORN_LEAD_MS = 3_600_000


class Heartbeat(msgspec.Struct, frozen=True, rename="camel"):
    """The state that an upstream reports about itself.

    All fields but the last are part of each heartbeat of an upstream, also
    those that no decision uses: what lacks one comes from another writer.

    :param address: the address at which it accepts requests.
    :param zone: the failure domain in which it runs.
    :param version: the version of its software.
    :param slots: the number of calls that it runs concurrently.
    :param state: `ready` or `draining`.
    :param sequence: increases with each message until the upstream
        restarts.
    :param cold_remaining_ms: the remaining warm-up time, in milliseconds,
        during which the upstream is slow.
    :param born: the time of its start in Unix milliseconds; None if it does
        not report one. An upstream that has reported it once always does.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: validation.SlotCount
    state: str
    sequence: validation.Counter
    cold_remaining_ms: validation.Milliseconds
    born: validation.Counter | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class KnownUpstream:
    """The latest information about the upstream.

    :param name: the id of the upstream, empty before the first heartbeat.
        It may be the same after a restart.
    :param incarnation: the number of its current start.
    :param born: the time of that start in Unix milliseconds; None until a
        heartbeat has reported it.
    :param sequence: the sequence number of its latest heartbeat, -1 before
        the first.
    :param gone: whether it has deregistered.
    """

    name: str = ""
    incarnation: int = 0
    born: int | None = None
    sequence: int = -1
    gone: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """An upstream that has deregistered.

    :param born: the time of the start that ended, in Unix milliseconds; None
        if no heartbeat had reported it.
    :param at: the monotonic time, in seconds, of its deregistration.
    """

    name: str
    born: int | None
    at: float

    def covers(self, name: str, heartbeat: Heartbeat) -> bool:
        """Return whether the start that ended may have sent a heartbeat."""
        return name == self.name and (
            self.born is None
            or heartbeat.born is None
            or heartbeat.born <= self.born
        )


def determine_incarnation(
    known: KnownUpstream, name: str, heartbeat: Heartbeat
) -> int:
    """Return the number of an upstream's start, which increases with each."""
    if heartbeat.born is not None:
        return max(1, heartbeat.born)
    is_same_name = name == known.name
    return known.incarnation if is_same_name else known.incarnation + 1


def is_newer(known: KnownUpstream, name: str, heartbeat: Heartbeat) -> bool:
    """Return whether a heartbeat is newer than what is known of the upstream.

    A delayed heartbeat can arrive after its sender has stopped and another
    upstream has taken over the address.
    """
    incarnation = determine_incarnation(known, name, heartbeat)
    if incarnation != known.incarnation:
        return incarnation > known.incarnation
    if name != known.name:
        return False
    return not known.gone and heartbeat.sequence > known.sequence


class HeartbeatReceiver:
    """Receives heartbeats and passes them on to the announce slice.

    A heartbeat may be late, but not by more than the lease. An upstream that
    has deregistered sends none, so one that arrives later than the lease
    after that comes from an upstream that is there; until then it may have
    been sent before.

    A daemon that has just started doesn't know what an earlier run of it has
    acknowledged. So its first upstream serves only once its health check
    names it, or its heartbeats go on for longer than the lease.

    :param tracker: tracks the state of the upstream beside this daemon.
    :param deployment: describes that upstream.
    :param is_confirmed: whether the upstream needs no such confirmation.
    """

    def __init__(
        self,
        tracker: announce.UpstreamTracker,
        deployment: model.Deployment,
        *,
        is_confirmed: bool = False,
    ) -> None:
        self._tracker = tracker
        self._deployment = deployment
        self._known = KnownUpstream()
        self._departures: tuple[Departure, ...] = ()
        self._started_at = tracker.clock()
        self.is_upstream_confirmed = is_confirmed

    def record_discovered(self, name: str, slots: int) -> None:
        """Record an upstream whose health check has named it.

        Without a heartbeat, the time of its start is unknown, so that any
        heartbeat counts as newer.
        """
        is_gone = self._known.gone and name == self._known.name
        has_left = any(left.name == name for left in self._list_departures())
        if self.is_upstream_confirmed or is_gone or has_left:
            return
        if name != self._known.name:
            self._known = KnownUpstream(name, incarnation=1)
        self.is_upstream_confirmed = True
        event_log.record("upstream_discovered", name=name, slots=slots)
        self._report_announce(name, slots, 0.0)
        self._report_heartbeat(draining=False, cold_ms=None)

    def record_cold(self, name: str, cold_ms: float) -> None:
        """Record for how long a health response says the upstream is cold.

        :param name: the name in the response, which may be of an upstream
            that has taken the place of the known one.
        :param cold_ms: milliseconds.
        """
        if name == self._known.name:
            self._tracker.apply(
                decisions.ColdReport(self._known.incarnation, cold_ms)
            )

    def receive(self, name: str, heartbeat: Heartbeat) -> None:
        """Process a heartbeat; an outdated one is only logged."""
        if not is_newer(self._known, name, heartbeat):
            event_log.record(
                "heartbeat_outdated",
                name=name,
                sequence=heartbeat.sequence,
                born=heartbeat.born,
                known=self._known.name,
            )
            return
        if any(
            departure.covers(name, heartbeat)
            for departure in self._list_departures()
        ):
            event_log.record(
                "heartbeat_of_departed", name=name, sequence=heartbeat.sequence
            )
            return
        incarnation = determine_incarnation(self._known, name, heartbeat)
        draining = heartbeat.state == _DRAINING
        self._known = KnownUpstream(
            name, incarnation, heartbeat.born, heartbeat.sequence
        )
        if not (
            self.is_upstream_confirmed or draining or self._is_past_start()
        ):
            event_log.record(
                "upstream_unconfirmed", name=name, sequence=heartbeat.sequence
            )
            return
        self.is_upstream_confirmed = True
        self._report_announce(
            name, heartbeat.slots, heartbeat.cold_remaining_ms / 1000
        )
        self._report_heartbeat(
            draining=draining, cold_ms=heartbeat.cold_remaining_ms
        )

    def _is_past_start(self) -> bool:
        """Return whether a heartbeat that arrives now was sent to this run."""
        age_s = self._tracker.clock() - self._started_at
        return age_s > self._deployment.lease_s

    def _list_departures(self) -> tuple[Departure, ...]:
        """List the departures after which a late heartbeat may still come."""
        earliest = self._tracker.clock() - self._deployment.lease_s
        self._departures = tuple(
            departure
            for departure in self._departures
            if departure.at >= earliest
        )
        return self._departures

    def record_departure(self, name: str) -> None:
        """Record that an upstream has deregistered.

        It binds whether or not the upstream is known: an earlier run of this
        daemon may have known it, or its heartbeats may be late.
        """
        known = self._known
        is_known = name == known.name
        departure = Departure(
            name, known.born if is_known else None, self._tracker.clock()
        )
        self._departures = (*self._list_departures(), departure)
        event_log.record("upstream_departed", name=name, known=known.name)
        if not known.name:
            self._known = KnownUpstream(name, gone=True)
        elif is_known:
            self._known = dataclasses.replace(known, gone=True)
            self._tracker.apply(messages.Drain(known.incarnation))

    def _report_announce(
        self, name: str, slots: int, warm_up_s: float
    ) -> None:
        address = self._deployment.upstream
        self._tracker.apply(
            messages.Announce(
                service=self._deployment.service,
                host=address.host,
                port=address.port,
                incarnation=self._known.incarnation,
                slots=slots,
                name=name,
                lease_s=self._deployment.lease_s,
                warm_up_s=warm_up_s,
            )
        )

    def _report_heartbeat(
        self, *, draining: bool, cold_ms: float | None
    ) -> None:
        self._tracker.apply(
            messages.Heartbeat(
                incarnation=self._known.incarnation,
                echo=self._tracker.clock(),
                draining=draining,
                cold_ms=cold_ms,
            )
        )

    def find_fault(self, heartbeat: Heartbeat) -> str | None:
        """Find why a heartbeat can't come from this daemon's upstream.

        :returns: a short text, None if it can.
        """
        latest_born_ms = time.time_ns() // 1_000_000 + _MAX_BORN_LEAD_MS
        has_start = heartbeat.born is not None
        checks = {
            "another service": heartbeat.service == self._deployment.service,
            "another address": (
                heartbeat.address == str(self._deployment.upstream)
            ),
            "an unknown state": heartbeat.state in (_READY, _DRAINING),
            "no slots": heartbeat.slots > 0,
            "a start in the future": (heartbeat.born or 0) <= latest_born_ms,
            "no start": has_start or self._known.born is None,
        }
        return next(
            (fault for fault, holds in checks.items() if not holds), None
        )


def _reply(status: int, error: str = "") -> web.Response:
    body = codec.encode({"error": error} if error else {})
    return web.Response(
        status=status, body=body, content_type="application/json"
    )


def build_app(receiver: HeartbeatReceiver) -> web.Application:
    """Build the HTTP interface for the upstream's heartbeats.

    A message is acknowledged as soon as this daemon has applied it: all
    requests reach the upstream through this daemon, so no other daemon has
    to know of the message first.
    """

    async def put(request: web.Request) -> web.Response:
        name = request.match_info["name"]
        try:
            heartbeat = codec.decode(await request.read(), Heartbeat)
        except codec.MalformedError as error:
            event_log.warn("heartbeat_unreadable", name=name, error=error)
            return _reply(400, str(error))
        fault = receiver.find_fault(heartbeat)
        if fault is not None:
            event_log.warn(
                "heartbeat_mismatched",
                name=name,
                service=heartbeat.service,
                error=fault,
            )
            return _reply(400, fault)
        receiver.receive(name, heartbeat)
        return _reply(200)

    async def delete(request: web.Request) -> web.Response:
        receiver.record_departure(request.match_info["name"])
        return _reply(200)

    app = web.Application(client_max_size=MESSAGE_LIMIT_BYTES)
    app.router.add_put("/api/instances/{name}", put)
    app.router.add_delete("/api/instances/{name}", delete)
    return app
