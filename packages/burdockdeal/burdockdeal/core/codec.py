"""JSON encoding and decoding of data classes."""

import dataclasses
import functools
import types
import typing

import msgspec

from burdockdeal.core import errors

T = typing.TypeVar("T")

#: What the decoder raises for input that is not the expected message. Input
#: that is nested too deeply exhausts its recursion limit.
_DECODING_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


class MalformedError(errors.BurdockdealError):
    """Input from another process is not the JSON message that is expected."""


@functools.cache
def _decoder(kind: type[T]) -> msgspec.json.Decoder[T]:
    return msgspec.json.Decoder(kind)


_ENCODER = msgspec.json.Encoder()


def encode(message: object) -> bytes:
    """Encode a frozen data class as JSON.

    :param message: the data class instance.
    :returns: JSON in UTF-8.
    """
    return _ENCODER.encode(message)


def decode(raw: bytes | str, kind: type[T]) -> T:
    """Decode JSON to a data class.

    :param raw: JSON in UTF-8.
    :param kind: the data class that is expected; its name is part of the
        error's text.
    :returns: the message.
    :raises MalformedError: if the input is not JSON or does not fit the
        data class.
    """
    try:
        return _decoder(kind).decode(raw)
    except _DECODING_ERRORS as error:
        raise MalformedError(f"{kind.__name__}: {error}") from error


@functools.cache
def _build_compact_type(kind: type[T]) -> type[msgspec.Struct]:
    """Build a struct with the fields of a data class, encoded as an array."""
    hints = typing.get_type_hints(kind)
    return msgspec.defstruct(
        kind.__name__,
        [
            (
                field.name,
                _replace_data_classes(hints[field.name]),
                msgspec.NODEFAULT
                if field.default is dataclasses.MISSING
                else field.default,
            )
            for field in dataclasses.fields(kind)
        ],
        array_like=True,
        frozen=True,
    )


def _replace_data_classes(hint: typing.Any) -> typing.Any:
    """Replace the data classes in a type hint by their compact types."""
    if dataclasses.is_dataclass(hint):
        return _build_compact_type(hint)
    origin = typing.get_origin(hint)
    if origin is None:
        return hint
    arguments = tuple(map(_replace_data_classes, typing.get_args(hint)))
    if origin is types.UnionType:
        return typing.Union[arguments]
    return origin[arguments]


def encode_compact(message: object) -> bytes:
    """Encode a frozen data class as a JSON array of its fields' values.

    Used for frequent messages between daemons, where the names would make up
    most of the bytes. The order of the fields is part of the wire format: a
    new one goes to the end and has a default.

    :param message: the data class instance.
    :returns: JSON in UTF-8.
    """
    compact = _build_compact_type(type(message))
    return _ENCODER.encode(
        msgspec.convert(message, compact, from_attributes=True)
    )


def decode_compact(raw: bytes | str, kind: type[T]) -> T:
    """Decode a JSON array of a data class's values.

    :param raw: JSON in UTF-8.
    :param kind: the data class that is expected.
    :returns: the message.
    :raises MalformedError: if the input is not JSON or does not fit the
        data class.
    """
    try:
        values = _decoder(_build_compact_type(kind)).decode(raw)
        return msgspec.convert(values, kind, from_attributes=True)
    except _DECODING_ERRORS as error:
        raise MalformedError(f"{kind.__name__}: {error}") from error


def to_builtins(message: object) -> typing.Any:
    """Convert a data class to plain maps and lists, for printing."""
    return msgspec.to_builtins(message)
