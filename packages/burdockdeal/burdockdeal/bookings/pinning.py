"""Calls that only one daemon may run, because of their key."""

from collections import abc
import contextlib
import typing

from burdockdeal.bookings import issued_keys
from burdockdeal.bookings import messages
from burdockdeal.core import call
from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.membership import messages as membership
from burdockdeal.serving import messages as serving

#: Open the answer to a call.
Dispatch = abc.Callable[
    [call.Call, serving.OutboundRequest],
    contextlib.AbstractAsyncContextManager[serving.Response],
]


class Sends(typing.Protocol):
    """The sends of one call."""

    def open(
        self, pin: membership.Member | None = None
    ) -> contextlib.AbstractAsyncContextManager[serving.Response]:
        """Open the answer, of the pinned instance only if there is one."""
        ...


#: Begin the sends of a call.
BeginSends = abc.Callable[[call.Call, serving.OutboundRequest], Sends]


def _is_final(error: errors.CallError) -> bool:
    if not isinstance(error, errors.NotRunError):
        return True
    return error.settled or error.reason is verdict.Reason.KEY_CONFLICT


class PinResolver:
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

    def find_issued_key_holder(
        self, work: call.Call
    ) -> membership.Member | None:
        """Find the daemon that an issued key names.

        :returns: its record, None if the call is free to go anywhere.
        :raises CallError: if there is no such daemon, or the key is wrong.
        """
        if work.idempotent or work.idempotency_key is None:
            return None
        issued = issued_keys.decode_key(self._peer_token, work.idempotency_key)
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


def make_dispatcher(begin: BeginSends, pins: PinResolver) -> Dispatch:
    """Make the function that sends a call with a key where it belongs.

    :param begin: begins the sends of a call.
    """

    async def find_or_open(
        sends: Sends,
        work: call.Call,
        outbound: serving.OutboundRequest,
        stack: contextlib.AsyncExitStack,
    ) -> serving.Response | membership.Member:
        pin = pins.find_issued_key_holder(work)
        if pin is not None:
            return pin
        try:
            return await stack.enter_async_context(sends.open())
        except errors.KeyHeldError as error:
            if not outbound.body.is_replayable:
                raise
            return pins.find_holder(
                messages.Holder(error.daemon, error.incarnation)
            )
        except errors.CallError as error:
            return await pins.review(work, error, None)

    @contextlib.asynccontextmanager
    async def open_answer(
        work: call.Call, outbound: serving.OutboundRequest
    ) -> abc.AsyncIterator[serving.Response]:
        sends = begin(work, outbound)
        async with contextlib.AsyncExitStack() as stack:
            found = await find_or_open(sends, work, outbound, stack)
            if isinstance(found, membership.Member):
                try:
                    found = await stack.enter_async_context(sends.open(found))
                except errors.CallError as error:
                    await pins.review(work, error, found)
                    raise
            yield found

    return open_answer
