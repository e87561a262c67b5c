"""The event loop of a daemon: asyncio's own loop, on one thread.

uvloop can't be used: when a connect is cancelled, both aiohttp and uvloop
close its socket, and the second close hits whichever connection has been
given the same file descriptor in the meantime.
"""

import asyncio
import ipaddress
import socket
import typing

_FAMILIES = {4: socket.AF_INET, 6: socket.AF_INET6}

AddressInfo = tuple[int, int, int, str, tuple[typing.Any, ...]]


def resolve(host: str, port: int) -> AddressInfo:
    """Return the result that getaddrinfo gives for an IP address.

    :raises socket.gaierror: if the host is not an IP address; host names are
        not resolved.
    """
    try:
        parsed = ipaddress.ip_address(host)
    except ValueError as error:
        raise socket.gaierror(
            socket.EAI_NONAME, f"not an IP number: {host}"
        ) from error
    address = (host, port) if parsed.version == 4 else (host, port, 0, 0)
    return (
        _FAMILIES[parsed.version],
        socket.SOCK_STREAM,
        socket.IPPROTO_TCP,
        "",
        address,
    )


class _NumericHostLoop(asyncio.SelectorEventLoop):
    """An event loop that accepts IP addresses only.

    It needs no resolver and therefore starts no thread.
    """

    async def getaddrinfo(
        self, host: str, port: int, **hints: int
    ) -> list[AddressInfo]:
        return [resolve(host, port)]


def new_loop() -> asyncio.AbstractEventLoop:
    """Create the event loop for a daemon."""
    return _NumericHostLoop()
