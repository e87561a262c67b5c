"""Checking of raw maps against data classes, with every fault listed."""

import dataclasses
import types
import typing

import msgspec

from burdockdeal.core import errors

#: A name of a resource, a daemon or a failure domain.
Name = typing.Annotated[
    str,
    msgspec.Meta(pattern=r"^[a-z0-9]([a-z0-9-]*[a-z0-9])?$", max_length=63),
]
PositiveFloat = typing.Annotated[float, msgspec.Meta(gt=0)]
PositiveInt = typing.Annotated[int, msgspec.Meta(gt=0)]
NonNegativeInt = typing.Annotated[int, msgspec.Meta(ge=0)]
Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]

T = typing.TypeVar("T")


def _nested(kind: object) -> type | None:
    """Return the data class that a type stands for, if it is one."""
    if typing.get_origin(kind) in (typing.Union, types.UnionType):
        options = [
            option
            for option in typing.get_args(kind)
            if option is not type(None)
        ]
        kind = options[0] if len(options) == 1 else None
    return kind if dataclasses.is_dataclass(kind) else None


def _element(kind: object) -> type | None:
    """Return the data class that a tuple type holds, if it does."""
    if typing.get_origin(kind) is not tuple:
        return None
    return _nested(typing.get_args(kind)[0])


def _check_value(
    kind: object, raw: object, path: str, faults: list[errors.FieldViolation]
) -> typing.Any:
    nested = _nested(kind)
    if hasattr(nested, "from_text") and isinstance(raw, str):
        return _check_text(nested, raw, path, faults)
    if nested is not None and raw is not None:
        return _check_fields(nested, raw, path, faults)
    element = _element(kind)
    if element is not None and isinstance(raw, list):
        return tuple(
            _check_fields(element, item, f"{path}[{index}]", faults)
            for index, item in enumerate(raw)
        )
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        faults.append(errors.FieldViolation(path, str(error)))
        return None


def _check_text(
    kind: type[T], raw: str, path: str, faults: list[errors.FieldViolation]
) -> T | None:
    try:
        return kind.from_text(raw)
    except ValueError as error:
        faults.append(errors.FieldViolation(path, str(error)))
        return None


def _check_fields(
    kind: type[T], raw: object, path: str, faults: list[errors.FieldViolation]
) -> T | None:
    if not isinstance(raw, dict):
        faults.append(
            errors.FieldViolation(path, "a map of fields is expected")
        )
        return None
    prefix = f"{path}." if path else ""
    hints = typing.get_type_hints(kind, include_extras=True)
    fields = {field.name: field for field in dataclasses.fields(kind)}
    for name in raw.keys() - fields.keys():
        known = ", ".join(sorted(fields))
        faults.append(
            errors.FieldViolation(
                f"{prefix}{name}", f"no such field; known: {known}"
            )
        )
    values: dict[str, typing.Any] = {}
    before = len(faults)
    for name, field in fields.items():
        if name in raw:
            values[name] = _check_value(
                hints[name], raw[name], f"{prefix}{name}", faults
            )
        elif (
            field.default is dataclasses.MISSING
            and field.default_factory is dataclasses.MISSING
        ):
            faults.append(
                errors.FieldViolation(f"{prefix}{name}", "is missing")
            )
    return kind(**values) if len(faults) == before else None


def validate(
    kind: type[T], raw: object
) -> tuple[T | None, tuple[errors.FieldViolation, ...]]:
    """Build a data class from a raw map, listing every fault.

    :param kind: the frozen data class; ranges are msgspec.Meta notes.
    :param raw: what a parser read.
    :returns: the value, None if there are faults, and the faults in the
        order of the fields.
    """
    faults: list[errors.FieldViolation] = []
    value = _check_fields(kind, raw, "", faults)
    return value, tuple(faults)
