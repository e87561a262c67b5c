"""Allocation of ports by several test processes at once.

Two test workers were given the same port, and a daemon of one could not start.
"""

import asyncio
import contextlib
import os
import socket
import sys

import pytest

from burdockdeal_standins import ports

_PROCESSES = 6
_ALLOCATED = 300

#: Allocates ports, and holds them until its input ends.
_PROGRAM = f"""
import sys
from burdockdeal_standins import ports
start, host = int(sys.argv[1]), sys.argv[2]
with ports.PortAllocator(start, host) as allocator:
    print(*(allocator.allocate(host) for _ in range({_ALLOCATED})), flush=True)
    sys.stdin.read()
"""


def _find_own_host() -> str:
    """Find a loopback address that no other test process uses.

    What other tests allocate at the same time is not disturbed.
    """
    high, middle, low = os.getpid().to_bytes(3, "big")
    return f"127.{128 + high}.{middle}.{low}"


def _open_allocator(start: int) -> ports.PortAllocator:
    return ports.PortAllocator(start, _find_own_host())


async def _allocate(start: int) -> tuple[asyncio.subprocess.Process, set[int]]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        _PROGRAM,
        str(start),
        _find_own_host(),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    line = await asyncio.wait_for(process.stdout.readline(), 20)
    return process, set(map(int, line.split()))


@pytest.mark.parametrize("starts", [[3] * _PROCESSES, range(_PROCESSES)])
async def test_processes_that_start_alike_get_different_ports(
    starts: list[int],
) -> None:
    holders = await asyncio.gather(*map(_allocate, starts))
    try:
        allocated = [found for _, found in holders]
        assert [len(found) for found in allocated] == [_ALLOCATED] * _PROCESSES
        assert len(set.union(*allocated)) == _ALLOCATED * _PROCESSES
    finally:
        for process, _ in holders:
            process.stdin.close()
        await asyncio.gather(*(process.wait() for process, _ in holders))


async def test_the_block_of_a_killed_process_is_free_again() -> None:
    process, before = await _allocate(5)
    process.kill()
    await process.wait()
    process, after = await _allocate(5)
    process.stdin.close()
    await process.wait()
    assert after == before


def test_a_port_that_is_in_use_is_passed_over() -> None:
    host = _find_own_host()
    with _open_allocator(7) as allocator:
        first = allocator.allocate(host)
        with socket.socket() as other:
            other.bind((host, first + 1))
            assert allocator.allocate(host) == first + 2


def test_a_port_is_allocated_again_after_all_others() -> None:
    host = _find_own_host()
    with _open_allocator(9) as allocator:
        allocated = [
            allocator.allocate(host) for _ in range(ports.BLOCK_PORTS - 1)
        ]
        assert len(set(allocated)) == len(allocated)
        assert allocator.allocate(host) == allocated[0]


def test_no_block_is_shared_if_all_are_in_use() -> None:
    with contextlib.ExitStack() as stack:
        for _ in range(ports.BLOCK_COUNT):
            stack.enter_context(_open_allocator(0))
        with pytest.raises(ports.NoBlockError):
            _open_allocator(0)
