"""A TCP relay that injects delays, cuts and data loss between processes.

Each port that a relay listens on forwards connections to one target. All
of them share one behaviour, which is set through /admin/behaviour on a
separate port.
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
    """The faults that a relay injects.

    :param delay_ms: added one-way delay in milliseconds.
    :param cut: new connections are reset, and open ones aborted.
    :param swallow: bytes are read and discarded, not forwarded.
    :param near: prefix of the source addresses that bypass the faults, such
        as those of the same failure domain; empty for none.
    """

    delay_ms: float = 0.0
    cut: bool = False
    swallow: bool = False
    near: str = ""


class Link:
    """One target of a relay, its faults and its open connections.

    :param target: host:port that connections are forwarded to.
    """

    def __init__(self, target: str, behaviour: Behaviour) -> None:
        host, port = target.rsplit(":", 1)
        self.host = host
        self.port = int(port)
        self.behaviour = behaviour
        self.writers: set[asyncio.StreamWriter] = set()

    def is_near(self, writer: asyncio.StreamWriter) -> bool:
        """Return whether a connection's source address bypasses the faults."""
        near = self.behaviour.near
        source = writer.get_extra_info("peername")[0]
        return bool(near) and source.startswith(near)

    def set_behaviour(self, behaviour: Behaviour) -> None:
        """Change the behaviour, aborting open connections on a cut."""
        self.behaviour = behaviour
        if behaviour.cut:
            for writer in list(self.writers):
                writer.transport.abort()


async def _forward(
    link: Link,
    near: bool,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    loop = asyncio.get_running_loop()
    pending: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(64)

    async def deliver() -> None:
        while True:
            due_at_s, data = await pending.get()
            await asyncio.sleep(max(0.0, due_at_s - loop.time()))
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
            await pending.put((loop.time() + delay_s, data))
        await delivery
    except (ConnectionError, OSError):
        writer.transport.abort()
    finally:
        delivery.cancel()
        with contextlib.suppress(asyncio.CancelledError, OSError):
            await delivery


async def _relay_connection(
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
            _forward(link, near, reader, onward[1]),
            _forward(link, near, onward[0], writer),
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

    :param port: port to listen on, or several, separated by commas, one for
        each target.
    :param target: host:port that connections are forwarded to, or several.
    :param admin_port: port on which the behaviour is set.
    :param delay_ms: added one-way delay in milliseconds.
    :param near: prefix of the source addresses that bypass the faults.
    """

    async def main() -> None:
        initial = Behaviour(delay_ms=delay_ms, near=near)
        links: list[Link] = []

        async def set_behaviour(request: web.Request) -> web.Response:
            behaviour = codec.decode(await request.read(), Behaviour)
            for link in links:
                link.set_behaviour(behaviour)
            return web.Response(body=codec.encode(behaviour))

        async with contextlib.AsyncExitStack() as stack:
            for listen_port, destination in _pair_links(port, target):
                links.append(Link(destination, initial))
                accept = functools.partial(_relay_connection, links[-1])
                server = await asyncio.start_server(accept, host, listen_port)
                stack.callback(server.close)
            app = web.Application()
            app.router.add_put("/admin/behaviour", set_behaviour)
            await process.serve_app(app, host, admin_port)

    asyncio.run(main())


if __name__ == "__main__":
    fire.Fire(serve)
