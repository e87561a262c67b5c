"""Assembly of a daemon from its slices."""

from collections import abc
import contextlib
import dataclasses
import importlib

import aiohttp
from aiohttp import web

from burdockdeal.bookings import assembly as bookings
from burdockdeal.configuration import newer_lookup
from burdockdeal.core import gauge
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
from burdockdeal.membership import source_check
from burdockdeal.membership import transport
from burdockdeal.overload import load_shedder
from burdockdeal.platform import state as rates
from burdockdeal.platform import store
from burdockdeal.quotas import api as quotas
from burdockdeal.serving import connection_guard
from burdockdeal.serving import forwarding
from burdockdeal.serving import http_server
from burdockdeal.serving import owner
from burdockdeal.serving import pipelined_server
from burdockdeal.settings import model
from burdockdeal.shutdown import assembly as shutdown

#: The module with the deployment adapter, by whether configuration and
#: heartbeats come through the platform's interfaces. Only the one in use is
#: imported, to keep the start fast.
_ADAPTER_MODULES = {
    False: "burdockdeal.daemon.native_deployment",
    True: "burdockdeal.platform.assembly",
}

#: Seconds that open connections have to close once a shutdown is complete
#: or its remaining requests are aborted.
_CLOSE_TIMEOUT_S = 0.1


def _load_adapter(
    settings: model.Settings,
) -> deployment_adapter.DeploymentAdapter:
    module_name = _ADAPTER_MODULES[settings.deployment is not None]
    return importlib.import_module(module_name).ADAPTER


def _build_store(shared: components.Components) -> store.StoreClient:
    budget = shared.settings.store_budget
    start_delay_s = shared.rng.uniform(0, budget.start_spread_s)
    return store.StoreClient(
        shared.settings.store,
        rate=rates.RateLimit(budget.calls_per_s, budget.burst),
        not_before=shared.clock() + start_delay_s,
        clock=shared.clock,
        socket_factory=sockets.make_socket_factory(
            shared.settings.listen.peer.host
        ),
    )


def _build_membership(
    shared: components.Components,
    platform: store.StoreClient,
    peer_session: aiohttp.ClientSession,
    control_plane: deployment_adapter.ControlPlane,
) -> membership.Membership:
    return membership.Membership(
        shared.settings,
        shared.roster,
        transport.make_post(peer_session, shared.settings.peer_token),
        contacts.ContactDirectory(
            control_plane.contact_source,
            shared.roster,
            platform,
            shared.clock,
            shared.rng,
        ),
        shared.rng,
        shared.clock,
        revision=lambda: shared.active_configuration.revision,
        on_newer=control_plane.on_newer_configuration,
        evacuations=shared.evacuations,
    )


def _build_source_checks(
    shared: components.Components,
    membership_service: membership.Membership,
    control_plane: deployment_adapter.ControlPlane,
) -> tuple[source_check.SourceCheck, ...]:
    """Build what checks the source of the configuration, if that is used."""
    read = control_plane.read_configuration
    if read is None:
        return ()
    check = source_check.SourceCheck(
        shared.roster,
        membership_service.ping,
        membership_service.probe,
        read,
        shared.rng,
        reader_count=shared.settings.deployment.watchers,
    )
    shared.active_configuration.on_change(check.notify_dependents)
    return (check,)


def _build_quotas(
    shared: components.Components, peer_session: aiohttp.ClientSession
) -> quotas.Quotas | None:
    """Build what enforces quotas, None if they aren't enforced."""
    settings = shared.settings
    if settings.quotas is None:
        return None
    return quotas.Quotas(
        settings.quotas,
        shared.roster,
        transport.make_post(peer_session, settings.peer_token),
        lambda: (
            shared.compiled_configuration.workspaces.workspaces
            if shared.compiled_configuration
            else {}
        ),
        shared.clock,
        shared.rng,
    )


def _build_probing(
    shared: components.Components, peer_session: aiohttp.ClientSession
) -> probing.Probing:
    return probing.build_probing(
        shared.settings,
        peer_session,
        shared.active_configuration,
        shared.instance_tracker,
        shared.rng,
        load=shared.build_load_report,
        incarnation=lambda: shared.upstream_tracker.upstream.incarnation,
    )


