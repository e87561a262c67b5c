"""Messages of the configuration: the change log and the interface."""

import dataclasses
import enum

import msgspec

from burdockdeal.settings import model

#: Where the change log stands in the store.
LOG_PREFIX = "config/log/"

#: Names the snapshot that stands in the store.
MANIFEST_KEY = "config/manifest"

#: Where the parts of snapshots stand in the store.
SNAPSHOT_PREFIX = "config/snapshot/"


class Action(enum.StrEnum):
    """What a change does to a resource."""

    PUT = "PUT"
    DELETE = "DELETE"


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One entry of the change log, which is the configuration's truth.

    :param revision: its place in the log; entries are created once, by
        compare-and-swap, and never altered.
    :param change_id: unique to the attempt, to know it again when the
        store's answer was lost.
    :param spec: the resource's spec as JSON, null for DELETE.
    """

    revision: int
    change_id: str
    operator: str
    at_ms: int
    action: Action
    kind: str
    name: str
    previous_generation: int
    spec: msgspec.Raw


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """A stretch of the change log, for a peer that is behind.

    :param revision: the revision in force at the sender.
    :param needs_snapshot: the sender no longer holds the changes that
        the peer lacks.
    """

    changes: tuple[Change, ...]
    revision: int = 0
    needs_snapshot: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StoredResource:
    """A resource as snapshots hold it."""

    kind: str
    name: str
    generation: int
    changed_by: str
    changed_at_ms: int
    spec: msgspec.Raw


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """One part of a snapshot.

    :param revision: the revision of the whole snapshot.
    :param position: its place, from 0.
    :param parts: how many there are.
    """

    revision: int
    position: int
    parts: int
    resources: tuple[StoredResource, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Manifest:
    """Names the snapshot that stands in the store.

    :param snapshot: the folder of its parts below SNAPSHOT_PREFIX.
    """

    revision: int
    snapshot: str
    parts: int


@dataclasses.dataclass(frozen=True, slots=True)
class Spread:
    """Changes for the daemons of a range of names, and a question.

    The receiver passes it on within the range and answers what all the
    daemons of the range apply. Without changes it is only the question.

    :param first: the first name of the range.
    :param last: the name at which the range ends; empty for no end.
    :param path: the daemons that passed it on, which are left out.
    :param sender: where the sender can be asked for older changes.
    :param revision: the revision in force at the sender.
    :param wait_ms: how long the sender waits for the answer.
    """

    first: str
    last: str
    path: tuple[str, ...]
    sender: model.Address
    revision: int
    wait_ms: float
    changes: tuple[Change, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The revision that a daemon, or all daemons of a domain, apply.

    :param revision: the lowest of those that answered.
    :param daemons: how many answered.
    :param unreached: daemons that did not answer and have not left.
    :param lost: daemons believed dead for long, which are not counted.
    """

    failure_domain: str
    revision: int
    daemons: int
    unreached: int
    lost: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """One condition of a resource's status."""

    type: str
    status: bool
    reason: str
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """What is known of a resource's spread.

    :param conditions: Accepted and InForceEverywhere.
    :param domains: what each failure domain applies.
    """

    conditions: tuple[Condition, ...]
    domains: tuple[Applied, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A resource as the interface shows it."""

    kind: str
    name: str
    generation: int
    changed_by: str
    changed_at_ms: int
    spec: msgspec.Raw
    status: Status | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Documents:
    """A list of resources."""

    resources: tuple[Document, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Why the interface refused a call.

    :param faults: one plain line for each field that is wrong.
    :param generation: the generation that stands.
    :param change_id: where it isn't known whether the change was
        accepted, the id by which the audit trail will show it.
    """

    error: str
    faults: tuple[str, ...] = ()
    generation: int = 0
    change_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Watched:
    """Changes after a revision, the answer to a waiting watch.

    :param revision: the revision in force at the daemon.
    :param complete: whether every change after the one given is listed.
    """

    revision: int
    complete: bool
    changes: tuple[Change, ...]
