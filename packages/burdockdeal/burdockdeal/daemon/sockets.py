"""Socket options of the connections that a daemon opens."""

from collections import abc
import socket
import typing

#: Milliseconds that sent data may stay unacknowledged before the connection
#: is considered dead. A network partition causes no other sign of failure.
USER_TIMEOUT_MS = 1000

#: TCP keep-alive: seconds that a connection is idle before it is probed,
#: seconds between two probes, and the number of unanswered probes after
#: which it is considered dead.
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

#: Creates the socket for a connection to an address, given the address
#: information as aiohttp passes it.
SocketFactory = abc.Callable[[tuple[typing.Any, ...]], socket.socket]


def make_socket_factory(host: str) -> SocketFactory:
    """Make a function that creates sockets bound to a local address.

    :param host: the IP address that connections are made from.
    """

    def create_socket(info: tuple[typing.Any, ...]) -> socket.socket:
        family, kind, proto, *_ = info
        created = socket.socket(family, kind, proto)
        try:
            created.setblocking(False)
            for level, option, value in _OPTIONS:
                created.setsockopt(level, option, value)
            created.bind((host, 0))
        except OSError:
            created.close()
            raise
        return created

    return create_socket
