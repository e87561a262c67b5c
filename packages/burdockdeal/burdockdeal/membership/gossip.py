"""News that is still to be passed on."""

from collections import abc
import heapq

from burdockdeal.membership import messages

#: Records and claims beside one probe, which bounds its bytes.
MEMBERS_PER_PING = 8
CLAIMS_PER_PING = 40


class News:
    """Daemons whose record is news, and how often each was passed on."""

    def __init__(self) -> None:
        self._members: dict[str, int] = {}
        self._claims: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._members) + len(self._claims)

    def add(
        self, known: messages.Member | None, stands: messages.Member
    ) -> None:
        """Note that a daemon's record changed."""
        same = known is not None and (
            (known.incarnation, known.serial)
            == (stands.incarnation, stands.serial)
        )
        if same and stands.daemon not in self._members:
            self._claims[stands.daemon] = 0
        else:
            self._claims.pop(stands.daemon, None)
            self._members[stands.daemon] = 0

    def take_members(self, limit: int) -> tuple[str, ...]:
        """Name the daemons whose records go with the next probe.

        :param limit: how often a news is passed on.
        """
        return _take(self._members, MEMBERS_PER_PING, limit)

    def take_claims(self, limit: int) -> tuple[str, ...]:
        """Name the daemons whose healths go with the next probe."""
        return _take(self._claims, CLAIMS_PER_PING, limit)


def _take(sent: dict[str, int], count: int, limit: int) -> tuple[str, ...]:
    chosen: abc.Sequence[str] = heapq.nsmallest(
        count, sent, key=sent.__getitem__
    )
    for daemon in chosen:
        sent[daemon] += 1
        if sent[daemon] >= limit:
            del sent[daemon]
    return tuple(chosen)
