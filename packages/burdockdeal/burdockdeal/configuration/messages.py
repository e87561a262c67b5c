"""Messages of the configuration: the change log and the interface."""

import dataclasses
import enum

import msgspec

#: Where the change log stands in the store.
LOG_PREFIX = "config/log/"


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
    """A stretch of the change log, for a peer that is behind."""

    changes: tuple[Change, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The revision that a daemon, or all daemons of a domain, apply.

    :param unreached: daemons believed alive that did not answer.
    """

    failure_domain: str
    revision: int
    daemons: int
    unreached: int


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
    """

    error: str
    faults: tuple[str, ...] = ()
    generation: int = 0
