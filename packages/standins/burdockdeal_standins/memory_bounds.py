"""Bounds on the memory of daemons that run on a small machine."""

from collections import abc
import dataclasses

from burdockdeal_standins import crowd
from burdockdeal_standins import fleet as fleets

#: Of the smallest machine that runs a daemon. A daemon may use half of what
#: is left above an idle one, since the other half is its upstream's.
MACHINE_BYTES = 200_000_000
SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryBound:
    """What a daemon may use, from what it used while idle."""

    node: fleets.Node
    memory_bytes: float

    def check(self) -> None:
        """Check that the daemon lives, and the peak of its memory."""
        name = self.node.spec.name
        assert self.node.daemon.returncode is None, name
        peak = crowd.read_memory(self.node.daemon.pid)["VmHWM"]
        print(f"{name}: peak {peak / 1e6:.1f} MB")
        assert peak <= self.memory_bytes, name


def measure_bounds(
    nodes: abc.Iterable[fleets.Node],
) -> tuple[MemoryBound, ...]:
    """Compute the bounds of daemons that are idle now."""
    bounds = []
    for node in nodes:
        idle = crowd.read_memory(node.daemon.pid)["VmRSS"]
        allowed = idle + SHARE * (MACHINE_BYTES - idle)
        bounds.append(MemoryBound(node, allowed))
    return tuple(bounds)
