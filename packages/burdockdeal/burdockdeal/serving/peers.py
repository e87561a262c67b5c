"""Sending calls to the owners of other upstreams."""

from collections import abc
import contextlib

import aiohttp

from burdockdeal.core import call
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import headers
from burdockdeal.core import verdict
from burdockdeal.routing import state as routing
from burdockdeal.serving import forwarding
from burdockdeal.serving import messages

_ERRORS: dict[verdict.Verdict, type[errors.CallError]] = {
    verdict.Verdict.MAY_HAVE_RUN: errors.MayHaveRunError,
    verdict.Verdict.RAN: errors.RanError,
}


def _read_error(
    told: messages.OwnerReport, reason: verdict.Reason
) -> errors.CallError:
    if told.holder is not None:
        holder = told.holder
        return errors.KeyHeldError(holder.daemon, holder.incarnation)
    if told.verdict is verdict.Verdict.NOT_RUN:
        return errors.NotRunError(reason, told.detail, settled=told.settled)
    return _ERRORS[told.verdict](reason, told.detail)


def _read_report(answer: messages.Response) -> messages.OwnerReport:
    raw = answer.headers.get(headers.REPORT)
    if raw is None:
        raise errors.LostResponseError(
            verdict.Reason.BROKEN_CONNECTION, "the owner gave no verdict"
        )
    try:
        return codec.decode(raw, messages.OwnerReport)
    except codec.MalformedError as error:
        raise errors.LostResponseError(
            verdict.Reason.BROKEN_CONNECTION, str(error)
        ) from error


async def _read_to_end(content: messages.BodyReader) -> None:
    """Read a body that nobody wants, so that its connection can be kept."""
    while await content.readany():
        pass


def make_peer_opener(
    session: aiohttp.ClientSession,
    peer_token: str,
    clock: abc.Callable[[], float],
    on_report: abc.Callable[[str, int, routing.Report], None],
    on_clock: abc.Callable[[str, int, float], None],
) -> messages.OpenResponse:
    """Make the function that opens answers through other daemons.

    :param on_report: called with daemon, incarnation and load of each.
    :param on_clock: called with daemon, its own incarnation and clock.
    """

    @contextlib.asynccontextmanager
    async def open_answer(
        send: messages.Send,
    ) -> abc.AsyncIterator[messages.Response]:
        now = clock()
        envelope = call.build_envelope(
            send.request,
            send.daemon,
            send.incarnation,
            send.attempt,
            now,
            daemon_incarnation=send.daemon_incarnation,
            sent_at=send.sent_at,
            patient=send.patient,
        )
        async with forwarding.open_response(
            session,
            f"http://{send.peer}",
            send.outbound,
            {
                headers.ENVELOPE: codec.encode(envelope).decode(),
                headers.PEER_TOKEN: peer_token,
            },
            remaining_s=send.request.deadline - now,
            expect=send.outbound.body.is_streamed,
        ) as answer:
            told = _read_report(answer)
            on_report(send.daemon, send.incarnation, told.load)
            on_clock(send.daemon, told.incarnation, told.clock)
            if told.reason is not None:
                await _read_to_end(answer.content)
                raise _read_error(told, told.reason)
            yield answer

    return open_answer
