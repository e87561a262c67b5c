"""Paged transfer of the records in which another daemon's roster differs."""

from burdockdeal.membership import decisions
from burdockdeal.membership import messages
from burdockdeal.membership import roster

#: Number of records from which on a page is full. A bucket is never split,
#: so that a page may hold more.
PAGE_TARGET_RECORDS = 500


def make_page(
    local_roster: roster.Roster, request: messages.PageRequest
) -> messages.Page:
    """Make the next page of the buckets whose checksums differ.

    :param request: the bucket to start at, and the requester's checksums.
    """
    checksums = local_roster.checksums
    same_length = len(request.sums) == len(checksums)
    differing = [
        bucket
        for bucket in range(max(0, request.first), len(checksums))
        if not same_length or request.sums[bucket] != checksums[bucket]
    ]
    by_bucket: dict[int, list[messages.Member]] = {}
    for member in local_roster.list_in_buckets(frozenset(differing)):
        bucket = decisions.find_bucket(member.daemon)
        by_bucket.setdefault(bucket, []).append(member)
    selected: list[messages.Member] = []
    for bucket in differing:
        if len(selected) >= PAGE_TARGET_RECORDS:
            return messages.Page(tuple(selected), following=bucket)
        selected += by_bucket.get(bucket, [])
    return messages.Page(tuple(selected))
