"""Assembly of a daemon out of its slices."""

from collections import abc
import contextlib
import random
import secrets
import time

import aiohttp
from aiohttp import web
import mode

from burdockdeal.admission import gate
from burdockdeal.admission import state as admission
from burdockdeal.announce import api as announce_api
from burdockdeal.announce import decisions as announce
from burdockdeal.bookings import assembly as bookings
from burdockdeal.configuration import api as configuration_api
from burdockdeal.configuration import resources
from burdockdeal.configuration import standing as configuration
from burdockdeal.configuration import wiring as configuration_wiring
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import headers
from burdockdeal.core import verdict
from burdockdeal.daemon import gauges
from burdockdeal.daemon import listening
from burdockdeal.daemon import measuring
from burdockdeal.daemon import messages
from burdockdeal.daemon import metrics
from burdockdeal.measurement import meter
from burdockdeal.measurement import prober
from burdockdeal.membership import contacts
from burdockdeal.membership import messages as membership
from burdockdeal.membership import roster
from burdockdeal.membership import service as membership_service
from burdockdeal.membership import transport
from burdockdeal.overload import connections
from burdockdeal.overload import guard as guards
from burdockdeal.platform import store
from burdockdeal.retry import absence
from burdockdeal.retry import budget as budgets
from burdockdeal.routing import board
from burdockdeal.routing import selection
from burdockdeal.routing import state as routing
from burdockdeal.serving import classify
from burdockdeal.serving import entry
from burdockdeal.serving import front
from burdockdeal.serving import messages as serving
from burdockdeal.serving import owner
from burdockdeal.serving import peers
from burdockdeal.serving import transfer
from burdockdeal.settings import model
from burdockdeal.shutdown import assembly as shutdown
from burdockdeal.shutdown import stopping

_DEFAULT_SERVICE = resources.Service()
#: Seconds that connections are given when all is done, or is cut off.
_CUT_S = 0.1
_OPEN_PATHS = frozenset({"/healthz", "/readyz", "/metrics"})


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000


class Parts:
    """The parts of one daemon, made once and passed whole.

    :param settings: the daemon's settings.
    """

    def __init__(self, settings: model.Settings) -> None:
        self.settings = settings
        self.clock = time.monotonic
        self.chance = random.Random(settings.seed)
        self.roster = roster.Roster(
            membership.Member(
                daemon=settings.daemon,
                failure_domain=settings.failure_domain,
                region=settings.region,
                peer=settings.advertise or settings.listen.peer,
                incarnation=_wall_ms(),
            )
        )
        self.side = announce_api.Side(self.clock)
        self.standing = configuration.Standing()
        self.gate = gate.Gate(self.clock, self._room)
        self.meter = meter.Meter(self.clock)
        self.board = board.Board(
            settings.daemon, settings.failure_domain, self.clock, self.load
        )
        self.budget = budgets.Budget()
        self.bounds = connections.bound_listeners(settings.limits, self.clock)
        self.snapshot: classify.Snapshot | None = None
        self.stopping: stopping.Stopping
        self.services: tuple[mode.Service, ...] = ()
        self.side.on_change(self._declare_upstream)
        self.standing.on_change(self._take_configuration)
        self.roster.on_change(self._take_member)

    def _slots(self) -> int:
        upstream = self.side.upstream
        if upstream.announce is None:
            return 0
        share = announce.ramp(upstream, self.clock())
        return max(1, round(upstream.announce.slots * share))

    def _room(self) -> admission.Room:
        service = self.roster.own.service
        services = self.snapshot.services if self.snapshot else {}
        spec = services.get(service, _DEFAULT_SERVICE)
        slots = self._slots()
        return admission.Room(
            slots=slots,
            uploads=max(1, int(slots * spec.upload_share)),
            queue_limit=spec.queue_limit,
        )

    def _declare_upstream(self) -> None:
        upstream = self.side.upstream
        announced = upstream.announce
        self.roster.declare(
            service=announced.service if announced else "",
            phase=upstream.phase,
            upstream_incarnation=upstream.incarnation,
            slots=announced.slots if announced else 0,
        )

    def _take_member(
        self, known: membership.Member | None, stands: membership.Member
    ) -> None:
        if known is not None:
            self.board.forget(known, stands)

    def _take_configuration(self) -> None:
        self.snapshot = classify.build_snapshot(self.standing.configuration)

    def find_crashed(self) -> str | None:
        """Name a service that crashed and why, None if all run."""
        for service in self.services:
            if service.crashed:
                return f"{service.label}: {service.crash_reason!r}"
        return None

    def build_guard(self) -> guards.Guard:
        """Build the guard of this daemon's entry."""
        return guards.Guard(
            lambda: self.snapshot.ranks if self.snapshot else {},
            self.settings.limits.requests,
            self.clock,
            self.chance,
        )

    def is_relay(self) -> bool:
        """Tell whether this daemon watches the store for its domain."""
        domain = self.settings.failure_domain
        return self.settings.daemon in self.roster.relays(domain)

    def load(self) -> routing.Report:
        """Tell the load beside this daemon, as put on each answer."""
        return routing.Report(
            in_flight=self.gate.running,
            waiting=self.gate.waiting,
            slots=self._slots(),
            service_ms=self.meter.service_ms(),
            failed_share=self.meter.failed_share,
        )

    def missing(self) -> tuple[str, ...]:
        """Tell what the daemon waits for before it can serve."""
        return () if self.snapshot else ("configuration",)


