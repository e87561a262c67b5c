"""Sockets of connections that a daemon opens."""

from collections import abc
import socket
import typing

#: Milliseconds without an acknowledgement of what was sent, after which a
#: connection is taken for dead; a cut shows no other way.
USER_TIMEOUT_MS = 1000

#: Seconds of silence before a connection is probed, between two probes,
#: and the probes after which it is taken for dead.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)

#: Make the socket of a connection to an address, as aiohttp asks for it.
Factory = abc.Callable[[tuple[typing.Any, ...]], socket.socket]


def make_factory(host: str) -> Factory:
    """Make the function that makes sockets.

    :param host: the address that connections are made from.
    """

    def make(info: tuple[typing.Any, ...]) -> socket.socket:
        family, kind, proto, *_ = info
        made = socket.socket(family, kind, proto)
        try:
            made.setblocking(False)
            for level, option, value in _OPTIONS:
                made.setsockopt(level, option, value)
            made.bind((host, 0))
        except OSError:
            made.close()
            raise
        return made

    return make
