"""Reads of the store on behalf of a daemon whose own reads fail.

A store can refuse some daemons, or be out of their reach, while it serves
the others. The request carries nothing: whoever reads a newer configuration
puts it in force and pushes it to its peers as usual.
"""

import asyncio
from collections import abc
import random

from aiohttp import web

from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.membership import roster
from burdockdeal.membership import transport
from burdockdeal.platform import messages

PATH = "/v1/peer/read-store"

#: Number of daemons that are asked after one failed read. What keeps this one
#: from the store may keep a third of the others from it, too.
READERS = 5

#: Seconds within which an asked daemon must respond.
_TIMEOUT_S = 1.0


def make_requester(
    local_roster: roster.Roster, post: transport.Post, rng: random.Random
) -> abc.Callable[[], abc.Awaitable[None]]:
    """Make the function that asks random daemons to read the store."""

    async def ask_to_read() -> None:
        peers = local_roster.active_peers
        asked = rng.sample(peers, min(READERS, len(peers)))
        results = await asyncio.gather(
            *(
                post(
                    peer.peer,
                    PATH,
                    messages.ReadRequest(),
                    messages.ReadResult,
                    _TIMEOUT_S,
                )
                for peer in asked
            )
        )
        event_log.record(
            "configuration_read_by_peers",
            asked=len(asked),
            succeeded=sum(bool(result and result.read) for result in results),
        )

    return ask_to_read


def make_handler(
    read: abc.Callable[[], abc.Awaitable[None]],
) -> abc.Callable[[web.BaseRequest], abc.Awaitable[web.Response]]:
    """Make the handler of another daemon's request to read the store.

    :param read: reads the configuration and puts it in force if it is newer.
    """

    async def handle(request: web.BaseRequest) -> web.Response:
        codec.decode_compact(await request.read(), messages.ReadRequest)
        try:
            await read()
            result = messages.ReadResult(True)
        except errors.PlatformError as error:
            event_log.debug("configuration_poll_failed", error=error)
            result = messages.ReadResult(False)
        return web.Response(
            body=codec.encode_compact(result), content_type="application/json"
        )

    return handle
