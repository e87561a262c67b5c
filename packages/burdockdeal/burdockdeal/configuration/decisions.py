"""Decisions on the configuration: folding the log, checking a change."""

from collections import abc
import types

import msgspec

from burdockdeal.configuration import messages
from burdockdeal.configuration import resources
from burdockdeal.configuration import state
from burdockdeal.core import errors


def log_key(revision: int) -> str:
    """Name the store's key of a log entry, in the order of revisions."""
    return f"{messages.LOG_PREFIX}{revision:012d}"


def apply(
    configuration: state.Configuration, change: messages.Change
) -> state.Configuration:
    """Fold one change into the configuration.

    Only the very next revision is taken, so that a stale or repeated
    entry can't revert anything.

    :returns: the next configuration, or the same one if the change is
        not the next.
    """
    if change.revision != configuration.revision + 1:
        return configuration
    standing = dict(configuration.resources)
    key = state.Key(change.kind, change.name)
    if change.action is messages.Action.DELETE:
        standing.pop(key, None)
    else:
        kind = resources.KINDS[change.kind]
        standing[key] = resources.Resource(
            kind=change.kind,
            name=change.name,
            generation=change.revision,
            spec=msgspec.json.decode(change.spec, type=kind),
            changed_by=change.operator,
            changed_at_ms=change.at_ms,
        )
    return state.Configuration(
        revision=change.revision, resources=types.MappingProxyType(standing)
    )


def apply_all(
    configuration: state.Configuration, changes: abc.Iterable[messages.Change]
) -> state.Configuration:
    """Fold changes in the order of their revisions."""
    for change in sorted(changes, key=lambda change: change.revision):
        configuration = apply(configuration, change)
    return configuration


def check_generation(
    configuration: state.Configuration, key: state.Key, expected: int | None
) -> None:
    """Compare the generation that an operator saw with what stands.

    :param expected: the generation from If-Match, 0 for "none yet", None
        if the operator gave none.
    :raises ConflictError: if they differ, or none was given for a
        resource that stands.
    """
    standing = configuration.resources.get(key)
    current = standing.generation if standing else 0
    if expected is None and current:
        raise errors.ConflictError(
            f"{key} stands at generation {current}; send it as If-Match",
            current,
        )
    if expected is not None and expected != current:
        raise errors.ConflictError(
            f"{key} stands at generation {current}, not {expected}", current
        )


def check_references(
    configuration: state.Configuration,
    key: state.Key,
    spec: resources.Spec | None,
) -> None:
    """Check a change against the other resources.

    :param spec: the new spec, None if the resource is to be deleted.
    :raises ResourceError: if a rule would name what does not exist.
    """
    faults: list[errors.Fault] = []
    if isinstance(spec, resources.Rule):
        for kind, name in (("Service", spec.service), ("Rank", spec.rank)):
            if state.Key(kind, name) not in configuration.resources:
                field = f"spec.{kind.lower()}"
                fault = errors.Fault(field, f"no {kind} is named {name}")
                faults.append(fault)
    if spec is None:
        faults += [
            errors.Fault("name", f"Rule/{rule.name} still names {key}")
            for rule in configuration.of_kind("Rule")
            if key
            in (
                state.Key("Service", rule.spec.service),
                state.Key("Rank", rule.spec.rank),
            )
        ]
    if isinstance(spec, resources.Rank):
        others = sum(
            rank.spec.floor
            for rank in configuration.of_kind("Rank")
            if rank.name != key.name
        )
        if others + spec.floor > 1:
            faults.append(
                errors.Fault("spec.floor", "the floors of all ranks exceed 1")
            )
    if faults:
        raise errors.ResourceError(str(key), tuple(faults))
