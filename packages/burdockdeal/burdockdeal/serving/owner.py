"""The owner: the only way into the upstream beside this daemon."""

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
from burdockdeal.bookings import state as bookings
from burdockdeal.configuration import resources
from burdockdeal.core import call
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import headers
from burdockdeal.core import journal
from burdockdeal.core import verdict
from burdockdeal.measurement import breaker
from burdockdeal.measurement import load_refresher
from burdockdeal.measurement import meter
from burdockdeal.retry import lineage as lineages
from burdockdeal.routing import state as routing
from burdockdeal.serving import bodies
from burdockdeal.serving import classify
from burdockdeal.serving import dialect
from burdockdeal.serving import messages
from burdockdeal.serving import transfer
from burdockdeal.settings import model

Clock = abc.Callable[[], float]


def _terms(snapshot: classify.Snapshot, rank: str) -> admission.RankPolicy:
    spec: resources.Rank | None = snapshot.ranks.get(rank)
    if spec is None:
        raise errors.NotRunError(verdict.Reason.UNKNOWN_RANK)
    return admission.RankPolicy(
        name=rank,
        urgency=spec.urgency,
        worth=spec.worth,
        target_s=spec.target_ms / 1000,
        floor=spec.floor,
        late_share=spec.late_share,
    )


def _name_send(
    send: messages.Send,
) -> tuple[bookings.SendId, int, float]:
    request = send.request
    name = bookings.SendId(request.request_id, send.attempt)
    return name, send.daemon_incarnation, request.deadline


def _check_answer(
    speech: dialect.Dialect,
    send: messages.Send,
    answer: messages.Answer,
) -> None:
    """Check that an answer belongs to a send that ran.

    :raises NotRunError: if the upstream says that it refused the request.
    :raises LostAnswerError: if the answer is that to another request.
    """
    if not speech.is_answer_to(send, answer.headers):
        raise errors.LostAnswerError(
            verdict.Reason.BROKEN_CONNECTION,
            "the upstream answered another request",
        )
    if speech.is_refusal(answer.status, answer.headers):
        detail = f"the upstream answered {answer.status}"
        raise errors.NotRunError(verdict.Reason.UPSTREAM_REFUSED, detail)


def make_owner(
    side: announce_api.UpstreamTracker,
    slots: controller.AdmissionController,
    session: aiohttp.ClientSession,
    snapshot: abc.Callable[[], classify.Snapshot | None],
    clock: Clock,
    registry: send_registry.SendRegistry,
    prepare: abc.Callable[[messages.Send], abc.Awaitable[None]],
    times: meter.Meter,
    fresh: load_refresher.LoadRefresher,
    speech: dialect.Dialect,
    circuit: breaker.CircuitBreaker,
    lineage: lineages.Lineage,
) -> messages.OpenAnswer:
    """Make the function that opens answers of the upstream beside us.

    :param snapshot: returns the configuration in force, None before one.
    :param registry: knows which sends may start.
    :param prepare: called with each send once it has its slot.
    :param times: takes how long the upstream takes.
    :param fresh: keeps what the upstream tells of its load fresh.
    :param speech: the upstream's headers.
    :param circuit: tells whether the upstream answers at all.
    :param lineage: counts which calls were sent before.
    """

    def check(send: messages.Send) -> None:
        if not side.may_start_call():
            raise errors.NotRunError(verdict.Reason.DRAINING)
        announced = side.upstream.announce
        if (
            send.incarnation != side.upstream.incarnation
            or announced is None
            or announced.service != send.request.service
        ):
            raise errors.NotRunError(verdict.Reason.STALE_INSTANCE)
        if not circuit.allows_call(
            send.incarnation, idempotent=send.request.idempotent
        ):
            raise errors.NotRunError(verdict.Reason.FAILING)
        if not send.request.idempotent:
            registry.check(*_name_send(send))

    def log_start(send: messages.Send, waited_s: float) -> None:
        told = times.upstream_load
        journal.record_request(
            "request_started",
            request_id=send.request.request_id,
            attempt=send.attempt,
            upstream=side.upstream.announce.name or None,
            waited_ms=round(waited_s * 1000, 1),
            running=slots.running,
            waiting=slots.waiting,
            remaining_ms=round((send.request.deadline - clock()) * 1000),
            slowdown=told.slowdown if told else None,
            told_age_ms=round(times.upstream_load_age_s * 1000)
            if told
            else None,
        )

    def log_answer(send: messages.Send, status: int, spent_s: float) -> None:
        journal.record_request(
            "upstream_answered",
            request_id=send.request.request_id,
            attempt=send.attempt,
            status=status,
            spent_ms=round(spent_s * 1000, 1),
        )

    @contextlib.contextmanager
    def watch_address() -> abc.Iterator[None]:
        try:
            yield
        except errors.NotRunError as error:
            if error.reason is verdict.Reason.UNREACHABLE:
                side.apply(announce.Unreachable())
            raise

    @contextlib.asynccontextmanager
    async def open_answer(
        send: messages.Send,
    ) -> abc.AsyncIterator[messages.Answer]:
        standing = snapshot()
        if standing is None:
            raise errors.NotRunError(verdict.Reason.NOT_CONFIGURED)
        arrived = clock()
        check(send)
        terms = _terms(standing, send.request.rank)
        if slots.is_busy and not send.patient:
            raise errors.NotRunError(verdict.Reason.BUSY)
        await fresh.refresh()
        if times.is_slow and send.patient:
            fresh.poll_while(lambda: slots.waiting > 0 and times.is_slow)
        async with slots.hold_slot(
            terms,
            send.request.deadline,
            streamed=send.outbound.body.streamed,
            may_queue=send.patient,
        ):
            await prepare(send)
            # The waits may have been long. From here to the first byte
            # that is written nothing else runs on the loop.
            check(send)
            if not send.request.idempotent:
                registry.start(*_name_send(send))
            now = clock()
            announced = side.upstream.announce
            log_start(send, now - arrived)
            with (
                watch_address(),
                circuit.track_call() as note_answer,
                lineage.hold(repeated=send.request.repeated),
                times.track_call(
                    timed=not send.outbound.body.streamed
                ) as head,
            ):
                async with transfer.open_response(
                    session,
                    f"http://{announced.host}:{announced.port}",
                    send.outbound,
                    speech.mark_send(send, announced.name, now),
                    remaining_s=send.request.deadline - now,
                    expect=False,
                ) as answer:
                    note_answer()
                    head(answer.status)
                    _check_answer(speech, send, answer)
                    times.record_upstream_load(
                        speech.read_load(answer.headers)
                    )
                    log_answer(send, answer.status, clock() - now)
                    yield answer

    @contextlib.asynccontextmanager
    async def open_logged(
        send: messages.Send,
    ) -> abc.AsyncIterator[messages.Answer]:
        started = clock()
        try:
            async with open_answer(send) as answer:
                yield answer
        except errors.CallError as error:
            journal.record_request(
                "send_refused",
                request_id=send.request.request_id,
                attempt=send.attempt,
                verdict=error.outcome,
                reason=error.reason,
                detail=error.detail,
                held_ms=round((clock() - started) * 1000, 1),
                running=slots.running,
                waiting=slots.waiting,
                phase=side.upstream.phase,
            )
            raise

    return open_logged


