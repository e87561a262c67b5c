"""Allocation of unused ports for tests."""

from collections import abc
import itertools
import os
import socket

HOST = "127.0.0.1"

_FIRST_PORT = 10_000
_LAST_PORT = 32_000
_PORTS_PER_PROCESS = 211


def _cycle_ports() -> abc.Iterator[int]:
    """Cycle through the ports below the ephemeral range.

    Outgoing connections take their ports from that range. The start depends
    on the process id, so that parallel test workers rarely collide.
    """
    span = _LAST_PORT - _FIRST_PORT
    first = os.getpid() * _PORTS_PER_PROCESS
    for step in itertools.count():
        yield _FIRST_PORT + (first + step) % span


_PORTS = _cycle_ports()


def free_port(host: str = HOST) -> int:
    """Return a port that is free to listen on at the moment of the call."""
    for port in _PORTS:
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
            return port
    raise AssertionError("the port iterator is infinite")
