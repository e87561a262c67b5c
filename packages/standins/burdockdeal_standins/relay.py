"""A relay between processes: it delays, cuts and swallows.

Each port that a relay listens on passes connections to one target. Its
behaviour, the same for all of them, is set through /admin/behaviour on a
port of its own.
"""

import asyncio
import contextlib
import dataclasses
import functools

from aiohttp import web
import fire

from burdockdeal.core import codec
from burdockdeal_standins import process

_CHUNK_BYTES = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class Behaviour:
    """How the link behaves.

    :param delay_ms: one way, in milliseconds.
    :param cut: connections are refused, standing ones ended.
    :param swallow: bytes are taken and never passed on.
    :param near: how the addresses begin from which the link is clear, as
        those of the same failure domain; empty for none.
    """

    delay_ms: float = 0.0
    cut: bool = False
    swallow: bool = False
    near: str = ""


class Link:
    """The link's state.

    :param target: host and port that connections are passed to.
    """

    def __init__(self, target: str, behaviour: Behaviour) -> None:
        host, port = target.rsplit(":", 1)
        self.host = host
        self.port = int(port)
        self.behaviour = behaviour
        self.writers: set[asyncio.StreamWriter] = set()

    def is_near(self, writer: asyncio.StreamWriter) -> bool:
        """Tell whether a connection is of the same failure domain."""
        near = self.behaviour.near
        source = writer.get_extra_info("peername")[0]
        return bool(near) and source.startswith(near)

    def set(self, behaviour: Behaviour) -> None:
        """Change the behaviour, ending connections on a cut."""
        self.behaviour = behaviour
        if behaviour.cut:
            for writer in list(self.writers):
                writer.transport.abort()


async def _pump(
    link: Link,
    near: bool,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    loop = asyncio.get_running_loop()
    due: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(64)

    async def deliver() -> None:
        while True:
            when, data = await due.get()
            await asyncio.sleep(max(0.0, when - loop.time()))
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            if near or not link.behaviour.swallow:
                writer.write(data)
                await writer.drain()

    delivery = asyncio.create_task(deliver())
    try:
        data = b"-"
        while data:
            data = await reader.read(_CHUNK_BYTES)
            delay_s = 0 if near else link.behaviour.delay_ms / 1000
            await due.put((loop.time() + delay_s, data))
        await delivery
    except (ConnectionError, OSError):
        writer.transport.abort()
    finally:
        delivery.cancel()
        with contextlib.suppress(asyncio.CancelledError, OSError):
            await delivery


async def _pass_connection(
    link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    near = link.is_near(writer)
    if link.behaviour.cut and not near:
        writer.transport.abort()
        return
    try:
        onward = await asyncio.open_connection(link.host, link.port)
    except OSError:
        writer.transport.abort()
        return
    if not near:
        link.writers |= {writer, onward[1]}
    try:
        await asyncio.gather(
            _pump(link, near, reader, onward[1]),
            _pump(link, near, onward[0], writer),
        )
    finally:
        for end in (writer, onward[1]):
            link.writers.discard(end)
            end.close()


def _pair_links(
    port: int | tuple[int, ...], target: str | tuple[str, ...]
) -> list[tuple[int, str]]:
    ports = port if isinstance(port, tuple) else (port,)
    targets = target.split(",") if isinstance(target, str) else target
    return list(zip(ports, targets, strict=True))


def serve(
    *,
    port: int | tuple[int, ...],
    target: str | tuple[str, ...],
    admin_port: int,
    host: str = "127.0.0.1",
    delay_ms: float = 0.0,
    near: str = "",
) -> None:
    """Run a relay until SIGTERM.

    :param port: where it listens; several, parted by commas, for as many
        targets.
    :param target: host:port that connections are passed to.
    :param delay_ms: one way, in milliseconds.
    :param near: how the addresses begin from which the link is clear.
    """

    async def main() -> None:
        behaviour = Behaviour(delay_ms=delay_ms, near=near)
        links: list[Link] = []

        async def set_behaviour(request: web.Request) -> web.Response:
            wanted = codec.decode(await request.read(), Behaviour)
            for link in links:
                link.set(wanted)
            return web.Response(body=codec.encode(wanted))

        async with contextlib.AsyncExitStack() as stack:
            for number, onward in _pair_links(port, target):
                links.append(Link(onward, behaviour))
                accept = functools.partial(_pass_connection, links[-1])
                server = await asyncio.start_server(accept, host, number)
                stack.callback(server.close)
            app = web.Application()
            app.router.add_put("/admin/behaviour", set_behaviour)
            await process.serve_app(app, host, admin_port)

    asyncio.run(main())


if __name__ == "__main__":
    fire.Fire(serve)
