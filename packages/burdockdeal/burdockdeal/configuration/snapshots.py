"""Snapshots: all resources of a revision, split into parts for the store."""

from collections import abc
import types

from burdockdeal.configuration import decisions
from burdockdeal.configuration import messages
from burdockdeal.configuration import resources
from burdockdeal.configuration import state
from burdockdeal.core import codec

#: Maximum bytes of a part; a single larger resource gets a part of its own.
MAX_PART_BYTES = 400_000

#: Changes since the last snapshot after which a new one is due.
CHANGES_PER_SNAPSHOT = 1024


class IncompleteError(codec.MalformedError):
    """A part is missing, or the parts belong to different snapshots."""


def split(
    configuration: state.Configuration, *, part_bytes: int = MAX_PART_BYTES
) -> tuple[messages.Part, ...]:
    """Split a configuration into the parts of a snapshot, in key order.

    :param part_bytes: maximum bytes of one part; a single larger resource
        gets a part of its own.
    :returns: at least one part, also for an empty configuration.
    """
    groups: list[list[messages.StoredResource]] = [[]]
    size = 0
    for key in sorted(configuration.resources):
        stored = decisions.to_stored(configuration.resources[key])
        length = len(codec.encode(stored))
        if groups[-1] and size + length > part_bytes:
            groups.append([])
            size = 0
        groups[-1].append(stored)
        size += length
    return tuple(
        messages.Part(
            configuration.revision, position, len(groups), tuple(group)
        )
        for position, group in enumerate(groups)
    )


def join(parts: abc.Sequence[messages.Part]) -> state.Configuration:
    """Join the parts of a snapshot, given in any order.

    :raises IncompleteError: if a part is missing or belongs to another
        snapshot.
    :raises MalformedError: if a resource can't be decoded.
    """
    if not parts:
        raise IncompleteError("the snapshot has no parts")
    ordered = sorted(parts, key=lambda part: part.position)
    revision, count = ordered[0].revision, ordered[0].parts
    found = [(part.revision, part.parts, part.position) for part in ordered]
    if found != [(revision, count, index) for index in range(count)]:
        raise IncompleteError(
            f"snapshot of revision {revision} has a missing or foreign part"
        )
    joined = {
        state.Key(stored.kind, stored.name): decisions.from_stored(stored)
        for part in ordered
        for stored in part.resources
    }
    return state.Configuration(revision, types.MappingProxyType(joined))


def check_copies(originals: abc.Iterable[resources.Resource]) -> None:
    """Check that daemons can copy resources from each other.

    :raises MalformedError: naming the first resource that they can't.
    """
    for original in originals:
        stored = codec.encode(decisions.to_stored(original))
        try:
            copied = decisions.from_stored(
                codec.decode(stored, messages.StoredResource)
            )
        except codec.MalformedError as error:
            raise codec.MalformedError(
                f"{original.kind}/{original.name}: {error}"
            ) from error
        if copied != original:
            raise codec.MalformedError(
                f"{original.kind}/{original.name} changes when it is copied"
            )


def is_due(
    revision: int, snapshot: int, *, period: int = CHANGES_PER_SNAPSHOT
) -> bool:
    """Return whether a new snapshot should be written.

    :param revision: the active revision.
    :param snapshot: the revision of the newest known snapshot.
    :param period: changes after which a snapshot is due.
    """
    return revision - snapshot >= period


def can_replace(current: messages.Manifest | None, revision: int) -> bool:
    """Return whether a snapshot of a revision may replace the current one."""
    return current is None or current.revision < revision


def name_folder(revision: int, snapshot_id: str) -> str:
    """Return the name of the folder that holds a snapshot's parts.

    :param snapshot_id: unique, so that racing writers use different folders.
    """
    return f"{revision:012d}-{snapshot_id}"


def part_key(folder: str, position: int) -> str:
    """Return the store's key for a part."""
    return f"{messages.SNAPSHOT_PREFIX}{folder}/{position:04d}"


def is_obsolete(key: str, manifest: messages.Manifest) -> bool:
    """Return whether a part belongs to no current or future snapshot.

    A snapshot that is still being written may become current only if its
    revision is greater than the current one's: at any other revision it
    loses the compare-and-swap of the manifest.

    :param key: the store's key of the part.
    :param manifest: the manifest of the current snapshot.
    """
    folder = key.removeprefix(messages.SNAPSHOT_PREFIX).split("/")[0]
    if folder == manifest.snapshot:
        return False
    return int(folder.split("-")[0]) <= manifest.revision
