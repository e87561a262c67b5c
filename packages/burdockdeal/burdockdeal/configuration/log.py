"""The change log as a ring of keys in the store.

Revision r stands at slot r modulo RING. A slot is never deleted, only
written over by compare-and-swap on the version of the revision one lap
earlier. Versions never come back, so a write that arrives late can't land
in a slot that has moved on, however late it is.
"""

from collections import abc
import enum

from burdockdeal.configuration import messages

#: Changes that the store keeps; some three days at 21,000 a day.
RING_SIZE = 65_536


class Fate(enum.Enum):
    """What a slot says about a change that is meant for it."""

    OPEN = "OPEN"
    LANDED = "LANDED"
    TAKEN = "TAKEN"
    LAPPED = "LAPPED"


def slot_of(revision: int, ring: int = RING_SIZE) -> int:
    """Tell the slot of a revision."""
    return revision % ring


def log_key(revision: int, ring: int = RING_SIZE) -> str:
    """Name the store's key of a revision."""
    return f"{messages.LOG_PREFIX}{slot_of(revision, ring):05d}"


def key_before(revision: int, ring: int = RING_SIZE) -> str:
    """Name the key that a revision's follows in the store's order.

    :returns: empty for the first slot.
    """
    slot = slot_of(revision, ring)
    return log_key(slot - 1, ring) if slot else ""


def judge_slot(
    revision: int, change_id: str, stands: messages.Change | None
) -> Fate:
    """Judge what became of a change.

    :param stands: the change that was read from the slot.
    :returns: OPEN if the revision has not been written, as far as the
        reader can tell; the compare-and-swap has the last word.
    """
    if stands is None or stands.revision < revision:
        return Fate.OPEN
    if stands.revision > revision:
        return Fate.LAPPED
    return Fate.LANDED if stands.change_id == change_id else Fate.TAKEN


def may_write(revision: int, snapshot: int, ring: int = RING_SIZE) -> bool:
    """Tell whether a revision may write over the one a lap earlier.

    :param snapshot: the revision of a snapshot known to stand in the
        store; it only grows, so an older one is safe.
    """
    return revision - ring <= snapshot


def choose_next(
    changes: abc.Iterable[messages.Change], revision: int
) -> tuple[messages.Change, ...]:
    """Choose the changes that follow a revision without a gap."""
    chosen = []
    for change in sorted(changes, key=lambda change: change.revision):
        if change.revision == revision + len(chosen) + 1:
            chosen.append(change)
    return tuple(chosen)


def is_lapped(
    changes: abc.Iterable[messages.Change],
    revision: int,
    ring: int = RING_SIZE,
) -> bool:
    """Tell whether the log no longer holds what follows a revision."""
    following = revision + 1
    return any(
        change.revision > following
        and slot_of(change.revision, ring) == slot_of(following, ring)
        for change in changes
    )
