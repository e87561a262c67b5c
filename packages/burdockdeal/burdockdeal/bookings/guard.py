"""The sender's side: sends that can be fenced, and keys that are pinned."""

import asyncio
from collections import abc
import contextlib
import dataclasses

import aiohttp

from burdockdeal.bookings import clocks
from burdockdeal.bookings import keys
from burdockdeal.bookings import messages
from burdockdeal.core import call
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import headers
from burdockdeal.core import journal
from burdockdeal.core import verdict
from burdockdeal.membership import messages as membership
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


def make_asks(
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
            journal.debug("ask_failed", peer=peer, path=path, error=error)
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


def make_read_clock(
    standing: clocks.Clocks, ask_clock: AskClock
) -> abc.Callable[[str, int, model.Address], abc.Awaitable[float]]:
    """Make the function that reads a daemon's clock, asking it if needed.

    :returns: the function; it raises NotRunError if the clock is unknown.
    """

    async def read_clock(
        daemon: str, incarnation: int, peer: model.Address
    ) -> float:
        if standing.read(daemon, incarnation) is None:
            told = await ask_clock(peer)
            if told is not None:
                standing.note(daemon, told.incarnation, told.now)
        shown = standing.read(daemon, incarnation)
        if shown is None:
            raise errors.NotRunError(verdict.Reason.UNREACHABLE)
        return shown

    return read_clock


def make_guarded_opener(
    open_remote: serving.OpenAnswer,
    standing: clocks.Clocks,
    ask_clock: AskClock,
    ask_fate: AskFate,
    clock: abc.Callable[[], float],
) -> serving.OpenAnswer:
    """Make an opener that knows more of a send whose answer was lost.

    :param open_remote: opens answers through other daemons.
    """
    read_clock = make_read_clock(standing, ask_clock)

    async def judge(
        send: serving.Send, error: errors.CallError
    ) -> errors.CallError:
        assert send.sent_at is not None
        remaining_s = send.request.deadline - clock()
        shown = standing.read(send.daemon, send.daemon_incarnation)
        fence = messages.Fence(
            request_id=send.request.request_id,
            attempt=send.attempt,
            incarnation=send.daemon_incarnation,
            deadline=(shown or send.sent_at) + remaining_s,
        )
        fate = await ask_fate(send.peer, fence)
        journal.record(
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
    ) -> abc.AsyncIterator[serving.Answer]:
        daemon, incarnation = send.daemon, send.daemon_incarnation
        if send.request.idempotent:
            shown = standing.read(daemon, incarnation)
        else:
            shown = await read_clock(daemon, incarnation, send.peer)
        stamped = dataclasses.replace(send, sent_at=shown)
        async with contextlib.AsyncExitStack() as stack:
            try:
                answer = await stack.enter_async_context(open_remote(stamped))
            except errors.LostAnswerError as error:
                if send.request.idempotent:
                    raise
                raise await judge(stamped, error) from error
            yield answer

    return open_answer


def _is_final(error: errors.CallError) -> bool:
    if not isinstance(error, errors.NotRunError):
        return True
    return error.settled or error.reason is verdict.Reason.KEY_CONFLICT


class Pins:
    """Finds the one daemon that a key allows.

    :param find: finds a daemon's record.
    :param look: reads the claim that stands for a service's key.
    """

    def __init__(
        self,
        peer_token: str,
        find: abc.Callable[[str], membership.Member | None],
        look: abc.Callable[[str, str], abc.Awaitable[messages.Claim | None]],
    ) -> None:
        self._look = look
        self._peer_token = peer_token
        self._find = find

    def find_pin(self, work: call.Call) -> membership.Member | None:
        """Find the daemon that an issued key names.

        :returns: its record, None if the call is free to go anywhere.
        :raises CallError: if there is no such daemon, or the key is wrong.
        """
        if work.idempotent or work.idempotency_key is None:
            return None
        issued = keys.read_key(self._peer_token, work.idempotency_key)
        if issued is None:
            return None
        if issued.service != work.service:
            detail = f"the key was issued for {issued.service}"
            raise errors.NotRunError(verdict.Reason.KEY_CONFLICT, detail)
        return self.find_holder(issued.holder)

    async def review(
        self,
        work: call.Call,
        error: errors.CallError,
        pin: membership.Member | None,
    ) -> membership.Member:
        """Review a refusal before the caller is told.

        A call with a key is told NOT_RUN only if no earlier send with
        that key is known to have started.

        :param pin: the daemon that was asked because of the key.
        :returns: the daemon that holds the key, to be asked first.
        :raises CallError: what the caller is told.
        """
        key = work.idempotency_key
        if key is None or work.idempotent or _is_final(error):
            raise error
        if pin is not None:
            raise errors.MayHaveRunError(error.reason, error.detail)
        try:
            claim = await self._look(work.service, key)
        except errors.NotRunError as unknown:
            raise errors.MayHaveRunError(
                unknown.reason, unknown.detail
            ) from error
        if claim is None:
            raise error
        return self.find_holder(claim.holder)

    def find_holder(self, holder: messages.Holder) -> membership.Member:
        """Find the daemon that holds a key.

        :raises MayHaveRunError: if it is gone, and what it knew with it.
        """
        member = self._find(holder.daemon)
        if member is None or member.incarnation != holder.incarnation:
            raise errors.MayHaveRunError(verdict.Reason.OWNER_GONE)
        return member
