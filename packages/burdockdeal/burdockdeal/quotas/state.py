"""What a lender and an entry know of a workspace's credit."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """The quota of a workspace.

    :param requests_per_s: the rate of its requests, more than 0.
    :param burst: requests on top of that rate.
    """

    requests_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Bucket:
    """A lender's token bucket. Times are monotonic, in seconds.

    :param level: credits that can be lent.
    :param rate: the credits per second with which it was last filled.
    :param updated_at: the time of that level.
    :param asked_at: the time of the last request for credit.
    :param promised_until: refused entries were told times up to this one.
    """

    level: float
    rate: float
    updated_at: float
    asked_at: float
    promised_until: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Substitution:
    """The state of lending in the place of a daemon out of reach.

    :param lender: the daemon in whose place this one lends.
    :param since: when it began, monotonic time in seconds.
    :param held_until: until when it lends at a low rate, as the lender may
        still be lending on the other side of a network partition.
    :param checked_at: when the lender was last looked for.
    """

    lender: str
    since: float
    held_until: float
    checked_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """An entry's credit for a workspace. Times are monotonic, in seconds.

    :param limit: the quota under which the rest was learned.
    :param held: credits that can be used.
    :param expires_at: when they expire.
    :param refused_until: requests are refused until then without asking.
    :param retry_at: the time that refused callers are told.
    :param lender: the daemon that answered last, empty if none did.
    :param demand: requests of the recent past, weighted by their age.
    :param demanded_at: the time of that number.
    :param own_at: from when the entry may run one request on its own
        allowance; None while that was not needed.
    """

    limit: Limit
    held: int = 0
    expires_at: float = 0.0
    refused_until: float = 0.0
    retry_at: float = 0.0
    lender: str = ""
    demand: float = 0.0
    demanded_at: float = 0.0
    own_at: float | None = None
