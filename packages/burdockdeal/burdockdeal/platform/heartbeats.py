"""The heartbeats of the worker beside the daemon."""

import dataclasses

from aiohttp import web
import msgspec

from burdockdeal.announce import api as announce
from burdockdeal.announce import messages
from burdockdeal.core import codec
from burdockdeal.core import event_log
from burdockdeal.settings import model

#: Bytes of one message at most.
MESSAGE_LIMIT_BYTES = 65_536

_READY = "ready"
_DRAINING = "draining"


class Heartbeat(msgspec.Struct, frozen=True, rename="camel"):
    """What a worker says of itself.

    :param address: where it takes requests.
    :param state: ready or draining.
    :param cold_remaining_ms: milliseconds for which it is still slow.
    :param sequence: grows with each message of one start.
    :param born: Unix milliseconds of its start; None if it does not say.
    """

    service: str
    address: str
    slots: int
    state: str
    sequence: int
    cold_remaining_ms: float = 0.0
    born: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Newest:
    """The newest that was heard of the worker.

    :param name: its id; it may start again under the one that it had.
    :param sequence: of its newest message, -1 before the first.
    :param gone: whether it said that it is gone.
    """

    name: str = ""
    incarnation: int = 0
    sequence: int = -1
    gone: bool = False


def find_incarnation(newest: Newest, name: str, beat: Heartbeat) -> int:
    """Find the number of a worker's start; it grows with each."""
    if beat.born is not None:
        return max(1, beat.born)
    same = name == newest.name
    return newest.incarnation if same else newest.incarnation + 1


def is_news(newest: Newest, name: str, beat: Heartbeat) -> bool:
    """Tell whether a heartbeat is newer than all that was heard.

    One that was held up may come after its sender has ended and another
    worker has taken the address.
    """
    incarnation = find_incarnation(newest, name, beat)
    if incarnation != newest.incarnation:
        return incarnation > newest.incarnation
    if name != newest.name:
        return False
    return not newest.gone and beat.sequence > newest.sequence


class Heartbeats:
    """Takes heartbeats and tells the announce slice of them.

    :param side: what is known of the upstream.
    :param deployment: which upstream stands beside this daemon.
    """

    def __init__(
        self, side: announce.UpstreamTracker, deployment: model.Deployment
    ) -> None:
        self._side = side
        self._deployment = deployment
        self._newest = Newest()

    @property
    def heard(self) -> bool:
        """Whether the worker was ever heard of."""
        return bool(self._newest.name)

    def learn(self, name: str, slots: int) -> None:
        """Take in a worker that answers at the upstream's address.

        Its start is not known; any heartbeat is newer.
        """
        self._newest = Newest(name, incarnation=1)
        event_log.record("upstream_found", name=name, slots=slots)
        self._announce(name, slots, 0.0)
        self._beat(draining=False)

    def take(self, name: str, beat: Heartbeat) -> None:
        """Take in a heartbeat."""
        if not is_news(self._newest, name, beat):
            event_log.record(
                "heartbeat_outdated",
                name=name,
                sequence=beat.sequence,
                born=beat.born,
                known=self._newest.name,
            )
            return
        started = find_incarnation(self._newest, name, beat)
        self._newest = Newest(name, started, beat.sequence)
        self._announce(name, beat.slots, beat.cold_remaining_ms / 1000)
        self._beat(draining=beat.state == _DRAINING)

    def leave(self, name: str) -> None:
        """Take in that a worker is gone."""
        if name != self._newest.name:
            return
        self._newest = dataclasses.replace(self._newest, gone=True)
        self._side.apply(messages.Drain(self._newest.incarnation))

    def _announce(self, name: str, slots: int, warm_up_s: float) -> None:
        address = self._deployment.upstream
        self._side.apply(
            messages.Announce(
                service=self._deployment.service,
                host=address.host,
                port=address.port,
                incarnation=self._newest.incarnation,
                slots=slots,
                name=name,
                lease_s=self._deployment.lease_s,
                warm_up_s=warm_up_s,
            )
        )

    def _beat(self, *, draining: bool) -> None:
        self._side.apply(
            messages.Heartbeat(
                incarnation=self._newest.incarnation,
                echo=self._side.clock(),
                draining=draining,
            )
        )

    def is_of_upstream(self, beat: Heartbeat) -> bool:
        """Tell whether a heartbeat can be one of the upstream's."""
        return (
            beat.service == self._deployment.service
            and beat.address == str(self._deployment.upstream)
            and beat.state in (_READY, _DRAINING)
            and beat.slots > 0
        )


def _reply(status: int) -> web.Response:
    return web.Response(
        status=status, body=b"{}", content_type="application/json"
    )


def build_app(beats: Heartbeats) -> web.Application:
    """Build the interface for the worker.

    A message is acknowledged once the daemon, which is the only way to its
    worker, acts on it.
    """

    async def put(request: web.Request) -> web.Response:
        name = request.match_info["name"]
        try:
            beat = codec.decode(await request.read(), Heartbeat)
        except codec.MalformedError as error:
            event_log.warn("heartbeat_unreadable", name=name, error=error)
            return _reply(400)
        if not beats.is_of_upstream(beat):
            event_log.warn(
                "heartbeat_of_another", name=name, service=beat.service
            )
            return _reply(400)
        beats.take(name, beat)
        return _reply(200)

    async def delete(request: web.Request) -> web.Response:
        beats.leave(request.match_info["name"])
        return _reply(200)

    app = web.Application(client_max_size=MESSAGE_LIMIT_BYTES)
    app.router.add_put("/api/instances/{name}", put)
    app.router.add_delete("/api/instances/{name}", delete)
    return app
