"""The messages of the platform's store, as they are on the wire."""

import base64
import binascii

import msgspec

from burdockdeal.platform import messages


class _Message(msgspec.Struct, frozen=True, rename="camel"):
    """A message whose fields are in camel case on the wire."""


class Item(_Message):
    """One key, or what was written to it.

    :param value: base64, empty in an event that tells of a removal.
    :param revision: the store's revision that wrote it.
    :param lease: the lease with which it goes, 0 for none.
    """

    key: str
    value: str = ""
    revision: int = 0
    lease: int = 0
    tombstone: bool = False


class Precondition(_Message):
    """What must stand for a transaction to take effect.

    :param revision: of the key's last change, 0 for no such key.
    """

    key: str
    revision: int


class Put(_Message):
    """One write of a transaction."""

    key: str
    value: str
    lease: int = 0


class Transaction(_Message):
    """Writes that take effect together or not at all."""

    expected: tuple[Precondition, ...] = ()
    puts: tuple[Put, ...] = ()
    remove: tuple[str, ...] = ()


class Committed(_Message):
    """The answer to a transaction that took effect."""

    revision: int


class Conflict(_Message):
    """The answer to a transaction that found something else."""

    items: tuple[Item, ...] = ()

    def find_version(self, key: str) -> int:
        """Tell the version at which a key stands, 0 for none."""
        found = [item.revision for item in self.items if item.key == key]
        return found[0] if found else 0


class Page(_Message):
    """A part of a listing."""

    store_revision: int
    items: tuple[Item, ...] = ()
    more_pages: bool = False

    def decode_items(self) -> tuple[messages.Entry, ...]:
        """Read the entries."""
        return _decode_items(self.items)


class Events(_Message):
    """The changes that a watch waited for."""

    store_revision: int
    events: tuple[Item, ...] = ()

    def decode_items(self) -> tuple[messages.Entry, ...]:
        """Read what was written; removals are left out."""
        return _decode_items(self.events)


class LeaseRequest(_Message):
    """Asks for a lease."""

    ttl_ms: int


class LeaseGrant(_Message):
    """A lease, and the time that applies."""

    lease: int
    ttl_ms: int


def decode_item(item: Item) -> messages.Entry:
    """Read an entry.

    Bytes that are no text, as of another writer, read as text that no
    message is made of.
    """
    try:
        raw = base64.b64decode(item.value, validate=True)
    except binascii.Error:
        raw = b""
    return messages.Entry(
        item.key, raw.decode(errors="replace"), item.revision
    )


def _decode_items(items: tuple[Item, ...]) -> tuple[messages.Entry, ...]:
    return tuple(decode_item(item) for item in items if not item.tombstone)


def encode_put(key: str, value: str, lease: int) -> Put:
    """Make the write of a key."""
    return Put(key, base64.b64encode(value.encode()).decode(), lease)