def _read_holder(
    error: errors.CallError | None,
) -> bookings_messages.Holder | None:
    if isinstance(error, errors.KeyHeldError):
        return bookings_messages.Holder(error.daemon, error.incarnation)
    return None


def make_peer_handler(
    open_answer: messages.OpenAnswer,
    load: abc.Callable[[], routing.Report],
    clock: Clock,
    own_peer: model.Address,
    incarnation: int,
    limits: model.Limits,
) -> abc.Callable[[web.BaseRequest], abc.Awaitable[web.StreamResponse]]:
    """Make the handler of calls that other daemons send to this one.

    :param load: returns the load that is put on each answer.
    :param incarnation: of this daemon.
    """

    def report(started: float, error: errors.CallError | None = None) -> str:
        spent_ms = round((clock() - started) * 1000, 3)
        answered = 0 if error else 1
        standing = load()
        told = messages.OwnerReport(
            verdict=error.outcome if error else verdict.Verdict.RAN,
            # The call that is answered here is as good as gone.
            load=dataclasses.replace(
                standing,
                in_flight=max(0, standing.in_flight - answered),
                spent_ms=spent_ms,
            ),
            reason=error.reason if error else None,
            detail=error.detail if error else "",
            incarnation=incarnation,
            clock=clock(),
            settled=isinstance(error, errors.NotRunError) and error.settled,
            holder=_read_holder(error),
        )
        return codec.encode(told).decode()

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        started = clock()
        envelope = codec.decode(
            request.headers[headers.ENVELOPE], call.Envelope
        )
        outbound = messages.Outbound(
            method=request.method,
            target=request.raw_path,
            headers=transfer.keep_end_to_end(request.headers),
            body=await bodies.take_body(request, limits),
        )
        send = messages.Send(
            request=call.unseal(envelope, clock()),
            outbound=outbound,
            daemon=envelope.instance,
            peer=own_peer,
            incarnation=envelope.incarnation,
            attempt=envelope.attempt,
            daemon_incarnation=envelope.daemon_incarnation,
            patient=envelope.patient,
        )
        try:
            async with open_answer(send) as answer:
                return await transfer.pass_on(
                    request,
                    answer,
                    {headers.REPORT: report(started)},
                    limits,
                )
        except errors.CallError as error:
            return web.Response(
                status=verdict.HTTP_STATUS[error.reason],
                headers={headers.REPORT: report(started, error)},
            )

    return handle
