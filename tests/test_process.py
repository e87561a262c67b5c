"""System resources of a running daemon: one thread, no io_uring."""

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


async def test_one_thread_and_no_io_uring(small_fleet: standins.Fleet) -> None:
    for node in small_fleet.nodes.values():
        for path in ("/jobs/1", "/jobs/2"):
            async with small_fleet.session.get(
                node.caller_url + path
            ) as answer:
                assert answer.status == 200
    for node in small_fleet.nodes.values():
        descriptors = _read_descriptors(node.daemon.pid)
        assert any("socket" in name for name in descriptors)
        assert not [name for name in descriptors if "io_uring" in name]
        assert _count_threads(node.daemon.pid) == 1
        assert "/dev/shm" not in _read_maps(node.daemon.pid)


def test_anonymous_inode_descriptors_are_detected() -> None:
    # An eventfd is an anon_inode descriptor, as an io_uring would be.
    descriptor = os.eventfd(0)
    try:
        names = _read_descriptors(os.getpid())
        assert [name for name in names if "anon_inode" in name]
    finally:
        os.close(descriptor)
