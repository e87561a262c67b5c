"""Messages stored in the change log and exchanged by its interfaces."""

import dataclasses
import enum

import msgspec

from burdockdeal.settings import model

#: Prefix of the change log's keys in the store.
LOG_PREFIX = "config/log/"

#: Key of the manifest, which names the current snapshot in the store.
MANIFEST_KEY = "config/manifest"

#: Prefix of the keys of snapshot parts in the store.
SNAPSHOT_PREFIX = "config/snapshot/"


class Action(enum.StrEnum):
    """What a change does to a resource."""

    PUT = "PUT"
    DELETE = "DELETE"


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One entry of the change log, the source of truth of configuration.

    :param revision: its position in the log; entries are created once, by
        compare-and-swap, and never altered.
    :param change_id: unique to the request, so that the change can be
        recognised in the log after the store's answer was lost.
    :param operator: the name of the operator who made the change.
    :param at_ms: the wall clock at the writer, in milliseconds.
    :param previous_generation: the resource's generation before, 0 for
        none.
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
    """Consecutive changes of the log, for a peer that is behind.

    :param revision: the active revision of the sender.
    :param needs_snapshot: whether the sender no longer holds the changes
        that the peer lacks, so that the peer must fetch a snapshot.
    """

    changes: tuple[Change, ...]
    revision: int = 0
    needs_snapshot: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StoredResource:
    """A resource as encoded in snapshots."""

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
    :param position: its index, from 0.
    :param parts: the number of parts of the snapshot.
    """

    revision: int
    position: int
    parts: int
    resources: tuple[StoredResource, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Manifest:
    """Identifies the current snapshot in the store.

    :param revision: the revision of the snapshot.
    :param snapshot: the folder of its parts below SNAPSHOT_PREFIX.
    :param parts: the number of its parts.
    """

    revision: int
    snapshot: str
    parts: int


@dataclasses.dataclass(frozen=True, slots=True)
class Spread:
    """Changes for a range of daemons, and a query of what they apply.

    The receiver forwards the message within the range and answers with the
    revision that all daemons of the range apply. Without changes, the
    message is the query alone.

    :param first: the first name of the range, inclusive.
    :param last: the name at which it ends, exclusive; empty for no end.
    :param path: the daemons that forwarded the message, which are left out.
    :param sender: the address from which to fetch older changes.
    :param revision: the active revision of the sender.
    :param wait_ms: milliseconds for which the sender waits for the answer.
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
    """The revision applied by a daemon, or by all daemons of a domain.

    :param revision: the lowest revision among the daemons that answered.
    :param daemons: the number of daemons that answered.
    :param unreached: the number of daemons that did not answer and have not
        left.
    :param lost: the number of daemons believed dead for so long that they
        no longer count as unreached.
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
    """How far a resource's generation has propagated through the fleet.

    :param conditions: Accepted and InForceEverywhere.
    :param domains: the revision that each failure domain applies.
    """

    conditions: tuple[Condition, ...]
    domains: tuple[Applied, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A resource as the operators' interface returns it."""

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
    """The error body of the operators' interface.

    An accepted deletion is also answered with it: the error is then empty.

    :param error: why the request was refused.
    :param faults: one line for each field that is wrong.
    :param generation: the resource's current generation after a conflict,
        or the one that the request made; 0 if not applicable.
    :param change_id: if it isn't known whether the change was accepted, the
        id under which to look for it in the audit trail.
    """

    error: str
    faults: tuple[str, ...] = ()
    generation: int = 0
    change_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class WatchResponse:
    """The answer to a watch: the changes after a revision.

    :param revision: the active revision of the daemon.
    :param complete: whether the listed changes follow the given revision
        without a gap; if not, the client must read all resources.
    """

    revision: int
    complete: bool
    changes: tuple[Change, ...]