def _make_choose(parts: Parts) -> absence.Choose:
    return selection.make_choose(
        parts.settings.policy,
        parts.chance,
        parts.board,
        serving=parts.roster.list_serving,
        services=lambda: parts.snapshot.services if parts.snapshot else {},
        ranks=lambda: parts.snapshot.ranks if parts.snapshot else {},
    )


def _make_open_answer(
    parts: Parts, local: serving.OpenAnswer, remote: serving.OpenAnswer
) -> serving.OpenAnswer:
    def open_answer(
        send: serving.Send,
    ) -> contextlib.AbstractAsyncContextManager[serving.Answer]:
        own = send.daemon == parts.settings.daemon
        return (local if own else remote)(send)

    return open_answer


def _make_peer_dispatch(
    parts: Parts,
    handle_call: front.Handler,
    config_slice: configuration_wiring.Slice,
    members: membership_service.Membership,
    probing: measuring.Measuring,
    booked: bookings.Bookings,
) -> front.Handler:
    table = {
        **booked.peer_handlers,
        prober.PATH: probing.receiver.handle,
        "/v1/peer/ping": members.handle_ping,
        "/v1/peer/ping-request": members.handle_ping_request,
        "/v1/peer/page": members.handle_page,
        **config_slice.peer_handlers,
    }
    token = parts.settings.peer_token.encode()

    async def dispatch(request: web.BaseRequest) -> web.StreamResponse:
        given = request.headers.get(headers.PEER_TOKEN, "").encode()
        if not secrets.compare_digest(given, token):
            raise errors.NotRunError(verdict.Reason.UNAUTHENTICATED)
        if headers.ENVELOPE in request.headers:
            return await handle_call(request)
        control = table.get(request.path)
        if control is None:
            raise errors.NotRunError(verdict.Reason.NO_RULE)
        return await control(request)

    return dispatch


