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
from burdockdeal.core import journal
from burdockdeal.core import verdict
from burdockdeal.membership import messages as membership
from burdockdeal.overload import load_shedder
from burdockdeal.retry import absence
from burdockdeal.retry import attempts
from burdockdeal.retry import budget as budgets
from burdockdeal.routing import board
from burdockdeal.serving import bodies
from burdockdeal.serving import classify
from burdockdeal.serving import dialect
from burdockdeal.serving import messages
from burdockdeal.serving import startup
from burdockdeal.serving import transfer
from burdockdeal.settings import model

#: Count an outcome: rank and verdict.
Count = abc.Callable[[str, verdict.Verdict], None]


def make_entry(
    *,
    snapshot: abc.Callable[[], classify.Snapshot | None],
    choose: absence.Choose,
    pin_resolver: pinning.PinResolver,
    open_answer: messages.OpenAnswer,
    budget: budgets.Budget,
    guard: load_shedder.LoadShedder,
    tallies: board.Board,
    new_id: abc.Callable[[], str],
    clock: abc.Callable[[], float],
    count: Count,
    limits: model.Limits,
    speech: dialect.Dialect,
    choose_service: abc.Callable[[resources.Rule], str],
    start: startup.Startup,
    has_instance: abc.Callable[[str], bool],
) -> abc.Callable[[web.BaseRequest], abc.Awaitable[web.StreamResponse]]:
    """Make the handler of callers' requests.

    :param speech: the callers' headers.
    :param choose_service: chooses among the services of a rule.
    :param start: lets requests wait just after the daemon's start.
    :param has_instance: whether an instance of a service is known.
    """

    def log_send(send: messages.Send) -> None:
        known = tallies.describe(send.daemon, send.incarnation)
        journal.record_request(
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
    ) -> abc.AsyncIterator[messages.Answer]:
        log_send(send)
        with tallies.watch(
            send.daemon,
            send.incarnation,
            send.request.service,
            timed=not send.outbound.body.streamed,
        ) as seen:
            async with open_answer(send) as answer:
                seen.answered(answer.status)
                yield answer

    def open_to(
        work: call.Call,
        outbound: messages.Outbound,
        member: membership.Member,
        attempt: int,
        patient: bool,
    ) -> contextlib.AbstractAsyncContextManager[messages.Answer]:
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
    dispatch = pinning.make_dispatcher(
        begin,
        pin_resolver,
    )

    async def answer_call(
        request: web.BaseRequest,
        work: call.Call,
        callers: resources.CallerLimits | None,
    ) -> web.StreamResponse:
        kept = transfer.keep_end_to_end(request.headers)
        kept.update(speech.mark_origin())
        outbound = messages.Outbound(
            method=request.method,
            target=request.raw_path,
            headers=kept,
            body=await bodies.take_body(
                request,
                limits,
                callers.body_bytes if callers else math.inf,
            ),
        )
        added = speech.mark_answer(work.request_id)
        async with dispatch(work, outbound) as answer:
            return await transfer.pass_on(request, answer, added, limits)

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        request_id = new_id()
        rank = ""
        started = clock()
        standing = None

        def log_end(event: str, **fields: object) -> None:
            journal.record_request(
                event,
                request_id=request_id,
                rank=rank,
                revision=standing.revision if standing else 0,
                elapsed_ms=round((clock() - started) * 1000, 1),
                **fields,
            )

        try:
            terms = speech.read_terms(request.headers)
            request_id = terms.request_id or request_id
            await start.wait_for(lambda: snapshot() is not None)
            standing = snapshot()
            if standing is None:
                raise errors.NotRunError(verdict.Reason.NOT_CONFIGURED)
            work = classify.classify(
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
            await start.wait_for(lambda: has_instance(work.service))
            with guard.admit(work):
                answer = await answer_call(request, work, standing.callers)
            count(rank, verdict.Verdict.RAN)
            log_end("request_answered", status=answer.status)
            return answer
        except errors.CallError as error:
            count(rank, error.outcome)
            log_end(
                "request_refused",
                verdict=error.outcome,
                reason=error.reason,
                detail=error.detail,
            )
            return speech.build_refusal(error, request_id)
        except asyncio.CancelledError:
            log_end("caller_gone")
            raise

    return handle
