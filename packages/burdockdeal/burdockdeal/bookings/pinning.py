"""Pinning of calls to the only daemon that may run them.

An idempotency key pins a call: an issued key names its holder, and a key
that the caller chose is held by the daemon that claimed it.
"""

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

#: Sends a call and opens its response.
Dispatch = abc.Callable[
    [call.Call, serving.OutboundRequest],
    contextlib.AbstractAsyncContextManager[serving.Response],
]


class Sends(typing.Protocol):
    """The sends of one call."""

    def open(
        self, pin: membership.Member | None = None
    ) -> contextlib.AbstractAsyncContextManager[serving.Response]:
        """Open the response to the call.

        :param pin: the only instance that the call may be sent to, None for
            any.
        """
        ...


#: Creates the sends of a call.
BeginSends = abc.Callable[[call.Call, serving.OutboundRequest], Sends]


def _is_final(error: errors.CallError) -> bool:
    if not isinstance(error, errors.NotRunError):
        return True
    return error.settled or error.reason is verdict.Reason.KEY_CONFLICT


class PinResolver:
    """Finds the daemon that a call's idempotency key is pinned to.

    :param peer_token: the token that all daemons share.
    :param find_member: returns the member record of a daemon, None if there
        is none.
    :param read_claim: reads the claim of a service's idempotency key.
    """

    def __init__(
        self,
        peer_token: str,
        find_member: abc.Callable[[str], membership.Member | None],
        read_claim: abc.Callable[
            [str, str], abc.Awaitable[messages.Claim | None]
        ],
    ) -> None:
        self._read_claim = read_claim
        self._peer_token = peer_token
        self._find_member = find_member

    def find_issued_key_holder(
        self, work: call.Call
    ) -> membership.Member | None:
        """Find the daemon that a call's issued key names.

        :returns: its member record, None if the call has no issued key.
        :raises CallError: if that daemon is gone, or the key is invalid.
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

    async def redirect_or_raise(
        self,
        work: call.Call,
        error: errors.CallError,
        pin: membership.Member | None,
    ) -> membership.Member:
        """Decide how to go on after a call with an idempotency key failed.

        The caller may be told NOT_RUN only if no earlier send with the same
        key may have started, so the daemon that holds the key is asked
        first.

        :param error: the error that the call failed with.
        :param pin: the daemon that the call was pinned to, None if it was
            free to go to any.
        :returns: the daemon that holds the key, to send the call to next.
        :raises CallError: the error for the caller.
        """
        key = work.idempotency_key
        if key is None or work.idempotent or _is_final(error):
            raise error
        if pin is not None:
            raise errors.MayHaveRunError(error.reason, error.detail)
        try:
            claim = await self._read_claim(work.service, key)
        except errors.NotRunError as read_error:
            raise errors.MayHaveRunError(
                read_error.reason, read_error.detail
            ) from error
        if claim is None:
            raise error
        return self.find_holder(claim.holder)

    def find_holder(self, holder: messages.Holder) -> membership.Member:
        """Find the member record of the daemon that holds a key.

        :raises MayHaveRunError: if that daemon has restarted or is gone, and
            its record of the key with it.
        """
        member = self._find_member(holder.daemon)
        if member is None or member.incarnation != holder.incarnation:
            raise errors.MayHaveRunError(verdict.Reason.OWNER_GONE)
        return member


def _check_region(work: call.Call, holder: membership.Member) -> None:
    """Check that a call may be sent to the region of its key's holder."""
    if work.regions and holder.region not in work.regions:
        # Only the holder knows whether an earlier send with the key ran.
        raise errors.MayHaveRunError(verdict.Reason.NO_REGION)


def make_dispatcher(
    begin_sends: BeginSends, pin_resolver: PinResolver
) -> Dispatch:
    """Build the function that sends a call, to its key's holder if it has one.

    :param begin_sends: creates the sends of a call.
    :param pin_resolver: finds the daemon that a call is pinned to.
    """

    async def find_holder_or_open(
        sends: Sends,
        work: call.Call,
        outbound: serving.OutboundRequest,
        stack: contextlib.AsyncExitStack,
    ) -> serving.Response | membership.Member:
        holder = pin_resolver.find_issued_key_holder(work)
        if holder is not None:
            return holder
        try:
            return await stack.enter_async_context(sends.open())
        except errors.KeyHeldError as error:
            if not outbound.body.is_replayable:
                raise
            return pin_resolver.find_holder(
                messages.Holder(error.daemon, error.incarnation)
            )
        except errors.CallError as error:
            return await pin_resolver.redirect_or_raise(work, error, None)

    @contextlib.asynccontextmanager
    async def open_response(
        work: call.Call, outbound: serving.OutboundRequest
    ) -> abc.AsyncIterator[serving.Response]:
        sends = begin_sends(work, outbound)
        async with contextlib.AsyncExitStack() as stack:
            found = await find_holder_or_open(sends, work, outbound, stack)
            if isinstance(found, membership.Member):
                _check_region(work, found)
                try:
                    found = await stack.enter_async_context(sends.open(found))
                except errors.CallError as error:
                    await pin_resolver.redirect_or_raise(work, error, found)
                    raise
            yield found

    return open_response
