"""Results of the store's client, and messages about reads of the store."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Version:
    """A revision of the store, or of one of its keys.

    A store that is restored from an old copy issues its revisions again, so
    that a revision means something only within its era.

    :param era: how often the store had been restored.
    :param revision: the store's revision; 0 for a key that does not exist.
    """

    era: int
    revision: int


#: The version of an absent key in a store that was never restored.
ABSENT = Version(0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A key of the store and its value.

    :param version: the version at which the key was last written.
    """

    key: str
    value: str
    version: Version


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """The entries whose keys start with a prefix.

    :param version: the store's version when the read began. No change up to
        it is missing.
    """

    entries: tuple[Entry, ...]
    version: Version


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease that the store granted.

    :param ttl_s: seconds until the lease lapses unless it is renewed.
    :param era: the store's era; the id may be another lease's in a later one.
    """

    lease_id: int
    ttl_s: float
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRequest:
    """Asks a daemon to read the configuration from the store."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadResult:
    """Result of a read on behalf of another daemon.

    :param read: whether the store answered.
    """

    read: bool
