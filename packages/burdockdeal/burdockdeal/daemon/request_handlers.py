"""The path of requests through one daemon, put together."""

from collections import abc
import contextlib
import dataclasses
import secrets

import aiohttp
from aiohttp import web

from burdockdeal.bookings import assembly as bookings
from burdockdeal.core import errors
from burdockdeal.core import headers
from burdockdeal.core import verdict
from burdockdeal.daemon import components
from burdockdeal.daemon import metrics
from burdockdeal.measurement import load_refresher
from burdockdeal.overload import load_shedder
from burdockdeal.retry import exclusion
from burdockdeal.routing import selection
from burdockdeal.serving import entry
from burdockdeal.serving import http_server
from burdockdeal.serving import messages
from burdockdeal.serving import owner
from burdockdeal.serving import peers


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHandlers:
    """The handlers of one daemon's requests.

    :param handle_entry: answers callers.
    :param handle_call: answers the calls that other daemons send.
    """

    handle_entry: http_server.Handler
    handle_call: http_server.Handler


def make_instance_chooser(shared: components.Components) -> exclusion.Chooser:
    """Make the function that chooses an instance for a call."""
    return selection.make_chooser(
        shared.settings.policy,
        shared.rng,
        shared.instance_tracker,
        list_serving=shared.roster.list_serving,
        services=lambda: (
            shared.compiled_configuration.services
            if shared.compiled_configuration
            else {}
        ),
        ranks=lambda: (
            shared.compiled_configuration.ranks
            if shared.compiled_configuration
            else {}
        ),
    )


def _make_open_answer(
    daemon: str, local: messages.OpenResponse, remote: messages.OpenResponse
) -> messages.OpenResponse:
    def open_answer(
        send: messages.Send,
    ) -> contextlib.AbstractAsyncContextManager[messages.Response]:
        return (local if send.daemon == daemon else remote)(send)

    return open_answer


def build_request_handlers(
    shared: components.Components,
    session: aiohttp.ClientSession,
    booked: bookings.Bookings,
    guard: load_shedder.LoadShedder,
    fresh: load_refresher.LoadRefresher,
    told: metrics.Metrics,
) -> RequestHandlers:
    """Put the path of requests together.

    :param session: connections to upstreams and to other daemons.
    :param fresh: keeps what the upstream tells of its load fresh.
    """
    settings = shared.settings
    choose = make_instance_chooser(shared)
    local = booked.keep_runs(
        owner.make_upstream_opener(
            shared.upstream_tracker,
            shared.admission,
            session,
            lambda: shared.compiled_configuration,
            shared.clock,
            booked.ledger,
            booked.prepare,
            shared.meter,
            fresh,
            shared.header_codec,
            shared.circuit_breaker,
            shared.running_calls,
        )
    )
    remote = booked.guard_sends(
        peers.make_peer_opener(
            session,
            settings.peer_token,
            shared.clock,
            shared.instance_tracker.record_report,
            booked.clocks.note,
        )
    )
    handle_call = owner.make_peer_handler(
        local,
        shared.build_load_report,
        shared.clock,
        settings.listen.peer,
        shared.roster.own.incarnation,
        settings.limits,
    )
    handle_entry = entry.make_entry_handler(
        configuration=lambda: shared.compiled_configuration,
        choose=choose,
        pins=booked.pins,
        open_response=_make_open_answer(settings.daemon, local, remote),
        budget=shared.retry_budget,
        guard=guard,
        tracker=shared.instance_tracker,
        generate_id=lambda: secrets.token_hex(8),
        clock=shared.clock,
        count_outcome=told.count_outcome,
        limits=settings.limits,
        caller_headers=shared.header_codec,
        choose_service=shared.traffic_splitter.choose_service,
        startup_gate=shared.startup_gate,
        has_instance=lambda name: bool(shared.roster.list_serving(name)),
    )
    return RequestHandlers(
        booked.answer_keys(handle_entry, choose), handle_call
    )


def make_peer_dispatcher(
    peer_token: str,
    handle_call: http_server.Handler,
    controls: abc.Mapping[str, http_server.Handler],
) -> http_server.Handler:
    """Make the handler of all that other daemons send.

    :param controls: the handlers of control messages, by path.
    """
    token = peer_token.encode()

    async def dispatch(request: web.BaseRequest) -> web.StreamResponse:
        given = request.headers.get(headers.PEER_TOKEN, "").encode()
        if not secrets.compare_digest(given, token):
            raise errors.NotRunError(verdict.Reason.UNAUTHENTICATED)
        if headers.ENVELOPE in request.headers:
            return await handle_call(request)
        control = controls.get(request.path)
        if control is None:
            raise errors.NotRunError(verdict.Reason.NO_RULE)
        return await control(request)

    return dispatch