def _build_operator_app(
    parts: Parts,
    platform: store.Store,
    config_slice: configuration_wiring.Slice,
    told: metrics.Metrics,
) -> web.Application:
    def reply(message: object, status: int = 200) -> web.Response:
        return web.Response(
            body=codec.encode(message),
            status=status,
            content_type="application/json",
        )

    async def healthz(request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def readyz(request: web.Request) -> web.Response:
        missing = parts.missing()
        status = 503 if missing else 200
        return reply(messages.Ready(not missing, missing), status)

    async def status(request: web.Request) -> web.Response:
        return reply(
            messages.Fleet(
                daemon=parts.settings.daemon,
                revision=parts.standing.revision,
                store_calls=platform.calls,
                domains=await config_slice.spreader.ask_domains(),
                members=parts.roster.members,
            )
        )

    guard = configuration_api.make_guard(parts.settings.operators, _OPEN_PATHS)
    app = web.Application(
        middlewares=[guard],
        client_max_size=configuration_api.RESOURCE_LIMIT_BYTES,
    )
    app.router.add_get("/healthz", healthz)
    app.router.add_get("/readyz", readyz)
    app.router.add_get("/metrics", told.handle)
    app.router.add_get("/v1/status", status)
    config_slice.add_routes(app)
    return app


@contextlib.asynccontextmanager
async def run_daemon(settings: model.Settings) -> abc.AsyncIterator[Parts]:
    """Run a daemon while the block runs.

    :param settings: the daemon's settings.
    """
    parts = Parts(settings)
    limits = settings.limits
    local_addr = (settings.listen.peer.host, 0)
    async with contextlib.AsyncExitStack() as stack:
        platform = await stack.enter_async_context(
            configuration_wiring.make_platform(
                settings, parts.chance, parts.clock
            )
        )
        session = await stack.enter_async_context(
            transfer.build_session(limits.header_bytes, local_addr)
        )
        control = await stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, local_addr=local_addr),
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        )
        config_slice = configuration_wiring.build(
            configuration_wiring.Means(
                settings=settings,
                platform=platform,
                session=control,
                chance=parts.chance,
                roster=parts.roster,
                is_relay=parts.is_relay,
                new_id=lambda: secrets.token_hex(8),
                clock=parts.clock,
                wall_ms=_wall_ms,
            ),
            parts.standing,
        )
        members = membership_service.Membership(
            settings,
            parts.roster,
            transport.make_post(control, settings.peer_token),
            contacts.make_meet(parts.roster, platform, parts.clock),
            parts.chance,
            parts.clock,
            revision=lambda: parts.standing.revision,
            on_newer=config_slice.puller.pull_from,
        )
        guard = await stack.enter_async_context(parts.build_guard())
        probing = measuring.build_measuring(
            settings,
            control,
            parts.standing,
            parts.board,
            parts.chance,
            load=parts.load,
            incarnation=lambda: parts.side.upstream.incarnation,
        )
        told = metrics.Metrics(
            (
                *gauges.make_gauges(parts.gate, parts.roster, parts.standing),
                *config_slice.gauges(),
                *probing.make_gauges(),
                *metrics.make_retry_gauges(parts.budget),
                *metrics.make_overload_gauges(parts.bounds, guard),
            )
        )
        choose = _make_choose(parts)
        booked = bookings.Bookings(
            settings, parts.roster, platform, control, parts.clock
        )
        local = booked.keep_runs(
            owner.make_owner(
                parts.side,
                parts.gate,
                session,
                lambda: parts.snapshot,
                parts.clock,
                booked.ledger,
                booked.prepare,
                parts.meter,
            )
        )
        remote = booked.guard_sends(
            peers.make_peer_opener(
                session,
                settings.peer_token,
                parts.clock,
                parts.board.note_report,
                booked.clocks.note,
            )
        )
        handle_call = owner.make_peer_handler(
            local,
            parts.load,
            parts.clock,
            settings.listen.peer,
            parts.roster.own.incarnation,
            limits,
        )
        handle_entry = entry.make_entry(
            snapshot=lambda: parts.snapshot,
            choose=choose,
            pins=booked.pins,
            open_answer=_make_open_answer(parts, local, remote),
            budget=parts.budget,
            guard=guard,
            tallies=parts.board,
            new_id=lambda: secrets.token_hex(8),
            clock=parts.clock,
            count=told.count,
            limits=limits,
        )
        operator_app = _build_operator_app(parts, platform, config_slice, told)
        upstream_app = announce_api.build_app(
            parts.side, lambda: parts.gate.running
        )
        dispatch = _make_peer_dispatch(
            parts, handle_call, config_slice, members, probing, booked
        )
        handle_entry = booked.answer_keys(handle_entry, choose)

        def serve(
            handler: front.Handler, *, half_open: bool = False
        ) -> web.ServerRunner:
            server = front.Front(
                handler,
                header_bytes=limits.header_bytes,
                idle_s=limits.caller_idle_s,
                half_open=half_open,
            )
            fronts.append(server)
            return web.ServerRunner(server, shutdown_timeout=_CUT_S)

        fronts: list[front.Front] = []
        operators = web.AppRunner(
            operator_app, access_log=None, shutdown_timeout=_CUT_S
        )
        upstreams = web.AppRunner(
            upstream_app, access_log=None, shutdown_timeout=_CUT_S
        )
        callers = serve(handle_entry, half_open=True)
        for runner, address, bound in (
            (operators, settings.listen.operator, parts.bounds.operator),
            (upstreams, settings.listen.upstream, parts.bounds.upstream),
            (serve(dispatch), settings.listen.peer, parts.bounds.peer),
            (callers, settings.listen.caller, parts.bounds.caller),
        ):
            stop_callers = await listening.listen(
                stack, runner, address, bound
            )
        parts.stopping = shutdown.make_stopping(
            settings,
            parts.side,
            parts.roster,
            fronts,
            lambda: booked.active,
            stop_callers,
            parts.clock,
        )
        parts.services = (
            *config_slice.services,
            members,
            probing.prober,
        )
        for service in parts.services:
            await stack.enter_async_context(service)
        yield parts
