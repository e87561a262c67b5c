"""HTTP transport of membership messages between daemons."""

import asyncio
from collections import abc
import typing

import aiohttp

from burdockdeal.core import codec
from burdockdeal.core import headers
from burdockdeal.overload import body_io
from burdockdeal.settings import model

T = typing.TypeVar("T")

#: Headers that aiohttp would add; leaving them out keeps a message small.
_SKIPPED_HEADERS = ("Accept", "Content-Type", "User-Agent")

#: Posts a message to a path of another daemon and returns the decoded
#: response, or None if no valid one arrives within the timeout.
Post = abc.Callable[..., abc.Awaitable[typing.Any]]


def make_post(session: aiohttp.ClientSession, peer_token: str) -> Post:
    """Make the function that posts messages to other daemons."""
    request_headers = {headers.PEER_TOKEN: peer_token}

    async def post(
        address: model.Address,
        path: str,
        message: object,
        kind: type[T],
        timeout_s: float,
    ) -> T | None:
        try:
            async with session.post(
                f"http://{address}{path}",
                data=codec.encode_compact(message),
                headers=request_headers,
                skip_auto_headers=_SKIPPED_HEADERS,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                if response.status != 200:
                    return None
                body = await body_io.read_whole_response(response)
                return codec.decode_compact(body, kind)
        except (
            aiohttp.ClientError,
            asyncio.TimeoutError,
            codec.MalformedError,
            OSError,
        ):
            return None

    return post
