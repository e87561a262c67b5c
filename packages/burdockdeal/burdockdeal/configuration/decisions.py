"""Decisions on the configuration: folding the log, checking a change."""

from collections import abc
import types

import msgspec

from burdockdeal.configuration import log
from burdockdeal.configuration import messages
from burdockdeal.configuration import resources
from burdockdeal.configuration import state
from burdockdeal.core import codec
from burdockdeal.core import errors


def _read_spec(kind: str, raw: msgspec.Raw) -> resources.Spec:
    if kind not in resources.KINDS:
        raise codec.MalformedError(f"no such kind: {kind}")
    return codec.decode(raw, resources.KINDS[kind])


def to_stored(resource: resources.Resource) -> messages.Stored:
    """Turn a resource into the form of snapshots."""
    return messages.Stored(
        kind=resource.kind,
        name=resource.name,
        generation=resource.generation,
        changed_by=resource.changed_by,
        changed_at_ms=resource.changed_at_ms,
        spec=msgspec.Raw(codec.encode(resource.spec)),
    )


def from_stored(stored: messages.Stored) -> resources.Resource:
    """Turn a resource back from the form of snapshots."""
    return resources.Resource(
        kind=stored.kind,
        name=stored.name,
        generation=stored.generation,
        spec=_read_spec(stored.kind, stored.spec),
        changed_by=stored.changed_by,
        changed_at_ms=stored.changed_at_ms,
    )


def _resource_of(change: messages.Change) -> resources.Resource:
    return resources.Resource(
        kind=change.kind,
        name=change.name,
        generation=change.revision,
        spec=_read_spec(change.kind, change.spec),
        changed_by=change.operator,
        changed_at_ms=change.at_ms,
    )


def apply_all(
    configuration: state.Configuration, changes: abc.Iterable[messages.Change]
) -> state.Configuration:
    """Fold changes into the configuration.

    Only the very next revision is ever taken, so that a stale or repeated
    entry can't revert anything.

    :returns: the next configuration, or the same one if none of the
        changes is the next.
    :raises MalformedError: if a change is of a kind that is not known
        here, as while the fleet is upgraded.
    """
    following = log.choose_next(changes, configuration.revision)
    if not following:
        return configuration
    standing = configuration.resources.copy()
    for change in following:
        key = state.Key(change.kind, change.name)
        if change.action is messages.Action.DELETE:
            standing.pop(key, None)
        else:
            standing[key] = _resource_of(change)
    return state.Configuration(
        revision=following[-1].revision,
        resources=types.MappingProxyType(standing),
    )


def is_repeat(
    standing: resources.Resource | None,
    spec: resources.Spec | None,
    operator: str,
    expected: int | None,
) -> bool:
    """Tell whether a change asks for what stands already.

    An operator who sends a change again, because its answer was lost,
    gets the generation that it made, though it names the one before.
    """
    if standing is None or spec is None or standing.spec != spec:
        return False
    return (
        expected in (None, standing.generation)
        or operator == standing.changed_by
    )


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
        others = sum(
            rank.spec.floor
            for rank in configuration.of_kind("Rank")
            if rank.name != key.name
        )
        if others + spec.floor > 1:
            faults.append(
                errors.FieldViolation(
                    "spec.floor", "the floors of all ranks exceed 1"
                )
            )
    if faults:
        raise errors.ResourceError(str(key), tuple(faults))
