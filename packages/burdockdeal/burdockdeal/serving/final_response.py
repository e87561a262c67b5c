"""The final response to a caller, in time for its deadline."""

import asyncio
from collections import abc
import contextlib

from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.serving import messages

#: Seconds after a call's deadline within which its outcome may still be
#: learned from other daemons.
GRACE_S = 0.2


@contextlib.asynccontextmanager
async def open_in_time(
    opening: contextlib.AbstractAsyncContextManager[messages.Response],
    deadline: float,
    clock: abc.Callable[[], float],
) -> abc.AsyncIterator[messages.Response]:
    """Open the response to a call, and give up shortly after its deadline.

    Each step on the way to a response has timeouts of its own; this one
    bounds their sum.

    :param opening: opens the response.
    :param deadline: the call's deadline, in seconds of the clock.
    :param clock: returns monotonic time in seconds.
    :raises MayHaveRunError: if the outcome is not known in time.
    """
    async with contextlib.AsyncExitStack() as stack:
        timeout = asyncio.timeout(max(0.0, deadline - clock()) + GRACE_S)
        try:
            async with timeout:
                response = await stack.enter_async_context(opening)
        except TimeoutError as error:
            if not timeout.expired():
                raise
            raise errors.MayHaveRunError(verdict.Reason.TIMED_OUT) from error
        yield response
