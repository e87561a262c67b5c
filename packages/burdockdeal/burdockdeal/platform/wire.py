"""The wire format of the platform's store."""

import base64
import binascii
import re
import typing

import msgspec

from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.platform import messages

T = typing.TypeVar("T")

#: The header of each response that tells how often the store was restored
#: from an old copy.
ERA_HEADER = "Store-Era"


class _Message(msgspec.Struct, frozen=True, rename="camel"):
    """Base of messages whose fields are in camel case on the wire."""


class Item(_Message):
    """A key and its value, or one change of the key.

    :param value: the value in base64; empty in the event of a deletion.
    :param revision: the store's revision at which the key was written.
    :param lease: the id of the lease with which the key expires, 0 for none.
    :param tombstone: whether the item is the deletion of the key.
    """

    key: str
    value: str = ""
    revision: int = 0
    lease: int = 0
    tombstone: bool = False


class StoredItem(Item, frozen=True, rename="camel"):
    """An item of a key that exists, or its deletion."""

    def __post_init__(self) -> None:
        if self.revision < 1:
            raise ValueError("an item without a revision")


class Precondition(_Message):
    """A condition under which a transaction takes effect.

    :param revision: the revision of the key's last change; 0 if the key
        must not exist.
    """

    key: str
    revision: int


class Put(_Message):
    """One write of a transaction.

    :param value: the value in base64.
    :param lease: the id of the lease with which the key expires, 0 for none.
    """

    key: str
    value: str
    lease: int = 0


class Transaction(_Message):
    """Writes that take effect atomically if every precondition holds.

    :param remove: the keys to delete.
    """

    expected: tuple[Precondition, ...] = ()
    puts: tuple[Put, ...] = ()
    remove: tuple[str, ...] = ()


class Committed(_Message):
    """The response to a transaction that took effect."""

    revision: int


class Conflict(_Message):
    """The response to a transaction whose preconditions did not hold."""

    items: tuple[Item, ...] = ()

    def find_version(self, key: str, era: int) -> messages.Version:
        """Return the current version of a key in an era."""
        found = [item.revision for item in self.items if item.key == key]
        return messages.Version(era, found[0] if found else 0)


class Page(_Message):
    """One page of a listing."""

    store_revision: int
    items: tuple[StoredItem, ...]
    more_pages: bool

    def decode_items(self, era: int) -> tuple[messages.Entry, ...]:
        """Decode the entries of the page, read in an era."""
        return _decode_items(self.items, era)


class Events(_Message):
    """The response to a watch: the changes since the given revision."""

    store_revision: int
    events: tuple[StoredItem, ...]

    def decode_items(self, era: int) -> tuple[messages.Entry, ...]:
        """Decode the entries written in an era; deletions are omitted."""
        return _decode_items(self.events, era)


class LeaseRequest(_Message):
    """A request for a lease."""

    ttl_ms: int


class LeaseGrant(_Message):
    """The response to a request for a lease.

    :param lease: the id of the lease.
    :param ttl_ms: the time to live that the store granted.
    """

    lease: int
    ttl_ms: int


def parse_era(header: str | None) -> int:
    """Parse the header of the store's era; 0 if it is missing or odd."""
    # More digits than any count of restores has are taken for odd, too.
    if header is None or not re.fullmatch("[0-9]{1,18}", header):
        return 0
    return int(header)


def decode_item(item: Item, era: int) -> messages.Entry:
    """Decode an entry that was read in an era of the store.

    Another program may have written a value that is not valid base64 or
    UTF-8. It does not raise an error here: it becomes text that later fails
    to decode as a message.
    """
    try:
        raw = base64.b64decode(item.value, validate=True)
    except binascii.Error:
        raw = b""
    return messages.Entry(
        item.key,
        raw.decode(errors="replace"),
        messages.Version(era, item.revision),
    )


def _decode_items(
    items: tuple[Item, ...], era: int
) -> tuple[messages.Entry, ...]:
    return tuple(
        decode_item(item, era) for item in items if not item.tombstone
    )


def encode_put(key: str, value: str, lease: int) -> Put:
    """Encode the write of a key."""
    return Put(key, base64.b64encode(value.encode()).decode(), lease)


def decode_message(raw: bytes, kind: type[T]) -> T:
    """Decode the body of a response.

    :raises StoreUncertainError: if it is not a valid message of that type.
    """
    try:
        return codec.decode(raw, kind)
    except codec.MalformedError as error:
        raise errors.StoreUncertainError(str(error)) from error
