"""Messages of the platform's store."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One key of the store.

    :param version: the store's revision that wrote it, 0 for none.
    """

    key: str
    value: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """The entries below a prefix.

    :param revision: the store's revision when it was read.
    """

    entries: tuple[Entry, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease granted by the store.

    :param ttl_s: seconds until it lapses unless it is renewed.
    """

    lease_id: int
    ttl_s: float
