"""Bodies of requests and their bounds."""

import asyncio

from aiohttp import streams
from aiohttp import test_utils
from aiohttp import web
import pytest

from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.serving import bodies
from burdockdeal.settings import model

MOST_BYTES = 100_000


def make_request(body: bytes, *, told: bool) -> web.Request:
    """Make a request, its length told or the body in chunks."""
    payload = streams.StreamReader(
        test_utils.mock.Mock(_reading_paused=False),
        2**16,
        loop=asyncio.get_running_loop(),
    )
    payload.feed_data(body)
    payload.feed_eof()
    headers = (
        {"Content-Length": str(len(body))}
        if told
        else {"Transfer-Encoding": "chunked"}
    )
    return test_utils.make_mocked_request(
        "POST", "/", headers=headers, payload=payload
    )


async def read(body: bytes, *, told: bool) -> int:
    taken = await bodies.prepare_body(
        make_request(body, told=told), model.Limits(), MOST_BYTES
    )
    if not taken.is_streamed:
        return len(taken.buffered)
    return sum([len(chunk) async for chunk in taken.open()])


@pytest.mark.parametrize("told", [True, False])
async def test_a_body_within_the_bound_is_passed_on(told: bool) -> None:
    assert await read(b"x" * MOST_BYTES, told=told) == MOST_BYTES
    assert await read(b"x" * 10, told=told) == 10


@pytest.mark.parametrize("told", [True, False])
async def test_a_longer_body_is_refused(told: bool) -> None:
    with pytest.raises(errors.NotRunError) as caught:
        await read(b"x" * (MOST_BYTES + 1), told=told)
    assert caught.value.reason is verdict.Reason.BODY_TOO_LARGE
