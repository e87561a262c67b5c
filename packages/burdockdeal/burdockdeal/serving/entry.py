"""The entry: takes a caller's request and sees it answered."""

import asyncio
from collections import abc
import contextlib
import math

from aiohttp import web

from burdockdeal.bookings import pinning
from burdockdeal.configuration import resources
from burdockdeal.core import call
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.core import verdict
from burdockdeal.membership import messages as membership
from burdockdeal.overload import guard as guards
from burdockdeal.retry import absence
from burdockdeal.retry import attempts
from burdockdeal.retry import budget as budgets
from burdockdeal.routing import board
from burdockdeal.serving import bodies
from burdockdeal.serving import classification
from burdockdeal.serving import forwarding
from burdockdeal.serving import header_codec
from burdockdeal.serving import messages
from burdockdeal.serving import startup
from burdockdeal.settings import model

#: Count an outcome: rank and verdict.
CountOutcome = abc.Callable[[str, verdict.Verdict], None]


def make_entry_handler(
    *,
    configuration: abc.Callable[
        [], classification.CompiledConfiguration | None
    ],
    choose: absence.Choose,
    pins: pinning.Pins,
    open_response: messages.OpenResponse,
    budget: budgets.Budget,
    guard: guards.Guard,
    observations: board.Board,
    generate_id: abc.Callable[[], str],
    clock: abc.Callable[[], float],
    count_outcome: CountOutcome,
    limits: model.Limits,
    caller_headers: header_codec.HeaderCodec,
    choose_service: abc.Callable[[resources.Rule], str],
    startup_gate: startup.StartupGate,
    has_instance: abc.Callable[[str], bool],
) -> abc.Callable[[web.BaseRequest], abc.Awaitable[web.StreamResponse]]:
    """Make the handler of callers' requests.

    :param caller_headers: the callers' headers.
    :param choose_service: chooses among the services of a rule.
    :param startup_gate: lets requests wait just after the daemon's start.
    :param has_instance: whether an instance of a service is known.
    """

    def log_send(send: messages.Send) -> None:
        known = observations.describe(send.daemon, send.incarnation)
        event_log.record_request(
            "request_sent",
            request_id=send.request.request_id,
            service=send.request.service,
            instance=send.daemon,
            incarnation=send.incarnation,
            attempt=send.attempt,
            patient=send.patient or None,
            remaining_ms=round((send.request.deadline - clock()) * 1000),
            **known,
        )

    @contextlib.asynccontextmanager
    async def watch_send(
        send: messages.Send,
    ) -> abc.AsyncIterator[messages.Response]:
        log_send(send)
        with observations.watch(
            send.daemon,
            send.incarnation,
            send.request.service,
            timed=not send.outbound.body.is_streamed,
        ) as seen:
            async with open_response(send) as answer:
                seen.answered(answer.status)
                yield answer

    def open_to(
        work: call.Call,
        outbound: messages.OutboundRequest,
        member: membership.Member,
        attempt: int,
        patient: bool,
    ) -> contextlib.AbstractAsyncContextManager[messages.Response]:
        return watch_send(
            messages.Send(
                request=work,
                outbound=outbound,
                daemon=member.daemon,
                peer=member.peer,
                incarnation=member.upstream_incarnation,
                attempt=attempt,
                daemon_incarnation=member.incarnation,
                patient=patient,
            )
        )

    begin = attempts.make_begin(
        choose=choose, open_to=open_to, budget=budget, clock=clock
    )
    dispatch = pinning.make_dispatch(
        begin,
        pins,
    )

    async def answer_call(
        request: web.BaseRequest,
        work: call.Call,
        callers: resources.CallerLimits | None,
    ) -> web.StreamResponse:
        kept = forwarding.copy_end_to_end_headers(request.headers)
        kept.update(caller_headers.build_origin_headers())
        outbound = messages.OutboundRequest(
            method=request.method,
            target=request.raw_path,
            headers=kept,
            body=await bodies.prepare_body(
                request,
                limits,
                callers.body_bytes if callers else math.inf,
            ),
        )
        added = caller_headers.build_response_headers(work.request_id)
        async with dispatch(work, outbound) as answer:
            return await forwarding.relay_response(
                request, answer, added, limits
            )

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        request_id = generate_id()
        rank = ""
        started = clock()
        standing = None

        def log_end(event: str, **fields: object) -> None:
            event_log.record_request(
                event,
                request_id=request_id,
                rank=rank,
                revision=standing.revision if standing else 0,
                elapsed_ms=round((clock() - started) * 1000, 1),
                **fields,
            )

        try:
            terms = caller_headers.read_metadata(request.headers)
            request_id = terms.request_id or request_id
            await startup_gate.wait_for(lambda: configuration() is not None)
            standing = configuration()
            if standing is None:
                raise errors.NotRunError(verdict.Reason.NOT_CONFIGURED)
            work = classification.classify_request(
                standing,
                request.method,
                request.path,
                request.headers.get("Host", ""),
                terms,
                request_id=request_id,
                now=clock(),
                body_bytes=request.content_length or 0,
                choose_service=choose_service,
            )
            rank = work.rank
            await startup_gate.wait_for(lambda: has_instance(work.service))
            with guard.hold(work):
                answer = await answer_call(request, work, standing.callers)
            count_outcome(rank, verdict.Verdict.RAN)
            log_end("request_answered", status=answer.status)
            return answer
        except errors.CallError as error:
            count_outcome(rank, error.outcome)
            log_end(
                "request_refused",
                verdict=error.outcome,
                reason=error.reason,
                detail=error.detail,
            )
            return caller_headers.build_error_response(error, request_id)
        except asyncio.CancelledError:
            log_end("caller_gone")
            raise

    return handle
