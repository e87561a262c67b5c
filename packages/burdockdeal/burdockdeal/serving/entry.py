"""The entry daemon's side: handles the requests of its callers."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import math

from aiohttp import web

from burdockdeal.bookings import pinning
from burdockdeal.configuration import resources
from burdockdeal.core import call
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.core import verdict
from burdockdeal.membership import messages as membership
from burdockdeal.overload import load_shedder
from burdockdeal.quotas import api as quotas
from burdockdeal.retry import attempts
from burdockdeal.retry import budget as budgets
from burdockdeal.retry import exclusion
from burdockdeal.retry import hedging
from burdockdeal.routing import tracking
from burdockdeal.serving import bodies
from burdockdeal.serving import caller_requests
from burdockdeal.serving import classification
from burdockdeal.serving import connection_end
from burdockdeal.serving import final_response
from burdockdeal.serving import forwarding
from burdockdeal.serving import header_codec
from burdockdeal.serving import messages
from burdockdeal.serving import startup
from burdockdeal.serving import targets
from burdockdeal.settings import model

#: Counts the outcome of a request, by rank and verdict.
CountOutcome = abc.Callable[[str, verdict.Verdict], None]

#: Refusals of a workspace's request, which come before it is found out which
#: daemon holds its idempotency key.
_REFUSED_BEFORE_HOLDER = frozenset(
    {
        verdict.Reason.KEY_REFUSED,
        verdict.Reason.KEY_UNCONFIRMED,
        verdict.Reason.QUOTA_EXCEEDED,
        verdict.Reason.NO_REGION,
    }
)


def make_entry_handler(
    *,
    configuration: abc.Callable[
        [], classification.CompiledConfiguration | None
    ],
    choose: exclusion.Chooser,
    pin_resolver: pinning.PinResolver,
    open_response: messages.OpenResponse,
    budget: budgets.Budget,
    shedder: load_shedder.LoadShedder,
    tracker: tracking.InstanceTracker,
    generate_id: abc.Callable[[], str],
    clock: abc.Callable[[], float],
    count_outcome: CountOutcome,
    limits: model.Limits,
    caller_headers: header_codec.HeaderCodec,
    choose_service: abc.Callable[[resources.Rule], str],
    startup_gate: startup.StartupGate,
    has_instance: abc.Callable[[call.Call], bool],
    check_placement: abc.Callable[[call.Call], None],
    limit_deadline: abc.Callable[[float], float],
    find_newer_configuration: abc.Callable[[int], abc.Awaitable[bool]],
    may_accept_keys: abc.Callable[[], bool],
    region: str,
    hedges: hedging.HedgeLimiter | None,
    charge: quotas.Charge,
) -> abc.Callable[[web.BaseRequest], abc.Awaitable[web.StreamResponse]]:
    """Build the handler of callers' requests.

    :param configuration: returns the configuration in force, None before
        the first has arrived.
    :param choose: chooses the instance for a send.
    :param pin_resolver: finds the daemon that an idempotency key is pinned to.
    :param open_response: sends a call to an instance.
    :param budget: the retry budget.
    :param shedder: bounds the requests in progress.
    :param tracker: what this daemon has observed of each instance.
    :param generate_id: returns a new request id.
    :param clock: returns monotonic time in seconds.
    :param count_outcome: counts each request that ends with a verdict.
    :param limits: bounds of bodies and of the pace of callers.
    :param caller_headers: codec for the callers' headers.
    :param choose_service: chooses among the services of a rule.
    :param startup_gate: delays requests just after the daemon's start.
    :param has_instance: returns whether an instance for a call is known.
    :param check_placement: raises NotRunError if a call may not be sent to
        any instance.
    :param limit_deadline: limits a deadline to the time until the daemon
        ends, if it is stopping.
    :param find_newer_configuration: looks whether a configuration newer than
        a revision exists, and makes it active.
    :param may_accept_keys: returns whether keys are valid, which they may not
        be while the daemon is out of touch with the store.
    :param region: the region of this daemon.
    :param hedges: limits second sends, None to limit them by the retry budget
        only.
    :param charge: charges a request against its workspace's quota. That is
        done after its body was read, so that slow bodies can't save up
        credit for a later moment.
    """

    def log_send(send: messages.Send) -> None:
        observed = tracker.describe(send.daemon, send.incarnation)
        event_log.record_request(
            "request_sent",
            request_id=send.request.request_id,
            service=send.request.service,
            instance=send.daemon,
            incarnation=send.incarnation,
            attempt=send.attempt,
            may_queue=send.may_queue or None,
            remaining_ms=round((send.request.deadline - clock()) * 1000),
            **observed,
        )

    @contextlib.asynccontextmanager
    async def watch_send(
        send: messages.Send,
    ) -> abc.AsyncIterator[messages.Response]:
        log_send(send)
        with tracker.track_call(
            send.daemon,
            send.incarnation,
            send.request.service,
            timed=not send.outbound.body.is_streamed,
        ) as tracked_call:
            async with open_response(send) as response:
                tracked_call.record_response(response.status)
                size = response.headers.get("Content-Length", "")
                if size.isdecimal():
                    tracker.response_sizes.record(send.request, int(size))
                yield response

    def open_send(
        inbound: call.Call,
        outbound: messages.OutboundRequest,
        member: membership.Member,
        attempt: int,
        may_queue: bool,
    ) -> contextlib.AbstractAsyncContextManager[messages.Response]:
        return watch_send(
            messages.Send(
                request=inbound,
                outbound=outbound,
                daemon=member.daemon,
                peer=member.peer,
                incarnation=member.upstream_incarnation,
                attempt=attempt,
                daemon_incarnation=member.incarnation,
                may_queue=may_queue,
            )
        )

    begin_sends = attempts.make_factory(
        choose=choose,
        open_response=open_send,
        budget=budget,
        clock=clock,
        region=region,
        hedges=hedges,
    )
    dispatch = pinning.make_dispatcher(
        begin_sends,
        pin_resolver,
    )

    async def forward_call(
        request: caller_requests.CallerRequest,
        target: targets.Target,
        inbound: call.Call,
        caller_limits: resources.CallerLimits | None,
        *,
        has_workspaces: bool,
    ) -> web.StreamResponse:
        forwarded = forwarding.copy_end_to_end_headers(request.headers)
        for name in caller_headers.hop_headers:
            forwarded.popall(name, None)
        if has_workspaces:
            for name in caller_headers.identity_headers:
                forwarded.popall(name, None)
        if target.authority:
            forwarded["Host"] = target.authority
        forwarded.update(caller_headers.build_origin_headers())
        outbound = messages.OutboundRequest(
            method=request.method,
            target=target.origin_form,
            headers=forwarded,
            body=await bodies.prepare_body(
                request,
                limits,
                caller_limits.body_bytes if caller_limits else math.inf,
            ),
        )
        response_headers = caller_headers.build_response_headers(
            inbound.request_id
        )
        try:
            async with (
                charge(inbound),
                final_response.open_in_time(
                    dispatch(inbound, outbound), inbound.deadline, clock
                ) as response,
            ):
                return await forwarding.relay_response(
                    request,
                    response,
                    response_headers,
                    limits,
                    remaining_s=inbound.deadline - clock(),
                    holds_back=request.has_followers,
                )
        finally:
            await outbound.body.close()

    def classify(
        current: classification.CompiledConfiguration,
        request: web.BaseRequest,
        target: targets.Target,
        metadata: header_codec.RequestMetadata,
        request_id: str,
    ) -> call.Call:
        inbound = classification.classify_request(
            current,
            request.method,
            target.path,
            target.authority or request.headers.get("Host", ""),
            metadata,
            request_id=request_id,
            now=clock(),
            body_bytes=request.content_length or 0,
            choose_service=choose_service,
        )
        if inbound.workspace and not may_accept_keys():
            raise errors.NotRunError(verdict.Reason.KEY_UNCONFIRMED)
        return dataclasses.replace(
            inbound, deadline=limit_deadline(inbound.deadline)
        )

    async def handle(
        request: caller_requests.CallerRequest,
    ) -> web.StreamResponse:
        request_id = generate_id()
        rank = ""
        started = clock()
        current = None
        metadata = header_codec.RequestMetadata()

        def log_end(event: str, **fields: object) -> None:
            event_log.record_request(
                event,
                request_id=request_id,
                rank=rank,
                revision=current.revision if current else 0,
                elapsed_ms=round((clock() - started) * 1000, 1),
                **fields,
            )

        try:
            metadata = caller_headers.read_metadata(request.headers)
            request_id = metadata.request_id or request_id
            target = targets.parse_target(request.raw_path)
            await startup_gate.wait_for(lambda: configuration() is not None)
            current = configuration()
            if current is None:
                raise errors.NotRunError(verdict.Reason.NOT_CONFIGURED)
            try:
                inbound = classify(
                    current, request, target, metadata, request_id
                )
            except errors.NotRunError as error:
                if error.reason is not verdict.Reason.KEY_REFUSED:
                    raise
                if not await find_newer_configuration(current.revision):
                    raise
                current = configuration()
                inbound = classify(
                    current, request, target, metadata, request_id
                )
            rank = inbound.rank
            await startup_gate.wait_for(lambda: has_instance(inbound))
            check_placement(inbound)
            with shedder.admit(inbound):
                response = await forward_call(
                    request,
                    target,
                    inbound,
                    current.caller_limits,
                    has_workspaces=not current.workspaces.is_empty,
                )
            count_outcome(rank, verdict.Verdict.RAN)
            log_end("request_answered", status=response.status)
            return response
        except errors.CallError as raised:
            error = _judge_keyed_call(raised, metadata)
            count_outcome(rank, error.outcome)
            log_end(
                "request_refused",
                verdict=error.outcome,
                reason=error.reason,
                detail=error.detail,
            )
            return caller_headers.build_error_response(error, request_id)
        except forwarding.TruncatedResponseError as truncated:
            # It is sent if nothing of the response was; otherwise the
            # response ends with its connection.
            error = errors.RanError(truncated.reason, str(truncated))
            count_outcome(rank, error.outcome)
            log_end(
                "response_truncated",
                verdict=error.outcome,
                reason=error.reason,
                detail=error.detail,
            )
            return caller_headers.build_error_response(error, request_id)
        except asyncio.CancelledError as cancelled:
            cause = connection_end.find_cause(cancelled)
            if cause is connection_end.Cause.CALLER_GONE:
                log_end("caller_gone")
            else:
                log_end("request_cancelled", cause=cause)
            raise

    return handle


def _judge_keyed_call(
    error: errors.CallError, metadata: header_codec.RequestMetadata
) -> errors.CallError:
    """Return the error for a caller whose request has an idempotency key.

    An earlier request with the key may have run, whatever this one was
    refused for before the holder of the key was asked.
    """
    is_keyed = metadata.idempotency_key is not None
    if is_keyed and error.reason in _REFUSED_BEFORE_HOLDER:
        return errors.MayHaveRunError(error.reason, error.detail)
    return error
