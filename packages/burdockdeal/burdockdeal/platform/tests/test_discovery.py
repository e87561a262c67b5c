"""Finding the worker beside a daemon that was started anew."""

import asyncio

import aiohttp
from aiohttp import web
import pytest

from burdockdeal.platform import discovery
from burdockdeal.settings import model
from burdockdeal_standins import ports


class Beats:
    """Takes the worker's name."""

    def __init__(self) -> None:
        self.name = ""
        self.told = asyncio.Event()

    @property
    def heard(self) -> bool:
        return bool(self.name)

    def learn(self, name: str, slots: int) -> None:
        self.name = name
        self.told.set()


async def test_the_worker_is_asked_as_soon_as_its_path_is_known(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # So long a pause that a fixed one between two looks would show.
    monkeypatch.setattr(discovery, "PAUSE_S", 1000.0)

    async def tell(request: web.Request) -> web.Response:
        return web.Response(headers={"Instance-Id": "i-1"})

    app = web.Application()
    app.router.add_get("/health", tell)
    runner = web.AppRunner(app)
    await runner.setup()
    address = model.Address("127.0.0.1", ports.free_port())
    await web.TCPSite(runner, address.host, address.port).start()
    paths = [""]
    beats = Beats()
    async with aiohttp.ClientSession() as session:
        seeker = discovery.UpstreamDiscovery(
            session, address, beats, lambda: paths[-1]
        )
        async with seeker:
            await asyncio.sleep(0.01)
            seeker.look()
            paths.append("/health")
            seeker.look()
            async with asyncio.timeout(20):
                await beats.told.wait()
    await runner.cleanup()
    assert beats.name == "i-1"
