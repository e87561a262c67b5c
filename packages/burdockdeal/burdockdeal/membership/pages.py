"""Parts of a roster, for a daemon whose roster differs."""

from burdockdeal.membership import decisions
from burdockdeal.membership import messages
from burdockdeal.membership import roster

#: Records on one page at the least; it ends with the bucket that is begun.
RECORDS_PER_PAGE = 500


def make_page(
    standing: roster.Roster, wanted: messages.PageRequest
) -> messages.Page:
    """Make the next page of the buckets whose sums differ.

    :param wanted: where to begin, and the sums of the asker.
    """
    sums = standing.checksums
    same_length = len(wanted.sums) == len(sums)
    differing = [
        bucket
        for bucket in range(max(0, wanted.first), len(sums))
        if not same_length or wanted.sums[bucket] != sums[bucket]
    ]
    by_bucket: dict[int, list[messages.Member]] = {}
    for member in standing.list_in_buckets(frozenset(differing)):
        bucket = decisions.bucket_of(member.daemon)
        by_bucket.setdefault(bucket, []).append(member)
    chosen: list[messages.Member] = []
    for bucket in differing:
        if len(chosen) >= RECORDS_PER_PAGE:
            return messages.Page(tuple(chosen), following=bucket)
        chosen += by_bucket.get(bucket, [])
    return messages.Page(tuple(chosen))
