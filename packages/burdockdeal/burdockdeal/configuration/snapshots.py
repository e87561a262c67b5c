"""Snapshots: all resources of a revision, in parts that the store takes."""

from collections import abc
import types

from burdockdeal.configuration import decisions
from burdockdeal.configuration import messages
from burdockdeal.configuration import state
from burdockdeal.core import codec

#: Bytes of one part at most, but for a single larger resource.
PART_BYTES = 400_000

#: Changes after which a new snapshot is due.
CHANGES_PER_SNAPSHOT = 1024


class IncompleteError(codec.MalformedError):
    """The parts do not make up a snapshot."""


def split(
    configuration: state.Configuration, *, part_bytes: int = PART_BYTES
) -> tuple[messages.Part, ...]:
    """Split a configuration into the parts of a snapshot, by key.

    :param part_bytes: bytes of one part at most.
    :returns: at least one part.
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
    """Join the parts of a snapshot.

    :raises IncompleteError: if a part is missing or of another one.
    """
    if not parts:
        raise IncompleteError("a snapshot has at least one part")
    ordered = sorted(parts, key=lambda part: part.position)
    revision, count = ordered[0].revision, ordered[0].parts
    found = [(part.revision, part.parts, part.position) for part in ordered]
    if found != [(revision, count, place) for place in range(count)]:
        raise IncompleteError(f"revision {revision}: a part is missing")
    resources = {
        state.Key(stored.kind, stored.name): decisions.from_stored(stored)
        for part in ordered
        for stored in part.resources
    }
    return state.Configuration(revision, types.MappingProxyType(resources))


def is_due(
    revision: int, snapshot: int, *, period: int = CHANGES_PER_SNAPSHOT
) -> bool:
    """Tell whether a new snapshot should be written."""
    return revision - snapshot >= period


def may_replace(stands: messages.Manifest | None, revision: int) -> bool:
    """Tell whether a snapshot may take the place of the one that stands."""
    return stands is None or stands.revision < revision


def name_folder(revision: int, snapshot_id: str) -> str:
    """Name the folder of a snapshot's parts."""
    return f"{revision:012d}-{snapshot_id}"


def part_key(folder: str, position: int) -> str:
    """Name the store's key of a part."""
    return f"{messages.SNAPSHOT_PREFIX}{folder}/{position:04d}"


def is_left_over(key: str, manifest: messages.Manifest) -> bool:
    """Tell whether a part belongs to no snapshot that may yet stand.

    A snapshot that is being written has a greater revision than the one
    that stands; any other can only lose its compare-and-swap.
    """
    folder = key.removeprefix(messages.SNAPSHOT_PREFIX).split("/")[0]
    if folder == manifest.snapshot:
        return False
    return int(folder.split("-")[0]) <= manifest.revision
