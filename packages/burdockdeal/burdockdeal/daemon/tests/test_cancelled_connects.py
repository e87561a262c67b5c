"""Connects that are given up must not close another connection's socket."""

import asyncio
import random
import typing

import aiohttp
from aiohttp import web

from burdockdeal.daemon import loop as loops
from burdockdeal.daemon import sockets

_HOST = "127.0.0.1"
_ROUNDS = 60
_AT_ONCE = 20


async def _serve_and_give_up(seed: int) -> list[str]:
    """Send many requests, give up most while they connect.

    :returns: what went wrong with the others, and with the server.
    """
    faults: list[str] = []
    chance = random.Random(seed)

    def note(loop: asyncio.AbstractEventLoop, context: dict) -> None:
        faults.append(repr(context.get("exception") or context["message"]))

    asyncio.get_running_loop().set_exception_handler(note)

    async def answer(request: web.BaseRequest) -> web.Response:
        return web.Response(text="whole")

    runner = web.ServerRunner(web.Server(answer))
    await runner.setup()
    site = web.TCPSite(runner, _HOST, 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]

    async def ask(session: aiohttp.ClientSession) -> None:
        async with session.get(f"http://{_HOST}:{port}/") as response:
            assert await response.text() == "whole"

    async def ask_or_give_up(session: aiohttp.ClientSession) -> None:
        asking = asyncio.ensure_future(ask(session))
        gives_up = chance.random() < 0.7
        for _ in range(chance.randrange(12)):
            await asyncio.sleep(0)
        if gives_up:
            asking.cancel()
        try:
            await asking
        except asyncio.CancelledError:
            pass
        except (aiohttp.ClientError, RuntimeError) as error:
            faults.append(repr(error))

    connector = aiohttp.TCPConnector(
        limit=0, force_close=True, socket_factory=sockets.make_factory(_HOST)
    )
    async with aiohttp.ClientSession(connector=connector) as session:
        for _ in range(_ROUNDS):
            each: list[typing.Any] = [
                ask_or_give_up(session) for _ in range(_AT_ONCE)
            ]
            await asyncio.gather(*each)
    await runner.cleanup()
    return faults


def test_a_cancelled_connect_harms_no_other_connection() -> None:
    with asyncio.Runner(loop_factory=loops.new_loop) as runner:
        assert runner.run(_serve_and_give_up(1)) == []
