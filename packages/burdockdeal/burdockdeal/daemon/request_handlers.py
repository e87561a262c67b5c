"""Assembly of the handlers of calls and messages in one daemon."""

from collections import abc
import contextlib
import dataclasses
import secrets

from aiohttp import web

from burdockdeal.bookings import assembly as bookings
from burdockdeal.configuration import newer_lookup
from burdockdeal.core import errors
from burdockdeal.core import headers
from burdockdeal.core import verdict
from burdockdeal.daemon import components
from burdockdeal.daemon import metrics
from burdockdeal.evacuation import placement
from burdockdeal.measurement import load_refresher
from burdockdeal.overload import load_shedder
from burdockdeal.quotas import api as quotas
from burdockdeal.retry import exclusion
from burdockdeal.routing import selection
from burdockdeal.serving import entry
from burdockdeal.serving import http_server
from burdockdeal.serving import messages
from burdockdeal.serving import owner
from burdockdeal.serving import peers


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHandlers:
    """The handlers of a daemon's requests.

    :param handle_entry: handles the requests of callers.
    :param handle_call: handles the calls that other daemons send.
    """

    handle_entry: http_server.Handler
    handle_call: http_server.Handler


def make_instance_chooser(shared: components.Components) -> exclusion.Chooser:
    """Make the function that chooses an instance for a call."""
    return selection.make_chooser(
        shared.settings.policy,
        shared.rng,
        shared.instance_tracker,
        list_serving=shared.list_serving,
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


def _make_response_opener(
    daemon: str,
    open_local: messages.OpenResponse,
    open_remote: messages.OpenResponse,
) -> messages.OpenResponse:
    def open_response(
        send: messages.Send,
    ) -> contextlib.AbstractAsyncContextManager[messages.Response]:
        return (open_local if send.daemon == daemon else open_remote)(send)

    return open_response


def build_request_handlers(
    shared: components.Components,
    sessions: owner.UpstreamSessions,
    at_most_once: bookings.AtMostOnceExecution,
    shedder: load_shedder.LoadShedder,
    refresher: load_refresher.LoadRefresher,
    daemon_metrics: metrics.Metrics,
    lookup: newer_lookup.NewerLookup,
    charge: quotas.Charge,
) -> RequestHandlers:
    """Build the handlers for callers and for the calls of other daemons.

    :param sessions: the HTTP clients for the upstream; the one that keeps
        its connections is also used for other daemons.
    :param at_most_once: keeps a call from running more than once.
    :param shedder: sheds requests at the entry under overload.
    :param refresher: queries the upstream for its load when the known one
        is out of date.
    :param daemon_metrics: counts the outcomes of requests.
    :param lookup: looks for a newer configuration before a key is refused.
    :param charge: charges a request against its workspace's quota.
    """
    settings = shared.settings
    has_instance = selection.make_instance_check(shared.list_serving)
    check_placement = placement.make_placement_check(
        has_instance, shared.evacuations
    )
    choose = make_instance_chooser(shared)
    open_local = at_most_once.deduplicate_keyed_calls(
        owner.make_upstream_opener(
            shared.upstream_tracker,
            shared.admission,
            sessions,
            lambda: shared.compiled_configuration,
            shared.clock,
            at_most_once.send_registry,
            at_most_once.claim_key,
            shared.meter,
            refresher,
            shared.header_codec,
            shared.circuit_breaker,
            shared.running_calls,
            shared.is_evacuated,
        )
    )
    open_remote = at_most_once.fence_lost_sends(
        peers.make_peer_opener(
            sessions.pooled,
            settings.peer_token,
            shared.clock,
            shared.instance_tracker.record_report,
            at_most_once.peer_clocks.record,
        )
    )
    handle_call = owner.make_peer_handler(
        open_local,
        shared.build_load_report,
        shared.clock,
        settings.listen.peer,
        shared.roster.own.incarnation,
        settings.limits,
    )
    handle_entry = entry.make_entry_handler(
        configuration=lambda: shared.compiled_configuration,
        choose=choose,
        pin_resolver=at_most_once.pin_resolver,
        open_response=_make_response_opener(
            settings.daemon, open_local, open_remote
        ),
        budget=shared.retry_budget,
        shedder=shedder,
        tracker=shared.instance_tracker,
        generate_id=lambda: secrets.token_hex(8),
        clock=shared.clock,
        count_outcome=daemon_metrics.count_outcome,
        limits=settings.limits,
        caller_headers=shared.header_codec,
        choose_service=shared.traffic_splitter.choose_service,
        startup_gate=shared.startup_gate,
        has_instance=has_instance,
        check_placement=check_placement,
        limit_deadline=lambda deadline: (
            shared.shutdown_controller.limit_deadline(deadline)
        ),
        find_newer_configuration=lookup.find_newer_than,
        may_accept_keys=shared.confirmation.is_recent,
        region=settings.region,
        hedges=shared.hedges,
        charge=charge,
    )
    return RequestHandlers(
        at_most_once.serve_key_requests(handle_entry, choose), handle_call
    )


def make_peer_dispatcher(
    peer_token: str,
    handle_call: http_server.Handler,
    control_handlers: abc.Mapping[str, http_server.Handler],
) -> http_server.Handler:
    """Make the handler of all requests from other daemons.

    It checks the peer token first.

    :param peer_token: the secret that all daemons share.
    :param handle_call: handles the calls.
    :param control_handlers: the handlers of control messages, by path.
    """
    expected = peer_token.encode()

    async def dispatch(request: web.BaseRequest) -> web.StreamResponse:
        given = request.headers.get(headers.PEER_TOKEN, "").encode()
        if not secrets.compare_digest(given, expected):
            raise errors.NotRunError(verdict.Reason.UNAUTHENTICATED)
        if headers.ENVELOPE in request.headers:
            return await handle_call(request)
        handle_control = control_handlers.get(request.path)
        if handle_control is None:
            raise errors.NotRunError(verdict.Reason.NO_RULE)
        return await handle_control(request)

    return dispatch
