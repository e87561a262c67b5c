"""Assembly of a daemon out of its slices."""

from collections import abc
import contextlib
import secrets

import aiohttp
from aiohttp import web

from burdockdeal.announce import api as announce_api
from burdockdeal.bookings import assembly as bookings
from burdockdeal.configuration import wiring as configuration
from burdockdeal.daemon import gauges
from burdockdeal.daemon import listening
from burdockdeal.daemon import measuring
from burdockdeal.daemon import metrics
from burdockdeal.daemon import operators
from burdockdeal.daemon import parts
from burdockdeal.daemon import path
from burdockdeal.measurement import prober
from burdockdeal.membership import contacts
from burdockdeal.membership import service as membership
from burdockdeal.membership import transport
from burdockdeal.platform import store
from burdockdeal.serving import front
from burdockdeal.serving import transfer
from burdockdeal.settings import model
from burdockdeal.shutdown import assembly as shutdown

#: Seconds that connections are given when all is done, or is cut off.
_CUT_S = 0.1


def _build_configuration(
    shared: parts.Parts,
    platform: store.Store,
    control: aiohttp.ClientSession,
) -> configuration.Slice:
    means = configuration.Means(
        settings=shared.settings,
        platform=platform,
        session=control,
        chance=shared.chance,
        roster=shared.roster,
        is_relay=shared.is_relay,
        new_id=lambda: secrets.token_hex(8),
        clock=shared.clock,
        wall_ms=parts.wall_ms,
    )
    return configuration.build(means, shared.standing)


def _build_membership(
    shared: parts.Parts,
    platform: store.Store,
    control: aiohttp.ClientSession,
    on_newer: abc.Callable[[model.Address], None],
) -> membership.Membership:
    return membership.Membership(
        shared.settings,
        shared.roster,
        transport.make_post(control, shared.settings.peer_token),
        contacts.make_meet(shared.roster, platform, shared.clock),
        shared.chance,
        shared.clock,
        revision=lambda: shared.standing.revision,
        on_newer=on_newer,
    )


def _build_measuring(
    shared: parts.Parts, control: aiohttp.ClientSession
) -> measuring.Measuring:
    return measuring.build_measuring(
        shared.settings,
        control,
        shared.standing,
        shared.board,
        shared.chance,
        load=shared.load,
        incarnation=lambda: shared.side.upstream.incarnation,
    )


def _build_app_runner(app: web.Application) -> web.AppRunner:
    return web.AppRunner(app, access_log=None, shutdown_timeout=_CUT_S)


def _build_front(
    limits: model.Limits, handler: front.Handler, *, half_open: bool = False
) -> front.Front:
    return front.Front(
        handler,
        header_bytes=limits.header_bytes,
        idle_s=limits.caller_idle_s,
        half_open=half_open,
    )


async def _listen(
    stack: contextlib.AsyncExitStack,
    shared: parts.Parts,
    apps: tuple[web.Application, web.Application],
    fronts: tuple[front.Front, front.Front],
) -> listening.Stop:
    """Listen on every address, on the callers' last.

    :param apps: for operators and for the upstream.
    :param fronts: for peers and for callers.
    :returns: the function that stops listening to callers.
    """
    listen, bounds = shared.settings.listen, shared.bounds
    for app, address, bound in (
        (apps[0], listen.operator, bounds.operator),
        (apps[1], listen.upstream, bounds.upstream),
    ):
        runner = _build_app_runner(app)
        await listening.listen(stack, runner, address, bound)
    for server, address, bound in (
        (fronts[0], listen.peer, bounds.peer),
        (fronts[1], listen.caller, bounds.caller),
    ):
        runner = web.ServerRunner(server, shutdown_timeout=_CUT_S)
        stop = await listening.listen(stack, runner, address, bound)
    return stop


@contextlib.asynccontextmanager
async def run_daemon(
    settings: model.Settings,
) -> abc.AsyncIterator[parts.Parts]:
    """Run a daemon while the block runs.

    :param settings: the daemon's settings.
    """
    shared = parts.Parts(settings)
    limits = settings.limits
    local_addr = (settings.listen.peer.host, 0)
    async with contextlib.AsyncExitStack() as stack:
        platform = await stack.enter_async_context(
            configuration.make_platform(settings, shared.chance, shared.clock)
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
        guard = await stack.enter_async_context(shared.build_guard())
        configured = _build_configuration(shared, platform, control)
        members = _build_membership(
            shared, platform, control, configured.puller.pull_from
        )
        probing = _build_measuring(shared, control)
        told = metrics.Metrics(
            (
                *gauges.make_gauges(
                    shared.gate, shared.roster, shared.standing
                ),
                *configured.gauges(),
                *probing.make_gauges(),
                *metrics.make_retry_gauges(shared.budget),
                *metrics.make_overload_gauges(shared.bounds, guard),
            )
        )
        booked = bookings.Bookings(
            settings, shared.roster, platform, control, shared.clock
        )
        handlers = path.build_path(shared, session, booked, guard, told)
        controls = {
            **booked.peer_handlers,
            **configured.peer_handlers,
            **members.peer_handlers,
            prober.PATH: probing.receiver.handle,
        }
        dispatch = path.make_peer_dispatch(
            settings.peer_token, handlers.handle_call, controls
        )
        fronts = (
            _build_front(limits, dispatch),
            _build_front(limits, handlers.handle_entry, half_open=True),
        )
        apps = (
            operators.build_app(shared, platform, configured, told),
            announce_api.build_app(shared.side, lambda: shared.gate.running),
        )
        stop_callers = await _listen(stack, shared, apps, fronts)
        shared.stopping = shutdown.make_stopping(
            settings,
            shared.side,
            shared.roster,
            fronts,
            lambda: booked.active,
            stop_callers,
            shared.clock,
        )
        shared.services = (*configured.services, members, probing.prober)
        for service in shared.services:
            await stack.enter_async_context(service)
        yield shared
