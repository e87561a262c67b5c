"""Classification of errors while a request is sent."""

import asyncio

import multidict
import pytest

from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.serving import bodies
from burdockdeal.serving import forwarding
from burdockdeal.serving import messages
from burdockdeal.settings import model

_SOCKET_IN_USE = (
    "File descriptor 35 is used by transport <TCPTransport closed=True>"
)


class FailingSession:
    """A client session whose every request raises the same error."""

    def __init__(self, error: Exception) -> None:
        self._error = error

    async def request(self, *args: object, **kwargs: object) -> None:
        await asyncio.sleep(0)
        raise self._error


async def send_and_fail(error: Exception) -> None:
    outbound = messages.OutboundRequest(
        "POST",
        "/",
        multidict.CIMultiDict(),
        bodies.Body(None, b"", model.Limits()),
    )
    async with forwarding.open_response(
        FailingSession(error),
        "127.0.0.1:1",
        outbound,
        {},
        remaining_s=1.0,
        expect=False,
    ):
        pass


async def test_a_socket_that_uvloop_refuses_counts_as_not_sent() -> None:
    with pytest.raises(errors.NotRunError) as caught:
        await send_and_fail(RuntimeError(_SOCKET_IN_USE))
    assert caught.value.reason is verdict.Reason.UNREACHABLE


async def test_other_errors_are_not_taken_for_not_sent() -> None:
    with pytest.raises(RuntimeError):
        await send_and_fail(RuntimeError("something else"))
    with pytest.raises(errors.LostResponseError):
        await send_and_fail(OSError("broken pipe"))
