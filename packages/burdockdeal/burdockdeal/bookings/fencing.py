"""Fencing, by the sender, of sends whose responses were lost."""

import asyncio
from collections import abc
import contextlib
import dataclasses

import aiohttp

from burdockdeal.bookings import messages
from burdockdeal.bookings import peer_clocks
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.core import headers
from burdockdeal.core import verdict
from burdockdeal.overload import body_io
from burdockdeal.serving import messages as serving
from burdockdeal.settings import model

#: Seconds to wait before each attempt to query the fate of a send.
_RETRY_DELAYS_S = (0.0, 0.1, 0.4)
_TIMEOUT_S = 0.5

#: Seconds after a call's deadline for which the fate of its send is still
#: awaited: a round trip to a daemon that responds. If the send has not run,
#: the caller can still be told so.
FATE_GRACE_S = 0.15

_FAILURES = (
    aiohttp.ClientError,
    asyncio.TimeoutError,
    codec.MalformedError,
    OSError,
)

FENCE_PATH = "/v1/peer/fence"
CLOCK_PATH = "/v1/peer/clock"

#: Queries a daemon's clock, given the seconds to wait; returns None if the
#: daemon does not respond.
QueryClock = abc.Callable[
    [model.Address, float], abc.Awaitable[messages.Clock | None]
]

#: Queries the fate of a send, which fences it if it has not started, given
#: the seconds to wait; returns UNKNOWN if the daemon does not respond.
QueryFate = abc.Callable[
    [model.Address, messages.Fence, float], abc.Awaitable[messages.Fate]
]

#: Returns a lower bound in seconds of a daemon's clock, given its name, its
#: incarnation, its address and the seconds to wait.
ReadClock = abc.Callable[
    [str, int, model.Address, float], abc.Awaitable[float]
]


def make_peer_queries(
    session: aiohttp.ClientSession,
    peer_token: str,
    clock: abc.Callable[[], float],
) -> tuple[QueryClock, QueryFate]:
    """Build the functions that query other daemons.

    :param session: HTTP client for messages between daemons.
    :param peer_token: the token that all daemons share.
    :param clock: returns monotonic time in seconds.
    """

    async def post(
        peer: model.Address,
        path: str,
        body: bytes,
        kind: type[codec.T],
        within_s: float,
    ) -> codec.T | None:
        timeout_s = min(_TIMEOUT_S, within_s)
        if timeout_s <= 0:
            return None
        try:
            async with session.post(
                f"http://{peer}{path}",
                data=body,
                headers={headers.PEER_TOKEN: peer_token},
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                response.raise_for_status()
                return codec.decode(
                    await body_io.read_whole_response(response), kind
                )
        except _FAILURES as error:
            event_log.debug(
                "peer_query_failed", peer=peer, path=path, error=error
            )
            return None

    async def query_clock(
        peer: model.Address, within_s: float
    ) -> messages.Clock | None:
        return await post(peer, CLOCK_PATH, b"", messages.Clock, within_s)

    async def query_fate(
        peer: model.Address, fence: messages.Fence, within_s: float
    ) -> messages.Fate:
        ends_at = clock() + within_s
        for delay_s in _RETRY_DELAYS_S:
            if clock() + delay_s >= ends_at:
                break
            await asyncio.sleep(delay_s)
            fenced = await post(
                peer,
                FENCE_PATH,
                codec.encode(fence),
                messages.Fenced,
                ends_at - clock(),
            )
            if fenced is not None:
                return fenced.fate
        return messages.Fate.UNKNOWN

    return query_clock, query_fate


def make_clock_reader(
    clocks: peer_clocks.PeerClocks, query_clock: QueryClock
) -> ReadClock:
    """Build the function that estimates a daemon's clock.

    It queries the daemon if there is no recent reading of its clock.

    :param clocks: estimates the clocks of other daemons.
    :param query_clock: queries a daemon's clock.
    :returns: the function; it raises NotRunError if the clock is not known.
    """

    async def read_clock(
        daemon: str, incarnation: int, peer: model.Address, within_s: float
    ) -> float:
        if clocks.estimate(daemon, incarnation) is None:
            reading = await query_clock(peer, within_s)
            if reading is not None:
                clocks.record(daemon, reading.incarnation, reading.now)
        estimate = clocks.estimate(daemon, incarnation)
        if estimate is None:
            raise errors.NotRunError(verdict.Reason.UNREACHABLE)
        return estimate

    return read_clock


def make_fencing_opener(
    open_remote: serving.OpenResponse,
    clocks: peer_clocks.PeerClocks,
    query_clock: QueryClock,
    query_fate: QueryFate,
    clock: abc.Callable[[], float],
) -> serving.OpenResponse:
    """Build an opener that fences sends whose responses were lost.

    A send of a call that is not idempotent fails with NotRunError instead of
    LostResponseError if its owner daemon reports that it did not start; it
    is then safe to send the call again.

    :param open_remote: sends a call to another daemon.
    :param clocks: estimates the clocks of other daemons.
    :param query_clock: queries a daemon's clock.
    :param query_fate: queries the fate of a send.
    :param clock: returns monotonic time in seconds.
    """
    read_clock = make_clock_reader(clocks, query_clock)

    async def resolve_error(
        send: serving.Send, error: errors.CallError
    ) -> errors.CallError:
        assert send.sent_at is not None
        remaining_s = send.request.deadline - clock()
        estimate = clocks.estimate(send.daemon, send.daemon_incarnation)
        fence = messages.Fence(
            request_id=send.request.request_id,
            attempt=send.attempt,
            incarnation=send.daemon_incarnation,
            deadline=(estimate or send.sent_at) + remaining_s,
        )
        # The caller gets its answer at its deadline, whether or not the owner
        # responds by then.
        fate = await query_fate(
            send.peer, fence, max(0.0, remaining_s) + FATE_GRACE_S
        )
        event_log.record(
            "send_judged",
            request_id=send.request.request_id,
            daemon=send.daemon,
            fate=fate,
        )
        if fate is messages.Fate.NOT_RUN:
            return errors.NotRunError(verdict.Reason.FENCED, error.detail)
        return error

    @contextlib.asynccontextmanager
    async def open_response(
        send: serving.Send,
    ) -> abc.AsyncIterator[serving.Response]:
        daemon, incarnation = send.daemon, send.daemon_incarnation
        if send.request.idempotent:
            estimate = clocks.estimate(daemon, incarnation)
        else:
            estimate = await read_clock(
                daemon,
                incarnation,
                send.peer,
                send.request.deadline - clock(),
            )
        timestamped = dataclasses.replace(send, sent_at=estimate)
        async with contextlib.AsyncExitStack() as stack:
            try:
                response = await stack.enter_async_context(
                    open_remote(timestamped)
                )
            except errors.LostResponseError as error:
                if send.request.idempotent:
                    raise
                raise await resolve_error(timestamped, error) from error
            yield response

    return open_response
