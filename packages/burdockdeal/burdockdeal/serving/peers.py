"""Client side of calls to the owner daemons of other upstreams."""

import asyncio
from collections import abc
import contextlib

import aiohttp

from burdockdeal.core import call
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import headers
from burdockdeal.core import load_report
from burdockdeal.core import verdict
from burdockdeal.serving import forwarding
from burdockdeal.serving import messages

#: Seconds for the rest of a refusal, whose verdict its head has reported.
_DRAIN_TIMEOUT_S = 0.1

_ERROR_CLASSES: dict[verdict.Verdict, type[errors.CallError]] = {
    verdict.Verdict.MAY_HAVE_RUN: errors.MayHaveRunError,
    verdict.Verdict.RAN: errors.RanError,
}


def _build_error(
    report: messages.OwnerReport, reason: verdict.Reason
) -> errors.CallError:
    if report.holder is not None:
        holder = report.holder
        return errors.KeyHeldError(holder.daemon, holder.incarnation)
    if report.verdict is verdict.Verdict.NOT_RUN:
        return errors.NotRunError(
            reason, report.detail, settled=report.settled
        )
    return _ERROR_CLASSES[report.verdict](reason, report.detail)


def _read_report(response: messages.Response) -> messages.OwnerReport:
    raw = response.headers.get(headers.REPORT)
    if raw is None:
        raise errors.LostResponseError(
            verdict.Reason.BROKEN_CONNECTION, "the owner gave no verdict"
        )
    try:
        return codec.decode_compact(raw, messages.OwnerReport)
    except codec.MalformedError as error:
        raise errors.LostResponseError(
            verdict.Reason.BROKEN_CONNECTION, str(error)
        ) from error


async def _drain(content: messages.BodyReader) -> None:
    """Discard the rest of a body, so that its connection can be reused.

    A connection on which the rest does not arrive is closed by its owner.
    """
    with contextlib.suppress(aiohttp.ClientError, OSError):
        async with asyncio.timeout(_DRAIN_TIMEOUT_S):
            while await content.readany():
                pass


def make_peer_opener(
    session: aiohttp.ClientSession,
    peer_token: str,
    clock: abc.Callable[[], float],
    on_report: abc.Callable[[str, int, load_report.LoadReport], None],
    on_clock: abc.Callable[[str, int, float], None],
) -> messages.OpenResponse:
    """Build the function that sends calls through other daemons.

    :param session: HTTP client for the other daemons.
    :param peer_token: the secret that daemons authenticate with.
    :param clock: returns monotonic time in seconds.
    :param on_report: called for each response with the owner daemon's name,
        the upstream's incarnation and the load.
    :param on_clock: called for each response with the owner daemon's name,
        its incarnation and its clock in seconds.
    """

    @contextlib.asynccontextmanager
    async def open_response(
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
            may_queue=send.may_queue,
        )
        async with forwarding.open_response(
            session,
            str(send.peer),
            send.outbound,
            {
                headers.ENVELOPE: codec.encode_compact(envelope).decode(),
                headers.PEER_TOKEN: peer_token,
            },
            remaining_s=send.request.deadline - now,
            expect=send.outbound.body.is_streamed,
        ) as response:
            report = _read_report(response)
            on_report(send.daemon, send.incarnation, report.load)
            on_clock(send.daemon, report.incarnation, report.clock)
            if report.reason is not None:
                await _drain(response.content)
                raise _build_error(report, report.reason)
            yield response

    return open_response
