"""The owner daemon's side: the only path to the upstream beside it."""

from collections import abc
import contextlib
import dataclasses

import aiohttp
from aiohttp import web

from burdockdeal.admission import controller
from burdockdeal.admission import state as admission
from burdockdeal.announce import api as announce_api
from burdockdeal.announce import decisions as announce
from burdockdeal.bookings import messages as bookings_messages
from burdockdeal.bookings import send_registry
from burdockdeal.core import call
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.core import headers
from burdockdeal.core import load_report
from burdockdeal.core import verdict
from burdockdeal.measurement import breaker
from burdockdeal.measurement import load_refresher
from burdockdeal.measurement import meter
from burdockdeal.retry import running
from burdockdeal.serving import bodies
from burdockdeal.serving import classification
from burdockdeal.serving import forwarding
from burdockdeal.serving import header_codec
from burdockdeal.serving import messages
from burdockdeal.serving import peer_responses
from burdockdeal.serving import refused_calls as refusals
from burdockdeal.serving import start_checks
from burdockdeal.settings import model
from burdockdeal.workspaces import decisions as workspaces

Clock = abc.Callable[[], float]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSessions:
    """The HTTP clients for the upstream.

    :param pooled: keeps its connections open for further requests.
    :param single_use: uses a new connection for each request.
    """

    pooled: aiohttp.ClientSession
    single_use: aiohttp.ClientSession


def _build_rank_policy(
    configuration: classification.CompiledConfiguration, request: call.Call
) -> admission.RankPolicy:
    found = classification.find_nearest_rank(
        configuration.ranks, request.rank, request.urgency
    )
    if found is None:
        raise errors.NotRunError(verdict.Reason.NOT_CONFIGURED)
    name, spec = found
    return admission.RankPolicy(
        name=name,
        urgency=spec.urgency,
        worth=spec.worth,
        target_s=spec.target_ms / 1000,
        floor=spec.floor,
        late_share=spec.late_share,
    )


def _check_response(
    upstream_headers: header_codec.HeaderCodec,
    send: messages.Send,
    response: messages.Response,
) -> None:
    """Check that a response is the result of running a send.

    :raises NotRunError: if the upstream reports that it did not run it.
    :raises LostResponseError: if the response belongs to another request.
    """
    if not upstream_headers.is_response_to(send, response.headers):
        raise errors.LostResponseError(
            verdict.Reason.BROKEN_CONNECTION,
            "the upstream answered another request",
        )
    if upstream_headers.is_refusal(response.status, response.headers):
        detail = f"the upstream answered {response.status}"
        raise errors.NotRunError(verdict.Reason.UPSTREAM_REFUSED, detail)


