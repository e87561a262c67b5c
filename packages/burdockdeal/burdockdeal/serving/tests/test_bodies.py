"""Maximum length of request bodies."""

import asyncio

from aiohttp import streams
from aiohttp import test_utils
from aiohttp import web
import pytest

from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.serving import bodies
from burdockdeal.settings import model

MAX_BYTES = 100_000


def make_request(body: bytes, *, has_length: bool) -> web.Request:
    """Build a request with a Content-Length or with a chunked body."""
    payload = streams.StreamReader(
        test_utils.mock.Mock(_reading_paused=False),
        2**16,
        loop=asyncio.get_running_loop(),
    )
    payload.feed_data(body)
    payload.feed_eof()
    headers = (
        {"Content-Length": str(len(body))}
        if has_length
        else {"Transfer-Encoding": "chunked"}
    )
    return test_utils.make_mocked_request(
        "POST", "/", headers=headers, payload=payload
    )


async def read_length(body: bytes, *, has_length: bool) -> int:
    prepared = await bodies.prepare_body(
        make_request(body, has_length=has_length), model.Limits(), MAX_BYTES
    )
    if not prepared.is_streamed:
        return len(prepared.buffered)
    return sum([len(chunk) async for chunk in prepared.open()])


@pytest.mark.parametrize("has_length", [True, False])
async def test_a_body_of_at_most_the_maximum_length_is_accepted(
    has_length: bool,
) -> None:
    assert (
        await read_length(b"x" * MAX_BYTES, has_length=has_length) == MAX_BYTES
    )
    assert await read_length(b"x" * 10, has_length=has_length) == 10


@pytest.mark.parametrize("has_length", [True, False])
async def test_a_body_above_the_maximum_length_is_refused(
    has_length: bool,
) -> None:
    with pytest.raises(errors.NotRunError) as caught:
        await read_length(b"x" * (MAX_BYTES + 1), has_length=has_length)
    assert caught.value.reason is verdict.Reason.BODY_TOO_LARGE
