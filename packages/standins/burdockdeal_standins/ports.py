"""Allocation of unused ports for tests and experiments.

Several test workers, and several runs, may be active on one machine. Each
process takes ports from a block of its own, so that no other process is given
a port between its allocation and the time at which a daemon listens on it.
"""

import contextlib
import functools
import itertools
import os
import socket

HOST = "127.0.0.1"

#: The blocks lie below the range from which outgoing connections take ports.
FIRST_PORT = 10_000
BLOCK_PORTS = 1000
BLOCK_COUNT = 22


class NoBlockError(Exception):
    """Other processes hold all blocks of ports."""


def _reserve_block(start: int, host: str) -> tuple[socket.socket, int]:
    """Reserve a block by binding its first port.

    The operating system releases it at the end of the process.

    :param start: index of the block to try first.
    :param host: the address at which the port is bound.
    :returns: the bound socket and the first port.
    """
    for step in range(BLOCK_COUNT):
        first = FIRST_PORT + (start + step) % BLOCK_COUNT * BLOCK_PORTS
        guard = socket.socket()
        try:
            guard.bind((host, first))
        except OSError:
            guard.close()
            continue
        return guard, first
    raise NoBlockError(f"all {BLOCK_COUNT} blocks of ports are in use")


class PortAllocator(contextlib.AbstractContextManager):
    """Allocates ports from a block that no other process allocates from.

    A port is allocated again after all others of the block, when the process
    that it was allocated for has ended.

    :param start: index of the block to try first.
    :param guard_host: the address at which blocks are reserved, which all
        processes that share the ports have in common.
    """

    def __init__(self, start: int, guard_host: str = HOST) -> None:
        self._guard, first = _reserve_block(start, guard_host)
        self._ports = itertools.cycle(range(first + 1, first + BLOCK_PORTS))

    def __exit__(self, *exc_info: object) -> None:
        self._guard.close()

    def allocate(self, host: str = HOST) -> int:
        """Return a port on which nothing listens."""
        for port in itertools.islice(self._ports, BLOCK_PORTS):
            with socket.socket() as probe:
                try:
                    probe.bind((host, port))
                except OSError:
                    continue
                return port
        raise NoBlockError("all ports of the block are in use")


@functools.cache
def _open_allocator() -> PortAllocator:
    """Reserve a block of ports until the end of the process."""
    return PortAllocator(os.getpid())


def free_port(host: str = HOST) -> int:
    """Return a port that no other process is given while this one runs."""
    return _open_allocator().allocate(host)