def make_upstream_opener(
    tracker: announce_api.UpstreamTracker,
    slots: controller.AdmissionController,
    sessions: UpstreamSessions,
    configuration: start_checks.GetConfiguration,
    clock: Clock,
    registry: send_registry.SendRegistry,
    prepare: abc.Callable[[messages.Send], abc.Awaitable[None]],
    response_times: meter.Meter,
    refresher: load_refresher.LoadRefresher,
    upstream_headers: header_codec.HeaderCodec,
    circuit_breaker: breaker.CircuitBreaker,
    running_calls: running.RunningCalls,
    is_evacuated: abc.Callable[[], bool] = lambda: False,
) -> messages.OpenResponse:
    """Build the function that sends calls to the upstream beside us.

    :param tracker: the state of the upstream beside this daemon.
    :param slots: the upstream's concurrency slots and the queue for them.
    :param sessions: HTTP clients for the upstream.
    :param configuration: returns the configuration in force, None before
        the first has arrived.
    :param clock: returns monotonic time in seconds.
    :param registry: decides which sends that are not idempotent may start.
    :param prepare: called with each send once it holds a slot.
    :param response_times: measures the upstream's response times.
    :param refresher: refreshes the load that the upstream reports.
    :param upstream_headers: codec for the upstream's headers.
    :param circuit_breaker: the circuit breaker of the upstream.
    :param running_calls: counts the calls in progress and the repeated ones
        among them.
    :param is_evacuated: returns whether this failure domain is evacuated.
    """

    refused_calls = refusals.RefusedCalls(clock)

    check = start_checks.make_start_check(
        tracker, configuration, registry, circuit_breaker, is_evacuated
    )

    def log_start(send: messages.Send, waited_s: float) -> None:
        reported_load = response_times.upstream_load
        event_log.record_request(
            "request_started",
            request_id=send.request.request_id,
            attempt=send.attempt,
            upstream=tracker.upstream.announce.name or None,
            waited_ms=round(waited_s * 1000, 1),
            running=slots.running,
            waiting=slots.waiting,
            remaining_ms=round((send.request.deadline - clock()) * 1000),
            slowdown=reported_load.slowdown if reported_load else None,
            slowdown_age_ms=round(response_times.upstream_load_age_s * 1000)
            if reported_load
            else None,
        )

    def log_response(send: messages.Send, status: int, spent_s: float) -> None:
        event_log.record_request(
            "upstream_answered",
            request_id=send.request.request_id,
            attempt=send.attempt,
            status=status,
            spent_ms=round(spent_s * 1000, 1),
        )

    def make_connection_check(
        send: messages.Send,
    ) -> abc.Callable[[messages.Response], bool]:
        def keeps_connection(response: messages.Response) -> bool:
            # After the response to another request, that to this one may
            # follow. Without ids, a copy of a refusal would be taken for the
            # response to the next send, which then runs although its caller
            # is told that it did not.
            received = response.headers
            return upstream_headers.is_response_to(send, received) and (
                upstream_headers.has_response_ids
                or not upstream_headers.is_refusal(response.status, received)
            )

        return keeps_connection

    def choose_session(send: messages.Send) -> aiohttp.ClientSession:
        is_repeat = send.request.request_id in refused_calls
        return sessions.single_use if is_repeat else sessions.pooled

    @contextlib.contextmanager
    def report_unreachable() -> abc.Iterator[None]:
        try:
            yield
        except errors.NotRunError as error:
            if error.reason is verdict.Reason.UNREACHABLE:
                tracker.apply(announce.Unreachable())
            raise

    @contextlib.asynccontextmanager
    async def open_response(
        send: messages.Send,
    ) -> abc.AsyncIterator[messages.Response]:
        current = configuration()
        if current is None:
            raise errors.NotRunError(verdict.Reason.NOT_CONFIGURED)
        arrived = clock()
        check(send)
        policy = _build_rank_policy(current, send.request)
        if slots.is_busy and not send.may_queue:
            raise errors.NotRunError(verdict.Reason.BUSY)
        await refresher.refresh()
        if response_times.is_slow and send.may_queue:
            refresher.poll_while(
                lambda: slots.waiting > 0 and response_times.is_slow
            )
        async with slots.hold_slot(
            policy,
            send.request.deadline,
            streamed=send.outbound.body.is_streamed,
            may_queue=send.may_queue,
            workspace=send.request.workspace,
            weight=workspaces.find_weight(
                current.workspaces, send.request.workspace
            ),
        ) as record_start:
            await prepare(send)
            # The state may have changed during the waits above. From here
            # until the first byte is written nothing else runs on the loop.
            check(send)
            record_start()
            if not send.request.idempotent:
                registry.start(*start_checks.identify_send(send))
            now = clock()
            announced = tracker.upstream.announce
            log_start(send, now - arrived)
            with (
                report_unreachable(),
                circuit_breaker.track_call() as record_response,
                running_calls.track(repeated=send.request.repeated),
                response_times.track_call(
                    timed=not send.outbound.body.is_streamed,
                    rank=send.request.rank,
                ) as record_head,
            ):
                async with forwarding.open_response(
                    choose_session(send),
                    f"{announced.host}:{announced.port}",
                    send.outbound,
                    upstream_headers.build_send_headers(
                        send, announced.name, now
                    ),
                    remaining_s=send.request.deadline - now,
                    expect=False,
                    keeps_connection=make_connection_check(send),
                ) as response:
                    record_response()
                    record_head(response.status)
                    if upstream_headers.is_refusal(
                        response.status, response.headers
                    ):
                        refused_calls.record(
                            send.request.request_id, send.request.deadline
                        )
                    _check_response(upstream_headers, send, response)
                    response_times.record_upstream_load(
                        upstream_headers.read_load(response.headers)
                    )
                    log_response(send, response.status, clock() - now)
                    yield response

    @contextlib.asynccontextmanager
    async def open_with_log(
        send: messages.Send,
    ) -> abc.AsyncIterator[messages.Response]:
        started = clock()
        try:
            async with open_response(send) as response:
                yield response
        except errors.CallError as error:
            event_log.record_request(
                "send_refused",
                request_id=send.request.request_id,
                attempt=send.attempt,
                verdict=error.outcome,
                reason=error.reason,
                detail=error.detail,
                held_ms=round((clock() - started) * 1000, 1),
                running=slots.running,
                waiting=slots.waiting,
                phase=tracker.upstream.phase,
            )
            raise

    return open_with_log


