"""Validation of parsed input against data classes."""

import dataclasses
import types
import typing

import msgspec

from burdockdeal.core import errors

#: Name of a resource, a daemon or a failure domain: a DNS label.
Name = typing.Annotated[
    str,
    msgspec.Meta(pattern=r"^[a-z0-9]([a-z0-9-]*[a-z0-9])?$", max_length=63),
]
#: Name that another system has chosen. It travels in header fields, so it has
#: no control characters, and no blank at either end.
ExternalName = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=r"^(?!\s)[^\x00-\x1f\x7f-\x9f]+(?<!\s)\Z", max_length=200
    ),
]
PositiveFloat = typing.Annotated[float, msgspec.Meta(gt=0)]
NonNegativeFloat = typing.Annotated[float, msgspec.Meta(ge=0)]
#: A rate per second or a number of requests; its bound keeps sums exact.
Quantity = typing.Annotated[float, msgspec.Meta(ge=0, le=1e9)]
#: A SHA-256 digest in hexadecimal.
Digest = typing.Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
PositiveInt = typing.Annotated[int, msgspec.Meta(gt=0)]
NonNegativeInt = typing.Annotated[int, msgspec.Meta(ge=0)]
Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]
#: An IP address, or what looks like one; no host name is ever resolved.
Host = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=r"^([0-9]{1,3}(\.[0-9]{1,3}){3}|[0-9A-Fa-f]*:[0-9A-Fa-f:]+)$",
        max_length=45,
    ),
]
#: A number that counts something or increases, from another process. All
#: implementations of JSON represent it exactly.
Counter = typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]
#: A number of slots, from another process.
SlotCount = typing.Annotated[int, msgspec.Meta(le=65535)]
#: Milliseconds up to a day, from another process.
Milliseconds = typing.Annotated[float, msgspec.Meta(le=86_400_000)]

T = typing.TypeVar("T")


def _find_data_class(kind: object) -> type | None:
    """Return the data class behind a possibly optional type, else None."""
    if typing.get_origin(kind) in (typing.Union, types.UnionType):
        options = [
            option
            for option in typing.get_args(kind)
            if option is not type(None)
        ]
        kind = options[0] if len(options) == 1 else None
    return kind if dataclasses.is_dataclass(kind) else None


def _find_element_class(kind: object) -> type | None:
    """Return the data class that a tuple type holds, else None."""
    if typing.get_origin(kind) is not tuple:
        return None
    return _find_data_class(typing.get_args(kind)[0])


def _validate_value(
    kind: object,
    raw: object,
    path: str,
    violations: list[errors.FieldViolation],
) -> typing.Any:
    nested = _find_data_class(kind)
    if hasattr(nested, "from_text") and isinstance(raw, str):
        return _convert_text(nested, raw, path, violations)
    if nested is not None and raw is not None:
        return _validate_fields(nested, raw, path, violations)
    element = _find_element_class(kind)
    if element is not None and isinstance(raw, list):
        return tuple(
            _validate_fields(element, item, f"{path}[{index}]", violations)
            for index, item in enumerate(raw)
        )
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        violations.append(errors.FieldViolation(path, str(error)))
        return None


def _convert_text(
    kind: type[T], raw: str, path: str, violations: list[errors.FieldViolation]
) -> T | None:
    try:
        return kind.from_text(raw)
    except ValueError as error:
        violations.append(errors.FieldViolation(path, str(error)))
        return None


def _validate_fields(
    kind: type[T],
    raw: object,
    path: str,
    violations: list[errors.FieldViolation],
) -> T | None:
    if not isinstance(raw, dict):
        violations.append(
            errors.FieldViolation(path, "a map of fields is expected")
        )
        return None
    prefix = f"{path}." if path else ""
    hints = typing.get_type_hints(kind, include_extras=True)
    fields = {field.name: field for field in dataclasses.fields(kind)}
    for name in raw.keys() - fields.keys():
        known = ", ".join(sorted(fields))
        violations.append(
            errors.FieldViolation(
                f"{prefix}{name}", f"no such field; known: {known}"
            )
        )
    values: dict[str, typing.Any] = {}
    count_before = len(violations)
    for name, field in fields.items():
        if name in raw:
            values[name] = _validate_value(
                hints[name], raw[name], f"{prefix}{name}", violations
            )
        elif (
            field.default is dataclasses.MISSING
            and field.default_factory is dataclasses.MISSING
        ):
            violations.append(
                errors.FieldViolation(f"{prefix}{name}", "is missing")
            )
    return kind(**values) if len(violations) == count_before else None


def validate(
    kind: type[T], raw: object
) -> tuple[T | None, tuple[errors.FieldViolation, ...]]:
    """Build a data class from a parsed map and collect every violation.

    A field whose type has a from_text class method may be given as text.

    :param kind: the frozen data class; ranges are msgspec.Meta annotations.
    :param raw: the parsed input.
    :returns: the value, or None if it is invalid, and the violations: first
        the unknown fields, then those of known fields in their order.
    """
    violations: list[errors.FieldViolation] = []
    value = _validate_fields(kind, raw, "", violations)
    return value, tuple(violations)
