"""The loop that a daemon runs on: uvloop, on one thread, no io_uring."""

import asyncio
import ipaddress
import os
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


def new_loop() -> asyncio.AbstractEventLoop:
    """Make a loop that starts no thread and uses no io_uring.

    uvloop hands even IP numbers to its pool of threads as soon as a
    socket connects; here they are answered at once.
    """
    # libuv reads this when it makes its first loop.
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    class Loop(uvloop.Loop):
        async def getaddrinfo(
            self, host: str, port: int, **hints: int
        ) -> list[AddressInfo]:
            return [resolve(host, port)]

    return Loop()
