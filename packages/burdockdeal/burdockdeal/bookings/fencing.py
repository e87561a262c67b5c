"""The sender's side: sends that can be fenced, and keys that are pinned."""

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
from burdockdeal.serving import messages as serving
from burdockdeal.settings import model

#: Seconds before each ask after the fate of a send.
_PAUSES_S = (0.0, 0.1, 0.4)
_TIMEOUT_S = 0.5

FENCE_PATH = "/v1/peer/fence"
CLOCK_PATH = "/v1/peer/clock"

#: Ask a daemon for its clock; None if it does not answer.
AskClock = abc.Callable[[model.Address], abc.Awaitable[messages.Clock | None]]

#: Ask a daemon after the fate of a send.
AskFate = abc.Callable[
    [model.Address, messages.Fence], abc.Awaitable[messages.Fate]
]


def make_peer_queries(
    session: aiohttp.ClientSession, peer_token: str
) -> tuple[AskClock, AskFate]:
    """Make the functions that ask other daemons."""

    async def post(
        peer: model.Address, path: str, body: bytes
    ) -> bytes | None:
        try:
            async with session.post(
                f"http://{peer}{path}",
                data=body,
                headers={headers.PEER_TOKEN: peer_token},
                timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
            ) as response:
                response.raise_for_status()
                return await response.read()
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            event_log.debug("ask_failed", peer=peer, path=path, error=error)
            return None

    async def ask_clock(peer: model.Address) -> messages.Clock | None:
        raw = await post(peer, CLOCK_PATH, b"")
        return codec.decode(raw, messages.Clock) if raw else None

    async def ask_fate(
        peer: model.Address, fence: messages.Fence
    ) -> messages.Fate:
        for pause_s in _PAUSES_S:
            await asyncio.sleep(pause_s)
            raw = await post(peer, FENCE_PATH, codec.encode(fence))
            if raw is not None:
                return codec.decode(raw, messages.Fenced).fate
        return messages.Fate.UNKNOWN

    return ask_clock, ask_fate


def make_clock_reader(
    standing: peer_clocks.PeerClocks, ask_clock: AskClock
) -> abc.Callable[[str, int, model.Address], abc.Awaitable[float]]:
    """Make the function that reads a daemon's clock, asking it if needed.

    :returns: the function; it raises NotRunError if the clock is unknown.
    """

    async def read_clock(
        daemon: str, incarnation: int, peer: model.Address
    ) -> float:
        if standing.estimate(daemon, incarnation) is None:
            told = await ask_clock(peer)
            if told is not None:
                standing.record(daemon, told.incarnation, told.now)
        shown = standing.estimate(daemon, incarnation)
        if shown is None:
            raise errors.NotRunError(verdict.Reason.UNREACHABLE)
        return shown

    return read_clock


def make_fencing_opener(
    open_remote: serving.OpenResponse,
    standing: peer_clocks.PeerClocks,
    ask_clock: AskClock,
    ask_fate: AskFate,
    clock: abc.Callable[[], float],
) -> serving.OpenResponse:
    """Make an opener that knows more of a send whose answer was lost.

    :param open_remote: opens answers through other daemons.
    """
    read_clock = make_clock_reader(standing, ask_clock)

    async def judge(
        send: serving.Send, error: errors.CallError
    ) -> errors.CallError:
        assert send.sent_at is not None
        remaining_s = send.request.deadline - clock()
        shown = standing.estimate(send.daemon, send.daemon_incarnation)
        fence = messages.Fence(
            request_id=send.request.request_id,
            attempt=send.attempt,
            incarnation=send.daemon_incarnation,
            deadline=(shown or send.sent_at) + remaining_s,
        )
        fate = await ask_fate(send.peer, fence)
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
    async def open_answer(
        send: serving.Send,
    ) -> abc.AsyncIterator[serving.Response]:
        daemon, incarnation = send.daemon, send.daemon_incarnation
        if send.request.idempotent:
            shown = standing.estimate(daemon, incarnation)
        else:
            shown = await read_clock(daemon, incarnation, send.peer)
        stamped = dataclasses.replace(send, sent_at=shown)
        async with contextlib.AsyncExitStack() as stack:
            try:
                answer = await stack.enter_async_context(open_remote(stamped))
            except errors.LostResponseError as error:
                if send.request.idempotent:
                    raise
                raise await judge(stamped, error) from error
            yield answer

    return open_answer
