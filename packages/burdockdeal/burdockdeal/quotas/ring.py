"""The hash ring by which all daemons agree on the lender of a workspace."""

import bisect
from collections import abc
import functools
import hashlib
import random


@functools.lru_cache(maxsize=4096)
def hash_name(name: str) -> int:
    """Compute the position of a name on the ring."""
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


class HashRing:
    """The positions of the active daemons.

    A lookup takes one bisection, and so does a change of the membership.
    """

    def __init__(self, names: abc.Iterable[str] = ()) -> None:
        self._points = sorted((hash_name(name), name) for name in names)

    def __len__(self) -> int:
        return len(self._points)

    def add(self, name: str) -> None:
        """Add a daemon; has no effect on one that is there."""
        point = (hash_name(name), name)
        index = bisect.bisect_left(self._points, point)
        if self._points[index : index + 1] != [point]:
            self._points.insert(index, point)

    def discard(self, name: str) -> None:
        """Remove a daemon; has no effect on one that is not there."""
        point = (hash_name(name), name)
        index = bisect.bisect_left(self._points, point)
        if self._points[index : index + 1] == [point]:
            del self._points[index]

    def choose(self, rng: random.Random) -> str:
        """Choose a daemon at random; there has to be one."""
        return rng.choice(self._points)[1]

    def walk(self, key: str) -> abc.Iterator[str]:
        """Return all daemons in the order in which they would lend."""
        start = bisect.bisect_left(self._points, (hash_name(key), ""))
        count = len(self._points)
        for offset in range(count):
            yield self._points[(start + offset) % count][1]

    def find_first(
        self, key: str, skipped: abc.Container[str] = ()
    ) -> str | None:
        """Find the first daemon at or after a key's hash.

        :param skipped: daemons that are left out.
        """
        for name in self.walk(key):
            if name not in skipped:
                return name
        return None

    def find_predecessor(self, name: str) -> str | None:
        """Find the daemon before a daemon, itself if it is alone."""
        if not self._points:
            return None
        index = bisect.bisect_left(self._points, (hash_name(name), name))
        return self._points[index - 1][1]
