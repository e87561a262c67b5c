"""Resource files: JSON with comments, one resource or a list of them."""

import dataclasses
import pathlib
import typing

import json5

from burdockdeal.configuration import resources
from burdockdeal.core import errors
from burdockdeal.core import validation

#: The order in which kinds are declared, so that rules find their names.
_ORDER = {kind: order for order, kind in enumerate(resources.KINDS)}


@dataclasses.dataclass(frozen=True, slots=True)
class Declaration:
    """A resource as a file declares it."""

    kind: str
    name: str
    spec: dict[str, typing.Any]


def _read(path: str) -> object:
    try:
        return json5.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        fault = errors.FieldViolation("", f"can't be read: {error}")
        raise errors.ResourceError(path, (fault,)) from error
    except ValueError as error:
        fault = errors.FieldViolation("", f"not JSON with comments: {error}")
        raise errors.ResourceError(path, (fault,)) from error


def _find_faults(
    declaration: Declaration,
) -> tuple[errors.FieldViolation, ...]:
    try:
        resources.check_spec(
            declaration.kind, declaration.name, declaration.spec
        )
    except errors.ResourceError as error:
        return error.faults
    return ()


def load(path: str) -> tuple[Declaration, ...]:
    """Load and check a resource file.

    :returns: the declarations, in the order in which to declare them.
    :raises ResourceError: with every fault of the whole file.
    """
    raw = _read(path)
    listed = raw if isinstance(raw, list) else [raw]
    found: list[Declaration] = []
    faults: list[errors.FieldViolation] = []
    for index, item in enumerate(listed):
        declaration, wrong = validation.validate(Declaration, item)
        if declaration is not None:
            wrong = _find_faults(declaration)
            found.append(declaration)
        where = f"[{index}]."
        faults += [
            dataclasses.replace(fault, field=where + fault.field)
            for fault in wrong
        ]
    if faults:
        raise errors.ResourceError(path, tuple(faults))
    return tuple(sorted(found, key=lambda item: _ORDER[item.kind]))


def is_settings_file(path: str) -> bool:
    """Tell whether a file holds a daemon's settings.

    :raises ResourceError: if it can't be read at all.
    """
    raw = _read(path)
    return isinstance(raw, dict) and "listen" in raw
