"""Resource files: JSON with comments, one resource or a list of them."""

import dataclasses
import pathlib
import typing

import json5

from burdockdeal.configuration import resources
from burdockdeal.core import errors
from burdockdeal.core import validation

#: The order in which kinds are declared: rules come after the services and
#: ranks that they refer to.
_KIND_ORDER = {kind: order for order, kind in enumerate(resources.KINDS)}


@dataclasses.dataclass(frozen=True, slots=True)
class Declaration:
    """One resource as it is written in a file."""

    kind: str
    name: str
    spec: dict[str, typing.Any]


def _parse(path: str) -> object:
    try:
        return json5.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        violation = errors.FieldViolation("", f"file can't be read: {error}")
        raise errors.ResourceError(path, (violation,)) from error
    except ValueError as error:
        violation = errors.FieldViolation(
            "", f"file is not JSON with comments: {error}"
        )
        raise errors.ResourceError(path, (violation,)) from error


def _find_violations(
    declaration: Declaration,
) -> tuple[errors.FieldViolation, ...]:
    try:
        resources.validate_spec(
            declaration.kind, declaration.name, declaration.spec
        )
    except errors.ResourceError as error:
        return error.faults
    return ()


def load(path: str) -> tuple[Declaration, ...]:
    """Load and check a resource file.

    :returns: the declarations, in the order in which to declare them.
    :raises ResourceError: if the file is invalid, with all violations in
        it.
    """
    raw = _parse(path)
    items = raw if isinstance(raw, list) else [raw]
    declarations: list[Declaration] = []
    violations: list[errors.FieldViolation] = []
    for index, item in enumerate(items):
        declaration, item_violations = validation.validate(Declaration, item)
        if declaration is not None:
            item_violations = _find_violations(declaration)
            declarations.append(declaration)
        prefix = f"[{index}]."
        violations += [
            dataclasses.replace(violation, field=prefix + violation.field)
            for violation in item_violations
        ]
    if violations:
        raise errors.ResourceError(path, tuple(violations))
    return tuple(sorted(declarations, key=lambda item: _KIND_ORDER[item.kind]))


def is_settings_file(path: str) -> bool:
    """Return whether a file holds the settings of a daemon.

    :raises ResourceError: if the file can't be read or parsed.
    """
    raw = _parse(path)
    return isinstance(raw, dict) and "listen" in raw
