"""Updates that are still to be piggybacked on probes."""

from collections import abc
import heapq

from burdockdeal.membership import messages

#: Maximum number of records and of claims in one probe, which bounds its
#: size.
MEMBERS_PER_PING = 8
CLAIMS_PER_PING = 40


class GossipQueue:
    """Queue of daemons with updates to send, with the send count of each."""

    def __init__(self) -> None:
        self._members: dict[str, int] = {}
        self._claims: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._members) + len(self._claims)

    def enqueue(
        self, known: messages.Member | None, current: messages.Member
    ) -> None:
        """Queue a changed record, or just a claim if only its health changed.

        :param known: the previous record, None for a new daemon.
        :param current: the new record.
        """
        is_same_version = known is not None and (
            (known.incarnation, known.serial)
            == (current.incarnation, current.serial)
        )
        if is_same_version and current.daemon not in self._members:
            self._claims[current.daemon] = 0
        else:
            self._claims.pop(current.daemon, None)
            self._members[current.daemon] = 0

    def take_members(self, limit: int) -> tuple[str, ...]:
        """Take the daemons whose records go into the next probe.

        :param limit: number of sends after which an update is removed.
        """
        return _take_least_sent(self._members, MEMBERS_PER_PING, limit)

    def take_claims(self, limit: int) -> tuple[str, ...]:
        """Take the daemons whose claims go into the next probe.

        :param limit: number of sends after which an update is removed.
        """
        return _take_least_sent(self._claims, CLAIMS_PER_PING, limit)


def _take_least_sent(
    send_counts: dict[str, int], count: int, limit: int
) -> tuple[str, ...]:
    selected: abc.Sequence[str] = heapq.nsmallest(
        count, send_counts, key=send_counts.__getitem__
    )
    for daemon in selected:
        send_counts[daemon] += 1
        if send_counts[daemon] >= limit:
            del send_counts[daemon]
    return tuple(selected)
