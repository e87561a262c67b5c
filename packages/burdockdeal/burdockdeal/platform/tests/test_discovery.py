"""Discovery of a running upstream after a restart of the daemon."""

import asyncio

import aiohttp
from aiohttp import web
import pytest

from burdockdeal.platform import discovery
from burdockdeal.settings import model
from burdockdeal_standins import ports


class Receiver:
    """Records the name of the discovered upstream."""

    def __init__(self) -> None:
        self.name = ""
        self.discovered = asyncio.Event()

    @property
    def is_upstream_confirmed(self) -> bool:
        return bool(self.name)

    def record_discovered(self, name: str, slots: int) -> None:
        self.name = name
        self.discovered.set()


async def test_the_upstream_is_checked_as_soon_as_its_path_is_known(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The test times out if the first check waits for an interval.
    monkeypatch.setattr(discovery, "INTERVAL_S", 1000.0)

    async def handle_health(request: web.Request) -> web.Response:
        return web.Response(headers={"Instance-Id": "i-1"})

    app = web.Application()
    app.router.add_get("/health", handle_health)
    runner = web.AppRunner(app)
    await runner.setup()
    address = model.Address("127.0.0.1", ports.free_port())
    await web.TCPSite(runner, address.host, address.port).start()
    paths = [""]
    receiver = Receiver()
    async with aiohttp.ClientSession() as session:
        upstream_discovery = discovery.UpstreamDiscovery(
            session, address, receiver, lambda: paths[-1]
        )
        async with upstream_discovery:
            await asyncio.sleep(0.01)
            upstream_discovery.check_path()
            paths.append("/health")
            upstream_discovery.check_path()
            async with asyncio.timeout(20):
                await receiver.discovered.wait()
    await runner.cleanup()
    assert receiver.name == "i-1"
