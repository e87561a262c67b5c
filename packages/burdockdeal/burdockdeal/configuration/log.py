"""The change log as a ring of keys in the store.

Revision r is stored in slot r modulo RING_SIZE. A slot is never deleted,
only overwritten by compare-and-swap on the version of the revision one lap
earlier. The store never reuses a version, so a delayed write can't take
effect in a slot that has been overwritten since, however late it arrives.
"""

from collections import abc
import enum

from burdockdeal.configuration import messages

#: Changes that the store keeps: about three days at 21,000 changes a day.
RING_SIZE = 65_536


class WriteOutcome(enum.Enum):
    """What a slot's content says about a change sent to that slot.

    UNWRITTEN: the revision has not been written yet.
    COMMITTED: the slot holds this change at its revision.
    CONFLICTING: the slot holds another change at the same revision.
    OVERWRITTEN: the slot holds a revision of a later lap.
    """

    UNWRITTEN = "UNWRITTEN"
    COMMITTED = "COMMITTED"
    CONFLICTING = "CONFLICTING"
    OVERWRITTEN = "OVERWRITTEN"


def slot_index(revision: int, ring_size: int = RING_SIZE) -> int:
    """Return the slot that a revision is stored in."""
    return revision % ring_size


def log_key(revision: int, ring_size: int = RING_SIZE) -> str:
    """Return the store's key for a revision."""
    return f"{messages.LOG_PREFIX}{slot_index(revision, ring_size):05d}"


def preceding_key(revision: int, ring_size: int = RING_SIZE) -> str:
    """Return the key that precedes a revision's key in the store's order.

    :returns: the key to list after, empty for the first slot.
    """
    slot = slot_index(revision, ring_size)
    return log_key(slot - 1, ring_size) if slot else ""


def classify_slot(
    revision: int, change_id: str, stored: messages.Change | None
) -> WriteOutcome:
    """Determine what became of a change by the content of its slot.

    :param revision: the revision that the change was written for.
    :param stored: the change that was read from the slot, None if the slot
        was never written.
    :returns: the outcome. The read may be stale, so UNWRITTEN is no proof:
        only a compare-and-swap shows whether the slot is still unwritten.
    """
    if stored is None or stored.revision < revision:
        return WriteOutcome.UNWRITTEN
    if stored.revision > revision:
        return WriteOutcome.OVERWRITTEN
    return (
        WriteOutcome.COMMITTED
        if stored.change_id == change_id
        else WriteOutcome.CONFLICTING
    )


def can_overwrite(
    revision: int, snapshot: int, ring_size: int = RING_SIZE
) -> bool:
    """Return whether a revision may overwrite the one a lap earlier.

    It may once a snapshot in the store covers the earlier revision.

    :param snapshot: the revision of the newest snapshot that is known to be
        in the store. The stored one only grows, so an outdated value is
        safe.
    """
    return revision - ring_size <= snapshot


def select_contiguous(
    changes: abc.Iterable[messages.Change], revision: int
) -> tuple[messages.Change, ...]:
    """Return the changes that follow a revision without a gap, in order."""
    contiguous = []
    for change in sorted(changes, key=lambda change: change.revision):
        if change.revision == revision + len(contiguous) + 1:
            contiguous.append(change)
    return tuple(contiguous)


def find_replaced(
    applied: abc.Iterable[messages.Change],
    received: abc.Iterable[messages.Change],
) -> tuple[tuple[messages.Change, messages.Change], ...]:
    """Find the received changes that contradict applied ones.

    A store that was restored from an old copy gives out revisions again.

    :returns: pairs of an applied change and the other one that was received
        for its revision.
    """
    known = {change.revision: change for change in applied}
    return tuple(
        (known[change.revision], change)
        for change in received
        if change.revision in known
        and known[change.revision].change_id != change.change_id
    )


def is_overwritten(
    changes: abc.Iterable[messages.Change],
    revision: int,
    ring_size: int = RING_SIZE,
) -> bool:
    """Return whether the revision after the given one was overwritten.

    :param changes: changes that were read from the log.
    :param revision: the last revision that the reader has.
    """
    following = revision + 1
    return any(
        change.revision > following
        and slot_index(change.revision, ring_size)
        == slot_index(following, ring_size)
        for change in changes
    )
