"""What a running daemon is to the machine: one thread, no io_uring."""

import os
import pathlib

from burdockdeal_standins import fleet as standins


def _read_descriptors(pid: int) -> list[str]:
    found = []
    for link in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        try:
            found.append(os.readlink(link))
        except FileNotFoundError:
            continue
    return found


def _count_threads(pid: int) -> int:
    return len(list(pathlib.Path(f"/proc/{pid}/task").iterdir()))


def _read_maps(pid: int) -> str:
    return pathlib.Path(f"/proc/{pid}/maps").read_text(encoding="utf-8")


async def test_one_thread_and_no_io_uring(small: standins.Fleet) -> None:
    for node in small.nodes.values():
        for path in ("/jobs/1", "/jobs/2"):
            async with small.session.get(node.caller_url + path) as answer:
                assert answer.status == 200
    for node in small.nodes.values():
        descriptors = _read_descriptors(node.daemon.pid)
        assert any("socket" in name for name in descriptors)
        assert not [name for name in descriptors if "io_uring" in name]
        assert _count_threads(node.daemon.pid) == 1
        assert "/dev/shm" not in _read_maps(node.daemon.pid)


def test_the_check_sees_an_io_uring() -> None:
    # A descriptor of the kind that the check looks for is found by it.
    descriptor = os.eventfd(0)
    try:
        names = _read_descriptors(os.getpid())
        assert [name for name in names if "anon_inode" in name]
    finally:
        os.close(descriptor)
