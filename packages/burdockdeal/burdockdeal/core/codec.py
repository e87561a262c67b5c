"""JSON encoding and decoding of data classes."""

import functools
import typing

import msgspec

from burdockdeal.core import errors

T = typing.TypeVar("T")


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
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedError(f"{kind.__name__}: {error}") from error


def to_builtins(message: object) -> typing.Any:
    """Convert a data class to plain maps and lists, for printing."""
    return msgspec.to_builtins(message)
