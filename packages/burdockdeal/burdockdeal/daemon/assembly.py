"""Assembly of a daemon out of its slices."""

from collections import abc
import contextlib
import dataclasses
import importlib

import aiohttp
from aiohttp import web

from burdockdeal.bookings import assembly as bookings
from burdockdeal.daemon import components
from burdockdeal.daemon import deployment_adapter
from burdockdeal.daemon import gauges
from burdockdeal.daemon import listeners
from burdockdeal.daemon import metrics
from burdockdeal.daemon import probing
from burdockdeal.daemon import request_handlers
from burdockdeal.daemon import sockets
from burdockdeal.measurement import load_refresher
from burdockdeal.measurement import prober
from burdockdeal.membership import contacts
from burdockdeal.membership import service as membership
from burdockdeal.membership import transport
from burdockdeal.overload import load_shedder
from burdockdeal.platform import state as rates
from burdockdeal.platform import store
from burdockdeal.serving import forwarding
from burdockdeal.serving import http_server
from burdockdeal.serving import pipelined_server
from burdockdeal.settings import model
from burdockdeal.shutdown import assembly as shutdown

#: The module of the surroundings, by whether the platform's own interfaces
#: bring configuration and heartbeats. Only the one in use is imported, since
#: a start waits for it.
_SURROUNDINGS = {
    False: "burdockdeal.daemon.native_deployment",
    True: "burdockdeal.platform.assembly",
}

#: Seconds that connections are given when all is done, or is cut off.
_CUT_S = 0.1


def _load_surroundings(
    settings: model.Settings,
) -> deployment_adapter.DeploymentAdapter:
    name = _SURROUNDINGS[settings.deployment is not None]
    return importlib.import_module(name).ADAPTER


def _build_store(shared: components.Components) -> store.StoreClient:
    budget = shared.settings.store_budget
    spread_s = shared.rng.uniform(0, budget.start_spread_s)
    return store.StoreClient(
        shared.settings.store,
        rate=rates.RateLimit(budget.calls_per_s, budget.burst),
        not_before=shared.clock() + spread_s,
        clock=shared.clock,
    )


def _build_membership(
    shared: components.Components,
    platform: store.StoreClient,
    control: aiohttp.ClientSession,
    on_newer: abc.Callable[[model.Address], None],
) -> membership.Membership:
    return membership.Membership(
        shared.settings,
        shared.roster,
        transport.make_post(control, shared.settings.peer_token),
        contacts.make_contact_finder(shared.roster, platform, shared.clock),
        shared.rng,
        shared.clock,
        revision=lambda: shared.active_configuration.revision,
        on_newer=on_newer,
    )


def _build_measuring(
    shared: components.Components, control: aiohttp.ClientSession
) -> probing.Measuring:
    return probing.build_measuring(
        shared.settings,
        control,
        shared.active_configuration,
        shared.instance_tracker,
        shared.rng,
        load=shared.build_load_report,
        incarnation=lambda: shared.upstream_tracker.upstream.incarnation,
    )


def _build_app_runner(app: web.Application) -> web.AppRunner:
    return web.AppRunner(app, access_log=None, shutdown_timeout=_CUT_S)


@dataclasses.dataclass(frozen=True, slots=True)
class Fronts:
    """The servers of the path of requests."""

    peers: http_server.PeerServer
    callers: pipelined_server.PipelinedServer


def _build_fronts(
    shared: components.Components,
    dispatch: http_server.Handler,
    entry: http_server.Handler,
) -> Fronts:
    limits = shared.settings.limits
    return Fronts(
        http_server.PeerServer(
            dispatch,
            header_bytes=limits.header_bytes,
            idle_s=limits.caller_idle_s,
        ),
        pipelined_server.PipelinedServer(
            entry,
            header_bytes=limits.header_bytes,
            idle_s=shared.get_caller_idle_s,
            build_error_response=shared.header_codec.build_error_response,
        ),
    )


