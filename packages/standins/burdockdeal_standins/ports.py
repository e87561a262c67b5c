"""Ports that no one listens on."""

from collections import abc
import itertools
import os
import socket

HOST = "127.0.0.1"

_FIRST_PORT = 10_000
_LAST_PORT = 32_000
_PORTS_PER_PROCESS = 211


def _count_ports() -> abc.Iterator[int]:
    """Count through ports below those that outgoing connections take."""
    span = _LAST_PORT - _FIRST_PORT
    first = os.getpid() * _PORTS_PER_PROCESS
    for step in itertools.count():
        yield _FIRST_PORT + (first + step) % span


_PORTS = _count_ports()


def free_port(host: str = HOST) -> int:
    """Find a port that no one listens on."""
    for port in _PORTS:
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
            return port
    raise AssertionError("the ports never end")
