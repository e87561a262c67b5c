"""Results of the store's client, and messages about reads of the store."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A key of the store and its value.

    :param version: the store's revision at which the key was last written;
        0 if it does not exist.
    """

    key: str
    value: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """The entries whose keys start with a prefix.

    :param revision: the store's revision at the time of the read.
    """

    entries: tuple[Entry, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease that the store granted.

    :param ttl_s: seconds until the lease lapses unless it is renewed.
    """

    lease_id: int
    ttl_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRequest:
    """Asks a daemon to read the configuration from the store."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadResult:
    """Result of a read on behalf of another daemon.

    :param read: whether the store answered.
    """

    read: bool