async def _listen(
    stack: contextlib.AsyncExitStack,
    shared: components.Components,
    hosted: tuple[deployment_adapter.HostedApplication, ...],
    fronts: Fronts,
) -> listeners.Stop:
    """Listen on every address, on the callers' last.

    :returns: the function that stops listening to callers.
    """
    listen, bounds = shared.settings.listen, shared.listener_limiters
    for each in hosted:
        runner = _build_app_runner(each.app)
        await listeners.listen(stack, runner, each.address, each.limiter)
    runner = web.ServerRunner(fronts.peers, shutdown_timeout=_CUT_S)
    await listeners.listen(stack, runner, listen.peer, bounds.peer)
    return await listeners.listen_pipelined(
        stack, fronts.callers, listen.caller, bounds.caller
    )


def _make_gauges(
    shared: components.Components,
    control: deployment_adapter.ControlPlane,
    probing: probing.Measuring,
    guard: load_shedder.LoadShedder,
) -> tuple[metrics.Gauge, ...]:
    return (
        *gauges.make_gauges(
            shared.admission, shared.roster, shared.active_configuration
        ),
        *control.gauges,
        *probing.make_gauges(),
        *metrics.make_retry_gauges(shared.retry_budget),
        *metrics.make_overload_gauges(shared.listener_limiters, guard),
    )


async def _open_session(
    stack: contextlib.AsyncExitStack, settings: model.Settings
) -> aiohttp.ClientSession:
    """Open the session for messages between daemons."""
    connector = aiohttp.TCPConnector(
        limit=0, socket_factory=sockets.make_factory(settings.listen.peer.host)
    )
    return await stack.enter_async_context(
        aiohttp.ClientSession(
            connector=connector, cookie_jar=aiohttp.DummyCookieJar()
        )
    )


@contextlib.asynccontextmanager
async def run_daemon(
    settings: model.Settings,
) -> abc.AsyncIterator[components.Components]:
    """Run a daemon while the block runs.

    :param settings: the daemon's settings.
    """
    around = _load_surroundings(settings)
    shared = components.Components(
        settings, around.build_header_codec(settings)
    )
    limits = settings.limits
    async with contextlib.AsyncExitStack() as stack:
        platform = await stack.enter_async_context(_build_store(shared))
        session = await stack.enter_async_context(
            forwarding.build_session(
                limits.header_bytes,
                sockets.make_factory(settings.listen.peer.host),
            )
        )
        messages = await _open_session(stack, settings)
        guard = await stack.enter_async_context(shared.build_load_shedder())
        control = around.build_control_plane(shared, platform, messages)
        members = _build_membership(
            shared, platform, messages, control.on_newer_configuration
        )
        shared.active_configuration.on_change(members.request_push)
        probing = _build_measuring(shared, messages)
        told = metrics.Metrics(_make_gauges(shared, control, probing, guard))
        booked = bookings.Bookings(
            settings, shared.roster, platform, messages, shared.clock
        )
        fresh = await stack.enter_async_context(
            load_refresher.LoadRefresher(
                shared.meter, control.query_upstream_load, shared.clock
            )
        )
        handlers = request_handlers.build_request_handlers(
            shared, session, booked, guard, fresh, told
        )
        dispatch = request_handlers.make_peer_dispatcher(
            settings.peer_token,
            handlers.handle_call,
            {
                **booked.peer_handlers,
                **control.peer_handlers,
                **members.peer_handlers,
                prober.PATH: probing.receiver.handle,
            },
        )
        fronts = _build_fronts(shared, dispatch, handlers.handle_entry)
        stop_callers = await _listen(
            stack, shared, control.build_applications(told), fronts
        )
        shared.shutdown_controller = shutdown.make_controller(
            settings,
            shared.upstream_tracker,
            shared.roster,
            (fronts.peers, fronts.callers),
            lambda: booked.active,
            stop_callers,
            shared.clock,
        )
        shared.services = (*control.services, members, probing.prober)
        for service in shared.services:
            await stack.enter_async_context(service)
        yield shared
