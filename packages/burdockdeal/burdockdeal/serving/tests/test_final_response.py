"""The bound of all steps between a request and its response."""

import asyncio
import contextlib

import pytest

from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.serving import final_response

_SLACK_S = 0.15


def read_time() -> float:
    return asyncio.get_running_loop().time()


async def test_a_step_that_never_ends_does_not_hold_the_caller() -> None:
    """Guards against callers that wait for an outcome until they give up."""
    closed = []

    @contextlib.asynccontextmanager
    async def open_never():
        try:
            await asyncio.Event().wait()
            yield
        finally:
            closed.append(True)

    started = read_time()
    with pytest.raises(errors.MayHaveRunError) as caught:
        async with final_response.open_in_time(
            open_never(), started + 0.1, read_time
        ):
            pass
    assert caught.value.reason is verdict.Reason.TIMED_OUT
    assert read_time() - started < 0.1 + final_response.GRACE_S + _SLACK_S
    assert closed


async def test_a_response_that_has_begun_is_not_bounded_here() -> None:
    @contextlib.asynccontextmanager
    async def open_at_once():
        yield "response"

    deadline = read_time()
    async with final_response.open_in_time(
        open_at_once(), deadline, read_time
    ) as response:
        await asyncio.sleep(final_response.GRACE_S + 0.05)
    assert response == "response"


async def test_a_timeout_of_a_step_keeps_its_own_error() -> None:
    @contextlib.asynccontextmanager
    async def open_too_slow():
        raise TimeoutError("of the step")
        yield

    with pytest.raises(TimeoutError, match="of the step"):
        async with final_response.open_in_time(
            open_too_slow(), read_time() + 5, read_time
        ):
            pass