def _read_holder(
    error: errors.CallError | None,
) -> bookings_messages.Holder | None:
    if isinstance(error, errors.KeyHeldError):
        return bookings_messages.Holder(error.daemon, error.incarnation)
    return None


def make_peer_handler(
    open_response: messages.OpenResponse,
    load: abc.Callable[[], load_report.LoadReport],
    clock: Clock,
    own_peer: model.Address,
    incarnation: int,
    limits: model.Limits,
) -> abc.Callable[[web.BaseRequest], abc.Awaitable[web.StreamResponse]]:
    """Build the handler of calls that other daemons send to this one.

    :param open_response: sends a call to the upstream.
    :param load: returns the load that each response reports.
    :param clock: returns monotonic time in seconds.
    :param own_peer: this daemon's address for other daemons.
    :param incarnation: this daemon's incarnation.
    :param limits: bounds of bodies and of the pace of peers.
    """

    def build_report(
        started: float, error: errors.CallError | None = None
    ) -> str:
        spent_ms = round((clock() - started) * 1000, 3)
        answered_count = 0 if error else 1
        current = load()
        owner_report = messages.OwnerReport(
            verdict=error.outcome if error else verdict.Verdict.RAN,
            # The load still counts the call that this response answers.
            load=dataclasses.replace(
                current,
                in_flight=max(0, current.in_flight - answered_count),
                spent_ms=spent_ms,
            ),
            reason=error.reason if error else None,
            detail=error.detail if error and error.has_detail else "",
            incarnation=incarnation,
            clock=clock(),
            settled=isinstance(error, errors.NotRunError) and error.settled,
            holder=_read_holder(error),
        )
        return codec.encode_compact(owner_report).decode()

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        started = clock()
        envelope = codec.decode_compact(
            request.headers[headers.ENVELOPE], call.Envelope
        )
        outbound = messages.OutboundRequest(
            method=request.method,
            target=request.raw_path,
            headers=forwarding.copy_end_to_end_headers(request.headers),
            body=await bodies.prepare_body(request, limits),
        )
        send = messages.Send(
            request=call.extract_call(envelope, clock()),
            outbound=outbound,
            daemon=envelope.instance,
            peer=own_peer,
            incarnation=envelope.incarnation,
            attempt=envelope.attempt,
            daemon_incarnation=envelope.daemon_incarnation,
            may_queue=envelope.may_queue,
        )
        try:
            async with open_response(send) as response:
                return await forwarding.relay_response(
                    request,
                    response,
                    {headers.REPORT: build_report(started)},
                    limits,
                    remaining_s=send.request.deadline - clock(),
                    to_peer=True,
                )
        except errors.CallError as error:
            return peer_responses.PeerResponse(
                status=verdict.HTTP_STATUS[error.reason],
                headers={headers.REPORT: build_report(started, error)},
            )
        finally:
            await outbound.body.close()

    return handle
