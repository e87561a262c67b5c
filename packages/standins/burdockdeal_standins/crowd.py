"""A bounded crowd of connections that send what one function yields."""

import asyncio
from collections import abc
import contextlib
import pathlib
import socket

from burdockdeal.settings import model

#: Bytes that the kernel keeps for a client that does not read.
_RECEIVE_BUFFER_BYTES = 4096

#: Yields the bytes that one connection sends, in pieces.
MakePieces = abc.Callable[[], abc.Iterable[bytes]]


def read_memory(pid: int) -> dict[str, int]:
    """Read the sizes of a process's memory in bytes, by the kernel's names."""
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    sizes = [line.split() for line in lines if line.endswith(" kB")]
    return {name.rstrip(":"): int(size) * 1024 for name, size, _ in sizes}


def count_descriptors(pid: int) -> int:
    """Count the open descriptors of a process."""
    return sum(1 for _ in pathlib.Path(f"/proc/{pid}/fd").iterdir())


async def _connect(address: model.Address) -> asyncio.StreamWriter:
    client = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    client.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
    )
    client.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(client, (address.host, address.port))
    _, writer = await asyncio.open_connection(sock=client)
    # A client that reads would leave nothing for the daemon to hold.
    writer.transport.pause_reading()
    return writer


async def _send(writer: asyncio.StreamWriter, make: MakePieces) -> None:
    with contextlib.suppress(ConnectionError):
        for piece in make():
            writer.write(piece)
            await writer.drain()


@contextlib.asynccontextmanager
async def connect_crowd(
    address: model.Address, make: MakePieces, *, size: int, within_s: float
) -> abc.AsyncIterator[None]:
    """Keep a crowd of connections open during the ``async with`` block.

    :param address: the address that they connect to.
    :param make: returns the pieces that each of them sends.
    :param size: the number of connections.
    :param within_s: seconds after which the block starts although not all
        is sent; the rest is sent meanwhile.
    """
    writers = await asyncio.gather(*(_connect(address) for _ in range(size)))
    sends = [asyncio.create_task(_send(each, make)) for each in writers]
    try:
        await asyncio.wait(sends, timeout=within_s)
        yield
    finally:
        for task in sends:
            task.cancel()
        for writer in writers:
            writer.transport.abort()
