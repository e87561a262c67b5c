"""The loop that a daemon runs on: asyncio's own, on one thread.

uvloop is no choice: where a connect is cancelled, aiohttp and uvloop both
close its socket, and the second close hits whatever connection has taken
the descriptor meanwhile.
"""

import asyncio
import ipaddress
import socket
import typing

_FAMILIES = {4: socket.AF_INET, 6: socket.AF_INET6}

AddressInfo = tuple[int, int, int, str, tuple[typing.Any, ...]]


def resolve(host: str, port: int) -> AddressInfo:
    """Make what getaddrinfo gives for an IP number.

    :raises socket.gaierror: for anything else, as names are not resolved.
    """
    try:
        number = ipaddress.ip_address(host)
    except ValueError as error:
        raise socket.gaierror(
            socket.EAI_NONAME, f"not an IP number: {host}"
        ) from error
    address = (host, port) if number.version == 4 else (host, port, 0, 0)
    return (
        _FAMILIES[number.version],
        socket.SOCK_STREAM,
        socket.IPPROTO_TCP,
        "",
        address,
    )


class _Loop(asyncio.SelectorEventLoop):
    """A loop that resolves IP numbers only, and so starts no thread."""

    async def getaddrinfo(
        self, host: str, port: int, **hints: int
    ) -> list[AddressInfo]:
        return [resolve(host, port)]


def new_loop() -> asyncio.AbstractEventLoop:
    """Make the loop that a daemon runs on."""
    return _Loop()