def _build_app_runner(app: web.Application) -> web.AppRunner:
    return web.AppRunner(
        app, access_log=None, shutdown_timeout=_CLOSE_TIMEOUT_S
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Servers:
    """The servers for requests of callers and of other daemons."""

    peers: http_server.PeerServer
    callers: pipelined_server.PipelinedServer


def _build_servers(
    shared: components.Components,
    handle_peer: http_server.Handler,
    handle_entry: http_server.Handler,
) -> _Servers:
    limits = shared.settings.limits
    caller_limiter = shared.listener_limiters.caller
    return _Servers(
        http_server.PeerServer(
            handle_peer,
            header_bytes=limits.header_bytes,
            idle_s=limits.caller_idle_s,
        ),
        pipelined_server.PipelinedServer(
            handle_entry,
            limits=limits,
            caller_limits=shared.get_caller_limits,
            ledger=shared.caller_memory,
            clock=shared.clock,
            record_slow_heads=caller_limiter.record_slow_heads,
            build_error_response=shared.header_codec.build_error_response,
        ),
    )


async def _listen(
    stack: contextlib.AsyncExitStack,
    shared: components.Components,
    applications: tuple[deployment_adapter.HostedApplication, ...],
    servers: _Servers,
) -> listeners.StopListening:
    """Listen on all addresses, on that for callers last.

    :returns: a function that stops accepting connections of callers.
    """
    listen, limiters = shared.settings.listen, shared.listener_limiters
    for hosted in applications:
        runner = _build_app_runner(hosted.app)
        await listeners.serve_application(
            stack, runner, hosted.address, hosted.limiter
        )
    runner = web.ServerRunner(servers.peers, shutdown_timeout=_CLOSE_TIMEOUT_S)
    await listeners.serve_application(
        stack, runner, listen.peer, limiters.peer
    )
    return await listeners.serve_callers(
        stack, servers.callers, listen.caller, limiters.caller
    )


def _make_gauges(
    shared: components.Components,
    control_plane: deployment_adapter.ControlPlane,
    load_probing: probing.Probing,
    shedder: load_shedder.LoadShedder,
    workspace_quotas: quotas.Quotas | None,
) -> tuple[gauge.Gauge, ...]:
    return (
        *gauges.make_gauges(
            shared.admission,
            shared.roster,
            shared.active_configuration,
            shared.compute_cold_s,
            shared.is_evacuated,
        ),
        *control_plane.gauges,
        *load_probing.make_gauges(),
        *metrics.make_retry_gauges(shared.retry_budget),
        *metrics.make_overload_gauges(shared.listener_limiters, shedder),
        *(workspace_quotas.make_gauges() if workspace_quotas else ()),
        *metrics.make_memory_gauges(shared.caller_memory),
    )


async def _open_upstream_sessions(
    stack: contextlib.AsyncExitStack, settings: model.Settings
) -> owner.UpstreamSessions:
    """Open the HTTP clients for calls to upstreams and other daemons."""

    async def open_session(*, single_use: bool) -> aiohttp.ClientSession:
        return await stack.enter_async_context(
            forwarding.build_session(
                settings.limits.header_bytes,
                sockets.make_socket_factory(settings.listen.peer.host),
                single_use=single_use,
            )
        )

    return owner.UpstreamSessions(
        pooled=await open_session(single_use=False),
        single_use=await open_session(single_use=True),
    )


async def _open_peer_session(
    stack: contextlib.AsyncExitStack, settings: model.Settings
) -> aiohttp.ClientSession:
    """Open the HTTP client for control messages and health checks."""
    connector = aiohttp.TCPConnector(
        limit=0,
        socket_factory=sockets.make_socket_factory(settings.listen.peer.host),
    )
    connection_guard.guard_connections(connector)
    return await stack.enter_async_context(
        aiohttp.ClientSession(
            connector=connector, cookie_jar=aiohttp.DummyCookieJar()
        )
    )


@contextlib.asynccontextmanager
async def run_daemon(
    settings: model.Settings,
) -> abc.AsyncIterator[components.Components]:
    """Run a daemon for the duration of the ``async with`` block.

    :param settings: the daemon's settings.
    :returns: its shared components.
    """
    adapter = _load_adapter(settings)
    shared = components.Components(
        settings, adapter.build_header_codec(settings)
    )
    async with contextlib.AsyncExitStack() as stack:
        platform = await stack.enter_async_context(_build_store(shared))
        sessions = await _open_upstream_sessions(stack, settings)
        peer_session = await _open_peer_session(stack, settings)
        shedder = await stack.enter_async_context(shared.build_load_shedder())
        control_plane = adapter.build_control_plane(
            shared, platform, peer_session
        )
        membership_service = _build_membership(
            shared, platform, peer_session, control_plane
        )
        shared.active_configuration.on_change(
            membership_service.notify_configuration
        )
        load_probing = _build_probing(shared, peer_session)
        workspace_quotas = _build_quotas(shared, peer_session)
        if workspace_quotas is not None:
            await stack.enter_async_context(workspace_quotas)
        daemon_metrics = metrics.Metrics(
            _make_gauges(
                shared, control_plane, load_probing, shedder, workspace_quotas
            )
        )
        at_most_once = bookings.AtMostOnceExecution(
            settings,
            shared.roster,
            platform,
            peer_session,
            shared.clock,
            shared.rng,
        )
        refresher = await stack.enter_async_context(
            load_refresher.LoadRefresher(
                shared.meter, control_plane.query_upstream_load, shared.clock
            )
        )
        handlers = request_handlers.build_request_handlers(
            shared,
            sessions,
            at_most_once,
            shedder,
            refresher,
            daemon_metrics,
            newer_lookup.NewerLookup(
                shared.active_configuration,
                membership_service.find_newest_revision,
                lambda: shared.roster.active_count,
                shared.clock,
            ),
            workspace_quotas.charge
            if workspace_quotas
            else quotas.charge_nothing,
        )
        handle_peer = request_handlers.make_peer_dispatcher(
            settings.peer_token,
            handlers.handle_call,
            {
                **at_most_once.peer_handlers,
                **control_plane.peer_handlers,
                **membership_service.peer_handlers,
                **(workspace_quotas.peer_handlers if workspace_quotas else {}),
                prober.PATH: load_probing.receiver.handle,
            },
        )
        servers = _build_servers(shared, handle_peer, handlers.handle_entry)
        stop_callers = await _listen(
            stack,
            shared,
            control_plane.build_applications(daemon_metrics),
            servers,
        )
        shared.shutdown_controller = shutdown.make_controller(
            settings,
            shared.upstream_tracker,
            shared.roster,
            (servers.peers, servers.callers),
            lambda: at_most_once.active_count,
            stop_callers,
            shared.clock,
        )
        shared.services = (
            *control_plane.services,
            membership_service,
            *_build_source_checks(shared, membership_service, control_plane),
            load_probing.prober,
            at_most_once.claim_keeper,
        )
        for service in shared.services:
            await stack.enter_async_context(service)
        yield shared
