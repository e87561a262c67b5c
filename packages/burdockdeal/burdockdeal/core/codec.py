"""JSON encoding of typed messages."""

import functools
import typing

import msgspec

from burdockdeal.core import errors

T = typing.TypeVar("T")


class MalformedError(errors.BurdockdealError):
    """Bytes from another process do not hold the message expected."""


@functools.cache
def _decoder(kind: type[T]) -> msgspec.json.Decoder[T]:
    return msgspec.json.Decoder(kind)


_ENCODER = msgspec.json.Encoder()


def encode(message: object) -> bytes:
    """Encode a frozen data class as JSON.

    :param message: the message.
    :returns: its JSON, UTF-8.
    """
    return _ENCODER.encode(message)


def decode(raw: bytes | str, kind: type[T]) -> T:
    """Decode a message.

    :param raw: JSON, UTF-8.
    :param kind: the data class that is expected.
    :returns: the message.
    :raises MalformedError: if the bytes hold something else.
    """
    try:
        return _decoder(kind).decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedError(f"{kind.__name__}: {error}") from error


def to_builtins(message: object) -> typing.Any:
    """Turn a data class into plain maps and lists, as for printing."""
    return msgspec.to_builtins(message)
