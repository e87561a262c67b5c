"""Calls from one daemon's membership to another's."""

import asyncio
from collections import abc
import typing

import aiohttp

from burdockdeal.core import codec
from burdockdeal.core import headers
from burdockdeal.settings import model

T = typing.TypeVar("T")

#: Post a message to a path of a daemon; None without an answer in time.
Post = abc.Callable[..., abc.Awaitable[typing.Any]]


def make_post(session: aiohttp.ClientSession, peer_token: str) -> Post:
    """Make the function that posts a message to another daemon."""
    sent = {headers.PEER_TOKEN: peer_token}

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
                data=codec.encode(message),
                headers=sent,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                if response.status != 200:
                    return None
                return codec.decode(await response.read(), kind)
        except (
            aiohttp.ClientError,
            asyncio.TimeoutError,
            codec.MalformedError,
            OSError,
        ):
            return None

    return post
