"""Pure decisions: applying the log to a configuration, checking a change."""

from collections import abc
import types

import msgspec

from burdockdeal.configuration import log
from burdockdeal.configuration import messages
from burdockdeal.configuration import resources
from burdockdeal.configuration import state
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.workspaces import decisions as workspaces


def _read_spec(kind: str, raw: msgspec.Raw) -> resources.Spec:
    if kind not in resources.KINDS:
        raise codec.MalformedError(f"unknown resource kind {kind}")
    return codec.decode(raw, resources.KINDS[kind])


def to_stored(resource: resources.Resource) -> messages.StoredResource:
    """Convert a resource to its form in snapshots."""
    return messages.StoredResource(
        kind=resource.kind,
        name=resource.name,
        generation=resource.generation,
        changed_by=resource.changed_by,
        changed_at_ms=resource.changed_at_ms,
        spec=msgspec.Raw(codec.encode(resource.spec)),
    )


def from_stored(stored: messages.StoredResource) -> resources.Resource:
    """Convert a resource back from its form in snapshots.

    :raises MalformedError: if the kind is unknown or the spec malformed.
    """
    return resources.Resource(
        kind=stored.kind,
        name=stored.name,
        generation=stored.generation,
        spec=_read_spec(stored.kind, stored.spec),
        changed_by=stored.changed_by,
        changed_at_ms=stored.changed_at_ms,
    )


def _make_resource(change: messages.Change) -> resources.Resource:
    return resources.Resource(
        kind=change.kind,
        name=change.name,
        generation=change.revision,
        spec=_read_spec(change.kind, change.spec),
        changed_by=change.operator,
        changed_at_ms=change.at_ms,
    )


def apply_changes(
    configuration: state.Configuration, changes: abc.Iterable[messages.Change]
) -> state.Configuration:
    """Apply the changes that follow the configuration without a gap.

    A change is applied only if its revision is exactly the next one, so
    that a stale or repeated entry can't revert anything.

    :returns: the new configuration, or the same one if none of the changes
        is the next.
    :raises MalformedError: if this version of the daemon can't decode a
        change, for example one of a newer kind during a fleet upgrade.
    """
    following = log.select_contiguous(changes, configuration.revision)
    if not following:
        return configuration
    current = configuration.resources.copy()
    for change in following:
        key = state.Key(change.kind, change.name)
        if change.action is messages.Action.DELETE:
            current.pop(key, None)
        else:
            current[key] = _make_resource(change)
    return state.Configuration(
        revision=following[-1].revision,
        resources=types.MappingProxyType(current),
    )


def is_repeat(
    current: resources.Resource | None,
    spec: resources.Spec | None,
    operator: str,
    expected: int | None,
) -> bool:
    """Return whether a request asks for the spec that is current already.

    An operator who repeats a request because its answer was lost still
    names the generation before the change. It counts as a repeat if the
    same operator made the current generation, which is then the answer.

    :param current: the resource, None if it does not exist.
    :param spec: the requested spec, None to delete.
    :param expected: the generation from If-Match, None if none was given.
    """
    if current is None or spec is None or current.spec != spec:
        return False
    return (
        expected in (None, current.generation)
        or operator == current.changed_by
    )


def check_generation(
    configuration: state.Configuration, key: state.Key, expected: int | None
) -> None:
    """Compare the generation that an operator expects with the current one.

    :param expected: the generation from If-Match; 0 if the resource must
        not exist yet, None if the operator gave no generation.
    :raises ConflictError: if they differ, or none was given for an existing
        resource.
    """
    resource = configuration.resources.get(key)
    current = resource.generation if resource else 0
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

    :param key: the resource to be changed.
    :param spec: the new spec, None to delete the resource.
    :raises ResourceError: if a rule would refer to a service or a rank that
        does not exist, the floors of all ranks would exceed 1, or two
        workspaces would share a key.
    """
    faults: list[errors.FieldViolation] = []
    if isinstance(spec, resources.Rule):
        for kind, name in (("Service", spec.service), ("Rank", spec.rank)):
            if state.Key(kind, name) not in configuration.resources:
                field = f"spec.{kind.lower()}"
                fault = errors.FieldViolation(
                    field, f"no {kind} is named {name}"
                )
                faults.append(fault)
    if spec is None:
        faults += [
            errors.FieldViolation(
                "name", f"Rule/{rule.name} still names {key}"
            )
            for rule in configuration.of_kind("Rule")
            if key
            in (
                state.Key("Service", rule.spec.service),
                state.Key("Rank", rule.spec.rank),
            )
        ]
    if isinstance(spec, resources.Rank):
        other_floors = sum(
            rank.spec.floor
            for rank in configuration.of_kind("Rank")
            if rank.name != key.name
        )
        if other_floors + spec.floor > 1:
            faults.append(
                errors.FieldViolation(
                    "spec.floor", "the floors of all ranks exceed 1"
                )
            )
    if isinstance(spec, resources.Workspace):
        faults += workspaces.find_shared_keys(
            {
                resource.name: resource.spec
                for resource in configuration.of_kind("Workspace")
                if resource.name != key.name
            }
            | {key.name: spec}
        )
    if faults:
        raise errors.ResourceError(str(key), tuple(faults))
